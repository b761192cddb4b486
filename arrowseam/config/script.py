"""Evaluates an operator file, a Starlark script, in a separate process.

A script can use the functions of ``operator.py`` and ``load`` files in its folder, and nothing else of the
machine. It does not run in a proxy's process, since it may loop for ever, exhaust memory or overflow the
stack. The requesting process kills it at its deadline; memory is limited here.

The request is one JSON line on standard input, ``{"file":PATH,"classes":[...],"tenants":[...]}``; the answer
is one on standard output, ``{"operator":{...}}`` or ``{"error":"a single line"}``.
"""

from __future__ import annotations

import json
import re
import resource
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import starlark

from arrowseam.config import operator
from arrowseam.errors import ArrowseamError

DEADLINE_SECONDS = 2.0  # for a script; the requesting process waits a little longer
MEMORY_BYTES_MAX = 512 << 20  # of address space
CALL_DEPTH_MAX = 64
SCRIPT_BYTES_MAX = 1 << 20
LOADED_FILES_MAX = 64
FILE_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]*")
SOURCE_NAME_LENGTH_MAX = 32


class ScriptError(ArrowseamError):
    """A script that is rejected; the message is a single line with place and reason."""


class Script:
    """One evaluation of an operator file.

    Functions that Starlark calls raise ValueError, whose text it reports with file and line.
    """

    def __init__(self, path: Path, classes: list[str], tenants: list[str]) -> None:
        """``classes`` and ``tenants`` are the names in the settings."""
        self.path, self.classes, self.tenants = path, classes, tenants
        self.servers: list[operator.Servers] = []
        self.single_calls: dict[str, operator.Struct] = {}  # of functions that may be called only once
        self.loaded: dict[str, Any] = {}
        self.loading: list[str] = []
        self.options = starlark.EvalOptions(
            check_cancelled=self._is_past_deadline, max_callstack_size=CALL_DEPTH_MAX
        )
        self.deadline = time.monotonic() + DEADLINE_SECONDS

    def _is_past_deadline(self) -> bool:
        return time.monotonic() >= self.deadline

    def run(self) -> operator.Operator:
        """Evaluate the script; raises ScriptError."""
        try:
            self._evaluate(self.path, self.path.name)
        except starlark.StarlarkError as error:
            raise ScriptError(error_line(str(error), self.path.name)) from None
        calls = self.single_calls
        self._check_combination()
        nats, fleet, log, state_dir = (calls.get(name) for name in ("nats", "fleet", "log", "state_dir"))
        return operator.Operator(
            servers=tuple(self.servers),
            nats=nats if isinstance(nats, operator.Nats) else None,
            fleet=fleet if isinstance(fleet, operator.Fleet) else None,
            agree=operator.combine_agree_and_budgets(calls.get("agree"), calls.get("budgets")),
            log=log if isinstance(log, operator.Log) else operator.Log(),
            state_dir=state_dir.folder if isinstance(state_dir, operator.StateDir) else "",
        )

    def _check_combination(self) -> None:
        """Check that the calls are compatible; raises ScriptError."""
        fleet, agree = self.single_calls.get("fleet"), self.single_calls.get("agree")
        if fleet is None and agree is not None:
            raise ScriptError(f"{self.path.name}: agree: needs fleet(...)")
        if agree is not None and isinstance(fleet, operator.Fleet) and fleet.zones:
            raise ScriptError(f"{self.path.name}: agree: not supported with zones yet")
        if agree is None and "budgets" in self.single_calls:
            raise ScriptError(f"{self.path.name}: budgets: needs agree(...)")

    def _evaluate(self, path: Path, display_name: str) -> Any:
        text = _read_script(path, display_name)
        module = starlark.Module()
        for name in operator.FUNCTIONS:
            module.add_callable(name, self._function(name))
        tree = starlark.parse(display_name, text, starlark.Dialect.extended())
        loader = starlark.FileLoader(self._load)
        starlark.eval_with(self.options, module, tree, starlark.Globals.standard(), file_loader=loader)
        return module.freeze()

    def _load(self, name: str) -> Any:
        """Load a file beside the operator file; each is evaluated once, and cyclic loads are rejected."""
        if not FILE_NAME.fullmatch(name):
            raise ValueError(f"load: {name!r} is not the name of a file beside this one")
        if name in self.loading or name == self.path.name:
            raise ValueError(f"load: {name} loads itself")
        if name not in self.loaded:
            if len(self.loaded) + len(self.loading) >= LOADED_FILES_MAX:
                raise ValueError(f"load: more than {LOADED_FILES_MAX} files")
            self.loading.append(name)
            try:
                self.loaded[name] = self._evaluate(self.path.parent / name, name)
            except ScriptError as error:
                raise ValueError(f"load: {error}") from None
            except starlark.StarlarkError as error:
                raise ValueError(f"load: {error_line(str(error), name)}") from None
            finally:
                self.loading.remove(name)
        return self.loaded[name]

    def _function(self, name: str) -> Callable[..., None]:
        def call(*positional: Any, **named: Any) -> None:
            try:
                arguments = _named_arguments(name, positional, named)
                self._add(name, operator.check_call(name, arguments, self.classes, self.tenants))
            except operator.OperatorCallError as error:
                raise ValueError(f"{name}: {error}") from None

        return call

    def _add(self, name: str, call: operator.Struct) -> None:
        if isinstance(call, operator.Servers):
            self._add_servers(call)
            return
        if name in self.single_calls:
            raise operator.OperatorCallError("called twice")
        if isinstance(call, operator.StateDir):
            call = operator.StateDir(folder=str(self.path.parent / call.folder))
        self.single_calls[name] = call

    def _add_servers(self, call: operator.Servers) -> None:
        file = str(self.path.parent / call.file)
        name = call.name or _source_name(file)
        if not name or name in operator.RESERVED_SOURCE_NAMES:
            raise operator.OperatorCallError(f"name: {name!r} is not free to use; give another")
        for other in self.servers:
            if other.name == name:
                raise operator.OperatorCallError(f"name: {name!r} is used twice")
            if other.file == file:
                raise operator.OperatorCallError(f"file: {call.file!r} is named twice")
        fields = {key: getattr(call, key) for key in call.__struct_fields__}
        self.servers.append(operator.Servers(**fields | {"file": file, "name": name}))


