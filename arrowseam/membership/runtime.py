"""Runs a cluster view on the proxy's event loop: sockets, timers, and the effects on the rest of the proxy.

Membership itself is decided by the view. A proxy without a running view uses its configured settings.
"""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable, Iterator

from arrowseam import __version__
from arrowseam.address import Address, parse_address
from arrowseam.config.operator import Fleet
from arrowseam.config.proxy import Config
from arrowseam.logs import log
from arrowseam.membership import report
from arrowseam.membership.codec import LENGTH_SIZE
from arrowseam.membership.cordons import MARK_PREFIX
from arrowseam.membership.effects import (
    CordonChanged,
    Effect,
    LogEvent,
    MembershipEvent,
    OpenStream,
    SendDatagram,
)
from arrowseam.membership.proxy_share import ProxyCountInUse
from arrowseam.membership.records import NAME_MAX, MemberInfo, MemberRecord, State
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.settings_digest import settings_digest
from arrowseam.membership.view import ClusterView
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.peer_transport import PeerTransport
from arrowseam.net.task import Coroutine, Task
from arrowseam.outcomes import StreamOutcome
from arrowseam.request_handling.requests import RequestHandler

INFO_INTERVAL = SECOND  # between two refreshes of what we report about ourselves
BIND_RETRY = 200 * MS
READY_POLL = 20 * MS


def membership_settings(fleet: Fleet, configured_members: int) -> MembershipSettings:
    """Return the settings of the view, taken from the operator file."""
    return MembershipSettings(
        zone=fleet.zone,
        zones=tuple(sorted(fleet.zones.items())),
        never_count_out=fleet.count == "hold",
        cluster=fleet.name,
        seeds=tuple(parse_address(seed) for seed in fleet.seeds),
        probe_interval=fleet.period_ms * MS,
        probe_timeout=fleet.timeout_ms * MS,
        tombstone_ttl=fleet.forget_s * SECOND,
        configured_members=configured_members,
    )


