"""Connections are reset under keyed requests, while a watched file gives the servers and their weights."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import struct
import sys
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from rig import HOST, HOUSTON, Client, Discovery, Proxy, Record, Server, now, run_case, write_servers_file  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WITH_FILE = os.environ.get("FILE", "1") != "0"  # FILE=0: the same by discovery alone, to compare
SERVERS, CELLS = 12, 2
RATE, SECONDS = 20.0, 20.0
RESET_SHARE = 0.1  # of the first attempts, once they have run
KEY_TTL = 5.0

# STANDING, "The same rules at close range": the settings may give a class another effect than the site does.
KEYED = HOUSTON["lanes"][0] | {"effect": "dedup", "key_scope": "cell", "key_ttl": int(KEY_TTL * 1e6)}
SETTINGS = HOUSTON | {"lanes": [KEYED, HOUSTON["lanes"][1]]}


class KeyedServer(Server):
    """Runs each request whose id its cell has not seen within the window; some connections break after that."""

    seen: dict[int, dict[str, float]] = defaultdict(dict)  # cell -> id -> when it ran there
    runs: dict[str, list[tuple[str, int]]] = defaultdict(list)  # id -> the servers that ran it, and their cells

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            if line.startswith(b"OPEN ") and line.endswith(b"\r\n"):
                await self.serve_request(line.split()[1].decode(), reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_request(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened.append((now(), name))
        is_first = not self.runs[name]
        ran_at = self.seen[self.cell].get(name)
        if ran_at is None or now() > ran_at + KEY_TTL:
            self.seen[self.cell][name] = now()
            self.runs[name].append((self.name, self.cell))
            self.record.note(f"{self.name} (cell {self.cell}): OPEN {name}: runs")
        else:
            self.record.note(f"{self.name} (cell {self.cell}): OPEN {name}: known in this cell, not run again")
        if TROUBLE and is_first and random.Random(name).random() < RESET_SHARE:
            self.record.note(f"{self.name}: the connection of {name} is reset")
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return
        writer.write(b"UP %s-%s\r\n" % (self.name.encode(), name.encode()))
        while line := await reader.readline():
            writer.write(line)


async def play(record: Record, folder: Path) -> int:
    servers = [KeyedServer(record, f"s-{n:02}", "katy", "gen2-std", 3 + n % CELLS) for n in range(SERVERS)]
    for server in servers:
        await server.listen()
    rows = [server.row for server in servers]
    discovery = Discovery(record, rows)
    write_servers_file(folder, servers)
    proxy = Proxy(record, folder, 0, f"{HOST}:{await discovery.listen()}", rows, SETTINGS)
    try:
        await proxy.start(f" --operator {folder}/operator.star" if WITH_FILE else "")
        if not await proxy.is_ready():
            record.note("the proxy is not ready")
            return 2
        await send_clients(record, proxy.port)
        if proxy.has_ended:
            record.note("the proxy has ended")
            return 2
    finally:
        await proxy.stop()
    return judge(record)


async def send_clients(record: Record, port: int) -> None:
    rnd, end, clients = random.Random(5), now() + SECONDS, []
    while now() < end:
        key = rnd.getrandbits(64) or 1
        opening = f"OPEN {len(clients) + 1:016x} {key:016x} c=tech-orders,t=bluebonnet-ridge,d=1800"
        clients.append(asyncio.create_task(Client(record, opening, 1.8, 2.0).run(port)))
        await asyncio.sleep(rnd.expovariate(RATE))
    await asyncio.gather(*clients)


def judge(record: Record) -> int:
    if len(KeyedServer.runs) < 100:
        record.note("hardly anything was sent")
        return 2
    twice = {name: runs for name, runs in KeyedServer.runs.items() if len(runs) > 1}
    for name, runs in sorted(twice.items()):
        places = ", ".join(f"at {server} in cell {cell}" for server, cell in runs)
        record.note(f"BROKEN duplicate: request {name} ran {len(runs)} times: {places}")
    record.note(f"{len(KeyedServer.runs)} requests ran, {len(twice)} of them more than once")
    return 1 if twice else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
