"""Merges several sources of endpoints into one list: which source wins, and how an endpoint is removed.

The rules do no I/O and read no clock: every time is an argument, in microseconds. A source's report takes
effect completely and at once; the changes that result are taken in batches (``take_changes``), those of
departing endpoints first.

* Each field of an endpoint comes from the source of the highest rank that states it; of equal ranks, from the
  one configured first. ``precedence.py`` has the rules for starts and drains.
* An endpoint stays as long as any source names it, but drains if one of them has withdrawn it
  (``Source.withdraw``), until that source lists it again, the discovery service newly lists it as ready, or
  it has been removed completely. One that no file names any more is kept for ``settle``,
  since it may be moving from one file to another; then it drains for ``drain`` and until it has no
  connections, then it is removed. An endpoint that only the discovery service named is removed as soon as
  the service drops it.
* One address under two names counts once: for the source of higher rank, else for the name that had it.
  Another source's records of it under another name are of the same machine: they are merged as well.
* A source that is no longer configured stays until all new ones have reported a valid list.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from arrowseam.endpoint_sources.precedence import merge_records
from arrowseam.endpoint_sources.records import DRAINING, READY, REMOVED, EndpointRecord
from arrowseam.endpoint_sources.source_state import DISCOVERY_SOURCE, Origin, Source, SourceSettings

CONNECTIONS_CHECK_INTERVAL = 250_000  # between checks of a drained endpoint that still has connections
UNLIMITED = 1 << 60


@dataclass(slots=True)
class Departure:
    """The removal of an endpoint that no source names any more; ``removed_at`` is 0 until it drains."""

    settled_at: int
    drain: int
    removed_at: int = 0


class Winner(NamedTuple):
    """The source of highest rank that names an endpoint, and the merged record of all that name it."""

    source: Source
    record: EndpointRecord


class ShownEndpoint(NamedTuple):
    """An endpoint as control shows it; ``state`` is ready, draining, withdrawn, settling or leaving."""

    record: EndpointRecord
    state: str
    sources: tuple[str, ...]
    since: int


def _never_has_connections(_name: str) -> bool:
    return False


def _is_newly_ready(previous: EndpointRecord | None, record: EndpointRecord) -> bool:
    """Whether a record says that an endpoint has become ready, or has started again."""
    if record.state != READY:
        return False
    return previous is None or previous.state != READY or record.started_at_ms > previous.started_at_ms


class MergedEndpointList:
    """The merged list, and which part of it has been published.

    Attributes:
        sources: sources by name.
        published: endpoints as last published to the balancer.
        published_since: when the state of each endpoint last changed.
        departures: endpoints that no source names any more.
        retiring: sources that are no longer configured, but stay until the new ones have reported.
        has_connections: tells whether an endpoint has established connections.
    """

    def __init__(self) -> None:
        self.sources: dict[str, Source] = {}
        self.published: dict[str, EndpointRecord] = {}
        self.published_since: dict[str, int] = {}
        self.departures: dict[str, Departure] = {}
        self.retiring: set[str] = set()
        self.has_connections: Callable[[str], bool] = _never_has_connections
        self._ranked: list[Source] = []  # highest first
        self._awaited: set[str] = set()  # configured sources without a valid list yet
        self._winners: dict[str, Winner] = {}
        self._claims: dict[str, dict[str, None]] = {}  # address -> endpoints that have it
        # Endpoints to evaluate: those that may leave, then the others. Dictionaries serve as ordered sets.
        self._urgent: dict[str, None] = {}
        self._pending: dict[str, None] = {}
        self._timers: list[tuple[int, str]] = []  # heap of due times and endpoints
        self._to_republish: set[str] = set()  # published again even if unchanged
        self._unpublished: dict[str, str] = {}  # evaluated and not published: names with their address

    # --- the sources ---

    def configure(self, all_settings: Iterable[SourceSettings]) -> list[str]:
        """Set the sources; returns the names of new ones."""
        configured = {settings.name: settings for settings in all_settings}
        new = [name for name in configured if name not in self.sources]
        for order, (name, settings) in enumerate(configured.items()):
            source = self.sources.get(name)
            if source is None:
                self.sources[name] = source = Source(settings)
                self._awaited.add(name)
            elif source.settings != settings or source.order != order:
                self._pending.update(dict.fromkeys(source.records))
            source.settings, source.order = settings, order
            self.retiring.discard(name)
        for name, source in self.sources.items():
            if name not in configured:
                source.order = len(configured)
                self.retiring.add(name)
        self._sort_by_rank()
        self._retire()
        return new

    def _sort_by_rank(self) -> None:
        self._ranked = sorted(self.sources.values(), key=lambda source: source.rank, reverse=True)

    def _retire(self) -> None:
        if self.retiring and not self._awaited & (self.sources.keys() - self.retiring):
            for name in self.retiring:
                source = self.sources.pop(name)
                self._urgent.update(dict.fromkeys(source.records))
                for withdrawn, address in source.withdrawals:
                    self._pending.update(self._claims.get(address, {}))
                    self._pending[withdrawn] = None
                self._awaited.discard(name)
            self.retiring.clear()
            self._sort_by_rank()

    def is_retired(self, name: str) -> bool:
        """Whether the source is neither configured nor retiring."""
        return name not in self.sources

    def report_change(
        self,
        name: str,
        changed: Mapping[str, EndpointRecord],
        removed: Sequence[str],
        now: int,
        generation: int | None = None,
        taken_at_ms: int = 0,
        origin: Origin = Origin.FILE,
    ) -> None:
        """Apply a source's valid report, given as the differences from its last list."""
        source = self.sources[name]
        for removed_name in removed:
            record = source.records.pop(removed_name, None)
            if record is not None:
                self._withdraw(source, record)
        for record in changed.values():
            self._lift_withdrawals(source, record)
            if record.state != READY:
                self._urgent[record.name] = None
        source.records.update(changed)
        self._pending.update(dict.fromkeys(changed))
        if generation is not None:
            source.generation = generation
        source.reported_at, source.taken_at_ms, source.origin = now, taken_at_ms, origin
        source.rejected_at, source.rejection = None, ("", "")
        source.taken_count += origin in (Origin.FILE, Origin.DISCOVERY)
        self._awaited.discard(name)
        self._retire()

    def _withdraw(self, source: Source, record: EndpointRecord) -> None:
        source.withdraw(record)
        self._evaluate_machine(record.name, record.address, self._urgent)
        # The last one added is evaluated first.
        self._urgent.pop(record.name, None)
        self._urgent[record.name] = None

    def _evaluate_machine(self, name: str, address: str, queue: dict[str, None]) -> None:
        """Evaluate all names of a machine that a source knows by this name and address."""
        queue.update(self._claims.get(address, {}))
        winner = self._winners.get(name)
        if winner is not None and winner.record.address != address:
            queue.update(self._claims.get(winner.record.address, {}))

    def _lift_withdrawals(self, source: Source, record: EndpointRecord) -> None:
        """Lift the withdrawals that a record of a source ends: its own, and for discovery's news any."""
        lifted = source.withdrawals.lift((record.name, *self._replaced_names(source, record.address)))
        # The first list of a process is no news: the previous process may have had it.
        is_later_list = source.settings.name == DISCOVERY_SOURCE and source.reported_at is not None
        if is_later_list and _is_newly_ready(source.records.get(record.name), record):
            for other in self.sources.values():
                lifted += other.withdrawals.lift((record.name, *other.withdrawals.names_at(record.address)))
        for name, address in lifted:
            self._evaluate_machine(name, address, self._pending)
            if name != record.name:  # which is evaluated anyway, and first
                self._pending[name] = None
        if source.withdrawals:  # a record of another name at the address suspends them
            self._evaluate_machine(record.name, record.address, self._pending)

    def _replaced_names(self, source: Source, address: str) -> Iterable[str]:
        """Return the withdrawn names of a machine that no source uses any more."""
        return [name for name in source.withdrawals.names_at(address) if not self.sources_of(name)]

    def report_list(
        self,
        name: str,
        records: Iterable[EndpointRecord],
        now: int,
        generation: int | None = None,
        taken_at_ms: int = 0,
        origin: Origin = Origin.FILE,
    ) -> None:
        """Apply a source's valid report, given as a complete list."""
        current = self.sources[name].records
        new = {record.name: record for record in records}
        changed = {key: record for key, record in new.items() if current.get(key) != record}
        removed = [key for key in current if key not in new]
        self.report_change(name, changed, removed, now, generation, taken_at_ms, origin)

    def report_rejection(self, name: str, reason: str, text: str, now: int) -> None:
        """Record that a source's report was rejected; its last list stays in force."""
        source = self.sources[name]
        source.rejected_at, source.rejection = now, (reason, text)
        source.rejections[reason] += 1

    def republish_all(self) -> None:
        """Publish all endpoints again: positions of zones or machine types have changed."""
        self._pending.update(dict.fromkeys(self.published))
        self._to_republish.update(self.published)

    # --- the merged list ---

    def take_changes(self, now: int, limit: int = UNLIMITED) -> list[EndpointRecord]:
        """Evaluate at most ``limit`` endpoints, departing ones first; returns the records to publish now."""
        while self._timers and self._timers[0][0] <= now:
            self._urgent[heapq.heappop(self._timers)[1]] = None
        changes = []
        while limit > 0 and (queue := self._urgent or self._pending):
            limit -= 1
            record = self._evaluate(queue.popitem()[0], now)
            if record is not None:
                changes.append(record)
        if self._unpublished and not self.has_changes:
            self._forget_withdrawals()
        return changes

    @property
    def has_changes(self) -> bool:
        """Whether endpoints are waiting to be evaluated."""
        return bool(self._urgent or self._pending)

    def next_change_at(self) -> int | None:
        """When an endpoint is due even if no source reports anything; None = no such time."""
        return self._timers[0][0] if self._timers else None

    def _evaluate(self, name: str, now: int) -> EndpointRecord | None:
        """Return the record to publish of one endpoint; None = nothing to publish."""
        merged = self._merge(name)
        published = self.published.get(name)
        if merged is not None:
            self.departures.pop(name, None)
            if merged == published and name not in self._to_republish:
                return None
            self._to_republish.discard(name)
            if published is None or published.state != merged.state:
                self.published_since[name] = now
            self.published[name] = merged
            return merged
        if published is None:
            address = self._winners[name].record.address if name in self._winners else ""
            self._forget(name, address)
            return None
        return self._depart(name, published, now)

    def _merge(self, name: str) -> EndpointRecord | None:
        """Merge an endpoint's records; None if no source names it, or another endpoint owns its address."""
        previous = self._winners.get(name)
        winner = self._find_winner(name)
        if previous is not None and (winner is None or previous.record.address != winner.record.address):
            self._release_address(name, previous.record.address)
        if winner is None:
            return None
        self._winners[name] = winner
        if not winner.record.address:
            return self._with_withdrawals(winner.record, (name,))
        claims = self._claims.setdefault(winner.record.address, {})
        claims[name] = None
        if len(claims) == 1:
            return self._with_withdrawals(winner.record, (name,))
        claimants = sorted(claims, key=self._claim_priority, reverse=True)
        if claimants[0] != name:
            self._notify_owner(claimants[0], winner, previous)
            return None
        self._notify_losers(claimants[1:])
        others = [self._winners[claimant] for claimant in claimants[1:]]
        # A source that lists two names at one address means two incarnations, not one machine.
        same_machine = [other.record for other in others if other.source is not winner.source]
        return self._with_withdrawals(merge_records([winner.record, *same_machine]), claimants)

    def _with_withdrawals(self, merged: EndpointRecord, names: Sequence[str]) -> EndpointRecord:
        """Return the record of a machine with these names as draining if a source has withdrawn it."""
        if merged.state == READY and self._is_withdrawn(names, merged.address):
            return merged._replace(state=DRAINING)
        return merged

    def _names_of_machine(self, record: EndpointRecord) -> Sequence[str]:
        return [record.name, *self._claims.get(record.address, ())]

    def _is_withdrawn(self, names: Sequence[str], address: str) -> bool:
        return any(source.has_withdrawn(names, address) for source in self._ranked if source.withdrawals)

    def _find_winner(self, name: str) -> Winner | None:
        naming = [source for source in self._ranked if name in source.records]
        if not naming:
            return None
        return Winner(naming[0], merge_records([source.records[name] for source in naming]))

    def _release_address(self, name: str, address: str) -> None:
        """Remove a claim on an address, and evaluate the other claimants: one of them may own it now."""
        claims = self._claims.get(address)
        if claims is not None:
            claims.pop(name, None)
            self._pending.update(claims)
            if not claims:
                del self._claims[address]

    def _claim_priority(self, claimant: str) -> tuple[tuple[int, int], bool, str]:
        """The sort key by which one of the names of an address owns it; the highest does.

        Otherwise one machine under two names would get two shares of the load.
        """
        winner, published = self._winners[claimant], self.published.get(claimant)
        had_address = published is not None and published.address == winner.record.address
        return winner.source.rank, had_address, claimant

    def _notify_owner(self, owner: str, winner: Winner, previous: Winner | None) -> None:
        """Evaluate the owner of an address if it has just become so, or another name's record has changed."""
        is_unchanged = (
            previous is not None
            and previous.source is winner.source
            and previous.record == winner.record
            and owner in self.published
            and owner not in self.departures
        )
        if not is_unchanged:
            (self._pending if winner.record.state == READY else self._urgent)[owner] = None

    def _notify_losers(self, claimants: Iterable[str]) -> None:
        """Evaluate published endpoints whose address another one owns: they leave."""
        for claimant in claimants:
            if claimant in self.published and claimant not in self.departures:
                self._urgent[claimant] = None

    def _depart(self, name: str, published: EndpointRecord, now: int) -> EndpointRecord | None:
        """Take the next step of an endpoint that leaves: settle, drain, remove."""
        departure = self.departures.get(name)
        if departure is None:
            winner = self._winners.get(name)
            settings = winner.source.settings if winner is not None else SourceSettings(DISCOVERY_SOURCE)
            if not settings.drain:
                return self._remove(name, published)
            # One that was withdrawn does not move from one file to another.
            settle = 0 if self._is_withdrawn((name,), published.address) else settings.settle
            departure = self.departures[name] = Departure(now + settle, settings.drain)
        if not departure.removed_at:
            return self._drain(name, published, departure, now)
        if now < departure.removed_at:
            return None
        if self.has_connections(name):
            # Its connections are still being migrated, which would stop if it were removed.
            departure.removed_at = now + CONNECTIONS_CHECK_INTERVAL
            heapq.heappush(self._timers, (departure.removed_at, name))
            return None
        return self._remove(name, published)

    def _drain(
        self, name: str, published: EndpointRecord, departure: Departure, now: int
    ) -> EndpointRecord | None:
        if now < departure.settled_at:
            heapq.heappush(self._timers, (departure.settled_at, name))
            return None
        departure.removed_at = now + departure.drain
        heapq.heappush(self._timers, (departure.removed_at, name))
        if published.state == DRAINING:
            return None
        self.published[name] = published._replace(state=DRAINING)
        self.published_since[name] = now
        return self.published[name]

    def _forget(self, name: str, address: str) -> None:
        """Forget its winner, unless a source still names it and it has only lost its address."""
        if not self.sources_of(name):
            self._winners.pop(name, None)
        self._unpublished[name] = address

    def _forget_withdrawals(self) -> None:
        """Forget withdrawals of machines that no other source names and that are not published any more."""
        departing = {self.published[name].address for name in self.departures if name in self.published}
        for source in self._ranked:
            for name, address in self._unpublished.items():
                for withdrawn in (name, *source.withdrawals.names_at(address)):
                    address_used = source.withdrawals.address_of(withdrawn)
                    if address_used in departing or address_used in self._claims:
                        continue
                    if withdrawn not in self.published and not self.sources_of(withdrawn):
                        source.withdrawals.discard(withdrawn)
        self._unpublished.clear()

    def _remove(self, name: str, published: EndpointRecord) -> EndpointRecord:
        self.departures.pop(name, None)
        self.published_since.pop(name, None)
        del self.published[name]
        self._forget(name, published.address)
        return published._replace(state=REMOVED)

    # --- control and hot restart ---

    def sources_of(self, endpoint: str) -> tuple[str, ...]:
        """Return the sources that name an endpoint, the winning one first."""
        return tuple(source.settings.name for source in self._ranked if endpoint in source.records)

    def show(self, endpoint: str) -> ShownEndpoint:
        """Return a published endpoint as control shows it."""
        record = self.published[endpoint]
        departure = self.departures.get(endpoint)
        state = "ready" if record.state == READY else "draining"
        if record.state != READY and self._is_withdrawn(self._names_of_machine(record), record.address):
            state = "withdrawn"
        if departure is not None:
            state = "leaving" if departure.removed_at else "settling"
        return ShownEndpoint(record, state, self.sources_of(endpoint), self.published_since[endpoint])

    def export_state(self, now: int) -> dict[str, Any]:
        """Return the state that the next process takes over at a hot restart; times are relative to now."""
        state: dict[str, Any] = {
            "sources": {
                name: {
                    "members": [list(record.to_transfer()) for record in source.records.values()],
                    "generation": source.generation,
                    "good_ms": source.taken_at_ms,
                }
                for name, source in self.sources.items()
                if source.reported_at is not None and name != DISCOVERY_SOURCE
            },
            "leaving": [
                [list(self.published[name].to_transfer()), max(0, departure.removed_at - now)]
                for name, departure in self.departures.items()
                if departure.removed_at and name in self.published
            ],
        }
        withdrawn = {
            name: list(source.withdrawals) for name, source in self.sources.items() if source.withdrawals
        }
        if withdrawn:  # a key that earlier versions do not have, and pass over
            state["withdrawn"] = withdrawn
        return state

    def import_state(self, state: dict[str, Any], now: int) -> None:
        """Take over the state of the previous process; raises KeyError, TypeError or ValueError."""
        for name, exported in state["sources"].items():
            if name in self.sources and self.sources[name].reported_at is None:
                records = [EndpointRecord.from_transfer(row) for row in exported["members"]]
                generation, taken_at_ms = exported["generation"], int(exported["good_ms"])
                self.report_list(name, records, now, generation, taken_at_ms, Origin.HANDOVER)
        for name, withdrawn in state.get("withdrawn", {}).items():  # an earlier version has none
            if name in self.sources:
                self._import_withdrawals(self.sources[name], withdrawn)
        for row, drain in state["leaving"]:
            record = EndpointRecord.from_transfer(row)
            if record.name not in self.published:
                self.published[record.name] = record._replace(state=READY)
                self.published_since[record.name] = now
                self.departures[record.name] = Departure(now, int(drain))
                self._urgent[record.name] = None

    def _import_withdrawals(self, source: Source, withdrawn: Iterable[Sequence[str]]) -> None:
        for name, address in withdrawn:
            if name not in source.records:
                source.withdrawals.add(str(name), str(address))
                self._pending[str(name)] = None
