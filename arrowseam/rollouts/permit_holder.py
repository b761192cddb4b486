"""What the replicated state makes this proxy do: execute its permits, cordon endpoints, check bundles.

A permit is executed at most once, by the process that it was granted to. A later process of the same name
never executes it: while it catches up on the replicated log, it may see a permit that ended long ago. It only
reports the permit as completed, once it serves with the right bundle.
"""

from __future__ import annotations

from arrowseam.rollouts.budgets import ResourceKind
from arrowseam.rollouts.commands import ReleaseKind
from arrowseam.rollouts.effects import CheckBundle, CordonEndpoint, Effect, ExecutePermit
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.replicated_state import ReplicatedState
from arrowseam.rollouts.state import Release

CHECK_RESULT_MAX = 200  # characters of a failure reason that are reported
_CHECK_PENDING = "?"  # the result of a bundle check that has not completed


class PermitHolder:
    """This proxy as a holder of permits; ``report_due`` is set when its status should be reported at once."""

    def __init__(self, name: str, started_at: int, digest: str, replicated: ReplicatedState) -> None:
        """``digest``: of the bundle that the process runs with; empty for its own settings file."""
        self.name, self.started_at, self.digest = name, started_at, digest
        self.replicated = replicated
        self.cluster = ClusterState()
        self.serving = False
        self.endpoints_out: set[str] = set()  # those that hold a permit to be out
        # Outcomes of permits, reported until the permits end in the replicated state.
        self.completed: list[int] = []
        self.unused: list[int] = []
        self.failed: dict[int, str] = {}  # permit -> reason
        self.failed_bundles: set[str] = set()  # digests desired when an execution failed: not restored
        self.executing: int | None = None  # the permit being executed; 0: a bundle is being restored
        self.report_due = False
        self._handled_permits: set[int] = set()  # execution was started, or the outcome is known
        self._bundle_checks: dict[str, str] = {}  # digest -> empty, failure reason, or _CHECK_PENDING
        self._effects: list[Effect] = []

    @property
    def bundle_checks(self) -> dict[str, str]:
        """The results of completed bundle checks by digest: empty, or why this proxy cannot apply it."""
        return {digest: result for digest, result in self._bundle_checks.items() if result != _CHECK_PENDING}

    def is_halted(self, release: Release) -> bool:
        """Whether this proxy knows of a halt of the release that has not been resumed."""
        return self.cluster.is_halted(release)

    def reconcile(self) -> list[Effect]:
        """Bring this proxy in line with the replicated state; returns the effects to carry out."""
        self._reconcile_endpoints()
        self._reconcile_bundles()
        self._forget_ended_permits()
        if self.executing is None:
            permit = self.replicated.permit_of(ResourceKind.PROXY, self.name)
            if permit is not None:
                if permit.id not in self._handled_permits:
                    self._handle_permit(permit.id)
            elif self.replicated.state.desired_digests.get(self.name, self.digest) != self.digest:
                self._restore_bundle()
        effects, self._effects = self._effects, []
        return effects

    def _reconcile_endpoints(self) -> None:
        out = set(self.replicated.out_by_plan(ResourceKind.ENDPOINT))
        if out != self.endpoints_out:
            for endpoint in sorted(out ^ self.endpoints_out):
                self._effects.append(CordonEndpoint(endpoint, endpoint in out))
            self.endpoints_out = out
            self.report_due = True

    def _reconcile_bundles(self) -> None:
        bundles = self.replicated.state.bundles
        for digest, bundle in bundles.items():
            if digest not in self._bundle_checks:
                self._bundle_checks[digest] = _CHECK_PENDING
                self._effects.append(CheckBundle(digest, bundle))
        self._bundle_checks = {d: result for d, result in self._bundle_checks.items() if d in bundles}

    def _forget_ended_permits(self) -> None:
        permits = self.replicated.state.permits
        self._handled_permits &= permits.keys()
        self.completed = [n for n in self.completed if n in permits]
        self.unused = [n for n in self.unused if n in permits]
        self.failed = {n: reason for n, reason in self.failed.items() if n in permits}

    def _handle_permit(self, permit_id: int) -> None:
        """Handle a permit of this proxy that has not been handled yet.

        A permit for a later process is left to that process. If this process is later than the one that the
        permit was granted to, or already runs with the bundle to be applied, the permit is reported as
        completed once the bundle is in effect and the proxy serves. If the release is finished or halted, the
        permit is given back unused. Otherwise it is executed.
        """
        permit = self.replicated.state.permits[permit_id]
        release = self.replicated.state.releases.get(permit.release_id)
        if release is None or self.started_at < permit.started_at:
            return
        is_restart = release.plan.kind == ReleaseKind.RESTART
        has_bundle = is_restart or self.digest == permit.digest
        if self.started_at > permit.started_at or (not is_restart and has_bundle):
            if not has_bundle:
                self._restore_bundle()
            elif self.serving:
                self._handled_permits.add(permit_id)
                self.completed.append(permit_id)
                self.report_due = True
            return
        self._handled_permits.add(permit_id)
        if not release.is_active or self.is_halted(release):
            self.unused.append(permit_id)
            self.report_due = True
            return
        self._execute(ExecutePermit(permit_id, release.plan.kind, permit.digest, self._bundle(permit.digest)))

    def _restore_bundle(self) -> None:
        """Apply the desired bundle: a restart has undone it, or it was released while this proxy was away."""
        digest = self.replicated.desired_digest(self.name)
        if digest not in self.failed_bundles and (not digest or digest in self.replicated.state.bundles):
            self._execute(ExecutePermit(0, ReleaseKind.SETTINGS, digest, self._bundle(digest)))

    def _bundle(self, digest: str) -> bytes:
        return self.replicated.state.bundles.get(digest, b"")

    def _execute(self, effect: ExecutePermit) -> None:
        self.executing = effect.permit_id
        self._effects.append(effect)

    def on_permit_executed(self, permit_id: int, digest: str, failure: str) -> None:
        """The execution of a permit has completed or failed; ``digest`` is that of the bundle in effect."""
        self.executing, self.digest = None, digest
        self.report_due = True
        if failure:
            self.failed_bundles.add(self.replicated.desired_digest(self.name))
            permit = self.replicated.permit_of(ResourceKind.PROXY, self.name)
            # 0: a later process, which restores the bundle in place of executing the permit, has failed to.
            if permit is not None and permit_id in (0, permit.id):
                self.failed[permit.id] = failure
                self._handled_permits.add(permit.id)
        elif permit_id:
            self.completed.append(permit_id)

    def on_bundle_checked(self, digest: str, failure: str) -> None:
        """A bundle check has completed; ``failure`` is why the bundle cannot be applied, or empty."""
        self._bundle_checks[digest] = failure[:CHECK_RESULT_MAX]
        self.report_due = True
