"""The proxy's part in a hot restart: exports its state, hands over connections or accepts them."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from arrowseam.client_request import Request
from arrowseam.hot_restart.connection_state import decode_connection, encode_connection
from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.hot_restart import HotRestart
from arrowseam.hot_restart.messages import HandoverState
from arrowseam.hot_restart.offer import HandoverOffer
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.logs import log
from arrowseam.net.connection import Connection
from arrowseam.protocols.edge import server as edge_server
from arrowseam.protocols.session import ClientSession

if TYPE_CHECKING:
    from arrowseam.proxy.server import Proxy


class ProxyHotRestart:
    """The proxy's side of ``HotRestart``, as the old and as the new process; also writes the cordon file."""

    def __init__(self, proxy: Proxy, restart_socket: RestartSocket, cordon_file: CordonFile) -> None:
        self.proxy, self.cordon_file = proxy, cordon_file
        self.hot_restart = HotRestart(proxy.loop, restart_socket, self)
        proxy.edge_server.on_id_change = self.hot_restart.notify_connection_id_change
        if proxy.control is not None:
            proxy.control.on_cordon_change = self.on_own_cordon_change

    def start(self, offer: HandoverOffer | None) -> None:
        """Adopt the state that the previous process saved or hands over, and wait for the next process."""
        if offer is None:
            for endpoint in self.cordon_file.load():
                self.on_cordon_change(endpoint, True)
            self.hot_restart.listen()
            return
        for endpoint in offer.state.cordoned:
            self.on_cordon_change(endpoint, True)
        for endpoint, uncordoned_at in offer.state.uncordoned_at.items():
            self.on_cordon_change(endpoint, False, uncordoned_at)
        self.proxy.edge_server.other_process_ids.update(offer.state.connection_ids)
        offer.close_unused_sockets()
        self.hot_restart.take_over(offer)
        self.proxy.discovery.request_update(complete=False)

    def is_serving(self) -> bool:
        """Whether the previous process, if any, has stopped accepting clients."""
        return self.hot_restart.is_serving

    def on_own_cordon_change(self, endpoint: str, cordoned: bool) -> None:
        """An endpoint was cordoned or uncordoned at this process."""
        endpoints = self._cordoned_by_operators()
        if cordoned and endpoint not in endpoints:
            endpoints.append(endpoint)  # also drained by a rollout, and the cluster is notified only later
        self.cordon_file.save(endpoints)
        self.hot_restart.notify_cordon_change(endpoint, cordoned)

    def _cordoned_by_operators(self) -> list[str]:
        """Return the endpoints that operators have cordoned.

        Endpoints that are only drained by a rollout are left out: a starting process learns of those from the
        other proxies, and would otherwise cordon for ever what was undrained while it was down.
        """
        cluster = self.proxy.cluster
        return [
            endpoint
            for endpoint in self.proxy.driver.cordoned
            if not cluster.is_cordoned_by_rollout(endpoint) or cluster.is_cordoned_by_operators(endpoint)
        ]

    # --- called by HotRestart ---

    def export_state(self) -> HandoverState:
        """Return the state with which the new process starts."""
        proxy = self.proxy
        sources = proxy.endpoint_sources
        return HandoverState(
            endpoint_list=proxy.discovery.export_list(),
            cordoned=tuple(self._cordoned_by_operators()),
            uncordoned_at=proxy.driver.uncordoned_at,
            endpoint_sources=sources.export_state() if sources is not None else None,
            connection_ids=proxy.edge_server.ids_not_to_run(),
        )

    def on_cordon_change(self, endpoint: str, cordoned: bool, uncordoned_at: int = 0) -> None:
        """An endpoint was cordoned or uncordoned at the other process."""
        self.proxy.driver.cordon_by_name(endpoint, cordoned, uncordoned_at)

    def on_connection_id_change(self, connection_id: str, in_use: bool) -> None:
        """A connection id of a client came into use at the other process, or went out of use."""
        self.proxy.edge_server.note_other_process_id(connection_id, in_use)

    def on_other_process_ended(self) -> None:
        """The other process has ended: none of its connection ids is in use any more."""
        self.proxy.edge_server.on_other_process_ended()

    def hand_over_and_drain(self) -> None:
        """Hand over the established connections and drain, as the new process is serving."""
        handler = self.proxy.request_handler
        log(
            "hot_restart.note",
            f"hot restart: the new process is serving; handing over {len(handler.active)} requests",
        )
        handler.begin_handover(self._hand_over, lambda: self.hot_restart.has_unsent_messages)
        self.proxy.cluster.stop()
        handler.shutdown.begin()

    def _hand_over(self, request: Request, session: ClientSession) -> bool:
        forwarder = session.forwarder
        if forwarder is None or not forwarder.can_be_handed_over():
            return False
        snapshot = self.proxy.driver.export_connection(request)
        state = encode_connection(snapshot, session.export_state(), forwarder.export_state())
        return self.hot_restart.hand_over_connection(state, forwarder.client, forwarder.endpoint)

    def accept_connection(
        self, state: dict[str, Any], client_socket: socket.socket, endpoint_socket: socket.socket
    ) -> None:
        """Take over a connection; raises KeyError, TypeError or ValueError if ``state`` is invalid."""
        from arrowseam.protocols.nats.session import ENDPOINT_BYTES_MAX

        proxy = self.proxy
        request = proxy.driver.import_connection(decode_connection(state))
        server = proxy.edge_server if state["wire"] == "lines" else proxy.nats_server
        if server is None:
            raise ValueError("this process does not serve the protocol of the connection")
        early_bytes = [str(state[direction]).encode("latin-1") for direction in ("outward", "inward")]
        task = proxy.loop.start_task(iter(()), request.name)  # type: ignore[arg-type]
        client = Connection(proxy.loop, client_socket, task, edge_server.CLIENT_BYTES_MAX)
        endpoint = Connection(proxy.loop, endpoint_socket, task, ENDPOINT_BYTES_MAX)
        for conn, data in zip((client, endpoint), early_bytes, strict=True):
            conn.readable = conn.writable = True
            conn.received.append(data)
        task.coroutine = server.take_over(client, endpoint, request, state)
