"""Assembles one proxy. The parts contain the logic; this module determines the order of construction."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from arrowseam.address import Address, parse_address
from arrowseam.config.proxy import Config
from arrowseam.driver import BalancerDriver
from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.offer import HandoverOffer
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.net.clock import clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener, open_listener
from arrowseam.net.task import Coroutine
from arrowseam.protocols.discovery import DiscoveryClient
from arrowseam.protocols.edge.health_check import check_endpoint
from arrowseam.protocols.edge.server import EdgeServer
from arrowseam.proxy.cluster import Cluster
from arrowseam.proxy.configuration import effective_config
from arrowseam.proxy.hot_restart import ProxyHotRestart
from arrowseam.proxy.reload import ConfigurationReloader
from arrowseam.request_handling.requests import RequestHandler

if TYPE_CHECKING:  # imported at run time only where configured, to save memory and time at the start
    from arrowseam.config.operator import Operator
    from arrowseam.control.server import Control
    from arrowseam.endpoint_sources.sources import EndpointSources
    from arrowseam.protocols.nats.config import NatsConfig
    from arrowseam.protocols.nats.server import NatsServer

# Names of listening sockets, by which the processes of a hot restart refer to them.
EDGE_LISTENER = "front"
CONTROL_LISTENER = "control"
NATS_LISTENER = "nats"
AGENT_LISTENER = "agent"
HEALTH_LISTENER = "health"


class Proxy:
    """The parts of one proxy; one request handler serves all protocols.

    ``restart_socket`` and ``offer`` are for hot restarts: the socket at which the next process finds this
    one, and what the previous process hands over.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: Config,
        nats_config: NatsConfig | None = None,
        restart_socket: RestartSocket | None = None,
        offer: HandoverOffer | None = None,
        operator: Operator | None = None,
    ) -> None:
        if config.discovery and offer is not None and offer.state.endpoint_list is not None:
            config = replace(config, known_endpoints=offer.state.endpoint_list)
        config = effective_config(config, nats_config)
        self.loop, self.config, self.offer = loop, config, offer
        self.hot_restart: ProxyHotRestart | None = None
        self.reloader = ConfigurationReloader(self)
        self.driver = BalancerDriver(config, clock)
        self.request_handler = RequestHandler(loop, self.driver)
        self.endpoint_sources = self._create_endpoint_sources(operator)
        self.discovery = self._start_discovery()
        if operator is not None and operator.servers:
            self._wait_for_endpoint_sources()
        self.edge_server = EdgeServer(loop, config, self.request_handler)
        self._listen_for_clients(parse_address(config.listen), EDGE_LISTENER, self.edge_server.serve)
        self.control = self._start_control()
        self.nats_server = self._start_nats(nats_config) if nats_config is not None else None
        self.cluster = Cluster(self, self._is_ready)
        if restart_socket is not None:
            cordon_file = CordonFile(restart_socket.folder, config.name, config.listen)
            self.hot_restart = ProxyHotRestart(self, restart_socket, cordon_file)
            self.hot_restart.start(offer)
        if operator is not None:
            self.cluster.configure(operator)

    def _create_endpoint_sources(self, operator: Operator | None) -> EndpointSources | None:
        if operator is None:
            return None
        from arrowseam.endpoint_sources.sources import EndpointSources

        state = self.offer.state.endpoint_sources if self.offer is not None else None
        return EndpointSources(self.loop, self.config, self.driver, operator, state)

    def _start_discovery(self) -> DiscoveryClient:
        sources = self.endpoint_sources
        discovery = DiscoveryClient(
            self.loop, self.config, self.driver, sources.on_discovery_update if sources is not None else None
        )
        self.request_handler.refresh_endpoints = discovery.request_update
        self.request_handler.check_health = self._check_health
        discovery.start()
        return discovery

    def _check_health(self, endpoint: str) -> None:
        address = self.request_handler.attempts.endpoint_address(endpoint)
        self.loop.start_task(check_endpoint(self.loop, self.driver, endpoint, address), "health check")

    def _wait_for_endpoint_sources(self) -> None:
        """Wait until the files are read: without endpoints the first clients would be rejected."""
        from arrowseam.endpoint_sources.sources import INITIAL_LOAD_TIMEOUT

        sources = self.endpoint_sources
        assert sources is not None
        self.loop.run_until(lambda: sources.is_loaded, clock() + INITIAL_LOAD_TIMEOUT)

    def _start_control(self) -> Control | None:
        if not self.config.control:
            return None
        from arrowseam.control.server import RESERVED_DESCRIPTORS, Control

        server = Control(self.loop, self.request_handler, self._is_ready)
        server.endpoint_sources = self.endpoint_sources
        self.loop.reserved_for_control += RESERVED_DESCRIPTORS
        self._listen(parse_address(self.config.control), CONTROL_LISTENER, server.serve, high_priority=True)
        return server

    def _start_nats(self, nats_config: NatsConfig) -> NatsServer:
        from arrowseam.protocols.health import HealthServer
        from arrowseam.protocols.nats.server import NatsServer

        server = NatsServer(self.loop, self.config, nats_config, self.request_handler)
        self._listen_for_clients(nats_config.listen, NATS_LISTENER, server.serve)
        health = HealthServer(lambda: self.request_handler.is_draining, lambda: self.driver.ready_count > 0)
        if nats_config.agent is not None:
            self._listen_for_clients(nats_config.agent, AGENT_LISTENER, health.serve_agent_check)
        if nats_config.health is not None:
            self._listen_for_clients(nats_config.health, HEALTH_LISTENER, health.serve_http)
        return server

    def _listen_for_clients(
        self, address: Address, name: str, serve: Callable[[Connection], Coroutine[None]]
    ) -> None:
        self.request_handler.shutdown.listeners.append(self._listen(address, name, serve))

    def _listen(
        self,
        address: Address,
        name: str,
        serve: Callable[[Connection], Coroutine[None]],
        high_priority: bool = False,
    ) -> Listener:
        """Listen on the socket that the old process hands over, or on a new one."""
        sock = self.offer.take_socket(name, address) if self.offer is not None else None
        return Listener(self.loop, sock or open_listener(address), name, serve, high_priority)

    def _is_ready(self) -> bool:
        """Whether the previous process, if any, has stopped accepting clients."""
        return self.hot_restart is None or self.hot_restart.is_serving()

    def set_config(self, config: Config) -> None:
        """Apply new settings; most parts read theirs from the configuration whenever they need them."""
        self.config = self.edge_server.config = self.discovery.config = config
        if self.nats_server is not None:
            self.nats_server.config = config
        self.driver.update_settings(config)

    def reload(self, path: str, nats_path: str | None = None, operator_path: str | None = None) -> None:
        """Read the files again, at SIGHUP (unhandled, this signal would end the process)."""
        self.reloader.reload(path, nats_path, operator_path)

    def drain(self) -> None:
        """Shut down gracefully: clients are migrated, the other members are notified."""
        self.request_handler.shutdown.begin()
        self.cluster.leave()
