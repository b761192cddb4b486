"""The ``lab`` commands: schedule files, plays on real processes, their records and pages."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path

import pytest
from click.testing import CliRunner

from arrowseam.cli import lab, main
from arrowseam.lab import fault_kinds, mutants, report, schedule_file
from arrowseam.lab.fault_record import Record
from arrowseam.lab.schedules import Schedule, Step
from arrowseam.net.clock import SECOND

VALID = 'fleet(members = 3, seed = 4)\nat(0.2, "stall", ["n1"], span = 0.5)\n'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("at(1, 'kill', ['n0'])", r"s.star:1: fleet\(members = ...\) has to come first"),
        ("", r"it says no fleet"),
        ("fleet(members = 0)", "fleet: members: 0 is not in 1 to 64"),
        ("fleet(members = 3)\nfleet(members = 3)", "s.star:2: fleet: called twice"),
        ("fleet(members = 'x')", "fleet: members: not a number: 'x'"),
        (VALID + "at(1, 'explode', ['n0'])", "no fault is called 'explode'; there are all, "),
        (VALID + "at(1, 'kill', ['n3'])", "'n3' is none of n0 to n2"),
        (VALID + "at(1, 'kill', ['n0', 'n1'])", "kill takes one member"),
        (VALID + "at(1, 'part')", "part takes some members"),
        (VALID + "at(1, 'kill', [3])", "who: names of members"),
        (VALID + "at(-1, 'kill', ['n0'])", "at: when: -1 is not in 0 to 600"),
        (VALID + "at(1, 'loss', number = float('nan'))", "at: number: not a number"),
        (VALID + "at(1, 'cordon', ['n0'], server = 's9')", "'s9' is none of s0 to s2"),
        (VALID + "draw(steps = 100000)", "draw: steps: 100000 is not in 1 to 1000"),
        (VALID + "def f():\n    for i in range(1000000000):\n        pass\nf()", "has not ended within"),
        (VALID + "at(", "s.star:3: "),
    ],
)
def test_an_invalid_schedule_is_refused_in_one_line(
    tmp_path: Path, monkeypatch, text: str, message: str
) -> None:
    monkeypatch.setattr(schedule_file, "DEADLINE", 0.5)
    path = tmp_path / "s.star"
    path.write_text(text)
    with pytest.raises(schedule_file.ScheduleError, match=message) as error:
        schedule_file.read(path)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(("name", "text"), [("s.json", '{"seed":1}'), ("s.json", "[]"), ("none.star", None)])
def test_a_file_that_is_not_a_schedule_is_refused(tmp_path: Path, name: str, text: str | None) -> None:
    if text is not None:
        (tmp_path / name).write_text(text)
    result = CliRunner().invoke(main, ["lab", "fleet", str(tmp_path / name)])
    assert result.exit_code == 1
    assert result.output.startswith(f"Error: {name}: ")


def test_starlark_and_json_give_the_same_schedule(tmp_path: Path) -> None:
    (tmp_path / "s.star").write_text(VALID + "draw(steps = 4, within = 3)")
    from_starlark = schedule_file.read(tmp_path / "s.star")
    assert from_starlark.schedule.steps[0].at <= from_starlark.schedule.steps[-1].at
    assert Step(200_000, "stall", ("n1",), SECOND // 2) in from_starlark.schedule.steps
    (tmp_path / "s.json").write_text(from_starlark.schedule.text())
    assert schedule_file.read(tmp_path / "s.json").schedule == from_starlark.schedule
    assert fault_kinds.draw(4, 3) == fault_kinds.draw(4, 3) != fault_kinds.draw(5, 3)


def test_a_play_leaves_a_record_and_a_page(tmp_path: Path) -> None:
    """Plays a schedule on real processes; the page is made from the record that the command leaves."""
    (tmp_path / "s.star").write_text(
        VALID + 'at(0.1, "part", ["n0"], span = 2.5)\nat(0.3, "cordon", ["n2"], server = "s1")\n'
        'at(2.8, "restart", ["n1"])\n'
    )
    run = CliRunner().invoke(main, ["lab", "fleet", str(tmp_path / "s.star"), "--keep", str(tmp_path / "k")])
    assert run.exit_code == 0, run.output
    assert "no violations" in run.output
    assert "cordon n2 s1" in run.output
    record = Record.read((tmp_path / "k" / "record.json").read_text())
    assert record.settled is not None
    assert record.settled < 10
    assert record.clients["of these up"] > 10
    states = {state for _, _, state in report.observed_states(record, "n1", "n0")}
    assert states & {"suspect", "dead"}
    assert report.observed_states(record, "n1", "n0")[0][2] == "alive"
    assert len(report.down_spans(record, "n1")) == 1
    page = CliRunner().invoke(main, ["lab", "report", str(tmp_path / "k")])
    assert page.exit_code == 0, page.output
    text = (tmp_path / "k" / "report.html").read_text()
    assert "<svg" in text
    assert "No violations" in text
    assert "member.suspect" in text
    assert CliRunner().invoke(main, ["lab", "report", str(tmp_path)]).exit_code == 1


def test_a_play_with_rollouts_shows_the_resources_out_of_service_and_the_budget(tmp_path: Path) -> None:
    (tmp_path / "s.star").write_text(
        'fleet(members = 3)\nat(0.1, "drain", ["n2"], server = "s1")\n'
        'at(0.2, "release", ["n1"], number = 7)\nat(0.5, "stall", ["n0"], span = 0.4)\n'
    )
    words = ["lab", "fleet", str(tmp_path / "s.star"), "--agreed", "--keep", str(tmp_path / "k")]
    run = CliRunner().invoke(main, words)
    assert run.exit_code == 0, run.output
    record = Record.read((tmp_path / "k" / "record.json").read_text())
    assert max(out for _, what, out, _ in record.outs if what == "server") == 1
    assert max(out for _, what, out, _ in record.outs if what == "proxy") >= 1
    assert CliRunner().invoke(main, ["lab", "report", str(tmp_path / "k")]).exit_code == 0
    assert "Out of service, and the budget" in (tmp_path / "k" / "report.html").read_text()


def test_the_page_shows_violations_escaped(tmp_path: Path) -> None:
    record = Record(Schedule(1, 2, []).text(), broken=["<n0> holds n1 dead"], ended=1.0)
    (tmp_path / "record.json").write_text(record.text())
    assert CliRunner().invoke(main, ["lab", "report", str(tmp_path)]).exit_code == 0
    text = (tmp_path / "report.html").read_text()
    assert "&lt;n0&gt; holds n1 dead" in text
    assert "did not become equal" in text


def test_shrink_reduces_a_failing_schedule(tmp_path: Path, monkeypatch) -> None:
    names = tuple(f"n{n}" for n in range(3))
    steps = [Step(SECOND, "part", names[:2], 25 * SECOND), Step(2 * SECOND, "loss", (), SECOND, 0.05)]
    path, out = tmp_path / "s.json", tmp_path / "out.json"
    path.write_text(Schedule(2, 5, steps).text())
    words = ["lab", "shrink", str(path), "--out", str(out)]
    passing = CliRunner().invoke(main, words)
    assert passing.exit_code == 1
    assert "nothing to shrink" in passing.output
    monkeypatch.setattr(lab, "Player", partial(lab.Player, view=mutants.DeadNeverRetried))
    failing = CliRunner().invoke(main, words)
    assert failing.exit_code == 0, failing.output
    assert [step["what"] for step in json.loads(out.read_text())["steps"]] == ["part"]
