"""Drains and releases of several proxies with faults between them, under traffic of both protocols."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowseam.lab.traffic import TrafficCluster
from arrowseam.net.clock import MS, clock

BUDGETS = "budgets(proxies = 2, servers = 1, least_ready = 0.3)\n"


@pytest.fixture
def traffic(tmp_path: Path) -> Iterator:
    made: list[TrafficCluster] = []

    def make(members: int, voters: int = 3, disk: bool = False) -> TrafficCluster:
        made.append(TrafficCluster(tmp_path, members, operator_text=BUDGETS, voters=voters, disk=disk))
        cluster = made[0].cluster
        cluster.start()
        cluster.until(lambda: cluster.views_agree(cluster.names), 20)
        cluster.until(lambda: cluster.replicated("n0").get("role") == "out", 10)
        assert cluster.control_call("n0", "agree reset").startswith("ACK")
        cluster.until(lambda: cluster_formed(cluster, voters), 15)
        return made[0]

    yield make
    for traffic_cluster in made:
        traffic_cluster.close()


def cluster_formed(cluster, voters: int) -> bool:
    """Whether all voters are members, their budgets are known, and all proxies have the same entry."""
    rows = [cluster.agreement_rows(name) for name in cluster.processes]
    index = {r[0].get("index") for r in rows if r}
    return (
        all(r for r in rows)
        and len(index) == 1
        and all(sum("budgets" in row for row in r) == voters for r in rows)
        and any(len(r[0]["voters"]) == voters for r in rows)
    )


def bundle(deadline_ms: int) -> bytes:
    lanes = [
        {"aim": 300000, "deadline": deadline_ms * 1000, "effect": "retryable", "name": "tech"},
        {"aim": 300000, "deadline": 600000, "effect": "retryable", "name": "resident"},
    ]
    return json.dumps({"settings": {"lanes": lanes}}).encode()


def release(cluster, name: str = "n0") -> dict:
    found = cluster.replicated(name)["releases"]
    return found[max(found)] if found else {"state": "none", "members": {}}


def test_a_server_is_drained_by_all_proxies_and_reported_as_empty(traffic) -> None:
    t = traffic(5)
    cluster = t.cluster
    clients = [t.start_client(n) for n in cluster.names for _ in range(4)]
    cluster.until(lambda: all(c.has("up") for c in clients), 5)
    cluster.loop.start_task(t.generate_clients(), "crowd")
    assert cluster.control_call("n4", "drain s9") == "NAK unknown server s9"
    assert cluster.control_call("n4", "drain s0").startswith("ACK s0 waits")
    assert cluster.control_call("n1", "drain s1").startswith("ACK")
    cluster.until(lambda: all(cluster.replicated(n)["permits"] for n in cluster.names), 4)
    known_at = clock()
    # s1 waits: the budget is one server.
    assert [p["name"] for p in cluster.replicated("n2")["permits"]] == ["s0"]
    cluster.until(lambda: cluster.replicated("n0")["permits"][0]["safe"], 25)
    for wire in t.servers.values():
        assert not wire[0].live
        assert max(wire[0].opened_at) < known_at + 2_000_000
    assert cluster.blocking_control_call("n3", "uncordon s0") == ["NAK out by agreement: undrain it"]
    rows = cluster.endpoint_rows
    cluster.set_endpoints(
        [row | {"lifecycle": "Terminating"} if row["instanceId"] == "s0" else row for row in rows]
    )
    cluster.run(1)
    assert cluster.control_call("n2", "undrain s0").startswith("NAK s0 is not listed as ready")
    cluster.set_endpoints(rows)
    cluster.run(1)
    assert cluster.control_call("n2", "undrain s0").startswith("ACK s0 is back")
    cluster.until(lambda: [p["name"] for p in cluster.replicated("n3")["permits"]] == ["s1"], 5)
    cluster.until(lambda: any(wire[0].live for wire in t.servers.values()), 8)
    t.avoided = set(cluster.names)
    cluster.run(1)
    assert t.harmed_clients(set()) == []


def test_the_commands_report_accepted_and_rejected_changes(traffic) -> None:
    cluster = traffic(3).cluster
    at = f"--control=127.0.0.1:{cluster.ports['n1']['control']}"
    drain = cluster.run_program("drain", "--zone", "z", at)
    assert drain.returncode == 0 and drain.stdout.count("waits for its turn") == 3, drain
    cluster.until(lambda: any(p["safe"] for p in cluster.replicated("n1")["permits"]), 10)
    status = cluster.run_program("release", "status", at)
    assert status.returncode == 0
    assert "empty: safe to stop" in status.stdout
    assert "drains that wait" in status.stdout
    (server,) = [p["name"] for p in cluster.replicated("n1")["permits"]]
    assert cluster.run_program("drain", server, at).returncode == 1  # drained already
    rows = [
        json.loads(line) for line in cluster.run_program("release", "log", "--json", at).stdout.splitlines()
    ]
    assert [row["what"] for row in rows].count("drain") == 4
    assert rows[-1]["refused"]
    assert cluster.run_program("undrain", server, at).returncode == 0
    bundle_file = cluster.folder / "new.json"
    bundle_file.write_bytes(bundle(1700))
    plan = cluster.run_program("release", "plan", "settings", str(bundle_file), "--no-gates", at)
    assert plan.returncode == 0 and "3 proxies in" in plan.stdout, plan
    assert cluster.run_program("release", "halt", at).returncode == 0
    assert cluster.run_program("release", "status", at).returncode == 3
    assert cluster.run_program("release", "cancel", at).returncode == 0
    assert cluster.run_program("agree", "reset", at).returncode == 2  # not without --yes
    assert cluster.run_program("agree", "off", "n2", at).returncode == 1
    assert cluster.run_program("drain", "s0", "--control=127.0.0.1:1").returncode == 1


def test_settings_are_released_in_waves_halted_and_rolled_back(traffic) -> None:
    t = traffic(6)
    cluster = t.cluster
    cluster.loop.start_task(t.generate_clients(), "crowd")
    invalid = json.dumps({"settings": {"lanes": [{"name": "tech", "deadline": -1}]}}).encode()
    assert cluster.control_call("n0", f"release plan settings bytes={len(invalid)}", invalid).startswith(
        "NAK"
    )
    release_bundle = bundle(1700)
    words = f"release plan settings bytes={len(release_bundle)} soak_s=0.5 patience_s=20 gated=0"
    assert cluster.control_call("n5", words, release_bundle).startswith("ACK release")
    # A proxy that replies ACK has applied the command, even if it is not a voter: the next one works there.
    assert cluster.control_call("n5", "release start").startswith("ACK")
    cluster.until(lambda: release(cluster)["state"] == "done", 30)
    assert set(release(cluster, "n5")["members"].values()) == {"new"}
    digests = {cluster.replicated(n)["digest"] for n in cluster.names}
    assert len(digests) == 1
    assert "" not in digests

    second = bundle(1500)
    words = f"release plan settings bytes={len(second)} soak_s=2 patience_s=20 gated=0"
    assert cluster.control_call("n0", words, second).startswith("ACK release")
    assert cluster.control_call("n0", "release start").startswith("ACK")
    cluster.until(lambda: list(release(cluster)["members"].values()).count("new") == 1, 10)
    assert cluster.control_call("n4", "release halt").startswith("ACK")
    halted_at = clock()
    cluster.until(lambda: all(release(cluster, n)["halted"] for n in cluster.names), 3)
    assert clock() - halted_at < 2_000_000
    cluster.run(3)
    assert list(release(cluster)["members"].values()).count("new") == 1
    assert cluster.control_call("n1", "release back").startswith("ACK")
    cluster.run(1)
    assert release(cluster)["halted"]  # the halt applies to the rollback too
    cluster.until(lambda: release(cluster)["state"] == "halted", 5)
    assert cluster.control_call("n2", "release resume").startswith("ACK")
    cluster.until(lambda: release(cluster)["state"] == "back", 15)
    assert {cluster.replicated(n)["digest"] for n in cluster.names} == digests
    t.avoided = set(cluster.names)
    cluster.run(1)
    assert t.harmed_clients(set()) == []


def test_a_halt_after_a_resume_is_in_force(traffic) -> None:
    """A second halt was answered ACK without effect: the mark of the first, older than the resume, stayed."""
    cluster = traffic(3).cluster
    release_bundle = bundle(1700)
    words = f"release plan settings bytes={len(release_bundle)} soak_s=30 patience_s=60 gated=0"
    assert cluster.control_call("n0", words, release_bundle).startswith("ACK")
    assert cluster.control_call("n0", "release start").startswith("ACK")
    for _ in range(3):
        cluster.until(lambda: all(release(cluster, n)["state"] == "running" for n in cluster.names), 5)
        assert cluster.control_call("n1", "release halt").startswith("ACK")
        cluster.until(lambda: all(release(cluster, n)["state"] == "halted" for n in cluster.names), 5)
        assert all(release(cluster, n)["halted"] for n in cluster.names)
        assert cluster.control_call("n2", "release resume").startswith("ACK")
        cluster.until(lambda: not any(release(cluster, n)["halted"] for n in cluster.names), 5)


def test_a_minority_grants_no_permit_and_a_halt_needs_no_quorum(traffic) -> None:
    t = traffic(5)
    cluster = t.cluster
    cluster.network.partition(["n0", "n3"], ["n1", "n2", "n4"])
    cluster.until(lambda: cluster.replicated("n1")["leader"] in ("n1", "n2"), 10)
    reply = cluster.start_control_call("n3", "drain s0")
    assert cluster.control_call("n4", "drain s1").startswith("ACK")
    cluster.until(lambda: cluster.replicated("n4")["permits"], 5)
    cluster.until(lambda: reply() is not None, 12)
    assert (reply() or "").startswith("NAK not agreed")
    assert not cluster.replicated("n3")["permits"]
    cluster.network.heal()
    cluster.until(lambda: [p["name"] for p in cluster.replicated("n3")["permits"]] == ["s1"], 8)
    release_bundle = bundle(1700)
    words = f"release plan settings bytes={len(release_bundle)} soak_s=30 patience_s=60 gated=0"
    cluster.until(lambda: cluster.views_agree(cluster.names), 8)
    assert cluster.control_call("n0", words, release_bundle).startswith("ACK")
    assert cluster.control_call("n0", "release start").startswith("ACK")
    cluster.until(lambda: "new" in release(cluster)["members"].values(), 10)
    cluster.kill(["n0", "n1"])  # the quorum is lost
    t.avoided = {"n0", "n1"}
    client = t.start_client("n3")
    assert cluster.control_call("n3", "release halt").startswith("ACK")
    cluster.until(lambda: all(release(cluster, n)["halted"] for n in ("n2", "n3", "n4")), 3)
    cluster.until(lambda: client.has("up"), 3)  # clients are served without a quorum


def test_a_release_of_restarts_harms_no_client(traffic) -> None:
    t = traffic(4, disk=True)
    cluster = t.cluster
    clients = [t.start_client(n) for n in cluster.names for _ in range(3)]
    cluster.until(lambda: all(c.has("up") for c in clients), 5)
    cluster.loop.start_task(t.generate_clients(), "crowd")
    before = {n: cluster.processes[n].pid for n in cluster.names}
    assert cluster.control_call("n3", "release plan restart soak_s=0.2 patience_s=20 gated=0").startswith(
        "ACK"
    )
    assert cluster.control_call("n3", "release start").startswith("ACK")

    def is_done() -> bool:
        cluster.adopt()
        return any(release(cluster, n)["state"] == "done" for n in cluster.names)

    cluster.until(is_done, 60)
    assert all(cluster.processes[n].pid != before[n] for n in cluster.names)
    cluster.until(lambda: cluster_formed(cluster, 3), 15)
    t.avoided = set(cluster.names)
    cluster.run(1)
    assert t.harmed_clients(set()) == []
    assert not [c for c in clients if c.ended_at]


def test_voters_that_lost_their_state_rejoin_through_a_majority_or_a_reset(traffic) -> None:
    t = traffic(3)
    cluster = t.cluster
    assert cluster.control_call("n1", "drain s0").startswith("ACK")
    cluster.until(lambda: cluster.replicated("n2")["permits"], 5)
    cluster.kill(["n0"])
    cluster.until(lambda: cluster.replicated("n1")["leader"] in ("n1", "n2"), 8)
    cluster.start(["n0"])  # without a state folder: its state is lost
    cluster.until(
        lambda: len(cluster.replicated("n0").get("voters", [])) == 3 and cluster.replicated("n0")["permits"],
        15,
    )
    last_opened = max(at for wire in t.servers.values() for at in [0, *wire[0].opened_at])
    assert last_opened < clock() - 100 * MS
    cluster.kill(["n0", "n1"])
    cluster.start(["n0", "n1"])  # a majority has lost its state: nothing is decided before a reset
    cluster.until(lambda: cluster.views_agree(cluster.names), 15)
    assert cluster.control_call("n2", "undrain s0 off").startswith("NAK not agreed")
    assert cluster.control_call("n2", "agree reset").startswith("ACK")  # n2 still has the replicated state
    cluster.until(lambda: cluster_formed(cluster, 3), 15)
    assert [p["name"] for p in cluster.replicated("n0")["permits"]] == ["s0"]
