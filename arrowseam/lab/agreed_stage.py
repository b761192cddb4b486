"""Schedules of faults and orders on real processes that agree on drains and releases, judged by their logs.

It owns the orders of such a schedule and what the logs must say. It must never look into a process. The
referee puts the decisions that the proxies logged in the order of their entries and reckons by itself.
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

ORDERS = ("drain", "drain", "undrain", "release", "release", "restarts", "halt", "resume", "back")
KINDS = dict.fromkeys(ORDERS, Targets.ONE)
FAULTS = ("kill", "restart", "restart", "stall", "part", "part", "one way", "loss", "slow")
PROXIES, SERVERS = 2, 1  # the budgets
FOLLOW = 30.0  # seconds after the last fault by which all have the same replicated state
END = 60.0  # and by which a release that goes on is over or halted
BUDGETS = f"budgets(proxies = {PROXIES}, servers = {SERVERS}, least_ready = 0.3)\n"
OVER = ("planned", "done", "back", "cancelled", "halted")


def draw(seed: int, members: int | None = None, within: float = 10.0) -> Schedule:
    rnd = random.Random(seed)
    count = rnd.randint(4, 7) if members is None else members
    names, found = [f"n{n}" for n in range(count)], []
    for kinds, most in ((FAULTS, 4), (ORDERS, 4)):
        for _ in range(rnd.randint(1, most)):
            what = rnd.choice(kinds)
            who = tuple(rnd.sample(names, rnd.randint(1, count - 1) if what in ("part", "one way") else 1))
            at, span = int(rnd.uniform(0, within) * SECOND), int(rnd.uniform(0.3, 4.0) * SECOND)
            number = 0.1 if what == "loss" else float(rnd.randrange(1000))
            found.append(Step(at, what, who, span, number, f"s{rnd.randrange(3)}"))
    return Schedule(seed, count, sorted(found, key=lambda s: s.at))


class AgreedStage(FaultRunner):
    """Three voters with lasting folders."""

    def __init__(self, schedule: Schedule, folder: Path, first_port: int = 0, **fields: Any) -> None:
        super().__init__(schedule, folder, first_port, more=BUDGETS, voters=3, disk=True, **fields)
        self.decided: dict[int, tuple[str, float]] = {}  # entry -> what, and when it was first heard
        self.begun: list[tuple[str, int]] = []
        self.log_listeners.append(self._hear)

    def _hear(self, now: float, name: str, doc: dict[str, Any]) -> None:
        event, text = doc.get("event", ""), str(doc.get("message", ""))
        if event == "rollouts.command_decided":
            found = re.fullmatch(r"agree: (\d+): (.*)", text)
            if found and self.decided.setdefault(int(found[1]), (found[2], now))[0] != found[2]:
                self.report_violation(f"two decisions at entry {found[1]}: one is {found[2]!r}")
        elif event == "rollouts.permit_begun" and (found := re.match(r"agree: permit (\d+)", text)):
            if int(found[1]):
                self.begun.append((name, int(found[1])))

    def prepare(self) -> None:
        cluster = self.cluster
        cluster.until(lambda: cluster.replicated("n0").get("role") == "out", 15)
        cluster.control_call("n0", "agree reset")
        cluster.until(self._checkpoint, 30)

    def _checkpoint(self) -> bool:
        rows = [self.cluster.replicated(name) for name in self.cluster.processes]
        leads = [row for row in rows if row.get("role") == "leader"]
        same = len({row.get("index") for row in rows}) == 1
        return same and len(leads) == 1 and len(leads[0]["voters"]) == 3

    def step(self, step: Step) -> None:
        if step.what not in ORDERS:
            super().step(step)
            return
        one = step.who[0]
        if one not in self.cluster.processes or one in self.stalled:
            return
        self.record.faults.append((self.now, self.now, step.what, one))
        match step.what:
            case "drain" | "undrain":
                self.cluster.start_control_call(
                    one, f"{step.what} {step.server}{' off' if step.what == 'undrain' else ''}"
                )
            case "release":
                tech = {"aim": 300000, "deadline": 1_700_000 - int(step.number), "effect": "retryable"}
                other = {"aim": 300000, "deadline": 600000, "effect": "retryable"}
                lanes = [tech | {"name": "tech"}, other | {"name": "resident"}]
                body = json.dumps({"settings": {"lanes": lanes}}).encode()
                self._begin(step, f"release plan settings bytes={len(body)}", body)
            case "restarts":
                self._begin(step, "release plan restart", b"")
            case _:
                self.cluster.start_control_call(one, f"release {step.what}")

    def _begin(self, step: Step, words: str, body: bytes) -> None:
        one = step.who[0]
        self.cluster.start_control_call(one, f"{words} soak_s=0.3 patience_s=8 gated=0", body)
        for pause in (1, 2, 4):
            self.at(step.at + pause * SECOND, lambda: self._start_release(one))

    def _start_release(self, one: str) -> None:
        if one in self.cluster.processes and one not in self.stalled:
            self.cluster.start_control_call(one, "release start")

    def settle(self) -> None:
        self.cluster.adopt()
        super().settle()
        self.cluster.adopt()
        try:
            self.cluster.until(self._same, FOLLOW)
        except TimeoutError:
            self.report_violation(f"books differ {FOLLOW:g} s after the last fault")
            return
        try:
            self.cluster.until(self._over, END)
        except TimeoutError:
            self.report_violation(f"a release goes on {END:g} s after the last fault")

    def _same(self) -> bool:
        self.cluster.adopt()
        rows = [self.cluster.replicated(name) for name in self.cluster.processes]
        alive = sum(name in self.cluster.processes for name in self.cluster.names[:3])
        if alive < 2:
            return True  # no quorum is left: nothing more is agreed
        return len({row.get("index") for row in rows}) == 1 and any(r.get("role") == "leader" for r in rows)

    def _over(self) -> bool:
        self.cluster.adopt()
        alive = sum(name in self.cluster.processes for name in self.cluster.names[:3])
        name = next(iter(self.cluster.processes))
        states = [row["state"] for row in self.cluster.replicated(name)["releases"].values()]
        return alive < 2 or all(state in OVER for state in states)

    def judge(self) -> None:
        super().judge()
        out: dict[str, set[str]] = {"server": set(), "proxy": set()}
        most = {"server": SERVERS, "proxy": PROXIES}
        grants: dict[int, str] = {}
        for index, (text, when) in sorted(self.decided.items()):
            if found := re.match(r"grant: (server|proxy) (\S+) may go out", text):
                out[found[1]].add(found[2])
                grants[index] = found[2]
                if len(out[found[1]]) > most[found[1]]:
                    self.report_violation(f"{len(out[found[1]])} {found[1]} out by plan at entry {index}")
            elif found := re.match(r"undrain: (\S+) is ", text):
                out["server"].discard(found[1])
            elif found := re.match(r"return: ([^:]+): ", text):
                out["proxy"].discard(found[1])
            else:
                continue
            for what, names in out.items():
                self.record.outs.append((when, what, len(names), most[what]))
        for name, permit in self.begun:
            if grants.get(permit) != name:
                self.report_violation(f"{name} begins permit {permit}, which is not its own")
        if len(set(self.begun)) < len(self.begun):
            self.report_violation("a permit is used twice")


def play(schedule: Schedule, folder: Path, first_port: int = 0, **fields: Any) -> Record:
    """Play one schedule."""
    return fault_runner.play(schedule, folder, first_port, AgreedStage, **fields)
