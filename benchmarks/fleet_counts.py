"""Aggregates the logs of all proxies of a fleet.

    python benchmarks/fleet_counts.py FOLDER

The folder has one ``*.log`` for each proxy that ran with ``serve --trace``; each line begins with the time in
seconds on a shared clock. A rate that is harmless for one proxy may be too much from forty. Printed are:

- per second: lists received from discovery and failed calls to it, attempts at servers by outcome,
  rejections, migrations, migrations off servers that do not answer, ended connections by outcome,
  established connections, and distinct pairs of a server and a group;
- per version of the list: when the first and the last proxy received it;
- per server: attempts by outcome, and the most that all proxies together made within 2 s.

Only logs are read, not what the servers observed.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

# Each pattern matches the wording of this version and of earlier ones.
ATTEMPT = re.compile(r"(?:attempt|call): (\S+) at (\S+): (\S+) after (\d+) ms(?:, group (\w+))?$")
ENDED = re.compile(r"(?:ended|end): (\S+) at (\S+): (\w+)")
MIGRATED = re.compile(r"(?:migrated|move): (\S+) off (\S+)$")
UNANSWERED = re.compile(r"(?:mute|migrated): ([^\s,]+)(?: moved off|, its endpoint answers nothing)")
REJECTED = re.compile(r"(?:rejection|rejected): ([^\s,]+),? (?:for|retry after) (\d+) ms$")
LIST_RECEIVED = re.compile(r"(?:discovery|directory): version (\d+) after (\d+) ms:")
ESTABLISHED = ("established", "up")  # in logs of this version, and of earlier ones
WINDOW = 2.0  # seconds; the rules for cold servers count attempts over this span


@dataclass
class Counts:
    """Totals over all proxies; times in seconds."""

    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    lists_received: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    servers: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    attempt_times: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def max_attempts(self, server: str) -> int:
        """The most attempts at a server that began within one window."""
        times, first, max_attempts = sorted(self.attempt_times[server]), 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= WINDOW:
                first += 1
            max_attempts = max(max_attempts, last - first + 1)
        return max_attempts


def read_lines(folder: Path) -> list[tuple[float, str, str]]:
    """Returns (time, proxy, text) of every line that begins with a time, in order."""
    entries = []
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            at, _, text = line.partition(" ")
            try:
                entries.append((float(at), path.stem, text))
            except ValueError:
                continue  # a line of another origin, or one truncated by a kill
    return sorted(entries)


def count(folder: Path) -> Counts:
    counts = Counts()
    established: dict[tuple[str, str], tuple[str, str]] = {}  # (proxy, name) -> (server, group)
    second = None
    for at, proxy, text in read_lines(folder):
        if second is not None:
            for past in range(second, int(at)):
                set_gauges(counts.seconds[past], established)
        second = int(at)
        row = counts.seconds[second]
        if match := ATTEMPT.match(text):
            name, server, outcome, ms, group = match.groups()
            row[f"call {outcome}"] += 1
            counts.servers[server][outcome] += 1
            counts.attempt_times[server].append(at - int(ms) / 1000)
            if outcome in ESTABLISHED:
                established[proxy, name] = server, group or ""
        elif match := ENDED.match(text):
            established.pop((proxy, match[1]), None)
            row[f"end {match[3]}"] += 1
        elif match := MIGRATED.match(text):
            established.pop((proxy, match[1]), None)
            row["moves"] += 1
            counts.servers[match[2]]["moved off"] += 1
        elif match := UNANSWERED.match(text):
            established.pop((proxy, match[1]), None)
            row["mute"] += 1
        elif REJECTED.match(text):
            row["refused"] += 1
        elif match := LIST_RECEIVED.match(text):
            row["told"] += 1
            counts.lists_received[int(match[1])].append(at)
        elif text.startswith(("discovery: call failed", "directory: call failed")):
            row["list failed"] += 1
        elif " listens on " in text:  # the proxy restarted and has no connections
            for key in [key for key in established if key[0] == proxy]:
                del established[key]
    if second is not None:
        set_gauges(counts.seconds[second], established)
    return counts


def set_gauges(row: Counter[str], established: dict[tuple[str, str], tuple[str, str]]) -> None:
    row["standing"] = len(established)
    row["pairs"] = len({(server, group) for server, group in established.values() if group})


def report(counts: Counts) -> str:
    columns = sorted({name for row in counts.seconds.values() for name in row})
    out = ["second  " + "  ".join(columns)]
    for second, row in sorted(counts.seconds.items()):
        out.append(f"{second:6}  " + "  ".join(f"{row[name]:>{len(name)}}" for name in columns))
    out.append("\nversion  told  first   last")
    for version, times in sorted(counts.lists_received.items()):
        out.append(f"{version:7}  {len(times):4}  {min(times):5.2f}  {max(times):5.2f}")
    out.append(f"\nserver, attempts by outcome, most within {WINDOW:.0f} s")
    for server, outcomes in sorted(counts.servers.items()):
        outcome_counts = ", ".join(f"{name} {n}" for name, n in sorted(outcomes.items()))
        out.append(f"{server}: {outcome_counts}; {counts.max_attempts(server)}")
    return "\n".join(out)


if __name__ == "__main__":
    if len(sys.argv) != 2 or not Path(sys.argv[1]).is_dir():
        sys.exit("usage: fleet_counts.py FOLDER, which contains the logs of the proxies")
    print(report(count(Path(sys.argv[1]))))
