"""Mutants of the membership protocol, which prove that the checks of the schedules detect its faults.

Each leaves out one rule of the protocol or breaks it: a component of the view gets a class that differs in
that rule. It must never be imported by a proxy.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from fractions import Fraction
from operator import attrgetter
from typing import Any, ClassVar

import msgspec

from arrowseam.membership.bridges import ZoneBridges
from arrowseam.membership.codec import Datagram, StateSync, SyncPart, ZoneSummary
from arrowseam.membership.cordon_replication import CordonReplication
from arrowseam.membership.cordons import Cordon, cordon_fingerprint
from arrowseam.membership.dissemination import Dissemination
from arrowseam.membership.evidence import EvidenceTracker
from arrowseam.membership.member_updates import MemberUpdates
from arrowseam.membership.members import MemberTable
from arrowseam.membership.proxy_share import proxy_count
from arrowseam.membership.reconnection import Reconnection
from arrowseam.membership.records import (
    ENDED_STATES,
    Address,
    MemberRecord,
    State,
    activity_fingerprint,
)
from arrowseam.membership.state_sync import StateSynchronizer
from arrowseam.membership.streams import StreamTable
from arrowseam.membership.suspicion import SuspicionTracker
from arrowseam.membership.view import ClusterView
from arrowseam.membership.zones import Zone, ZoneTable, speaker_rank
from arrowseam.outcomes import StreamOutcome


class PlantedView(ClusterView):
    """A view with faulty classes for some of its components."""

    faulty_parts: ClassVar[dict[str, type]] = {}

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        for name, faulty in self.faulty_parts.items():
            attrgetter(name)(self).__class__ = faulty


class _UnrefutedUpdates(MemberUpdates):
    def on_update_about_us(self, record: MemberRecord) -> None:
        me = self.members.me
        if (record.started_at, record.nonce) != (me.started_at, me.nonce):
            super().on_update_about_us(record)


class NoRefutation(PlantedView):
    """A member does not refute what others claim about it."""

    faulty_parts: ClassVar = {"updates": _UnrefutedUpdates}


class _SameIncarnationUpdates(MemberUpdates):
    def announce(self, record: MemberRecord) -> None:
        incarnation = max(0, record.incarnation - 1)
        if record == msgspec.structs.replace(self.members.me, incarnation=record.incarnation):
            record = msgspec.structs.replace(record, incarnation=incarnation)
        super().announce(record)


class IncarnationNotRaised(PlantedView):
    """A refutation has the same incarnation as the claim."""

    faulty_parts: ClassVar = {"updates": _SameIncarnationUpdates}


class _NoReconnection(Reconnection):
    def attempt(self) -> None:
        pass


class DeadNeverRetried(PlantedView):
    """A dead member is not contacted again unless it contacts us first."""

    faulty_parts: ClassVar = {"reconnection": _NoReconnection}


class _SilenceEvidence(EvidenceTracker):
    @property
    def counted_out_count(self) -> int:
        return sum(not r.is_active for r in self.members.records.values())


class SilentCountedOut(PlantedView):
    """A silent member is counted out."""

    faulty_parts: ClassVar = {"evidence": _SilenceEvidence}


class _AssumedEvidence(EvidenceTracker):
    def update_complete(self) -> None:
        self.complete = not self.context.leaving

    @property
    def unconfirmed_count(self) -> int:
        return 0


class AlwaysComplete(PlantedView):
    """A process that has just started takes a whole share at once."""

    faulty_parts: ClassVar = {"evidence": _AssumedEvidence}


class _KnownOnlyEvidence(EvidenceTracker):
    @property
    def unconfirmed_count(self) -> int:
        return self.members.known_count - 1 - len(self.confirmed)


class OnlyKnownAreUnconfirmed(PlantedView):
    """Only members that we know, however few, are held to have possibly counted us out."""

    faulty_parts: ClassVar = {"evidence": _KnownOnlyEvidence}


class _EndedConfirmedEvidence(EvidenceTracker):
    @property
    def unconfirmed_count(self) -> int:
        records = self.members.records.items()
        ended = sum(r.state in ENDED_STATES and n not in self.confirmed for n, r in records)
        return super().unconfirmed_count - ended


class EndedCountAsConfirmed(PlantedView):
    """A member that is reported to have ended is held not to have counted us out."""

    faulty_parts: ClassVar = {"evidence": _EndedConfirmedEvidence}


class _HearsayEvidence(EvidenceTracker):
    def has_evidence(self, record: MemberRecord) -> bool:
        return super().has_evidence(record) or record.state in ENDED_STATES


class HearsayIsEvidence(PlantedView):
    """A member that is reported to have ended is counted out, without first-hand evidence."""

    faulty_parts: ClassVar = {"evidence": _HearsayEvidence}


class _KeptEvidence(EvidenceTracker):
    def reset(self) -> None:
        self.refused.clear()


class AckOfFormerProcessCounts(PlantedView):
    """An answer to an earlier process of ours counts for this one."""

    faulty_parts: ClassVar = {"evidence": _KeptEvidence}


class _LaterProcessIgnored(MemberUpdates):
    def on_update_about_us(self, record: MemberRecord) -> None:
        me = self.members.me
        if (record.started_at, record.nonce) <= (me.started_at, me.nonce):
            super().on_update_about_us(record)


class LaterProcessOfOurNameIgnored(PlantedView):
    """An update about a later process of our own name is ignored."""

    faulty_parts: ClassVar = {"updates": _LaterProcessIgnored}


class _IncarnationOnlyUpdates(MemberUpdates):
    def on_update(self, record: MemberRecord, demote_death: bool = False, synced: bool = False) -> None:
        known = self.members.records.get(record.name)
        if (
            known is not None
            and record.name != self.members.me.name
            and record.process_id != known.process_id
            and record.incarnation >= known.incarnation
        ):
            self.apply(record)
            return
        super().on_update(record, demote_death, synced)


class OrderedByIncarnationAlone(PlantedView):
    """Updates are ordered by incarnation alone, whatever their process."""

    faulty_parts: ClassVar = {"updates": _IncarnationOnlyUpdates}


class _CordonlessSync(StateSynchronizer):
    def merge(self, state: StateSync) -> None:
        super().merge(msgspec.structs.replace(state, cordons=[]))


class CordonsNotSynchronised(PlantedView):
    """Cordons in a state synchronisation are ignored."""

    faulty_parts: ClassVar = {"state_sync": _CordonlessSync}


class _LastCordonReplication(CordonReplication):
    def on_cordons(self, updates: Iterable[Cordon]) -> None:
        for update in updates:
            known = self.cordons.by_endpoint.pop(update.endpoint, None)
            if known is not None and known != update:
                self.cordons.digest ^= cordon_fingerprint(known)
            elif known is not None:
                self.cordons.by_endpoint[update.endpoint] = known
                continue
            super().on_cordons([update])


class CordonsOverwritten(PlantedView):
    """The update received last wins, whatever its timestamp."""

    faulty_parts: ClassVar = {"cordon_replication": _LastCordonReplication}


class _NoSync(StateSynchronizer):
    def compare(self, message: Datagram) -> None:
        pass

    def request(self, address: Address) -> None:
        pass


class NoStateSync(PlantedView):
    """Views that differ are not synchronised."""

    faulty_parts: ClassVar = {"state_sync": _NoSync}


class _StaleDigestTable(MemberTable):
    def store(self, record: MemberRecord) -> None:
        known = self.records.get(record.name)
        super().store(record)
        if known is not None and known.is_active and not record.is_active:
            self.digest ^= activity_fingerprint(known)


class DigestKeepsEndedMembers(PlantedView):
    """The digest still includes members that have ended."""

    faulty_parts: ClassVar = {"members": _StaleDigestTable}


class _RefusalOfAnyProcess(StreamTable):
    def on_closed(self, token: int, outcome: StreamOutcome, data: bytes) -> None:
        process = self.open.get(token)
        if outcome == StreamOutcome.REFUSED and process is not None and process[0] in self.members.records:
            self.open[token] = self.members.records[process[0]].process_id
        super().on_closed(token, outcome, data)


class RefusalOfFormerProcessCounts(PlantedView):
    """A refusal counts for the process that has the name now."""

    faulty_parts: ClassVar = {"streams": _RefusalOfAnyProcess}


class _TimeoutIsRefusal(StreamTable):
    def on_closed(self, token: int, outcome: StreamOutcome, data: bytes) -> None:
        timed_out = outcome == StreamOutcome.TIMED_OUT
        super().on_closed(token, StreamOutcome.REFUSED if timed_out else outcome, data)


class TimeoutIsRefusal(PlantedView):
    """A stream that times out is taken for a refusal."""

    faulty_parts: ClassVar = {"streams": _TimeoutIsRefusal}


class _EndlessSuspicions(SuspicionTracker):
    def on_timer(self, name: str) -> None:
        pass


class SuspicionNeverEnds(PlantedView):
    """A suspected member is never declared dead."""

    faulty_parts: ClassVar = {"suspicions": _EndlessSuspicions}


class _UngossipedUpdates(MemberUpdates):
    def apply(self, record: MemberRecord, gossip: bool = True) -> None:
        super().apply(record, gossip)
        if record.state in (State.SUSPECT, State.DEAD, State.GONE):
            self.view.dissemination.queue.remove_member(record.name)


class DeathsNotGossiped(PlantedView):
    """Suspicions and deaths are not gossiped."""

    faulty_parts: ClassVar = {"updates": _UngossipedUpdates}


def no_reserve(configured: int, known: int, counted_out: int, unconfirmed: int) -> int:
    """The whole share of members that have ended is given to the others."""
    size = max(1, configured, known)
    if unconfirmed:
        return proxy_count(configured, known, counted_out, unconfirmed)
    return max(1, size - counted_out)


def rounded_down(configured: int, known: int, counted_out: int, unconfirmed: int) -> int:
    """The count is rounded down, and so the shares up."""
    size = max(1, configured, known)
    if unconfirmed:
        return proxy_count(configured, known, counted_out, unconfirmed)
    return max(1, math.floor((size - counted_out) / (1.0 - counted_out / (4 * size))))


def unconfirmed_not_deducted(configured: int, known: int, counted_out: int, unconfirmed: int) -> int:
    """A member that may have been counted out takes a whole share unless nobody has answered it."""
    size = max(1, configured, known)
    return proxy_count(configured, known, counted_out, unconfirmed if unconfirmed >= size - 1 else 0)


# --- zones ------------------------------------------------------------------------------------------------


class _WholeBudgetEvidence(EvidenceTracker):
    def proxy_count(self, rule: Callable[..., int] = proxy_count) -> int:
        known = self.members.known_count
        return rule(self.configured, known, self.counted_out_count, self.unconfirmed_count)


class ZoneTakesWholeBudget(PlantedView):
    """Each zone takes the whole budget."""

    faulty_parts: ClassVar = {"evidence": _WholeBudgetEvidence}


class _ZonelessTable(MemberTable):
    def is_foreign(self, record: MemberRecord) -> bool:
        del record  # whatever its zone
        return False


class ForeignMembersAccepted(PlantedView):
    """Members of other zones are accepted into ours."""

    faulty_parts: ClassVar = {"members": _ZonelessTable}


class HoldersOfAnyDigest(PlantedView):
    """Members that hold the digest of a message's sender are taken to hold ours."""

    def on_message(self, message: Datagram) -> Datagram | None:
        """Handle a message."""
        reply = super().on_message(message)
        if message.holders and not self.members.is_foreign(message.sender):
            self.evidence.on_equal_digest(message.sender, message.holders)
        return reply


