"""Plays schedules of faults and operators' commands on real processes that agree on drains and releases.

It owns the commands of such a schedule and what the proxies' logs must show. It must never look into a
process: it sorts the decisions that the proxies logged by entry, and counts by itself what is out.
"""

from __future__ import annotations

import json
import random
import re
from pathlib import Path
from typing import Any

from arrowseam.lab import fault_runner
from arrowseam.lab.fault_kinds import Targets
from arrowseam.lab.fault_record import Record
from arrowseam.lab.fault_runner import FaultRunner
from arrowseam.lab.schedules import Schedule, Step
from arrowseam.net.clock import SECOND

COMMANDS = ("drain", "drain", "undrain", "release", "release", "restarts", "halt", "resume", "back")
KINDS = dict.fromkeys(COMMANDS, Targets.ONE)
FAULTS = ("kill", "restart", "restart", "stall", "part", "part", "one way", "loss", "slow")
PROXIES_OUT_MAX, SERVERS_OUT_MAX = 2, 1
REPLICATION_TIMEOUT = 30.0  # seconds after the last fault within which all have the same replicated state
RELEASE_TIMEOUT = 60.0  # seconds after that within which each release is over or halted
BUDGETS = f"budgets(proxies = {PROXIES_OUT_MAX}, servers = {SERVERS_OUT_MAX}, least_ready = 0.3)\n"
INACTIVE_STATES = (
    "planned",
    "done",
    "back",
    "cancelled",
    "halted",
)  # of releases that do not go on by themselves


def draw(seed: int, members: int | None = None, within: float = 10.0) -> Schedule:
    rnd = random.Random(seed)
    count = rnd.randint(4, 7) if members is None else members
    names, steps = [f"n{n}" for n in range(count)], []
    for kinds, count_max in ((FAULTS, 4), (COMMANDS, 4)):
        for _ in range(rnd.randint(1, count_max)):
            what = rnd.choice(kinds)
            who = tuple(rnd.sample(names, rnd.randint(1, count - 1) if what in ("part", "one way") else 1))
            at, span = int(rnd.uniform(0, within) * SECOND), int(rnd.uniform(0.3, 4.0) * SECOND)
            number = 0.1 if what == "loss" else float(rnd.randrange(1000))
            steps.append(Step(at, what, who, span, number, f"s{rnd.randrange(3)}"))
    return Schedule(seed, count, sorted(steps, key=lambda s: s.at))


