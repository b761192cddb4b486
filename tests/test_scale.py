"""Scale runs: simulated members beside real proxies on loopback; large clusters on the virtual clock."""

from __future__ import annotations

import gc
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from fractions import Fraction
from pathlib import Path

import pytest
from click.testing import CliRunner

from arrowseam.cli import main
from arrowseam.lab import scale, scale_plan
from arrowseam.lab.local_cluster import LocalCluster
from arrowseam.lab.scale_plan import Machine, Plan, PlanError
from arrowseam.lab.schedule_drawing import draw
from arrowseam.lab.schedule_player import Player
from arrowseam.lab.simulated_cluster import SECOND, SimulatedCluster, share_units
from arrowseam.membership.settings import MembershipSettings
from arrowseam.net.clock import clock
from arrowseam.net.connection import Connection
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine

ROOT = Path(__file__).resolve().parents[1]
SMALL = Plan(30, real=2, faults=("restart", "silent"), seconds=2.5, period_ms=100, per_host=15)
BIG = Machine(8, 24_000, 20_000)


def test_a_small_run_has_no_violations_and_leaves_a_record(tmp_path: Path) -> None:
    record = scale.play(SMALL, tmp_path)
    assert record.broken == []
    assert [p["fault"] for p in record.phases] == ["start", "restart", "silent"]
    assert all(p["equal"] is not None for p in record.phases)
    restart, silent = record.phases[1:]
    assert restart["whole"] is not None
    assert len(silent["ended"]) == 1
    assert silent["known"] is not None
    assert record.clients["came"] == record.clients["up"] > 0
    assert 0.9 < record.share <= 1.0 + 1e-6
    assert any("stretched" in text for text in record.said)  # a period other than the default is noted

    run_file = json.loads((tmp_path / "run.json").read_text())
    names = {row["name"] for row in run_file["series"]}
    assert {"fleet.start.bytes_worst", "fleet.silent.known", "fleet.restart.whole"} <= names
    assert all(row["samples"][0][0] == 30 for row in run_file["series"])

    result = CliRunner().invoke(main, ["lab", "report", str(tmp_path)])
    assert result.exit_code == 0, result.output
    page = (tmp_path / "report.html").read_text()
    assert "<svg" in page
    assert "No violations" in page
    assert "1 silent" in page


def test_silent_members_counted_out_are_a_violation() -> None:
    """A mutant treats silence as an end: both sides of a cut take the other's shares, more than 1 in all."""
    plan = Plan(
        24, real=0, faults=("cut",), seconds=3.0, period_ms=100, per_host=6, spans={"cut": 5.0},
        view="arrowseam.lab.mutants:SilentCountedOut",
    )  # fmt: skip
    record = scale.play(plan)
    assert record.share > 1.05
    assert any(text.startswith("the shares of all running members added up to") for text in record.broken)


def test_stopped_members_that_do_not_refute_their_death_are_a_violation() -> None:
    """A process is stopped until its members are held dead; a mutant does not refute that afterwards."""
    plan = Plan(
        24, real=0, faults=("stop",), seconds=3.0, period_ms=100, per_host=6, spans={"stop": 3.5}, settle=4.5,
        view="arrowseam.lab.mutants:NoRefutation",
    )  # fmt: skip
    broken = scale.play(plan).broken
    assert any("is running but shown as dead" in text for text in broken)
    assert any(text.startswith("stop: views differ") for text in broken)


@pytest.mark.parametrize(
    ("plan", "resources", "message"),
    [
        (Plan(2_000, per_host=2), BIG, "processes; at most 300"),
        (Plan(1_000), Machine(8, 1_000, 20_000), "at most half of the 1000 MiB"),
        (Plan(1_000), Machine(8, 24_000, 1_024), "descriptors in a process; the limit is 1024"),
        (Plan(2_000), Machine(2, 240_000, 20_000), "a stretched period, --period-ms .*, would fit"),
        (Plan(2_000, faults=("rest", "flood")), BIG, "unknown fault 'flood'"),
        (Plan(100, faults=("leader",)), BIG, "the fault leader requires --agent"),
        (Plan(10, real=11), BIG, "do not fit into 1 zones"),
        (Plan(10, zones=11), BIG, "do not fit into 11 zones"),
    ],
)
def test_a_plan_that_does_not_fit_is_refused(plan: Plan, resources: Machine, message: str) -> None:
    with pytest.raises(PlanError, match=message) as error:
        scale_plan.check(plan, resources)
    assert "\n" not in str(error.value)


def test_a_plan_with_a_stretched_period_fits() -> None:
    scale_plan.check(Plan(500, period_ms=3_000), Machine(2, 24_000, 20_000))


