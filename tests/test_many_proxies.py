"""What is harmless in one proxy and harmful in forty: the sum over all of them is asserted."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from helpers import SECOND, START, arrival, attempt_ended, attempts, make_balancer, make_endpoints
from proxy_fleet import Fleet

from arrowseam.balancer.events import Endpoint, EndpointState, EndpointUpdate, Outcome, UpdateKind
from arrowseam.balancer.settings import Tenant

RELAYS = 40


def test_not_all_proxies_migrate_off_a_draining_endpoint_at_once() -> None:
    """Each of many proxies has one or two connections at a draining endpoint. One at least from each,
    each second, was nearly all of them in the first second, while its replacement was cold.
    """
    fleet = Fleet(RELAYS, make_endpoints(60), reports_latency=False)
    for n in range(RELAYS):
        fleet.adopt(n, 100)
    drains = replace(make_endpoints(1)[0], state=EndpointState.DRAINING)
    fleet.notify_all(EndpointUpdate(UpdateKind.DELTA, 2, (drains,)))
    fleet.run(SECOND)
    assert fleet.migrated[100] <= 0.25 * RELAYS
    fleet.run(2 * SECOND)
    assert 1 <= fleet.migrated[100] <= 0.6 * RELAYS
    fleet.run(17 * SECOND)
    assert fleet.migrated[100] == RELAYS  # the last ones do not hang on by chance


def test_groups_of_returning_clients_are_kept_together_over_all_proxies() -> None:
    """Each proxy has one or two connections of a group. Placed anywhere, in sum every endpoint pays for
    every group.
    """
    pairs = {}
    for again in (False, True):
        fleet = Fleet(RELAYS, make_endpoints(60), reports_latency=False, group_affinity=True)
        groups = {}
        for group in range(1, 11):
            for n in range(RELAYS):
                fleet.arrive(n, group=group * 7919, is_reconnect=again)
                groups[n, fleet.count] = group
            fleet.run(SECOND)  # each proxy has its part of the set-ups under way only
        assert len(fleet.established) == 10 * RELAYS
        pairs[again] = len({(groups[key], endpoint) for key, endpoint in fleet.established.items()})
    assert pairs[False] > 250  # the ordinary path draws each anew
    assert pairs[True] < 0.6 * pairs[False]


def test_a_proxy_that_starts_during_a_release_knows_that_endpoints_are_scarce() -> None:
    """A proxy that starts while half of the endpoints drain has never seen the complete list. It took
    half for all, so each endpoint seemed to carry twice as much.
    """
    drains = tuple(replace(b, state=EndpointState.DRAINING) for b in make_endpoints(12)[:5])
    stays = make_endpoints(12)[5:]
    quotas = (Tenant(connection_quota=100.0),)
    late = make_balancer(drains + stays, reports_latency=False, group_affinity=True, tenants=quotas)
    late.handle(START + SECOND, [])
    assert late.capacity.scarce
    assert late.capacity.full_weight == sum(
        late.endpoints.by_id[b.endpoint_id].weight for b in make_endpoints(12)
    )
    whole = make_balancer(stays, reports_latency=False, group_affinity=True, tenants=quotas)
    whole.handle(START + SECOND, [])
    assert not whole.capacity.scarce


def test_proxies_with_few_connections_do_not_migrate_one_too_many_by_chance() -> None:
    """Times forty proxies, a third connection is more than an endpoint carries. Each proxy acted on its
    own, and together they migrated connections that were not too many.
    """
    quotas = (Tenant(connection_quota=0.82 * 12 * 90),)  # each endpoint can carry 90
    fleet = Fleet(RELAYS, make_endpoints(12), reports_latency=False, tenants=quotas)
    fleet.run(SECOND)
    for n in range(RELAYS):
        for _ in range(6 if n % 8 == 0 else 1):
            fleet.adopt(n, 100, expected_load=1.0)  # 65 of 90 in all, by chance six of them at some proxies
        for endpoint in range(101, 106):
            fleet.adopt(n, endpoint, expected_load=1.0)
    fleet.run(5 * SECOND)
    assert sum(fleet.migrated.values()) == 0


def test_a_warming_endpoint_is_full_by_the_connections_of_all_proxies() -> None:
    """One connection of a proxy was taken for forty at a warming endpoint, since there are forty proxies,
    and all forty held back while a dozen connections were there.
    """
    quotas = (Tenant(connection_quota=0.82 * 12 * 90),)
    cold = (Endpoint(endpoint_id=300, started_at=START),)
    few = Fleet(RELAYS, make_endpoints(11) + cold, reports_latency=False, tenants=quotas)
    few.run(10 * SECOND)
    for n in range(RELAYS):
        few.adopt(n, 100, expected_load=1.0)
        few.adopt(n, 300, expected_load=1.0)
    holds = [
        balancer.capacity.is_full(balancer.endpoints.by_id[300], balancer.now) for balancer in few.balancers
    ]
    assert not any(holds)
    small = Fleet(4, make_endpoints(11) + cold, reports_latency=False, tenants=quotas)
    small.run(10 * SECOND)
    for n in range(4):
        for _ in range(25):
            small.adopt(n, 300, expected_load=1.0)
        small.adopt(n, 100, expected_load=1.0)
    assert all(
        balancer.capacity.is_full(balancer.endpoints.by_id[300], balancer.now) for balancer in small.balancers
    )


def test_two_hundred_proxies_do_not_overload_a_slow_session_store() -> None:
    """One set-up under way at least from each kept two hundred before a store that answers sixty a second:
    each was given up and sent again before its turn came, and for as long as that went on none came up."""
    fleet = Fleet(200, make_endpoints(60), store=60.0, reports_latency=False)
    for n in range(200):
        for _ in range(4):
            fleet.arrive(n, is_reconnect=True)
    fleet.run(20 * SECOND)
    assert len(fleet.established) >= 0.4 * 800
    assert fleet.attempts <= 2 * len(fleet.established)


def test_the_first_concurrency_limit_is_a_part_of_all_proxies() -> None:
    """Together the proxies begin with 32 attempts under way, and each with eight at most."""
    assert [make_balancer(proxy_count=n).limiter.limit for n in (1, 4, 16, 200)] == [8.0, 8.0, 2.0, 0.16]


def test_after_a_failed_attempt_groups_are_kept_together_over_all_proxies() -> None:
    """The next of a fresh draw was, at two hundred proxies, one server more that pays for the group.

    It is asked at once: a part of the set-ups under one must not hold back who has come for the first time.
    """
    firsts, seconds = Counter[int](), Counter[int]()
    for n in range(200):
        one = make_balancer(
            make_endpoints(60),
            seed=n + 1,
            proxy_index=n,
            proxy_count=200,
            group_affinity=True,
            reports_latency=False,
        )
        (send,) = attempts(one.handle(START, [arrival(1, group=7919)]))
        (second,) = attempts(one.handle(START + 10_000, [attempt_ended(send, Outcome.REJECTED)]))
        firsts[send.endpoint_id] += 1
        seconds[second.endpoint_id] += 1
    assert len(firsts) > 40  # the ordinary path draws anew
    assert max(seconds.values()) > 150


def test_while_a_tenth_of_the_endpoints_fails_new_requests_keep_groups_together() -> None:
    """With three of sixty endpoints failing each proxy draws afresh. With eight, the capacity that is
    left is too precious to pay for every group at every endpoint.
    """
    places = {}
    for failing in (3, 8):
        places[failing] = Counter[int]()
        for n in range(200):
            one = make_balancer(
                make_endpoints(60),
                seed=n + 1,
                proxy_index=n,
                proxy_count=200,
                group_affinity=True,
                reports_latency=False,
            )
            one.handle(START, [])
            for endpoint in range(150, 150 + failing):
                one.outliers.add_failure(one.endpoints.by_id[endpoint], one.now)
            (send,) = attempts(one.handle(START + 2 * SECOND, [arrival(1, group=7919)]))
            places[failing][send.endpoint_id] += 1
    assert len(places[3]) > 40
    assert max(places[8].values()) > 150