def _read_script(path: Path, display_name: str) -> str:
    try:
        with path.open("rb") as file:
            data = file.read(SCRIPT_BYTES_MAX + 1)
    except OSError as error:
        raise ScriptError(f"{display_name}: {error.strerror}") from None
    if len(data) > SCRIPT_BYTES_MAX:
        raise ScriptError(f"{display_name}: longer than {SCRIPT_BYTES_MAX} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise ScriptError(f"{display_name}: not UTF-8 at byte {error.start}") from None


def _named_arguments(name: str, positional: tuple[Any, ...], named: dict[str, Any]) -> dict[str, Any]:
    """Return the arguments by name; only ``state_dir`` accepts its argument by position."""
    if not positional:
        return named
    if name == "state_dir" and not named:
        return dict(zip(("folder",), positional))
    raise operator.OperatorCallError("arguments are given by name")


def _source_name(file: str) -> str:
    """Return the default name of a source, derived from its file's name."""
    stem = Path(file).stem.lower()
    return re.sub(r"[^a-z0-9_-]", "-", stem)[:SOURCE_NAME_LENGTH_MAX].lstrip("-_")


def error_line(text: str, display_name: str) -> str:
    """Condense a multi-line Starlark error to one line: file, line, reason."""
    error = re.search(r"^error: (.*)$", text, re.M)
    location = re.search(r"^ *--> (.+?):(\d+):\d+", text, re.M)
    reason = (error[1] if error else text.strip().splitlines()[-1]).removeprefix("ValueError: ")
    if "Evaluation cancelled" in reason:
        reason = f"has not ended within {DEADLINE_SECONDS:g} s"
    where = f"{location[1]}:{location[2]}" if location else display_name
    return f"{where}: {reason}"


def answer(line: bytes) -> bytes:
    """Return the answer to a request line."""
    request = json.loads(line)
    path = Path(request["file"])
    try:
        result = Script(path, request["classes"], request["tenants"]).run()
    except ScriptError as error:
        return json.dumps({"error": str(error)}).encode() + b"\n"
    except MemoryError:
        return json.dumps({"error": f"{path.name}: takes too much memory"}).encode() + b"\n"
    return b'{"operator":' + operator.encode(result) + b"}\n"


def main() -> None:
    """Answer the request on standard input."""
    for number in (signal.SIGINT, signal.SIGHUP):  # sent to the process group, but meant for the proxy
        signal.signal(number, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_BYTES_MAX, MEMORY_BYTES_MAX))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    line = sys.stdin.buffer.readline()
    if line:
        sys.stdout.buffer.write(answer(line))
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
