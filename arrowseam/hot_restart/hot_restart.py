"""Hot restart: a new process takes over while the old one still serves; both count as one proxy.

The old process answers a new one with its listening sockets and its state, and continues to serve. Once the
new process accepts clients, it reports which sockets it has taken. The old process closes its copies of them,
reports that it has released them, hands over its established connections and drains. In between, both accept
from the same sockets, so no client's connection is reset. If the new process ends before it has reported the
sockets, the old one continues to serve; if it ends later, nothing accepts clients until another process is
started, and the connections that were handed over are lost. As long as both processes run, each notifies the
other of cordons, of connection ids in use and of the number of its descriptors.
"""

from __future__ import annotations

import socket
from typing import Any, Protocol

from arrowseam.hot_restart.channel import LINE_BYTES_MAX, DescriptorConnection, HandoverChannel
from arrowseam.hot_restart.messages import (
    ConnectionHandedOver,
    ConnectionIdChange,
    CordonChange,
    DescriptorCount,
    HandoverMessage,
    HandoverMessageError,
    HandoverState,
    ListenersReleased,
    ListenersTaken,
    encode_state,
)
from arrowseam.hot_restart.offer import HandoverOffer
from arrowseam.hot_restart.restart_socket import RestartSocket, is_same_user
from arrowseam.logs import log
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine

REQUEST_TIMEOUT = 2 * SECOND  # for reading the request, and for writing the state
RELEASE_TIMEOUT = 2 * SECOND  # after that the new process counts as serving, even if the old one hangs
UNSENT_MESSAGES_MAX = 8  # each may hold copies of descriptors
DESCRIPTORS_PER_CONNECTION = 2
STATE_HEAD_BYTES = 1024  # first part of the state, written together with the descriptors


class HotRestartHandler(Protocol):
    """What the rest of the proxy must implement for a hot restart."""

    def export_state(self) -> HandoverState:
        """The state for the new process; the caller fills in listener names and descriptor count."""

    def on_cordon_change(self, endpoint: str, cordoned: bool) -> None:
        """The other process has cordoned or uncordoned an endpoint."""

    def on_connection_id_change(self, connection_id: str, in_use: bool) -> None:
        """The other process has begun or stopped using the id of a client's connection."""

    def on_other_process_ended(self) -> None:
        """The other process has ended, so it uses no connection ids any more."""

    def hand_over_and_drain(self) -> None:
        """The new process serves: hand over the established connections and drain."""

    def accept_connection(
        self, state: dict[str, Any], client_socket: socket.socket, endpoint_socket: socket.socket
    ) -> None:
        """Continue a connection; raises KeyError, TypeError or ValueError if ``state`` is malformed."""


