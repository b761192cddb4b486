"""When the discovery service is called: at the start, and after failures with backoff."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.balancer.settings import Settings
from arrowseam.balancer.units import SECOND

FIRST_BACKOFF = SECOND // 2  # doubled with each failure
# An update counts as notified 6 s after the service has it; a call may take most of the rest of this time.
MAX_BACKOFF = 2 * SECOND
MAX_FAILURES = 4  # counted; the backoff reaches its maximum before


class DiscoveryPoller:
    """Calls the discovery service until it can be watched.

    Guards against calls from all proxies at once, after all have started or the service has recovered: the
    delay is random and doubles with each failure. It stays short, since updates count as notified soon after
    the service can be reached.

    Attributes:
        subscribed: the endpoint list is being watched.
        polling: a call is in progress.
        failures: consecutive failed calls, at most ``MAX_FAILURES``.
    """

    def __init__(self, settings: Settings, random: Callable[[], float]) -> None:
        self.settings, self.random = settings, random
        self.subscribed = False
        self.polling = False
        self.failures = 0

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings

    def first_delay(self) -> int:
        """Return the delay of the first call after the start, microseconds."""
        return self._randomized(self.settings.rules.max_poll_interval / 4)

    def on_failed(self) -> int:
        """Record a failed call or broken watch; return the delay of the next call, microseconds."""
        self.subscribed = self.polling = False
        self.failures = min(self.failures + 1, MAX_FAILURES)
        rules = self.settings.rules
        backoff = min(FIRST_BACKOFF << (self.failures - 1), MAX_BACKOFF, rules.max_poll_interval / 4)
        # Without a watch, an update must not be missed for longer than an endpoint drains.
        return self._randomized(
            backoff if self.settings.watch_discovery else min(backoff, rules.drain_grace / 4)
        )

    def on_answered(self) -> None:
        """Record the arrival of a list; it is the answer if a call is in progress."""
        if self.polling:
            self.subscribed, self.polling, self.failures = True, False, 0

    def start_poll(self) -> bool:
        """Return whether to call now; if so, the call counts as in progress."""
        if self.subscribed or self.polling:
            return False
        self.polling = True
        return True

    def _randomized(self, delay: float) -> int:
        return int(delay * self.random())
