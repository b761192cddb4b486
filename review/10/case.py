"""NATS clients that leave in the middle of a message are never let go, until the proxy refuses everybody."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig2 import (
    BROKEN,
    HELD,
    HOST,
    SETTINGS,
    TROUBLE,
    Case,
    Client,
    Discovery,
    NotRunError,
    Record,
    Server,
    free_port,
    main,
)

SOCKETS = 256  # the smallest limit that the pages name
LEAVING, SOUND = 120, 20
WAIT_S = 15


class NatsServer:
    """The NATS side of a stand-in server: INFO, PONG for PING, and it takes what is published."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name, self.port = record, name, free_port()
        self.live: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.live.add(writer)
        info = {"server_id": self.name, "version": "2.10.0", "proto": 1, "headers": True, "max_payload": 1048576}
        try:
            writer.write(b"INFO " + json.dumps(info).encode() + b"\r\n")
            while line := await reader.readline():
                words = line.split()
                if words[:1] == [b"PING"]:
                    writer.write(b"PONG\r\n")
                elif words[:1] == [b"PUB"]:
                    await reader.readexactly(int(words[-1]) + 2)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.live.discard(writer)
            writer.close()


async def visit(record: Record, port: int, name: str, leaves_midway: bool) -> str:
    """One NATS client: connects, publishes, stays for a moment and closes; returns what it was answered."""
    answer, writer = "nothing", None
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        reader, writer = await asyncio.open_connection(HOST, port)
        first = await asyncio.wait_for(reader.readline(), 3)
        answer = first.decode().strip()
        if first.startswith(b"INFO"):
            writer.write(b'CONNECT {"verbose":false,"name":"tablet","lang":"c","version":"1"}\r\nPING\r\n')
            answer = (await asyncio.wait_for(reader.readline(), 4)).decode().strip()
        if answer == "PONG":
            message = b"PUB orders 1000\r\n" + b"x" * 1000 + b"\r\n"
            writer.write(message[:300] if leaves_midway else message)
            await asyncio.sleep(0.5)
    if writer is not None:
        writer.close()
    record.write(f"client {name}: {answer}; it has closed its connection")
    return answer


async def play(case: Case) -> int:
    """Clients leave in the middle of a message; then sound ones come."""
    record = case.record
    servers = [Server(record, f"s{n}") for n in range(4)]  # each speaks both protocols, on two ports
    nats_sides = [NatsServer(record, server.name) for server in servers]
    for server in (*servers, *nats_sides):
        await server.start()
    discovery = Discovery(record, [server.row for server in servers])
    await discovery.start()
    port = free_port()
    addresses = {side.name: f"{HOST}:{side.port}" for side in nats_sides}
    operator = (
        f"nats(listen = {json.dumps(f'{HOST}:{port}')}, server_port = 4223, servers = {json.dumps(addresses)}, "
        f'default = {{"class": "tech-orders", "tenant": "bluebonnet-ridge"}})\n'
    )
    document = {
        "discovery": f"{HOST}:{discovery.port}",
        "known": discovery.known(),
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
    }
    proxy = case.proxy("n0", document, operator)
    proxy.start()
    await proxy.until_ready()
    visits = []
    for n in range(LEAVING):
        visits.append(asyncio.get_running_loop().create_task(visit(record, port, f"l{n}", TROUBLE)))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*visits)
    served = answers.count("PONG")
    if not served:
        raise NotRunError(f"no client was served: {answers[:3]}")
    record.say(f"{record.now:.1f} s: {served} of {LEAVING} clients were served; all have closed their connections")
    await asyncio.sleep(WAIT_S)
    held = sum(len(side.live) for side in nats_sides)
    counters = await proxy.call("counters", quiet=True)
    concurrent = next((line for line in counters.splitlines() if "concurrent" in line), "")
    record.say(f"{record.now:.1f} s: the servers still hold {held} of their connections; {concurrent}")
    later = []
    for n in range(SOUND):
        later.append(await visit(record, port, f"s{n}", False))
    refused = [answer for answer in later if answer != "PONG"]
    record.say(f"{len(refused)} of {SOUND} sound NATS clients that come then are not served: {sorted(set(refused))}")
    clients = []
    for _ in range(SOUND):
        clients.append(Client(record, proxy.port))
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    unserved = [client.answer for client in clients if not client.server]
    record.say(f"{len(unserved)} of {SOUND} sound clients of the line protocol are not served: {sorted(set(unserved))}")
    return BROKEN if held else HELD


main(__file__, play)
