"""What is passed on with each datagram, and how often: each update some times the logarithm of the fleet.

It owns the queue and its budget of bytes. It must never hold an update that a later one about the same has
replaced, nor let a flood of updates keep a new one back: those passed on least go first.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import TypeAlias

from arrowseam.fleet.codec import size
from arrowseam.fleet.cordons import Cordon
from arrowseam.fleet.records import Record

TIMES = 3  # times the binary logarithm of the fleet: then all but surely all have heard

Update: TypeAlias = Record | Cordon


@dataclass
class _Item:
    update: Update
    size: int
    told: int
    order: int


class Gossip:
    def __init__(self) -> None:
        self.held: dict[tuple[str, str], _Item] = {}
        self.count = 0

    def add(self, update: Update) -> None:
        kind, name = ("m", update.name) if isinstance(update, Record) else ("c", update.server)
        self.count += 1
        self.held[kind, name] = _Item(update, size(update), 0, self.count)

    def drop(self, name: str) -> None:
        self.held.pop(("m", name), None)

    def take(self, members: int, room: int) -> tuple[list[Record], list[Cordon]]:
        """Updates for one datagram of a fleet of so many members, within ``room`` bytes."""
        if not self.held:
            return [], []
        most = TIMES * math.ceil(math.log2(members + 2))
        least = min(r.size for r in self.held.values())
        rows = heapq.nsmallest(room // least + 1, self.held.items(), key=lambda i: (i[1].told, -i[1].order))
        records: list[Record] = []
        cordons: list[Cordon] = []
        for key, item in rows:
            if item.size > room:
                continue
            room -= item.size
            item.told += 1
            if item.told >= most:
                del self.held[key]
            if isinstance(item.update, Record):
                records.append(item.update)
            else:
                cordons.append(item.update)
        return records, cordons
