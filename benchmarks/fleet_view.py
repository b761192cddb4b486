"""The fleet's view on real processes, too long for CI.

    python benchmarks/fleet_view.py schedules [--count 300] [--first 0] [--jobs 8]
    python benchmarks/fleet_view.py size [--members 48]
    python benchmarks/fleet_view.py costs [--members 48]

schedules: faults drawn from a seed between 3 to 7 proxies under traffic on both fronts, each judged by what
came out: control, logs, the stand-ins' own records. A seed repeats which faults come when, not the machine's
timing. size: how long many proxies take to agree after a crash, a split and its end. costs: processor and
memory of each of many idle proxies, with the view and without it, in one run.
"""

from __future__ import annotations

import argparse
import os
import random
import sys
import tempfile
import time
from multiprocessing import Pool
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from town import Town

from arrowseam.lab.rig import Rig
from arrowseam.net.loop import MS, clock

KINDS = (
    "kill",
    "restart",
    "stall",
    "stall",
    "part",
    "part",
    "one way",
    "loss",
    "corrupt",
    "cordon",
    "directory",
)
SETTLE = 15.0  # seconds after which a schedule has failed
HELD_DEAD = 3.0


class Play:
    """One drawn schedule on real processes."""

    def __init__(self, seed: int, folder: Path, first_port: int) -> None:
        self.rnd = random.Random(seed)
        self.town = Town(folder, self.rnd.randint(3, 7), seed=seed, first_port=first_port)
        self.rig = self.town.rig
        self.hit: set[str] = set()  # proxies whose own clients a fault may hurt
        self.broken: list[str] = []
        self.cordoned_at: int | None = None
        self.told = ""

    def step(self) -> None:
        rig, rnd = self.rig, self.rnd
        what, one = rnd.choice(KINDS), rnd.choice(rig.names)
        some = rnd.sample(rig.names, rnd.randint(1, len(rig.names) - 1))
        rest = [n for n in rig.names if n not in some]
        self.told += f" {what}"
        match what:
            case "kill" | "restart" if one in rig.processes:
                self.hit.add(one)
                self.town.shut.add(one)
                rig.kill([one])
                if what == "restart":
                    rig.start([one])
            case "stall" if one in rig.processes and one not in self.town.shut:
                self.hit.add(one)
                self.town.shut.add(one)
                rig.stall([one])
                rig.run(rnd.uniform(0.3, 3.0))
                rig.resume([one])
            case "part" | "one way":
                rig.board.part(some, rest, one_way=what == "one way")
            case "loss":
                rig.board.every(rig.names, loss=0.3, spread=5 * MS, doubled=0.2)
            case "corrupt":
                rig.board.every(rig.names, corrupted=0.2)
            case "cordon" if self.cordoned_at is None and one in rig.processes and one not in self.town.shut:
                if rig.call(one, "cordon s0") == ["ACK"]:
                    self.cordoned_at = 0
            case "directory":
                rig.directory_up = not rig.directory_up

    def run(self) -> tuple[list[str], float]:
        rig = self.rig
        rig.start()
        rig.until(lambda: rig.agreed(rig.names), 20)
        rig.loop.spawn(self.town.crowd(), "crowd")
        rig.run(0.3)
        for _ in range(self.rnd.randint(1, 5)):
            self.step()
            rig.run(self.rnd.uniform(0.2, 2.0))
        rig.board.heal()
        rig.directory_up = True
        healed = time.monotonic()
        try:
            settled = rig.until(rig.agreed, SETTLE)
        except TimeoutError:
            self.broken.append(f"views differ {SETTLE:g} s after the last fault")
            settled = SETTLE
        if settled > HELD_DEAD:
            for name in rig.processes:
                for row in rig.view(name):
                    if row["name"] in rig.processes and row["state"] not in ("alive", "suspect"):
                        self.broken.append(f"{name} holds {row['name']} {row['state']}")
        for name, told in rig.told().items():
            if told < len(rig.processes):
                self.broken.append(f"{name} is told {told} of {len(rig.processes)}")
        if self.cordoned_at is not None:
            self._cordon()
        self.town.shut = set(rig.names)  # who has come is answered before the judging
        rig.run(max(1.0, 2.5 - (time.monotonic() - healed)))
        for name, got in self.town.harmed(self.hit):
            self.broken.append(f"a client of {name} got {got[:60]!r}")
        for name in rig.processes:
            if "Traceback" in rig.log(name) or "task.failed" in rig.log(name):
                self.broken.append(f"{name}: an exception in its log")
        return self.broken, settled

    def _cordon(self) -> None:
        """All hold it, and 2 s later nothing new goes there; unless who set it ended at once."""
        rig = self.rig
        held = {name: rig.cordons(name) == ["s0"] for name in rig.processes}
        if not any(held.values()):
            return
        if not all(held.values()):
            self.broken.append(f"a cordon is held by {sorted(n for n in held if held[n])} only")
        known = clock()
        rig.run(2.5)
        late = [
            at for wire in self.town.servers.values() for at in wire[0].opened_at if at > known + 2_000_000
        ]
        if late:
            self.broken.append(f"{len(late)} connections to a cordoned server after 2 s")


