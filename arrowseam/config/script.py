"""Evaluates an operator file, a Starlark script, in a process of its own.

It owns what a script can reach: the functions of ``operator.py``, files beside it by ``load``, and nothing
else of the machine. It must never run in a proxy's process: a script may run for ever, fill memory or break
the stack. The process that asks ends it at its deadline; memory is limited here.

On standard input comes one JSON line, ``{"file":PATH,"classes":[...],"tenants":[...]}``; on standard output
goes one, ``{"operator":{...}}`` or ``{"error":"one plain line"}``.
"""

from __future__ import annotations

import json
import re
import resource
import signal
import sys
import time
from pathlib import Path
from typing import Any

import starlark

from arrowseam.config import operator

DEADLINE = 2.0  # seconds that a script may take; who asks waits a little longer
MEMORY = 512 << 20  # bytes of address space
STACK = 64  # calls within calls
SCRIPT_MAX = 1 << 20
LOADS = 64  # files, each read once


class ScriptError(Exception):
    """One plain line that names place and reason."""


class Script:
    """One evaluation."""

    def __init__(self, path: Path, classes: list[str], tenants: list[str]) -> None:
        self.path, self.classes, self.tenants = path, classes, tenants
        self.servers: list[operator.Servers] = []
        self.once: dict[str, operator.Struct] = {}
        self.loaded: dict[str, Any] = {}
        self.under_way: list[str] = []
        self.options = starlark.EvalOptions(check_cancelled=self._late, max_callstack_size=STACK)
        self.due = time.monotonic() + DEADLINE

    def _late(self) -> bool:
        return time.monotonic() >= self.due

    def run(self) -> operator.Operator:
        """All that the script sets up; raises ScriptError."""
        try:
            self._evaluate(self.path, self.path.name)
        except starlark.StarlarkError as error:
            raise ScriptError(plain(str(error), self.path.name)) from None
        log, state = self.once.get("log"), self.once.get("state_dir")
        nats, fleet = self.once.get("nats"), self.once.get("fleet")
        agree, budgets = self.once.get("agree"), self.once.get("budgets")
        if fleet is None and agree is not None:
            raise ScriptError(f"{self.path.name}: agree: needs fleet(...)")
        if agree is not None and isinstance(fleet, operator.Fleet) and fleet.zones:
            raise ScriptError(f"{self.path.name}: agree: does not go with zones yet")
        if agree is None and budgets is not None:
            raise ScriptError(f"{self.path.name}: budgets: needs agree(...)")
        return operator.Operator(
            servers=tuple(self.servers),
            nats=nats if isinstance(nats, operator.Nats) else None,
            fleet=fleet if isinstance(fleet, operator.Fleet) else None,
            agree=operator.agreed(agree, budgets),
            log=log if isinstance(log, operator.Log) else operator.Log(),
            state_dir=state.folder if isinstance(state, operator.StateDir) else "",
        )

    def _evaluate(self, path: Path, shown: str) -> Any:
        try:
            with path.open("rb") as file:
                data = file.read(SCRIPT_MAX + 1)
        except OSError as error:
            raise ScriptError(f"{shown}: {error.strerror}") from None
        if len(data) > SCRIPT_MAX:
            raise ScriptError(f"{shown}: longer than {SCRIPT_MAX} bytes")
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            raise ScriptError(f"{shown}: not UTF-8 at byte {error.start}") from None
        module = starlark.Module()
        for name in operator.FUNCTIONS:
            module.add_callable(name, self._function(name))
        tree = starlark.parse(shown, text, starlark.Dialect.extended())
        loader = starlark.FileLoader(self._load)
        starlark.eval_with(self.options, module, tree, starlark.Globals.standard(), file_loader=loader)
        return module.freeze()

    def _load(self, name: str) -> Any:
        """A file beside the operator file; each is evaluated once, and none may load itself in the end."""
        if not re.fullmatch(r"[A-Za-z0-9_][A-Za-z0-9_.-]*", name):
            raise ValueError(f"load: {name!r} is not the name of a file beside this one")
        if name in self.under_way or name == self.path.name:
            raise ValueError(f"load: {name} loads itself")
        if name not in self.loaded:
            if len(self.loaded) + len(self.under_way) >= LOADS:
                raise ValueError(f"load: more than {LOADS} files")
            self.under_way.append(name)
            try:
                self.loaded[name] = self._evaluate(self.path.parent / name, name)
            except ScriptError as error:
                raise ValueError(f"load: {error}") from None
            except starlark.StarlarkError as error:
                raise ValueError(f"load: {plain(str(error), name)}") from None
            finally:
                self.under_way.remove(name)
        return self.loaded[name]

    def _function(self, name: str) -> Any:
        def call(*rest: Any, **given: Any) -> None:
            try:
                if name == "state_dir" and rest and not given:
                    given = dict(zip(("folder",), rest))
                elif rest:
                    raise operator.BadCall("arguments are given by name")
                self._take(name, operator.typed(name, given, self.classes, self.tenants))
            except operator.BadCall as error:
                raise ValueError(f"{name}: {error}") from None

        return call

    def _take(self, name: str, found: operator.Struct) -> None:
        if not isinstance(found, operator.Servers):
            if name in self.once:
                raise operator.BadCall("called twice")
            if isinstance(found, operator.StateDir):
                found = operator.StateDir(folder=str(self.path.parent / found.folder))
            self.once[name] = found
            return
        file = str(self.path.parent / found.file)
        label = found.name or re.sub(r"[^a-z0-9_-]", "-", Path(file).stem.lower())[:32].lstrip("-_")
        if not label or label in operator.RESERVED:
            raise operator.BadCall(f"name: {label!r} is not free to use; give another")
        for other in self.servers:
            if other.name == label:
                raise operator.BadCall(f"name: {label!r} is used twice")
            if other.file == file:
                raise operator.BadCall(f"file: {found.file!r} is named twice")
        given = {key: getattr(found, key) for key in found.__struct_fields__}
        self.servers.append(operator.Servers(**given | {"file": file, "name": label}))


def plain(text: str, shown: str) -> str:
    """Starlark's error of many lines as one: file, line, reason."""
    reason = re.search(r"^error: (.*)$", text, re.M)
    place = re.search(r"^ *--> (.+?):(\d+):\d+", text, re.M)
    said = (reason[1] if reason else text.strip().splitlines()[-1]).removeprefix("ValueError: ")
    if "Evaluation cancelled" in said:
        said = f"has not ended within {DEADLINE:g} s"
    where = f"{place[1]}:{place[2]}" if place else shown
    return f"{where}: {said}"


def answer(line: bytes) -> bytes:
    """The answer to one line of standard input."""
    try:
        asked = json.loads(line)
        found = Script(Path(asked["file"]), asked["classes"], asked["tenants"]).run()
    except ScriptError as error:
        return json.dumps({"error": str(error)}).encode() + b"\n"
    except MemoryError:
        return json.dumps({"error": f"{Path(asked['file']).name}: takes too much memory"}).encode() + b"\n"
    return b'{"operator":' + operator.encode(found) + b"}\n"


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # ^C is for the proxy, which ends us
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    line = sys.stdin.buffer.readline()
    if line:
        sys.stdout.buffer.write(answer(line))
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
