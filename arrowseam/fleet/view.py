"""One proxy's view of the fleet: SWIM's probing with Lifeguard's doubts, as a pure state machine.

It owns who is believed to be there, how that is found out, refuted and passed on, and how halves that buried
each other meet again. It is driven by events with the time in them and answers with effects; it must never do
I/O, read a clock or draw a number of its own (``rnd`` is given).

A member is probed by a datagram, then through others and by a knock: a stream to its address. A stream that
its machine refuses is proof that this process has ended; silence is only ever a suspicion, then a death that
the member may refute at any time. Published: Das, Gupta, Motivala 2002; Dadgar, Phillips, Currey 2017.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from arrowseam.fleet import codec
from arrowseam.fleet.codec import ACK, ASK, NACK, PING, Datagram, Junk, StateSync
from arrowseam.fleet.cordons import Cordon, Cordons
from arrowseam.fleet.gossip import Gossip
from arrowseam.fleet.records import ENDED, Info, Life, Record, State, mark_of

MS = 1_000
SECOND = 1_000_000
Address: TypeAlias = tuple[str, int]

MOST = 4096  # members; updates of more are passed over
HEALTH_MOST = 8  # Lifeguard's S
CONFIRM = 3  # independent suspicions after which one ends at its earliest
SLICE = 50  # updates of a state sync taken in at a time
GREET = 20  # members asked at once, a period, whether they count a proxy that has just started
QUIET = SECOND // 2  # views that differ are exchanged once nothing has changed here for so long
EXCHANGE_GAP = SECOND
RETRY_LEAST, RETRY_MOST, RETRY_LATE = SECOND // 2, 4 * SECOND, 30 * SECOND
NEXT = 10 * MS  # until the next probe, where one has found proof
RETRIES = 4  # of the silent at a time, and of the others
RETRY_PART = 8  # the dead are tried again after this part of the time since the latest death
RETRY_YOUNG = 600 * SECOND  # and no seldomer than ``RETRY_MOST`` for so long
FAREWELLS = 5  # members told directly by who leaves
NUMBERS = (1 << 40) - 1  # bits of a process's nonce that its numbers begin with


@dataclass(frozen=True)
class Spec:
    """What the operators set. Spans in microseconds."""

    fleet: str = "fleet"
    seeds: tuple[Address, ...] = ()
    period: int = 300 * MS  # between two probes
    timeout: int = 100 * MS  # of a probe, before others are asked
    indirect: int = 3  # how many others
    suspicion: float = 2.5  # its least: periods, times the decimal logarithm of the fleet
    stretch: float = 3.0  # its most: times the least
    forget: int = 3600 * SECOND  # a member that has ended is kept so long, if there are more than configured
    configured: int = 1
    lifeguard: bool = True  # off only to be compared with


# --- effects ----------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Send:
    to: Address
    data: bytes


@dataclass(frozen=True)
class Stream:
    """Connect, send, hear one frame; ``View.ended`` is told how it went."""

    token: int
    to: Address
    data: bytes


@dataclass(frozen=True)
class Note:
    """A line for the log."""

    event: str
    text: str
    member: str
    level: str = "info"


@dataclass(frozen=True)
class Cordoned:
    server: str
    out: bool


Effect: TypeAlias = Send | Stream | Note | Cordoned


# --- what is under way ------------------------------------------------------------------------------------


@dataclass
class Probe:
    number: int
    target: Record
    sent: int
    nacks_due: int = 0
    nacks: int = 0


@dataclass
class Relayed:
    """A probe made for another member."""

    asker: Record
    number: int


@dataclass
class Suspicion:
    since: int
    who: Life
    least: int
    most: int
    need: int
    by: set[str] = field(default_factory=set)

    @property
    def ends(self) -> int:
        """Sooner the more members suspect it independently."""
        if self.need <= 0:
            return self.since + self.least
        part = math.log(max(1, len(self.by))) / math.log(self.need + 1)
        return self.since + max(self.least, int(self.most - (self.most - self.least) * part))


class View:
    def __init__(self, me: Record, spec: Spec, rnd: random.Random, info: Info | None = None) -> None:
        self.me, self.spec, self.rnd, self.info = me, spec, rnd, info
        self.records: dict[str, Record] = {}  # of the others, by name
        self.since: dict[str, int] = {}  # when each was last said to be what it is
        self.infos: dict[str, tuple[Info, int]] = {}
        self.digests: dict[str, int] = {}  # what each said last of its view
        self.cordons = Cordons()
        self.gossip = Gossip()
        self.ring: list[str] = []  # whom to probe, in a random order, each once a round
        self.at = 0
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.streams: dict[int, Life | None] = {}  # by token: who is knocked at
        self.met = False  # by all who take part, in the life we live now
        self.acked: set[Life] = set()  # who has answered the life we live now
        self.refused: set[Life] = set()  # whom we were refused to ourselves, in the life we live now
        self.settled: set[str] = set()  # names none of whose lives can count out the life we live now
        self.counted_out: set[str] = set()  # names that have ended, by evidence of our own
        self.backlog: deque[Record] = deque()  # of state syncs, not taken in yet
        self.rivals: set[int] = set()  # nonces that our name was met with
        self.health = 0
        self.leaving = False
        # Numbers of one process are no other's: a late answer to a former life is told by them.
        self.number = self.floor = (me.nonce & NUMBERS) << 20
        self.members = mark_of(me)  # digest of who takes part
        self.changed_at = self.exchanged_at = -(1 << 62)
        self.buried_at = 0
        self.retry_due: int | None = None
        self.probe_due = 0  # which timer of a probe is the one that counts
        self.timers: list[tuple[int, int, str, Any]] = []
        self.order = 0
        self.due: int | None = None  # when to be woken
        self.now = 0
        self.out: list[Effect] = []
        self.figures: Counter[str] = Counter()
        # Round trips of probes, microseconds, for whoever keeps a histogram.
        self.trips: deque[int] = deque(maxlen=256)

    # --- what it says -------------------------------------------------------------------------------------

    @property
    def digest(self) -> int:
        return self.members ^ self.cordons.digest

    @property
    def count(self) -> int:
        """Members that take part, with us."""
        return len(self.ring) + 1

    @property
    def known(self) -> int:
        """Names known, with ours."""
        return len(self.records) + 1

    @property
    def over(self) -> int:
        """Names that are counted out: they have ended, by evidence of our own."""
        return len(self.counted_out)

    @property
    def strange(self) -> int:
        """Names that may have counted us out, with those that are configured and unknown."""
        others = max(self.spec.configured, self.known) - 1
        return others if self.leaving else others - len(self.settled)

    def _evidence(self, r: Record) -> bool:
        """Whether this very life answered ours, was refused to us, or was written off by an operator."""
        return r.who in self.acked or r.who in self.refused or (r.state is State.LEFT and r.by != "")

    def _judge(self, name: str) -> None:
        """Whether a name is counted out, and whether it may count us out.

        A name is settled for good, for the life we live: whoever starts under it later has not met our former
        life, and so cannot count that out.
        """
        r = self.records.get(name)
        if r is None:
            self.counted_out.discard(name)
            self.settled.discard(name)
            return
        evidence = self._evidence(r)
        if evidence:
            self.settled.add(name)
        if evidence and r.state in ENDED:
            self.counted_out.add(name)
        else:
            self.counted_out.discard(name)

    def _meet(self) -> None:
        if not self.met and not self.leaving and self.known >= self.spec.configured:
            self.met = all(name in self.settled for name in self.ring)

    # --- events -------------------------------------------------------------------------------------------

    def start(self, now: int) -> list[Effect]:
        self._open(now)
        self._probe_in(int(self.rnd.random() * self.spec.period))
        for seed in self.spec.seeds:
            if seed != self.me.address:
                self._exchange(seed)
        self._retry_in(RETRY_LEAST)
        return self._close()

    def wake(self, now: int) -> list[Effect]:
        """Run what is due."""
        self._open(now)
        while self.timers and self.timers[0][0] <= now:
            _, _, what, data = heapq.heappop(self.timers)
            match what:
                case "probe" if data == self.probe_due:
                    self._probe_next()
                case "indirect":
                    self._probe_others(data)
                case "suspicion":
                    self._suspicion_due(data)
                case "nack":
                    self._nack(data)
                case "retry" if data == self.retry_due:
                    self._retry()
                case "merge":
                    self._merge()
                    break  # the next helping is another round's
        return self._close()

    def datagram(self, now: int, data: bytes) -> list[Effect]:
        self._open(now)
        try:
            message = codec.decode(data, self.spec.fleet)
        except Junk as junk:
            self._junk(junk)
            return self._close()
        self.figures["messages_in"] += 1
        self.figures["bytes_in"] += len(data)
        reply = self._message(message)
        if reply is not None:
            self._send(message.sender.address, reply)
        return self._close()

    def asked(self, now: int, data: bytes) -> tuple[list[Effect], bytes | None]:
        """A frame on a stream that somebody opened; what to answer."""
        self._open(now)
        answer: bytes | None = None
        try:
            message = codec.decode_stream(data, self.spec.fleet)
        except Junk as junk:
            self._junk(junk)
        else:
            if isinstance(message, StateSync):
                self._state_sync(message)
                answer = codec.encode_stream(self._state())
            elif (reply := self._message(message)) is not None:
                answer = codec.encode_stream(reply)
        return self._close(), answer

    def ended(self, now: int, token: int, how: str, data: bytes = b"") -> list[Effect]:
        """A stream of ours is over: ``ok`` with the frame that came, ``refused``, or ``silent``."""
        self._open(now)
        if token in self.streams:
            self._ended(self.streams.pop(token), how, data)
        return self._close()

    def cordon(self, now: int, wall_ms: int, server: str, out: bool) -> list[Effect]:
        """Our own operator's word."""
        self._open(now)
        update = self.cordons.say(server, out, self.me.name, wall_ms)
        if update is not None:
            self.changed_at = now
            self.gossip.add(update)
        return self._close()

    def leave(self, now: int) -> list[Effect]:
        """This process is about to end, on purpose."""
        self._open(now)
        if not self.leaving:
            self.leaving, self.met = True, False
            self._become(incarnation=self.me.incarnation + 1, state=State.LEFT)
            here = [n for n in self.ring if self.records[n].here]
            for name in self.rnd.sample(here, min(FAREWELLS, len(here))):
                self._ping(self.records[name])
        return self._close()

    def forget(self, now: int, name: str) -> bool | list[Effect]:
        """An operator's word that a member that is dead to us will not come back; False if it isn't dead."""
        record = self.records.get(name)
        if record is None or record.here:
            return False
        self._open(now)
        self._set(record.as_(State.LEFT, self.me.name))
        return self._close()

    # --- the frame of each event --------------------------------------------------------------------------

    def _open(self, now: int) -> None:
        # Counted once: what waited while we stood still comes all at one time, each an event of its own.
        late = now - max(self.due, self.now) if self.due is not None else 0
        self.now, self.out = now, []
        if late > self.spec.period // 2 and self.spec.lifeguard:
            self._stalled(late)

    def _close(self) -> list[Effect]:
        self._meet()
        self.due = self.timers[0][0] if self.timers else None
        return self.out

    def _stalled(self, late: int) -> None:
        """We stood still, not the others: no verdict on what was under way, and more patience from now on.

        Guards against a process that wakes after ten seconds, finds all its probes unanswered and buries the
        fleet.
        """
        self.figures["stalls"] += 1
        self._doubt(1 + late // self.spec.period)
        self.probe = None
        self.relayed.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += late

    def _doubt(self, more: int) -> None:
        if self.spec.lifeguard:
            self.health = max(0, min(HEALTH_MOST, self.health + more))

    def _arm(self, at: int, what: str, data: Any = None) -> None:
        self.order += 1
        heapq.heappush(self.timers, (at, self.order, what, data))

    def _junk(self, junk: Junk) -> None:
        self.figures["foreign" if "another fleet" in str(junk) else "junk"] += 1

    # --- messages -----------------------------------------------------------------------------------------

    def _next(self) -> int:
        self.number += 1
        return self.number

    def _write(
        self,
        kind: int,
        number: int,
        first: Record | None = None,
        about: Record | None = None,
        counted: bool = True,
        news: bool = True,
    ) -> Datagram:
        """A message with as much news as fits, if any; ``first`` goes before all other news."""
        bare = Datagram(
            codec.VERSION,
            self.spec.fleet,
            kind,
            number,
            self.me,
            self.digest,
            about,
            [],
            [],
            counted,
            self.info,
        )
        room = codec.DATAGRAM_MAX - len(codec.encode(bare)) - 16
        told: list[Record] = []
        if first is not None:
            told.append(first)
            room -= codec.size(first)
        records, cordons = self.gossip.take(self.count, room) if news else ([], [])
        return Datagram(
            codec.VERSION, self.spec.fleet, kind, number, self.me, self.digest, about,
            told + [r for r in records if r != first], cordons, counted, self.info,
        )  # fmt: skip

    def _send(self, to: Address, message: Datagram) -> None:
        data = codec.encode(message)
        self.figures["messages_out"] += 1
        self.figures["bytes_out"] += len(data)
        self.out.append(Send(to, data))

    def _ping(self, target: Record, number: int | None = None, news: bool = True) -> int:
        """The suspect is told first of all what is said of it."""
        number = self._next() if number is None else number
        told = target if target.state is not State.ALIVE and self.spec.lifeguard else None
        self._send(target.address, self._write(PING, number, first=told, news=news))
        return number

    def _message(self, m: Datagram) -> Datagram | None:
        """Take in a message; what to answer its sender."""
        if m.sender.name == self.me.name and m.sender.nonce == self.me.nonce:
            self.figures["echoes"] += 1
            return None
        self._hear(m.sender)
        held = self.records.get(m.sender.name)
        counts = held is not None and held.who == m.sender.who and held.state not in ENDED
        if m.info is not None and counts:
            self.infos[m.sender.name] = m.info, self.now
        if counts:
            self.digests[m.sender.name] = m.digest
        for record in m.news:
            self._hear(record)
        self._take_cordons(m.cordons)
        # What we hold of it and it does not say itself, it may refute.
        first = held if held is not None and held.key > m.sender.key else None
        reply: Datagram | None = None
        match m.kind:
            case _ if m.sender.state is State.LEFT:
                pass
            case codec.PING:
                reply = self._write(ACK, m.number, first=first, counted=counts)
            case codec.ACK:
                self._acked(m)
            case codec.ASK if m.about is not None:
                number = self._next()
                self.relayed[number] = Relayed(m.sender, m.number)
                known = self.records.get(m.about.name)
                self._ping(known if known is not None and known.who == m.about.who else m.about, number)
                self._arm(self.now + self.spec.timeout * 4 // 5, "nack", number)
            case codec.NACK:
                if self.probe is not None and self.probe.number == m.number:
                    self.probe.nacks += 1
            case _:
                self.figures["unknown"] += 1
        self._compare(m)
        return reply

    def _compare(self, m: Datagram) -> None:
        """Exchange state syncs where two views that have come to rest differ."""
        gap = EXCHANGE_GAP * max(1, self.count // 100)
        if (
            m.digest != self.digest
            and m.sender.state is not State.LEFT
            and self.now - self.changed_at >= QUIET
            and self.now - self.exchanged_at >= gap
        ):
            self._exchange(m.sender.address)

    # --- state syncs -------------------------------------------------------------------------------------

    def _state(self) -> StateSync:
        cordons = list(self.cordons.held.values())
        return StateSync(
            codec.VERSION, self.spec.fleet, self.me, list(self.records.values()), cordons, self.info
        )

    def _exchange(self, to: Address, who: Life | None = None) -> None:
        self.exchanged_at = self.now
        self.figures["exchanges"] += 1
        token = self._next()
        self.streams[token] = who
        self.out.append(Stream(token, to, codec.encode_stream(self._state())))

    def _state_sync(self, state: StateSync) -> None:
        if state.sender.name == self.me.name and state.sender.nonce == self.me.nonce:
            return
        self._hear(state.sender)
        if state.info is not None:
            self.infos[state.sender.name] = state.info, self.now
        self._take_cordons(state.cordons)
        if len(self.backlog) < 2 * MOST:
            self.backlog.extend(state.records)
        else:
            self.figures["surplus"] += len(state.records)
        self._merge()

    def _merge(self) -> None:
        """Some of what state syncs brought, the rest in the next rounds: 500 updates take 20 ms."""
        for _ in range(min(SLICE, len(self.backlog))):
            # A death that the other side of a split believes in is no more than a suspicion here.
            self._hear(self.backlog.popleft(), mild=True)
        if self.backlog:
            self._arm(self.now, "merge")

    def _take_cordons(self, updates: Iterable[Cordon]) -> None:
        for update in updates:
            known = self.cordons.held.get(update.server)
            was = known is not None and known.is_out
            found = self.cordons.take(update)
            if found is not None:
                self.changed_at = self.now
                self.gossip.add(found)
                if found.is_out != was:
                    self.out.append(Cordoned(found.server, found.is_out))

    def _knock(self, target: Record | Address) -> None:
        """A stream to an address: it answers, is refused by its machine, or silent."""
        record = target if isinstance(target, Record) else None
        to = target.address if isinstance(target, Record) else target
        token = self._next()
        self.streams[token] = record.who if record is not None else None
        first = record if record is not None and record.state is not State.ALIVE else None
        message = self._write(PING, token, first=first)
        self.figures["knocks"] += 1
        self.out.append(Stream(token, to, codec.encode_stream(message)))

    def _ended(self, who: Life | None, how: str, data: bytes) -> None:
        record = self.records.get(who[0]) if who is not None else None
        if record is not None and record.who != who:
            record = None
        if how == "refused":
            if record is not None:
                self.refused.add(record.who)
                self._judge(record.name)
            if record is not None and record.state < State.GONE:
                self._set(record.as_(State.GONE, self.me.name))
                if self.probe is not None and self.probe.target.who == who:
                    # Found, and no fault of ours: on to the next at once, where many may have ended together.
                    self.probe = None
                    self._probe_in(NEXT)
            return
        if how != "ok":
            return
        try:
            message = codec.decode_stream(data, self.spec.fleet)
        except Junk as junk:
            self._junk(junk)
            return
        if isinstance(message, StateSync):
            self._state_sync(message)
            return
        was_here = record is None or record.here
        self._message(message)
        if not was_here or message.digest != self.digest:
            self._exchange(message.sender.address)  # it was buried: its side has much to tell

    # --- probing ------------------------------------------------------------------------------------------

    def _probe_in(self, span: int) -> None:
        self.probe_due = self._next()
        self._arm(self.now + span, "probe", self.probe_due)

    def _probe_next(self) -> None:
        self._verdict()
        self.probe = None
        slow = 1 + self.health
        self._probe_in(self.spec.period * slow)
        if self.leaving:
            return
        self._greet()
        while self.ring:
            if self.at >= len(self.ring):
                self.at = 0
                self.rnd.shuffle(self.ring)
            target = self.records[self.ring[self.at]]
            self.at += 1
            number = self._ping(target)
            self.probe = Probe(number, target, self.now)
            self._arm(self.now + self.spec.timeout * slow, "indirect", (number, self.now))
            self.figures["probes"] += 1
            return

    def _greet(self) -> None:
        """Just started: ask those who have not answered this life yet."""
        if self.met:
            return
        strange = [n for n in self.ring if n not in self.settled]
        for name in self.rnd.sample(strange, min(GREET, len(strange))):
            self._ping(self.records[name], news=False)  # to choose news for each takes the loop 6 ms at 500

    def _probe_others(self, what: tuple[int, int]) -> None:
        """No answer in time: ask others to ask, and knock."""
        probe = self.probe
        if probe is None or probe.number != what[0]:
            return
        self.figures["indirect"] += 1
        name = probe.target.name
        others = [n for n in self.ring if n != name and self.records[n].state is State.ALIVE]
        for other in self.rnd.sample(others, min(self.spec.indirect, len(others))):
            probe.nacks_due += 1
            self._send(self.records[other].address, self._write(ASK, probe.number, about=probe.target))
        self._knock(self.records.get(name, probe.target))

    def _acked(self, m: Datagram) -> None:
        relayed = self.relayed.pop(m.number, None)
        if relayed is not None:
            answer = self._write(ACK, relayed.number, about=m.sender)
            self._send(relayed.asker.address, answer)
        if m.about is not None:
            self._hear(m.about)
        elif m.counted and self.floor <= m.number <= self.number:
            self._answered(m.sender)
        probe = self.probe
        reached = m.about if m.about is not None else m.sender
        if probe is not None and reached.who == probe.target.who:
            if m.number == probe.number:
                self.trips.append(self.now - probe.sent)
            self.probe = None
            self._doubt(-1)

    def _answered(self, r: Record) -> None:
        """It holds the life we live now: it does not count us out, and has our number for its own end."""
        held = self.records.get(r.name)
        if held is not None and held.who == r.who:
            self.acked.add(r.who)
            self._judge(r.name)

    def _nack(self, number: int) -> None:
        relayed = self.relayed.pop(number, None)
        if relayed is not None and self.spec.lifeguard:
            self._send(relayed.asker.address, self._write(NACK, relayed.number))

    def _verdict(self) -> None:
        """The last probe has had its time."""
        probe = self.probe
        if probe is None:
            return
        self.figures["failed"] += 1
        # Others that could not tell us so much as that they failed: it is we who are cut off or slow.
        self._doubt(max(0, probe.nacks_due - probe.nacks) if probe.nacks_due else 1)
        held = self.records.get(probe.target.name)
        if (
            held is not None
            and held.who == probe.target.who
            and held.incarnation == probe.target.incarnation
            and held.here
        ):
            self._suspect(held, self.me.name)

    # --- suspicion ----------------------------------------------------------------------------------------

    def _suspect(self, record: Record, by: str) -> None:
        if record.state is State.ALIVE:
            self._set(record.as_(State.SUSPECT, by))
        else:
            self._confirm(record, by)

    def _confirm(self, record: Record, by: str) -> None:
        suspicion = self.suspicions.get(record.name)
        if suspicion is None or not by or by in suspicion.by or len(suspicion.by) > suspicion.need:
            return
        suspicion.by.add(by)
        self.gossip.add(record.as_(State.SUSPECT, by))
        self._arm(suspicion.ends, "suspicion", record.name)

    def _doubted(self, record: Record) -> None:
        """A suspicion begins."""
        least = int(self.spec.suspicion * self.spec.period * max(1.0, math.log10(self.count)))
        need = min(CONFIRM, self.count - 2)
        most = int(least * self.spec.stretch)
        if not self.spec.lifeguard:
            need, least = 0, most
        suspicion = Suspicion(self.now, record.who, least, most, need, {record.by})
        self.suspicions[record.name] = suspicion
        self._arm(suspicion.ends, "suspicion", record.name)

    def _suspicion_due(self, name: str) -> None:
        suspicion, record = self.suspicions.get(name), self.records.get(name)
        if suspicion is None or record is None or suspicion.who != record.who:
            return
        if suspicion.ends > self.now:  # put off since
            self._arm(suspicion.ends, "suspicion", name)
            return
        self._set(record.as_(State.DEAD, self.me.name))

    # --- updates about members ------------------------------------------------------------------------------

    def _hear(self, r: Record, mild: bool = False) -> None:
        if r.name == self.me.name:
            self._about_us(r)
            return
        known = self.records.get(r.name)
        if known is None:
            if len(self.records) >= MOST:
                self.figures["surplus"] += 1
            else:
                self._set(r)
            return
        if mild and r.state is State.DEAD and known.here and r.who == known.who:
            r = r.as_(State.SUSPECT, r.by)
        if r.key > known.key:
            self._set(r)
        elif r.key == known.key and r.state is State.SUSPECT:
            self._confirm(known, r.by)

    def _about_us(self, r: Record) -> None:
        me = self.me
        if (r.life, r.nonce) == (me.life, me.nonce):
            if r.state is not State.ALIVE and r.incarnation >= me.incarnation and not self.leaving:
                self.figures["refuted"] += 1
                self._doubt(1)
                self._become(incarnation=r.incarnation + 1)
                self._note("member.refuted", f"{r.by or 'somebody'} held us {r.state.name.lower()}")
            elif r.incarnation > me.incarnation:
                self._become(incarnation=r.incarnation)
            return
        if (r.life, r.nonce) < (me.life, me.nonce):
            self.gossip.add(me)  # somebody still has our former life
            return
        # A later life of our name: our clock went back, or another process uses it.
        if r.nonce in self.rivals and r.state is State.ALIVE:
            old = me.name
            self.figures["namesakes"] += 1
            self._become(name=f"{old[:50]}~{me.nonce & 0xFFFFFFFF:08x}")
            self._note(
                "member.namesake", f"{r.host}:{r.port} is called {old} too; we go by {self.me.name}", "error"
            )
            self._set(r)
            return
        self.rivals.add(r.nonce)
        self._become(life=r.life + 1, incarnation=0)

    def _become(self, **fields: Any) -> None:
        """Say something new of ourselves."""
        old = self.me
        self.members ^= mark_of(old)
        self.me = Record(**({f: getattr(old, f) for f in old.__struct_fields__} | {"by": ""} | fields))
        self.members ^= mark_of(self.me)
        if self.me.who != old.who:
            self.acked.clear()
            self.refused.clear()
            self.settled.clear()
            self.counted_out.clear()
            self.met = False
            self.floor = self._next()
        self.changed_at = self.now
        self.gossip.add(self.me)

    def _set(self, r: Record) -> None:
        """An update that holds from now on."""
        known = self.records.get(r.name)
        self.records[r.name] = r
        if known is not None:
            self.members ^= mark_of(known)
        self.members ^= mark_of(r)
        fresh = known is None or known.state != r.state or known.who != r.who
        if fresh:
            self.since[r.name] = self.now
        if known is not None and known.who != r.who:
            self.acked.discard(known.who)
            self.refused.discard(known.who)
            self.infos.pop(r.name, None)
            self.digests.pop(r.name, None)
        self._judge(r.name)
        self.gossip.add(r)
        if r.here and (known is None or not known.here):
            self.ring.insert(self.rnd.randrange(len(self.ring) + 1), r.name)
        elif not r.here and known is not None and known.here:
            at = self.ring.index(r.name)
            del self.ring[at]
            self.at -= at < self.at
        self.suspicions.pop(r.name, None)
        if r.state is State.SUSPECT:
            self._doubted(r)
        elif not r.here:
            self.buried_at = self.now
            self._retry_in(RETRY_LEAST)
        if fresh:
            self.changed_at = self.now
            self.figures[r.state.name.lower()] += 1
            by = f", says {r.by}" if r.by else ""
            self._note(f"member.{r.state.name.lower()}", f"{r.name} at {r.host}:{r.port}{by}", member=r.name)

    def _note(self, event: str, text: str, level: str = "info", member: str = "") -> None:
        self.out.append(Note(event, f"fleet: {event.removeprefix('member.')}: {text}", member, level))

    # --- meeting again ------------------------------------------------------------------------------------

    def _retry_in(self, gap: int) -> None:
        at = self.now + int(gap * (0.75 + 0.5 * self.rnd.random()))
        if self.retry_due is None or at < self.retry_due:
            self.retry_due = at
            self._arm(at, "retry", at)

    def _retry(self) -> None:
        """Knock at one who is dead to us, or at an address we were told and have not met anybody at."""
        self.retry_due = None
        self._reap()
        if self.leaving:
            return
        # Also who has left: it may have started again where all that it was told to begin with are gone.
        dead = [r for r in self.records.values() if not r.here]
        met = {r.address for r in self.records.values() if r.here} | {self.me.address}
        seeds = [seed for seed in self.spec.seeds if seed not in met]
        if not dead and not seeds:
            return
        # Those of whom we have no evidence that they have ended first: they take room until then.
        unproven = [r for r in dead if r.name not in self.counted_out]
        rest: list[Record | Address] = [*(self.records[n] for n in sorted(self.counted_out)), *seeds]
        for record in self.rnd.sample(unproven, min(RETRIES, len(unproven))):
            self._knock(record)
        for other in self.rnd.sample(rest, min(RETRIES, len(rest))):
            self._knock(other)
        age = self.now - self.buried_at
        most = RETRY_MOST if age < RETRY_YOUNG else RETRY_LATE
        self._retry_in(min(most, max(RETRY_LEAST, age // RETRY_PART)))

    def _reap(self) -> None:
        """Let go of members that have ended long ago, but never so many that fewer are known than configured:
        those who stay take their room only while it is known that they have ended."""
        spare = self.known - self.spec.configured
        for name, r in list(self.records.items()):
            if spare <= 0:
                return
            if r.state in ENDED and self.now - self.since[name] >= self.spec.forget:
                spare -= 1
                del self.records[name], self.since[name]
                self._judge(name)
                self.infos.pop(name, None)
                self.digests.pop(name, None)
                self.gossip.drop(name)
