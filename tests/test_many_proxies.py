"""Behaviour that is harmless in one proxy and harmful in forty: asserts the sum over all proxies."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from helpers import SECOND, START, arrival, attempt_ended, attempts, make_balancer, make_endpoints
from proxy_fleet import ProxyFleet

from arrowseam.balancer.events import Endpoint, EndpointState, EndpointUpdate, Outcome, UpdateKind
from arrowseam.balancer.settings import Tenant

PROXIES = 40


def test_not_all_proxies_migrate_off_a_draining_endpoint_at_once() -> None:
    """Each of many proxies has one or two connections at a draining endpoint. When each migrated at least
    one per second, nearly all left in the first second, while the replacement was cold.
    """
    fleet = ProxyFleet(PROXIES, make_endpoints(60), reports_latency=False)
    for n in range(PROXIES):
        fleet.adopt(n, 100)
    draining = replace(make_endpoints(1)[0], state=EndpointState.DRAINING)
    fleet.notify_all(EndpointUpdate(UpdateKind.DELTA, 2, (draining,)))
    fleet.run(SECOND)
    assert fleet.migrated[100] <= 0.25 * PROXIES
    fleet.run(2 * SECOND)
    assert 1 <= fleet.migrated[100] <= 0.6 * PROXIES
    fleet.run(17 * SECOND)
    assert fleet.migrated[100] == PROXIES  # the last ones do not stay by chance


def test_groups_of_returning_clients_are_kept_together_over_all_proxies() -> None:
    """Each proxy has one or two connections of a group. Placed independently, they make every endpoint bear
    the cost of every group.
    """
    placements = {}
    for is_returning in (False, True):
        fleet = ProxyFleet(PROXIES, make_endpoints(60), reports_latency=False, group_affinity=True)
        groups = {}
        for group in range(1, 11):
            for n in range(PROXIES):
                fleet.arrive(n, group=group * 7919, is_reconnect=is_returning)
                groups[n, fleet.request_count] = group
            fleet.run(SECOND)  # the proxies' concurrency limits delay some of the set-ups
        assert len(fleet.established) == 10 * PROXIES
        placements[is_returning] = len(
            {(groups[key], endpoint) for key, endpoint in fleet.established.items()}
        )
    assert placements[False] > 250  # the default order draws each connection independently
    assert placements[True] < 0.6 * placements[False]


def test_a_proxy_that_starts_during_a_release_knows_that_endpoints_are_scarce() -> None:
    """A proxy that starts while half of the endpoints drain has never seen the complete list. It took the
    other half for all endpoints, so that each seemed to have twice its capacity.
    """
    draining = tuple(replace(entry, state=EndpointState.DRAINING) for entry in make_endpoints(12)[:5])
    ready = make_endpoints(12)[5:]
    quotas = (Tenant(connection_quota=100.0),)
    started_during_release = make_balancer(
        draining + ready, reports_latency=False, group_affinity=True, tenants=quotas
    )
    started_during_release.handle(START + SECOND, [])
    assert started_during_release.capacity.scarce
    assert started_during_release.capacity.full_weight == sum(
        started_during_release.endpoints.by_id[entry.endpoint_id].weight for entry in make_endpoints(12)
    )
    started_after_release = make_balancer(ready, reports_latency=False, group_affinity=True, tenants=quotas)
    started_after_release.handle(START + SECOND, [])
    assert not started_after_release.capacity.scarce


def test_proxies_with_few_connections_do_not_migrate_one_too_many_by_chance() -> None:
    """A proxy's third connection, times forty proxies, exceeds an endpoint's capacity. Proxies acted on this
    independently and together migrated connections that the endpoint could carry.
    """
    quotas = (Tenant(connection_quota=0.82 * 12 * 90),)  # 90 connections per endpoint
    fleet = ProxyFleet(PROXIES, make_endpoints(12), reports_latency=False, tenants=quotas)
    fleet.run(SECOND)
    for n in range(PROXIES):
        for _ in range(6 if n % 8 == 0 else 1):
            fleet.adopt(n, 100, expected_load=1.0)  # 65 of 90 in total, with six at some proxies by chance
        for endpoint in range(101, 106):
            fleet.adopt(n, endpoint, expected_load=1.0)
    fleet.run(5 * SECOND)
    assert sum(fleet.migrated.values()) == 0


def test_a_warming_endpoint_is_full_by_the_connections_of_all_proxies() -> None:
    """With forty proxies, each took its one connection at a warming endpoint for forty in total, and all of
    them withheld requests from it while it had a dozen connections.
    """
    quotas = (Tenant(connection_quota=0.82 * 12 * 90),)
    cold = (Endpoint(endpoint_id=300, started_at=START),)
    many_proxies = ProxyFleet(PROXIES, make_endpoints(11) + cold, reports_latency=False, tenants=quotas)
    many_proxies.run(10 * SECOND)
    for n in range(PROXIES):
        many_proxies.adopt(n, 100, expected_load=1.0)
        many_proxies.adopt(n, 300, expected_load=1.0)
    is_full = [
        balancer.capacity.is_full(balancer.endpoints.by_id[300], balancer.now)
        for balancer in many_proxies.balancers
    ]
    assert not any(is_full)
    few_proxies = ProxyFleet(4, make_endpoints(11) + cold, reports_latency=False, tenants=quotas)
    few_proxies.run(10 * SECOND)
    for n in range(4):
        for _ in range(25):
            few_proxies.adopt(n, 300, expected_load=1.0)
        few_proxies.adopt(n, 100, expected_load=1.0)
    assert all(
        balancer.capacity.is_full(balancer.endpoints.by_id[300], balancer.now)
        for balancer in few_proxies.balancers
    )


def test_two_hundred_proxies_do_not_overload_a_slow_session_store() -> None:
    """With a minimum of one concurrent set-up per proxy, two hundred waited at a store that answers sixty a
    second: each timed out and was repeated before its turn, and none ever succeeded."""
    fleet = ProxyFleet(200, make_endpoints(60), store_rate=60.0, reports_latency=False)
    for n in range(200):
        for _ in range(4):
            fleet.arrive(n, is_reconnect=True)
    fleet.run(20 * SECOND)
    assert len(fleet.established) >= 0.4 * 800
    assert fleet.attempts <= 2 * len(fleet.established)


def test_the_first_concurrency_limit_is_a_part_of_all_proxies() -> None:
    """All proxies together start with 32 concurrent attempts, and each with eight at most."""
    assert [make_balancer(proxy_count=n).limiter.limit for n in (1, 4, 16, 200)] == [8.0, 8.0, 2.0, 0.16]


def test_after_a_failed_attempt_groups_are_kept_together_over_all_proxies() -> None:
    """With two hundred proxies, a fresh draw for the second attempt put the group on yet more endpoints.

    The second attempt must start at once: a concurrency limit below one does not apply to new clients.
    """
    firsts, seconds = Counter[int](), Counter[int]()
    for n in range(200):
        balancer = make_balancer(
            make_endpoints(60),
            seed=n + 1,
            proxy_index=n,
            proxy_count=200,
            group_affinity=True,
            reports_latency=False,
        )
        (first,) = attempts(balancer.handle(START, [arrival(1, group=7919)]))
        (second,) = attempts(balancer.handle(START + 10_000, [attempt_ended(first, Outcome.REJECTED)]))
        firsts[first.endpoint_id] += 1
        seconds[second.endpoint_id] += 1
    assert len(firsts) > 40  # the default order draws independently
    assert max(seconds.values()) > 150


def test_while_a_tenth_of_the_endpoints_fails_new_requests_keep_groups_together() -> None:
    """With three of sixty endpoints failing, each proxy draws independently. With eight, the remaining
    capacity does not suffice for every group at every endpoint.
    """
    counts = {}
    for failing in (3, 8):
        counts[failing] = Counter[int]()
        for n in range(200):
            balancer = make_balancer(
                make_endpoints(60),
                seed=n + 1,
                proxy_index=n,
                proxy_count=200,
                group_affinity=True,
                reports_latency=False,
            )
            balancer.handle(START, [])
            for endpoint in range(150, 150 + failing):
                balancer.outliers.add_failure(balancer.endpoints.by_id[endpoint], balancer.now)
            (first,) = attempts(balancer.handle(START + 2 * SECOND, [arrival(1, group=7919)]))
            counts[failing][first.endpoint_id] += 1
    assert len(counts[3]) > 40
    assert max(counts[8].values()) > 150
