"""Health checks of endpoints over the platform's line protocol."""

from __future__ import annotations

from arrowseam.address import Address
from arrowseam.driver import BalancerDriver
from arrowseam.net.clock import clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine
from arrowseam.protocols.edge import messages
from arrowseam.protocols.session import DEFAULT_CONNECT_TIMEOUT


def check_endpoint(
    loop: EventLoop, driver: BalancerDriver, endpoint: str, address: Address | None
) -> Coroutine[None]:
    """Ask one endpoint for its state and report the answer, or the lack of one, to the balancer."""
    started_at = clock()
    deadline = started_at + (driver.settings.limits.connect_timeout or DEFAULT_CONNECT_TIMEOUT)
    conn = (yield from loop.connect(address, deadline)) if address else None
    line = b""
    if conn is not None:
        request = messages.STATS_REQUEST if driver.settings.report_fields else messages.PING_REQUEST
        if (yield from conn.send(request, deadline)):
            line = (yield from conn.read_line(messages.LINE_BYTES_MAX, deadline)) or b""
        conn.close()
    succeeded = line.startswith(messages.PONG)
    driver.report_health_check(endpoint, succeeded, clock() - started_at, messages.parse_report(line))
