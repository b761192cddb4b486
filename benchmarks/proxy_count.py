"""Compares sources of the proxy count that the balancer is given: the configuration, the rule of the
membership view, and the number of members that seem alive.

    python benchmarks/proxy_count.py [--seeds 8]

Twelve proxies and twelve servers with a capacity of forty connections each, of which three in four are in
demand; half of the servers have just been replaced and are cold. killed: seven proxies end at once, and their
clients connect to the others. split: all keep running, in two halves that do not hear each other. Printed are
the worth served over the next 20 s (connection seconds on servers with capacity for them, relative to demand)
and the most connections that a cold server was sent by all proxies together within 3 s.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import sys
from collections import defaultdict
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from helpers import MS, SECOND, START, settings

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Migrate, Reject, SetTimer, StartAttempt
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionEstablished,
    Endpoint,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    SettingsUpdated,
    TimerFired,
    UpdateKind,
)
from arrowseam.balancer.settings import RequestClass, Settings, Tenant
from arrowseam.membership.proxy_share import ProxyCountInUse, proxy_count

PROXIES, SERVERS, CAPACITY, DEMAND = 12, 12, 40, 0.75
KILLED = 7
COLD_FRACTION, WARM_UP, WINDOW = 0.2, 20 * SECOND, 3 * SECOND
DETECTION_TIME = SECOND  # until all have proof of which proxies ended


class ClusterModel:
    def __init__(self, scenario: str, count_source: str, seed: int) -> None:
        self.scenario, self.count_source, self.rnd, self.now = (
            scenario,
            count_source,
            random.Random(seed),
            START,
        )
        quota = 0.82 * CAPACITY * SERVERS
        self.base_settings = settings(
            classes=(
                RequestClass(
                    latency_objective=300 * MS, deadline=2 * SECOND, message_latency_objective=100 * MS
                ),
            ),
            tenants=(Tenant(connection_quota=quota),),
            reports_latency=False,
        )
        self.balancers = {
            n: Balancer(self._settings_of(n, PROXIES), seed=seed * 100 + n) for n in range(PROXIES)
        }
        self.proxy_count = PROXIES
        self.timers: list[tuple[int, int, int]] = []
        self.arrivals: list[tuple[int, int, bool]] = []  # time, client, is a reconnect
        self.established: dict[int, tuple[int, int, int]] = {}  # client -> proxy, endpoint, request
        self.pending: dict[tuple[int, int], int] = {}  # proxy, request -> client
        self.request_count, self.served_worth, self.cold_started_at = 0, 0.0, 0
        self.load: dict[int, int] = defaultdict(int)
        self.attempts: dict[int, list[int]] = defaultdict(list)
        warm = tuple(Endpoint(100 + n) for n in range(SERVERS))
        self.notify_all(EndpointUpdate(UpdateKind.SNAPSHOT, 1, warm))
        for client in range(int(DEMAND * CAPACITY * SERVERS)):
            heapq.heappush(self.arrivals, (START + int(self.rnd.random() * SECOND), client, False))
        self.run(10 * SECOND)

    def _settings_of(self, n: int, proxies: int) -> Settings:
        return replace(self.base_settings, proxy_count=proxies, proxy_index=min(n, proxies - 1))

    def notify_all(self, *events: Event) -> None:
        for n in list(self.balancers):
            self.handle(n, *events)

    def set_proxy_count(self, count: int) -> None:
        if count != self.proxy_count:
            self.proxy_count = count
            for n in list(self.balancers):
                self.handle(n, SettingsUpdated(self._settings_of(n, count), (0,)))

    def capacity(self, endpoint: int) -> float:
        age = (
            self.now - self.cold_started_at
            if endpoint < 100 + SERVERS // 2 and hasattr(self, "cold_started_at")
            else WARM_UP
        )
        return CAPACITY * min(1.0, COLD_FRACTION * 1.5 + (1 - COLD_FRACTION * 1.5) * age / WARM_UP)

    def handle(self, n: int, *events: Event) -> None:
        for action in self.balancers[n].handle(self.now, list(events)):
            match action:
                case SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.now + max(1, delay), n, token))
                case StartAttempt(request, endpoint, _):
                    client = self.pending.pop((n, request))
                    self.attempts[endpoint].append(self.now)
                    self.established[client] = n, endpoint, request
                    self.load[endpoint] += 1
                    self.handle(n, ConnectionEstablished(request, 0, endpoint, 20 * MS))
                case Reject(request, wait):
                    client = self.pending.pop((n, request))
                    heapq.heappush(self.arrivals, (self.now + max(wait, 100 * MS), client, True))
                case Migrate(request):
                    migrating = next(
                        (c for c, h in self.established.items() if h[0] == n and h[2] == request), None
                    )
                    if migrating is not None:
                        self.disconnect(migrating, Outcome.MIGRATED)

    def disconnect(self, client: int, outcome: Outcome, notify: bool = True) -> None:
        n, endpoint, request = self.established.pop(client)
        self.load[endpoint] -= 1
        heapq.heappush(self.arrivals, (self.now + int(self.rnd.uniform(0.1, 0.8) * SECOND), client, True))
        if notify and n in self.balancers:
            self.handle(n, AttemptEnded(request, 0, endpoint, outcome, 0, True))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.now < end:
            step_end = min(end, self.now + 50 * MS)
            while min(self.timers[:1] + self.arrivals[:1], default=(step_end + 1,))[0] <= step_end:
                if self.timers and (not self.arrivals or self.timers[0][0] <= self.arrivals[0][0]):
                    at, n, token = heapq.heappop(self.timers)
                    self.now = max(self.now, at)
                    if n in self.balancers:
                        self.handle(n, TimerFired(token))
                    continue
                at, client, is_reconnect = heapq.heappop(self.arrivals)
                self.now = max(self.now, at)
                n = self.rnd.choice(sorted(self.balancers))
                self.request_count += 1
                self.pending[n, self.request_count] = client
                self.handle(
                    n, RequestArrived(self.request_count, time_left=2 * SECOND, is_reconnect=is_reconnect)
                )
            self.now = step_end
            self.notify_all()
            for endpoint in range(100, 100 + SERVERS):
                usable = self.capacity(endpoint)
                if self.load[endpoint] > 1.3 * usable:  # an overloaded server sheds its newest connections
                    clients_of_endpoint = [c for c, h in self.established.items() if h[1] == endpoint]
                    for client in clients_of_endpoint[int(1.3 * usable) :]:
                        self.disconnect(client, Outcome.RESET)
                self.served_worth += (self.load[endpoint] if self.load[endpoint] <= usable else 0.0) * 0.05

    def run_scenario(self) -> tuple[float, int]:
        """Returns the worth served over 20 s and the most attempts at one cold server within ``WINDOW``."""
        self.cold_started_at = self.now
        self.served_worth, self.attempts = 0.0, defaultdict(list)
        cold_endpoints = tuple(Endpoint(100 + n, started_at=self.now) for n in range(SERVERS // 2))
        for client in [c for c, h in self.established.items() if h[1] < 100 + SERVERS // 2]:
            self.disconnect(client, Outcome.RESET)
        self.notify_all(EndpointUpdate(UpdateKind.DELTA, 2, cold_endpoints))
        if self.scenario == "killed":
            for n in range(KILLED):
                del self.balancers[n]
            for client in [c for c, h in self.established.items() if h[0] < KILLED]:
                self.disconnect(client, Outcome.RESET, notify=False)
            lost_requests = [key for key in self.pending if key[0] < KILLED]
            for key in lost_requests:
                heapq.heappush(self.arrivals, (self.now + SECOND, self.pending.pop(key), True))
        count_in_use = ProxyCountInUse(PROXIES)
        for step in range(200):
            at = step * 100 * MS
            if self.count_source == "view":
                ended = KILLED if self.scenario == "killed" and at >= DETECTION_TIME else 0
                self.set_proxy_count(count_in_use.update(at, proxy_count(PROXIES, PROXIES, ended, 0)))
            elif self.count_source == "alive" and at >= DETECTION_TIME:
                self.set_proxy_count(PROXIES - KILLED if self.scenario == "killed" else PROXIES // 2)
            self.run(100 * MS)
        attempt_times = [self.attempts[100 + n] for n in range(SERVERS // 2)]
        most_attempts = max(
            (sum(at <= t < at + WINDOW for t in times) for times in attempt_times for at in times), default=0
        )
        return self.served_worth / (DEMAND * CAPACITY * SERVERS * 20), most_attempts


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=8)
    args = parser.parse_args()
    for scenario in ("killed", "split"):
        baseline: list[float] = []
        for count_source in ("configured", "view", "alive"):
            rows = [ClusterModel(scenario, count_source, seed).run_scenario() for seed in range(args.seeds)]
            worth = [w for w, _ in rows]
            baseline = baseline or worth
            differences = [w - b for w, b in zip(worth, baseline)]
            standard_error = (
                statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
            )
            gain = f"({statistics.mean(differences):+.3f} +-{standard_error:.3f})"
            most_attempts = max(attempts for _, attempts in rows)
            print(
                f"{scenario:6} count from {count_source:10} worth {statistics.mean(worth):.3f} {gain}  "
                f"most attempts at a cold server {most_attempts}"
            )


if __name__ == "__main__":
    main()
