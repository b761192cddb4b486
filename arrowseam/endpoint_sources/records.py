"""Endpoint records of the sources, decoded from the discovery service's format and converted for the driver.

The keys of that format (``instanceId``, ``lifecycle`` and so on) are mapped to the names in the code here.
Lists of the discovery service are decoded leniently; ``validation.py`` reads files more strictly.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from arrowseam.balancer.events import Endpoint, EndpointState, UpdateKind
from arrowseam.config.decode import DecodeError, read_array, read_int, read_optional_number
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.endpoint_list import EndpointIds, EndpointListUpdate

# The states of an endpoint as the discovery service and snapshots spell them.
READY, DRAINING, REMOVED = "Ready", "Terminating", "Gone"
STATES = {
    READY: EndpointState.READY,
    DRAINING: EndpointState.DRAINING,
    REMOVED: EndpointState.REMOVED,
}

DEFAULT_WEIGHT = 1.0  # of an endpoint whose weight no source states
# In rows for another process, which may run an earlier version: that version takes any negative weight as 1.
TRANSFERRED_NO_CELL, TRANSFERRED_NO_WEIGHT = -1, -1.0
MICROSECONDS_PER_MILLISECOND = 1000
# Unix time less the monotonic clock, in microseconds. Measured once, so that the same start time always
# converts to the same value.
UNIX_OFFSET = time.time_ns() // 1000 - time.monotonic_ns() // 1000


class EndpointRecord(NamedTuple):
    """One endpoint as a source reports it, or as merged from the records of several sources.

    A field that the source does not state is empty (texts), None (cell, weight) or 0 (start), so that another
    source may state it. Zone and machine type are names, since their positions may change with new settings.

    Attributes:
        address: HOST:PORT; empty = unknown.
        cell: None = unknown, which is no cell that another endpoint may share.
        state: READY, DRAINING or REMOVED.
        weight: None = not stated; it counts as ``DEFAULT_WEIGHT``.
        started_at_ms: Unix milliseconds of its last start; 0 = long ago, or not stated.
    """

    name: str
    address: str
    zone: str = ""
    machine_type: str = ""
    cell: int | None = None
    state: str = READY
    weight: float | None = None
    started_at_ms: float = 0.0

    @property
    def effective_weight(self) -> float:
        """The weight that it counts with."""
        return DEFAULT_WEIGHT if self.weight is None else self.weight

    def to_row(self) -> dict[str, Any]:
        """Return the record in the discovery service's format; an unknown cell is null."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.machine_type,
            "cell": self.cell,
            "lifecycle": self.state,
            "weight": self.effective_weight,
            "startedAtMs": self.started_at_ms,
        }

    def to_transfer(self) -> EndpointRecord:
        """Return the record as snapshots, the worker and a hot restart transfer it, by position."""
        if self.cell is not None and self.weight is not None:
            return self
        return self._replace(
            cell=TRANSFERRED_NO_CELL if self.cell is None else self.cell,
            weight=TRANSFERRED_NO_WEIGHT if self.weight is None else self.weight,
        )

    @classmethod
    def from_transfer(cls, row: Iterable[Any]) -> EndpointRecord:
        """Decode the fields of ``to_transfer``; raises TypeError if there are too few or too many."""
        record = cls(*row)
        if record.cell == TRANSFERRED_NO_CELL:
            record = record._replace(cell=None)
        if record.weight == TRANSFERRED_NO_WEIGHT:
            record = record._replace(weight=None)
        return record


def read_record(row: Any) -> EndpointRecord:
    """Decode one row of the discovery service's list; raises DecodeError."""
    if not isinstance(row, dict) or not isinstance(row.get("instanceId"), str):
        raise DecodeError("list: each instance must be an object with an instanceId")
    state = str(row.get("lifecycle"))
    if state not in STATES:
        raise DecodeError(f"list: unknown lifecycle {row.get('lifecycle')!r}")
    address, zone, machine_type = row.get("hostPort"), row.get("zone"), row.get("machineType")
    cell = read_optional_number(row, "cell")
    return EndpointRecord(
        name=row["instanceId"],
        address=address if isinstance(address, str) else "",
        zone="" if zone is None else str(zone),
        machine_type="" if machine_type is None else str(machine_type),
        cell=None if cell is None else int(cell),
        state=state,
        weight=read_optional_number(row, "weight"),
        started_at_ms=read_optional_number(row, "startedAtMs") or 0.0,
    )


def read_records(document: Any) -> tuple[bool, int, list[EndpointRecord]]:
    """Decode a list; returns whether it is complete, its version, and its endpoints.

    Raises:
        ConfigError: it is not in the discovery service's format.
    """
    try:
        rows = _rows(document)
        records = [read_record(row) for row in rows]
        return bool(document.get("reset")), read_int(document, "generation"), records
    except DecodeError as error:
        raise ConfigError(str(error)) from None


def _rows(document: Any) -> list[Any]:
    if not isinstance(document, dict):
        raise DecodeError("list: not a JSON object")
    if document.get("instances") is None:  # as an empty list it would remove all endpoints
        raise DecodeError("list: instances is missing")
    return read_array(document, "instances")


def update_kind(is_complete: bool, is_cached: bool = False) -> UpdateKind:
    """Return the kind of an answer of the discovery service."""
    if is_cached:
        return UpdateKind.CACHED_SNAPSHOT
    return UpdateKind.SNAPSHOT if is_complete else UpdateKind.DELTA


def create_update(
    kind: UpdateKind,
    version: int,
    records: Iterable[EndpointRecord],
    config: Config,
    ids: EndpointIds,
    more_follows: bool = False,
) -> EndpointListUpdate:
    """Create an update for the driver; names become ids and positions in the settings.

    A zone or machine type that the settings do not name gets the position after the last one.
    """
    endpoints, addresses = [], {}
    for record in records:
        if record.address:
            addresses[record.name] = record.address
        endpoints.append(
            Endpoint(
                endpoint_id=ids.assign(record.name),
                zone=config.zones.get(record.zone, len(config.zones)),
                weight=record.effective_weight,
                machine_type=config.machine_types.get(record.machine_type, len(config.machine_types)),
                started_at=_monotonic_time(record.started_at_ms),
                state=STATES[record.state],
                cell=record.cell,
            )
        )
    return EndpointListUpdate(kind, version, tuple(endpoints), addresses, more_follows)


def _monotonic_time(unix_ms: float) -> int:
    """Convert Unix milliseconds to microseconds of the monotonic clock; 0 stays 0."""
    if unix_ms <= 0:
        return 0
    return max(1, int(unix_ms * MICROSECONDS_PER_MILLISECOND) - UNIX_OFFSET)


def read_update(
    document: Any, config: Config, ids: EndpointIds, is_cached: bool = False
) -> EndpointListUpdate:
    """Decode a list in the discovery service's format; raises ConfigError if it is not in that format."""
    is_complete, version, records = read_records(document)
    return create_update(update_kind(is_complete, is_cached), version, records, config, ids)
