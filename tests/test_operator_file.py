"""The operator file: its functions, the errors for invalid ones, and scripts that would block a proxy."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from network import ProxyNetwork

from arrowseam import logs
from arrowseam.cli import main
from arrowseam.config.proxy import ConfigError
from arrowseam.config.script import Script, ScriptError
from arrowseam.membership.effects import MembershipEvent
from arrowseam.net.task import Coroutine
from arrowseam.workers.script import evaluate, evaluate_in_background

VALID_SCRIPT = """
load("names.star", "NAMES")

def files(names, **more):
    for rank, name in enumerate(names):
        servers(file = name + ".json", rank = 10 + rank, **more)

files(NAMES, max_removed = 0.25)
nats(
    listen = "127.0.0.1:4222",
    users = {"t": {"class": "tech", "tenant": "acme"}},
    default = {"class": "tech"},
)
log(format = "json", level = "info")
state_dir("state")
"""


def run_script(folder: Path, text: str, **loaded_files: str) -> Any:
    (folder / "op.star").write_text(text)
    for name, loaded_text in loaded_files.items():
        (folder / f"{name}.star").write_text(loaded_text)
    return Script(folder / "op.star", ["tech"], ["acme"]).run()


def test_the_calls_of_a_script_are_returned(tmp_path: Path):
    operator = run_script(tmp_path, VALID_SCRIPT, names='NAMES = ["east", "west"]')
    assert [(source.name, source.rank, source.max_removed) for source in operator.servers] == [
        ("east", 10, 0.25),
        ("west", 11, 0.25),
    ]
    assert operator.servers[0].file == str(tmp_path / "east.json")
    assert operator.nats is not None
    assert operator.nats.users["t"].class_name == "tech"
    assert (operator.log.format, operator.log.level) == ("json", "info")
    assert operator.state_dir == str(tmp_path / "state")
    assert run_script(tmp_path, "").servers == ()


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("servers(", "op.star:1"),
        ("\nservers(file=x)", "op.star:2: Variable `x` not found"),
        ("servers()", "op.star:1: servers: Object missing required field `file`"),
        ("servers('a')", "op.star:1: servers: arguments are given by name"),
        ("servers(file='a', weight=1)", "unknown field `weight`"),
        ("servers(file='a', rank=0)", "servers: rank: "),
        ("servers(file='a', rank='1')", "servers: rank: Expected `int`"),
        ("servers(file='a', max_removed=1.5)", "servers: max_removed: "),
        ("servers(file='a', settle_ms=1500)", "servers: settle_ms: "),
        ("servers(file='a', name='A b')", "servers: name: "),
        ("servers(file='a', name='directory')", "servers: name: 'directory' is not free"),
        ("servers(file='a')\nservers(file='a', name='b')", "op.star:2: servers: file: 'a' is named twice"),
        ("servers(file='a')\nservers(file='x/a')", "op.star:2: servers: name: 'a' is used twice"),
        ("def f():\n  log(level='loud')\nf()", "op.star:2: log: level: Invalid enum value"),
        ("log()\nlog()", "op.star:2: log: called twice"),
        ("nats()", "nats: Object missing required field `listen`"),
        ("nats(listen='here')", "nats: listen: not HOST:PORT"),
        ("nats(listen='a:1', servers={'s': 'b'})", "nats: servers.s: not HOST:PORT"),
        (
            "nats(listen='a:1', users={'u': {'class': 'no'}})",
            "nats: users.u.class: the settings have no class",
        ),
        ("nats(listen='a:1', default={'class':'tech','tenant':'no'})", "nats: default.tenant: the settings"),
        ("load('/etc/passwd', 'x')", "load: '/etc/passwd' is not the name of a file beside this one"),
        ("load('../b.star', 'x')", "is not the name of a file beside"),
        ("load('no.star', 'x')", "load: no.star: No such file"),
        ("load('op.star', 'x')", "loads itself"),
        ("load('a.star', 'x')", "loads itself"),
        ("load('b.star', 'x')", "b.star:2"),
        ("def f(n):\n  return f(n)\nf(1)", "op.star:2: Starlark call stack overflow"),
        ("open('/etc/passwd')", "Variable `open` not found"),
    ],
)
def test_an_invalid_script_is_rejected_with_file_line_and_field(
    tmp_path: Path, text: str, expected_text: str
):
    with pytest.raises(ScriptError) as rejection:
        run_script(
            tmp_path, text, a="load('a2.star', 'x')", a2="load('a.star', 'x')", b="x = 1\nservers(file=1)"
        )
    assert expected_text in str(rejection.value)
    assert "\n" not in str(rejection.value)


def create_config() -> Any:
    w = ProxyNetwork("lines")
    w.close()
    return w.config


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("def f():\n  for i in range(2000000000):\n    pass\nf()", "has not ended within 2 s"),
        ("def f():\n  x = 'a'\n  for i in range(60):\n    x = x + x\nf()", "its evaluation"),
        ("[[i] * 1000000 for i in range(1000000)]", "op.star"),
        ("x = " + "(" * 100_000, "op.star"),
    ],
    ids=["endless", "memory doubled", "memory in pieces", "nested"],
)
def test_a_runaway_script_ends_with_a_one_line_error(tmp_path: Path, text: str, expected_text: str):
    """A script loops for ever, exhausts memory or overflows the parser. It must be ended with an error, and a
    proxy must go on serving while it is evaluated.
    """
    file, started_at = tmp_path / "op.star", time.monotonic()
    file.write_text(text)
    with pytest.raises(ConfigError) as rejection:
        evaluate(str(file), create_config())
    assert expected_text in str(rejection.value)
    assert "\n" not in str(rejection.value)
    assert time.monotonic() - started_at < 8
    w, errors = ProxyNetwork("lines", "up"), []

    def evaluate_script() -> Coroutine[None]:
        try:
            yield from evaluate_in_background(w.loop, str(file), w.config)
        except ConfigError as error:
            errors.append(str(error))

    w.loop.start_task(evaluate_script(), "ask")
    clients = w.up(3)
    w.until(lambda: errors, 8)
    assert expected_text in errors[0]
    assert all(not c.ended_at for c in clients)
    w.close()


def write_files(tmp_path: Path, text: str, **changes: Any) -> tuple[str, str]:
    w = ProxyNetwork("lines", "up")
    w.close()
    (tmp_path / "config.json").write_text(json.dumps(w.doc | changes))
    (tmp_path / "op.star").write_text(text)
    return str(tmp_path / "config.json"), str(tmp_path / "op.star")


def test_the_commands_show_the_configuration_in_effect(tmp_path: Path):
    path, operator = write_files(
        tmp_path, "servers(file='s.json', max_removed=0.25)\nnats(listen='127.0.0.1:4222')"
    )
    result = CliRunner().invoke(main, ["check-config", "--config", path, "--operator", operator])
    assert result.exit_code == 0
    assert "1 files of servers" in result.output
    result = CliRunner().invoke(main, ["config", "show", "--config", path, "--operator", operator])
    shown = json.loads(result.output)
    assert shown["operator"]["servers"][0]["max_removed"] == 0.25
    assert shown["nats"]["listen"] == "127.0.0.1:4222"
    result = CliRunner().invoke(main, ["config", "schema"])
    assert "max_removed" in result.output
    assert "number 0.0 to 1.0" in result.output
    path, operator = write_files(tmp_path, "servers(file='s.json', max_removed=2)")
    result = CliRunner().invoke(main, ["check-config", "--config", path, "--operator", operator])
    assert result.exit_code == 1


def test_nats_settings_in_both_files_or_no_source_of_endpoints_are_rejected(tmp_path: Path):
    (tmp_path / "nats.json").write_text('{"listen":"127.0.0.1:4222"}')
    path, operator = write_files(tmp_path, "nats(listen='127.0.0.1:4223')")
    args = ["check-config", "--config", path, "--operator", operator, "--nats", str(tmp_path / "nats.json")]
    assert CliRunner().invoke(main, args).exit_code == 1
    path, operator = write_files(tmp_path, "", discovery="")
    assert CliRunner().invoke(main, ["check-config", "--config", path, "--operator", operator]).exit_code == 1


def test_a_reload_applies_all_of_a_valid_operator_file_and_nothing_of_an_invalid_one(tmp_path: Path):
    """An operator file is changed while the proxy runs, first to an invalid version. Nothing of that may be
    applied, and all of the valid version after it.
    """
    w = ProxyNetwork(
        "lines", "up", "up", known=False, operator=run_script(tmp_path, "servers(file='a.json', settle_ms=0)")
    )
    path, operator = str(tmp_path / "config.json"), str(tmp_path / "op.star")
    (tmp_path / "config.json").write_text(json.dumps(w.doc))
    for name, server in zip("ab", w.servers):
        (tmp_path / f"{name}.json").write_text(json.dumps({"instances": [server.row]}))
    w.until(lambda: w.driver.ready_count == 1)
    clients, statistics = w.up(3), w.handler.statistics
    (tmp_path / "op.star").write_text("servers(file='a.json')\nservers(file='b.json', max_removed=7)")
    w.proxy.reload(path, None, operator)
    w.until(lambda: statistics.reloads_failed == 1)
    assert w.proxy.endpoint_sources.files.settings.keys() == {"a"}
    (tmp_path / "op.star").write_text(
        "servers(file='a.json', settle_ms=0, drain_s=1)\nservers(file='b.json')\nlog(level='warning')"
    )
    w.proxy.reload(path, None, operator)
    w.proxy.reload(path, None, operator)  # a second signal during the first reload
    w.until(lambda: w.driver.ready_count == 2)
    w.until(lambda: w.proxy.reloader.task is None)
    assert statistics.reloads_succeeded == 1
    assert not any(c.ended_at for c in clients)
    (tmp_path / "op.star").write_text("servers(file='b.json', name='c', settle_ms=0, drain_s=1)")
    w.proxy.reload(path, None, operator)
    w.until(lambda: all(c.has("moved") for c in clients), 40.0)  # no source names their endpoint any more
    w.until(lambda: w.driver.endpoint_count == 1)
    logs.configure_logs()
    w.close()


def test_json_log_lines_contain_event_and_fields(capfd: pytest.CaptureFixture[str]):
    try:
        logs.configure_logs("json", "info")
        logs.log("source.refused", 'a "line"', "error", source="f", name="taken by logging", servers=3)
        logs.log("call.ended", "below the level", "debug")
    finally:
        logs.configure_logs()
    (line,) = capfd.readouterr().err.splitlines()
    record = json.loads(line)
    assert record["event"] == "source.refused"
    assert record["message"] == 'a "line"'
    assert record["level"] == "ERROR"
    assert (record["source"], record["servers"], record["name_"]) == ("f", 3, "taken by logging")
    assert "time" in record


def test_every_event_name_in_use_is_listed_and_documented():
    root = Path(__file__).parent.parent
    used = set()
    for path in (root / "arrowseam").rglob("*.py"):
        for call in path.read_text().split("log(")[1:]:
            event = call.lstrip().partition('"')[2].partition('"')[0]
            if call.lstrip().startswith('"') and "." in event:
                used.add(event)
    used.update(MembershipEvent)
    assert used <= logs.EVENTS
    page = "".join(path.read_text() for path in (root / "docs" / "operators").glob("*.md"))
    assert [name for name in sorted(logs.EVENTS) if f"`{name}`" not in page] == []
