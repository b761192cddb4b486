"""Soak runs: a short one over fixed seeds, and a violation of each rule that their judge has to find."""

from __future__ import annotations

import sys
from collections.abc import Callable

import pytest
from click.testing import CliRunner

from arrowseam.cli import main
from arrowseam.lab import soak, soak_judge
from arrowseam.lab.soak_judge import ProcessRecord, SoakRecord, judge
from arrowseam.lab.soak_plan import MS, REFUSING, SECOND, RequestKind, Wire, draw_plan
from arrowseam.lab.soak_stand_ins import Attempt, ClientRecord

SEEDS = range(1, 9)
SECONDS = 3.0


def valid_record() -> SoakRecord:
    """One client that was served and moved at the end, one that was rejected, and one that left."""
    served = ClientRecord(1, Wire.LINES, RequestKind.NON_IDEMPOTENT, 10, 10, 0, 3 * SECOND, 50 * MS)
    served.got = bytearray(b"UP r1\r\nhello 1\r\nMOVE\r\n")
    served.sent_at, served.replied_at = [SECOND], [SECOND + MS]
    rejected = ClientRecord(2, Wire.NATS, RequestKind.KEYED, 10, 10, 0, 30 * MS, 20 * MS)
    rejected.got = bytearray(b"-ERR 'Maximum Connections Exceeded, Retry After 50 ms'\r\n")
    left = ClientRecord(3, Wire.LINES, RequestKind.IDEMPOTENT, 10, 10, 30 * MS)
    attempts = [
        Attempt(1, 0, "busy", 20 * MS, 30 * MS),
        Attempt(1, 1, "up", 40 * MS, 3 * SECOND, 45 * MS),
        Attempt(2, 2, "reset", 15 * MS, 16 * MS),
        Attempt(3, 2, "silent", 20 * MS, 31 * MS),
    ]
    return SoakRecord(
        clients=[served, rejected, left], attempts=attempts, drains=[(2, 100 * MS, 0)],
        processes=[ProcessRecord(0, ['{"event": "drain.done"}'])], ended_at=4 * SECOND, descriptors=(11, 12),
    )  # fmt: skip


def lacks_an_answer(record: SoakRecord) -> None:
    record.clients[1].got.clear()


def answers_late(record: SoakRecord) -> None:
    record.clients[0].answered_at = SECOND


def answers_twice(record: SoakRecord) -> None:
    record.clients[1].got *= 2


def overlaps_attempts(record: SoakRecord) -> None:
    record.attempts[0].ended_at = 200 * MS


def sends_to_a_draining_endpoint(record: SoakRecord) -> None:
    record.attempts.append(Attempt(9, 2, "up", 2_300 * MS, 2_400 * MS))


def sends_after_the_client_left(record: SoakRecord) -> None:
    record.attempts.append(Attempt(3, 1, "up", 400 * MS, 500 * MS))


def runs_a_non_idempotent_request_twice(record: SoakRecord) -> None:
    record.attempts[0].mode = "error"


def retries_after_the_window(record: SoakRecord) -> None:
    record.attempts.append(Attempt(2, 1, "busy", 1_200 * MS, 1_300 * MS))


def closes_without_move(record: SoakRecord) -> None:
    record.clients[0].got = bytearray(b"UP r1\r\nhello 1\r\n")


def delays_a_line(record: SoakRecord) -> None:
    record.clients[0].replied_at = [SECOND + 1_200 * MS]


def loses_a_line(record: SoakRecord) -> None:
    record.clients[0].replied_at = []


def keeps_a_client_without_opening(record: SoakRecord) -> None:
    record.clients.append(ClientRecord(5, Wire.NATS, RequestKind.IDEMPOTENT, 10))


def is_killed(record: SoakRecord) -> None:
    record.processes[0].status = None


def is_ended_by_a_signal(record: SoakRecord) -> None:
    record.processes[0].status = -1


