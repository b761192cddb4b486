"""Messages to members of our zone: gossip piggybacked on each of them, and pushes of urgent updates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from arrowseam.membership import codec
from arrowseam.membership.codec import Datagram, MessageKind
from arrowseam.membership.context import NEVER
from arrowseam.membership.cordons import Cordon
from arrowseam.membership.effects import SendDatagram
from arrowseam.membership.gossip import GossipQueue
from arrowseam.membership.records import Address, MemberRecord, State
from arrowseam.membership.settings import MS
from arrowseam.membership.traffic_budget import TrafficBudget

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

PUSH_FANOUT = 4
PUSH_DELAY = 20 * MS  # updates of this period are sent together
PUSH_GAP = 100 * MS  # between two pushes
CORDONS_SAMPLED = 40  # for one datagram, which has room for no more than that
ARRAY_HEADERS = 16  # bytes by which the array headers of a datagram may grow when the arrays are filled
SENDS_HEARTBEATS = (MessageKind.PING, MessageKind.PUSH)


class Dissemination:
    """Composes and sends messages; owns the queues of updates still to be sent."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.queue = GossipQueue()
        self.cross_zone_queue = GossipQueue()
        self.budget = TrafficBudget()
        self.push_scheduled = self._push_crosses_zones = False
        self._pushed_at = NEVER

    # --- messages ---

    def compose(
        self,
        kind: MessageKind,
        number: int,
        first: MemberRecord | None = None,
        subject: MemberRecord | None = None,
        recognised: bool = True,
        with_gossip: bool = True,
    ) -> Datagram:
        """Return a message with as much gossip as fits; ``first`` is placed before all other updates."""
        zones, has_heartbeats = self.view.zones, kind in SENDS_HEARTBEATS
        bare = Datagram(
            codec.VERSION,
            self.context.settings.cluster,
            kind,
            number,
            self.members.me,
            self.view.digest,
            subject,
            [],
            [],
            recognised,
            self.view.info,
            zones.encoded_heartbeats() if has_heartbeats else b"",
            b"" if self.context.leaving else self.view.evidence.current_holders().encoded(),
            heartbeat_ages=zones.encoded_ages(self.context.now) if has_heartbeats else b"",
        )
        room = codec.DATAGRAM_MAX - len(codec.encode_datagram(bare)) - ARRAY_HEADERS
        updates: list[MemberRecord] = []
        if first is not None:
            updates.append(first)
            room -= codec.encoded_size(first)
        if not with_gossip:
            return msgspec.structs.replace(bare, updates=updates) if updates else bare
        records, cordons, summaries = self.queue.take(self.members.active_count, room)
        updates += [record for record in records if record != first]
        return msgspec.structs.replace(bare, updates=updates, cordons=cordons, summaries=summaries)

    def send(self, address: Address, message: Datagram) -> int:
        """Send a datagram; return its size in bytes."""
        data = codec.encode_datagram(message)
        self.context.counters["messages_out"] += 1
        self.context.counters["bytes_out"] += len(data)
        self.context.effects.append(SendDatagram(address, data))
        return len(data)

    def ping(self, target: MemberRecord, number: int | None = None, with_gossip: bool = True) -> int:
        """Ping a member; return the ping's number. A suspect is sent its own record so that it can refute."""
        number = self.context.next_number() if number is None else number
        suspected = target.state is not State.ALIVE and self.context.settings.lifeguard
        first = target if suspected else None
        self.send(target.address, self.compose(MessageKind.PING, number, first, with_gossip=with_gossip))
        return number

    def send_cordons(self, target: MemberRecord) -> None:
        """Send the zone heartbeats and a random selection of all cordons, as many as fit.

        The gossip queue is not enough: an update leaves it after a few transmissions.
        """
        bare = self.compose(MessageKind.PUSH, 0, with_gossip=False)
        room = codec.DATAGRAM_MAX - len(codec.encode_datagram(bare)) - ARRAY_HEADERS
        known = list(self.view.cordons.by_endpoint.values())
        if not known and not self.view.zones.others:
            return
        cordons = []
        for cordon in self.context.random.sample(known, min(len(known), CORDONS_SAMPLED)):
            room -= codec.encoded_size(cordon)
            if room < 0:
                break
            cordons.append(cordon)
        self.send(target.address, msgspec.structs.replace(bare, cordons=cordons))

    # --- pushes ---

    def disseminate_cordon(self, cordon: Cordon) -> None:
        """Forward a cordon at once, within our zone and to the others."""
        self.queue.add(cordon)
        if self.view.zones.others:
            self.cross_zone_queue.add(cordon)
        self._push_crosses_zones = True
        self.schedule_push()

    def schedule_push(self) -> None:
        """Schedule a push of the queued updates."""
        if not self.push_scheduled:
            self.push_scheduled = True
            at = max(self.context.now + PUSH_DELAY, self._pushed_at + PUSH_GAP)
            self.context.timers.schedule(at, self.on_push_timer)

    def on_push_timer(self) -> None:
        """Send queued updates to some members; cordons are sent regardless of the traffic budget."""
        self.push_scheduled = False
        crosses_zones, self._push_crosses_zones = self._push_crosses_zones, False
        self.budget.refill(self.context.now)
        if self.context.leaving or (not crosses_zones and self.budget.push_allowance <= 0):
            return
        self._pushed_at = self.context.now
        for record in self.members.sample(PUSH_FANOUT, self.context.random):
            self.budget.push_allowance -= self.send(record.address, self.compose(MessageKind.PUSH, 0))
        if crosses_zones:
            self.view.bridges.on_cordon_push()
