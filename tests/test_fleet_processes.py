"""Clusters of several proxy processes with faults between them, under traffic of both protocols."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from network import ProxyNetwork, free_port

from arrowseam.config import operator
from arrowseam.lab.local_cluster import LocalCluster
from arrowseam.lab.traffic import TrafficCluster
from arrowseam.membership.proxy_share import MINIMUM_SHARE_DIVISOR, proxy_count
from arrowseam.net.clock import MS, clock


@pytest.fixture
def traffic(tmp_path: Path) -> Iterator:
    made: list[TrafficCluster] = []

    def make(members: int) -> TrafficCluster:
        made.append(TrafficCluster(tmp_path, members))
        made[0].cluster.start()
        made[0].cluster.until(lambda: made[0].cluster.views_agree(made[0].cluster.names), 20)
        return made[0]

    yield make
    for traffic_cluster in made:
        traffic_cluster.close()


def test_faults_between_twelve_processes_under_traffic(traffic) -> None:
    """Lossy links, a partition, a stall, crashes, and a cordon that survives the proxy that accepted it."""
    t = traffic(12)
    cluster, names = t.cluster, t.cluster.names
    cluster.until(lambda: set(cluster.proxy_counts().values()) == {12}, 20)
    cluster.loop.start_task(t.generate_clients(), "crowd")

    cluster.network.partition(["n0"], ["n1", "n2", "n3"], one_way=True)
    cluster.network.set_links(names[6:], loss=0.2, doubled=0.1, corrupted=0.05, spread=3 * MS)
    cluster.run(3)
    # The lines searched for below have this form.
    assert all("membership: alive" in cluster.log(n) for n in names)
    assert not [
        n for n in names if "membership: dead" in cluster.log(n) or "membership: gone" in cluster.log(n)
    ]
    cluster.network.heal()

    first_half, second_half = names[:6], names[6:]
    cluster.network.partition(first_half, second_half)
    cluster.until(lambda: cluster.views_agree(first_half) and cluster.views_agree(second_half), 15)
    assert min(cluster.proxy_counts().values()) >= 12  # neither half takes the other's shares
    cluster.network.heal()
    assert cluster.until(cluster.views_agree, 8) < 6

    t.avoided = {"n3"}
    cluster.stall(["n3"])
    others = [n for n in names if n != "n3"]
    cluster.until(lambda: cluster.views_agree(others), 10)
    cluster.resume(["n3"])
    cluster.until(cluster.views_agree, 5)
    t.avoided = {"n4", "n5", "n6"}

    cluster.kill(["n4", "n5"])
    assert cluster.until(lambda: cluster.views_agree([n for n in names if n not in ("n4", "n5")]), 8) < 5
    states = {row["name"]: row["state"] for row in cluster.view("n0")}
    assert states["n4"] == states["n5"] == "gone"
    cluster.start(["n4", "n5"])
    cluster.until(cluster.views_agree, 8)

    assert cluster.blocking_control_call("n6", "cordon s0") == ["ACK"]
    cluster.until(lambda: all(cluster.cordons(n) == ["s0"] for n in names), 2)
    known_at = clock()
    cluster.kill(["n6"])
    cluster.until(lambda: cluster.views_agree([n for n in names if n != "n6"]), 8)
    cluster.start(["n6"])
    cluster.until(cluster.views_agree, 8)
    cluster.until(lambda: cluster.cordons("n6") == ["s0"], 2)
    cluster.run(2)
    opened_at = [at for wire in t.servers.values() for at in wire[0].opened_at]
    assert max(opened_at) < known_at + 100 * MS
    assert cluster.blocking_control_call("n7", "uncordon s0") == ["ACK"]
    cluster.until(lambda: all(cluster.cordons(n) == [] for n in names), 2)
    cluster.until(
        lambda: max(at for w in t.servers.values() for at in w[0].opened_at) > clock() - 5_000_000, 8
    )

    t.avoided = set(names)  # clients that have arrived get their replies
    cluster.run(1)
    unaffected = [c for name, c in t.arrivals if name not in ("n3", "n4", "n5", "n6")]
    assert len(unaffected) > 200
    assert t.harmed_clients({"n3", "n4", "n5", "n6"}) == []


def test_a_terminated_member_leaves_and_moves_its_clients(traffic) -> None:
    t = traffic(4)
    cluster = t.cluster
    clients = [t.start_client("n2") for _ in range(6)]
    cluster.until(lambda: all(c.has("up") for c in clients), 5)
    process = cluster.terminate("n2")
    cluster.until(lambda: all(_state(cluster, n, "n2") == "left" for n in ("n0", "n1", "n3")), 2)
    cluster.until(lambda: process.poll() is not None, 8)
    cluster.reap("n2")
    assert all(c.has("moved") for c in clients)
    cluster.until(lambda: set(cluster.proxy_counts().values()) == {proxy_count(4, 4, 1, 0)}, 15)


def _state(cluster: LocalCluster, at: str, member: str) -> str:
    return next((row["state"] for row in cluster.view(at) if row["name"] == member), "")


def test_a_hot_restart_and_reloads_keep_a_single_member(traffic) -> None:
    """Two processes of a proxy are one member, also in a partition; reloads turn membership off and on."""
    t = traffic(3)
    cluster = t.cluster
    clients = [t.start_client("n1") for _ in range(4)]
    cluster.until(lambda: all(c.has("up") for c in clients), 5)
    life = cluster.view("n1")[0]["life"]
    cluster.network.partition(["n1"], ["n0", "n2"])
    predecessor = cluster.processes["n1"]
    cluster.start(["n1"])
    cluster.until(lambda: predecessor.poll() is not None, 10)
    cluster.network.heal()
    cluster.until(cluster.views_agree, 10)
    assert cluster.view("n1")[0]["life"] > life
    assert sorted(row["name"] for row in cluster.view("n0")) == ["n0", "n1", "n2"]
    assert not any(c.ended_at for c in clients)

    path = cluster.folder / "n1.star"
    text = path.read_text()
    path.write_text("\n".join(line for line in text.splitlines() if not line.startswith("fleet(")))
    cluster.processes["n1"].send_signal(signal.SIGHUP)
    cluster.until(lambda: _state(cluster, "n0", "n1") == "left", 5)
    assert cluster.blocking_control_call("n1", "fleet") == ["NAK unknown call"]
    assert cluster.blocking_control_call("n1", "health") == ["ACK"]
    path.write_text(text)
    cluster.processes["n1"].send_signal(signal.SIGHUP)
    cluster.until(cluster.views_agree, 8)
    assert not any(c.ended_at for c in clients)


def test_malformed_datagrams_and_an_oversized_stream_change_nothing(traffic) -> None:
    t = traffic(3)
    cluster = t.cluster
    address = ("127.0.0.1", cluster.ports["n1"]["fleet"])
    before = cluster.view("n1")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for n in range(3000):
            sock.sendto((b"aF1" if n % 2 else b"") + bytes(n % 1500), address)
    with contextlib.suppress(OSError), socket.create_connection(address, timeout=2) as sock:
        sock.sendall(b"\xff\xff\xff\xff" + b"x" * 1000)
        sock.recv(10)
    cluster.run(1)
    served = t.start_client("n1")
    cluster.until(lambda: served.has("up"), 2)
    metrics = cluster.metrics("n1")
    assert metrics["edge.fleet.junk"] > 100
    assert metrics["edge.fleet.oversized"] == 1
    assert cluster.views_agree()
    assert [r["life"] for r in cluster.view("n1")] == [r["life"] for r in before]


def test_the_command_prints_the_members_and_differing_views(traffic) -> None:
    t = traffic(3)
    cluster = t.cluster

    def command(*words: str) -> subprocess.CompletedProcess[str]:
        return cluster.run_program("fleet", *words)

    at = [f"--control=127.0.0.1:{cluster.ports[n]['control']}" for n in cluster.names]
    listing = command(*at)
    assert listing.returncode == 0
    assert listing.stdout.count("alive") == 9
    assert "cordoned: none" in listing.stdout
    rows = [json.loads(line) for line in command(at[0], "--json").stdout.splitlines()]
    assert [row["name"] for row in rows[:-1]] == ["n0", "n1", "n2"]
    assert rows[-1]["cordons"] == []
    assert {row["settings"] for row in rows[:-1]} == {rows[0]["settings"]}
    assert rows[1]["version"]
    cluster.network.partition(["n0"], ["n1", "n2"])
    cluster.until(lambda: cluster.views_agree(["n0"]) and cluster.views_agree(["n1", "n2"]), 10)
    assert command(*at).returncode == 3
    forgotten = command(at[0], "--forget", "n1")
    assert forgotten.returncode == 0
    assert _state(cluster, "n0", "n1") == "left"
    assert command(at[0], "--forget", "n9").returncode == 1
    cluster.network.heal()
    cluster.until(cluster.views_agree, 8)  # n1 was still running, so it comes back
    assert command("--control=127.0.0.1:1").returncode == 1


def test_turning_membership_off_restores_the_configured_proxy_count() -> None:
    """The last proxy count of the view used to stay in force after membership was turned off."""
    fleet = operator.Fleet(listen=f"127.0.0.1:{free_port()}")
    world = ProxyNetwork("lines", "up", operator=operator.Operator(fleet=fleet))
    try:
        module = world.driver.balancer
        assert module.settings.proxy_count == 1  # alone, as configured
        world.driver.set_proxy_count(MINIMUM_SHARE_DIVISOR)  # as if it came from the view
        assert module.settings.proxy_count == MINIMUM_SHARE_DIVISOR
        world.proxy.cluster.configure(operator.Operator())
        for count in (1, 3):
            config = replace(world.config, settings=replace(world.config.settings, proxy_count=count))
            world.driver.update_settings(config)
            assert module.settings.proxy_count == count
    finally:
        world.close()


VALID = {"listen": "127.0.0.1:7000", "seeds": ("127.0.0.1:7001",)}


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "127.0.0.1"}, "listen: not HOST:PORT"),
        ({"listen": "127.0.0.1:0"}, "listen: a port is needed"),
        ({"listen": "feed.example.org:7000"}, "listen: "),
        ({"seeds": ("127.0.0.1:1", "n1:7000")}, r"seeds\[1\]: "),
        ({"advertise": "::1:x"}, "advertise: "),
        ({"name": "no spaces"}, "name: "),
        ({"period_ms": 10}, "period_ms: "),
        ({"timeout_ms": 200}, "timeout_ms: at most half of period_ms"),
        ({"peers": 3}, "unknown field"),
    ],
)
def test_an_invalid_setting_is_refused_by_name(change, message: str) -> None:
    assert isinstance(operator.check_call("fleet", VALID, [], []), operator.Fleet)
    with pytest.raises(operator.OperatorCallError, match=message):
        operator.check_call("fleet", VALID | change, [], [])


def test_a_proxy_without_membership_does_not_import_it() -> None:
    code = (
        "import sys, arrowseam.cli, arrowseam.proxy\n"
        "own = tuple('arrowseam.' + part for part in ('agree', 'fleet', 'lab', 'net.peers'))\n"
        "print([m for m in sys.modules if m.startswith((*own, 'msgspec'))])"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=20)
    assert run.stdout.strip() == "[]", run.stderr


def test_is_ip_address_does_not_resolve_host_names() -> None:
    from arrowseam.net import peer_transport

    began = time.monotonic()
    assert not peer_transport.is_ip_address("n1.example.org")
    assert peer_transport.is_ip_address("127.0.0.1")
    assert peer_transport.is_ip_address("::1")
    assert time.monotonic() - began < 0.1
