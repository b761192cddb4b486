"""The replicated log of one voter in memory: a snapshot, later entries and their voter configurations."""

from __future__ import annotations

from arrowseam.consensus.messages import Entry, EntryKind, Snapshot, Voter, decode_voters

ENTRY_OVERHEAD_BYTES = 16  # bytes that an entry takes in a message in addition to its data


class ReplicatedLog:
    """Entries are numbered from 1; the snapshot replaces those up to its index."""

    __slots__ = ("configurations", "entries", "snapshot")

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.replace_all(snapshot, entries)

    def replace_all(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Replace the whole content by this snapshot and the entries that follow it."""
        self.snapshot, self.entries = snapshot, entries
        self.configurations = [(snapshot.index, snapshot.voters)]
        self._add_configurations(snapshot.index + 1, entries)

    def copy(self) -> ReplicatedLog:
        """Return an independent copy of the log."""
        return ReplicatedLog(self.snapshot, self.entries.copy())

    def _add_configurations(self, index: int, entries: list[Entry]) -> None:
        for offset, entry in enumerate(entries):
            if entry.kind == EntryKind.VOTERS:
                self.configurations.append((index + offset, decode_voters(entry)))

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Term of the entry at ``index``, which must not be before the snapshot's index."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entries[index - self.snapshot.index - 1].term

    def entry_at(self, index: int) -> Entry:
        """The entry at ``index``, which must be after the snapshot's index."""
        return self.entries[index - self.snapshot.index - 1]

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The configuration in force: the latest in the log, committed or not (Ongaro 2014, 4.1)."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the entry that set the configuration in force."""
        return self.configurations[-1][0]

    def voters_at(self, index: int) -> tuple[Voter, ...]:
        """The configuration that was in force at ``index``."""
        return next(voters for set_at, voters in reversed(self.configurations) if set_at <= index)

    def replace_from(self, index: int, entries: list[Entry]) -> None:
        """Replace all entries from ``index`` on by these."""
        del self.entries[index - self.snapshot.index - 1 :]
        self.entries += entries
        while self.configurations[-1][0] >= index:
            self.configurations.pop()
        self._add_configurations(index, entries)

    def compact(self, index: int, state: bytes) -> None:
        """Replace all entries up to ``index`` by a snapshot with this replicated state."""
        snapshot = Snapshot(index, self.term_at(index), self.voters_at(index), state)
        self.replace_all(snapshot, self.entries[index - self.snapshot.index :])

    def entries_after(self, index: int, max_bytes: int) -> list[Entry]:
        """The entries after ``index``, up to ``max_bytes`` in total, but at least one if there is any."""
        selected, size = list[Entry](), 0
        for entry in self.entries[index - self.snapshot.index :]:
            if selected and size + len(entry.data) > max_bytes:
                break
            selected.append(entry)
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
        return selected