class RolloutFaultRunner(FaultRunner):
    """A cluster of which three members are voters that keep their state on disk."""

    def __init__(self, schedule: Schedule, folder: Path, first_port: int = 0, **fields: Any) -> None:
        super().__init__(schedule, folder, first_port, operator_text=BUDGETS, voters=3, disk=True, **fields)
        self.decisions: dict[int, tuple[str, float]] = {}  # entry -> decision, time it was first logged
        self.begun_permits: list[tuple[str, int]] = []  # proxy, permit
        self.log_listeners.append(self._on_log_record)

    def _on_log_record(self, now: float, name: str, doc: dict[str, Any]) -> None:
        event, text = doc.get("event", ""), str(doc.get("message", ""))
        if event == "rollouts.command_decided":
            found = re.fullmatch(r"agree: (\d+): (.*)", text)
            if found and self.decisions.setdefault(int(found[1]), (found[2], now))[0] != found[2]:
                self.report_violation(f"two decisions at entry {found[1]}, one of them {found[2]!r}")
        elif event == "rollouts.permit_begun" and (found := re.match(r"agree: permit (\d+)", text)):
            if int(found[1]):
                self.begun_permits.append((name, int(found[1])))

    def prepare(self) -> None:
        cluster = self.cluster
        cluster.until(lambda: cluster.replicated("n0").get("role") == "out", 15)
        cluster.control_call("n0", "agree reset")
        cluster.until(self._cluster_formed, 30)

    def _cluster_formed(self) -> bool:
        rows = [self.cluster.replicated(name) for name in self.cluster.processes]
        leaders = [row for row in rows if row.get("role") == "leader"]
        same = len({row.get("index") for row in rows}) == 1
        return same and len(leaders) == 1 and len(leaders[0]["voters"]) == 3

    def step(self, step: Step) -> None:
        if step.what not in COMMANDS:
            super().step(step)
            return
        proxy = step.who[0]
        if proxy not in self.cluster.processes or proxy in self.stalled:
            return
        self.record.faults.append((self.now, self.now, step.what, proxy))
        match step.what:
            case "drain" | "undrain":
                self.cluster.start_control_call(
                    proxy, f"{step.what} {step.server}{' off' if step.what == 'undrain' else ''}"
                )
            case "release":
                tech = {"aim": 300000, "deadline": 1_700_000 - int(step.number), "effect": "retryable"}
                other = {"aim": 300000, "deadline": 600000, "effect": "retryable"}
                lanes = [tech | {"name": "tech"}, other | {"name": "resident"}]
                body = json.dumps({"settings": {"lanes": lanes}}).encode()
                self._plan_release(step, f"release plan settings bytes={len(body)}", body)
            case "restarts":
                self._plan_release(step, "release plan restart", b"")
            case _:
                self.cluster.start_control_call(proxy, f"release {step.what}")

    def _plan_release(self, step: Step, words: str, body: bytes) -> None:
        proxy = step.who[0]
        self.cluster.start_control_call(proxy, f"{words} soak_s=0.3 patience_s=8 gated=0", body)
        for pause in (1, 2, 4):
            self.at(step.at + pause * SECOND, lambda: self._start_release(proxy))

    def _start_release(self, proxy: str) -> None:
        if proxy in self.cluster.processes and proxy not in self.stalled:
            self.cluster.start_control_call(proxy, "release start")

    def settle(self) -> None:
        self.cluster.adopt()
        super().settle()
        self.cluster.adopt()
        try:
            self.cluster.until(self._is_replicated, REPLICATION_TIMEOUT)
        except TimeoutError:
            self.report_violation(f"replicated states differ {REPLICATION_TIMEOUT:g} s after the last fault")
            return
        try:
            self.cluster.until(self._releases_ended, RELEASE_TIMEOUT)
        except TimeoutError:
            self.report_violation(f"a release is still running {RELEASE_TIMEOUT:g} s after the last fault")

    def _is_replicated(self) -> bool:
        self.cluster.adopt()
        rows = [self.cluster.replicated(name) for name in self.cluster.processes]
        alive = sum(name in self.cluster.processes for name in self.cluster.names[:3])
        if alive < 2:
            return True  # no quorum is left, nothing more is committed
        return len({row.get("index") for row in rows}) == 1 and any(r.get("role") == "leader" for r in rows)

    def _releases_ended(self) -> bool:
        self.cluster.adopt()
        alive = sum(name in self.cluster.processes for name in self.cluster.names[:3])
        name = next(iter(self.cluster.processes))
        states = [row["state"] for row in self.cluster.replicated(name)["releases"].values()]
        return alive < 2 or all(state in INACTIVE_STATES for state in states)

    def judge(self) -> None:
        super().judge()
        out: dict[str, set[str]] = {"server": set(), "proxy": set()}
        limits = {"server": SERVERS_OUT_MAX, "proxy": PROXIES_OUT_MAX}
        grants: dict[int, str] = {}
        for index, (text, when) in sorted(self.decisions.items()):
            if found := re.match(r"grant: (server|proxy) (\S+) may go out", text):
                out[found[1]].add(found[2])
                grants[index] = found[2]
                if len(out[found[1]]) > limits[found[1]]:
                    self.report_violation(f"{len(out[found[1]])} {found[1]} out by plan at entry {index}")
            elif found := re.match(r"undrain: (\S+) is ", text):
                out["server"].discard(found[1])
            elif found := re.match(r"return: ([^:]+): ", text):
                out["proxy"].discard(found[1])
            else:
                continue
            for kind, names in out.items():
                self.record.outs.append((when, kind, len(names), limits[kind]))
        for name, permit in self.begun_permits:
            if grants.get(permit) != name:
                self.report_violation(f"{name} begins permit {permit}, which was not granted to it")
        if len(set(self.begun_permits)) < len(self.begun_permits):
            self.report_violation("a permit was used twice")


def play(schedule: Schedule, folder: Path, first_port: int = 0, **fields: Any) -> Record:
    """Play one schedule; returns its record."""
    return fault_runner.play(schedule, folder, first_port, RolloutFaultRunner, **fields)
