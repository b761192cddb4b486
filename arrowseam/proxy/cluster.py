"""The proxy's membership and rollouts, where the operator file configures them.

Their modules are imported only if they are configured, to save memory.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from arrowseam.config.operator import Agree, Fleet, Operator
    from arrowseam.membership.runtime import MembershipRuntime
    from arrowseam.proxy.server import Proxy
    from arrowseam.rollouts.runtime import RolloutRuntime


class Cluster:
    """Starts, reconfigures and stops membership and rollouts.

    Attributes:
        membership: the membership of the cluster; None = not configured.
        rollouts: the drains and releases that the proxies agree on; None = not configured.
    """

    def __init__(self, proxy: Proxy, is_ready: Callable[[], bool]) -> None:
        """``is_ready``: whether the previous process of this member name has stopped accepting clients."""
        self.proxy, self.is_ready = proxy, is_ready
        self.membership: MembershipRuntime | None = None
        self.rollouts: RolloutRuntime | None = None
        self.state_dir = ""

    def configure(self, operator: Operator) -> None:
        """Apply the settings of an operator file."""
        self.state_dir = operator.state_dir
        self._configure_membership(operator.fleet)
        self._configure_rollouts(operator.agree)

    def update_settings(self) -> None:
        """Apply the proxy's changed configuration."""
        if self.membership is not None:
            self.membership.reconfigure(self.proxy.config)

    def leave(self) -> None:
        """Notify the other members that this process shuts down."""
        if self.membership is not None:
            self.membership.leave()

    def stop(self) -> None:
        """Stop without notifying the other members: a new process continues under the same name."""
        if self.rollouts is not None:
            self.rollouts.stop()
        if self.membership is not None:
            self.membership.stop()

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        """Whether an endpoint is cordoned by agreement of the proxies."""
        return self.rollouts is not None and self.rollouts.is_cordoned_by_rollout(endpoint)

    def is_cordoned_by_operators(self, endpoint: str) -> bool:
        """Whether operators have cordoned an endpoint in the whole cluster."""
        return self.membership is not None and endpoint in self.membership.view.cordons.cordoned()

    def _configure_membership(self, settings: Fleet | None) -> None:
        if self.membership is not None:
            if self.membership.fleet == settings:
                self.membership.reconfigure(self.proxy.config)
                return
            self._configure_rollouts(None)
            self.membership.leave()
            self.membership.stop()
            self.membership = None
            self.proxy.driver.set_proxy_count(None)
        if settings is not None:
            from arrowseam.membership.runtime import MembershipRuntime

            self.membership = MembershipRuntime(
                self.proxy.loop, self.proxy.config, self.proxy.request_handler, settings, self.is_ready
            )
        if self.proxy.control is not None:
            self.proxy.control.membership = self.membership

    def _configure_rollouts(self, settings: Agree | None) -> None:
        if self.rollouts is not None:
            if settings is not None and self.membership is not None:
                self.rollouts.update_settings(settings)
                return
            self.rollouts.stop()
            self.rollouts = None
        if settings is not None and self.membership is not None:
            self.rollouts = self._start_rollouts(settings, self.membership)
        if self.proxy.control is not None:
            self.proxy.control.rollouts = self.rollouts

    def _start_rollouts(self, settings: Agree, membership: MembershipRuntime) -> RolloutRuntime:
        from arrowseam.rollouts.restart import own_command_line, start_successor
        from arrowseam.rollouts.runtime import RolloutRuntime

        def restart() -> str:
            """Restart this proxy; return why that failed, or an empty string."""
            if settings.restart == "handover":
                return start_successor(own_command_line())
            self.proxy.drain()  # a supervisor starts the process again
            return ""

        reloader = self.proxy.reloader
        return RolloutRuntime(
            self.proxy.loop,
            self.proxy.request_handler,
            membership,
            settings,
            self.state_dir,
            reloader.apply_bundle,
            reloader.check_bundle,
            restart,
            self.is_ready,
        )
