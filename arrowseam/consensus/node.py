"""One voter of the Raft algorithm (Ongaro 2014), with pre-vote and check-quorum.

A node is a state machine without I/O, clock or random numbers: its runtime reports events (a message, a
timeout, a finished write) and executes the effects that each event returns. The node does not interpret
commands; ``Commit`` passes them to the replicated state.

Two rules go beyond the published algorithm:

- A voter is identified by its name and the identity of its stored state. A process that starts without that
  state is a different voter, which counts only once the leader has added it. So a voter that has lost the
  record of its vote cannot vote twice.
- An epoch is one history of the log. An operator begins a new one when a majority has lost its state;
  messages of an older epoch are answered with the newer one and change nothing.

A vote or an acknowledgement is sent only after the records that it depends on are stored. A leader sends
entries before it has stored them itself, which is safe because it does not count itself for them until then.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from arrowseam.consensus.effects import Commit, Effect, Restore, RoleChanged
from arrowseam.consensus.log import ReplicatedLog
from arrowseam.consensus.messages import (
    AppendedEntries,
    AppendEntries,
    AppendEntriesReply,
    Checkpoint,
    Entry,
    EntryKind,
    Epoch,
    HardState,
    InstallSnapshot,
    JoinRequest,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    Voter,
    encode_voters,
)
from arrowseam.consensus.outbox import Outbox

MESSAGE_ENTRIES_BYTES_MAX = 32 << 10  # bytes of entries in one message, which holds at least one entry
CATCH_UP_LAG_MAX = 8  # entries: a learner that lacks at most this many may become a voter


class Role(Enum):
    """A node's role in the consensus; the values are shown to operators."""

    NON_VOTER = "out"  # not in the voter configuration that it knows; it asks to be added
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "broken"  # its state could not be stored; it sends nothing more


@dataclass
class Progress:
    """What a leader knows about the log of a voter or learner."""

    next_index: int  # index of the next entry to send
    match_index: int = 0  # its log is known to match ours up to this index
    in_flight: bool = False  # entries were sent and are not acknowledged yet


