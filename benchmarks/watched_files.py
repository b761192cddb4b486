"""Measures how soon a rewritten server file is in force, and how long the event loop is blocked meanwhile.

    python benchmarks/watched_files.py                       # 14, 1,000 and 10,000 servers; about two minutes
    python benchmarks/watched_files.py --sizes 14 --rounds 20

A proxy in a process of its own serves 200 connections to stand-in servers, each with a line every 100 ms. The
file is rewritten and renamed into place, in turn with a few weights changed, with all weights changed, and
with a tenth of the servers removed and added back. Measured:

* in force: from the rename until the balancer has received the last part of the update;
* hold-up: the longest time between two polls of the loop, until 300 ms after the update is in force;
* echo: the round-trip time of a line through the proxy meanwhile.

Everything runs on loopback. The bounds are the goals of docs/design/watched-files.md.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

MAX_IN_FORCE_MS = {14: 50.0, 1000: 200.0, 10_000: 500.0}  # by number of servers; p99 from rename to in force
MAX_HOLD_UP_MS = 10.0
CONNECTIONS = 200
SEND_INTERVAL = 0.1  # seconds between two lines of a connection
ZONES = ("katy", "pasadena", "sugar-land", "humble")
SERVERS_PER_PROCESS = 500  # listening sockets


def address(n: int) -> str:
    """A loopback address of its own for each server."""
    return f"127.{1 + n // 62500}.{n // 250 % 250}.{1 + n % 250}:7300"


def configuration(listen: int) -> dict[str, Any]:
    lane = {"name": "tech", "aim": 300000, "deadline": 1800000, "effect": "retryable"}
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": "",
        "limits": {"sockets": 4096},
        "settings": {
            "zones": list(ZONES),
            "kinds": ["k"],
            "lanes": [lane],
            "tenants": [{"name": "acme", "share": 1.0}],
            "caps": {
                "max_attempts": 5,
                "dial_timeout": 250000,
                "retry_after": True,
                "max_retry_after": 1500000,
            },
            "invariants": {
                "drain_grace": 2000000,
                "cold_share": 0.12,
                "warm_up": 24000000,
                "fall_multiple": 4.0,
            },
        },
    }


# --- the processes --------------------------------------------------------------------------------------


def run_servers(first: int, last: int) -> None:
    """Stand-in servers: answer UP, then echo each line."""
    poll, socks = select.epoll(), {}
    for n in range(first, last):
        host, port = address(n).split(":")
        sock = socket.create_server((host, int(port)), reuse_port=True)
        sock.setblocking(False)
        socks[sock.fileno()] = (sock, True)
        poll.register(sock, select.EPOLLIN)
    print("ready", flush=True)
    while True:
        for fd, _ in poll.poll():
            sock, listens = socks[fd]
            if listens:
                conn, _ = sock.accept()
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                socks[conn.fileno()] = (conn, False)
                poll.register(conn, select.EPOLLIN)
                continue
            try:
                data = sock.recv(65536)
                if data:
                    sock.sendall(b"UP r\r\n" if data.startswith(b"OPEN") else data)
                    continue
            except OSError:
                pass
            poll.unregister(fd)
            del socks[fd]
            sock.close()


class TimedEpoll:
    """An epoll that records each time of more than a millisecond between two polls."""

    def __init__(self, poll: Any) -> None:
        self.real, self.returned_at, self.busy_spans = poll, time.monotonic(), []

    def poll(self, *args: Any) -> Any:
        now = time.monotonic()
        if now - self.returned_at > 0.001:
            self.busy_spans.append((self.returned_at, now))
        events = self.real.poll(*args)
        self.returned_at = time.monotonic()
        return events

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def run_proxy(config: str, operator: str) -> None:
    """``serve`` with its loop and its endpoint updates timed; SIGUSR1 prints the measurements."""
    from arrowseam.cli import load
    from arrowseam.net.event_loop import EventLoop
    from arrowseam.proxy.server import Proxy

    settings, nats_settings, operator_settings = load(config, None, operator)
    loop = EventLoop(settings.descriptor_limit)
    loop.epoll = epoll = TimedEpoll(loop.epoll)  # type: ignore[assignment]
    server = Proxy(loop, settings, nats_settings, operator=operator_settings)
    update_times: list[float] = []
    update_endpoints = server.driver.update_endpoints

    def timed_update(update: Any) -> None:
        update_endpoints(update)
        if update is not None and not update.more:
            update_times.append(time.monotonic())

    server.driver.update_endpoints = timed_update  # type: ignore[method-assign]

    def report() -> None:
        rss = int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        print(json.dumps({"told": update_times, "busy": epoll.busy_spans, "rss": rss}), flush=True)
        update_times.clear()
        epoll.busy_spans.clear()

    loop.on_signal(signal.SIGUSR1, report)
    print("ready", flush=True)
    loop.run()


class Clients:
    """Connections in this process that send a line every ``SEND_INTERVAL`` between the rewrites."""

    def __init__(self, port: int) -> None:
        self.port, self.poll, self.socks = port, select.epoll(), {}
        self.sent_at: dict[int, float] = {}
        self.next_at: dict[int, float] = {}
        self.echo_times: list[float] = []
        self.opened = self.migrated = self.lost = 0
        while len(self.socks) < CONNECTIONS:
            self.open()

    def open(self) -> None:
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.opened += 1
        sock.sendall(b"OPEN %016x 0a c=tech,t=acme,d=1800\r\n" % self.opened)
        answer = sock.recv(100)
        if not answer.startswith(b"UP"):
            self.lost += 1
            sock.close()
            return
        self.socks[sock.fileno()] = sock
        self.next_at[sock.fileno()] = time.monotonic() + random.random() * SEND_INTERVAL
        self.poll.register(sock, select.EPOLLIN)

    def run(self, span: float) -> None:
        end = time.monotonic() + span
        while (now := time.monotonic()) < end:
            for fd, at in self.next_at.items():
                if at <= now and fd not in self.sent_at:
                    self.socks[fd].sendall(b"hello\r\n")
                    self.sent_at[fd], self.next_at[fd] = time.monotonic(), at + SEND_INTERVAL
            for fd, _ in self.poll.poll(0.002):
                data = self.socks[fd].recv(4096)
                if data == b"hello\r\n":
                    self.echo_times.append(time.monotonic() - self.sent_at.pop(fd))
                    continue
                self.migrated += b"MOVE" in data
                self.lost += b"MOVE" not in data
                self.poll.unregister(fd)
                self.socks.pop(fd).close()
                self.next_at.pop(fd)
                self.sent_at.pop(fd, None)
                self.open()


def summarize(values: list[float]) -> dict[str, float]:
    """p50, p99 and worst of times in seconds, in milliseconds."""
    ordered = sorted(values)
    quantile = lambda fraction: ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000  # noqa: E731
    return {
        "p50": round(quantile(0.5), 2),
        "p99": round(quantile(0.99), 2),
        "worst": round(ordered[-1] * 1000, 2),
    }


def spawn(*arguments: str) -> subprocess.Popen[bytes]:
    process = subprocess.Popen([sys.executable, __file__, *arguments], stdout=subprocess.PIPE)
    assert process.stdout is not None
    if process.stdout.readline().strip() != b"ready":
        raise SystemExit(f"{arguments[0]} did not start")
    return process


def measure(size: int, rounds: int) -> dict[str, Any]:
    rnd = random.Random(size)
    folder = Path(tempfile.mkdtemp(prefix="arrowseam-bench-"))
    with socket.create_server(("127.0.0.1", 0)) as sock:
        listen = sock.getsockname()[1]
    (folder / "config.json").write_text(json.dumps(configuration(listen)))
    (folder / "operator.star").write_text(
        'servers(file="servers.json", settle_ms=0, drain_s=1, max_removed=0.5)\nlog(level="error")'
    )
    rows = [
        {
            "instanceId": f"s-{n:05d}",
            "hostPort": address(n),
            "zone": ZONES[n % 4],
            "machineType": "k",
            "weight": 1.0,
        }
        for n in range(size)
    ]

    def replace_file(remaining: list[dict[str, Any]]) -> float:
        new_file = folder / "new"
        new_file.write_text(json.dumps({"instances": remaining}))
        at = time.monotonic()
        os.replace(new_file, folder / "servers.json")
        return at

    replace_file(rows)
    stand_ins = [
        spawn("--servers", str(n), str(min(size, n + SERVERS_PER_PROCESS)))
        for n in range(0, size, SERVERS_PER_PROCESS)
    ]
    began = time.monotonic()
    proxy_process = spawn("--proxy", str(folder / "config.json"), str(folder / "operator.star"))
    started = time.monotonic() - began
    assert proxy_process.stdout is not None
    results: dict[str, Any] = {"servers": size, "start_s": round(started, 2)}
    try:
        clients = Clients(listen)
        clients.run(1.0)
        for change in ("few", "all", "tenth"):
            in_force_times, hold_ups, echo_times = [], [], []
            for _ in range(rounds):
                proxy_process.send_signal(signal.SIGUSR1)
                proxy_process.stdout.readline()
                clients.echo_times.clear()
                remaining = rows
                if change == "tenth":
                    removed = set(rnd.sample(range(size), max(1, size // 10)))
                    remaining = [row for n, row in enumerate(rows) if n not in removed]
                else:
                    for row in rows if change == "all" else rnd.sample(rows, min(3, size)):
                        row["weight"] = round(rnd.uniform(0.5, 4.0), 3)
                at = replace_file(remaining)
                clients.run(0.6 if size < 5000 else 1.2)
                proxy_process.send_signal(signal.SIGUSR1)
                report = json.loads(proxy_process.stdout.readline())
                if not report["told"]:
                    raise SystemExit(f"{size} {change}: the update was not in force within the round")
                in_force_times.append(report["told"][0] - at)
                window_end = report["told"][0] + 0.3
                hold_ups.append(
                    max((b - a for a, b in report["busy"] if b > at and a < window_end), default=0.001)
                )
                echo_times += clients.echo_times
                if change == "tenth":
                    replace_file(rows)
                    clients.run(2.5 if size >= 5000 else 2.0)  # until the drain has ended too
            results[change] = {
                "in_force_ms": summarize(in_force_times),
                "hold_up_ms": summarize(hold_ups),
                "echo_ms": summarize(echo_times),
            }
        results |= {"rss_mb": round(report["rss"] / 1e6, 1), "moved": clients.migrated, "lost": clients.lost}
        return results
    finally:
        for process in [proxy_process, *stand_ins]:
            process.kill()
            process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="14,1000,10000")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--servers", nargs=2, type=int, help=argparse.SUPPRESS)
    parser.add_argument("--proxy", nargs=2, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.servers:
        run_servers(*args.servers)
    elif args.proxy:
        run_proxy(*args.proxy)
    else:
        missed = 0
        for size in map(int, args.sizes.split(",")):
            results = measure(size, args.rounds)
            if args.json:
                print(json.dumps(results), flush=True)
            else:
                print(f"{size} servers: started in {results['start_s']} s, {results['rss_mb']} MB, "
                      f"{results['moved']} moved, {results['lost']} lost")  # fmt: skip
            for change in ("few", "all", "tenth"):
                row = results[change]
                is_late = row["in_force_ms"]["p99"] > MAX_IN_FORCE_MS.get(size, 500.0)
                is_held_up = row["hold_up_ms"]["worst"] > MAX_HOLD_UP_MS
                missed += is_late + is_held_up
                if not args.json:
                    figures = "; ".join(
                        f"{k[:-3]} {v['p50']:g} / {v['p99']:g} / {v['worst']:g}" for k, v in row.items()
                    )
                    notes = " LATE" * is_late + " HELD UP" * is_held_up
                    print(f"  {change:5} changed: ms p50 / p99 / worst: {figures}{notes}", flush=True)
        sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
