"""Validates the content of an endpoint file: returns its endpoints, or raises one clear reason for rejection.

A file is JSON in the discovery service's format and holds the complete list, with an optional ``generation``.
It is read more strictly than the discovery service's answers, since a person or a script wrote it, and is
accepted completely or not at all. Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

import json
import math
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, NoReturn

import msgspec
from msgspec import UNSET, Meta, UnsetType

from arrowseam.address import parse_address
from arrowseam.endpoint_sources.records import DRAINING, READY, EndpointRecord
from arrowseam.errors import ArrowseamError

WEIGHT_MAX = 1e6  # shares have 31 bits: a weight of a thousandth of this still gets a share beside it
QUOTED_CHARACTERS_MAX = 80  # quoted from the file in an error message
NUMBER_DIGITS_MAX = 40

# Every reason for which a file is rejected; the counters are kept by these names.
REASONS = (
    "absent", "unreadable", "not-a-file", "writable-by-all", "too-large", "torn", "empty-file", "encoding",
    "json", "twice-key", "form", "twice-server", "twice-address", "address", "weight", "lifecycle",
    "no-servers", "removes-too-much", "generation", "worker",
)  # fmt: skip


class ListRejectedError(ArrowseamError):
    """A rejected list: the reason, one of ``REASONS``, and a single line that names the place."""

    def __init__(self, reason: str, text: str) -> None:
        super().__init__(text)
        self.reason = reason


class _Row(msgspec.Struct, forbid_unknown_fields=True):
    """One endpoint, in the discovery service's format."""

    name: Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[!-~]+$")] = msgspec.field(
        name="instanceId"
    )
    address: Annotated[str, Meta(max_length=64)] = msgspec.field(name="hostPort")
    zone: Annotated[str, Meta(max_length=128)]
    machine_type: Annotated[str, Meta(max_length=128)] = msgspec.field(name="machineType", default="")
    cell: Annotated[int, Meta(ge=0, le=1 << 31)] | UnsetType = UNSET
    state: str = msgspec.field(name="lifecycle", default=READY)
    weight: float | UnsetType = UNSET
    started_at_ms: Annotated[float, Meta(ge=0, le=1e15)] = msgspec.field(name="startedAtMs", default=0.0)


class _List(msgspec.Struct, forbid_unknown_fields=True):
    rows: list[_Row] = msgspec.field(name="instances")
    generation: Annotated[int, Meta(ge=0, le=1 << 53)] | None = None
    is_complete: bool = msgspec.field(name="reset", default=True)


@dataclass(frozen=True, slots=True)
class ValidList:
    """A list that is valid on its own, not yet compared with the one in force."""

    generation: int | None
    records: dict[str, EndpointRecord]


@dataclass(frozen=True, slots=True)
class ListDelta:
    """The differences of a new list from the last valid one."""

    added: list[EndpointRecord] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    changed: list[EndpointRecord] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed)


def _quoted(text: object) -> str:
    """Quote a text from the file, cut if it is long."""
    shown = str(text)
    return shown if len(shown) <= QUOTED_CHARACTERS_MAX else shown[: QUOTED_CHARACTERS_MAX - 3] + "..."


def _without_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Reject duplicate keys, of which the decoder alone would silently use the last value."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                name = fields.get("instanceId")
                where = f" in the row of {_quoted(name)}" if isinstance(name, str) else ""
                raise ListRejectedError("twice-key", f"duplicate key {_quoted(repr(key))}{where}")
            seen.add(key)
    return fields


def _reject_constant(text: str) -> NoReturn:
    raise ListRejectedError("json", f"{text} is not valid JSON")


def _read_integer(text: str) -> int:
    # Converting a number of thousands of digits would block the worker, and no field needs one.
    if len(text) > NUMBER_DIGITS_MAX:
        raise ListRejectedError("json", f"a number of {len(text)} digits")
    return int(text)


def parse(data: bytes) -> ValidList:
    """Parse a file's content; raises ListRejectedError."""
    document = _decode_json(data)
    try:
        decoded = msgspec.convert(document, _List)
    except msgspec.ValidationError as error:
        raise ListRejectedError("form", _located(str(error), document)) from None
    if not decoded.is_complete:
        raise ListRejectedError("form", "reset: must be true, since a file holds the complete list")
    return ValidList(decoded.generation, _checked_records(decoded.rows))


def _decode_json(data: bytes) -> Any:
    if not data.strip():
        raise ListRejectedError("empty-file", "the file is empty")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ListRejectedError("encoding", f"not UTF-8 at byte {error.start}") from None
    try:
        return json.loads(
            text,
            object_pairs_hook=_without_duplicate_keys,
            parse_constant=_reject_constant,
            parse_int=_read_integer,
        )
    except json.JSONDecodeError as error:
        half = "" if text.rstrip()[-1:] == "}" else "; half-written?"
        raise ListRejectedError(
            "json", f"line {error.lineno}, column {error.colno}: {error.msg}{half}"
        ) from None
    except RecursionError:
        raise ListRejectedError("json", "brackets are nested too deeply") from None


