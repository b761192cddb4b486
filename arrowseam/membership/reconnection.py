"""Reconnection attempts to members believed dead or ended, and to seeds where no member is known.

The sides of a partition declare each other dead and stop probing each other: without these attempts they
would stay separate after it heals. Once one member answers, state synchronisation brings the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arrowseam.membership.records import ENDED_STATES, Address, MemberRecord
from arrowseam.membership.settings import MS, SECOND

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

SEED_INTERVAL = 150 * MS  # between the requests to two seeds at the start
RETRY_SHORTEST = SECOND // 2
RETRY_LONGEST = 4 * SECOND  # while the latest loss of a member is recent
RETRY_LONGEST_LATER = 30 * SECOND
RECENT_LOSS = 600 * SECOND
RETRY_DIVISOR = 8  # the next attempt is due after the time since the latest loss, divided by this
ATTEMPTS_MAX = 4  # members without evidence per attempt, and as many others
FULL_RATE_MEMBERS = 16  # in a larger cluster each member tries less often: one success serves all members


class Reconnection:
    """Opens streams to inactive members, less often the longer ago the latest one was lost."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self._seeds: list[Address] = []  # at the start: seeds not asked yet
        self._last_loss_at = 0
        self._due: int | None = None

    # --- at the start ---

    def start(self) -> None:
        """Request the state of the seeds one by one, so that each is asked only for what is still missing."""
        own_address = self.members.me.address
        self._seeds = [seed for seed in self.context.settings.seeds if seed != own_address]
        self.context.random.shuffle(self._seeds)
        self._ask_next_seed()

    def _ask_next_seed(self) -> None:
        if self._seeds:
            self.view.state_sync.request(self._seeds.pop())
            if self._seeds:
                self.context.timers.schedule(self.context.now + SEED_INTERVAL, self._ask_next_seed)

    # --- afterwards ---

    def on_member_lost(self) -> None:
        """Schedule an attempt after a member died, ended or left."""
        self._last_loss_at = self.context.now
        self.schedule(RETRY_SHORTEST)

    def schedule(self, delay: int) -> None:
        """Schedule an attempt after about ``delay`` microseconds, unless an earlier one is scheduled."""
        at = self.context.now + int(delay * (0.75 + 0.5 * self.context.random.random()))
        if self._due is None or at < self._due:
            self._due = at
            self.context.timers.schedule(at, self._on_timer, at)

    def _on_timer(self, at: int) -> None:
        if at == self._due:
            self._due = None
            self.attempt()

    def attempt(self) -> None:
        """Remove members that ended long ago, then try to reach some of the other inactive ones."""
        self._drop_expired()
        if self.context.leaving:
            return
        # Including members that left: one may have restarted after all of its seeds have ended.
        inactive = [r for r in self.members.records.values() if not r.is_active]
        seeds = self._unreached_seeds()
        if not inactive and not seeds:
            return
        self._try_without_evidence(inactive)
        self._try_others(seeds)
        age = self.context.now - self._last_loss_at
        longest = RETRY_LONGEST if age < RECENT_LOSS else RETRY_LONGEST_LATER
        self.schedule(min(longest, max(RETRY_SHORTEST, age // RETRY_DIVISOR)))

    def _unreached_seeds(self) -> list[Address]:
        reached = self.members.active_addresses()
        if self.members.ring.names or self.view.evidence.configured_count == 1:
            # A member that is alone in its zone also asks these: they may know other members of it.
            reached |= self.view.bridges.foreign_seeds
        return [seed for seed in self.context.settings.seeds if seed not in reached]

    def _try_without_evidence(self, inactive: list[MemberRecord]) -> None:
        """Probe members without evidence of their end: until there is some, they take a budget share."""
        rnd, counted_out = self.context.random, self.view.evidence.counted_out
        candidates = [record for record in inactive if record.name not in counted_out]
        probability = min(1.0, FULL_RATE_MEMBERS / (self.members.active_count or 1))
        for record in rnd.sample(candidates, min(ATTEMPTS_MAX, len(candidates))):
            # For members that others report as ended we need first-hand evidence, which only we can obtain.
            if record.state in ENDED_STATES or rnd.random() < probability:
                self.view.streams.probe(record)
                # If everything the member sends is lost but it can receive, nobody else sends to it: it would
                # keep outdated cordons and believe all zones silent.
                self.view.dissemination.send_cordons(record)

    def _try_others(self, seeds: list[Address]) -> None:
        counted_out = sorted(self.view.evidence.counted_out)
        others: list[MemberRecord | Address] = [*(self.members.records[n] for n in counted_out), *seeds]
        for other in self.context.random.sample(others, min(ATTEMPTS_MAX, len(others))):
            self.view.streams.probe(other)

    def _drop_expired(self) -> None:
        """Remove members that ended long ago, but keep at least as many known as are configured.

        A member that is kept is known to have ended; a configured member that is unknown would take a share.
        """
        surplus = self.members.known_count - self.view.evidence.configured_count
        ttl = self.context.settings.tombstone_ttl
        for name, record in list(self.members.records.items()):
            if surplus <= 0:
                return
            age = self.context.now - self.members.state_since[name]
            if record.state in ENDED_STATES and age >= ttl:
                surplus -= 1
                self.view.updates.drop(name)
