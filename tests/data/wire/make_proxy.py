"""Writes proxy.json: bytes encoded by the version before its names were changed.

Runs only on that version (commit ff0fc86), from its root, by its interpreter: python make_proxy.py OUT
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from click.testing import CliRunner

sys.path.insert(0, os.getcwd())

from arrowseam import cli, facade, relay
from arrowseam.config import operator, script
from arrowseam.config.proxy import overlaid, read_config
from arrowseam.members import files, listing, store, worker
from arrowseam.members.listing import Member
from arrowseam.members.roster import DISCOVERY, Roster, Spec
from arrowseam.net import control, upgrade
from arrowseam.net.loop import Loop
from arrowseam.proxy import Proxy

NOW_US = 5_000_000
UNIX_NS = 1_700_000_000_000 * 1_000_000
LIST = {"generation": 7, "instances": [
    {"instanceId": "s0", "hostPort": "127.0.0.1:5000", "zone": "z", "lifecycle": "Ready"},
    {"instanceId": "s1", "hostPort": "127.0.0.1:5001", "zone": "z", "weight": 2.5, "machineType": "k", "cell": 3,
     "lifecycle": "Ready"},
    {"instanceId": "s2", "hostPort": "127.0.0.1:5002", "zone": "z", "lifecycle": "Terminating",
     "startedAtMs": 1600000000000.0}]}
SETTINGS = {
    "balancers": 3, "me": 1, "zones": ["z"], "kinds": ["k"], "tenants": [{"name": "acme", "share": 1.0}],
    "lanes": [{"name": "tech", "aim": 300000, "deadline": 1800000, "effect": "retryable", "worth": 2.0},
              {"name": "bulk", "aim": 0, "deadline": 600000, "effect": "dedup", "key_scope": "zone"}],
    "caps": {"max_attempts": 5, "retry_after": True, "max_retry_after": 1500000},
    "invariants": {"drain_grace": 2000000}, "registry_mode": "subscribe",
}
CONFIG = {"name": "n0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "discovery": "127.0.0.1:2", "seed": "1f",
          "limits": {"sockets": 500}, "settings": SETTINGS, "known": LIST | {"reset": True}}
SCRIPT = """
state_dir("state")
servers(file = "list.json", max_removed = 0.25, rank = 20)
servers(file = "other.json", name = "b")
log(format = "json", level = "info")
fleet(listen = "127.0.0.1:7946", seeds = ["127.0.0.1:7947"])
agree(voters = {"a": "127.0.0.1:7946"})
budgets(proxies = 2)
nats(listen = "127.0.0.1:4222", users = {"u": {"class": "tech", "tenant": "acme"}}, default = {"class": "bulk"})
"""
MEMBERS = {m.name: m for m in (
    Member("s0", "127.0.0.1:5000", "z"),
    Member("s1", "127.0.0.1:5001", "z", "k", 3, "Ready", 2.5, 0.0),
    Member("s2", "127.0.0.1:5002", "z", "", 0, "Terminating", 1.0, 1.6e12),
    Member("sé", "127.0.0.1:5003"),
)}
found: dict[str, Any] = {}


def put(name: str, data: bytes | list[bytes]) -> None:
    found[name] = [d.decode("latin-1") for d in data] if isinstance(data, list) else data.decode("latin-1")


def link_lines() -> None:
    config = read_config(json.dumps(CONFIG).encode())
    one = facade.Facade(config, lambda: NOW_US)
    one.know("s1")
    request = facade.Request(klass=0, tenant=0, key=255, due=9_000_000, group=11, load=3.5,
                             name="c-1", klass_name="tech")
    request.backend = one.numbers["s1"]
    state = one.export(request) | {"wire": "lines", "last": "", "outward": "PING\r\n", "inward": "", "asked": 4}
    out = SimpleNamespace(writable=False, broken=False, closed=False)
    link = upgrade.Link(None, out, lambda *a: None)
    handover = upgrade.Handover(None, None)
    handover.link = link
    link.say(ready=["front", "control", "nats"])
    link.say(released=True)
    link.say(stands=state)
    handover.tell_cordon("s0", True)
    handover.tell_cordon("s0", False)
    handover.tell_id("c-1", True)
    handover.tell_id("c-1", False)
    link.say(held=42)
    names = ["ready", "released", "stands", "cordon", "uncordon", "id", "id.gone", "held"]
    for name, (data, _) in zip(names, link.out, strict=True):
        put(f"handover.{name}", data)
    put("handover.hello", upgrade.HELLO)


def handover_state() -> None:
    """The answer to the hello, from a real proxy without clients."""
    loop = Loop(500)
    station = upgrade.Station(Path("."), "n0", "127.0.0.1:0")
    config = read_config(json.dumps(CONFIG | {"control": ""}).encode())
    proxy = Proxy(loop, config, None, station, None)
    proxy.front.names.update(("c-2", "c-1"))
    proxy.relay.facade.cordon("s1", True)
    handover = proxy.let_go.__closure__[0].cell_contents
    passed = [one for one in loop.listeners if one.sock.fileno() >= 0]
    state = handover.state() | {"sockets": [one.name for one in passed], "held": 3}
    put("handover.state", json.dumps(state).encode() + b"\n")
    station.save(["s1", "sé"])
    put("cordons.file", station.cordons.read_bytes())
    put("cordons.names", f"{station.socket} {station.cordons.name}".encode())


def source_files() -> None:
    put("snapshot", store.encode("list", 7, 1_700_000_000_000, MEMBERS))
    put("snapshot.none", store.encode("list", None, 0, {}))
    put("snapshot.path", str(store.place("state", "n0", "list")).encode())


class Child:
    """Runs a real worker in this process and records its requests and responses."""

    def __init__(self) -> None:
        self.worker, self.asked, self.answered, self.heard = worker.Worker(), [], [], []
        self.ended = False

    def say(self, line: bytes, due: int):
        self.asked.append(line)
        self.heard += self.worker.ask(json.loads(line))
        return
        yield

    def hear(self, due: int):
        line = self.heard.pop(0)
        self.answered.append(line)
        return line
        yield


def drive(steps: Any) -> None:
    for _ in steps:
        pass


def sources() -> None:
    config = read_config(json.dumps(CONFIG).encode())
    loop, one = Loop(500), facade.Facade(config, lambda: NOW_US)
    specs = (operator.Servers(file="list.json", name="list", rank=20), operator.Servers(file="gone.json", name="gone"))
    members = files.Members(loop, config, one, operator.Operator(servers=specs, state_dir="state"))
    members.discovery("full", 3, [Member("s9", "127.0.0.1:5009", "z")])
    child = members.child = Child()
    Path("state").mkdir()
    Path("list.json").write_text(json.dumps(LIST))
    drive(members._ask("list", True))
    drive(members._ask("list", False))
    drive(members._ask("gone", True))
    Path("list.json").write_text(json.dumps(LIST | {"generation": 8, "instances": LIST["instances"][:2]}))
    members.allowed["list"] = NOW_US + 1
    drive(members._ask("list", True))
    child.worker.save(time.monotonic(), all_of_them=True)
    put("snapshot.written", store.place("state", "n0", "list").read_bytes())
    members.begun.clear()
    drive(members._ask("list", True))
    other = Child()
    members.child = other
    members.roster.sources["list"].told_at = None
    members.begun.clear()
    drive(members._ask("list", True))
    del members.specs["gone"]
    drive(members._ask("list", True))
    put("worker.asked", child.asked + other.asked)
    put("worker.answered", child.answered + other.answered)
    members.specs["gone"] = specs[1]
    members.roster.changes(NOW_US)
    members.roster.changes(NOW_US + 600_000)
    put("members.export", json.dumps(members.roster.export(NOW_US)).encode())
    put("members.counters", "\n".join(members.counters()).encode())
    put("members.sources", [control._line(row) for row in members.show_sources()])
    put("members.members", [control._line(row) for row in members.show_members()])
    members.child = None
    members.close()
    answers(config, one, members)


class View:
    def counters(self): return iter(["edge.fleet:3|g"])
    def cordon(self, server, out): pass
    def forget(self, name): return name == "b"


class Agreed:
    def counters(self): return iter(["edge.agreed:3|g"])
    def holds(self, server): return server == "s9"


def answers(config: Any, one: Any, members: Any) -> None:
    loop = Loop(500)
    core = relay.Relay(loop, config, one)
    core.figures.answers = Counter({("tech", "success"): 5, ("tech", "overload"): 2, ("old", "error"): 1})
    core.figures.dispatches, core.figures.reload_success, core.figures.reload_failure = 9, 2, 1
    one.listing(listing.listing("changes", 7, list(MEMBERS.values()), config, one.numbers))
    plain = control.Control(loop, core)
    full = control.Control(loop, core)
    full.sources, full.fleet, full.agree = members, View(), Agreed()
    for name, what in (("plain", plain), ("full", full)):
        said = ["health", "counters", "sources", "allow list", "allow nobody", "cordon s0", "uncordon s0", "cordon nobody",
                "uncordon s9", "forget b", "forget c", "what", "", "health x"]
        found[f"control.{name}"] = [[line, what.answer(line.encode()).decode()] for line in said]
    plain.ready = lambda: False
    put("control.not_ready", plain.answer(b"health"))


def command_line() -> None:
    Path("config.json").write_text(json.dumps(CONFIG))
    Path("operator.star").write_text(SCRIPT)
    Path("other.json").write_text(json.dumps(LIST))
    Path("old.json").write_text(json.dumps(LIST))
    Path("list.json").write_text(json.dumps(LIST | {"generation": 8, "instances": LIST["instances"][:2]}))
    shown: list[list[Any]] = []
    for words in (
        ["config", "show", "--config", "config.json"],
        ["config", "show", "--config", "config.json", "--operator", "operator.star"],
        ["config", "schema"], ["config", "schema", "--json"],
        ["check-config", "--config", "config.json", "--operator", "operator.star"],
        ["servers", "check", "list.json"], ["servers", "check", "list.json", "--against", "old.json"],
        ["servers", "check", "old.json", "--against", "list.json"],
    ):
        result = CliRunner().invoke(cli.main, words, env={"EDGE_CONTROL": ""})
        shown.append([words, result.exit_code, result.output.replace(os.getcwd(), "HERE")])
    found["commands"] = shown
    asked = json.dumps({"file": "operator.star", "classes": ["tech", "bulk"], "tenants": ["acme"]}).encode()
    put("script.asked", asked)
    put("script.answered", script.answer(asked))
    Path("bad.star").write_text("servers(nothing = 1)\n")
    put("script.refused", script.answer(asked.replace(b"operator.star", b"bad.star")))
    bundle = json.dumps({"settings": {"balancers": 9}}).encode()
    put("config.overlaid", overlaid(json.dumps(CONFIG).encode(), bundle))
    found["config.text"], found["script.text"] = CONFIG, SCRIPT


def main() -> None:
    out = Path(sys.argv[1]).resolve()
    folder = tempfile.mkdtemp()
    os.chdir(folder)
    link_lines()
    handover_state()
    source_files()
    files.clock = lambda: NOW_US
    real = time.time_ns
    time.time_ns = lambda: UNIX_NS
    sources()
    time.time_ns = real
    command_line()
    out.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
