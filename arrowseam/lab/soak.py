"""Soak runs over many seeds, several at a time, each in its own process and folder."""

from __future__ import annotations

import multiprocessing
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from arrowseam.lab.soak_judge import judge
from arrowseam.lab.soak_plan import draw_plan
from arrowseam.lab.soak_player import play


@dataclass(frozen=True)
class SoakResult:
    """The result of one run. ``slack_ms``: the longest delay that the machine caused."""

    seed: int
    violations: tuple[str, ...]
    clients: int
    served: int
    slack_ms: int
    command: str  # that repeats the run


def run_seed(seed: int, seconds: float, program: tuple[str, ...] = ()) -> SoakResult:
    """Draw, play and judge one run; ``program`` replaces ``python -m arrowseam`` if given."""
    with tempfile.TemporaryDirectory() as folder:
        record = play(draw_plan(seed, seconds), Path(folder), program)
    return SoakResult(
        seed,
        tuple(judge(record)),
        len(record.clients),
        sum(client.has("up") for client in record.clients),
        record.slack // 1_000,
        f"arrowseam lab soak --seeds {seed}:{seed + 1} --seconds {seconds:g}",
    )


def run_seeds(first: int, last: int, seconds: float, jobs: int) -> Iterator[SoakResult]:
    """Run the seeds from ``first`` to before ``last``, ``jobs`` at a time; yields the results in seed order.

    Workers are spawned, not forked: ports are chosen when a process starts, and forked ones would share them.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        seeds = range(first, last)
        yield from pool.map(run_seed, seeds, [seconds] * len(seeds))
