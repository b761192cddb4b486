"""The operations of the NATS client protocol: parsing and formatting, without I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from arrowseam.errors import ArrowseamError
from arrowseam.net.buffer import Buffer

CLIENT_LINE_MAX = 4096  # bytes of a control line, without its terminator, that a client may send
ENDPOINT_LINE_MAX = 32768  # the same for an endpoint, whose INFO may be longer
SIZE_DIGITS_MAX = 9
PAYLOAD_END = 2  # bytes of the line terminator after a payload

CLIENT_VERBS = frozenset({b"CONNECT", b"PUB", b"HPUB", b"SUB", b"UNSUB", b"PING", b"PONG"})
ENDPOINT_VERBS = frozenset({b"INFO", b"MSG", b"HMSG", b"PING", b"PONG", b"+OK", b"-ERR"})
# How many of an operation's last arguments are sizes of its payload; the last is the size of all of it.
_SIZE_ARGUMENTS = {b"PUB": 1, b"HPUB": 2, b"MSG": 1, b"HMSG": 2}
# The minimum and the maximum number of arguments.
_ARGUMENT_COUNTS = {
    b"PUB": (2, 3),
    b"HPUB": (3, 4),
    b"MSG": (3, 4),
    b"HMSG": (4, 5),
    b"SUB": (2, 3),
    b"UNSUB": (1, 2),
}

PING_LINE = b"PING\r\n"
PONG_LINE = b"PONG\r\n"
OK_LINE = b"+OK\r\n"
PARSER_ERROR = "Parser Error"
# How the texts of errors begin, in lower case, by which an endpoint says that its client is at fault.
CLIENT_FAULTS = (
    b"unknown protocol operation",
    b"parser error",
    b"authorization violation",
    b"authentication",
    b"user authentication",
    b"invalid client protocol",
    b"maximum control line exceeded",
    b"maximum payload violation",
    b"invalid subject",
    b"permissions violation",
    b"secure connection",
    b"slow consumer",
    b"stale connection",
)


class NatsProtocolError(ArrowseamError):
    """The peer violated the protocol; the message is the text that NATS uses for it."""


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation in a buffer.

    Attributes:
        verb: in upper case.
        arguments: what follows the verb on its line.
        size: bytes of the whole operation, payload and line terminators included.
    """

    verb: bytes
    arguments: bytes
    size: int


def parse_operation(
    received: Buffer, offset: int, verbs: frozenset[bytes], line_max: int, payload_max: int
) -> Operation | None:
    """The operation at ``offset``, if its control line is complete; its payload may not be.

    Raises NatsProtocolError for an invalid operation, one that is not among ``verbs``, or one that is longer
    than allowed.
    """
    newline = received.find(b"\n", offset)
    if newline < 0 or newline - offset > line_max + 1:
        if len(received) - offset > line_max + 1:
            raise NatsProtocolError("Maximum Control Line Exceeded")
        return None
    line = received.peek(newline - offset, offset).rstrip(b"\r")
    words = line.replace(b"\t", b" ").split(None, 1)
    verb = words[0].upper() if words else b""
    arguments = words[1].strip() if len(words) > 1 else b""
    if verb not in verbs:
        raise NatsProtocolError("Unknown Protocol Operation")
    payload = _payload_size(verb, arguments.split(), payload_max) if verb in _ARGUMENT_COUNTS else 0
    return Operation(verb, arguments, newline + 1 - offset + payload)


def _payload_size(verb: bytes, arguments: list[bytes], payload_max: int) -> int:
    """Bytes of the payload and its line terminator; 0 for an operation without one."""
    minimum, maximum = _ARGUMENT_COUNTS[verb]
    if not minimum <= len(arguments) <= maximum:
        raise NatsProtocolError(PARSER_ERROR)
    if verb not in _SIZE_ARGUMENTS:
        return 0
    sizes = arguments[-_SIZE_ARGUMENTS[verb] :]
    if not all(size.isdigit() and len(size) <= SIZE_DIGITS_MAX for size in sizes):
        raise NatsProtocolError(PARSER_ERROR)
    if int(sizes[0]) > int(sizes[-1]):  # the headers are a part of the total
        raise NatsProtocolError(PARSER_ERROR)
    if int(sizes[-1]) > payload_max:
        raise NatsProtocolError("Maximum Payload Violation")
    return int(sizes[-1]) + PAYLOAD_END


def parse_json_object(text: bytes) -> dict[str, Any]:
    """The JSON object of INFO or CONNECT; raises NatsProtocolError."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):  # thousands of brackets fit into a line
        value = None
    if not isinstance(value, dict):
        raise NatsProtocolError(PARSER_ERROR)
    return value


def rejection_text(retry_after_ms: int) -> str:
    """NATS has no field for a retry time: clients recognise the first part, people read the second."""
    retry_after = f", Retry After {retry_after_ms} ms" if retry_after_ms > 0 else ""
    return "Maximum Connections Exceeded" + retry_after


def is_client_fault(error_arguments: bytes) -> bool:
    """Whether the error that an endpoint has sent is the fault of its client."""
    return error_arguments.strip(b" '").lower().startswith(CLIENT_FAULTS)


def error_line(text: str) -> bytes:
    """The ``-ERR`` line of an error."""
    return f"-ERR '{text}'\r\n".encode()


def connect_line(options: bytes) -> bytes:
    """The CONNECT of a client, from its JSON text."""
    return b"CONNECT " + options + b"\r\n"


def info_line(fields: dict[str, Any]) -> bytes:
    """The INFO of a server."""
    return b"INFO " + json.dumps(fields, separators=(",", ":")).encode() + b"\r\n"
