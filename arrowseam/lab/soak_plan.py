"""What one soak run does, drawn from its seed: endpoints, clients, discovery and signals.

A plan holds every choice; two runs of one seed differ only in the timing of the machine.
Times are microseconds from the start of the run.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

MS, SECOND = 1_000, 1_000_000
DEADLINE = 1_800 * MS  # the longest of all request classes
SHORT_DEADLINE = 600 * MS
KILL_AFTER_DEADLINE = 700 * MS  # from SIGTERM to SIGKILL, beyond the longest deadline
SETTLE_TIME = 1_500 * MS  # for a process to release its connections after all clients have left
DRAIN_GRACE = 2 * SECOND
DEDUPLICATION_WINDOW = SECOND  # in which endpoints drop retries of a keyed request
OPENING_TIMEOUT = 2 * SECOND
ENDPOINT_MODES = ("up", "up", "up", "busy", "error", "reset", "silent", "late")
REFUSING = "refuse"  # connections are refused, as the listener is closed
ENDPOINT_COUNT = 4
CROWD_IDLE, CROWD_BURST = 120, 30
DESCRIPTOR_LIMIT = 160


class Wire(StrEnum):
    """The protocol of a client."""

    LINES = "lines"
    NATS = "nats"


class ClientKind(StrEnum):
    """What a client does."""

    STAYS = "stays"  # uses its open connection until the process ends
    LEAVES = "leaves"  # closes after a while, with or without its answer
    OPENS_LATE = "rests"  # connects, and sends its opening later
    PARTIAL = "partial"  # sends half of its opening, and the rest later or never
    IDLE = "idle"  # connects and sends nothing


class RequestKind(StrEnum):
    """The class of a request, by its idempotency; the values are names of classes in the configuration."""

    IDEMPOTENT = "tech"
    NON_IDEMPOTENT = "resident"
    KEYED = "keyed"


class DiscoveryMode(StrEnum):
    """How discovery answers."""

    UP = "up"
    DOWN = "down"  # resets each call
    SLOW = "slow"
    SILENT = "silent"


@dataclass(frozen=True)
class ClientStep:
    """One client: when it connects and what it does."""

    at: int
    wire: Wire
    kind: ClientKind
    request: RequestKind
    delay: int  # until it sends its opening or the rest of it, or leaves


@dataclass(frozen=True)
class EndpointStep:
    """An endpoint changes how it answers."""

    at: int
    endpoint: int
    mode: str


@dataclass(frozen=True)
class ListStep:
    """Discovery lists an endpoint as draining, or as ready again."""

    at: int
    endpoint: int
    draining: bool


@dataclass(frozen=True)
class DiscoveryStep:
    """Discovery changes how it answers, for ``duration``."""

    at: int
    mode: DiscoveryMode
    duration: int


@dataclass(frozen=True)
class SignalStep:
    """A signal to the process that serves; ``rewrites_config``: its configuration is rewritten before it."""

    at: int
    name: str
    rewrites_config: bool = False


Step = TypeVar("Step", ClientStep, EndpointStep, ListStep, DiscoveryStep, SignalStep)


@dataclass(frozen=True)
class SoakPlan:
    """All that one run does. ``restart_at``: when a second process takes over (hot restart); 0: never.

    ``crash_at``: when the process is killed and started again; 0: never.
    ``end_at``: when SIGTERM is sent; times in ``signals_after_end`` are relative to it. ``settles``: all
    clients leave before SIGTERM, and the process has time to release their connections.
    """

    seed: int
    modes: tuple[str, ...]
    clients: tuple[ClientStep, ...]
    endpoint_steps: tuple[EndpointStep, ...]
    list_steps: tuple[ListStep, ...]
    discovery_steps: tuple[DiscoveryStep, ...]
    signals: tuple[SignalStep, ...]
    restart_at: int
    end_at: int
    signals_after_end: tuple[SignalStep, ...]
    settles: bool
    crash_at: int = 0


def draw_plan(seed: int, seconds: float = 4.0) -> SoakPlan:
    """Draw a run that gets SIGTERM after ``seconds``."""
    rnd = random.Random(seed)
    end_at = int(seconds * SECOND)
    modes = ("up", *(rnd.choice(ENDPOINT_MODES) for _ in range(ENDPOINT_COUNT - 1)))
    clients = [_draw_client(rnd, rnd.randrange(end_at + 400 * MS)) for _ in range(rnd.randint(30, 60))]
    if rnd.random() < 0.25:
        clients += _draw_crowd(rnd, end_at)
    endpoint_steps = [
        EndpointStep(rnd.randrange(end_at), rnd.randrange(1, ENDPOINT_COUNT), rnd.choice(ENDPOINT_MODES))
        for _ in range(rnd.randint(0, 4))
    ]
    list_steps = [
        ListStep(rnd.randrange(end_at), rnd.randrange(1, ENDPOINT_COUNT), rnd.random() < 0.7)
        for _ in range(rnd.randint(0, 3))
    ]
    discovery_steps = [
        DiscoveryStep(rnd.randrange(end_at), rnd.choice(list(DiscoveryMode)), rnd.randrange(2 * SECOND))
        for _ in range(rnd.randint(0, 2))
    ]
    signals = [
        SignalStep(rnd.randrange(end_at), "SIGHUP", rewrites_config=rnd.random() < 0.7)
        for _ in range(rnd.choice((0, 1, 2, 6)))
    ]
    restart_at = rnd.randrange(SECOND, end_at) if rnd.random() < 0.25 else 0
    crash_at, refusals = _draw_crash_and_refusals(seed, end_at)
    return SoakPlan(
        seed, modes, _in_order(clients), _in_order(endpoint_steps + refusals), _in_order(list_steps),
        _in_order(discovery_steps), _in_order(signals), restart_at, end_at, _draw_last_signals(rnd),
        settles=not restart_at and rnd.random() < 0.25, crash_at=0 if restart_at else crash_at,
    )  # fmt: skip


def _draw_crash_and_refusals(seed: int, end_at: int) -> tuple[int, list[EndpointStep]]:
    """Draw from a separate generator, so that the rest of a seed's plan does not change."""
    rnd = random.Random(f"{seed}: crash and refusals")
    crash_at = rnd.randrange(end_at // 4, end_at // 2) if rnd.random() < 0.2 else 0
    refusals = []
    for _ in range(rnd.choice((0, 0, 1, 2))):
        at, endpoint = rnd.randrange(end_at), rnd.randrange(1, ENDPOINT_COUNT)
        refusals.append(EndpointStep(at, endpoint, REFUSING))
        refusals.append(EndpointStep(at + rnd.randrange(2 * SECOND), endpoint, rnd.choice(ENDPOINT_MODES)))
    return crash_at, refusals


def _in_order(steps: list[Step]) -> tuple[Step, ...]:
    return tuple(sorted(steps, key=lambda step: step.at))


def _draw_client(rnd: random.Random, at: int) -> ClientStep:
    kind = rnd.choices(list(ClientKind), (6, 3, 2, 1, 1))[0]
    delay = rnd.choice((5 * MS, 100 * MS, 700 * MS, 1_500 * MS, 2_500 * MS))
    return ClientStep(at, rnd.choice(list(Wire)), kind, rnd.choice(list(RequestKind)), delay)


def _draw_crowd(rnd: random.Random, end_at: int) -> list[ClientStep]:
    """Idle clients that use up the descriptors, and then many requests at once."""
    at = rnd.randrange(end_at // 2)
    idle = [
        ClientStep(at, rnd.choice(list(Wire)), ClientKind.IDLE, RequestKind.IDEMPOTENT, 0)
        for _ in range(CROWD_IDLE)
    ]
    burst_at = at + rnd.randrange(SECOND)
    burst = [
        ClientStep(burst_at, rnd.choice(list(Wire)), ClientKind.STAYS, RequestKind.IDEMPOTENT, 0)
        for _ in range(CROWD_BURST)
    ]
    return idle + burst


def _draw_last_signals(rnd: random.Random) -> tuple[SignalStep, ...]:
    """Signals from SIGTERM to the kill; in some runs one every few milliseconds."""
    until = DEADLINE + KILL_AFTER_DEADLINE
    if rnd.random() < 0.4:
        pause = rnd.choice((2 * MS, 10 * MS))
        return tuple(
            SignalStep(at, rnd.choice(("SIGHUP", "SIGTERM", "SIGINT"))) for at in range(pause, until, pause)
        )
    return _in_order(
        [
            SignalStep(rnd.randrange(until), rnd.choice(("SIGHUP", "SIGTERM")), rnd.random() < 0.3)
            for _ in range(rnd.randint(0, 4))
        ]
    )
