"""The files that benchmarks/scale.py writes and the target file of operators: read whole or not at all.

It owns what a good file is. It must never measure, fit or guess: a file that is cut short, a field nobody
knows or a number out of range is one line with the place and the reason (``InvalidFileError``).
"""

from __future__ import annotations

import math
import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

FORM = 1  # of a run file
SIZES = 4  # a series of fewer sizes can't be fitted with its largest held out

Text = Annotated[str, Meta(min_length=1, max_length=400)]
Sample = tuple[Annotated[float, Meta(ge=0)], Annotated[float, Meta(ge=0)]]


class InvalidFileError(ValueError):
    """A file that isn't taken; the text names the place and the reason."""


class Series(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One cost at several sizes. ``form`` is what the code gives reason for (``why``); ``how`` it was
    measured: on the virtual clock, with hollow or real processes, or one part alone."""

    name: Annotated[str, Meta(pattern=r"^[a-z]+(\.[a-z0-9]+)+$")]
    role: Text
    unit: Text
    x: Text  # what the size counts
    form: Literal["constant", "log", "linear", "nlogn"]
    why: Text
    how: Literal["virtual", "hollow", "real", "alone"]
    samples: Annotated[list[Sample], Meta(min_length=1, max_length=10_000)]


class Run(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One sitting of measurements on one machine."""

    form: Literal[1]
    made: Text  # the command
    at: Annotated[str, Meta(pattern=r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$")]
    machine: dict[str, str | int | float]
    version: Text
    seed: int
    series: Annotated[list[Series], Meta(min_length=1)]


Count = Annotated[int, Meta(ge=0, le=10**12)]
Some = Annotated[int, Meta(ge=1, le=10**12)]
Part = Annotated[float, Meta(gt=0, le=100)]
Span = Annotated[float, Meta(gt=0, le=1e6)]


class Size(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    proxies: Annotated[int, Meta(ge=2, le=1_000_000)]
    connections: Some
    deliveries_per_s: Some
    delivery_ms: Span  # within so long ...
    delivery_part: Annotated[float, Meta(gt=0, lt=1)]  # ... for this part of them
    shards: Count
    largest_topic: Count
    regions: Annotated[int, Meta(ge=1, le=1000)]
    zones: Annotated[int, Meta(ge=1, le=10_000)]
    servers: Annotated[int, Meta(ge=1, le=100_000)]
    machines_for_control: Annotated[int, Meta(ge=1, le=1000)]
    rack: Annotated[int, Meta(ge=1, le=10_000)] = 40  # proxies behind one switch


class Events(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    changes_a_day: Count
    in_force_s: Span
    silent_a_day: Count
    restarts_a_day: Count


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Of one proxy, for control; ``span_s`` is what bytes and processor are meant over."""

    core_percent: Part
    memory_mb: Annotated[float, Meta(gt=0, le=1e6)]
    bytes_per_s: Annotated[float, Meta(gt=0, le=1e12)]
    span_s: Span = 60.0
    whole_share_s: Span = 10.0  # a start has its whole share
    death_known_s: Span = 3.0
    zone_known_s: Span = 10.0
    healed_s: Span = 30.0
    cordon_s: Span = 2.0
    hold_up_ms: Span = 5.0


class Target(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    size: Size
    events: Events
    limits: Limits

    @property
    def zone(self) -> int:
        """Proxies of a zone, rounded up."""
        return -(-self.size.proxies // self.size.zones)


def _place(error: Exception) -> str:
    """msgspec's ``... - at `$.series[3].samples``` as place and reason."""
    found = re.fullmatch(r"(.*?)(?: - at `(?:key in )?\$?\.?(.*?)`)?", str(error), re.DOTALL)
    assert found is not None
    return f"{found[2]}: {found[1]}" if found[2] else found[1]


def read_target(path: str | Path) -> Target:
    """Reads a target file, TOML; raises InvalidFileError."""
    try:
        text = Path(path).read_bytes().decode()
        found: Target = msgspec.convert(tomllib.loads(text), Target)
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise InvalidFileError(f"{path}: not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        raise InvalidFileError(f"{path}: not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise InvalidFileError(f"{path}: {_place(error)}") from None
    size = found.size
    for what, most in (
        ("regions", size.zones),
        ("zones", size.proxies),
        ("machines_for_control", size.proxies),
    ):
        if getattr(size, what) > most:
            raise InvalidFileError(f"{path}: size.{what}: more than {most}")
    for part in (found.size, found.events, found.limits):
        for name in part.__struct_fields__:
            if isinstance(value := getattr(part, name), float) and not math.isfinite(value):
                raise InvalidFileError(f"{path}: {name}: not a finite number")
    return found


def read_run(path: str | Path) -> Run:
    """Reads a run file; raises InvalidFileError."""
    try:
        found: Run = msgspec.json.decode(Path(path).read_bytes(), type=Run)
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise InvalidFileError(f"{path}: {_place(error)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(f"{path}: not JSON, or cut short: {error}") from None
    names = [s.name for s in found.series]
    if twice := sorted({n for n in names if names.count(n) > 1}):
        raise InvalidFileError(f"{path}: series: {twice[0]} stands there twice")
    for series in found.series:
        if len({x for x, _ in series.samples}) < SIZES:
            raise InvalidFileError(f"{path}: {series.name}: fewer than {SIZES} sizes")
        if any(x <= 0 for x, _ in series.samples):
            raise InvalidFileError(f"{path}: {series.name}: a size of 0")
    return found


def read_folder(path: str | Path) -> dict[str, tuple[Series, Run]]:
    """The newest run of each series in a folder, by name; all files must be good. Raises InvalidFileError."""
    try:
        files = sorted(p for p in Path(path).iterdir() if p.suffix == ".json")
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    if not files:
        raise InvalidFileError(f"{path}: no run files; benchmarks/scale.py writes them")
    found: dict[str, tuple[Series, Run]] = {}
    for one in sorted(map(read_run, files), key=lambda r: r.at):
        found |= {series.name: (series, one) for series in one.series}
    return found


def write(path: str | Path, one: Run) -> None:
    """A sample a line short enough to be read in a difference."""
    doc: Any = msgspec.to_builtins(one)
    text = msgspec.json.format(msgspec.json.encode(doc), indent=1).decode()
    text = re.sub(r"\[\s+([\d.e+-]+),\s+([\d.e+-]+)\s+\]", r"[\1, \2]", text)
    Path(path).write_text(text + "\n")
