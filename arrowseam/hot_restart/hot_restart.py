"""A hot restart: a new process takes over from the old one while that serves; both count as one proxy.

The old process answers a new one with its listening sockets and its state, and goes on as before. Once the
new one accepts clients it says which sockets it has taken. The old one closes its copies of them, says that
it has released them, hands over its established connections and drains. Both processes accept from the same
sockets meanwhile, so no client's connection is reset. If the new process ends before it has said which
sockets it took, the old one serves on as before; if it ends later, nobody accepts until another process is
started, and the connections that were handed over are lost. Until one of them has ended each notifies the
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
from arrowseam.hot_restart.restart_socket import RestartSocket, is_own_process
from arrowseam.logs import log
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine

REQUEST_TIMEOUT = 2 * SECOND  # for the request, and for writing the state
RELEASE_TIMEOUT = 2 * SECOND  # the new process counts as serving by then even if the old one hangs
UNSENT_MESSAGES_MAX = 8  # each may hold copies of descriptors
DESCRIPTORS_OF_A_CONNECTION = 2
STATE_HEAD_BYTES = 1024  # of the state, written together with the descriptors


class HotRestartHandler(Protocol):
    """What the rest of the proxy does in a hot restart."""

    def export_state(self) -> HandoverState:
        """What the new process starts with; names and number of sockets are filled in by the caller."""

    def on_cordon_change(self, endpoint: str, cordoned: bool) -> None:
        """The other process has cordoned or uncordoned an endpoint."""

    def on_connection_id_change(self, connection_id: str, in_use: bool) -> None:
        """The other process has begun or ceased to use the id of a client's connection."""

    def on_other_process_ended(self) -> None:
        """The other process uses no connection ids any more."""

    def hand_over_and_drain(self) -> None:
        """The new process serves: hand over the established connections and drain."""

    def accept_connection(
        self, state: dict[str, Any], client_socket: socket.socket, endpoint_socket: socket.socket
    ) -> None:
        """Go on with a connection; raises KeyError, TypeError or ValueError if ``state`` cannot be read."""


class HotRestart:
    """Both roles in one process: it may have been the new one, and will be the old one.

    Attributes:
        channel: the connection to the other process, while there is one.
        released: False while the old process may still accept clients too.
    """

    def __init__(self, loop: EventLoop, restart_socket: RestartSocket, handler: HotRestartHandler) -> None:
        self.loop, self.restart_socket, self.handler = loop, restart_socket, handler
        self.channel: HandoverChannel | None = None
        self.listener: Listener | None = None
        self.released = True
        self.taken_over_at = 0

    def listen(self) -> None:
        """From now on a new process may ask this one."""
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
        """Whether clients come to this process alone, or the old one has had its time to let go."""
        return self.released or clock() >= self.taken_over_at + RELEASE_TIMEOUT

    # --- as the new process ---

    def take_over(self, offer: HandoverOffer) -> None:
        """All listeners of this process accept: notify the old process, and go on with what it hands over."""
        self.released, self.taken_over_at = False, clock()
        self.loop.held_by_peer_process = offer.state.descriptor_count
        task = self.loop.start_task(self._run_as_new(offer), "hot restart", high_priority=True)
        connection = DescriptorConnection(self.loop, offer.channel_socket, task)
        connection.received.append(offer.unread)
        self.channel = HandoverChannel(self.loop, connection, self._on_message)

    def _run_as_new(self, offer: HandoverOffer) -> Coroutine[None]:
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
        """Answer a new process that asks; one at a time."""
        if not is_own_process(conn.sock) or self.channel is not None:
            return
        conn.received.limit = LINE_BYTES_MAX
        if (yield from conn.read_line(LINE_BYTES_MAX, clock() + REQUEST_TIMEOUT)) is None:
            return
        state, descriptors = self._state_with_sockets()
        try:
            sent = socket.send_fds(conn.sock, [state[:STATE_HEAD_BYTES]], descriptors)
        except OSError as error:
            log("hot_restart.failed", f"hot restart: {error}")
            return
        connection = self._with_descriptors(conn)
        # Messages are sent only after the state, so what happens from here on is not lost in between.
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
                log("hot_restart.note", "hot restart: the new process has ended first; going on")

    def _state_with_sockets(self) -> tuple[bytes, list[int]]:
        listeners = [listener for listener in self.loop.listeners if listener.sock.fileno() >= 0]
        state = self.handler.export_state()._replace(
            listener_names=tuple(listener.name for listener in listeners),
            descriptor_count=len(self.loop.watched),
        )
        return encode_state(state), [listener.sock.fileno() for listener in listeners]

    def _with_descriptors(self, conn: Connection) -> DescriptorConnection:
        """The same socket, as a connection on which descriptors may come along."""
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
            self.listener.release()  # the new process listens at its address
            self.listener = None
        if self.channel is not None:
            self.channel.send(ListenersReleased())
        self.handler.hand_over_and_drain()

    def _accept_connection(self, state: dict[str, Any], connection: DescriptorConnection) -> None:
        if len(connection.descriptors) < DESCRIPTORS_OF_A_CONNECTION:
            raise HandoverMessageError("the sockets of a connection are missing")
        sockets = [
            socket.socket(fileno=connection.descriptors.popleft()) for _ in range(DESCRIPTORS_OF_A_CONNECTION)
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
            return False  # no descriptor is free: it is tried again, and migrated in the end
        return True

    @property
    def has_unsent_messages(self) -> bool:
        """Whether some of what was handed over is not yet written."""
        return self.channel is not None and bool(self.channel.unsent)

    # --- as either ---

    def notify_cordon_change(self, endpoint: str, cordoned: bool) -> None:
        """Notify the other process, if there is one, of a cordon or its end."""
        if self.channel is not None:
            self.channel.send(CordonChange(endpoint, cordoned))

    def notify_connection_id_change(self, connection_id: str, in_use: bool) -> None:
        """Notify the other process, if there is one, of a connection id in use or free again."""
        if self.channel is not None:
            self.channel.send(ConnectionIdChange(connection_id, in_use))
