"""The rows and counters by which control shows the endpoint sources; tools read their names."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from arrowseam.endpoint_sources.file_sources import FileSources
from arrowseam.endpoint_sources.merge import MergedEndpointList
from arrowseam.endpoint_sources.source_state import Source
from arrowseam.endpoint_sources.wall_clock import unix_ms
from arrowseam.net.clock import MS, clock


def _age_ms(source: Source) -> int | None:
    """Return the age of the last valid list; None if there is none."""
    return max(0, unix_ms() - source.taken_at_ms) if source.reported_at is not None else None


def counter_lines(merged: MergedEndpointList) -> Iterator[str]:
    """Yield the lines for control's ``counters``."""
    for name, source in merged.sources.items():
        prefix = f"edge.sources.{name}"
        age_ms = _age_ms(source)
        yield f"{prefix}.servers:{len(source.records)}|g"
        yield f"{prefix}.taken:{source.taken_count}|c"
        yield f"{prefix}.age_ms:{-1 if age_ms is None else age_ms}|g"
        for reason, count in sorted(source.rejections.items()):
            yield f"{prefix}.refused.{reason}:{count}|c"
    yield f"edge.members:{len(merged.published)}|g"
    yield f"edge.members_leaving:{len(merged.departures)}|g"


def source_rows(merged: MergedEndpointList, files: FileSources, now: int) -> Iterator[dict[str, Any]]:
    """Yield a row for each source."""
    for name, source in merged.sources.items():
        settings = files.settings.get(name)
        rejected_at = source.rejected_at
        yield {
            "source": name,
            "file": settings.file if settings else "",
            "rank": source.settings.rank,
            "servers": len(source.records),
            "generation": source.generation,
            "origin": source.origin,
            "age_ms": _age_ms(source),
            "taken": source.taken_count,
            "refused": dict(source.rejections),
            "last_refused": ": ".join(filter(None, source.rejection)),
            "refused_ms_ago": (now - rejected_at) // MS if rejected_at is not None else None,
            "retiring": name in merged.retiring,
            "allowed": files.is_removal_allowed(name),
        }


def endpoint_rows(merged: MergedEndpointList, cordoned: set[str]) -> Iterator[dict[str, Any]]:
    """Yield a row for each endpoint; the list may change during the iteration."""
    for name in list(merged.published):
        if name in merged.published:
            shown = merged.show(name)
            yield shown.record.to_row() | {
                "state": "cordoned" if name in cordoned else shown.state,
                "sources": shown.sources,
                "since_ms": (clock() - shown.since) // MS,
            }
