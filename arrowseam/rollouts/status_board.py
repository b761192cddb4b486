"""The last status that each proxy has reported to this one."""

from __future__ import annotations

from arrowseam.rollouts.gates import CounterHistory
from arrowseam.rollouts.messages import ProxyStatus

SECOND = 1_000_000  # microseconds
STATUS_MAX_AGE = 3 * SECOND  # older status reports are ignored


class StatusBoard:
    """Status reports by proxy; times are in microseconds of the monotonic clock."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[int, ProxyStatus]] = {}  # proxy -> time of arrival, status
        self.history = CounterHistory()

    def record(self, now: int, status: ProxyStatus) -> None:
        """Store a report."""
        self.reports[status.name] = now, status
        self.history.record(now // SECOND, status.name, status.started_at, status.counters)

    def is_outdated(self, status: ProxyStatus) -> bool:
        """Whether a later status has arrived before this one."""
        report = self.reports.get(status.name)
        if report is None:
            return False
        stored = report[1]
        if stored.started_at != status.started_at:
            return stored.started_at > status.started_at
        return stored.applied_index > status.applied_index

    def recent(self, now: int) -> list[str]:
        """Proxies with a recent report."""
        return [name for name, (at, _) in self.reports.items() if now - at < STATUS_MAX_AGE]

    def applied_index(self, proxy: str) -> int:
        """Index of the last entry that a proxy has reported as applied; raises KeyError."""
        return self.reports[proxy][1].applied_index