class _LastSummaryTable(ZoneTable):
    def merge_summary(self, summary: ZoneSummary) -> bool:
        zone = self.by_name.get(summary.zone)
        if zone is None or zone.summary == summary:
            return False
        zone.summary = summary
        return True


class LateSummaryHolds(PlantedView):
    """The summary received last wins, whatever its heartbeat."""

    faulty_parts: ClassVar = {"zones": _LastSummaryTable}


class _AnyHeartbeatTable(ZoneTable):
    def merge_heartbeats(self, now: int, encoded: bytes, ages: bytes = b"") -> bool:
        before = {zone.name: zone.heartbeat for zone in self.by_name.values()}
        for zone in self.by_name.values():
            zone.heartbeat = 0
        known = super().merge_heartbeats(now, encoded, ages)
        for zone in self.by_name.values():
            zone.heartbeat = zone.heartbeat or before[zone.name]
        return known


class LateHeartbeatHolds(PlantedView):
    """A heartbeat that is not newer than the known one is taken for a new one."""

    faulty_parts: ClassVar = {"zones": _AnyHeartbeatTable}


class _NoBridges(ZoneBridges):
    def send_to(self, zone: Zone) -> None:
        pass


class NoBridges(PlantedView):
    """Nothing is sent to another zone unless it asks."""

    faulty_parts: ClassVar = {"bridges": _NoBridges}


