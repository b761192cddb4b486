"""Decides what a leader proposes next, from the replicated state and its observations.

The order of decisions: permits that have ended, endpoints that are drained, halts, then who may go out next.
A proposal changes nothing until it is committed. Neither silence nor elapsed time ends a permit: they only
make the controller wait or halt a release.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from arrowseam.rollouts.budgets import ResourceKind, budget_violation
from arrowseam.rollouts.commands import (
    AdvanceRelease,
    Command,
    GrantPermit,
    HaltRelease,
    MarkDrained,
    PermitOutcome,
    ReleaseKind,
    ReturnPermit,
)
from arrowseam.rollouts.gates import CounterHistory, Gate
from arrowseam.rollouts.messages import ProxyStatus
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.replicated_state import ReplicatedState
from arrowseam.rollouts.state import MemberState, Permit, Release
from arrowseam.rollouts.status_board import STATUS_MAX_AGE

SECOND = 1_000_000  # microseconds
VIEWS_DIFFER_MAX = 10 * SECOND  # a release is halted when membership views differ for longer
REASON_MAX = 200  # characters of a proxy's failure reason that go into the replicated log

Reports = Mapping[str, tuple[int, ProxyStatus]]  # proxy -> arrival time of its last status, and that status


@dataclass(frozen=True)
class Inputs:
    """The inputs of one decision; times are in microseconds of a monotonic clock."""

    now: int
    replicated: ReplicatedState
    cluster: ClusterState
    reports: Reports
    history: CounterHistory = field(default_factory=CounterHistory)
    voters: Mapping[str, bool] = field(default_factory=dict)  # by name: whether it responds
    first_grants: Mapping[int, int] = field(default_factory=dict)  # release -> second of its first grant

    def fresh_status(self, proxy: str) -> ProxyStatus | None:
        """The last status of a proxy; None if there is none or it is too old."""
        at, status = self.reports.get(proxy, (0, None))
        return status if status is not None and self.now - at <= STATUS_MAX_AGE else None


class Soak(NamedTuple):
    """Since when all members of a wave have been changed."""

    release_id: int
    waves_done: int
    since: int


class Stall(NamedTuple):
    """Since when no member of a release has been able to go out, and why."""

    release_id: int
    since: int
    reason: str


NO_SOAK, NO_STALL = Soak(0, 0, 0), Stall(0, 0, "")


class Controller:
    """Makes the decisions of one leader. Its state ends with the leadership, so the waits of the next leader
    start anew."""

    def __init__(self, started_at: int, rnd: random.Random) -> None:
        """``started_at``: when it became leader; ``rnd`` breaks ties in the gates."""
        self.reason = ""  # why nothing is proposed
        self._started_at, self._rnd = started_at, rnd
        self._permits_seen: dict[int, int] = {}  # permit -> when it was first seen here
        self._last_grants: dict[ResourceKind, int] = {}  # when the last one was committed here
        self._soak, self._stall = NO_SOAK, NO_STALL
        self._views_differ_since: int | None = None
        self._gate: Gate | None = None
        self._gate_key: tuple[int, int, frozenset[str]] = (0, 0, frozenset())  # release, waves, changed

    def decide(self, inputs: Inputs) -> Command | None:
        """The next command to propose; if there is none, ``reason`` says what the controller waits for."""
        self.reason = ""
        for permit in inputs.replicated.state.permits.values():
            self._permits_seen.setdefault(permit.id, inputs.now)
            command = self._return_permit(permit, inputs) or self._mark_drained(permit, inputs)
            if command is not None:
                return command
        release = inputs.replicated.current_release
        if release is not None:
            command = self._drive_release(release, inputs)
            if command is not None:
                return command
        return self._grant_drain(inputs)

    def on_committed(self, now: int, command: Command) -> None:
        """Note that a command was committed and carried out."""
        if isinstance(command, GrantPermit):
            self._last_grants[command.kind] = now

    # --- permits that end ---------------------------------------------------------------------------------

    def _return_permit(self, permit: Permit, inputs: Inputs) -> Command | None:
        """End a proxy's permit if the process that holds it, or a later one, reports an outcome."""
        report = inputs.reports.get(permit.resource.name)
        if permit.kind != ResourceKind.PROXY or report is None:
            return None
        status = report[1]
        if status.started_at < permit.started_at:
            return None
        outcome, reason = PermitOutcome.BACK, ""
        if permit.id in status.failed:
            outcome, reason = PermitOutcome.FAILED, status.failed[permit.id][:REASON_MAX]
        elif permit.id in status.unused:
            outcome = PermitOutcome.UNUSED
        elif permit.id not in status.completed or not status.serving:
            return None
        return ReturnPermit(permit_id=permit.id, outcome=outcome, started_at=status.started_at, reason=reason)

    def _mark_drained(self, permit: Permit, inputs: Inputs) -> Command | None:
        """An endpoint is drained once every proxy that could hold a connection to it has reported none since
        learning that the endpoint is out. A report that omits the endpoint does not count."""
        cluster = inputs.cluster
        if permit.kind != ResourceKind.ENDPOINT or permit.drained:
            return None
        if len(cluster.proxies) < cluster.configured_proxies:
            return None
        for name, proxy in cluster.proxies.items():
            if proxy.has_ended:
                continue
            status = inputs.fresh_status(name)
            if status is None or status.applied_index < permit.id or status.started_at != proxy.started_at:
                return None
            if status.connections.get(permit.resource.name, 1):
                return None
        return MarkDrained(permit_id=permit.id)

    # --- drains -------------------------------------------------------------------------------------------

    def _is_pausing(self, kind: ResourceKind, inputs: Inputs) -> bool:
        """Whether the pause after the last grant is still in effect. A new leader waits for a full pause,
        since it does not know when the last grant was."""
        state = inputs.replicated.state
        pause = max((b.pause_s for b in state.budgets.values()), default=0.0)
        since = self._last_grants.get(kind, self._started_at if kind in state.granted_ms else None)
        return since is not None and inputs.now - since < pause * SECOND

    def _grant_drain(self, inputs: Inputs) -> Command | None:
        replicated, cluster = inputs.replicated, inputs.cluster
        kind = ResourceKind.ENDPOINT
        if not replicated.state.drain_requests or self._is_pausing(kind, inputs):
            return None
        totals, missing = cluster.endpoint_totals(), cluster.missing_endpoints()
        out = {resource.name: resource for resource in missing} | replicated.out_by_plan(kind)
        for name, request in replicated.state.drain_requests.items():
            observed = cluster.endpoints.get(name)
            resource = observed.resource if observed is not None else request.endpoint
            violation = budget_violation(replicated.state.budgets, kind, resource, out, totals)
            if not violation:
                return GrantPermit(kind=kind, resource=resource, started_at=0, missing=missing, totals=totals)
            self.reason = self.reason or f"{name}: {violation}"
        return None

    # --- releases -----------------------------------------------------------------------------------------

    def _drive_release(self, release: Release, inputs: Inputs) -> Command | None:
        if not release.is_active:
            return None
        reason = self._halt_reason(release, inputs)
        if reason:
            return HaltRelease(release_id=release.id, reason=reason)
        members = release.members
        if release.rolling_back:
            names = [name for wave in reversed(release.plan.waves) for name in reversed(wave)]
            waiting = [n for n in names if members[n].state in (MemberState.NEW, MemberState.FAILED)]
            return self._grant_member(release, waiting, inputs)
        wave = release.plan.waves[release.waves_done]
        waiting = [name for name in wave if members[name].state == MemberState.OLD]
        if waiting:
            return self._grant_member(release, waiting, inputs)
        if all(members[name].state == MemberState.NEW for name in wave):
            return self._advance(release, inputs.now)
        return None

    def _advance(self, release: Release, now: int) -> Command | None:
        """Start the next wave once this one has been observed for the soak time."""
        if self._soak[:2] != (release.id, release.waves_done):
            self._soak = Soak(release.id, release.waves_done, now)
        if now - self._soak.since < release.plan.soak_s * SECOND:
            self.reason = f"wave {release.waves_done + 1} is being observed"
            return None
        return AdvanceRelease(release_id=release.id, waves_done=release.waves_done + 1)

    # --- halts --------------------------------------------------------------------------------------------

    def _halt_reason(self, release: Release, inputs: Inputs) -> str:
        """Why the release must halt; empty if it may go on."""
        if inputs.cluster.is_halted(release):
            return f"halt announced by {inputs.cluster.halts[release.id][1]}"
        return (
            self._failed_member(release)
            or self._overdue_member(release, inputs)
            or self._views_differ(inputs)
            or self._stalled(release, inputs.now)
            or self._gate_alarm(release, inputs)
        )

    def _failed_member(self, release: Release) -> str:
        for name, member in release.members.items():
            if member.state == MemberState.FAILED and not release.rolling_back:
                return f"{name} failed to apply the release"
            if member.state == MemberState.FAILED and member.attempts > 1:
                return f"{name} failed to roll back"
        return ""

    def _overdue_member(self, release: Release, inputs: Inputs) -> str:
        timeout_s = release.plan.timeout_s
        for permit in inputs.replicated.state.permits.values():
            elapsed = inputs.now - self._permits_seen.get(permit.id, inputs.now)
            if permit.release_id == release.id and elapsed > timeout_s * SECOND:
                return f"{permit.resource.name} has not come back within {timeout_s:g} s"
        return ""

    def _views_differ(self, inputs: Inputs) -> str:
        """A long disagreement of membership views may hide proxies that are out."""
        if inputs.cluster.views_agree:
            self._views_differ_since = None
        elif self._views_differ_since is None:
            self._views_differ_since = inputs.now
        elif inputs.now - self._views_differ_since > VIEWS_DIFFER_MAX:
            return "the proxies' membership views differ"
        return ""

    def _stalled(self, release: Release, now: int) -> str:
        timeout_s, stall = release.plan.timeout_s, self._stall
        if stall.release_id == release.id and now - stall.since > timeout_s * SECOND:
            return f"no proxy could go out for {timeout_s:g} s: {stall.reason}"
        return ""

    def _gate_alarm(self, release: Release, inputs: Inputs) -> str:
        """Each wave is one comparison; the false halt rate is divided among the waves."""
        if not release.plan.gated or release.rolling_back:
            return ""
        second = inputs.now // SECOND
        changed, unchanged = self._comparison_groups(release)
        if not changed:
            return ""
        key = release.id, release.waves_done, frozenset(changed)
        if key != self._gate_key:
            former = self._gate if self._gate_key[:2] == key[:2] else None
            change_second = inputs.first_grants.get(release.id, second)
            self._gate = Gate(inputs.history, changed, unchanged, change_second, second)
            if former is not None:
                self._gate.inherit_wealth(former)
            self._gate_key = key
        assert self._gate is not None
        self._gate.update(second, self._rnd)
        if self._gate.wealth * release.plan.false_halt_rate >= len(release.plan.waves):
            return f"changed proxies perform worse: {self._gate.worst_metric}"
        return ""

    @staticmethod
    def _comparison_groups(release: Release) -> tuple[set[str], set[str]]:
        """The changed members and those to compare them with. In the last wave, once none is left unchanged,
        its members are compared with those of the earlier waves, which have passed their gates."""
        changed = {n for n, m in release.members.items() if m.state == MemberState.NEW}
        unchanged = {n for n, m in release.members.items() if m.state == MemberState.OLD}
        if changed and not unchanged and release.waves_done:
            wave = set(release.plan.waves[release.waves_done])
            return wave & changed, changed - wave
        return changed, unchanged

    # --- who goes out next --------------------------------------------------------------------------------

    def _grant_member(self, release: Release, waiting: list[str], inputs: Inputs) -> Command | None:
        """Grant a permit to the first of these that may go out."""
        replicated, cluster = inputs.replicated, inputs.cluster
        kind, reasons = ResourceKind.PROXY, list[str]()
        totals, missing = cluster.proxy_totals(), cluster.missing_proxies()
        out = {resource.name: resource for resource in missing} | replicated.out_by_plan(kind)
        for name in waiting:
            reason = (
                self._not_ready_reason(name, release, inputs)
                or self._quorum_risk_reason(name, release, inputs)
                or budget_violation(
                    replicated.state.budgets, kind, cluster.proxies[name].resource, out, totals
                )
            )
            if reason:
                reasons.append(reason)
                continue
            self._stall = NO_STALL
            if self._is_pausing(kind, inputs):
                self.reason = "the pause between two grants"
                return None
            return GrantPermit(
                kind=kind, resource=cluster.proxies[name].resource,
                started_at=inputs.reports[name][1].started_at, missing=missing, totals=totals,
                release_id=release.id, digest=release.digest_for(name),
            )  # fmt: skip
        self.reason = reasons[0] if reasons else ""
        self._update_stall(release, bool(waiting), inputs)
        return None

    def _update_stall(self, release: Release, is_waiting: bool, inputs: Inputs) -> None:
        """No member may go out now: the release is stalled unless one is still out."""
        permits = inputs.replicated.state.permits.values()
        if is_waiting and not any(permit.release_id == release.id for permit in permits):
            since = self._stall.since if self._stall.release_id == release.id else inputs.now
            self._stall = Stall(release.id, since, self.reason)
        else:
            self._stall = NO_STALL

    @staticmethod
    def _not_ready_reason(name: str, release: Release, inputs: Inputs) -> str:
        """Why a proxy's own state does not let it go out now; empty if it does."""
        proxy, status = inputs.cluster.proxies.get(name), inputs.fresh_status(name)
        if proxy is None or not proxy.available or status is None:
            return f"{name} is missing"
        if not status.serving:
            return f"{name} is not serving"
        digest = release.digest_for(name)
        if not digest or digest not in inputs.replicated.state.bundles:
            return ""
        check = status.bundle_checks.get(digest)
        if check is None:
            return f"{name} has not checked the bundle"
        return f"{name}: {check}" if check else ""

    @staticmethod
    def _quorum_risk_reason(name: str, release: Release, inputs: Inputs) -> str:
        """Why a voter may not go out. Voters go out one at a time, and only while all others respond. A
        restart must not cost the last quorum, as a voter without stored state starts as a different voter."""
        voters = inputs.voters
        if name not in voters:
            return ""
        if not all(voters.values()):
            silent = sorted(voter for voter, responds in voters.items() if not responds)
            return f"{name} is a voter, and these do not respond: {', '.join(silent)}"
        out = sorted(voters.keys() & inputs.replicated.out_by_plan(ResourceKind.PROXY).keys())
        if out:
            return f"{name} is a voter, and voter {out[0]} is out already"
        is_restart = release.plan.kind == ReleaseKind.RESTART
        if is_restart and not inputs.reports[name][1].durable and 2 * (len(voters) - 1) <= len(voters):
            return f"{name} is a voter without stored state: the remaining voters would not be a majority"
        return ""