class MembershipRuntime:
    """Runs one view until it is stopped or replaced."""

    def __init__(
        self,
        loop: EventLoop,
        config: Config,
        request_handler: RequestHandler,
        fleet: Fleet,
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start communicating once ``ready``: the previous process with the same name has stopped."""
        self.loop, self.config, self.request_handler, self.fleet, self.ready = (
            loop,
            config,
            request_handler,
            fleet,
            ready,
        )
        self.address = parse_address(fleet.listen)
        configured = config.settings.proxy_count
        settings = membership_settings(fleet, configured)
        rnd = random.Random(secrets.randbits(64))
        self.view = ClusterView(self._own_record(), settings, rnd, self._info(configured))
        self.proxy_count = ProxyCountInUse(self.view.evidence.proxy_count())
        self.peers: PeerTransport | None = None
        self.round_trips = report.RoundTripHistogram()
        self._info_at = 0
        self._reconciled = False
        self._stopped = False
        # Hooks of a subsystem that shares the sockets: whether a frame belongs to it; called on new marks.
        self.foreign_frame_handler: Callable[[bytes], bool] | None = None
        self.on_mark: Callable[[], None] | None = None
        self._apply_proxy_count()
        self._task: Task = loop.start_task(self._run(), "membership")

    def _own_record(self) -> MemberRecord:
        name = (self.config.name or self.fleet.listen)[:NAME_MAX]
        address = parse_address(self.fleet.advertise or self.fleet.listen)
        started_at, nonce = time.time_ns() // 1000, secrets.randbits(62)
        return MemberRecord(name, started_at, nonce, 0, State.ALIVE, *address, zone=self.fleet.zone)

    # --- life cycle ---

    def _run(self) -> Coroutine[None]:
        while not self.ready():
            yield from self._pause(READY_POLL)
        yield from self._bind()
        if self._stopped:
            return
        own_name = self.view.me.name
        log(MembershipEvent.STARTED, f"membership: {own_name} of {self.fleet.name} at {self.fleet.listen}")
        self._carry_out(self.view.start(clock()))
        while not self._stopped:
            now = clock()
            if self.view.due is not None and self.view.due <= now:
                self._carry_out(self.view.on_timer(now))
            if now - self._info_at >= INFO_INTERVAL:
                self._refresh_info(now)
            due = self._info_at + INFO_INTERVAL
            yield due if self.view.due is None else min(due, self.view.due)

    def _bind(self) -> Coroutine[None]:
        """Bind the address, retrying while another process still uses it."""
        logged = False
        while not self._stopped:
            try:
                self.peers = PeerTransport(
                    self.loop, self.address, self._on_datagram, self._on_stream_request
                )
            except OSError as error:
                if not logged:
                    text = f"membership: {self.fleet.listen}: {error}; trying again"
                    log(MembershipEvent.BIND_FAILED, text, "warning")
                logged = True
                yield from self._pause(BIND_RETRY)
            else:
                return

    def _pause(self, span: int) -> Coroutine[None]:
        due = clock() + span
        while clock() < due:
            yield due

    def leave(self) -> None:
        """Announce that this process is about to end; it keeps communicating until it does."""
        if not self._stopped and self.peers is not None:
            self._carry_out(self.view.leave(clock()))

    def stop(self) -> None:
        """Stop communicating; another process continues under this name."""
        self._stopped = True
        if self.peers is not None:
            self.peers.close()
        self.loop.wake(self._task)

    # --- events and effects ---

    def _on_datagram(self, data: bytes) -> None:
        if self.foreign_frame_handler is not None and self.foreign_frame_handler(data):
            return
        self._carry_out(self.view.on_datagram(clock(), data))

    def _on_stream_request(self, data: bytes) -> bytes | None:
        if self.foreign_frame_handler is not None and self.foreign_frame_handler(data):
            return bytes(LENGTH_SIZE)  # an empty frame
        effects, answer = self.view.on_stream_request(clock(), data)
        self._carry_out(effects)
        return answer

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendDatagram(address, data) if self.peers is not None:
                    self.peers.send(address, data)
                case OpenStream(token, address, data) if self.peers is not None:
                    self._open_stream(self.peers, token, address, data)
                case LogEvent(event, text, member, level):
                    log(event, text, level, member=member)
                case CordonChanged(endpoint, cordoned):
                    self._on_cordon(endpoint, cordoned)
        self._apply_view_changes()
        if self.view.due is not None and (self._task.wake_at is None or self.view.due < self._task.wake_at):
            self.loop.wake(self._task)

    def _open_stream(self, peers: PeerTransport, token: int, address: Address, data: bytes) -> None:
        def on_closed(outcome: StreamOutcome, answer: bytes) -> None:
            if not self._stopped:
                closed = self.view.on_stream_closed(clock(), token, outcome, answer)
                self._carry_out(closed)

        peers.request(address, data, on_closed)

    def _on_cordon(self, endpoint: str, cordoned: bool) -> None:
        if endpoint.startswith(MARK_PREFIX):
            if self.on_mark is not None:
                self.on_mark()
            return
        text = f"membership: {'cordon' if cordoned else 'uncordon'} {endpoint}"
        log(MembershipEvent.CORDON, text, server=endpoint, out=cordoned)
        self.request_handler.driver.cordon_by_name(endpoint, cordoned)

    def _apply_view_changes(self) -> None:
        """Pass a changed number of proxies to the balancer before the next event is handled."""
        before = self.proxy_count.value
        if self.proxy_count.update(clock(), self.view.evidence.proxy_count()) != before:
            self._apply_proxy_count()
        if self.view.evidence.complete and not self._reconciled:
            self._reconciled = True
            self._reconcile_cordons()

    def _apply_proxy_count(self) -> None:
        if self.fleet.count:
            count = self.proxy_count.value
            self.request_handler.driver.set_proxy_count(count)
            log(
                MembershipEvent.PROXY_SHARE,
                f"membership: this proxy takes 1/{count} of each budget",
                "debug",
                proxies=count,
            )

    def _reconcile_cordons(self) -> None:
        """Lift cordons restored from this proxy's own file that were lifted while it restarted."""
        known = self.view.cordons.by_endpoint
        for endpoint in self.request_handler.driver.cordoned:
            if endpoint in known and not known[endpoint].is_cordoned:
                self.request_handler.driver.cordon(endpoint, False)

    # --- operator commands ---

    def can_cordon(self, endpoint: str) -> bool:
        """Return whether a cordon of this endpoint, or this mark, would be replicated."""
        return self.view.cordons.has_room_for(endpoint)

    def set_cordon(self, endpoint: str, cordoned: bool, renew: bool = False) -> None:
        """Cordon or uncordon an endpoint at all proxies, on our operator's request.

        ``renew``: also renew a cordon in force.
        """
        wall_ms = time.time_ns() // 1_000_000
        self._carry_out(self.view.set_cordon(clock(), wall_ms, endpoint, cordoned, renew))

    def declare_left(self, name: str) -> bool:
        """Declare a member left on our operator's request; return False if it is unknown or active."""
        effects = self.view.declare_left(clock(), name)
        if effects is None:
            return False
        self._carry_out(effects)
        return True

    def reconfigure(self, config: Config) -> None:
        """Apply new settings; the number of proxies from the view overrides the configured one."""
        self.config = config
        self.view.reconfigure(config.settings.proxy_count)
        self._apply_view_changes()
        self._apply_proxy_count()

    # --- information about this proxy ---

    def _info(self, proxy_count: int) -> MemberInfo:
        zones = {number: name for name, number in self.config.zones.items()}
        answers = self.request_handler.statistics.answers
        return MemberInfo(
            version=__version__,
            settings_digest=settings_digest(self.config),
            zone=zones.get(self.config.settings.zone, "")[:64],
            draining=self.request_handler.is_draining,
            connections=self.request_handler.connection_count,
            rejections=sum(count for (_, how), count in answers.items() if how == "overload"),
            proxy_count=proxy_count,
        )

    def _refresh_info(self, now: int) -> None:
        self._info_at = now
        self.view.info = self._info(self.proxy_count.value)
        round_trips = self.view.failure_detector.round_trips
        while round_trips:
            self.round_trips.add(round_trips.popleft())
        self._apply_view_changes()

    # --- reports for operators ---

    def counter_lines(self) -> Iterator[str]:
        """Yield the statsd lines of the view, its transport and its round trips."""
        transport = self.peers.counters if self.peers is not None else None
        yield from report.counter_lines(self.view, self.proxy_count.value, transport)
        yield from self.round_trips.lines()

    def rows(self) -> Iterator[report.Row]:
        """Yield the rows of all members and zones, and one row with the cordons."""
        now = clock()
        yield from report.member_rows(self.view, now)
        yield from report.zone_rows(self.view, now)
        yield {"cordons": report.cordoned_endpoints(self.view)}
