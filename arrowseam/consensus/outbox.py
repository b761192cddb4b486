"""Orders a node's messages and writes so that a crash cannot make it contradict what it has sent.

A voter that answers before its records are on disk can lose them in a crash and answer differently later, for
instance vote twice in a term. The result is two leaders in one term or the loss of a committed entry.
Therefore a message that depends on records is held back until the write of these records, and all writes
before it, have been confirmed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from arrowseam.consensus.effects import Effect, Persist, Send
from arrowseam.consensus.messages import RaftMessage, StoredRecord


@dataclass
class PendingWrite:
    """A write in progress, and the messages that wait for it."""

    token: int
    last_index: int  # entries up to this index are durable once the write is confirmed
    sends: list[Send] = field(default_factory=list)


class Outbox:
    """Collects the effects of one event until ``take_effects`` returns them."""

    __slots__ = ("_deferred", "effects", "pending_writes", "unwritten", "write_token")

    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.unwritten: list[StoredRecord] = []
        self.pending_writes: deque[PendingWrite] = deque()
        self.write_token = 0
        self._deferred: list[Send] = []

    def copy(self) -> Outbox:
        """Return an independent copy of the outbox."""
        clone = Outbox()
        clone.effects, clone.unwritten = self.effects.copy(), self.unwritten.copy()
        clone.pending_writes = deque(
            PendingWrite(write.token, write.last_index, write.sends.copy()) for write in self.pending_writes
        )
        clone.write_token, clone._deferred = self.write_token, self._deferred.copy()
        return clone

    @property
    def is_durable(self) -> bool:
        """Whether all records so far are durable."""
        return not self.unwritten and not self.pending_writes

    def send(self, to: str, message: RaftMessage) -> None:
        """Send at once a message that depends on no record that is not yet durable."""
        self.effects.append(Send(to, message))

    def send_when_stored(self, to: str, message: RaftMessage) -> None:
        """Send once all records so far are durable."""
        self._deferred.append(Send(to, message))

    def take_effects(self, last_index: int) -> list[Effect]:
        """End an event and return its effects; ``last_index`` is that of the log after the event."""
        if self.unwritten:
            self.write_token += 1
            records, self.unwritten = tuple(self.unwritten), []
            self.pending_writes.append(PendingWrite(self.write_token, last_index, self._deferred))
            self._deferred = []
            self.effects.append(Persist(self.write_token, records))
        elif self._deferred:
            if self.pending_writes:
                self.pending_writes[-1].sends += self._deferred
            else:
                self.effects += self._deferred
            self._deferred = []
        effects, self.effects = self.effects, []
        return effects

    def confirm_writes(self, token: int) -> int:
        """Release the messages of all writes up to ``token``, which are durable now.

        Returns the index of the last entry that is durable by these writes, 0 if there is none.
        """
        last_index = 0
        while self.pending_writes and self.pending_writes[0].token <= token:
            write = self.pending_writes.popleft()
            last_index = max(last_index, write.last_index)
            self.effects += write.sends
        return last_index

    def on_entries_replaced(self, index: int) -> None:
        """The log's entries from ``index`` on were replaced: pending writes no longer make them durable."""
        for write in self.pending_writes:
            write.last_index = min(write.last_index, index - 1)

    def discard_messages(self) -> None:
        """Drop all messages that wait for a write, after storage has failed."""
        self._deferred.clear()
        for write in self.pending_writes:
            write.sends.clear()
