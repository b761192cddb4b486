"""The replicated state machine: applies committed commands to ``State``, with one method for each command.

The result depends only on the log entries, so all proxies that have applied the same entries hold the same
state. Timestamps in commands are informational and decide nothing. Decision texts are part of the state: two
versions that worded them differently would hold different states, so they must not change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from arrowseam.errors import ArrowseamError
from arrowseam.rollouts.budgets import Resource, ResourceKind, budget_violation
from arrowseam.rollouts.commands import (
    AdvanceRelease,
    CancelRelease,
    Command,
    Drain,
    GrantPermit,
    HaltRelease,
    MarkDrained,
    PermitOutcome,
    PlanRelease,
    ReleaseKind,
    ReleaseStep,
    ResumeRelease,
    ReturnPermit,
    RollBackRelease,
    SetBudgets,
    StartRelease,
    Undrain,
    decode_command,
    encoder,
)
from arrowseam.rollouts.release_plan import bundle_digest
from arrowseam.rollouts.state import (
    Decision,
    MemberState,
    Permit,
    Release,
    ReleaseMember,
    ReleaseState,
    State,
    decode_state,
)

HISTORY_MAX = 1000  # decisions kept for ``release log``
APPLIED_IDS_MAX = 256  # command ids that are remembered, so that a repeated command changes nothing
RELEASES_MAX = 20  # finished releases that are kept for display
REPEATED = "said already"  # the rejection of a command whose id was already applied


class CommandRejectedError(ArrowseamError):
    """A command was rejected and changes nothing; the message is the reason."""


class ReplicatedState:
    """Permits, drains, releases and bundles, as of the last applied entry."""

    def __init__(self) -> None:
        self.state = State()
        self._handlers: dict[type[Command], Callable[[int, Any], str]] = {
            SetBudgets: self._set_budgets,
            Drain: self._drain,
            Undrain: self._undrain,
            GrantPermit: self._grant_permit,
            ReturnPermit: self._return_permit,
            MarkDrained: self._mark_drained,
            PlanRelease: self._plan_release,
            StartRelease: self._start_release,
            AdvanceRelease: self._advance_release,
            HaltRelease: self._halt_release,
            ResumeRelease: self._resume_release,
            RollBackRelease: self._roll_back_release,
            CancelRelease: self._cancel_release,
        }

    @property
    def index(self) -> int:
        """Index of the last applied entry."""
        return self.state.index

    def save(self) -> bytes:
        """Encode the state for a snapshot."""
        return encoder.encode(self.state)

    def load(self, index: int, data: bytes) -> None:
        """Replace the state with one from ``save``, as of ``index``; without data, with an empty one."""
        self.state = decode_state(data) if data else State()
        self.state.index = index

    # --- queries ------------------------------------------------------------------------------------------

    def out_by_plan(self, kind: ResourceKind) -> dict[str, Resource]:
        """The proxies or endpoints that hold a permit to be out, by name."""
        return {p.resource.name: p.resource for p in self.state.permits.values() if p.kind == kind}

    def permit_of(self, kind: ResourceKind, name: str) -> Permit | None:
        """The permit of one proxy or endpoint, if it holds one."""
        found = (p for p in self.state.permits.values() if p.kind == kind and p.resource.name == name)
        return next(found, None)

    @property
    def current_release(self) -> Release | None:
        """The unfinished release; there is at most one."""
        return next((r for r in self.state.releases.values() if not r.is_over), None)

    def desired_digest(self, proxy: str) -> str:
        """Digest of the bundle that a proxy is to run with; empty for its own settings file."""
        return self.state.desired_digests.get(proxy, "")

    # --- commands -----------------------------------------------------------------------------------------

    def apply(self, index: int, data: bytes) -> Decision | None:
        """Apply one committed entry. None for a command of a later version, which all proxies skip alike."""
        self.state.index = index
        command = decode_command(data)
        if command is None:
            return None
        decision = Decision(index, command.at_ms, command.by, command.decision_name, "", "", command.id)
        if command.id and command.id in self.state.applied_ids:
            decision.rejection = REPEATED
        else:
            try:
                decision.text = self._handlers[type(command)](index, command)
            except CommandRejectedError as error:
                decision.rejection = str(error)
        self._record_decision(decision)
        return decision

    def _record_decision(self, decision: Decision) -> None:
        if decision.id:
            self.state.applied_ids.append(decision.id)
            del self.state.applied_ids[:-APPLIED_IDS_MAX]
        self.state.history.append(decision)
        del self.state.history[:-HISTORY_MAX]

    def _set_budgets(self, _index: int, command: SetBudgets) -> str:
        budgets = command.budgets
        if budgets is None:
            self.state.budgets.pop(command.voter, None)
            return f"{command.voter} has no word in budgets any more"
        self.state.budgets[command.voter] = budgets
        return f"{command.voter}: {budgets.proxies} proxies, {budgets.servers} servers"

    def _drain(self, _index: int, command: Drain) -> str:
        name = command.endpoint.name
        if name in self.state.drain_requests or self.permit_of(ResourceKind.ENDPOINT, name) is not None:
            raise CommandRejectedError(f"{name} is to be drained already")
        self.state.drain_requests[name] = command
        return f"{name} waits for its turn"

    def _undrain(self, _index: int, command: Undrain) -> str:
        name = command.endpoint
        if self.state.drain_requests.pop(name, None) is not None:
            return f"{name} waits no more"
        permit = self.permit_of(ResourceKind.ENDPOINT, name)
        if permit is None:
            raise CommandRejectedError(f"{name} is not drained")
        del self.state.permits[permit.id]
        return f"{name} {'is written off' if command.written_off else 'is back'}"

    def _mark_drained(self, _index: int, command: MarkDrained) -> str:
        permit = self.state.permits.get(command.permit_id)
        if permit is None or permit.kind != ResourceKind.ENDPOINT:
            raise CommandRejectedError("no such drain")
        permit.drained = True
        return f"{permit.resource.name} is empty: safe to stop"

    # --- permits ------------------------------------------------------------------------------------------

    def _grant_permit(self, index: int, command: GrantPermit) -> str:
        """Check the budgets again: since the leader proposed this grant, they may have been lowered and
        others may have gone out."""
        state, kind, name = self.state, command.kind, command.resource.name
        if self.permit_of(kind, name) is not None:
            raise CommandRejectedError(f"{name} is out already")
        if kind == ResourceKind.PROXY:
            self._check_release_allows(command)
        elif name not in state.drain_requests:
            raise CommandRejectedError(f"nobody wants {name} drained")
        former_digest = self.desired_digest(name) if kind == ResourceKind.PROXY else ""
        out = {resource.name: resource for resource in command.missing} | self.out_by_plan(kind)
        violation = budget_violation(state.budgets, kind, command.resource, out, command.totals)
        if violation:
            raise CommandRejectedError(violation)
        if kind == ResourceKind.ENDPOINT:
            del state.drain_requests[name]
        state.permits[index] = Permit(
            index, kind, command.resource, command.started_at, command.release_id, command.digest,
            former_digest, command.at_ms,
        )  # fmt: skip
        state.granted_ms[kind] = command.at_ms
        if command.release_id:
            self._mark_member_out(command)
        return f"{kind} {name} may go out, {len(out)} are"

    def _mark_member_out(self, command: GrantPermit) -> None:
        release, name = self.state.releases[command.release_id], command.resource.name
        member = release.members[name]
        member.state, member.attempts = MemberState.OUT, member.attempts + 1
        if release.plan.kind == ReleaseKind.SETTINGS:
            self.state.desired_digests[name] = command.digest

    def _check_release_allows(self, command: GrantPermit) -> None:
        """Raise CommandRejectedError unless the release allows this proxy to go out."""
        release, name = self.state.releases.get(command.release_id), command.resource.name
        if release is None or not release.is_active:
            raise CommandRejectedError(f"release {command.release_id} does not go on")
        if name not in release.members:
            raise CommandRejectedError(f"{name} has no part in release {command.release_id}")
        wanted = release.digest_for(name)
        if command.digest != wanted:
            raise CommandRejectedError(f"{name} is to get {wanted or 'its own file'}")
        member = release.members[name]
        if release.rolling_back and member.state not in (MemberState.NEW, MemberState.FAILED):
            raise CommandRejectedError(f"{name} has nothing to go back from")
        if not release.rolling_back and member.state != MemberState.OLD:
            raise CommandRejectedError(f"{name} is {member.state} already")

    def _return_permit(self, _index: int, command: ReturnPermit) -> str:
        permit = self.state.permits.get(command.permit_id)
        if permit is None or permit.kind != ResourceKind.PROXY:
            raise CommandRejectedError("no such permit")
        name, outcome = permit.resource.name, command.outcome
        if outcome != PermitOutcome.WRITTEN_OFF and command.started_at < permit.started_at:
            raise CommandRejectedError(f"{name}: the word of a former life")
        del self.state.permits[command.permit_id]
        release = self.state.releases.get(permit.release_id)
        if release is not None and name in release.members:
            is_settings = release.plan.kind == ReleaseKind.SETTINGS
            was_rollback = is_settings and permit.digest == release.former_digests.get(name, "")
            release.members[name].state = _member_state_after(outcome, was_rollback)
            if is_settings and outcome in (PermitOutcome.UNUSED, PermitOutcome.FAILED):
                self.state.desired_digests[name] = permit.former_digest
            self._finish_if_complete(release)
        return f"{name}: {outcome}{', ' + command.reason if command.reason else ''}"

    # --- releases -----------------------------------------------------------------------------------------

    def _plan_release(self, index: int, command: PlanRelease) -> str:
        current = self.current_release
        if current is not None:
            raise CommandRejectedError(f"release {current.id} is not over")
        names = [name for wave in command.waves for name in wave]
        if not names or len(set(names)) < len(names):
            raise CommandRejectedError("each proxy belongs to one wave")
        kinds = (ReleaseKind.SETTINGS, ReleaseKind.RESTART)
        if command.kind not in kinds or (command.kind == ReleaseKind.SETTINGS) != bool(command.bundle):
            raise CommandRejectedError("a release brings in a bundle of settings, or restarts")
        digest = bundle_digest(command.bundle)
        former = {name: self.desired_digest(name) for name in names}
        up_to_date = {name for name in names if command.bundle and former[name] == digest}
        if len(up_to_date) == len(names):
            raise CommandRejectedError(f"all run with {digest} already")
        if command.bundle:
            self.state.bundles[digest] = command.bundle
        members = {
            name: ReleaseMember(MemberState.NEW if name in up_to_date else MemberState.OLD) for name in names
        }
        self.state.releases[index] = Release(index, command, digest, former, members)
        self._discard_unused()
        waves = len(command.waves)
        return f"release {index}: {command.kind} {digest}, {len(names)} proxies in {waves} waves"

    def _unfinished_release(self, command: ReleaseStep) -> Release:
        """The release that a command refers to; raises CommandRejectedError if it is unknown or finished."""
        release_id = command.release_id
        release = self.state.releases.get(release_id)
        if release is None or release.is_over:
            raise CommandRejectedError(
                f"release {release_id} is {'unknown' if release is None else release.state}"
            )
        return release

    def _start_release(self, _index: int, command: StartRelease) -> str:
        release = self._unfinished_release(command)
        if release.state != ReleaseState.PLANNED:
            raise CommandRejectedError(_state_text(release))
        release.state = ReleaseState.RUNNING
        return _state_text(release)

    def _advance_release(self, _index: int, command: AdvanceRelease) -> str:
        release = self._unfinished_release(command)
        if release.state != ReleaseState.RUNNING or command.waves_done != release.waves_done + 1:
            raise CommandRejectedError(f"{_state_text(release)}, {release.waves_done} waves through")
        wave = release.plan.waves[release.waves_done]
        if any(release.members[name].state != MemberState.NEW for name in wave):
            raise CommandRejectedError("not all of the wave are through")
        release.waves_done += 1
        self._finish_if_complete(release)
        return _state_text(release)

    def _halt_release(self, _index: int, command: HaltRelease) -> str:
        release = self._unfinished_release(command)
        if not release.is_active:
            raise CommandRejectedError(_state_text(release))
        release.state, release.reason = ReleaseState.HALTED, command.reason
        return f"release {release.id}: {command.reason}"

    def _resume_release(self, _index: int, command: ResumeRelease) -> str:
        release = self._unfinished_release(command)
        if release.state != ReleaseState.HALTED:
            raise CommandRejectedError(_state_text(release))
        release.state = ReleaseState.ROLLING_BACK if release.rolling_back else ReleaseState.RUNNING
        release.reason = ""
        release.resumed_stamp, release.resumed_by = max(
            (release.resumed_stamp, release.resumed_by), (command.halt_stamp, command.halted_by)
        )
        for member in release.members.values():
            if member.state == MemberState.FAILED and not release.rolling_back:
                member.state = MemberState.OLD  # to be tried again
        return _state_text(release)

    def _roll_back_release(self, _index: int, command: RollBackRelease) -> str:
        release = self._unfinished_release(command)
        if release.plan.kind == ReleaseKind.RESTART:
            raise CommandRejectedError("a restart has nothing to go back to")
        if release.state == ReleaseState.PLANNED:
            raise CommandRejectedError(f"release {release.id} has changed nobody: cancel it")
        release.state, release.rolling_back, release.reason = ReleaseState.ROLLING_BACK, True, ""
        for name, member in release.members.items():
            if release.former_digests[name] == release.digest:  # it ran with this bundle before
                member.state = MemberState.OLD
        self._finish_if_complete(release)
        return _state_text(release)

    def _cancel_release(self, _index: int, command: CancelRelease) -> str:
        release = self._unfinished_release(command)
        if release.is_active:
            raise CommandRejectedError(f"{_state_text(release)}: halt it first")
        release.state = ReleaseState.CANCELLED
        self._discard_unused()
        return _state_text(release)

    def _finish_if_complete(self, release: Release) -> None:
        """End a release that has no outstanding permits and nothing left to do."""
        if any(p.release_id == release.id for p in self.state.permits.values()):
            return
        states = {member.state for member in release.members.values()}
        if release.state == ReleaseState.ROLLING_BACK and states <= {MemberState.OLD}:
            release.state = ReleaseState.ROLLED_BACK
            self._discard_unused()
        elif release.state == ReleaseState.RUNNING and release.waves_done == len(release.plan.waves):
            release.state = ReleaseState.DONE
            self._discard_unused()

    def _discard_unused(self) -> None:
        """Drop bundles that no proxy runs with or may return to, and the oldest finished releases."""
        state = self.state
        finished = [r.id for r in state.releases.values() if r.is_over]
        for release_id in finished[:-RELEASES_MAX]:
            del state.releases[release_id]
        used = set(state.desired_digests.values())
        for release in state.releases.values():
            if not release.is_over:
                used |= {release.digest, *release.former_digests.values()}
        state.bundles = {digest: data for digest, data in state.bundles.items() if digest in used}
        for release in state.releases.values():
            if release.is_over and release.plan.bundle:
                release.plan = msgspec.structs.replace(release.plan, bundle=b"")


def _state_text(release: Release) -> str:
    return f"release {release.id} is {release.state}"


def _member_state_after(outcome: PermitOutcome, was_rollback: bool) -> MemberState:
    """The state of a member whose permit ended. Anything not proven counts as failed, so that a rollback
    includes it."""
    if outcome == PermitOutcome.BACK:
        return MemberState.OLD if was_rollback else MemberState.NEW
    if outcome == PermitOutcome.UNUSED:
        return MemberState.NEW if was_rollback else MemberState.OLD
    return MemberState.FAILED
