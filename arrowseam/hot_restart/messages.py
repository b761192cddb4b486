"""Messages between the two processes of one proxy during a hot restart, and their encoding.

Only this module maps the names on the wire to the names in the code. A message is a JSON object on one line;
file descriptors may be sent along with it (``SCM_RIGHTS``).
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple, TypeAlias

from arrowseam.errors import ArrowseamError

HANDOVER_REQUEST = b'{"hello":1}\n'  # the first line that a new process sends


class HandoverMessageError(ArrowseamError):
    """The other process has sent a message that cannot be decoded or used."""


class ListenersTaken(NamedTuple):
    """New to old: the new process now uses these listening sockets."""

    names: tuple[str, ...]


class ListenersReleased(NamedTuple):
    """Old to new: the old process has closed its copies of these sockets."""


class ConnectionHandedOver(NamedTuple):
    """Old to new: an established connection; the sockets of its client and its endpoint are sent along.

    ``state`` is encoded by ``connection_state.py``.
    """

    state: dict[str, Any]


class CordonChange(NamedTuple):
    """In both directions: an endpoint was cordoned or uncordoned."""

    endpoint: str
    cordoned: bool


class ConnectionIdChange(NamedTuple):
    """In both directions: the id of a client's connection has come into use, or is free again.

    One that may have run is never free again.
    """

    connection_id: str
    in_use: bool


class DescriptorCount(NamedTuple):
    """In both directions: how many descriptors the sender has open; both processes share one limit."""

    descriptors: int


HandoverMessage: TypeAlias = (
    ListenersTaken
    | ListenersReleased
    | ConnectionHandedOver
    | CordonChange
    | ConnectionIdChange
    | DescriptorCount
)


def encode_message(message: HandoverMessage) -> bytes:
    """Encode a message as one line."""
    return json.dumps(_fields(message)).encode() + b"\n"


def _fields(message: HandoverMessage) -> dict[str, Any]:
    match message:
        case ListenersTaken(names):
            return {"ready": list(names)}
        case ListenersReleased():
            return {"released": True}
        case ConnectionHandedOver(state):
            return {"stands": state}
        case CordonChange(endpoint, cordoned):
            return {"cordon": endpoint, "out": cordoned}
        case ConnectionIdChange(connection_id, in_use):
            return {"id": connection_id, "open": in_use}
        case DescriptorCount(count):
            return {"held": count}


def decode_message(line: bytes) -> HandoverMessage | None:
    """Decode one line; None for a kind of message that this version does not know.

    Raises:
        HandoverMessageError: the line is not JSON.
    """
    try:
        fields = json.loads(line)
    except ValueError as error:
        raise HandoverMessageError(f"not JSON ({error})") from None
    match fields:
        case {"ready": list(names)}:
            return ListenersTaken(tuple(names))
        case {"released": True}:
            return ListenersReleased()
        case {"stands": dict(state)}:
            return ConnectionHandedOver(state)
        case {"cordon": str(endpoint), "out": bool(cordoned)}:
            return CordonChange(endpoint, cordoned)
        case {"id": str(connection_id), "open": bool(in_use)}:
            return ConnectionIdChange(connection_id, in_use)
        case {"held": int(count)}:
            return DescriptorCount(count)
    return None


class HandoverState(NamedTuple):
    """The old process's first reply: the state with which the new process starts.

    Attributes:
        endpoint_list: the endpoint list of the discovery service, in the service's format.
        cordoned: endpoints that operators have cordoned.
        uncordoned_at: recently uncordoned endpoints, and when (microseconds, monotonic clock).
        endpoint_sources: the exported state of the endpoint sources; None without an operator file.
        connection_ids: ids of clients' connections in use, or that may have run.
        listener_names: names of the listening sockets that are sent along, in the same order.
        descriptor_count: number of descriptors that the old process has open.
    """

    endpoint_list: dict[str, Any] | None
    cordoned: tuple[str, ...]
    uncordoned_at: dict[str, int]
    endpoint_sources: Any
    connection_ids: tuple[str, ...]
    listener_names: tuple[str, ...] = ()
    descriptor_count: int = 0


def encode_state(state: HandoverState) -> bytes:
    """Encode the old process's first reply as one line."""
    fields = {
        "list": state.endpoint_list,
        "cordoned": list(state.cordoned),
        "back": state.uncordoned_at,
        "members": state.endpoint_sources,
        "ids": list(state.connection_ids),
        "sockets": list(state.listener_names),
        "held": state.descriptor_count,
    }
    return json.dumps(fields).encode() + b"\n"


def decode_state(line: bytes) -> HandoverState:
    """Decode the old process's first reply.

    Raises:
        HandoverMessageError: it is not valid JSON, or does not name the sockets that are sent along.
    """
    try:
        fields = json.loads(line)
        names = fields["sockets"]
        endpoint_list = fields.get("list")
        return HandoverState(
            endpoint_list=endpoint_list if isinstance(endpoint_list, dict) else None,
            cordoned=tuple(fields.get("cordoned", ())),
            uncordoned_at=dict(fields.get("back", {})),
            endpoint_sources=fields.get("members"),
            connection_ids=tuple(fields.get("ids", ())),
            listener_names=tuple(names if isinstance(names, list) else ()),
            descriptor_count=int(fields.get("held", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise HandoverMessageError(f"its state cannot be decoded: {error}") from None
