"""The operator's interface to a view: statsd counters, and rows of members and zones for the control server.

Commands and dashboards read fields and counters by the names given here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from arrowseam.membership.cordons import MARK_PREFIX
from arrowseam.membership.records import MemberInfo, MemberRecord
from arrowseam.membership.settings import MS, SECOND
from arrowseam.membership.view import ClusterView

COUNTERS = (
    "probes", "failed", "indirect", "knocks", "suspect", "dead", "gone", "left", "refuted", "stalls",
    "exchanges", "messages_in", "messages_out", "bytes_in", "bytes_out", "junk", "foreign", "unknown",
    "echoes", "namesakes", "surplus", "spared", "bridges", "tables",
)  # fmt: skip
TRANSPORT_COUNTERS = ("unsent", "oversized", "turned_away")
ROUND_TRIP_BOUNDS_MS = (0.5, 1, 2, 5, 10, 20, 50, 100)

Row = dict[str, Any]  # encoded as JSON


class RoundTripHistogram:
    """Counts of probe round trips by upper bound, with one more for those above the last bound."""

    def __init__(self) -> None:
        self.counts = [0] * (len(ROUND_TRIP_BOUNDS_MS) + 1)

    def add(self, round_trip: int) -> None:
        """Count one round trip, in microseconds."""
        self.counts[sum(round_trip > bound * MS for bound in ROUND_TRIP_BOUNDS_MS)] += 1

    def lines(self) -> Iterator[str]:
        """Yield a statsd counter per bound."""
        for bound, count in zip([*map(str, ROUND_TRIP_BOUNDS_MS), "more"], self.counts):
            yield f"edge.fleet.trip_ms.{bound.replace('.', '_')}:{count}|c"


def counter_lines(view: ClusterView, proxy_count: int, transport: Counter[str] | None) -> Iterator[str]:
    """Yield the statsd lines of a view and, if it is running, of its transport."""
    yield f"edge.fleet.members:{view.members.active_count}|g"
    yield f"edge.fleet.told:{proxy_count}|g"
    yield f"edge.fleet.health:{view.failure_detector.health}|g"
    yield f"edge.fleet.counted_out:{view.evidence.counted_out_count}|g"
    yield f"edge.fleet.strangers:{view.evidence.unconfirmed_count}|g"
    yield f"edge.fleet.zones_silent:{sum(zone.silent for zone in view.zones.others)}|g"
    for name in COUNTERS:
        yield f"edge.fleet.{name}:{view.counters[name]}|c"
    if transport is not None:
        for name in TRANSPORT_COUNTERS:
            yield f"edge.fleet.{name}:{transport[name]}|c"


def member_rows(view: ClusterView, now: int) -> Iterator[Row]:
    """Yield a row per member, our own first; times in seconds ago, ``now`` in microseconds."""
    members = view.members
    yield _member_row(view, members.me, view.info, 0.0, 0.0, view.digest)
    for name, record in sorted(members.records.items()):
        info, received_at = members.infos.get(name, (None, now))
        since, heard = (now - members.state_since[name]) / SECOND, (now - received_at) / SECOND
        yield _member_row(view, record, info, since, heard, members.reported_digests.get(name))


def _member_row(
    view: ClusterView,
    record: MemberRecord,
    info: MemberInfo | None,
    since: float,
    heard: float,
    digest: int | None,
) -> Row:
    row: Row = {
        "name": record.name,
        "state": record.state.name.lower(),
        "since_s": round(since, 1),
        "by": record.reported_by,
        "address": f"{record.host}:{record.port}",
        "life": record.started_at,
        "incarnation": record.incarnation,
        "turn": record.incarnation,  # the name of this field until 0.1
        "agrees": None if digest is None else digest == view.digest,
        "digest": None if digest is None else f"{digest:016x}",
    }
    if info is not None:
        row |= {"heard_s": round(heard, 1)} | _info_fields(info)
    return row


def _info_fields(info: MemberInfo) -> Row:
    return {
        "version": info.version,
        "settings": info.settings_digest,
        "zone": info.zone,
        "draining": info.draining,
        "connections": info.connections,
        "refusals": info.rejections,
        "told": info.proxy_count,
    }


def zone_rows(view: ClusterView, now: int) -> Iterator[Row]:
    """Yield a row per zone with its latest summary and the age of its heartbeat in seconds."""
    for zone in view.zones.by_name.values():
        row: Row = {"zone": zone.name, "size": zone.size, "silent": zone.silent}
        if zone.heartbeat_at is not None:
            row["beat_s"] = round((now - zone.heartbeat_at) / SECOND, 1)
        summary = zone.summary
        if summary is not None:
            row |= {
                "here": summary.active,
                "dead": summary.dead,
                "over": summary.ended,
                "by": summary.author,
            }
        yield row


def cordoned_endpoints(view: ClusterView) -> list[str]:
    """Return the endpoints that are cordoned, sorted."""
    return [name for name in view.cordons.cordoned() if not name.startswith(MARK_PREFIX)]
