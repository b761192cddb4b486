"""What is harmless in one relay and harmful in forty: the sum over all of them is asserted."""

from __future__ import annotations

from dataclasses import replace

from fleet import Fleet
from helpers import SECOND, backends

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