class HotRestart:
    """Both roles of a process: it may have started as the new one, and later becomes the old one.

    Attributes:
        channel: the connection to the other process, while there is one.
        released: False while the old process may still accept clients as well.
    """

    def __init__(self, loop: EventLoop, restart_socket: RestartSocket, handler: HotRestartHandler) -> None:
        self.loop, self.restart_socket, self.handler = loop, restart_socket, handler
        self.channel: HandoverChannel | None = None
        self.listener: Listener | None = None
        self.released = True
        self.taken_over_at = 0

    def listen(self) -> None:
        """Listen for a new process that requests a handover."""
        try:
            sock = self.restart_socket.listen()
        except OSError as error:
            log(
                "hot_restart.failed",
                f"hot restart: cannot listen in {self.restart_socket.folder}: {error}; "
                "no new process can take over",
                "error",
            )
            return
        self.listener = Listener(self.loop, sock, "hot restart", self.serve_new_process, high_priority=True)

    @property
    def is_serving(self) -> bool:
        """Whether only this process accepts clients, or the old one has exceeded ``RELEASE_TIMEOUT``."""
        return self.released or clock() >= self.taken_over_at + RELEASE_TIMEOUT

    # --- as the new process ---

    def take_over(self, offer: HandoverOffer) -> None:
        """Continue the handover, now that all listeners of this process accept.

        Notifies the old process, and continues the connections that it hands over.
        """
        self.released, self.taken_over_at = False, clock()
        self.loop.held_by_peer_process = offer.state.descriptor_count
        task = self.loop.start_task(self._run_as_new_process(offer), "hot restart", high_priority=True)
        connection = DescriptorConnection(self.loop, offer.channel_socket, task)
        connection.received.append(offer.unread)
        self.channel = HandoverChannel(self.loop, connection, self._on_message)

    def _run_as_new_process(self, offer: HandoverOffer) -> Coroutine[None]:
        assert self.channel is not None
        try:
            self.channel.send(ListenersTaken(tuple(offer.taken_names)))
            yield from self.channel.run()
        finally:
            self.channel = None
            self._on_released()
            self.handler.on_other_process_ended()
            log("hot_restart.note", "hot restart: the old process has ended")

    def _on_released(self) -> None:
        if not self.released:
            self.released = True
            self.listen()

    # --- as the old process ---

    def serve_new_process(self, conn: Connection) -> Coroutine[None]:
        """Answer a new process that requests a handover; only one at a time."""
        if not is_same_user(conn.sock) or self.channel is not None:
            return
        conn.received.limit = LINE_BYTES_MAX
        if (yield from conn.read_line(LINE_BYTES_MAX, clock() + REQUEST_TIMEOUT)) is None:
            return
        state, descriptors = self._state_with_sockets()
        try:
            sent = socket.send_fds(conn.sock, [state[:STATE_HEAD_BYTES]], descriptors)
        except OSError as error:
            log("hot_restart.failed", f"hot restart: cannot send the state: {error}")
            return
        connection = self._as_descriptor_connection(conn)
        # The channel sends messages only after the state, so no change from here on is lost.
        self.channel = HandoverChannel(self.loop, connection, self._on_message)
        try:
            if (yield from connection.send(state[sent:], clock() + REQUEST_TIMEOUT)):
                log("hot_restart.note", "hot restart: a new process takes over")
                yield from self.channel.run()
        finally:
            connection.close()
            self.channel = None
            self.handler.on_other_process_ended()
            if self.listener is not None:
                log("hot_restart.note", "hot restart: the new process has ended first; still serving")

    def _state_with_sockets(self) -> tuple[bytes, list[int]]:
        listeners = [listener for listener in self.loop.listeners if listener.sock.fileno() >= 0]
        state = self.handler.export_state()._replace(
            listener_names=tuple(listener.name for listener in listeners),
            descriptor_count=len(self.loop.watched),
        )
        return encode_state(state), [listener.sock.fileno() for listener in listeners]

    def _as_descriptor_connection(self, conn: Connection) -> DescriptorConnection:
        """Wrap the same socket in a connection that also receives descriptors."""
        self.loop.unregister(conn)
        connection = DescriptorConnection(self.loop, conn.sock, conn.owner)
        conn.closed = True
        return connection

    def _on_message(self, message: HandoverMessage, connection: DescriptorConnection) -> None:
        match message:
            case ListenersTaken(names):
                self._release_listeners(names)
            case ListenersReleased():
                self._on_released()
            case ConnectionHandedOver(state):
                self._accept_connection(state, connection)
            case CordonChange(endpoint, cordoned):
                self.handler.on_cordon_change(endpoint, cordoned)
            case ConnectionIdChange(connection_id, in_use):
                self.handler.on_connection_id_change(connection_id, in_use)
            case DescriptorCount(count):
                self.loop.held_by_peer_process = count

    def _release_listeners(self, names: tuple[str, ...]) -> None:
        for listener in list(self.loop.listeners):
            if listener.name in names:
                listener.release()
        if self.listener is not None:
            self.listener.release()  # the new process listens on the restart socket now
            self.listener = None
        if self.channel is not None:
            self.channel.send(ListenersReleased())
        self.handler.hand_over_and_drain()

    def _accept_connection(self, state: dict[str, Any], connection: DescriptorConnection) -> None:
        if len(connection.descriptors) < DESCRIPTORS_PER_CONNECTION:
            raise HandoverMessageError("a connection was sent without its two sockets")
        sockets = [
            socket.socket(fileno=connection.descriptors.popleft()) for _ in range(DESCRIPTORS_PER_CONNECTION)
        ]
        try:
            self.handler.accept_connection(state, sockets[0], sockets[1])
        except (KeyError, ValueError, TypeError) as error:
            log("hot_restart.failed", f"hot restart: a connection could not be taken over: {error!r}")
            for sock in sockets:
                sock.close()

    def hand_over_connection(self, state: dict[str, Any], client: Connection, endpoint: Connection) -> bool:
        """Send an established connection to the new process; False if that is not possible now."""
        channel = self.channel
        if channel is None or channel.connection.broken or len(channel.unsent) >= UNSENT_MESSAGES_MAX:
            return False
        try:
            channel.send(ConnectionHandedOver(state), client, endpoint)
        except OSError:
            return False  # no descriptor is free: it is retried, and in the end the connection is migrated
        return True

    @property
    def has_unsent_messages(self) -> bool:
        """Whether some of the messages to the other process are not written yet."""
        return self.channel is not None and bool(self.channel.unsent)

    # --- in both roles ---

    def notify_cordon_change(self, endpoint: str, cordoned: bool) -> None:
        """Notify the other process, if there is one, of a cordon or uncordon."""
        if self.channel is not None:
            self.channel.send(CordonChange(endpoint, cordoned))

    def notify_connection_id_change(self, connection_id: str, in_use: bool) -> None:
        """Notify the other process, if there is one, of a connection id in use or free again."""
        if self.channel is not None:
            self.channel.send(ConnectionIdChange(connection_id, in_use))