def _located(text: str, document: Any) -> str:
    """Format an error of msgspec with its place: ``instances[3] (s-5be2a07c): weight: Expected ...``."""
    reason, _, path = text.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    row, _, key = path.partition("].")
    if row.startswith("instances["):
        row = row.rstrip("]") + "]"
        position = row.removeprefix("instances[").rstrip("]")
        if position.isdigit():
            entry = document["instances"][int(position)]
            name = entry.get("instanceId") if isinstance(entry, dict) else None
            row += f" ({_quoted(name)})" if isinstance(name, str) else ""
        return ": ".join(part for part in (row, key, reason) if part)
    return f"{path}: {reason}" if path else reason


def _checked_records(rows: list[_Row]) -> dict[str, EndpointRecord]:
    records: dict[str, EndpointRecord] = {}
    owners: dict[tuple[bytes, int], str] = {}  # endpoint names by address
    for position, row in enumerate(rows):
        where = f"instances[{position}] ({row.name})"
        if row.name in records:
            raise ListRejectedError("twice-server", f"{where}: the server is listed twice")
        address = _packed_address(row.address, where)
        if address in owners:
            raise ListRejectedError("twice-address", f"{where}: hostPort: already used by {owners[address]}")
        if row.state not in (READY, DRAINING):
            raise ListRejectedError("lifecycle", f"{where}: lifecycle: unknown {_quoted(repr(row.state))}")
        if row.weight is not UNSET and not 0.0 < row.weight <= WEIGHT_MAX:  # NaN is neither
            raise ListRejectedError(
                "weight", f"{where}: weight: {row.weight:g} is not above 0 and at most {WEIGHT_MAX:g}"
            )
        owners[address] = row.name
        records[row.name] = EndpointRecord(
            row.name,
            row.address,
            row.zone,
            row.machine_type,
            None if row.cell is UNSET else row.cell,
            row.state,
            None if row.weight is UNSET else row.weight,
            row.started_at_ms,
        )
    return records


def _packed_address(text: str, where: str) -> tuple[bytes, int]:
    """Return an address in binary form, which is the same for every way of writing it.

    A host name is rejected: resolving it would block.
    """
    try:
        host, port = parse_address(text)
    except ValueError as error:
        raise ListRejectedError("address", f"{where}: hostPort: {_quoted(error)}") from None
    try:
        packed = socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError:
        raise ListRejectedError(
            "address", f"{where}: hostPort: {_quoted(host)} is not an IP address"
        ) from None
    except ValueError as error:  # it contains a zero byte
        raise ListRejectedError("address", f"{where}: hostPort: {_quoted(error)}") from None
    if port == 0:
        raise ListRejectedError("address", f"{where}: hostPort: the port is 0")
    return packed, port


def ready_weight(records: Mapping[str, EndpointRecord]) -> float:
    """Return the sum of the weights of the ready endpoints."""
    return math.fsum(record.effective_weight for record in records.values() if record.state == READY)


def compare(
    new: ValidList,
    current: Mapping[str, EndpointRecord],
    generation: int | None,
    max_removed: float,
    allow: bool = False,
) -> ListDelta:
    """Compare a valid list with the one in force.

    Args:
        current: the endpoints of the list in force.
        generation: its generation; None = it had none.
        max_removed: share of the ready weight that the new list may remove.
        allow: accept a larger removal; no other check is relaxed.

    Raises:
        ListRejectedError: the new list is older, or removes too much.
    """
    if new.generation is not None and generation is not None and new.generation < generation:
        raise ListRejectedError(
            "generation", f"generation: {new.generation} after {generation} goes backwards"
        )
    if not allow:
        _check_removal(new.records, current, max_removed)
    return difference(new.records, current)


def _check_removal(
    new: Mapping[str, EndpointRecord], current: Mapping[str, EndpointRecord], max_removed: float
) -> None:
    """A file that was truncated or made from partial data would otherwise remove most endpoints."""
    if not new:
        raise ListRejectedError("no-servers", "instances: the list removes all servers")
    before = ready_weight(current)
    if before <= 0.0:
        return
    removed = math.fsum(
        record.effective_weight
        for record in current.values()
        if record.state == READY and (record.name not in new or new[record.name].state != READY)
    )
    # The tolerance covers rounding errors of the sums.
    if removed > max_removed * before * (1 + 1e-9):
        raise ListRejectedError(
            "removes-too-much",
            f"instances: {removed / before:.0%} of the ready weight would be removed, over {max_removed:.0%}",
        )


def difference(new: Mapping[str, EndpointRecord], current: Mapping[str, EndpointRecord]) -> ListDelta:
    """Return the endpoints that were added, removed and changed."""
    delta = ListDelta([], [name for name in current if name not in new], [])
    for name, record in new.items():
        previous = current.get(name)
        if previous is None:
            delta.added.append(record)
        elif previous != record:
            delta.changed.append(record)
    return delta
