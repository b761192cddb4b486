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
from arrowseam.net.loop import MS, SECOND, Conn, Loop, Passage, Steps, clock

# A server that brings nothing back for so long though it was asked is taken for lost: sound ones answer
# within a millisecond, and a consumer that stays there is served nothing.
MUTE = SECOND
AGAIN = 200 * MS  # between two tries to reach the server of a standing connection
REJECT_MS = 500  # when to come back, where it is not the module that refuses
DRAIN_START = 450 * MS  # after the signal the front still sends new consumers for a while
DRAIN_CAP = 3 * SECOND  # a longer deadline counts as this
DRAIN_EXTRA = 700 * MS  # from the deadline to the end of the process
DRAIN_SPARE = 1100 * MS  # by so much earlier the last consumer has been told


def _nothing() -> None:
    pass


class Consumer(ABC):
    """One consumer, with the call under way for it or the server that took it; a front knows its wire."""

    passage: Passage | None = None  # once it is established
    early = 16384  # bytes that a server may say before it is passed through
    sent: Callable[[], None] = staticmethod(lambda: None)  # the opening is wholly written to a server

    def __init__(self, loop: Loop, conn: Conn, connect_timeout: int) -> None:
        self.loop, self.conn = loop, conn
        self.connect_timeout = connect_timeout or 250 * MS

    # --- what a front must know ---

    @abstractmethod
    def greet(self, server: Conn, due: int, stop: Callable[[], bool]) -> Steps[str]:
        """Say what is to be said to a server that is connected; 'up' with a passage, or how it ended."""

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
        connect_due = min(due, clock() + self.connect_timeout)
        server = yield from self.loop.connect(address, connect_due, stop)
        if server is None:
            return "off" if stop() else "timeout" if clock() >= due > connect_due else "unreachable"
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
        self.listeners: list[Callable[[], None]] = []  # closed when the drain is over
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

    def _place(self, invocation: Invocation, consumer: Consumer) -> Steps[None]:
        if invocation.server:
            if (yield from self._resume(invocation, consumer)):
                yield from self._hold(invocation, consumer)
            return
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
                    yield from self._hold(invocation, consumer)
                    return
                if end == "ok":
                    self._answered(invocation, "success")
                    self.facade.report(invocation, "ok")
                    invocation.over = True
                    yield from consumer.finish(clock() + SECOND)
                    return
                if end == "off":  # called off, or the consumer has left, which pick sees
                    end = "moved" if invocation.written else "unsent"
                self.facade.report(invocation, end)
            elif isinstance(answer, Left):
                return
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
                return
            else:
                self._answered(invocation, "error")
                yield from consumer.fail()
                return

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
        """Go on serving while consumers come; move those that stand, spread over the time there is."""
        last = began + min(self.config.longest_deadline, DRAIN_CAP) + DRAIN_EXTRA - DRAIN_SPARE
        start = began + DRAIN_START
        while clock() < start:
            yield start
        while self.live or clock() < start + 150 * MS:
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
                    if not invocation.open:
                        invocation.dismissed_ms = REJECT_MS
                        invocation.wake()
            pause = now + 50 * MS
            while clock() < pause:
                yield pause
        for close in self.listeners:
            close()
        while self.live or self.pending():
            yield clock() + 20 * MS
        log("drain.done", "drained")
        self.loop.stopped = True
