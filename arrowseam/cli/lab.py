"""What ``arrowseam lab`` does: play a schedule, cut a failing one down, make the page.

It owns what these commands print and where they leave what came out. It must never judge.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import click

from arrowseam.lab import (
    fault_kinds,
    fault_runner,
    rollout_fault_runner,
    scale_plan,
    scale_record,
    schedule_file,
)
from arrowseam.lab import scale as scales
from arrowseam.lab import soak as soaks
from arrowseam.lab.fault_kinds import Targets
from arrowseam.lab.fault_record import Record
from arrowseam.lab.schedule_player import Player
from arrowseam.lab.schedules import Schedule, shrink

BROKEN = 3  # exit status


def _told(record: Record) -> None:
    settled = "not" if record.settled is None else f"{record.settled:.2f} s after the last fault"
    counts = ", ".join(f"{value} {key}" for key, value in record.clients.items())
    click.echo(f"views equal: {settled}; clients: {counts or 'none'}")
    for text in record.broken:
        click.echo(f"BROKEN: {text}")
    if not record.broken:
        click.echo("no promise broken")


def _read(path: str, kinds: dict[str, Targets] | None = None) -> schedule_file.ScheduleFile:
    try:
        return schedule_file.read(Path(path), kinds)
    except schedule_file.ScheduleError as error:
        raise click.ClickException(str(error)) from None


def soak(first: int, last: int, seconds: float, jobs: int) -> int:
    """Exit status 0, or 3 where a rule was broken."""
    broken = played = 0
    for result in soaks.run_seeds(first, last, seconds, jobs):
        played += 1
        click.echo(
            f"seed {result.seed}: {result.clients} clients, {result.served} served, "
            f"held up {result.slack_ms} ms at most"
        )
        for text in result.violations:
            click.echo(f"BROKEN: {text}")
        if result.violations:
            broken += 1
            click.echo(f"again: {result.command}")
    click.echo(f"{played} runs, {broken} broken")
    return BROKEN if broken else 0


def fleet(path: str | None, seed: int | None, members: int | None, keep: str | None, agreed: bool) -> int:
    """Exit status 0, or 3 where a promise was broken."""
    kinds = fault_kinds.KINDS | (rollout_fault_runner.KINDS if agreed else {})
    draw = rollout_fault_runner.draw if agreed else fault_kinds.draw
    if (path is None) == (seed is None):
        raise click.UsageError("give a schedule, or --draw SEED")
    written = _read(path, kinds) if path is not None else schedule_file.ScheduleFile(draw(seed or 0, members))
    with tempfile.TemporaryDirectory() as folder:
        own = Path(keep) if keep else Path(folder)
        own.mkdir(parents=True, exist_ok=True)
        for old in own.glob("*.log"):
            old.unlink()
        for step in written.schedule.steps:
            span = f" for {step.span / 1e6:.2f} s" if step.span else ""
            click.echo(
                f"{step.at / 1e6:6.2f} s  {step.what} {' '.join(step.who)} {step.server}".rstrip() + span
            )
        play = rollout_fault_runner.play if agreed else fault_runner.play
        record = play(written.schedule, own, servers=written.servers, visits=written.visits)
        if keep:
            (own / "schedule.json").write_text(written.schedule.text())
            (own / "record.json").write_text(record.text())
            click.echo(f"{own}: record.json, schedule.json, a log of each proxy")
    _told(record)
    return BROKEN if record.broken else 0


def cut(path: str, real: bool, tries: int, out: str) -> int:
    """Exit status 0, or 1 where the schedule breaks nothing to begin with."""
    written = _read(path)

    def fails(schedule: Schedule) -> bool:
        if not real:
            return bool(Player(_virtual(schedule)).play().broken)
        with tempfile.TemporaryDirectory() as folder:
            broken = fault_runner.play(
                schedule, Path(folder), servers=written.servers, visits=written.visits
            ).broken
        click.echo(f"{len(schedule.steps)} steps: {broken[0] if broken else 'no promise broken'}")
        return bool(broken)

    if not fails(written.schedule):
        click.echo("no promise broken: nothing to cut down", err=True)
        return 1
    small = shrink(written.schedule, fails, tries)
    Path(out).write_text(small.text())
    click.echo(f"{len(written.schedule.steps)} steps cut down to {len(small.steps)}: {out}")
    return 0


def _virtual(schedule: Schedule) -> Schedule:
    """The same on the virtual clock, whose members are called m0 and on."""
    steps = [
        type(s)(s.at, s.what, tuple("m" + n[1:] for n in s.who), s.span, s.number, s.server)
        for s in schedule.steps
    ]
    return Schedule(schedule.seed, schedule.members, steps)


def scale(plan: dict[str, Any], out: str | None) -> int:
    """Exit status 0, or 3 where a promise was broken."""
    if plan["faults"] == ("help",):
        click.echo(", ".join(scale_plan.FAULTS))
        return 0
    chosen = scale_plan.Plan(**plan)
    try:
        needs = scale_plan.check(chosen, scale_plan.machine())
        click.echo("reckoned: " + ", ".join(f"{value:g} {what}" for what, value in needs.items()))
        record = scales.play(chosen, Path(out) if out else None, click.echo)
    except scale_plan.PlanError as error:
        raise click.ClickException(str(error)) from None
    except KeyboardInterrupt:
        click.echo("interrupted; all that was started has been ended", err=True)
        return 130
    for text in record.said:
        click.echo(f"note: {text}")
    click.echo(f"largest sum of shares {record.share:.4f}; clients: {record.clients}; "
               f"hollow processes' memory {record.memory_mib:.0f} MiB")  # fmt: skip
    for text in record.broken[:20]:
        click.echo(f"BROKEN: {text}")
    if len(record.broken) > 20:
        click.echo(f"BROKEN: and {len(record.broken) - 20} more")
    if not record.broken:
        click.echo("no promise broken")
    return BROKEN if record.broken else 0


def report(folder: str, out: str | None) -> int:
    """Make the page of a run; the exit status."""
    try:
        from arrowseam.lab import report as pages
    except ImportError as error:
        raise click.ClickException(f"{error.name} is missing: pip install -e '.[lab]'") from None
    place = Path(folder)
    try:
        text = (place / "record.json").read_text()
        record = scale_record.Record.read(text) if '"kind": "scale"' in text[:40] else Record.read(text)
    except OSError as error:
        raise click.ClickException(f"{place / 'record.json'}: {error.strerror}") from None
    except (ValueError, TypeError) as error:
        raise click.ClickException(f"{place / 'record.json'}: not a record: {error}") from None
    page = Path(out) if out else place / "report.html"
    title = f"Play of {place.resolve().name}"
    page.write_text(
        pages.page(record, title) if isinstance(record, Record) else pages.scale_page(record, title)
    )
    click.echo(f"{page}")
    return 0
