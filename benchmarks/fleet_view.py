"""Membership between real proxies; too long for CI.

    python benchmarks/fleet_view.py schedules [--count 300] [--first 0] [--jobs 8] [--members 48]
    python benchmarks/fleet_view.py size [--members 48]
    python benchmarks/fleet_view.py costs [--members 48]

schedules: random faults, drawn by seed, between 3 to 7 proxies under traffic on both client protocols. Each
run is checked by its outcome: control, logs, and the records of the stand-ins. A seed repeats the faults and
their times, but not the timing of the machine. size: how long many proxies take to agree after a crash, a
partition and its healing. costs: processor time and memory of each of many idle proxies, with membership and
without it, in one run.
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


def play_seed(job: tuple[int, int, int | None]) -> tuple[int, Record]:
    seed, jobs, members = job
    slot = 10_000 + (os.getpid() % (3 * jobs)) * (22_000 // (3 * jobs))
    with tempfile.TemporaryDirectory() as folder:
        return seed, fault_runner.play(fault_kinds.draw(seed, members), Path(folder), slot)


def schedules(count: int, first: int, jobs: int, members: int | None) -> int:
    with Pool(jobs) as pool:
        work = [(seed, jobs, members) for seed in range(first, first + count)]
        rows = list(pool.imap_unordered(play_seed, work))
    times = sorted(record.settled for _, record in rows if record.settled is not None)
    quantiles = [times[int(part * (len(times) - 1))] for part in (0.5, 0.99, 1.0)]
    print(f"{len(rows)} schedules on real processes; equal views after the last fault: "
          f"p50 {quantiles[0]:.2f} s, p99 {quantiles[1]:.2f} s, max {quantiles[2]:.2f} s")  # fmt: skip
    broken = sorted((seed, record) for seed, record in rows if record.broken)
    for seed, record in broken:
        steps = " ".join(step.what for step in fault_kinds.draw(seed, members).steps)
        print(f"BROKEN: seed {seed}: {steps}: {'; '.join(record.broken[:3])}")
    return len(broken)


def size(members: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), members)
        try:
            cluster.start()
            took = cluster.until(lambda: cluster.views_agree(cluster.names), 60)
            print(f"{members} proxies agree after {took:.1f} s")
            cluster.run(3)
            killed = cluster.names[3 : 3 + members // 8]
            cluster.kill(killed)
            others = [n for n in cluster.names if n not in killed]
            took = cluster.until(lambda: cluster.views_agree(others), 30)
            print(f"{len(killed)} killed: known to all after {took:.1f} s")
            cluster.start(killed)
            print(f"started again: {cluster.until(cluster.views_agree, 30):.1f} s")
            first_half, second_half = cluster.names[: members // 2], cluster.names[members // 2 :]
            cluster.network.partition(first_half, second_half)
            took = cluster.until(
                lambda: cluster.views_agree(first_half) and cluster.views_agree(second_half), 60
            )
            proxy_counts = sorted(set(cluster.proxy_counts().values()))
            print(f"partitioned in halves: each agrees after {took:.1f} s; proxy counts {proxy_counts}")
            cluster.network.heal()
            print(f"healed: {cluster.until(cluster.views_agree, 30):.1f} s")
        finally:
            cluster.close()


def costs(members: int) -> None:
    tick = os.sysconf("SC_CLK_TCK")
    for membership in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            cluster = LocalCluster(Path(folder), members, fleet=membership)
            try:
                cluster.start()
                cluster.run(12)
                ticks_before = {n: _cpu_ticks(p.pid) for n, p in cluster.processes.items()}
                cluster.run(20)
                shares = sorted(
                    (_cpu_ticks(p.pid) - ticks_before[n]) / tick / 20 for n, p in cluster.processes.items()
                )
                memory = sorted(_resident_mb(p.pid) for p in cluster.processes.values())
                print(f"{members} proxies, membership {'on ' if membership else 'off'}: processor median "
                      f"{shares[members // 2]:.2%}, most {shares[-1]:.2%} of a core; resident median "
                      f"{memory[members // 2]:.1f} MB")  # fmt: skip
            finally:
                cluster.close()


def _cpu_ticks(pid: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def _resident_mb(pid: int) -> float:
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
    parser.add_argument(
        "--members", type=int, help="schedules: random, 3 to 7, if not given; others: 48 by default"
    )
    args = parser.parse_args()
    if args.what == "schedules":
        raise SystemExit(bool(schedules(args.count, args.first, args.jobs, args.members)))
    (size if args.what == "size" else costs)(args.members or 48)


if __name__ == "__main__":
    main()
