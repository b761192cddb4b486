"""The handover as requested by a starting process: the old one's listening sockets, state and channel."""

from __future__ import annotations

import os
import socket

from arrowseam.address import Address
from arrowseam.errors import ArrowseamError
from arrowseam.hot_restart.messages import HANDOVER_REQUEST, HandoverState, decode_state
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.logs import log

STATE_BYTES_MAX = 8 << 20
SOCKETS_MAX = 16
RECEIVE_BYTES = 65536


class HandoverOfferError(ArrowseamError):
    """The serving process has not sent a complete handover."""


class HandoverOffer:
    """The old process's listening sockets by name, its state, and the socket of the channel to it.

    ``unread`` is what the old process has already sent after its state: the channel reads it first.
    """

    def __init__(
        self,
        channel_socket: socket.socket,
        state: HandoverState,
        sockets: dict[str, socket.socket],
        unread: bytes = b"",
    ) -> None:
        self.channel_socket, self.state, self.sockets, self.unread = channel_socket, state, sockets, unread
        self.taken_names: list[str] = []

    def take_socket(self, name: str, address: Address) -> socket.socket | None:
        """Take the old process's listening socket of this name, if it listens on this address; else None."""
        sock = self.sockets.get(name)
        if sock is None or sock.getsockname()[:2] != address:
            return None
        self.taken_names.append(name)
        return self.sockets.pop(name)

    def close_unused_sockets(self) -> None:
        """Close this process's copies of the sockets that were not taken."""
        for sock in self.sockets.values():
            sock.close()
        self.sockets.clear()


def request_handover(restart_socket: RestartSocket) -> HandoverOffer | None:
    """Ask the serving process to hand over; None if there is none or the handover fails.

    Blocks, so it must be called before the event loop runs.
    """
    channel_socket = restart_socket.connect()
    if channel_socket is None:
        return None
    descriptors: list[int] = []
    try:
        line, unread = _receive_state(channel_socket, descriptors)
        state = decode_state(line)
        if len(state.listener_names) != len(descriptors):
            raise HandoverOfferError("the number of sockets differs from that of their names")
    except (OSError, ArrowseamError) as error:
        log("hot_restart.note", f"hot restart: the serving process does not hand over: {error}")
        for descriptor in descriptors:
            os.close(descriptor)
        channel_socket.close()
        return None
    sockets = {
        name: socket.socket(fileno=descriptor)
        for name, descriptor in zip(state.listener_names, descriptors, strict=True)
    }
    return HandoverOffer(channel_socket, state, sockets, unread)


def _receive_state(channel_socket: socket.socket, descriptors: list[int]) -> tuple[bytes, bytes]:
    """Return the line with the state and the data after it; received descriptors are appended."""
    channel_socket.sendall(HANDOVER_REQUEST)
    received = b""
    while b"\n" not in received:
        data, more_descriptors, _, _ = socket.recv_fds(channel_socket, RECEIVE_BYTES, SOCKETS_MAX)
        descriptors += more_descriptors
        received += data
        if not data or len(received) > STATE_BYTES_MAX:
            raise HandoverOfferError("its reply ended early or is too long")
    line, _, unread = received.partition(b"\n")
    return line, unread
