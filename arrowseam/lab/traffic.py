"""A cluster of real proxies under traffic: stand-in servers and a steady flow of clients of both protocols.

Proxies are observed only from outside: whether a client was harmed follows from the bytes that it received.
"""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

from arrowseam.address import Address
from arrowseam.lab.local_cluster import LocalCluster
from arrowseam.lab.stand_ins import PROTOCOL_MESSAGES, StandInClient, StandInEndpoint
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.task import Coroutine


class WireContext:
    """What the stand-in servers and clients of one protocol share."""

    def __init__(self, cluster: LocalCluster, wire: str) -> None:
        self.loop, self.wire, self.messages = cluster.loop, wire, PROTOCOL_MESSAGES[wire]
        self.in_flight = self.max_in_flight = 0
        self.address: Address = ("", 0)


class TrafficCluster:
    """A cluster with servers behind it and clients that arrive at a steady rate."""

    def __init__(
        self,
        folder: Path,
        members: int,
        servers: int = 3,
        seed: int = 1,
        first_port: int = 0,
        visits: float = 40.0,
        operator_text: str = "",
        **cluster_options: Any,
    ) -> None:
        """``visits``: new clients a second. ``operator_text``: Starlark text added to every operator file."""
        self.arrival_interval = int(SECOND / visits)
        self.cluster = LocalCluster(
            folder,
            members,
            seed,
            nats=True,
            first_port=first_port,
            operator_text=operator_text,
            **cluster_options,
        )
        self.wires = {wire: WireContext(self.cluster, wire) for wire in PROTOCOL_MESSAGES}
        self.servers = {
            w: [StandInEndpoint(self.wires[w], f"s{n}", "up") for n in range(servers)]
            for w in PROTOCOL_MESSAGES
        }
        self.cluster.set_endpoints([server.row for server in self.servers["lines"]])
        server_addresses = {s.name: s.row["hostPort"] for s in self.servers["nats"]}
        for path in folder.glob("*.star"):
            path.write_text(path.read_text().replace("SERVERS", json.dumps(server_addresses)))
        self.arrivals: list[tuple[str, StandInClient]] = []  # the proxy's name, and the client
        self.avoided: set[str] = set()  # proxies that new clients do not connect to
        self.rnd, self.client_count = random.Random(seed), 0

    def generate_clients(self) -> Coroutine[None]:
        """Start clients at the set rate, each at a proxy drawn from the seed."""
        while True:
            candidates = [n for n in self.cluster.processes if n not in self.avoided]
            if candidates:
                self.start_client(self.rnd.choice(candidates))
            pause = clock() + self.arrival_interval
            while clock() < pause:
                yield pause

    def start_client(self, name: str) -> StandInClient:
        """Connect one client to the proxy ``name``; the protocols alternate."""
        self.client_count += 1
        wire = ("lines", "nats")[self.client_count % 2]
        context = self.wires[wire]
        context.address = ("127.0.0.1", self.cluster.ports[name]["front" if wire == "lines" else "nats"])
        client = StandInClient(context, context.messages["open"](self.client_count, b"tech"))
        self.arrivals.append((name, client))
        return client

    def harmed_clients(self, faulted: set[str]) -> list[tuple[str, bytes]]:
        """Return the clients that were not served, or were cut off without a ``MOVE``.

        Clients of the proxies in ``faulted`` are left out. Each is a pair: proxy name and bytes received.
        """
        return [
            (name, bytes(c.got))
            for name, c in self.arrivals
            if name not in faulted and (not c.has("up") or (c.ended_at and not c.has("moved")))
        ]

    def close(self) -> None:
        """Close the cluster."""
        self.cluster.close()
