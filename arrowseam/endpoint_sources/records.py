"""Endpoint records of the sources, decoded from the discovery service's format and converted for the driver.

The keys of that format (``instanceId``, ``lifecycle`` and so on) are mapped to the names in the code here.
Lists of the discovery service are decoded leniently; ``validation.py`` reads files more strictly.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from arrowseam.balancer.events import Endpoint, EndpointState, UpdateKind
from arrowseam.config.decode import DecodeError, read_array, read_int, read_number
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.endpoint_list import EndpointIds, EndpointListUpdate

# The states of an endpoint as the discovery service and snapshots spell them.
READY, DRAINING, REMOVED = "Ready", "Terminating", "Gone"
STATES = {
    READY: EndpointState.READY,
    DRAINING: EndpointState.DRAINING,
    REMOVED: EndpointState.REMOVED,
}

MICROSECONDS_PER_MILLISECOND = 1000
# Unix time less the monotonic clock, in microseconds. Measured once, so that the same start time always
# converts to the same value.
UNIX_OFFSET = time.time_ns() // 1000 - time.monotonic_ns() // 1000


class EndpointRecord(NamedTuple):
    """One endpoint as a source reports it.

    Snapshots, the worker and a hot restart transfer the fields by position. Zone and machine type are names,
    since their positions may change with new settings.

    Attributes:
        address: HOST:PORT; empty = unknown.
        state: READY, DRAINING or REMOVED.
        started_at_ms: Unix milliseconds of its last start; 0 = long ago.
    """

    name: str
    address: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: str = READY
    weight: float = 1.0
    started_at_ms: float = 0.0

    def to_row(self) -> dict[str, Any]:
        """Return the record in the discovery service's format."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.machine_type,
            "cell": self.cell,
            "lifecycle": self.state,
            "weight": self.weight,
            "startedAtMs": self.started_at_ms,
        }


def read_record(row: Any) -> EndpointRecord:
    """Decode one row of the discovery service's list; raises DecodeError."""
    if not isinstance(row, dict) or not isinstance(row.get("instanceId"), str):
        raise DecodeError("list: each instance must be an object with an instanceId")
    state = str(row.get("lifecycle"))
    if state not in STATES:
        raise DecodeError(f"list: unknown lifecycle {row.get('lifecycle')!r}")
    address = row.get("hostPort")
    return EndpointRecord(
        name=row["instanceId"],
        address=address if isinstance(address, str) else "",
        zone=str(row.get("zone")),
        machine_type=str(row.get("machineType")),
        cell=read_int(row, "cell"),
        state=state,
        weight=read_number(row, "weight", 1.0),
        started_at_ms=read_number(row, "startedAtMs"),
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
                weight=record.weight,
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