class _NoPush(Dissemination):
    def on_push_timer(self) -> None:
        self.push_scheduled = False


class NoPushes(PlantedView):
    """Updates wait for the next probe."""

    faulty_parts: ClassVar = {"dissemination": _NoPush}


class _OneSpeaker(ZoneTable):
    def is_speaker(self, own_name: str, others: Iterable[str], ranks: dict[str, int]) -> bool:
        return all(ranks.setdefault(name, speaker_rank(name)) > speaker_rank(own_name) for name in others)


class OneSpeaker(PlantedView):
    """Only the first by rank speaks for its zone."""

    faulty_parts: ClassVar = {"zones": _OneSpeaker}


class _ConfigurationOnlyEvidence(EvidenceTracker):
    @property
    def never_counts_out(self) -> bool:
        return self.context.settings.never_count_out


class CountsOutDespiteZoneMismatch(PlantedView):
    """Members are counted out although only some of them have zones."""

    faulty_parts: ClassVar = {"evidence": _ConfigurationOnlyEvidence}


class _OwnRuleEvidence(EvidenceTracker):
    def proxy_count(self, rule: Callable[..., int] = proxy_count) -> int:
        if not self.never_counts_out or self.context.settings.zone in self.view.zones.by_name:
            return super().proxy_count(rule)
        return rule(self.configured, self.members.known_count, 0, self.unconfirmed_count)


