"""The lines of the platform's protocol: parsing and formatting, without I/O.

The names on the wire are confined to this module; other code sees the fields of ``Request``. An opening is
``OPEN ID FLOW_KEY name=value,...`` with these names:

    c      request class, by name (required)
    t      tenant, by name
    d      how long the client waits, milliseconds from sending (required)
    g      affinity group, hexadecimal
    h      expected load, microseconds of work per second
    r      1: the client's own retry
    again  1: the client's connection broke or was migrated
    at     the endpoint that had the connection before this process started: it is adopted

``LOAD X`` from an endpoint is a connection's load or its milliseconds per message, depending on the
settings (``Settings.reports_load``, ``reports_latency``).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from arrowseam.client_request import DEADLINE_MARGIN, Request
from arrowseam.config.proxy import Config
from arrowseam.errors import ArrowseamError
from arrowseam.net.clock import MS, SECOND
from arrowseam.outcomes import AttemptOutcome

LINE_BYTES_MAX = 4096
# The longest deadline that an adopted connection may name: it counts as lost after 40 s.
ADOPTION_DEADLINE = 38 * SECOND

PING, PONG = b"PING", b"PONG"
LOAD, ESTABLISHED, COMPLETED, MIGRATE = b"LOAD", b"UP", b"BYE", b"MOVE"
STATS_REQUEST = b"STATS\r\n"
PING_REQUEST = b"PING\r\n"
PONG_REPLY = b"PONG\r\n"
MIGRATION_LINE = b"MOVE\r\n"
FAILURE_LINE = b"ERR\r\n"

# The outcome by the first word of an endpoint's answer, except ESTABLISHED; any other word is an error.
OUTCOME_BY_ANSWER = {
    b"BUSY": AttemptOutcome.REJECTED,
    b"ERR": AttemptOutcome.ERROR,
    COMPLETED: AttemptOutcome.COMPLETED,
    MIGRATE: AttemptOutcome.MIGRATED,
}

# A line that reports a load, and its second word.
_LOAD_LINE = re.compile(rb"^[^\S\n]*LOAD[^\S\n]+(\S+)", re.MULTILINE)

# Only values that match these patterns are parsed as numbers. int() and float() also accept signs,
# underscores, nan and more, which endpoints do not, and numbers of any length.
_OPENING = re.compile(rb"OPEN ([0-9a-fA-F]{1,16}) ([0-9a-fA-F]{1,16}) ([!-~]+)")
_VALUE_PATTERNS = {
    "d": re.compile(r"[0-9]{1,9}"),
    "g": re.compile(r"[0-9a-fA-F]{1,16}"),
    "h": re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?"),
}
_VALUES_READ = frozenset({b"c", b"t", b"d", b"g", b"h", b"r", b"again", b"at"})
_WAIT = b"d"


class OpeningError(ArrowseamError, ValueError):
    """A client's first line is not a valid opening; the message says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's first line, parsed as far as is needed to route the request and to forward the line.

    It is kept as long as the connection, so it holds no object for each of the many values that may be in it.

    Attributes:
        before_wait, after_wait: the line around the value of ``d``.
        connection_id: the client's id of the connection.
        flow_key: the key of the client's flow.
        values: the values that this proxy reads, by name.
    """

    before_wait: bytes
    after_wait: bytes
    connection_id: str
    flow_key: int
    values: dict[str, str]

    def forwarded_line(self, wait_ms: int) -> bytes:
        """The line for the endpoint: as received, except for the time that the attempt may take."""
        return b"%s%d%s\r\n" % (self.before_wait, wait_ms, self.after_wait)


def parse_opening(line: bytes) -> Opening:
    """Parse a client's first line, without its line terminator; raises OpeningError."""
    match = _OPENING.fullmatch(line)
    if match is None:
        raise OpeningError("expected OPEN ID KEY VALUES")
    values, wait_at = _parse_values(match[3])
    for name, pattern in _VALUE_PATTERNS.items():
        if name in values and not pattern.fullmatch(values[name]):
            raise OpeningError(f"malformed value of {name}")
    if "c" not in values or "d" not in values:
        raise OpeningError("c and d are required")
    wait_start = match.start(3) + wait_at
    return Opening(
        before_wait=line[:wait_start],
        after_wait=line[wait_start + len(values["d"]) :],
        connection_id=match[1].decode(),
        flow_key=int(match[2], 16),
        values=values,
    )


def _parse_values(text: bytes) -> tuple[dict[str, str], int]:
    """The values that this proxy reads, and where that of ``d`` begins."""
    values: dict[str, str] = {}
    names: set[bytes] = set()
    position = wait_at = 0
    for part in text.split(b","):
        name, equals, value = part.partition(b"=")
        if not name or not equals:
            raise OpeningError("values must be NAME=VALUE")
        if name in names:
            raise OpeningError("duplicate name")
        names.add(name)
        if name in _VALUES_READ:
            values[name.decode()] = value.decode()
        if name == _WAIT:
            wait_at = position + len(name) + len(equals)
        position += len(part) + len(b",")
    return values, wait_at


def create_request(opening: Opening, config: Config, now: int) -> Request:
    """The request that an opening asks for; raises OpeningError for an unknown class or tenant."""
    values = opening.values
    class_index = config.classes.get(values["c"])
    tenant = values.get("t", "")
    if class_index is None or (tenant and tenant not in config.tenants):
        raise OpeningError("unknown class or tenant")
    request_class = config.settings.classes[class_index]
    adopted_endpoint = values.get("at", "")
    # No client waits longer than its class allows; an adopted connection names its own deadline.
    longest = ADOPTION_DEADLINE if adopted_endpoint else request_class.deadline
    return Request(
        class_index=class_index,
        tenant_index=config.tenants.get(tenant, 0),
        flow_key=opening.flow_key,
        deadline=now + max(0, min(int(values["d"]) * MS, longest) - DEADLINE_MARGIN),
        group=int(values.get("g", "0"), 16),
        expected_load=float(values.get("h", "0")),
        is_retry=values.get("r") == "1",
        is_reconnect=values.get("again") == "1",
        adopted_endpoint=adopted_endpoint,
        name=opening.connection_id,
        class_name=values["c"],
        request_class=request_class,
    )


def rejection_line(retry_after_ms: int) -> bytes:
    """The line that rejects a client; 0 = without a retry time."""
    return b"BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"BUSY\r\n"


def first_word(line: bytes) -> bytes:
    """The first word of a line; empty if there is none."""
    words = line.split(None, 1)
    return words[0] if words else b""


def parse_loads(lines: bytes) -> list[float]:
    """The loads in the load reports among these lines; lines without one may be for the client."""
    loads = []
    for match in _LOAD_LINE.finditer(lines):
        try:
            loads.append(float(match[1]))
        except ValueError:
            continue
    return loads


def parse_report(line: bytes) -> dict[str, float]:
    """The numbers in an endpoint's answer to a health check, by name; other values are left out."""
    values: dict[str, float] = {}
    for part in line.decode("ascii", "replace").replace(",", " ").split()[1:]:
        name, _, value = part.partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            continue
    return values
