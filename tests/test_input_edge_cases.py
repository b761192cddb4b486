"""Invalid or extreme values from outside: no rule raises on them, and their effect ends with their sender."""

from __future__ import annotations

import pytest
from helpers import SECOND, START, Clock, arrival, attempt_ended, attempts, make_balancer, make_endpoints
from network import SETTINGS, ProxyNetwork

from arrowseam.balancer.events import ConnectionEstablished, HealthCheckEnded, LoadReported, Outcome
from arrowseam.balancer.settings import Limits, Rules, Tenant


@pytest.mark.parametrize(("report", "utilization"), [((0.4,), 0.4), ((), None), ((0.4, 4.0), 0.4)])
def test_a_report_that_is_too_short_still_states_its_first_fields(report, utilization) -> None:
    """A report without ``inflight`` raised an exception, and the other events of the round were lost."""
    limits = Limits(max_attempts=3, health_checks_allowed=True)
    clock = Clock(make_balancer(make_endpoints(2), limits=limits, report_fields=("x0", "inflight")))
    clock.step(HealthCheckEnded(100, Outcome.OK, 1_000, report))
    endpoint = clock.balancer.endpoints.by_id[100]
    assert endpoint.reported_at == (clock.now if utilization is not None else endpoint.reported_at)
    if utilization is not None:
        assert endpoint.reported_utilization == utilization


@pytest.mark.parametrize(("report", "is_taken"), [({"inflight": 4.0}, False), ({"x0": 0.4}, True)])
def test_an_endpoint_that_does_not_report_its_utilization_is_not_idle(report, is_taken) -> None:
    """A missing field counted as 0, so that the endpoint without a report was preferred."""
    fields = {"fields": ["x0", "inflight"]}
    world = ProxyNetwork("lines", "up", telemetry=fields, caps=SETTINGS["caps"] | {"probing": True})
    (endpoint,) = world.driver.balancer.endpoints.by_id.values()
    previous_report = endpoint.reported_at
    world.driver.report_health_check("s0", True, 1_000, report)
    assert (endpoint.reported_at != previous_report) == is_taken
    world.close()


def test_an_endpoint_that_starts_in_the_future_is_used_where_no_warm_up_is_stated() -> None:
    """The endpoint's clock was ahead and the warm-up time is 0: each placement raised a division by zero."""
    rules = Rules(drain_grace=SECOND, max_poll_interval=10 * SECOND, warm_up_time=0)
    clock = Clock(make_balancer(make_endpoints(2, started_at=START + 5 * SECOND), rules=rules))
    assert len(attempts(clock.step(arrival(1)))) == 1
    assert len(attempts(clock.step(arrival(2, group=7)))) == 1


def test_rounding_errors_leave_no_load_once_all_connections_have_ended() -> None:
    """0.1 + 0.2 - 0.1 - 0.2 is more than 0: rebalancing divided by the number of connections, which was 0."""
    tenants = (Tenant(connection_quota=1.0),)
    clock = Clock(make_balancer(make_endpoints(1), tenants=tenants, reports_latency=False))
    sent = [attempts(clock.step(arrival(n, expected_load=load)))[0] for n, load in ((1, 0.1), (2, 0.2))]
    for attempt in sent:
        clock.step(ConnectionEstablished(attempt.request_id, 0, attempt.endpoint_id, 1_000))
    for attempt in sent:
        clock.step(attempt_ended(attempt, Outcome.OK, is_final=True))
    assert clock.balancer.requests.load == 0.0
    assert clock.balancer.endpoints.by_id[100].load == 0.0
    clock.balancer.requests.load = 2e-17  # a rounding error that sums in another order may leave
    clock.step(after=2 * SECOND)


@pytest.mark.parametrize("load", [1e300, 1e308])
def test_an_impossible_load_neither_raises_nor_outlasts_its_connection(load: float) -> None:
    """LOAD 1e300: its square raised in each round, and two such loads left a total that stayed infinite."""
    tenants = (Tenant(connection_quota=1.0),)
    clock = Clock(make_balancer(make_endpoints(2), tenants=tenants, reports_latency=False))
    sent = [attempts(clock.step(arrival(n, expected_load=load)))[0] for n in (1, 2, 3, 4)]
    for attempt in sent:
        clock.step(ConnectionEstablished(attempt.request_id, 0, attempt.endpoint_id, 1_000))
        clock.step(LoadReported(attempt.request_id, 0, attempt.endpoint_id, load))
        clock.step(after=2 * SECOND)
    for attempt in sent[:3]:
        clock.step(attempt_ended(attempt, Outcome.OK, is_final=True))
    clock.step(LoadReported(4, 0, sent[3].endpoint_id, 5.0))
    assert clock.balancer.requests.load == pytest.approx(5.0)
