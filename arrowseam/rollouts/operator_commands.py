"""The rollout commands that operators send through control, one line and one method for each command.

Each returns whether it succeeded, and a text for the operator.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeAlias

from arrowseam.net.task import Coroutine
from arrowseam.rollouts.agent import Agent
from arrowseam.rollouts.budgets import ResourceKind
from arrowseam.rollouts.commands import (
    BUNDLE_MAX,
    CancelRelease,
    Command,
    Drain,
    PermitOutcome,
    PlanRelease,
    ReleaseKind,
    ResumeRelease,
    ReturnPermit,
    RollBackRelease,
    StartRelease,
    Undrain,
)
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.release_plan import plan_waves

Answer: TypeAlias = tuple[bool, str]

NOT_STARTED = "rollouts have not started on this proxy"
RELEASE_STEPS: dict[str, type[StartRelease | RollBackRelease | CancelRelease]] = {
    "start": StartRelease,
    "back": RollBackRelease,
    "cancel": CancelRelease,
}
NUMERIC_PLAN_OPTIONS = {"soak_s": "soak_s", "patience_s": "timeout_s", "alpha": "false_halt_rate"}


class Runtime(Protocol):
    """The part of the rollout runtime that the commands use."""

    name: str
    agent: Agent | None

    def submit(self, command: Command) -> Coroutine[Answer]:
        """Submit a command to the log and wait for its result."""

    def announce_halt(self, release_id: int) -> str:
        """Halt a release at once; returns why it cannot be announced, or empty."""

    def begin_epoch(self) -> str:
        """Start a new epoch; returns why it cannot, or empty."""

    def observe(self) -> ClusterState:
        """What this proxy observes of the cluster now."""

    def check_bundle(self, bundle: bytes) -> str:
        """Why a bundle cannot be applied, or empty."""


@dataclass
class PlanOptions:
    """The options of a ``release plan`` line."""

    fields: dict[str, Any] = field(default_factory=dict)  # fields of PlanRelease
    by_zone: bool = False
    names: list[str] | None = None  # None: all proxies

    @classmethod
    def parse(cls, options: list[str]) -> PlanOptions:
        """Parse the options; invalid numbers and unknown options are ignored."""
        parsed = cls()
        for option in options:
            key, _, value = option.partition("=")
            if key in NUMERIC_PLAN_OPTIONS:
                with contextlib.suppress(ValueError):
                    parsed.fields[NUMERIC_PLAN_OPTIONS[key]] = float(value)
            elif key == "gated":
                parsed.fields["gated"] = value != "0"
            elif key == "by_zone":
                parsed.by_zone = value != "0"
            elif key == "names":
                parsed.names = value.split(",")
        return parsed


class OperatorCommands:
    """Carries out the control commands ``drain``, ``undrain``, ``release`` and ``agree``."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    def run(self, words: list[str], body: bytes) -> Coroutine[Answer]:
        """Run one line; the body is a bundle of settings."""
        match words:
            case ["drain", *endpoints] if endpoints:
                return (yield from self._drain(endpoints))
            case ["undrain", endpoint]:
                return (yield from self._undrain(endpoint))
            case ["undrain", endpoint, "off"]:
                command = Undrain(endpoint=endpoint, written_off=True, by=self._by)
                return (yield from self._runtime.submit(command))
            case ["release", "plan", kind, *options]:
                return (yield from self._plan(kind, PlanOptions.parse(options), body))
            case ["release", "halt", *rest]:
                return self._halt(rest)
            case ["release", "start" | "resume" | "back" | "cancel" as step, *rest]:
                return (yield from self._step(step, rest))
            case ["agree", "off", name]:
                return (yield from self._write_off(name))
            case ["agree", "reset"]:
                return self._begin_epoch()
        return False, "unknown call"

    @property
    def _by(self) -> str:
        return f"control of {self._runtime.name}"

    def _drain(self, endpoints: list[str]) -> Coroutine[Answer]:
        observed = self._runtime.observe().endpoints
        texts = []
        for endpoint in endpoints:
            if endpoint not in observed:
                return False, f"unknown server {endpoint}"
            command = Drain(endpoint=observed[endpoint].resource, by=self._by)
            succeeded, text = yield from self._runtime.submit(command)
            texts.append(text)
            if not succeeded:
                return False, "; ".join(texts)
        return True, "; ".join(texts)

    def _undrain(self, endpoint: str) -> Coroutine[Answer]:
        reason = self._runtime.observe().not_ready_reason(endpoint)
        if reason:
            return False, f"{reason}; to stop waiting for it: undrain {endpoint} off"
        return (yield from self._runtime.submit(Undrain(endpoint=endpoint, by=self._by)))

    def _plan(self, kind: str, options: PlanOptions, body: bytes) -> Coroutine[Answer]:
        if len(body) > BUNDLE_MAX:
            return False, f"the bundle is larger than {BUNDLE_MAX} bytes"
        is_settings = kind == ReleaseKind.SETTINGS
        reason = self._runtime.check_bundle(body) if is_settings else ""
        if reason:
            return False, reason
        proxies = self._runtime.observe().proxies
        names = sorted(options.names or [n for n, proxy in proxies.items() if not proxy.has_ended])
        zones = {name: proxies[name].resource.zone for name in names if name in proxies}
        waves = plan_waves(names, zones if options.by_zone else None)
        bundle = body if is_settings else b""
        command = PlanRelease(kind=kind, bundle=bundle, waves=waves, by=self._by, **options.fields)
        return (yield from self._runtime.submit(command))

    def _step(self, step: str, rest: list[str]) -> Coroutine[Answer]:
        release_id, agent = self._release_id(rest), self._runtime.agent
        if release_id is None or agent is None:
            return False, "no such release"
        if step == "resume":
            stamp, halted_by = agent.holder.cluster.halts.get(release_id, (0, ""))
            command: Command = ResumeRelease(
                release_id=release_id, halt_stamp=stamp, halted_by=halted_by, by=self._by
            )
        else:
            command = RELEASE_STEPS[step](release_id=release_id, by=self._by)
        return (yield from self._runtime.submit(command))

    def _halt(self, rest: list[str]) -> Answer:
        release_id = self._release_id(rest)
        if release_id is None:
            return False, "no such release"
        reason = self._runtime.announce_halt(release_id)
        return not reason, reason or f"release {release_id} is halted on this proxy; the halt is spreading"

    def _write_off(self, name: str) -> Coroutine[Answer]:
        """End the permit of a proxy that will not come back."""
        agent = self._runtime.agent
        permit = agent.replicated.permit_of(ResourceKind.PROXY, name) if agent is not None else None
        if permit is None:
            return False, f"{name} is not out"
        command = ReturnPermit(permit_id=permit.id, outcome=PermitOutcome.WRITTEN_OFF, by=self._by)
        return (yield from self._runtime.submit(command))

    def _begin_epoch(self) -> Answer:
        agent = self._runtime.agent
        if agent is None:
            return False, NOT_STARTED
        reason = self._runtime.begin_epoch()
        return not reason, reason or f"new epoch started here from entry {agent.replicated.index}"

    def _release_id(self, rest: list[str]) -> int | None:
        """The release that is named, or else the unfinished one."""
        if rest and rest[0].isdigit():
            return int(rest[0])
        agent = self._runtime.agent
        release = agent.replicated.current_release if agent is not None else None
        return release.id if release is not None and not rest else None