class Node:
    """The state of one voter. Each event method returns the effects that the runtime must execute."""

    def __init__(
        self, identity: Voter, stored: Checkpoint | None = None, wanted_voters: tuple[str, ...] = ()
    ) -> None:
        """``stored`` is the state that an earlier process wrote, including its identity; ``wanted_voters``
        are the names of the voters that operators have configured."""
        self.identity = identity
        self.wanted_voters = wanted_voters
        self.epoch, self.term = Epoch(), 0
        self.voted_for: Voter | None = None
        self.log = ReplicatedLog(Snapshot(), [])
        if stored is not None:
            hard_state = stored.hard_state
            self.identity, self.epoch = hard_state.voter, hard_state.epoch
            self.term, self.voted_for = hard_state.term, hard_state.voted_for
            self.log = ReplicatedLog(stored.snapshot, list(stored.entries))
        self.commit_index = self.log.snapshot.index
        self.durable_index = self.log.last_index  # entries up to this index are stored on this node
        self.role = Role.FOLLOWER if self.identity in self.log.voters else Role.NON_VOTER
        self.leader: str | None = None
        self.leader_silent = True  # no leader was heard for an election timeout
        # As a candidate:
        self.pre_vote = False
        self.votes_received: set[Voter] = set()
        # As a leader:
        self.progress: dict[Voter, Progress] = {}
        self.learners: dict[str, Voter] = {}
        self.responsive: set[Voter] = set()  # have answered within this election timeout
        self.responsive_before: set[Voter] = set()  # have answered within the previous one
        self.quorum_checks = 0  # election timeouts since this node became leader
        self.term_start_index = 0  # index of the first entry of its own term
        self.outbox = Outbox()

    # --- events -------------------------------------------------------------------------------------------

    def on_election_timeout(self) -> list[Effect]:
        """The election timer has expired; a leader checks whether a quorum still answers it."""
        match self.role:
            case Role.LEADER:
                self._check_quorum()
            case Role.NON_VOTER:
                self.leader_silent = True
                for name in self.wanted_voters:
                    self._send(name, JoinRequest(self.epoch, self.term, self.identity))
            case Role.FOLLOWER | Role.CANDIDATE:
                self.leader_silent = True
                self._set_leader(None)
                self._start_election(pre_vote=True)
        return self._take_effects()

    def send_heartbeats(self) -> list[Effect]:
        """The heartbeat timer has expired: a leader sends to all, and repeats what was not acknowledged."""
        if self.role is Role.LEADER:
            for voter in self.progress:
                self._send_entries(voter)
        return self._take_effects()

    def on_message(self, message: RaftMessage) -> list[Effect]:
        """A message has arrived from another voter, or from one that wants to join."""
        if self.role is Role.FAILED or message.sender.name == self.identity.name:
            return self._take_effects()
        if message.epoch < self.epoch:
            # Whatever the message asks, its history is over; the reply tells the sender the newer epoch.
            self._send(
                message.sender.name, RequestVoteReply(self.epoch, self.term, self.identity, False, False)
            )
            return self._take_effects()
        if message.epoch > self.epoch:
            self._adopt_epoch(message.epoch)
        if message.term > self.term and not _is_pre_vote_term(message):
            self._adopt_term(message.term)
        self._dispatch(message)
        return self._take_effects()

    def _dispatch(self, message: RaftMessage) -> None:
        match message:
            case RequestVote():
                self._on_request_vote(message)
            case RequestVoteReply():
                self._on_request_vote_reply(message)
            case AppendEntries():
                self._on_append_entries(message)
            case InstallSnapshot():
                self._on_install_snapshot(message)
            case AppendEntriesReply():
                self._on_append_entries_reply(message)
            case JoinRequest():
                self._on_join_request(message)

    def on_records_stored(self, token: int) -> list[Effect]:
        """All writes up to this token are durable."""
        self.durable_index = max(self.durable_index, self.outbox.confirm_writes(token))
        if self.role is Role.LEADER:
            self._advance_commit_index()
        elif self.role is Role.CANDIDATE:
            self._count_votes()
        return self._take_effects()

    def on_storage_failed(self) -> list[Effect]:
        """Records could not be stored: this node takes no further part in the consensus."""
        self.role, self.leader = Role.FAILED, None
        self.outbox.discard_messages()
        self.outbox.effects.append(RoleChanged())
        return self._take_effects()

    # --- requests by the runtime --------------------------------------------------------------------------

    def propose(self, command: bytes) -> tuple[int | None, list[Effect]]:
        """Append a command; returns the index at which it may be committed, None if not the leader."""
        if self.role is not Role.LEADER:
            return None, self._take_effects()
        index = self._append_own_entry(EntryKind.COMMAND, command)
        return index, self._take_effects()

    def begin_epoch(self, epoch: Epoch, state: bytes, index: int) -> list[Effect]:
        """An operator begins a new history with this replicated state and this node as the only voter."""
        self.epoch = epoch
        self.term, self.voted_for = 0, None
        self._replace_log(Snapshot(max(1, index), 0, (self.identity,), state), [])
        self._become_follower(None)
        self.role = Role.FOLLOWER
        self.outbox.effects.append(Restore(self.log.snapshot.index, state))
        self._start_election(pre_vote=False)
        return self._take_effects()

    def compact(self, index: int, state: bytes) -> list[Effect]:
        """Replace the entries up to a committed index by a snapshot of the replicated state at that index."""
        if self.log.snapshot.index < index <= self.commit_index:
            self.log.compact(index, state)
            self.durable_index = max(self.durable_index, index)
            self.outbox.unwritten = [self._checkpoint()]
        return self._take_effects()

    def change_voters(self, unavailable: Collection[str] = ()) -> list[Effect]:
        """Take the next step towards ``wanted_voters``, if one is allowed now; names in ``unavailable`` are
        not added."""
        voters = self._next_voters(unavailable)
        if voters is not None:
            self._append_own_entry(EntryKind.VOTERS, encode_voters(voters))
        return self._take_effects()

    # --- configuration ------------------------------------------------------------------------------------

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The configuration in force."""
        return self.log.voters

    @property
    def is_configuration_committed(self) -> bool:
        """Whether the configuration in force is committed."""
        return self.log.configuration_index <= self.commit_index

    def _is_quorum(self, voters: set[Voter]) -> bool:
        configured = self.log.voters
        return 2 * len(voters.intersection(configured)) > len(configured)

    def _may_change_voters(self) -> bool:
        """One change at a time, and only after an entry of the leader's own term is committed. Without the
        second rule two leaders could commit by majorities that do not overlap (Ongaro's correction of 2015).
        """
        return (
            self.role is Role.LEADER
            and self.is_configuration_committed
            and self.commit_index >= self.term_start_index
        )

    def _next_voters(self, unavailable: Collection[str]) -> tuple[Voter, ...] | None:
        if not self._may_change_voters():
            return None
        voters, wanted = self.log.voters, self.wanted_voters
        for voter in voters:
            if voter.name not in wanted and wanted:
                return tuple(v for v in voters if v != voter)
        responding = self.responsive | self.responsive_before | {self.identity}
        for name in wanted:
            learner = self.learners.get(name)
            if learner is None or learner in voters or name in unavailable or not self._is_caught_up(learner):
                continue
            predecessor = next((v for v in voters if v.name == name), None)
            if predecessor is None:
                return tuple(sorted((*voters, learner)))
            # While the processes of both voters run, the old voter stays.
            if predecessor not in responding and self.quorum_checks:
                return tuple(v for v in voters if v != predecessor)
        return None

    def _is_caught_up(self, learner: Voter) -> bool:
        progress = self.progress.get(learner)
        if progress is None or progress.match_index < self.commit_index:
            return False
        return progress.match_index + CATCH_UP_LAG_MAX >= self.log.last_index

    def _update_voter_role(self) -> None:
        if self.role is Role.NON_VOTER and self.identity in self.log.voters:
            self.role = Role.FOLLOWER
            self.outbox.effects.append(RoleChanged())
        elif self.role in (Role.FOLLOWER, Role.CANDIDATE) and self.identity not in self.log.voters:
            self.role = Role.NON_VOTER
            self.outbox.effects.append(RoleChanged())

    # --- effects and storage ------------------------------------------------------------------------------

    def _take_effects(self) -> list[Effect]:
        return self.outbox.take_effects(self.log.last_index)

    def _send(self, to: str, message: RaftMessage) -> None:
        """Send at once a message that depends on no record that is not yet durable."""
        if to != self.identity.name:
            self.outbox.send(to, message)

    def _send_when_stored(self, to: str, message: RaftMessage) -> None:
        """Send once all records so far are durable."""
        self.outbox.send_when_stored(to, message)

    def _hard_state(self) -> HardState:
        return HardState(self.epoch, self.identity, self.term, self.voted_for)

    def _checkpoint(self) -> Checkpoint:
        return Checkpoint(self._hard_state(), self.log.snapshot, list(self.log.entries))

    def _replace_entries(self, index: int, entries: list[Entry]) -> None:
        """Replace all entries from ``index`` on by these."""
        if index <= self.commit_index:
            raise AssertionError(f"{self.identity.name}: committed entry {index} would be replaced")
        self.log.replace_from(index, entries)
        self.durable_index = min(self.durable_index, index - 1)
        self.outbox.on_entries_replaced(index)
        self.outbox.unwritten.append(AppendedEntries(index, entries))
        self._update_voter_role()

    def _replace_log(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.log.replace_all(snapshot, entries)
        self.commit_index = self.durable_index = snapshot.index
        self.outbox.on_entries_replaced(1)
        self.outbox.unwritten = [self._checkpoint()]

    # --- epochs, terms and roles --------------------------------------------------------------------------

    def _adopt_epoch(self, epoch: Epoch) -> None:
        """An operator has begun a new history: discard the log, which belongs to an older one."""
        self.epoch, self.term, self.voted_for = epoch, 0, None
        self._replace_log(Snapshot(), [])
        self.learners.clear()
        self._become_follower(None)
        self.role = Role.NON_VOTER
        self.outbox.effects.append(Restore(0, b""))

    def _adopt_term(self, term: int) -> None:
        self.term, self.voted_for = term, None
        self.outbox.unwritten.append(self._hard_state())
        self._become_follower(None)

    def _set_leader(self, name: str | None) -> None:
        if self.leader != name:
            self.leader = name
            self.outbox.effects.append(RoleChanged())

    def _become_follower(self, leader: str | None) -> None:
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.role = Role.FOLLOWER
            self.outbox.effects.append(RoleChanged())
        self.progress.clear()
        self.votes_received.clear()
        self._update_voter_role()
        self._set_leader(leader)

    def _check_quorum(self) -> None:
        """Step down if no quorum has answered for an election timeout: a leader without one can commit
        nothing, and its clients would get no answer while another node leads."""
        if self.quorum_checks and not self._is_quorum(self.responsive | {self.identity}):
            self._become_follower(None)
        self.quorum_checks += 1
        self.responsive_before, self.responsive = self.responsive, set()

    # --- elections ----------------------------------------------------------------------------------------

    def _start_election(self, pre_vote: bool) -> None:
        """Ask for votes. A pre-vote only asks whether they would be granted, so that a voter that returns
        from a partition with a high term does not depose a working leader."""
        if self.identity not in self.log.voters:
            return
        if self.role is not Role.CANDIDATE:
            self.role = Role.CANDIDATE
            self.outbox.effects.append(RoleChanged())
        self.pre_vote, self.votes_received = pre_vote, {self.identity}
        if not pre_vote:
            self.term, self.voted_for = self.term + 1, self.identity
            self.outbox.unwritten.append(self._hard_state())
        send = self._send if pre_vote else self._send_when_stored
        log = self.log
        request = RequestVote(
            self.epoch, self._election_term(), self.identity, log.last_index, log.last_term, pre_vote
        )
        for voter in log.voters:
            if voter != self.identity:
                send(voter.name, request)
        self._count_votes()

    def _election_term(self) -> int:
        """The term for which votes are requested."""
        return self.term + 1 if self.pre_vote else self.term

    def _count_votes(self) -> None:
        if self.role is not Role.CANDIDATE or not self._is_quorum(self.votes_received):
            return
        if self.pre_vote:
            self._start_election(pre_vote=False)
        elif self.outbox.is_durable:  # its own vote counts once it is stored
            self._become_leader()

    def _on_request_vote(self, message: RequestVote) -> None:
        if message.term < self.term or (message.pre_vote and message.term == self.term):
            self._reply_to_vote(message, self.term, granted=False)
            return
        log = self.log
        up_to_date = (message.last_term, message.last_index) >= (log.last_term, log.last_index)
        eligible = up_to_date and self.identity in log.voters
        if message.pre_vote:
            # A voter that does not hear the leader must not depose it while it is heard here.
            granted = eligible and self.leader_silent and self.role is not Role.LEADER
        else:
            granted = eligible and self.voted_for in (None, message.sender)
            if granted and self.voted_for is None:
                self.voted_for = message.sender
                self.outbox.unwritten.append(self._hard_state())
        self._reply_to_vote(message, message.term if granted else self.term, granted)

    def _reply_to_vote(self, request: RequestVote, term: int, granted: bool) -> None:
        reply = RequestVoteReply(self.epoch, term, self.identity, granted, request.pre_vote)
        self._send_when_stored(request.sender.name, reply)

    def _on_request_vote_reply(self, message: RequestVoteReply) -> None:
        if self.role is not Role.CANDIDATE or not message.granted:
            return
        if message.pre_vote == self.pre_vote and message.term == self._election_term():
            self.votes_received.add(message.sender)
            self._count_votes()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        next_index = self.log.last_index + 1
        self.progress = {v: Progress(next_index) for v in self.log.voters if v != self.identity}
        self.responsive, self.responsive_before, self.quorum_checks = set(), set(), 0
        self.learners.clear()
        self.leader = self.identity.name
        self.outbox.effects.append(RoleChanged())
        self.term_start_index = self._append_own_entry(EntryKind.NOOP, b"")

    # --- replication by the leader ------------------------------------------------------------------------

    def _append_own_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the leader's term and send it; returns its index."""
        self._replace_entries(self.log.last_index + 1, [Entry(self.term, kind, data)])
        for voter in self.log.voters:
            if voter != self.identity:
                self.progress.setdefault(voter, Progress(self.log.last_index))
        for voter, progress in self.progress.items():
            if not progress.in_flight:
                self._send_entries(voter)
        return self.log.last_index

    def _send_entries(self, voter: Voter) -> None:
        """Send the entries from ``next_index`` on, or the snapshot if the log no longer holds them all."""
        progress, log = self.progress[voter], self.log
        if progress.next_index <= log.snapshot.index:
            self._send(voter.name, InstallSnapshot(self.epoch, self.term, self.identity, log.snapshot))
            progress.in_flight = True
            return
        prev_index = progress.next_index - 1
        entries = log.entries_after(prev_index, MESSAGE_ENTRIES_BYTES_MAX)
        progress.in_flight = bool(entries)
        prev_term = log.term_at(prev_index)
        message = AppendEntries(
            self.epoch, self.term, self.identity, prev_index, prev_term, entries, self.commit_index
        )
        self._send(voter.name, message)

    def _on_append_entries_reply(self, message: AppendEntriesReply) -> None:
        sender, last_index = message.sender, self.log.last_index
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or message.term != self.term or progress is None:
            return
        self.responsive.add(sender)
        progress.in_flight = False
        if message.success:
            progress.match_index = max(progress.match_index, min(message.match_index, last_index))
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit_index()
        else:
            retry_index = min(progress.next_index - 1, message.match_index + 1)
            progress.next_index = max(progress.match_index + 1, retry_index)
        still_known = self.role is Role.LEADER and sender in self.progress
        if still_known and progress.next_index <= self.log.last_index:
            self._send_entries(sender)

    def _on_join_request(self, message: JoinRequest) -> None:
        """The sender becomes a learner: it receives the log, and becomes a voter once it has caught up."""
        sender = message.sender
        if self.role is not Role.LEADER or sender.name not in self.wanted_voters or sender in self.log.voters:
            return
        self.responsive.add(sender)
        if self.learners.get(sender.name) != sender:
            predecessor = self.learners.pop(sender.name, None)
            if predecessor is not None and predecessor not in self.log.voters:
                self.progress.pop(predecessor, None)
            self.learners[sender.name] = sender
            self.progress[sender] = Progress(self.log.last_index + 1)
        self._send_entries(sender)

    def _advance_commit_index(self) -> None:
        """Commit what a quorum has stored, but never by counting replicas of an entry of an older term:
        another leader could still replace it (Raft, figure 8)."""
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.term_at(index) != self.term:
                break
            stored_by = {v for v, p in self.progress.items() if p.match_index >= index}
            if self.durable_index >= index:
                stored_by.add(self.identity)
            if self._is_quorum(stored_by):
                self._commit_up_to(index)
                break

    def _commit_up_to(self, index: int) -> None:
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry_at(self.commit_index)
            self.outbox.effects.append(Commit(self.commit_index, entry))
            if entry.kind == EntryKind.VOTERS and self.role is Role.LEADER:
                self._on_voters_committed()
                if self.role is not Role.LEADER:
                    break

    def _on_voters_committed(self) -> None:
        """Forget the progress of removed voters; a leader that removed itself steps down."""
        voters = self.log.voters
        for voter in list(self.progress):
            if voter not in voters and self.learners.get(voter.name) != voter:
                del self.progress[voter]
        if self.is_configuration_committed and self.identity not in voters:
            self._become_follower(None)
            self.role = Role.NON_VOTER

    # --- replication at a follower ------------------------------------------------------------------------

    def _accept_leader(self, message: AppendEntries | InstallSnapshot) -> bool:
        """Whether the message is from the leader of the current term; rejects it if not."""
        if message.term < self.term:
            self._reply_to_append(message, success=False, match_index=0)
            return False
        if self.role is Role.CANDIDATE:
            self._become_follower(message.sender.name)
        self.leader_silent = False
        self._set_leader(message.sender.name)
        return True

    def _reply_to_append(
        self, request: AppendEntries | InstallSnapshot, success: bool, match_index: int
    ) -> None:
        reply = AppendEntriesReply(self.epoch, self.term, self.identity, success, match_index)
        self._send_when_stored(request.sender.name, reply)

    def _on_append_entries(self, message: AppendEntries) -> None:
        if not self._accept_leader(message):
            return
        log = self.log
        prev_index, prev_term, entries = message.prev_index, message.prev_term, message.entries
        if prev_index < log.snapshot.index:  # the snapshot's entries are committed, so equal on all nodes
            entries = entries[log.snapshot.index - prev_index :]
            prev_index, prev_term = log.snapshot.index, log.snapshot.term
        if prev_index > log.last_index or log.term_at(prev_index) != prev_term:
            self._reply_to_append(message, success=False, match_index=self._conflict_hint(prev_index))
            return
        for offset, entry in enumerate(entries):
            index = prev_index + 1 + offset
            if index > log.last_index or log.term_at(index) != entry.term:
                self._replace_entries(index, entries[offset:])
                break
        match_index = prev_index + len(entries)
        self._commit_up_to(min(message.commit_index, match_index))
        self._reply_to_append(message, success=True, match_index=match_index)

    def _conflict_hint(self, index: int) -> int:
        """The index after which the leader should retry: before all entries of the conflicting term, but not
        before the commit index."""
        log = self.log
        if index > log.last_index:
            return log.last_index
        term = log.term_at(index)
        while index > log.snapshot.index and index > self.commit_index and log.term_at(index) == term:
            index -= 1
        return index

    def _on_install_snapshot(self, message: InstallSnapshot) -> None:
        if not self._accept_leader(message):
            return
        snapshot, log = message.snapshot, self.log
        if snapshot.index > self.commit_index:
            matches = snapshot.index <= log.last_index and log.term_at(snapshot.index) == snapshot.term
            following = log.entries[snapshot.index - log.snapshot.index :] if matches else []
            self._replace_log(snapshot, following)
            self._update_voter_role()
            self.outbox.effects.append(Restore(snapshot.index, snapshot.state))
        match_index = max(snapshot.index, self.commit_index)
        self._reply_to_append(message, success=True, match_index=match_index)


def _is_pre_vote_term(message: RaftMessage) -> bool:
    """Whether the message's term is only proposed by a pre-vote, so that no node has entered it."""
    if isinstance(message, RequestVote):
        return message.pre_vote
    return isinstance(message, RequestVoteReply) and message.pre_vote and message.granted
