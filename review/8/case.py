"""A server that is cordoned gets new work once a watched file names its machine in another way."""

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
    """Cordon a server of discovery, then write a file of servers under the names of their hosts."""
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
    if not servers[0].openings:
        raise NotRunError("s0 was never used")
    if not (await proxy.call("cordon s0")).startswith("ACK"):
        raise NotRunError("the cordon is not acknowledged")
    cordoned_at = record.now
    record.say(f"{cordoned_at:.1f} s: cordon s0: ACK")
    await crowd(6)
    written_at = record.now
    if TROUBLE:
        rows = [
            {
                "instanceId": f"feed{n}.katy.example.org",
                "hostPort": server.row["hostPort"],
                "zone": server.row["zone"],
                "weight": 2.0,
            }
            for n, server in enumerate(servers)
        ]
        new = proxy.folder / "servers.new"
        new.write_text(json.dumps({"instances": rows}))
        new.rename(proxy.folder / "servers.json")
        record.say(f"{written_at:.1f} s: the file names the same four machines by their hosts")
    await crowd(6)
    again_at = record.now
    answer = (await proxy.call("cordon s0")).strip()
    record.say(f"{again_at:.1f} s: cordon s0 again: {answer}")
    await crowd(6)
    stopped_at = record.now
    await servers[0].stop()
    await asyncio.sleep(0.5)
    await servers[0].start()
    cut = [c for c in clients if c.server == "s0" and c.ended_at >= stopped_at and c.end != "moved" and not c.leaving]
    record.say(f"{stopped_at:.1f} s: s0 is restarted while it is out; {len(cut)} clients are cut off")
    await crowd(4)
    await asyncio.sleep(1)
    for row in await proxy.rows("members"):
        record.write(f"members: {row}")
    got = [at for at, _ in servers[0].openings]
    late = [at for at in got if at > cordoned_at + LIMIT_S + ALLOWANCE_S]
    after_second = [at for at in got if at > again_at + LIMIT_S + ALLOWANCE_S]
    record.say(f"openings per server: {[len(server.openings) for server in servers]}")
    record.say(
        f"s0: {len(late)} later than {LIMIT_S} s after its cordon, {sum(at < written_at for at in late)} of them "
        f"before the file; {len(after_second)} later than {LIMIT_S} s after the second cordon"
    )
    return BROKEN if late else HELD


main(__file__, play)
