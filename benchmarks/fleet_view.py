"""The fleet's view on real processes, too long for CI.

    python benchmarks/fleet_view.py schedules [--count 300] [--first 0] [--jobs 8] [--members 48]
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
import tempfile
from multiprocessing import Pool
from pathlib import Path

from arrowseam.lab import fault_kinds, fault_runner
from arrowseam.lab.fault_record import Record
from arrowseam.lab.local_cluster import LocalCluster


def one(job: tuple[int, int, int | None]) -> tuple[int, Record]:
    seed, jobs, members = job
    slot = 10_000 + (os.getpid() % (3 * jobs)) * (22_000 // (3 * jobs))
    with tempfile.TemporaryDirectory() as folder:
        return seed, fault_runner.play(fault_kinds.draw(seed, members), Path(folder), slot)


def schedules(count: int, first: int, jobs: int, members: int | None) -> int:
    with Pool(jobs) as pool:
        work = [(seed, jobs, members) for seed in range(first, first + count)]
        rows = list(pool.imap_unordered(one, work))
    times = sorted(record.settled for _, record in rows if record.settled is not None)
    at = [times[int(part * (len(times) - 1))] for part in (0.5, 0.99, 1.0)]
    print(f"{len(rows)} schedules on real processes; equal views after the last fault: "
          f"p50 {at[0]:.2f} s, p99 {at[1]:.2f} s, max {at[2]:.2f} s")  # fmt: skip
    broken = sorted((seed, record) for seed, record in rows if record.broken)
    for seed, record in broken:
        told = " ".join(step.what for step in fault_kinds.draw(seed, members).steps)
        print(f"BROKEN: seed {seed}: {told}: {'; '.join(record.broken[:3])}")
    return len(broken)


def size(members: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), members)
        try:
            cluster.start()
            took = cluster.until(lambda: cluster.views_agree(cluster.names), 60)
            print(f"{members} proxies agree after {took:.1f} s")
            cluster.run(3)
            some = cluster.names[3 : 3 + members // 8]
            cluster.kill(some)
            rest = [n for n in cluster.names if n not in some]
            took = cluster.until(lambda: cluster.views_agree(rest), 30)
            print(f"{len(some)} killed: known to all after {took:.1f} s")
            cluster.start(some)
            print(f"started again: {cluster.until(cluster.views_agree, 30):.1f} s")
            one_, other = cluster.names[: members // 2], cluster.names[members // 2 :]
            cluster.network.partition(one_, other)
            took = cluster.until(lambda: cluster.views_agree(one_) and cluster.views_agree(other), 60)
            counts = sorted(set(cluster.proxy_counts().values()))
            print(f"cut in halves: each agrees after {took:.1f} s; told {counts}")
            cluster.network.heal()
            print(f"healed: {cluster.until(cluster.views_agree, 30):.1f} s")
        finally:
            cluster.close()


def costs(members: int) -> None:
    tick = os.sysconf("SC_CLK_TCK")
    for fleet in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            cluster = LocalCluster(Path(folder), members, fleet=fleet)
            try:
                cluster.start()
                cluster.run(12)
                used = {n: _cpu(p.pid) for n, p in cluster.processes.items()}
                cluster.run(20)
                share = sorted((_cpu(p.pid) - used[n]) / tick / 20 for n, p in cluster.processes.items())
                memory = sorted(_memory(p.pid) for p in cluster.processes.values())
                print(f"{members} proxies, view {'on ' if fleet else 'off'}: processor median "
                      f"{share[members // 2]:.2%}, most {share[-1]:.2%} of a core; resident median "
                      f"{memory[members // 2]:.1f} MB")  # fmt: skip
            finally:
                cluster.close()


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
    parser.add_argument("--members", type=int, help="of schedules: else drawn, 3 to 7; of the others: 48")
    given = parser.parse_args()
    if given.what == "schedules":
        raise SystemExit(bool(schedules(given.count, given.first, given.jobs, given.members)))
    (size if given.what == "size" else costs)(given.members or 48)


if __name__ == "__main__":
    main()
