"""The gossip queue: each update is sent a number of times proportional to the logarithm of the cluster size.

An update replaces an earlier one about the same subject. Updates with the fewest transmissions go first, the
newest of them before the others, so that a flood of updates does not delay a new one. The cost of selecting
updates depends on the number selected, not on the length of the queue.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TypeAlias

import msgspec

from arrowseam.membership.codec import ZoneSummary, encoded_size
from arrowseam.membership.cordons import Cordon
from arrowseam.membership.records import MemberRecord

TRANSMISSIONS_FACTOR = 3  # times log2 of the members: enough to reach all of them with near certainty
MISSES_MAX = 4  # updates too large for the remaining room, after which a datagram counts as full

Update: TypeAlias = MemberRecord | Cordon | ZoneSummary
Key: TypeAlias = tuple[str, str]


class _QueuedUpdate(msgspec.Struct):
    update: Update
    size: int
    transmissions: int


class GossipQueue:
    """Updates by subject, and subjects by the number of transmissions."""

    def __init__(self) -> None:
        self.queued: dict[Key, _QueuedUpdate] = {}
        self._levels: list[dict[Key, None]] = [{}]  # index: transmissions so far; the newest last

    def add(self, update: Update) -> None:
        """Queue an update in place of any earlier one about the same subject."""
        if isinstance(update, MemberRecord):
            key = "m", update.name
        elif isinstance(update, Cordon):
            key = "c", update.endpoint
        else:
            key = "z", update.zone
        self._remove(key)
        self.queued[key] = _QueuedUpdate(update, encoded_size(update), 0)
        self._levels[0][key] = None

    def remove_member(self, name: str) -> None:
        """Remove the update about a member."""
        self._remove(("m", name))

    def _remove(self, key: Key) -> None:
        item = self.queued.pop(key, None)
        if item is not None:
            del self._levels[item.transmissions][key]

    def _in_order(self) -> Iterator[Key]:
        for level in self._levels:
            yield from reversed(level)

    def _choose(self, room: int) -> list[Key]:
        chosen: list[Key] = []
        misses = 0
        for key in self._in_order():
            item = self.queued[key]
            if item.size > room:
                misses += 1
                if misses >= MISSES_MAX:
                    break
                continue
            room -= item.size
            chosen.append(key)
        return chosen

    def take(self, members: int, room: int) -> tuple[list[MemberRecord], list[Cordon], list[ZoneSummary]]:
        """Return updates for one datagram, ``room`` bytes at most; ``members``: size of the cluster."""
        limit = TRANSMISSIONS_FACTOR * math.ceil(math.log2(members + 2))
        records: list[MemberRecord] = []
        cordons: list[Cordon] = []
        summaries: list[ZoneSummary] = []
        for key in self._choose(room):
            update = self.queued[key].update
            self._count_transmission(key, limit)
            if isinstance(update, MemberRecord):
                records.append(update)
            elif isinstance(update, Cordon):
                cordons.append(update)
            else:
                summaries.append(update)
        return records, cordons, summaries

    def _count_transmission(self, key: Key, limit: int) -> None:
        item = self.queued[key]
        del self._levels[item.transmissions][key]
        item.transmissions += 1
        if item.transmissions >= limit:
            del self.queued[key]
            return
        while len(self._levels) <= item.transmissions:
            self._levels.append({})
        self._levels[item.transmissions][key] = None
