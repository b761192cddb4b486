"""Anti-entropy: two views that differ exchange the records of the buckets in which they differ.

The requester sends its bucket digests, the responder returns the records of the buckets that differ, and the
requester pushes back the records that the response lacked. A member whose traffic budget is used up names
others to ask. Versions without buckets send and receive whole views.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypedDict

from arrowseam.membership import codec
from arrowseam.membership.codec import Datagram, MessageKind, StateSync, SyncPart, ZoneSummary
from arrowseam.membership.context import NEVER
from arrowseam.membership.cordons import Cordon
from arrowseam.membership.members import MEMBERS_MAX
from arrowseam.membership.records import Address, MemberRecord, State
from arrowseam.membership.settings import SECOND

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

QUIET_TIME = SECOND // 2  # our view must be unchanged for this long before it is synchronised
REQUEST_GAP = SECOND  # between two requests, per ``GAP_MEMBERS`` members
GAP_MEMBERS = 100
MERGE_BATCH = 50  # records merged at a time, so that the event loop can serve other work in between
BACKLOG_MAX = 2 * MEMBERS_MAX
REDIRECTS_MAX = 8  # members named in a redirect
CONTACTS_PER_ZONE = 3  # sent to a member that has just started
CROSS_ZONE_KINDS = (MessageKind.BRIDGE, MessageKind.BRIDGE_REPLY)


class ZoneFields(TypedDict, total=False):
    """Fields of a state synchronisation about the zones."""

    summaries: list[ZoneSummary]
    contacts: list[MemberRecord]


class StateSynchronizer:
    """Requests state synchronisations, answers them, and merges the results."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.backlog: deque[MemberRecord] = deque()  # received but not merged yet
        self.requested_at = NEVER

    def compare(self, message: Datagram) -> None:
        """Synchronise with a sender whose view differs, once ours has stopped changing."""
        gap = REQUEST_GAP * max(1, self.members.active_count // GAP_MEMBERS)
        if (
            message.digest != self.view.digest
            and message.sender.zone == self.members.me.zone  # otherwise the two views never become equal
            and message.kind not in CROSS_ZONE_KINDS
            and message.sender.state is not State.LEFT
            and self.is_due(gap)
        ):
            self.request(message.sender.address)

    def is_due(self, gap: int = REQUEST_GAP) -> bool:
        """Return whether our view is stable and the last request was at least ``gap`` microseconds ago."""
        now = self.context.now
        return now - self.context.changed_at >= QUIET_TIME and now - self.requested_at >= gap

    # --- requests ---

    def request(self, address: Address) -> None:
        """Request the records and cordons that differ."""
        if not self._may_sync():
            self.context.counters["spared"] += 1
            return
        self.requested_at = self.context.now
        self.context.counters["exchanges"] += 1
        self.send(address, self._compose(SyncPart.REQUEST, [], []))

    def send(self, address: Address, state: StateSync) -> None:
        """Open a stream and send a state synchronisation."""
        token = self.context.next_number()
        self.view.streams.send(token, address, self.encode(state))

    def encode(self, state: StateSync) -> bytes:
        """Return the frame of a state synchronisation; its size is charged to the traffic budget."""
        data = codec.encode_frame(state)
        self.view.dissemination.budget.spend_sync(self.context.now, len(data))
        return self.context.count_sent(data)

    def _may_sync(self) -> bool:
        return self.view.dissemination.budget.may_sync(self.context.now)

    def _compose(
        self,
        part: SyncPart,
        records: list[MemberRecord],
        cordons: list[Cordon],
        zone_fields: ZoneFields | None = None,
    ) -> StateSync:
        return StateSync(
            codec.VERSION,
            self.context.settings.cluster,
            self.members.me,
            records,
            cordons,
            self.view.info,
            self.members.buckets.digests,
            self.view.cordons.digest,
            part,
            self.view.zones.encoded_heartbeats(),
            heartbeat_ages=self.view.zones.encoded_ages(self.context.now),
            **(zone_fields or {}),
        )

    def compose_full_state(self, cordons: list[Cordon]) -> StateSync:
        """Return our complete state, in the format of versions without buckets."""
        cluster, info = self.context.settings.cluster, self.view.info
        records = list(self.members.records.values())
        return StateSync(codec.VERSION, cluster, self.members.me, records, cordons, info)

    # --- responder ---

    def on_request(self, state: StateSync) -> StateSync | None:
        """Process a request or a push of another member; return the answer."""
        if self.members.is_self(state.sender):
            return None
        self.merge(state)
        if state.part == SyncPart.PUSH:
            # The stream needs an answer frame; as a push, it is not answered in turn.
            return self._compose(SyncPart.PUSH, [], [])
        cordons = self.view.cordons
        differ = state.cordon_digest != cordons.digest or not state.buckets
        differing_cordons = list(cordons.by_endpoint.values()) if differ else []
        if self.members.is_foreign(state.sender):
            zone_fields = self._zone_fields(state.sender.zone)
            return self._compose(SyncPart.RESPONSE, [], differing_cordons, zone_fields)
        if not state.buckets:
            return self.compose_full_state(differing_cordons)
        if not self._may_sync() and self.members.ring.names:
            self.context.counters["spared"] += 1
            others = self.members.sample(REDIRECTS_MAX, self.context.random)
            return self._compose(SyncPart.REDIRECT, others, [])
        return self._respond(state.buckets, differing_cordons)

    def _respond(self, their_buckets: list[int], cordons: list[Cordon]) -> StateSync:
        buckets = self.members.buckets.differing(their_buckets)
        has_just_started = 2 * len(buckets) > codec.BUCKET_COUNT
        zone_fields = self._zone_fields("") if has_just_started else None
        return self._compose(SyncPart.RESPONSE, self._records_of(buckets), cordons, zone_fields)

    def _records_of(self, buckets: set[int]) -> list[MemberRecord]:
        bucket = self.members.buckets.bucket
        return [record for name, record in self.members.records.items() if bucket(name) in buckets]

    def _zone_fields(self, zone: str) -> ZoneFields:
        """Return the zone information for a member of ``zone`` that may not know any member yet."""
        zones = self.view.zones
        if not zones.by_name:
            return {}
        summaries = [z.summary for z in zones.by_name.values() if z.summary is not None]
        contacts: list[MemberRecord] = []
        for other in zones.others:
            count = REDIRECTS_MAX if other.name == zone else CONTACTS_PER_ZONE
            contacts += other.preferred_contacts[-count:]
        if zone:
            contacts += self.view.bridges.own_contacts(CONTACTS_PER_ZONE)
        return {"summaries": summaries, "contacts": contacts}

    # --- requester ---

    def on_response(self, state: StateSync) -> None:
        """Process an answer and push back what it lacks; an older version requests that itself."""
        if self.members.is_self(state.sender):
            return
        is_foreign = self.members.is_foreign(state.sender)
        compares = state.part == SyncPart.RESPONSE and bool(state.buckets)
        lacking = self._lacking_records(state) if compares and not is_foreign else []
        lacking_cordons = self._lacking_cordons(state) if compares else []
        ring = self.members.ring
        was_alone = not ring.names
        self.merge(state)
        if (lacking or lacking_cordons) and self._may_sync():
            self.send(state.sender.address, self._compose(SyncPart.PUSH, lacking, lacking_cordons))
        if ring.names and (state.part == SyncPart.REDIRECT or (is_foreign and was_alone)):
            other = self.context.random.choice(ring.names)
            self.request(self.members.records[other].address)

    def _lacking_records(self, state: StateSync) -> list[MemberRecord]:
        theirs = {record.name: record.precedence for record in state.records}
        theirs[state.sender.name] = state.sender.precedence
        ours = self._records_of(self.members.buckets.differing(state.buckets))
        return [r for r in ours if r.name not in theirs or r.precedence > theirs[r.name]]

    def _lacking_cordons(self, state: StateSync) -> list[Cordon]:
        cordons = self.view.cordons
        if state.cordon_digest == cordons.digest:
            return []
        theirs = {cordon.endpoint: cordon for cordon in state.cordons}
        return [cordon for name, cordon in cordons.by_endpoint.items() if theirs.get(name) != cordon]

    # --- both ---

    def merge(self, state: StateSync) -> None:
        """Merge a state synchronisation; its records are merged in batches."""
        if self.members.is_foreign(state.sender):
            self.view.bridges.on_foreign_sender(state.sender)
        else:
            self.view.updates.on_update(state.sender)
            if state.info is not None:
                self.members.infos[state.sender.name] = state.info, self.context.now
        self.view.cordon_replication.on_cordons(state.cordons)
        self.view.bridges.on_zone_status(state)
        for record in state.contacts:
            self.view.updates.on_update(record)
        if len(self.backlog) < BACKLOG_MAX:
            self.backlog.extend(state.records)
        else:
            self.context.counters["surplus"] += len(state.records)
        self._merge_batch()

    def _merge_batch(self) -> None:
        for _ in range(min(MERGE_BATCH, len(self.backlog))):
            # A death declared on the other side of a partition counts only as a suspicion here.
            self.view.updates.on_update(self.backlog.popleft(), demote_death=True, synced=True)
        if self.backlog:
            self.context.timers.schedule(self.context.now, self._on_merge_timer)

    def _on_merge_timer(self) -> None:
        self._merge_batch()
        self.context.timers.interrupt()
