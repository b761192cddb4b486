"""Reload at SIGHUP: a valid file is applied whole, an invalid one not at all, requests keep their rules."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from helpers import (
    SECOND,
    START,
    Clock,
    arrival,
    attempt_ended,
    attempts,
    final_answers,
    make_balancer,
    make_endpoints,
    settings,
    snapshot,
)
from network import PROTOCOL_MESSAGES, REQUEST_CLASS, ProxyNetwork, create_networks

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Fail, Reject
from arrowseam.balancer.events import LoadReported, Outcome, SettingsUpdated
from arrowseam.balancer.settings import Idempotency
from arrowseam.config.proxy import ConfigError, read_config
from arrowseam.errors import UsageError

BULK = REQUEST_CLASS | {"name": "bulk", "effect": "fragile", "deadline": 900000}


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks(request.param)


def reload(
    w: ProxyNetwork, folder: Path, doc: Any, users: tuple[str, ...] = ("tech", "resident")
) -> dict[str, int]:
    (folder / "config.json").write_text(doc if isinstance(doc, str) else json.dumps(doc))
    user_settings = {user: {"class": user, "tenant": "acme"} for user in users}
    (folder / "nats.json").write_text(json.dumps(w.nats | {"users": user_settings}))
    w.proxy.reload(str(folder / "config.json"), str(folder / "nats.json"))
    return w.counters()


def changed(w: ProxyNetwork, *path: Any, value: Any = None) -> dict[str, Any]:
    """The configuration in use with one value changed, or (without a value) left out."""
    doc = copy.deepcopy(w.doc)
    node: Any = doc
    for key in path[:-1]:
        node = node[key]
    if value is None:
        del node[path[-1]]
    else:
        node[path[-1]] = value
    return doc


def test_a_dropped_class_keeps_its_rules_for_established_connections(world, tmp_path, monkeypatch):
    """New settings drop a class that has established connections and add another in its position. The
    connections must keep the rules with which they were established.
    """
    monkeypatch.setitem(
        PROTOCOL_MESSAGES["lines"], "open", lambda n, k: b"OPEN %016x 0a c=%s,t=acme,d=800\r\n" % (n, k)
    )
    w = world("up", "up")
    (established,) = w.up(klass=b"resident")
    lanes = w.doc["settings"]["lanes"]
    doc = changed(w, "settings", "lanes", value=[BULK, lanes[0]])
    assert reload(w, tmp_path, doc, ("tech", "bulk"))["edge.reload_success"] == 1
    w.up(2, klass=b"bulk")
    late_client = w.client(77, b"resident")
    w.until(lambda: late_client.ended_at)
    assert not late_client.has("up")
    counters = w.counters()
    assert counters["edge.replies.bulk.success"] == 2
    assert counters["edge.replies.resident.success"] == 1  # dropped classes keep their counters
    (request,) = [r for r in w.driver.balancer.requests.by_id.values() if r.request_class.deadline == 600000]
    for load in (7.0, 9.0):
        w.driver.report_load_or_latency(
            next(i for i in w.handler.active.values() if i.class_name == "resident"), load
        )
    assert request.load == 9.0
    assert not established.ended_at
    assert w.handler.config.longest_deadline == 1_800_000


def test_the_proxy_count_of_the_cluster_overrides_the_configured_one_while_it_is_known(world):
    w = world("up")
    driver = w.driver
    for share, configured, expected in ((8, 1, 8), (8, 4, 8), (None, 4, 4), (None, 2, 2)):
        driver.set_proxy_count(share)
        config = replace(w.config, settings=replace(w.config.settings, proxy_count=configured, proxy_index=0))
        driver.update_settings(config)
        assert driver.balancer.settings.proxy_count == expected
        assert driver.balancer.settings.proxy_index < expected


@pytest.mark.parametrize(
    "path",
    [
        ("settings",),
        ("discovery",),
        ("limits", "sockets"),
        ("settings", "lanes"),
        ("settings", "caps"),
        ("settings", "caps", "max_attempts"),
        ("settings", "invariants", "drain_grace"),
        ("settings", "lanes", 1, "deadline"),
        ("settings", "lanes", 0, "effect"),
        ("settings", "tenants", 0, "share"),
    ],
)
def test_a_file_that_lacks_a_key_is_rejected_whole(world, tmp_path, path):
    """A file was truncated or only partly written: it is valid JSON but lacks a key that the last one had.
    Nothing of it may be applied.
    """
    w = world("up")
    before = w.proxy.config
    doc = changed(w, *path)
    doc.setdefault("discovery", "127.0.0.1:9")  # nothing listens there
    if path != ("discovery",):
        doc["discovery"] = "127.0.0.1:9"
    else:
        del doc["discovery"]
    counters = reload(w, tmp_path, doc)
    assert (counters["edge.reload_success"], counters["edge.reload_failure"]) == (0, 1)
    assert w.proxy.config is before
    assert w.proxy.discovery.address == before.discovery


@pytest.mark.parametrize("value", [0, -1, 0.0, "5", float("nan"), True, [], 1e999])
@pytest.mark.parametrize("path", [("lanes", 1, "deadline"), ("caps", "max_attempts")])
def test_deadlines_and_attempts_must_be_positive_numbers(path, value):
    """A deadline of 0 would fail every request. Such a file must be rejected."""
    w = ProxyNetwork("lines", "up")
    doc = changed(w, "settings", *path, value=value)
    w.close()
    with pytest.raises(ConfigError) as error:
        read_config(json.dumps(doc).encode())
    assert "\n" not in str(error.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "null", "[" * 100_000, '{"settings": 5}', "\udcff"])
def test_an_unreadable_file_changes_nothing_and_counts_one_failure(tmp_path, text):
    """The file cannot be decoded at SIGHUP. The old settings must remain, and one failure is counted."""
    w = ProxyNetwork("lines", "up")
    (tmp_path / "config.json").write_bytes(text.encode("utf-8", "surrogateescape"))
    w.proxy.reload(str(tmp_path / "config.json"))
    assert w.counters()["edge.reload_failure"] == 1
    assert w.up()
    w.close()


def test_a_reload_keeps_the_discovery_connection_if_the_address_is_the_same(world, tmp_path):
    """A reload that changes something else must not break the connection to the discovery service: all
    proxies would ask for the list at once.
    """
    w = world("up")
    w.until(lambda: w.calls)
    conn, calls = w.proxy.discovery.http_client.conn, len(w.calls)
    reload(w, tmp_path, changed(w, "settings", "caps", "max_attempts", value=2))
    w.run(0.1)
    assert w.proxy.discovery.http_client.conn is conn
    assert len(w.calls) == calls


def test_a_complete_list_requested_during_a_poll_is_fetched_after_it(world, tmp_path):
    """A reload renumbers the zones during a poll. Without a complete list, endpoints keep old numbers."""
    w = world("up")
    w.endpoint_rows = [w.servers[0].row]
    w.until(lambda: w.calls and "since=" in w.calls[-1][1])
    (endpoint,) = w.driver.balancer.endpoints.by_id.values()
    assert endpoint.zone == 0
    reload(w, tmp_path, changed(w, "settings", "zones", value=["y", "z"]))
    calls = len(w.calls)
    w.version += 1  # the poll ends
    w.until(lambda: len(w.calls) > calls + 1)
    assert [target.partition("?")[0] != target for _, target in w.calls[calls : calls + 2]] == [False, True]
    assert w.proxy.driver.balancer.endpoints.by_id[endpoint.endpoint_id].zone == 1


def test_a_new_attempt_limit_applies_to_later_requests(world, tmp_path):
    w = world("busy", "busy", "busy")
    reload(w, tmp_path, changed(w, "settings", "caps", "max_attempts", value=1))
    for n in range(3):
        client = w.client(n)
        w.until(lambda: client.ended_at)  # noqa: B023
    assert w.counters()["edge.dispatches"] == 3


# --- the balancer alone -----------------------------------------------------------------------------------


def update_settings(balancer: Balancer, now: int, **changes: Any) -> None:
    new = replace(balancer.settings, **changes)
    balancer.handle(now, [SettingsUpdated(new, (0,) + (-1,) * (len(new.classes) - 1))])


def test_a_request_keeps_its_idempotency_and_gets_no_more_attempts():
    """A class becomes non-idempotent while a request of it is retried. Only later requests are affected."""
    clock = Clock(make_balancer(make_endpoints(5)))
    (first,) = attempts(clock.step(arrival(1)))
    old = clock.balancer.settings
    non_idempotent = replace(old.classes[0], idempotency=Idempotency.NON_IDEMPOTENT)
    update_settings(
        clock.balancer, clock.now, classes=(non_idempotent,), limits=replace(old.limits, max_attempts=9)
    )
    (retry,) = attempts(clock.step(attempt_ended(first, Outcome.RESET)))
    (second,) = attempts(clock.step(arrival(2)))
    actions = clock.step(attempt_ended(second, Outcome.RESET))
    assert not attempts(actions)
    assert isinstance(final_answers(actions)[0], Fail)
    (third,) = attempts(clock.step(attempt_ended(retry, Outcome.RESET, 1)))
    assert isinstance(final_answers(clock.step(attempt_ended(third, Outcome.RESET, 2)))[0], Reject)


def test_a_lower_attempt_limit_applies_at_once():
    clock = Clock(make_balancer(make_endpoints(5)))
    (first,) = attempts(clock.step(arrival(1)))
    limits = replace(clock.balancer.settings.limits, max_attempts=1)
    update_settings(clock.balancer, clock.now, limits=limits)
    assert final_answers(clock.step(attempt_ended(first, Outcome.REJECTED)))


def test_the_measured_load_of_a_class_follows_it_to_its_new_position():
    balancer = make_balancer(make_endpoints(2), classes=settings().classes * 2)
    balancer.handle(START, [arrival(1, class_index=1)])
    balancer.handle(START, [LoadReported(1, 0, 100, 40.0)])
    new = replace(balancer.settings, classes=balancer.settings.classes[:1] * 3)
    balancer.handle(START, [SettingsUpdated(new, (1, -1, 0))])
    assert [mean.load for mean in balancer.requests.class_loads] == [40.0, 0.0, 0.0]
    balancer.handle(START + SECOND, [snapshot(make_endpoints(2)), arrival(2, class_index=0)])
    assert balancer.requests.by_id[2].load == 40.0


def test_an_update_without_the_positions_of_the_classes_is_rejected():
    balancer = make_balancer(make_endpoints(1))
    with pytest.raises(UsageError):
        balancer.handle(START, [SettingsUpdated(balancer.settings, ())])
