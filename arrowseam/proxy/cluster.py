"""A proxy's part in its cluster: membership and rollouts, where the operator file configures them.

Their modules are imported only then, since they cost memory.
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
        membership: this proxy as a member of its cluster; None = not configured.
        rollouts: its part in the consensus on drains and releases; None = not configured.
    """

    def __init__(self, proxy: Proxy, is_ready: Callable[[], bool]) -> None:
        """``is_ready``: whether the process before this one, of the same name, has let go."""
        self.proxy, self.is_ready = proxy, is_ready
        self.membership: MembershipRuntime | None = None
        self.rollouts: RolloutRuntime | None = None
        self.state_dir = ""

    def configure(self, operator: Operator) -> None:
        """Go by these settings from now on."""
        self.state_dir = operator.state_dir
        self._configure_membership(operator.fleet)
        self._configure_rollouts(operator.agree)

    def update_settings(self) -> None:
        """The proxy's own settings have changed."""
        if self.membership is not None:
            self.membership.reconfigure(self.proxy.config)

    def leave(self) -> None:
        """This process shuts down: the other members are notified."""
        if self.membership is not None:
            self.membership.leave()

    def stop(self) -> None:
        """The new process of a hot restart goes on under this name: the others are not notified."""
        if self.rollouts is not None:
            self.rollouts.stop()
        if self.membership is not None:
            self.membership.stop()

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        """Whether an endpoint is out by consensus of the proxies."""
        return self.rollouts is not None and self.rollouts.is_cordoned_by_rollout(endpoint)

    def is_cordoned_by_operators(self, endpoint: str) -> bool:
        """Whether an endpoint is cordoned by hand at all proxies."""
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
            """Why this proxy cannot be restarted; empty if it is."""
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
