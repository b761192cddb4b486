"""Selection by weighted random order: shares, the distribution of draws, and rebuilding of large lists."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from helpers import MS, START, Clock, arrival, attempt_ended, attempts, make_balancer, make_endpoints
from hypothesis import given
from hypothesis import strategies as st

from arrowseam.balancer.events import (
    ConnectionEstablished,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from arrowseam.balancer.weights import ONE, scaled_weight, two_stage_shares


@pytest.mark.parametrize("invalid", [math.nan, math.inf, -math.inf, -1.0])
def test_an_invalid_weight_counts_as_one(invalid: float) -> None:
    assert scaled_weight(invalid) == scaled_weight(1.0)


def test_a_zero_weight_stays_positive() -> None:
    assert scaled_weight(0.0) == 1


def test_two_stages_multiply_zone_and_endpoint_shares() -> None:
    shares = two_stage_shares([(0, 1000), (0, 3000), (1, 4000)])
    assert shares == [ONE // 8, 3 * ONE // 8, ONE // 2]


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 2**32 - 1)), min_size=1, max_size=50))
def test_shares_are_positive_and_sum_to_at_most_one(endpoints: list[tuple[int, int]]) -> None:
    shares = two_stage_shares(endpoints)
    assert all(share >= 1 for share in shares)
    assert sum(shares) <= ONE + len(endpoints)


def full_sort(shares: list[int], rnd: random.Random) -> list[int]:
    keys = [(math.log(rnd.random()) / share, n) for n, share in enumerate(shares)]
    return [n for _, n in sorted(keys, reverse=True)]


def test_first_and_second_draw_are_distributed_as_the_full_sort() -> None:
    """First and second of 4 endpoints of unequal weight: by drawing and retrying, and by sorting all keys."""
    weights = [1.0, 2.0, 3.0, 6.0]
    entries = tuple(Endpoint(100 + n, zone=n % 2, weight=w) for n, w in enumerate(weights))
    drawn: Counter[tuple[int, int]] = Counter()
    trials = 12_000
    for n in range(trials):
        balancer = make_balancer(entries, seed=n)
        first = attempts(balancer.handle(START, [arrival(1)]))[0]
        second = attempts(balancer.handle(START, [attempt_ended(first, Outcome.REJECTED)]))[0]
        drawn[first.endpoint_id - 100, second.endpoint_id - 100] += 1
    shares = two_stage_shares([(n % 2, scaled_weight(w)) for n, w in enumerate(weights)])
    rnd = random.Random(7)
    sorted_pairs: Counter[tuple[int, int]] = Counter()
    for _ in range(trials):
        order = full_sort(shares, rnd)
        sorted_pairs[order[0], order[1]] += 1
    for pair in {*drawn, *sorted_pairs}:
        a, b = drawn[pair], sorted_pairs[pair]
        assert abs(a - b) < 4.5 * math.sqrt(a + b + 1), pair


def test_many_draws_follow_the_weights() -> None:
    entries = tuple(Endpoint(100 + n, weight=float(n + 1)) for n in range(4))
    balancer = make_balancer(entries)
    counts: Counter[int] = Counter()
    for n in range(10_000):
        attempt = attempts(balancer.handle(START, [arrival(n)]))[0]
        balancer.handle(
            START,
            [
                ConnectionEstablished(n, 0, attempt.endpoint_id, 1),
                attempt_ended(attempt, Outcome.OK, is_final=True),
            ],
        )
        counts[attempt.endpoint_id - 100] += 1
    for n in range(4):
        assert counts[n] == pytest.approx(1000 * (n + 1), abs=200)


def test_draws_depend_on_the_seed_alone() -> None:
    def run(seed: int) -> list[int]:
        balancer = make_balancer(make_endpoints(8), seed=seed)
        return [attempts(balancer.handle(START, [arrival(n)]))[0].endpoint_id for n in range(50)]

    assert run(3) == run(3)
    assert run(3) != run(4)


# --- large endpoint lists --------------------------------------------------------------------------------


def make_large_list(count: int = 3000) -> tuple[Clock, tuple[Endpoint, ...]]:
    entries = tuple(Endpoint(endpoint_id=100 + n, zone=n % 4, weight=1.0 + n % 5) for n in range(count))
    return Clock(make_balancer(entries, reports_latency=False)), entries


def test_shares_rebuilt_in_chunks_are_those_rebuilt_at_once():
    clock, entries = make_large_list()
    clock.step(arrival(1))  # the first rebuild is not in chunks, as there are no shares yet
    changed = [replace(e, weight=e.weight + 1.0) for e in entries]
    for at in range(0, 3000, 200):
        update = EndpointUpdate(UpdateKind.SECONDARY_DELTA, 0, tuple(changed[at : at + 200]), at + 200 < 3000)
        clock.step(update)
    before = [s.share for s in clock.balancer.shares.ready]
    clock.step(arrival(2))
    assert [s.share for s in clock.balancer.shares.ready] == before  # no event waits for the whole rebuild
    clock.wait(10 * MS)
    assert not clock.balancer.shares.rebuilding
    assert not clock.balancer.shares.outdated
    expected = two_stage_shares([(e.zone, scaled_weight(e.weight)) for e in changed])
    assert [s.share for s in clock.balancer.shares.ready] == expected


def test_endpoints_that_leave_a_large_list_get_nothing_while_shares_are_rebuilt():
    """The shares of thousands of endpoints are rebuilt in chunks. Endpoints that drain meanwhile must not
    be sent attempts by the old shares.
    """
    clock, entries = make_large_list()
    clock.step(arrival(1))
    kept_ids = {e.endpoint_id for e in entries[::100]}
    draining = tuple(
        replace(e, state=EndpointState.DRAINING) for e in entries if e.endpoint_id not in kept_ids
    )
    clock.step(EndpointUpdate(UpdateKind.SECONDARY_DELTA, 0, draining, True))
    sent = [attempt.endpoint_id for n in range(2, 60) for attempt in attempts(clock.step(arrival(n)))]
    assert len(sent) == 58
    assert set(sent) <= kept_ids
    assert clock.balancer.shares.rebuilding  # the draws did not wait for the rebuild