def test_the_command_refuses_a_plan_in_one_line() -> None:
    result = CliRunner().invoke(main, ["lab", "scale", "--members", "20000", "--per-host", "10"])
    assert result.exit_code == 1
    assert result.output.startswith("Error: ")
    assert result.output.count("\n") == 1


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_nothing_is_left_running_after_an_interrupt(number: signal.Signals) -> None:
    run = subprocess.Popen(
        [sys.executable, "-u", "-m", "arrowseam", "lab", "scale", "--members", "20", "--per-host", "10",
         "--real", "1", "--seconds", "60", "--period-ms", "100"],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, cwd=ROOT,
    )  # fmt: skip
    assert run.stdout is not None
    assert run.stdout.readline().startswith("estimate: ")
    while "have the most common view" not in (line := run.stdout.readline()):
        assert line, "the run ended without a line of progress"
    children = Path(f"/proc/{run.pid}/task/{run.pid}/children").read_text().split()
    assert len(children) == 3  # two processes of simulated members and a proxy
    os.kill(run.pid, number)
    _, errors = run.communicate(timeout=20)
    assert run.returncode == 130
    assert "all started processes have been ended" in errors
    assert not [pid for pid in children if Path(f"/proc/{pid}").exists()]


def test_a_long_control_reply_is_read_completely(tmp_path: Path) -> None:
    """The view of hundreds of members is longer than a connection's buffer."""
    cluster = LocalCluster(tmp_path, 1)
    text = b"x" * 100_000

    def serve(conn: Connection) -> Coroutine[None]:
        yield from conn.read_line(100, clock() + 5 * SECOND)
        yield from conn.send(text + b"\n", clock() + 5 * SECOND)

    try:
        listen(cluster.loop, ("127.0.0.1", cluster.ports["n0"]["control"]), "control", serve)
        assert cluster.control_call("n0", "fleet") == text.decode()
    finally:
        cluster.close()


# --- the virtual clock ---


@pytest.mark.parametrize("seed", range(12))
def test_the_incremental_sum_of_shares_equals_the_full_sum(seed: int) -> None:
    """Compared at every event of drawn schedules, exactly, in integer units."""
    player = Player(draw(seed))
    net, watch, checks = player.net, player.net.watch, [0]

    def check_sums() -> None:
        checks[0] += 1
        assert net.total_units == sum(share_units(p.proxy_count.value) for p in net.running.values())
        exact = sum((Fraction(1, p.proxy_count.value) for p in net.running.values()), Fraction(0))
        assert abs(net.share_sum - float(exact)) < 1e-15 * max(1, len(net.running))
        assert net.share_sum_max >= net.share_sum
        watch()

    net.watch = check_sums
    verdict = player.play()
    assert verdict.broken == []
    assert checks[0] > 100


def test_a_killed_process_has_no_share() -> None:
    net = SimulatedCluster(3, 1)
    for name in net.names:
        net.start(name)
    assert net.until(net.agreed, 10 * SECOND) is not None
    taken, count = net.total_units, net.running["m1"].proxy_count.value
    net.kill("m1")
    assert net.total_units == taken - share_units(count)
    assert net.until(net.agreed, 10 * SECOND) is not None


def test_a_pending_wake_up_is_not_scheduled_again() -> None:
    """Otherwise the event queue of an idle cluster would grow without bound."""
    net = SimulatedCluster(20, 1)
    for name in net.names:
        net.start(name)
    net.until(net.agreed, 10 * SECOND)
    net.run(net.now + 20 * SECOND)
    assert len(net.events) < 20 * 20


def test_6500_members_in_26_zones_learn_of_a_cordon_and_of_ended_members(gc_off: None) -> None:
    """Tests the number of members: the period is stretched to 3 s and zones have only 250 members."""
    settings = MembershipSettings(probe_interval=3 * SECOND, probe_timeout=SECOND)
    net = SimulatedCluster(6_500, 1, settings, zones={f"z{z}": 250 for z in range(26)}, foreign_seeds=0)
    net.start_established()
    ended = [f"m{n}" for n in range(7, 250, 19)]
    for name in ended:
        net.kill(name)
    net.cordon("m0", "s1", True)
    net.run(10 * SECOND)
    same_zone = [p for name, p in net.running.items() if net.zone_of[name] == "z0"]
    assert len(same_zone) == 237
    known = [name for name in ended if not any(p.view.records[name].is_active for p in same_zone)]
    # Probe targets are random: within seven seconds, one member in ten is probed by nobody.
    assert len(known) >= 10
    assert len([name for name, p in net.running.items() if "s1" in p.cordoned]) == 6_487
    assert net.until(net.agreed, 10 * SECOND, 500_000) is not None
    # Each zone has a fixed part of the budgets: ended members change only the counts of their own zone.
    assert {p.proxy_count.value for name, p in net.running.items() if net.zone_of[name] != "z0"} == {6_500}
    assert 0.99 < net.share_sum <= net.share_sum_max <= 1.0


@pytest.fixture
def gc_off() -> Iterator[None]:
    """Turn off the garbage collector, which would traverse the records of 6,500 views again and again."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