def one(job: tuple[int, int]) -> tuple[int, list[str], float, str]:
    seed, jobs = job
    slot = 10_000 + (os.getpid() % (3 * jobs)) * (22_000 // (3 * jobs))
    with tempfile.TemporaryDirectory() as folder:
        play = Play(seed, Path(folder), slot)
        try:
            broken, settled = play.run()
        except (TimeoutError, OSError) as error:
            broken, settled = [f"not played: {error}"], 0.0
        finally:
            play.town.close()
        return seed, broken, settled, play.told


def schedules(count: int, first: int, jobs: int) -> int:
    with Pool(jobs) as pool:
        rows = list(pool.imap_unordered(one, [(seed, jobs) for seed in range(first, first + count)]))
    times = sorted(settled for _, _, settled, _ in rows)
    at = [times[int(part * (len(times) - 1))] for part in (0.5, 0.99, 1.0)]
    print(f"{len(rows)} schedules on real processes; equal views after the last fault: "
          f"p50 {at[0]:.2f} s, p99 {at[1]:.2f} s, max {at[2]:.2f} s")  # fmt: skip
    broken = sorted(row for row in rows if row[1])
    for seed, texts, _, told in broken:
        print(f"BROKEN: seed {seed}:{told}: {'; '.join(texts[:3])}")
    return len(broken)


def size(members: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), members)
        try:
            rig.start()
            print(f"{members} proxies agree after {rig.until(lambda: rig.agreed(rig.names), 60):.1f} s")
            rig.run(3)
            some = rig.names[3 : 3 + members // 8]
            rig.kill(some)
            rest = [n for n in rig.names if n not in some]
            print(f"{len(some)} killed: known to all after {rig.until(lambda: rig.agreed(rest), 30):.1f} s")
            rig.start(some)
            print(f"started again: {rig.until(rig.agreed, 30):.1f} s")
            one_, other = rig.names[: members // 2], rig.names[members // 2 :]
            rig.board.part(one_, other)
            took = rig.until(lambda: rig.agreed(one_) and rig.agreed(other), 60)
            print(f"cut in halves: each agrees after {took:.1f} s; told {sorted(set(rig.told().values()))}")
            rig.board.heal()
            print(f"healed: {rig.until(rig.agreed, 30):.1f} s")
        finally:
            rig.close()


def costs(members: int) -> None:
    tick = os.sysconf("SC_CLK_TCK")
    for fleet in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(Path(folder), members, fleet=fleet)
            try:
                rig.start()
                rig.run(12)
                used = {n: _cpu(p.pid) for n, p in rig.processes.items()}
                rig.run(20)
                share = sorted((_cpu(p.pid) - used[n]) / tick / 20 for n, p in rig.processes.items())
                memory = sorted(_memory(p.pid) for p in rig.processes.values())
                print(f"{members} proxies, view {'on ' if fleet else 'off'}: processor median "
                      f"{share[members // 2]:.2%}, most {share[-1]:.2%} of a core; resident median "
                      f"{memory[members // 2]:.1f} MB")  # fmt: skip
            finally:
                rig.close()


def _cpu(pid: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def _memory(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("schedules", "size", "costs"))
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--members", type=int, default=48)
    given = parser.parse_args()
    if given.what == "schedules":
        raise SystemExit(bool(schedules(given.count, given.first, given.jobs)))
    (size if given.what == "size" else costs)(given.members)


if __name__ == "__main__":
    main()
