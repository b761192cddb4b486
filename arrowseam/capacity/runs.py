"""Reads and validates the run files that benchmarks/scale.py writes and the target files of operators.

A file is accepted as a whole or rejected. Truncated files, unknown fields and values out of range raise
``InvalidFileError``, whose message is one line with the place and the reason. Nothing is measured or fitted
here, and no value is guessed.
"""

from __future__ import annotations

import math
import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

FORMAT_VERSION = 1  # of run files
MIN_SIZES = 4  # with fewer, a series can't be fitted with its largest size held out

Text = Annotated[str, Meta(min_length=1, max_length=400)]
Sample = tuple[Annotated[float, Meta(ge=0)], Annotated[float, Meta(ge=0)]]


class InvalidFileError(ValueError):
    """A file was rejected; the message names the place and the reason."""


class Series(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One cost at several sizes. ``form`` follows from the code, for the reason in ``why``; ``how`` is how it
    was measured: on the virtual clock, with hollow or real processes, or one component alone."""

    name: Annotated[str, Meta(pattern=r"^[a-z]+(\.[a-z0-9]+)+$")]
    role: Text
    unit: Text
    x: Text  # what the size is a number of
    form: Literal["constant", "log", "linear", "nlogn"]
    why: Text
    how: Literal["virtual", "hollow", "real", "alone"]
    samples: Annotated[list[Sample], Meta(min_length=1, max_length=10_000)]


class Run(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Measurements that one command took on one machine."""

    form: Literal[1]
    made: Text  # the command that was run
    at: Annotated[str, Meta(pattern=r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$")]
    machine: dict[str, str | int | float]
    version: Text
    seed: int
    series: Annotated[list[Series], Meta(min_length=1)]


Count = Annotated[int, Meta(ge=0, le=10**12)]
PositiveCount = Annotated[int, Meta(ge=1, le=10**12)]
Percent = Annotated[float, Meta(gt=0, le=100)]
Duration = Annotated[float, Meta(gt=0, le=1e6)]


class Size(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    proxies: Annotated[int, Meta(ge=2, le=1_000_000)]
    connections: PositiveCount
    deliveries_per_s: PositiveCount
    delivery_ms: Duration  # deadline of a delivery ...
    delivery_part: Annotated[float, Meta(gt=0, lt=1)]  # ... that this fraction of them meets
    shards: Count
    largest_topic: Count
    regions: Annotated[int, Meta(ge=1, le=1000)]
    zones: Annotated[int, Meta(ge=1, le=10_000)]
    servers: Annotated[int, Meta(ge=1, le=100_000)]
    machines_for_control: Annotated[int, Meta(ge=1, le=1000)]
    rack: Annotated[int, Meta(ge=1, le=10_000)] = 40  # proxies behind one switch


class Events(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    changes_a_day: Count
    in_force_s: Duration
    silent_a_day: Count
    restarts_a_day: Count


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits of one proxy for control; bytes and processor time are means over ``span_s``."""

    core_percent: Percent
    memory_mb: Annotated[float, Meta(gt=0, le=1e6)]
    bytes_per_s: Annotated[float, Meta(gt=0, le=1e12)]
    span_s: Duration = 60.0
    whole_share_s: Duration = 10.0  # until a started proxy has its full share
    death_known_s: Duration = 3.0
    zone_known_s: Duration = 10.0
    healed_s: Duration = 30.0
    cordon_s: Duration = 2.0
    hold_up_ms: Duration = 5.0


class Target(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    size: Size
    events: Events
    limits: Limits

    @property
    def proxies_per_zone(self) -> int:
        """Rounded up."""
        return -(-self.size.proxies // self.size.zones)


def _describe(error: Exception) -> str:
    """Turns msgspec's ``REASON - at `$.series[3].samples``` into place and reason."""
    place_and_reason = re.fullmatch(r"(.*?)(?: - at `(?:key in )?\$?\.?(.*?)`)?", str(error), re.DOTALL)
    assert place_and_reason is not None
    return f"{place_and_reason[2]}: {place_and_reason[1]}" if place_and_reason[2] else place_and_reason[1]


def read_target(path: str | Path) -> Target:
    """Reads a target file in TOML; raises InvalidFileError."""
    try:
        text = Path(path).read_bytes().decode()
        parsed: Target = msgspec.convert(tomllib.loads(text), Target)
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise InvalidFileError(f"{path}: not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        raise InvalidFileError(f"{path}: not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise InvalidFileError(f"{path}: {_describe(error)}") from None
    size = parsed.size
    for field, maximum in (
        ("regions", size.zones),
        ("zones", size.proxies),
        ("machines_for_control", size.proxies),
    ):
        if getattr(size, field) > maximum:
            raise InvalidFileError(f"{path}: size.{field}: more than {maximum}")
    for section in (parsed.size, parsed.events, parsed.limits):
        for name in section.__struct_fields__:
            if isinstance(value := getattr(section, name), float) and not math.isfinite(value):
                raise InvalidFileError(f"{path}: {name}: not a finite number")
    return parsed


def read_run(path: str | Path) -> Run:
    """Reads a run file; raises InvalidFileError."""
    try:
        parsed: Run = msgspec.json.decode(Path(path).read_bytes(), type=Run)
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise InvalidFileError(f"{path}: {_describe(error)}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(f"{path}: not JSON, or truncated: {error}") from None
    names = [s.name for s in parsed.series]
    if duplicates := sorted({n for n in names if names.count(n) > 1}):
        raise InvalidFileError(f"{path}: series: {duplicates[0]} occurs twice")
    for series in parsed.series:
        if len({x for x, _ in series.samples}) < MIN_SIZES:
            raise InvalidFileError(f"{path}: {series.name}: fewer than {MIN_SIZES} sizes")
        if any(x <= 0 for x, _ in series.samples):
            raise InvalidFileError(f"{path}: {series.name}: sizes must be above 0")
    return parsed


def read_folder(path: str | Path) -> dict[str, tuple[Series, Run]]:
    """Returns the newest run of each series by name; raises InvalidFileError if any file is invalid."""
    try:
        files = sorted(p for p in Path(path).iterdir() if p.suffix == ".json")
    except OSError as error:
        raise InvalidFileError(f"{path}: {error.strerror}") from None
    if not files:
        raise InvalidFileError(f"{path}: no run files; benchmarks/scale.py writes them")
    newest: dict[str, tuple[Series, Run]] = {}
    for loaded in sorted(map(read_run, files), key=lambda r: r.at):
        newest |= {series.name: (series, loaded) for series in loaded.series}
    return newest


def write_run(path: str | Path, run: Run) -> None:
    """Writes a run with one sample per line, so that diffs stay readable."""
    doc: Any = msgspec.to_builtins(run)
    text = msgspec.json.format(msgspec.json.encode(doc), indent=1).decode()
    text = re.sub(r"\[\s+([\d.e+-]+),\s+([\d.e+-]+)\s+\]", r"[\1, \2]", text)
    Path(path).write_text(text + "\n")
