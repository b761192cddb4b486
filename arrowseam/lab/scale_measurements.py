"""Measurements of a scale run: the members' costs, their shares of the budgets, and the rates of a phase.

Times of the samples are microseconds of this machine's monotonic clock.
"""

from __future__ import annotations

import os
import statistics
from collections.abc import Container, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from arrowseam.lab.scale_record import Phase
from arrowseam.net.clock import SECOND

RATE_SPAN_MAX = 60 * SECOND  # rates cover at most the first minute of a phase


@dataclass(frozen=True)
class ProcessSamples:
    """Processor time and memory of one process of simulated members."""

    members: int
    rows: list[tuple[int, int, int, int]]  # when, processor us, the part of it for reports, resident KiB


@dataclass
class Measurements:
    """All samples of a run."""

    # Member -> when, bytes out and in, messages out and in, processor us, longest event us, proxy count.
    costs: dict[str, list[tuple[float, ...]]] = field(default_factory=dict)
    # Process -> when, and the sum of its members' shares.
    shares: dict[int, list[tuple[int, float]]] = field(default_factory=dict)
    # Real proxy -> when, its membership metrics, and the processor seconds used so far.
    real_rows: dict[str, list[tuple[int, dict[str, int], float]]] = field(default_factory=dict)

    def share_sums(self) -> Iterator[tuple[int, float]]:
        """Yield the sum of the shares of all running members, at each change of a share.

        The share of a real proxy is only sampled: the smaller of two consecutive samples is used, so that the
        sum is never too large.
        """
        changes: list[tuple[int, int | str, float]] = [
            (t, number, s) for number, rows in self.shares.items() for t, s in rows
        ]
        for name, samples in self.real_rows.items():
            for n, (t, metrics, _) in enumerate(samples):
                next_metrics = samples[n + 1][1] if n + 1 < len(samples) else metrics
                count = max(metrics.get("told", 0), next_metrics.get("told", 0))
                changes.append((t, name, 1.0 / count if count else 0.0))
        shares: dict[Any, float] = {}
        total = 0.0
        for index, (t, who, share) in enumerate(sorted(changes, key=lambda c: c[0])):
            total += share - shares.get(who, 0.0)
            shares[who] = share
            if index % 1000 == 0:  # limits the rounding error
                total = sum(shares.values())
            yield t, total

    def proxy_counts(self) -> dict[str, float]:
        """Return the proxy count of each simulated member, from its last sample."""
        return {name: rows[-1][7] for name, rows in self.costs.items() if rows}

    def measure_phase(
        self, phase: Phase, began: int, running: Container[str], processes: list[ProcessSamples]
    ) -> None:
        """Set the costs and rates of a phase; ``began``: when the run began."""
        begin = began + int(phase.begin * SECOND)
        end = min(began + int(phase.until * SECOND), begin + RATE_SPAN_MAX)
        rates = self._member_rates(begin, end, running)
        if not rates:
            return
        columns = list(zip(*rates))
        median = [statistics.median(column) for column in columns]
        worst = [max(column) for column in columns]
        phase.cost = {
            "span_s": round((end - begin) / SECOND, 1),
            "bytes_median": median[0], "bytes_worst": worst[0], "bytes_peak_median": median[1],
            "bytes_peak": worst[1], "messages_median": median[2], "messages_worst": worst[2],
            "cpu_median": median[3], "cpu_worst": worst[3], "event_ms_median": median[4],
            "event_ms_worst": worst[4],
        }  # fmt: skip
        phase.cost |= _process_costs(begin, end, processes)
        phase.real |= self._real_rates(begin, end)

    def _member_rates(self, begin: int, end: int, running: Container[str]) -> list[list[float]]:
        """Return by running member: bytes/s, its largest bytes/s, messages/s, cores, longest event ms."""
        rates = []
        for name, rows in self.costs.items():
            within = [row for row in rows if begin < row[0] <= end + SECOND // 2]
            if name not in running or len(within) < 2:
                continue
            span = (within[-1][0] - begin) / SECOND
            gaps = [1.0, *(max(1.0, (b[0] - a[0]) / SECOND) for a, b in pairwise(within))]
            sums = [row[1] + row[2] for row in within]
            rates.append([
                sum(sums) / span, max(s / g for s, g in zip(sums, gaps)),
                sum(row[3] + row[4] for row in within) / span, sum(row[5] for row in within) / span / 1e6,
                max(row[6] for row in within) / 1000,
            ])  # fmt: skip
        return rates

    def _real_rates(self, begin: int, end: int) -> dict[str, dict[str, float]]:
        """Return by real proxy: datagram bytes/s, cores, and its proxy count at the end."""
        rates = {}
        for name, found in self.real_rows.items():
            within = [row for row in found if begin < row[0] <= end]
            if len(within) > 1:
                (a, first, cpu0), (b, last, cpu1) = within[0], within[-1]
                span = (b - a) / SECOND
                directions = ("bytes_in", "bytes_out")
                rates[name] = {
                    "datagram_bytes": sum(last.get(k, 0) - first.get(k, 0) for k in directions) / span,
                    "cpu": (cpu1 - cpu0) / span,
                    "told": float(last.get("told", 0)),
                }
        return rates

    def seconds(self, began: int, sums: list[tuple[int, float]]) -> list[list[float]]:
        """Return a row for each second.

        Its fields: second, reporting members, bytes of the median and of the worst member, longest event ms,
        largest sum of shares.
        """
        samples_by_second: dict[int, list[tuple[float, ...]]] = {}
        for rows in self.costs.values():
            for row in rows:
                samples_by_second.setdefault(int((row[0] - began) // SECOND), []).append(row)
        largest: dict[int, float] = {}
        for t, share in sums:
            at = (t - began) // SECOND
            largest[at] = max(largest.get(at, 0.0), share)
        found, last = [], 0.0
        for at in sorted(samples_by_second):
            bytes_ = [row[1] + row[2] for row in samples_by_second[at]]
            last = largest.get(at, last)
            found.append([at, len(bytes_), statistics.median(bytes_), max(bytes_),
                          max(row[6] for row in samples_by_second[at]) / 1000, round(last, 4)])  # fmt: skip
        return found


def _process_costs(begin: int, end: int, processes: list[ProcessSamples]) -> dict[str, float]:
    """Return the cores of a process divided by its members, without its reports: median and worst."""
    shares = []
    for process in processes:
        rows = [row for row in process.rows if begin < row[0] <= end + SECOND // 2]
        if len(rows) > 1:
            spent = (rows[-1][1] - rows[0][1]) - (rows[-1][2] - rows[0][2])
            shares.append(spent / (rows[-1][0] - rows[0][0]) / process.members)
    if not shares:
        return {}
    return {"host_cpu_a_member_median": statistics.median(shares), "host_cpu_a_member_worst": max(shares)}


def processor_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used; 0 if it has ended."""
    try:
        words = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return 0.0
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
