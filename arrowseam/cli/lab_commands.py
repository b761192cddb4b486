"""The arguments of the commands ``arrowseam lab ...``. Their code is imported only when one of them runs."""

from __future__ import annotations

import sys

import click


@click.group("lab")
def lab_group() -> None:
    """Run fleets of real proxies under faults on this machine; needs a source checkout."""


@lab_group.command("fleet")
@click.argument("schedule", required=False)
@click.option(
    "--draw",
    "seed",
    type=click.IntRange(0),
    help="Draw the schedule from this seed instead of reading a file.",
)
@click.option("--members", type=click.IntRange(2, 64), help="Members of a drawn schedule; default: 3 to 7.")
@click.option("--keep", metavar="DIR", help="Keep logs, schedule and record there.")
@click.option(
    "--agreed", is_flag=True, help="Run consensus among three members; the steps include drains and releases."
)
def lab_fleet(
    schedule: str | None, seed: int | None, members: int | None, keep: str | None, agreed: bool
) -> None:
    """Play SCHEDULE (Starlark or JSON) and judge the run. Exit status 3 after a violation."""
    from arrowseam.cli import lab

    sys.exit(lab.fleet(schedule, seed, members, keep, agreed))


@lab_group.command("shrink")
@click.argument("schedule")
@click.option("--real", is_flag=True, help="Use real processes instead of the virtual clock.")
@click.option("--tries", default=200, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--out", default="shrunk.json", show_default=True)
def lab_shrink(schedule: str, real: bool, tries: int, out: str) -> None:
    """Reduce a failing SCHEDULE to fewer steps that still fail."""
    from arrowseam.cli import lab

    sys.exit(lab.shrink_schedule(schedule, real, tries, out))


@lab_group.command("scale")
@click.option(
    "--members", type=click.IntRange(2, 20_000), default=100, show_default=True, help="Members in all."
)
@click.option(
    "--real", type=click.IntRange(0, 32), default=2, show_default=True, help="Real proxies among the members."
)
@click.option(
    "--zones", type=click.IntRange(1, 64), default=1, show_default=True, help="Zones of equal size."
)
@click.option(
    "--faults",
    default="rest",
    show_default=True,
    help="Faults in order, separated by commas; `help` lists them.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(3, 600),
    default=60.0,
    show_default=True,
    help="Duration of each fault.",
)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for record.json, run.json and logs.")
@click.option("--period-ms", type=click.IntRange(50, 10_000), default=300, show_default=True)
@click.option("--standing", is_flag=True, help="Simulated members know each other from the start.")
@click.option("--agent", is_flag=True, help="Run the consensus too, with five simulated members as voters.")
@click.option(
    "--per-host",
    type=click.IntRange(1, 200),
    default=50,
    show_default=True,
    help="Simulated members in a process.",
)
@click.option(
    "--seed",
    type=int,
    default=1,
    show_default=True,
    help="Seed for the members that faults affect, not for the timing.",
)
@click.option(
    "--spread",
    type=click.FloatRange(0, 120),
    default=0.0,
    help="Seconds over which the first start is spread.",
)
def lab_scale(
    members: int, real: int, zones: int, faults: str, seconds: float, out: str | None, period_ms: int,
    standing: bool, agent: bool, per_host: int, seed: int, spread: float,
) -> None:  # fmt: skip
    """Run many simulated members beside real proxies under traffic, with faults, and judge the run.

    A simulated member has the real membership view and real sockets, but no listeners for clients. Exit
    status 3: there was a violation; 1: the run would not fit this machine, and nothing was started.
    """
    from arrowseam.cli import lab

    plan = {"members": members, "real": real, "zones": zones, "faults": tuple(faults.split(",")),
            "seconds": seconds, "period_ms": period_ms, "standing": standing, "agent": agent,
            "per_host": per_host, "seed": seed, "spread": spread}  # fmt: skip
    sys.exit(lab.scale(plan, out))


@lab_group.command("soak")
@click.option("--seeds", required=True, metavar="A:B", help="Seeds from A up to, but not including, B.")
@click.option("--seconds", type=click.FloatRange(1, 60), default=4.0, show_default=True,
              help="Duration of each run before its SIGTERM.")  # fmt: skip
@click.option(
    "--jobs", type=click.IntRange(1, 16), default=1, show_default=True, help="Number of parallel runs."
)
def lab_soak(seeds: str, seconds: float, jobs: int) -> None:
    """Run one real proxy among stand-ins, drawn from each seed, and judge it by the rules of the protocols.

    Clients of both protocols use their connections until the process is killed, at the earliest permitted
    time; signals arrive in series; some runs have many clients at once, or a second process that takes over.
    Exit status 3: a rule was broken.
    """
    from arrowseam.cli import lab

    first, _, last = seeds.partition(":")
    if not (first.isdecimal() and last.isdecimal() and int(first) < int(last)):
        raise click.UsageError("--seeds takes A:B, two whole numbers, the second one greater")
    sys.exit(lab.soak(int(first), int(last), seconds, jobs))


@lab_group.command("report")
@click.argument("folder")
@click.option("--out", help="File for the page; default: report.html in FOLDER.")
def lab_report(folder: str, out: str | None) -> None:
    """Write an HTML page about a run of `lab fleet --keep FOLDER` or `lab scale --out FOLDER`."""
    from arrowseam.cli import lab

    sys.exit(lab.report(folder, out))
