"""The counters of a proxy in the statsd format. Operators' tools depend on their names."""

from __future__ import annotations

from arrowseam.control.interfaces import EndpointSources, Membership, Rollouts
from arrowseam.request_handling.requests import RequestHandler
from arrowseam.request_handling.statistics import FinalAnswer


def render_counters(
    handler: RequestHandler,
    endpoint_sources: EndpointSources | None = None,
    membership: Membership | None = None,
    rollouts: Rollouts | None = None,
) -> bytes:
    """Return all counters, one per line, then a line ``--``."""
    statistics, driver = handler.statistics, handler.driver
    # Configured classes, and dropped ones that have counters; each lists all final answers from the start.
    class_names = [*handler.config.classes, *sorted({name for name, _ in statistics.answers})]
    lines = [
        f"edge.replies.{name}.{answer}:{statistics.answers[name, answer]}|c"
        for name in dict.fromkeys(class_names)
        for answer in FinalAnswer
    ]
    lines += [
        f"edge.dispatches:{statistics.openings_sent}|c",
        f"edge.concurrent:{handler.connection_count}|g",
        f"edge.targets:{driver.endpoint_count}|g",
        f"edge.targets_disabled:{driver.unavailable_count}|g",
        f"edge.reload_success:{statistics.reloads_succeeded}|c",
        f"edge.reload_failure:{statistics.reloads_failed}|c",
    ]
    for part in (endpoint_sources, membership, rollouts):
        if part is not None:
            lines += part.counter_lines()
    return "".join(f"{line}\n" for line in [*lines, "--"]).encode()
