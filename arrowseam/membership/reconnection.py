"""Attempts to reach members that are held for dead or ended, and seeds at which nobody was met.

Two halves of a partition hold each other for dead and stop probing each other: without these attempts they
would stay apart after its end. One member that answers brings the rest by state synchronisation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arrowseam.membership.records import ENDED_STATES, Address, MemberRecord
from arrowseam.membership.settings import MS, SECOND

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

SEED_GAP = 150 * MS  # between two seeds at the start
RETRY_SHORTEST = SECOND // 2
RETRY_LONGEST = 4 * SECOND  # while the latest loss is young
RETRY_LONGEST_LATER = 30 * SECOND
LOSS_YOUNG = 600 * SECOND
RETRY_PART = 8  # the next attempt is due after this part of the time since the latest loss
ATTEMPTS = 4  # members without evidence, and as many others, at a time
CROWD = 16  # in a larger cluster each member tries less: one that finds somebody does so for all


class Reconnection:
    """Opens streams to members that take no part, less often the longer ago they were lost."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self._seeds: list[Address] = []  # not asked yet, at the start
        self._last_loss_at = 0
        self._due: int | None = None

    # --- the start ---

    def start(self) -> None:
        """Ask the seeds for their state, one after the other: the next is asked for what is still unknown."""
        own_address = self.members.me.address
        self._seeds = [seed for seed in self.context.settings.seeds if seed != own_address]
        self.context.random.shuffle(self._seeds)
        self._ask_next_seed()

    def _ask_next_seed(self) -> None:
        if self._seeds:
            self.view.state_sync.request(self._seeds.pop())
            if self._seeds:
                self.context.timers.schedule(self.context.now + SEED_GAP, self._ask_next_seed)

    # --- later ---

    def on_member_lost(self) -> None:
        """A member is dead, ended or left."""
        self._last_loss_at = self.context.now
        self.schedule(RETRY_SHORTEST)

    def schedule(self, delay: int) -> None:
        """Try again after about ``delay`` microseconds, unless an earlier attempt is due."""
        at = self.context.now + int(delay * (0.75 + 0.5 * self.context.random.random()))
        if self._due is None or at < self._due:
            self._due = at
            self.context.timers.schedule(at, self._on_timer, at)

    def _on_timer(self, at: int) -> None:
        if at == self._due:
            self._due = None
            self.attempt()

    def attempt(self) -> None:
        """Drop members that ended long ago, then try to reach some of the others."""
        self._drop_expired()
        if self.context.leaving:
            return
        # Also who has left: it may have started again where all of its own seeds are gone.
        inactive = [r for r in self.members.records.values() if not r.is_active]
        seeds = self._unmet_seeds()
        if not inactive and not seeds:
            return
        self._try_unproven(inactive)
        self._try_others(seeds)
        age = self.context.now - self._last_loss_at
        longest = RETRY_LONGEST if age < LOSS_YOUNG else RETRY_LONGEST_LATER
        self.schedule(min(longest, max(RETRY_SHORTEST, age // RETRY_PART)))

    def _unmet_seeds(self) -> list[Address]:
        met = self.members.active_addresses()
        if self.members.ring.names or self.view.evidence.configured == 1:
            # Who is alone in its zone asks these too: they may know others of it.
            met |= self.view.bridges.foreign_seeds
        return [seed for seed in self.context.settings.seeds if seed not in met]

    def _try_unproven(self, inactive: list[MemberRecord]) -> None:
        """Those without evidence of their end first: they take a share of the budgets until there is some."""
        rnd, counted_out = self.context.random, self.view.evidence.counted_out
        unproven = [record for record in inactive if record.name not in counted_out]
        probability = min(1.0, CROWD / (self.members.active_count or 1))
        for record in rnd.sample(unproven, min(ATTEMPTS, len(unproven))):
            # Of those that others hold for ended we want evidence of our own, which nobody else brings.
            if record.state in ENDED_STATES or rnd.random() < probability:
                self.view.streams.probe(record)
                # If all that it sends is lost and it receives, nobody else sends to it: it would serve by old
                # cordons, and hold all zones silent.
                self.view.dissemination.send_cordons(record)

    def _try_others(self, seeds: list[Address]) -> None:
        counted_out = sorted(self.view.evidence.counted_out)
        others: list[MemberRecord | Address] = [*(self.members.records[n] for n in counted_out), *seeds]
        for other in self.context.random.sample(others, min(ATTEMPTS, len(others))):
            self.view.streams.probe(other)

    def _drop_expired(self) -> None:
        """Forget members that ended long ago, but never so many that fewer are known than configured.

        Those that stay are known to have ended; a name that is configured and unknown takes a share.
        """
        surplus = self.members.known_count - self.view.evidence.configured
        ttl = self.context.settings.tombstone_ttl
        for name, record in list(self.members.records.items()):
            if surplus <= 0:
                return
            age = self.context.now - self.members.state_since[name]
            if record.state in ENDED_STATES and age >= ttl:
                surplus -= 1
                self.view.updates.drop(name)
