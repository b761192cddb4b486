"""What is passed on with each datagram, and how often: each word some times the logarithm of the fleet.

It owns the queue and its budget of bytes. It must never hold a word that a later one about the same has
replaced, nor let a flood of words keep a new one back: those passed on least go first.
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

Word: TypeAlias = Record | Cordon


@dataclass
class _Rumour:
    word: Word
    size: int
    told: int
    order: int


class Rumours:
    def __init__(self) -> None:
        self.held: dict[tuple[str, str], _Rumour] = {}
        self.count = 0

    def add(self, word: Word) -> None:
        kind, name = ("m", word.name) if isinstance(word, Record) else ("c", word.server)
        self.count += 1
        self.held[kind, name] = _Rumour(word, size(word), 0, self.count)

    def drop(self, name: str) -> None:
        self.held.pop(("m", name), None)

    def take(self, members: int, room: int) -> tuple[list[Record], list[Cordon]]:
        """Words for one datagram of a fleet of so many members, within ``room`` bytes."""
        if not self.held:
            return [], []
        most = TIMES * math.ceil(math.log2(members + 2))
        least = min(r.size for r in self.held.values())
        rows = heapq.nsmallest(room // least + 1, self.held.items(), key=lambda i: (i[1].told, -i[1].order))
        records: list[Record] = []
        cordons: list[Cordon] = []
        for key, rumour in rows:
            if rumour.size > room:
                continue
            room -= rumour.size
            rumour.told += 1
            if rumour.told >= most:
                del self.held[key]
            if isinstance(rumour.word, Record):
                records.append(rumour.word)
            else:
                cordons.append(rumour.word)
        return records, cordons
