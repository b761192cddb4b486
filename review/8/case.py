"""A server that discovery has withdrawn gets new work again, because a watched file still names it."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig2 import BROKEN, HELD, HOST, SETTINGS, TROUBLE, Case, Client, Discovery, NotRunError, Server, main

LIMIT_S = 2.05  # drain_grace of the settings, and 50 ms on sockets
ALLOWANCE_S = 0.15  # for this process


async def play(case: Case) -> int:
    """Weights come from a file; discovery drains a server, then withdraws it."""
    record = case.record
    servers = [Server(record, f"s{n}", ("katy", "humble")[n % 2]) for n in range(4)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.row for server in servers])
    await discovery.start()
    document = {
        "discovery": f"{HOST}:{discovery.port}",
        "known": discovery.known(),
        "settings": SETTINGS,
    }
    proxy = case.proxy("n0", document, 'servers(file = "servers.json", name = "changeover")\n')
    rows = [
        {
            "instanceId": server.name,
            "hostPort": server.row["hostPort"],
            "zone": server.row["zone"],
            "weight": 2.0,
        }
        for server in servers
    ]
    (proxy.folder / "servers.json").write_text(json.dumps({"instances": rows}))
    proxy.start()
    await proxy.until_ready()
    clients: list[Client] = []

    async def crowd(seconds: float) -> None:
        loop, end = asyncio.get_running_loop(), record.now + seconds
        while record.now < end:
            clients.append(Client(record, proxy.port))
            loop.call_later(3, clients[-1].leave)
            await asyncio.sleep(0.05)

    await crowd(4)
    drained_at = withdrawn_at = float("inf")
    if TROUBLE:
        discovery.set("s0", lifecycle="Terminating")
        drained_at = await discovery.until_told(discovery.version)
        record.say(f"{drained_at:.1f} s: discovery has told that s0 drains")
        await crowd(8)
        discovery.set("s0", lifecycle="Gone")
        withdrawn_at = await discovery.until_told(discovery.version)
        record.say(f"{withdrawn_at:.1f} s: discovery has told that s0 is gone")
    await crowd(10)
    cut: list[Client] = []
    if TROUBLE:
        stopped_at = record.now
        await servers[0].stop()
        await asyncio.sleep(0.5)
        cut = [c for c in clients if c.server == "s0" and c.ended_at >= stopped_at and c.end != "moved"]
        cut = [c for c in cut if not c.leaving]
        record.say(
            f"{stopped_at:.1f} s: s0, gone for {stopped_at - withdrawn_at:.1f} s, stops; {len(cut)} clients are cut off"
        )
    await crowd(4)
    await asyncio.sleep(1)
    for row in await proxy.rows("members"):
        record.write(f"members: {row}")
    got = [at for at, _ in servers[0].openings]
    if not got:
        raise NotRunError("s0 was never used")
    while_draining = [at for at in got if drained_at + LIMIT_S + ALLOWANCE_S < at < withdrawn_at]
    late = [at for at in got if at > withdrawn_at + LIMIT_S + ALLOWANCE_S]
    record.say(f"openings per server: {[len(server.openings) for server in servers]}")
    record.say(
        f"s0: {len(while_draining)} while it drained, {len(late)} later than {LIMIT_S} s after it was told gone"
        + (f", from {late[0] - withdrawn_at:.1f} to {late[-1] - withdrawn_at:.1f} s after it" if late else "")
    )
    return BROKEN if late or while_draining else HELD


main(__file__, play)
