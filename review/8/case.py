"""A cordon that the old process acknowledges during an upgrade is lost: the new one, and the fleet, go on."""

from __future__ import annotations

import asyncio
import signal
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
    Fleet,
    NotRunError,
    Server,
    free_port,
    main,
)

BUDGETS = "budgets(proxies = 1, servers = 1, least_ready = 0.3)"
LIMIT_S = 2.05  # drain_grace of the settings, and 50 ms on sockets
ALLOWANCE_S = 0.15  # for this process
CORDON_SPREADS_S = 2.0  # "within a second or two", before the grace begins at the other proxies


async def play(case: Case) -> int:
    """Upgrade one of three proxies, and cordon a server at the old process while it still answers."""
    record = case.record
    servers = [Server(record, f"s{n}", ("katy", "humble")[n % 2]) for n in range(4)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.row for server in servers])
    await discovery.start()
    fleet = Fleet(case, 3, discovery, SETTINGS, BUDGETS)
    await fleet.start()
    first, upgraded, _ = fleet.proxies
    # s0 was taken out before, and called back.
    for call in ("cordon s0", "uncordon s0"):
        if not (await first.call(call)).startswith("ACK"):
            raise NotRunError(f"{call} is not acknowledged")
        await asyncio.sleep(4)
    clients: list[Client] = []
    came_to: dict[str, str] = {}  # the proxy, by the id of the connection

    async def crowd(seconds: float) -> None:
        loop, end = asyncio.get_running_loop(), record.now + seconds
        while record.now < end:
            for proxy in fleet.proxies:
                client = Client(record, proxy.port)
                clients.append(client)
                came_to[client.number] = proxy.name
                loop.call_later(3, client.leave)
            await asyncio.sleep(0.1)

    crowding = asyncio.get_running_loop().create_task(crowd(26))
    await asyncio.sleep(4)
    control = upgraded.document["control"]
    if TROUBLE:
        old = upgraded.process
        assert old is not None
        upgraded.document["control"] = f"{HOST}:{free_port()}"
        upgraded.start()
        await upgraded.until_ready()
        record.say(f"{record.now:.1f} s: the new process of {upgraded.name} says yes; SIGTERM to the old one")
        old.send_signal(signal.SIGTERM)
    new_control, upgraded.document["control"] = upgraded.document["control"], control
    answer = (await upgraded.call("cordon s0")).strip()
    upgraded.document["control"] = new_control
    if answer != "ACK":
        raise NotRunError(f"cordon s0: {answer}")
    cordoned_at = record.now
    record.say(f"{cordoned_at:.1f} s: cordon s0 at {'the old process of ' if TROUBLE else ''}{upgraded.name}: ACK")
    await asyncio.sleep(12)
    stopped_at = record.now
    await servers[0].stop()
    await asyncio.sleep(0.5)
    await servers[0].start()
    cut = [c for c in clients if c.server == "s0" and c.ended_at >= stopped_at and c.end != "moved" and not c.leaving]
    record.say(f"{stopped_at:.1f} s: s0, out for 12 s, is restarted; {len(cut)} clients are cut off")
    await crowding
    await asyncio.sleep(1)
    late: dict[str, list[float]] = {proxy.name: [] for proxy in fleet.proxies}
    for at, number in servers[0].openings:
        limit = LIMIT_S + ALLOWANCE_S
        if came_to[number] != upgraded.name:
            limit += CORDON_SPREADS_S
        if at > cordoned_at + limit:
            late[came_to[number]].append(at - cordoned_at)
    for name, times in late.items():
        span = f", from {times[0]:.1f} to {times[-1]:.1f} s after the ACK" if times else ""
        record.say(f"{name}: {len(times)} openings to s0 too late{span}")
    record.say(f"openings per server: {[len(server.openings) for server in servers]}")
    return BROKEN if any(late.values()) else HELD


main(__file__, play)
