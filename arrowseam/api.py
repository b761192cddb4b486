"""The interface of the decision module: settings, events and actions.

A relay owns one ``Balancer`` and drives it with ``balancer.handle(now, events) -> actions``. All times
and spans are whole microseconds; ``now`` only ever grows and starts at no particular value. Backends are
opaque integers; nothing is read from them. An action takes effect at the time of the call that returned it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias


class UsageError(ValueError):
    """The interface was used in a way that cannot be meant: the message names the value that is wrong."""


class Effect(Enum):
    """What a repeat of a request does."""

    REPEATABLE = "repeatable"  # safe to repeat
    KEYED = "keyed"  # repeats are dropped by the backends of one group, for a time
    UNSAFE = "unsafe"  # a repeat takes effect again


class KeyScope(Enum):
    """Which backends drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended. FULL, CONNECT_FAILED and MOOT prove that it never ran."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7
    UNKNOWN = 8  # an outcome this version does not know: taken as one that may have run


class BackendState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    CHANGES = 0  # only the entries that changed
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as last held, possibly stale
    FAILED = 3  # a call failed or the subscription broke; no entries
    ASIDE = 4  # entries that changed, told by another source: says nothing of the list service


# --- settings ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim: int  # set up within this span earns the full worth
    deadline: int
    worth: float = 1.0
    effect: Effect = Effect.REPEATABLE
    key_scope: KeyScope = KeyScope.ALL
    key_ttl: int = 0
    message_aim: int = 0  # wanted time of a message on an open connection; 0 = none stated


@dataclass(frozen=True, slots=True)
class Tenant:
    share: float
    connections: float = 0.0  # open connections across all relays within its share; 0 = not stated
    rate: float = 0.0  # new connections a second, the same way


@dataclass(frozen=True, slots=True)
class Rules:
    answer_grace: int = 0
    drain_grace: int = 0
    ask_within: int = 10_000_000
    cold_share: float = 1.0
    warm_up: int = 0
    fall_multiple: float = 1.0
    overload_for: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    connect_timeout: int = 0
    max_retry_after: int = 0
    may_cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    probing: bool = False
    peers: bool = False


@dataclass(frozen=True, slots=True)
class Prices:
    """Points of the result, as shares of one, for each unit a first try."""

    cross_zone: float = 0.0
    moves: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = Rules()
    limits: Limits = Limits()
    prices: Prices = Prices()
    relay: int = 0
    relays: int = 1
    zone: int = 0
    zones: int = 1
    subscribe: bool = False  # the list comes only to those that ask for it
    live_weights: bool = False  # list weights are already lowered by load
    groups: bool = False  # connections of one group share work on a backend
    over_share_worth: float = 1.0
    report_fields: tuple[str, ...] = ()
    tick: int = 1_000
    tells_load: bool = True  # servers tell the load of a connection (LoadNote)
    tells_delay: bool = True  # slow messages are told (DelayNote); False where the wire has no word for them

    def __post_init__(self) -> None:
        if not self.classes:
            raise UsageError("settings: at least one request class is needed")
        if self.limits.max_attempts < 1:
            raise UsageError(f"settings: max_attempts must be 1 or more, not {self.limits.max_attempts}")
        if self.relays < 1 or not 0 <= self.relay < max(1, self.relays):
            raise UsageError(f"settings: relay {self.relay} is not one of {self.relays}")
        if self.rules.overload_for <= 0:
            raise UsageError("settings: overload_for must be above 0")


# --- events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the list."""

    backend: int
    zone: int = 0
    weight: float = 1.0
    kind: int = 0
    started: int = 0  # time of the last start; 0 = long ago
    state: BackendState = BackendState.READY
    cell: int = 0


@dataclass(slots=True)
class BackendList:
    kind: ListKind
    version: int = 0
    entries: tuple[Backend, ...] = ()
    more: bool = False  # the rest of the same news follows: shares are reckoned with its last part


@dataclass(slots=True)
class Request:
    """A client asks for a connection; one final answer is owed within ``time_left``."""

    request: int
    klass: int = 0
    tenant: int = 0
    key: int = 0
    time_left: int = 0
    load: float = 0.0  # the usual load of the connection; 0 = not told
    group: int = 0
    repeat: bool = False
    returned: bool = False  # the client came back after a break or a move
    rule: RequestClass | None = None  # of a class that has been dropped since; klass then means nothing


@dataclass(slots=True)
class Adopted:
    """A connection that already ran through this relay when it started (attempt 0 is made)."""

    request: Request
    backend: int


@dataclass(slots=True)
class Established:
    request: int
    attempt: int
    backend: int
    elapsed: int


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    backend: int
    outcome: Outcome
    elapsed: int = 0
    final: bool = False  # the request is over, by this outcome or earlier
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientGone:
    request: int


@dataclass(slots=True)
class LoadNote:
    """The load of an open connection has changed; microseconds of work a second."""

    request: int
    attempt: int
    backend: int
    load: float


@dataclass(slots=True)
class DelayNote:
    """Messages at this backend take long: milliseconds a message takes there now."""

    request: int
    attempt: int
    backend: int
    delay_ms: float


@dataclass(slots=True)
class ProbeEnded:
    backend: int
    outcome: Outcome
    elapsed: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(slots=True)
class Cordon:
    """The operators take a backend out by hand, or put it back; whatever the list says meanwhile."""

    backend: int
    out: bool = True
    at: int = 0  # put back then; 0 = now


@dataclass(slots=True)
class Dismissed:
    """This relay ends: a request that does not stand gets its final answer now, whatever could be tried."""

    request: int


@dataclass(slots=True)
class Retune:
    """New settings. ``kept`` says, for each of their classes, which one of the old it is; -1 = none."""

    settings: Settings
    kept: tuple[int, ...]


@dataclass(slots=True)
class Timer:
    token: int


Event: TypeAlias = (
    BackendList
    | Cordon
    | Dismissed
    | Retune
    | Request
    | Adopted
    | Established
    | AttemptEnded
    | ClientGone
    | LoadNote
    | DelayNote
    | ProbeEnded
    | PeerMessage
    | Timer
)


# --- actions ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    request: int
    backend: int
    timeout: int = 0  # 0 = until the client gives up


@dataclass(slots=True)
class Refuse:
    """Final answer: trying again is harmless."""

    request: int
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer that promises nothing."""

    request: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class Move:
    """End an open connection politely; the client comes again."""

    request: int


@dataclass(slots=True)
class Probe:
    backend: int


@dataclass(slots=True)
class CloseIdle:
    backend: int


@dataclass(slots=True)
class Tell:
    peer: int  # -1 = all relays of the tier
    body: bytes


@dataclass(slots=True)
class WakeAt:
    delay: int
    token: int


@dataclass(slots=True)
class Log:
    text: str


@dataclass(slots=True)
class Fetch:
    """Ask for the whole list once."""


@dataclass(slots=True)
class Watch:
    enable: bool = True


Action: TypeAlias = (
    Send | Refuse | Fail | Cancel | Move | Probe | CloseIdle | Tell | WakeAt | Log | Fetch | Watch
)
