"""Streams opened by this view: stream probes and state synchronisations.

If the host refuses a stream, no process listens at the address any more, which proves that the process known
there has ended. A stream without an answer proves nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from arrowseam.membership import codec
from arrowseam.membership.codec import Datagram, MalformedMessageError, MessageKind, StateSync
from arrowseam.membership.effects import OpenStream
from arrowseam.membership.records import Address, MemberRecord, ProcessId, State
from arrowseam.outcomes import StreamOutcome

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView


class StreamTable:
    """Open streams by token, each with the process expected at its address, if known."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.open: dict[int, ProcessId | None] = {}

    def probe(self, target: MemberRecord | Address) -> None:
        """Ping over a stream, which is answered, refused by the host, or times out."""
        if isinstance(target, MemberRecord):
            address, process = target.address, target.process_id
            first = target if target.state is not State.ALIVE else None
        else:
            address, process, first = target, None, None
        token = self.context.next_number()
        message = self.view.dissemination.compose(MessageKind.PING, token, first, with_gossip=False)
        self.context.counters["knocks"] += 1
        self.send(token, address, self.context.count_sent(codec.encode_frame(message)), process)

    def send(self, token: int, address: Address, data: bytes, process: ProcessId | None = None) -> None:
        """Open a stream and send one frame."""
        self.open[token] = process
        self.context.effects.append(OpenStream(token, address, data))

    def on_closed(self, token: int, outcome: StreamOutcome, data: bytes) -> None:
        """Process the outcome of a stream and the received frame."""
        if token not in self.open:
            return
        process = self.open.pop(token)
        record = self.members.records.get(process[0]) if process is not None else None
        if record is not None and record.process_id != process:
            record = None
        if outcome == StreamOutcome.REFUSED and record is not None:
            self.view.updates.on_refused(record)
        if outcome != StreamOutcome.ANSWERED:
            return
        try:
            message = codec.decode_frame(data, self.context.settings.cluster)
        except MalformedMessageError as error:
            self.view.count_malformed(error)
            return
        self.context.counters["bytes_in"] += len(data)
        if isinstance(message, StateSync):
            self.view.state_sync.on_response(message)
        elif self.members.is_foreign(message.sender):
            self._on_foreign_answer(message, record)
        else:
            self._on_answer(message, record)

    def _on_foreign_answer(self, message: Datagram, record: MemberRecord | None) -> None:
        sender = message.sender
        same_name = record is not None and sender.name == record.name
        if record is not None and same_name and sender.process_id != record.process_id:
            # Another process answers at its address: the process that we knew has ended.
            self.view.updates.on_refused(record)
        self.view.on_message(message)
        if not self.members.ring.names:
            self.view.state_sync.request(sender.address)  # it may know members of our zone

    def _on_answer(self, message: Datagram, record: MemberRecord | None) -> None:
        was_active = record is None or record.is_active
        self.view.on_message(message)
        if not was_active or message.digest != self.view.digest:
            # If it was believed dead, its side of a partition probably has many changes.
            self.view.state_sync.request(message.sender.address)
