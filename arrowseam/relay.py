"""The core: an invocation's life from its arrival to its end.

It owns the order of things: pick, call, report, next; one final answer; the old call closed before the next
opens; moves, and the drain at the end of the process. It must never know a wire (a front hands it a
``Consumer`` that does), decide where an invocation goes, or have two calls out for one invocation.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import Any

from arrowseam.config.proxy import Config
from arrowseam.facade import Call, Facade, Invocation, Left, Rejection
from arrowseam.logs import log
from arrowseam.net.address import Address, parse_address
from arrowseam.net.loop import MS, SECOND, Conn, Listener, Loop, Passage, Steps, clock

# A server that brings nothing back for so long though it was asked is taken for lost: sound ones answer
# within a millisecond, and a consumer that stays there is served nothing.
MUTE = SECOND
AGAIN = 200 * MS  # between two tries to reach the server of a standing connection
REJECT_MS = 500  # when to come back, where it is not the module that refuses
DRAIN_START = 450 * MS  # after the signal the front still sends new consumers for a while
DRAIN_CAP = 3 * SECOND  # a longer deadline counts as this
DRAIN_EXTRA = 700 * MS  # from the deadline to the end of the process
DRAIN_SPARE = 1100 * MS  # by so much earlier the last consumer has been told
DRAIN_QUEUE = 150 * MS  # from the start of the moves, at least, until nobody is taken any more
DRAIN_LEFT = 100 * MS  # before the end allowed whoever has had an answer and still does not go is left


def _nothing() -> None:
    pass


class Consumer(ABC):
    """One consumer, with the call under way for it or the server that took it; a front knows its wire."""

    passage: Passage | None = None  # once it is established
    early = 16384  # bytes that a server may say before it is passed through
    sent: Callable[[], None] = staticmethod(lambda: None)  # the opening is wholly written to a server
    # Asked right before the opening is written, and the last word on it: whether it may be.
    fits: Callable[[], bool] = staticmethod(lambda: True)

    def __init__(self, loop: Loop, conn: Conn, connect_timeout: int) -> None:
        self.loop, self.conn = loop, conn
        self.connect_timeout = connect_timeout or 250 * MS

    # --- what a front must know ---

    @abstractmethod
    def greet(self, server: Conn, due: int, stop: Callable[[], bool]) -> Steps[str]:
        """Say what is to be said to a server that is connected; 'up' with a passage, or how it ended.

        The opening is written only if ``fits`` says so then, else the end is 'off'.
        """

    @abstractmethod
    def step(self) -> str | None:
        """Pass on what there is. How the connection ended ('ok', 'moved', 'reset', 'left'), or None."""

    @abstractmethod
    def last_word(self) -> bytes:
        """What asks a consumer to come again."""

    @abstractmethod
    def reject(self, retry_ms: int) -> Steps[None]:
        """Final answer: refused, trying again is harmless."""

    @abstractmethod
    def fail(self) -> Steps[None]:
        """Final answer: failed."""

    @abstractmethod
    def export(self) -> dict[str, Any]:
        """What another process of this proxy must know of the wire to go on with what stands."""

    def address(self, server_name: str, address: Address) -> Address | None:
        """Where this wire reaches a server; None where it does not."""
        return address

    def look_at(self) -> int | None:
        """When ``step`` wants to be called though nothing has come."""
        return None

    def loads(self) -> list[float]:
        """Loads told by the server since the last call."""
        return []

    # --- what holds on any wire ---

    def call(self, server_name: str, found: Address, due: int, stop: Callable[[], bool]) -> Steps[str]:
        """Make one invoker call; 'up', or how it ended, and then it is closed."""
        address = self.address(server_name, found)
        if address is None:
            return "unreachable"
        if self.loop.spent:
            self.loop.make_room()
            if self.loop.spent:
                return "off"  # for want of descriptors here, which says nothing of the server
        connect_due = min(due, clock() + self.connect_timeout)
        server = yield from self.loop.connect(address, connect_due, stop)
        if server is None:
            return "off" if stop() else "unreachable"  # nothing was written: it has never run
        server.inbox.limit = self.early
        end = "reset"
        try:
            end = yield from self.greet(server, due, stop)
        finally:
            if end != "up":
                server.close()  # before anything else is tried for this invocation
        return end

    def mute_since(self) -> int | None:
        """When something was first asked of the server that it has not answered in any way."""
        return self.passage.asked_at if self.passage else None

    def farewell(self, due: int, word: bytes = b"") -> Steps[None]:
        """Our last word between two messages, then both sides are closed."""
        if self.passage is not None:
            yield from self.passage.farewell(word or self.last_word(), due)
            self.passage.server.close()
        yield from self.conn.part(due)

    def finish(self, due: int) -> Steps[None]:
        """End both sides alike."""
        if self.passage is not None:
            yield from self.passage.finish(due)
        else:
            yield from self.conn.part(due)

    def answer(self, line: bytes) -> Steps[None]:
        due = clock() + SECOND // 2
        yield from self.conn.send(line, due)
        yield from self.conn.part(due)

    def close(self) -> None:
        """Nothing of it may stay open."""
        if self.passage is not None:
            self.passage.server.close()
        self.conn.close()


class Figures:
    """What has happened since the process began, counted where it happens.

    An invocation counts once, under its class's name, so that a class that is dropped keeps its figures.
    """

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, str]] = Counter()  # by class and success, overload or error
        self.resets = 0  # connections that stood and broke
        self.ups, self.up_log = 0, 0.0  # times to UP: how many, the sum of their logarithms in milliseconds
        self.dispatches = 0  # openings written to servers to their last byte
        self.reload_success = self.reload_failure = 0


class Relay:
    def __init__(self, loop: Loop, config: Config, facade: Facade) -> None:
        self.loop, self.config, self.facade = loop, config, facade
        self.ask: Callable[[bool], None] = lambda whole: None
        self.probe: Callable[[str], object] = lambda server: None
        self.figures = Figures()
        self.live: dict[int, Invocation] = {}  # every invocation that is not over
        self.count = 0
        self.draining = False
        self.trace = False  # log every call and every end
        self.random = random.Random(config.seed)
        self.listeners: list[Listener] = []  # closed when the drain is over
        self.closing = False  # they are: who has not said yet what it wants is answered and ended
        # Set while another process of this proxy takes what stands; whether it has been sent there.
        self.pass_on: Callable[[Invocation, Consumer], bool] | None = None
        self.pending: Callable[[], bool] = lambda: False  # whether some of it is still on its way there
        self.quiet = 0
        loop.turn = self.turn

    def turn(self, now: int) -> int | None:
        """Once a round of the loop: run the module's timers and do what it asks for."""
        turn = self.facade.tick(now)
        for text in turn.logs:
            log("module.note", f"module: {text}")
        if turn.watch or turn.fetch:
            self.ask(turn.fetch)
        for server in turn.probes:
            self.probe(server)
        for invocation in turn.moves:
            invocation.move = True
            invocation.wake()
        return turn.wake_at

    @property
    def retry_ms(self) -> int:
        """When to come again, where it is not the module that refuses; 0 where the settings allow none."""
        limits = self.config.settings.limits
        return min(REJECT_MS, limits.max_retry_after // MS) if limits.retry_after else 0

    def _fits(self, invocation: Invocation) -> bool:
        """Whether the opening may go to its server now: the client is there, nothing forbids it since."""
        self.loop.look()
        if invocation.server:
            return not invocation.left()
        return not invocation.stop() and self.facade.may_begin(invocation)

    def dispatched(self, invocation: Invocation) -> None:
        """A front has written the whole opening to a server."""
        invocation.written = True
        self.figures.dispatches += 1

    def _up(self, began: int) -> None:
        self.figures.ups += 1
        self.figures.up_log += math.log(max(1.0, (clock() - began) / MS))

    def _answered(self, invocation: Invocation, how: str) -> None:
        self.figures.answers[invocation.klass_name, how] += 1
        invocation.over = how != "success"

    @property
    def concurrent(self) -> int:
        """Connections taken and not ended; one that only hears our last word has ended for its peers."""
        return sum(not invocation.over for invocation in self.live.values())

    # --- one invocation ---

    def serve(self, invocation: Invocation, consumer: Consumer) -> Steps[None]:
        """From the opening that a front has read to the end of the connection."""
        if self.draining and self.pass_on is None:
            # Read after the word to end: there is no telling that its answer would still come in time.
            self._answered(invocation, "overload")
            yield from consumer.reject(self.retry_ms)
            return
        yield from self._serve(invocation, consumer, self._place)

    def _serve(
        self,
        invocation: Invocation,
        consumer: Consumer,
        life: Callable[[Invocation, Consumer], Steps[None]],
    ) -> Steps[None]:
        self.count += 1
        number = self.count
        self.live[number] = invocation
        task = self.loop.current
        invocation.wake = lambda: self.loop.wake(task)
        consumer.sent = lambda: self.dispatched(invocation)
        consumer.fits = lambda: self._fits(invocation)
        try:
            yield from life(invocation, consumer)
        except Exception:
            # A fault here must not leave the module holding what is gone, nor a consumer without its answer.
            self.facade.gone(invocation)
            if not invocation.open:
                self._answered(invocation, "error")
                yield from consumer.fail()
            raise
        finally:
            consumer.close()
            self.facade.gone(invocation)
            del self.live[number]
            # Each knows the other by these: left so, only the collector would free what a connection held.
            consumer.sent = invocation.wake = _nothing
            consumer.fits = bool

    def _place(self, invocation: Invocation, consumer: Consumer) -> Steps[None]:
        find = self._resume if invocation.server else self._find
        self.loop.promised += 1
        try:
            stands = yield from find(invocation, consumer)
        finally:
            self.loop.promised -= 1
        if stands:
            yield from self._hold(invocation, consumer)

    def _find(self, invocation: Invocation, consumer: Consumer) -> Steps[bool]:
        """Try one server after the other as the module says, or give the final answer; whether it stands."""
        began = clock()
        while True:
            answer = yield from self.facade.pick(invocation)
            if isinstance(answer, Call):
                address = self.address(answer.server)
                if address is None:
                    end = "unreachable"
                else:
                    end = yield from consumer.call(answer.server, address, answer.due, invocation.stop)
                self._note_call(invocation, answer.server, end, invocation.called_at)
                if end == "up":
                    self._up(began)
                    self._answered(invocation, "success")
                    self.facade.report(invocation, "up")
                    return True
                if end == "ok":
                    self._answered(invocation, "success")
                    self.facade.report(invocation, "ok")
                    invocation.over = True
                    yield from consumer.finish(clock() + SECOND)
                    return False
                if end == "off":  # called off, forbidden meanwhile, or the consumer has left, which pick sees
                    end = "moved" if invocation.written else "unsent"
                self.facade.report(invocation, end)
            elif isinstance(answer, Left):
                return False
            elif isinstance(answer, Rejection):
                if self.trace:
                    log(
                        "connection.refused",
                        f"rejection: {invocation.name} for {answer.retry_ms} ms",
                        "debug",
                        retry_ms=answer.retry_ms,
                    )
                self._answered(invocation, "overload")
                yield from consumer.reject(answer.retry_ms)
                return False
            else:
                self._answered(invocation, "error")
                yield from consumer.fail()
                return False

    def _note_call(self, invocation: Invocation, server: str, end: str, began: int) -> None:
        if not self.trace:
            return
        spent = (clock() - began) // MS
        group = f", group {invocation.group:x}" if invocation.group else ""
        log(
            "call.ended",
            f"call: {invocation.name} at {server}: {end} after {spent} ms{group}",
            "debug",
            server=server,
            end=end,
            ms=spent,
            group=invocation.group,
        )

    def _resume(self, invocation: Invocation, consumer: Consumer) -> Steps[bool]:
        """A connection that stood before this process did: its own server or none, until time is up."""
        while not invocation.left():
            address = self.address(invocation.server)
            if address is not None:
                began = clock()
                end = yield from consumer.call(invocation.server, address, invocation.due, invocation.left)
                self._note_call(invocation, invocation.server, end, began)
                if end == "up":
                    self._answered(invocation, "success")
                    self.facade.adopt(invocation)
                    return True
                log(
                    "connection.standing",
                    f"standing connection {invocation.name} at {invocation.server}: {end}",
                )
            if clock() + AGAIN >= invocation.due:
                self._answered(invocation, "error")
                yield from consumer.fail()
                return False
            again = clock() + AGAIN
            while clock() < again and not invocation.left():
                yield again
        return False

    def give(self, pass_on: Callable[[Invocation, Consumer], bool], pending: Callable[[], bool]) -> None:
        """From now on what stands goes to another process; what is being placed does when it stands."""
        self.pass_on, self.pending = pass_on, pending
        for invocation in self.live.values():
            invocation.wake()

    def take(self, invocation: Invocation, consumer: Consumer) -> Steps[None]:
        """Go on with what stood at another process of this proxy."""
        yield from self._serve(invocation, consumer, self._taken)

    def _taken(self, invocation: Invocation, consumer: Consumer) -> Steps[None]:
        self.facade.adopt(invocation)
        yield from self._hold(invocation, consumer)

    def _hold(self, invocation: Invocation, consumer: Consumer) -> Steps[None]:
        """From the moment it stands to its end."""
        while True:
            end = consumer.step()
            for level in consumer.loads():
                self.facade.note(invocation, level)
            if end is not None:
                if self.trace:
                    mute = consumer.mute_since()
                    waited = "" if mute is None else f", unanswered for {(clock() - mute) // MS} ms"
                    log(
                        "connection.ended",
                        f"end: {invocation.name} at {self.facade.names[invocation.backend]}: {end}{waited}",
                        "debug",
                        end=end,
                    )
                self.figures.resets += end == "reset"
                self.facade.report(invocation, "moved" if end == "left" else end)
                invocation.over = True
                yield from consumer.finish(clock() + SECOND)
                return
            mute = consumer.mute_since()
            if mute is not None and clock() >= mute + MUTE:
                # Nothing was said and nothing comes: guards against a machine that has vanished silently.
                log(
                    "connection.mute",
                    f"mute: {invocation.name} moved off a server that brings nothing back",
                )
                self.facade.report(invocation, "reset")
                invocation.over = True
                yield from consumer.farewell(clock() + SECOND)
                return
            if self.pass_on is not None and not invocation.move:
                if self.pass_on(invocation, consumer):
                    self.facade.report(invocation, "moved")
                    return  # closing our copies tells nobody anything: the other process holds them too
                yield clock() + 20 * MS  # in the middle of a message: soon again
                continue
            if invocation.move:
                if self.trace:
                    log(
                        "connection.moved",
                        f"move: {invocation.name} off {self.facade.names[invocation.backend]}",
                        "debug",
                    )
                yield from consumer.farewell(clock() + SECOND)
                self.facade.report(invocation, "moved")
                return
            times = [at for at in (consumer.look_at(), mute and mute + MUTE) if at is not None]
            yield min(times, default=None)

    def address(self, server: str) -> Address | None:
        text = self.facade.addresses.get(server)
        try:
            return parse_address(text) if text else None
        except ValueError:
            return None

    # --- the end of the process ---

    def drain(self) -> None:
        if not self.draining:
            self.draining = True
            log("drain.begun", f"draining: {len(self.live)} invocations")
            self.loop.spawn(self._drain(clock()), "drain")

    def _drain(self, began: int) -> Steps[None]:
        """Move those that stand, spread over the time there is, and answer all others; then end.

        Whoever connects meanwhile is taken and refused. At the last moment nobody is taken any more, all that
        waited to be is answered too, and the process does not wait for peers that have had their answer and
        will not go.
        """
        allowed = min(self.config.longest_deadline, DRAIN_CAP) + DRAIN_EXTRA
        last, end = began + allowed - DRAIN_SPARE, began + allowed - DRAIN_LEFT
        start = began + DRAIN_START
        while clock() < start:
            yield start
        while True:
            now = clock()
            standing = [i for i in self.live.values() if i.open and not i.move]
            # What is left, over what is left of the time; all that remains at the last moment.
            left = max(1, (last - now) // (50 * MS))
            count = len(standing) if now >= last else -(-len(standing) // left)
            for invocation in self.random.sample(standing, count):
                invocation.move = True
                invocation.wake()
            if now >= last:
                for invocation in self.live.values():
                    if not invocation.open and not invocation.dismissed:
                        invocation.dismissed = True
                        invocation.wake()
            if not self.closing and now >= start + DRAIN_QUEUE and (now >= last or not self.live):
                for listener in self.listeners:
                    listener.close()
                self.closing = True
                for conn in list(self.loop.expendable):
                    self.loop.wake(conn.owner)
            serving = self.live or self.pending() or any(one.serving for one in self.listeners)
            if self.closing and (not serving or (now >= end and self.pass_on is None)):
                break
            pause = now + (20 if self.closing else 50) * MS
            while clock() < pause:
                yield pause
        log("drain.done", "drained")
        self.loop.stopped = True
