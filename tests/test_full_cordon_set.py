"""A full cordon set: a cordon or halt that cannot be replicated is not acknowledged."""

from __future__ import annotations

from network import ProxyNetwork

from arrowseam.membership.cordons import CORDONS_MAX, MARK_PREFIX, MARKS_RESERVED, Cordon, CordonSet
from arrowseam.rollouts.runtime import NO_ROOM_FOR_HALT, RolloutRuntime

HALT_MARK = f"{MARK_PREFIX}release-1"


def full_set() -> CordonSet:
    cordons = CordonSet()
    while cordons.has_room_for(f"e{len(cordons.by_endpoint)}"):
        assert cordons.set_locally(f"e{len(cordons.by_endpoint)}", True, "m1", 1_000) is not None
    return cordons


class FullMembership:
    """A stand-in for the membership as control and rollouts use it; ``replicated`` records its cordons."""

    def __init__(self) -> None:
        self.cordons, self.replicated = full_set(), []

    def can_cordon(self, endpoint: str) -> bool:
        return self.cordons.has_room_for(endpoint)

    def set_cordon(self, endpoint: str, cordoned: bool) -> None:
        self.replicated.append((endpoint, cordoned))


def test_a_full_set_accepts_halt_marks_and_updates_of_known_entries() -> None:
    cordons = full_set()
    assert len(cordons.by_endpoint) == CORDONS_MAX - MARKS_RESERVED
    assert cordons.set_locally("one more", True, "m1", 2_000) is None
    assert cordons.set_locally("e0", False, "m1", 2_000) is not None
    for n in range(MARKS_RESERVED):
        assert cordons.set_locally(f"{MARK_PREFIX}release-{n}", True, "m1", 2_000) is not None
    assert not cordons.has_room_for(f"{MARK_PREFIX}release-{MARKS_RESERVED}")
    assert cordons.merge(Cordon("of another", 3_000, "m2")) is None


def test_control_answers_nak_to_a_cordon_that_would_not_be_replicated() -> None:
    """With 4,096 cordons in the set, one more was answered ACK but took effect on this proxy only."""
    world = ProxyNetwork("lines", "up")
    world.proxy.control.membership = membership = FullMembership()
    assert world.control(b"cordon s0\n") == b"NAK too many cordons are known in the cluster\n"
    assert not world.driver.cordoned
    assert membership.replicated == []
    membership.cordons = CordonSet()
    assert world.control(b"cordon s0\n") == b"ACK\n"
    assert membership.replicated == [("s0", True)]
    world.close()


def test_a_halt_that_cannot_be_announced_is_rejected() -> None:
    """A halt was answered ACK although the full set had not accepted its mark."""
    runtime = RolloutRuntime.__new__(RolloutRuntime)
    runtime.agent, runtime.membership = object(), FullMembership()
    for n in range(MARKS_RESERVED):
        runtime.membership.cordons.set_locally(f"{MARK_PREFIX}other-{n}", True, "m1", 2_000)
    assert not runtime.membership.can_cordon(HALT_MARK)
    assert runtime.announce_halt(1) == NO_ROOM_FOR_HALT
