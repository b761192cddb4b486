"""What is harmless in one relay and harmful in forty: the sum over all of them is asserted."""

from __future__ import annotations

from dataclasses import replace

from fleet import Fleet
from helpers import SECOND, START, backends, relay

from arrowseam import api

RELAYS = 40


def test_a_draining_backend_is_not_left_by_all_relays_at_once() -> None:
    """Each holds one or two there: one at least from each, each second, was nearly all in the first."""
    fleet = Fleet(RELAYS, backends(60), tells_delay=False)
    for n in range(RELAYS):
        fleet.adopt(n, 100)
    drains = replace(backends(1)[0], state=api.BackendState.DRAINING)
    fleet.told(api.BackendList(api.ListKind.CHANGES, 2, (drains,)))
    fleet.run(SECOND)
    assert fleet.moved[100] <= 0.25 * RELAYS
    fleet.run(2 * SECOND)
    assert 1 <= fleet.moved[100] <= 0.6 * RELAYS
    fleet.run(17 * SECOND)
    assert fleet.moved[100] == RELAYS  # the last ones do not hang on by chance


def test_who_comes_again_keeps_groups_together_over_all_relays() -> None:
    """Each relay has one or two of a group: placed anywhere, in sum every server pays for every group."""
    pairs = {}
    for again in (False, True):
        fleet = Fleet(RELAYS, backends(60), tells_delay=False, groups=True)
        groups = {}
        for n in range(RELAYS):
            for group in range(1, 11):
                fleet.ask(n, group=group * 7919, returned=again)
                groups[n, fleet.count] = group
        assert len(fleet.standing) == 10 * RELAYS
        pairs[again] = len({(groups[key], backend) for key, backend in fleet.standing.items()})
    assert pairs[False] > 250  # the ordinary path draws each anew
    assert pairs[True] < 0.6 * pairs[False]


def test_a_relay_that_starts_during_a_release_knows_that_the_fleet_is_short() -> None:
    """It has never seen the fleet whole, and took half of it for all: each server seemed to carry twice."""
    drains = tuple(replace(b, state=api.BackendState.DRAINING) for b in backends(12)[:5])
    stays = backends(12)[5:]
    quotas = (api.Tenant(share=1.0, connections=100.0),)
    late = relay(drains + stays, tells_delay=False, groups=True, tenants=quotas)
    late.handle(START + SECOND, [])
    assert late.scarce
    assert late.listed == sum(late.servers[b.backend].listed for b in backends(12))
    whole = relay(stays, tells_delay=False, groups=True, tenants=quotas)
    whole.handle(START + SECOND, [])
    assert not whole.scarce