class NeverCountOutIgnoresOtherRules(PlantedView):
    """A proxy that counts nobody out accounts for unconfirmed members as if others followed its rule."""

    faulty_parts: ClassVar = {"evidence": _OwnRuleEvidence}


class ProbeNumbersNotUnique(PlantedView):
    """A late answer to an earlier process of ours counts for this one."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.context.last_number = self.context.first_number = 0


class _NoPushSync(StateSynchronizer):
    def send(self, address: Address, state: StateSync) -> None:
        if state.part != SyncPart.PUSH:
            super().send(address, state)


class DifferencesNotPushed(PlantedView):
    """A state synchronisation does not send the other side what it lacks."""

    faulty_parts: ClassVar = {"state_sync": _NoPushSync}


class _SilentZoneEvidence(EvidenceTracker):
    def proxy_count(self, rule: Callable[..., int] = proxy_count) -> int:
        zones = self.view.zones
        silent = sum(zone.size for zone in zones.others if zone.silent)
        known = self.members.known_count
        numbers = self.configured, known, self.counted_out_count, self.unconfirmed_count
        return rule(*numbers, Fraction(self.configured, max(1, zones.total_size - silent)))


class SilentZoneGivesUpShare(PlantedView):
    """The share of a silent zone is divided among the others."""

    faulty_parts: ClassVar = {"evidence": _SilentZoneEvidence}


class _ForeignMessageIsProof(ZoneBridges):
    def on_foreign_sender(self, record: MemberRecord) -> None:
        known = self.members.records.get(record.name)
        started = record.started_at, record.nonce
        is_later = known is not None and started > (known.started_at, known.nonce)
        if known is not None and is_later and record.address == known.address:
            self.view.updates.on_refused(known)
        super().on_foreign_sender(record)


class LateForeignDatagramIsProof(PlantedView):
    """A message of a later process of a member's name in another zone ends the member, however late."""

    faulty_parts: ClassVar = {"bridges": _ForeignMessageIsProof}


VIEWS: tuple[type[ClusterView], ...] = (
    NoRefutation,
    IncarnationNotRaised,
    DeadNeverRetried,
    SilentCountedOut,
    AlwaysComplete,
    OnlyKnownAreUnconfirmed,
    AckOfFormerProcessCounts,
    EndedCountAsConfirmed,
    HearsayIsEvidence,
    LaterProcessOfOurNameIgnored,
    OrderedByIncarnationAlone,
    CordonsNotSynchronised,
    CordonsOverwritten,
    NoStateSync,
    DigestKeepsEndedMembers,
    RefusalOfFormerProcessCounts,
    TimeoutIsRefusal,
    SuspicionNeverEnds,
    DeathsNotGossiped,
)
SHARE_RULES: tuple[Callable[[int, int, int, int], int], ...] = (
    no_reserve,
    rounded_down,
    unconfirmed_not_deducted,
)
