"""The commands ``arrowseam lab``: play schedules, shrink failing ones, make HTML pages of runs.

This module prints results and writes them to files; it must not judge runs itself.
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
from arrowseam.lab import scale as scale_run
from arrowseam.lab import soak as soak_run
from arrowseam.lab.fault_kinds import Targets
from arrowseam.lab.fault_record import Record
from arrowseam.lab.schedule_player import Player
from arrowseam.lab.schedules import Schedule, shrink

EXIT_VIOLATION = 3


def _print_result(record: Record) -> None:
    settled = "never" if record.settled is None else f"{record.settled:.2f} s after the last fault"
    counts = ", ".join(f"{value} {key}" for key, value in record.clients.items())
    click.echo(f"views equal: {settled}; clients: {counts or 'none'}")
    for text in record.broken:
        click.echo(f"BROKEN: {text}")
    if not record.broken:
        click.echo("no violations")


def _read_schedule(path: str, kinds: dict[str, Targets] | None = None) -> schedule_file.ScheduleFile:
    try:
        return schedule_file.read(Path(path), kinds)
    except schedule_file.ScheduleError as error:
        raise click.ClickException(str(error)) from None


def soak(first: int, last: int, seconds: float, jobs: int) -> int:
    """Return exit status 0, or 3 if a run broke a rule."""
    broken = played = 0
    for result in soak_run.run_seeds(first, last, seconds, jobs):
        played += 1
        click.echo(
            f"seed {result.seed}: {result.clients} clients, {result.served} served, "
            f"delayed by the machine for {result.slack_ms} ms at most"
        )
        for text in result.violations:
            click.echo(f"BROKEN: {text}")
        if result.violations:
            broken += 1
            click.echo(f"to repeat: {result.command}")
    click.echo(f"{played} runs, {broken} broken")
    return EXIT_VIOLATION if broken else 0


def fleet(path: str | None, seed: int | None, members: int | None, keep: str | None, agreed: bool) -> int:
    """Return exit status 0, or 3 after a violation."""
    kinds = fault_kinds.KINDS | (rollout_fault_runner.KINDS if agreed else {})
    draw = rollout_fault_runner.draw if agreed else fault_kinds.draw
    if (path is None) == (seed is None):
        raise click.UsageError("either a schedule or --draw SEED is required")
    loaded = (
        _read_schedule(path, kinds)
        if path is not None
        else schedule_file.ScheduleFile(draw(seed or 0, members))
    )
    with tempfile.TemporaryDirectory() as folder:
        output_dir = Path(keep) if keep else Path(folder)
        output_dir.mkdir(parents=True, exist_ok=True)
        for old_log in output_dir.glob("*.log"):
            old_log.unlink()
        for step in loaded.schedule.steps:
            span = f" for {step.span / 1e6:.2f} s" if step.span else ""
            click.echo(
                f"{step.at / 1e6:6.2f} s  {step.what} {' '.join(step.who)} {step.server}".rstrip() + span
            )
        play = rollout_fault_runner.play if agreed else fault_runner.play
        record = play(loaded.schedule, output_dir, servers=loaded.servers, visits=loaded.visits)
        if keep:
            (output_dir / "schedule.json").write_text(loaded.schedule.text())
            (output_dir / "record.json").write_text(record.text())
            click.echo(f"{output_dir}: record.json, schedule.json, a log of each proxy")
    _print_result(record)
    return EXIT_VIOLATION if record.broken else 0


def shrink_schedule(path: str, real: bool, tries: int, out: str) -> int:
    """Return exit status 0, or 1 if the whole schedule causes no violation."""
    loaded = _read_schedule(path)

    def fails(schedule: Schedule) -> bool:
        if not real:
            return bool(Player(_with_virtual_names(schedule)).play().broken)
        with tempfile.TemporaryDirectory() as folder:
            broken = fault_runner.play(
                schedule, Path(folder), servers=loaded.servers, visits=loaded.visits
            ).broken
        click.echo(f"{len(schedule.steps)} steps: {broken[0] if broken else 'no violations'}")
        return bool(broken)

    if not fails(loaded.schedule):
        click.echo("no violations: nothing to shrink", err=True)
        return 1
    shrunk = shrink(loaded.schedule, fails, tries)
    Path(out).write_text(shrunk.text())
    click.echo(f"{len(loaded.schedule.steps)} steps reduced to {len(shrunk.steps)}: {out}")
    return 0


def _with_virtual_names(schedule: Schedule) -> Schedule:
    """Return the schedule with the member names of the virtual clock, m0 and so on."""
    steps = [
        type(step)(
            step.at,
            step.what,
            tuple("m" + name[1:] for name in step.who),
            step.span,
            step.number,
            step.server,
        )
        for step in schedule.steps
    ]
    return Schedule(schedule.seed, schedule.members, steps)


def scale(plan: dict[str, Any], out: str | None) -> int:
    """Return exit status 0, or 3 after a violation."""
    if plan["faults"] == ("help",):
        click.echo(", ".join(scale_plan.FAULTS))
        return 0
    run_plan = scale_plan.Plan(**plan)
    try:
        needs = scale_plan.check(run_plan, scale_plan.machine())
        click.echo("estimate: " + ", ".join(f"{value:g} {what}" for what, value in needs.items()))
        record = scale_run.play(run_plan, Path(out) if out else None, click.echo)
    except scale_plan.PlanError as error:
        raise click.ClickException(str(error)) from None
    except KeyboardInterrupt:
        click.echo("interrupted; all started processes have been ended", err=True)
        return 130
    for text in record.said:
        click.echo(f"note: {text}")
    click.echo(f"largest sum of shares {record.share:.4f}; clients: {record.clients}; "
               f"memory of the simulated members' processes {record.memory_mib:.0f} MiB")  # fmt: skip
    for text in record.broken[:20]:
        click.echo(f"BROKEN: {text}")
    if len(record.broken) > 20:
        click.echo(f"BROKEN: and {len(record.broken) - 20} more")
    if not record.broken:
        click.echo("no violations")
    return EXIT_VIOLATION if record.broken else 0


def report(folder: str, out: str | None) -> int:
    """Write the HTML page of a run; return the exit status."""
    try:
        from arrowseam.lab import report as pages
    except ImportError as error:
        raise click.ClickException(f"{error.name} is missing: pip install -e '.[lab]'") from None
    directory = Path(folder)
    try:
        text = (directory / "record.json").read_text()
        record = scale_record.Record.read(text) if '"kind": "scale"' in text[:40] else Record.read(text)
    except OSError as error:
        raise click.ClickException(f"{directory / 'record.json'}: {error.strerror}") from None
    except (ValueError, TypeError) as error:
        raise click.ClickException(f"{directory / 'record.json'}: not a record: {error}") from None
    page = Path(out) if out else directory / "report.html"
    title = f"Play of {directory.resolve().name}"
    page.write_text(
        pages.page(record, title) if isinstance(record, Record) else pages.scale_page(record, title)
    )
    click.echo(f"{page}")
    return 0