def logs_a_failure(record: SoakRecord) -> None:
    record.processes[0].log.append('{"event": "round.failed"}')


def leaks_descriptors(record: SoakRecord) -> None:
    record.descriptors = 11, 30


VIOLATIONS: tuple[tuple[Callable[[SoakRecord], None], Callable[..., object]], ...] = (
    (lacks_an_answer, soak_judge.judge_answers), (answers_late, soak_judge.judge_answers),
    (answers_twice, soak_judge.judge_answers), (overlaps_attempts, soak_judge.judge_attempts_in_flight),
    (sends_to_a_draining_endpoint, soak_judge.judge_drains),
    (sends_after_the_client_left, soak_judge.judge_left_clients),
    (runs_a_non_idempotent_request_twice, soak_judge.judge_retries),
    (retries_after_the_window, soak_judge.judge_retries),
    (closes_without_move, soak_judge.judge_closed_connections),
    (delays_a_line, soak_judge.judge_line_delays), (loses_a_line, soak_judge.judge_line_delays),
    (keeps_a_client_without_opening, soak_judge.judge_bad_clients), (is_killed, soak_judge.judge_exits),
    (is_ended_by_a_signal, soak_judge.judge_exits), (logs_a_failure, soak_judge.judge_logs),
    (leaks_descriptors, soak_judge.judge_descriptors),
)  # fmt: skip


def test_a_valid_record_breaks_no_rule() -> None:
    assert judge(valid_record()) == []


@pytest.mark.parametrize(("violate", "rule"), VIOLATIONS, ids=[violate.__name__ for violate, _ in VIOLATIONS])
def test_each_violation_is_found_by_its_rule(violate, rule) -> None:
    record = valid_record()
    violate(record)
    found = list(rule(record))
    assert len(found) == 1
    assert judge(record) == found


def test_every_rule_has_a_violation() -> None:
    assert {rule for _, rule in VIOLATIONS} == set(soak_judge.RULES)


def test_a_plan_is_a_function_of_its_seed() -> None:
    assert draw_plan(5) == draw_plan(5)
    assert draw_plan(5) != draw_plan(6)
    plans = [draw_plan(seed) for seed in range(60)]
    assert any(plan.restart_at for plan in plans)
    assert any(plan.settles for plan in plans)
    assert any(plan.crash_at for plan in plans)
    assert any(step.mode == REFUSING for plan in plans for step in plan.endpoint_steps)
    assert any(len(plan.signals_after_end) > 100 for plan in plans)
    assert any(len(plan.clients) > 150 for plan in plans)


@pytest.mark.parametrize(
    ("mutant", "seed", "expected"),
    [
        ("does_not_ignore_signals", 5, "ended with status -"),
        ("retries_non_idempotent_requests", 4, "not idempotent, and may have run"),
        ("closes_without_migration_message", 1, "closed without MOVE"),
        ("never_finishes_draining", 2, "still running when it was killed"),
        ("ignores_drains", 10, "after its drain was listed"),
    ],
)
def test_the_fault_of_a_mutant_is_found(mutant: str, seed: int, expected: str) -> None:
    program = (sys.executable, "-m", "arrowseam.lab.soak_mutants", mutant)
    result = soak.run_seed(seed, SECONDS, program)
    assert any(expected in text for text in result.violations), result


def test_a_short_soak_breaks_no_rule() -> None:
    results = list(soak.run_seeds(SEEDS.start, SEEDS.stop, SECONDS, jobs=2))
    assert {result.command: result.violations for result in results if result.violations} == {}
    assert all(result.served for result in results)


@pytest.mark.parametrize("seeds", ["", "5", "5:5", "6:5", "a:b", "-1:2"])
def test_invalid_seed_ranges_are_rejected(seeds: str) -> None:
    result = CliRunner().invoke(main, ["lab", "soak", "--seeds", seeds])
    assert result.exit_code == 2
    assert "--seeds takes A:B" in result.output
