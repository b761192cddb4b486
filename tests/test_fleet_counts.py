"""fleet_counts.py, on small logs written by hand."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).parent.parent / "benchmarks" / "fleet_counts.py"

LOGS = {
    "n0": """\
0.100 arrowseam 0.1.0: n0 listens on 127.0.0.1:1
1.000 discovery: version 3 after 900 ms: 2 ready, 0 draining
1.050 call: a at s-1: up after 50 ms, group f
1.900 call: b at s-1: full after 10 ms, group f
1.950 call: b at s-2: up after 20 ms, group f
2.500 move: a off s-1
3.000 discovery: call failed: no answer in time
3.100 rejection: c for 250 ms
3.200 mute: b moved off a server that brings nothing back
torn li""",
    "n1": """\
1.400 discovery: version 3 after 1300 ms: 2 ready, 0 draining
2.900 call: d at s-1: up after 100 ms, group e
4.000 end: d at s-1: reset, unanswered for 3 ms
5.000 arrowseam 0.1.0: n1 listens on 127.0.0.1:2""",
}


@pytest.fixture
def script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("fleet_counts", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = sys.modules[spec.name] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_an_established_attempt_counts_as_a_connection_in_logs_of_this_version(
    script: ModuleType, tmp_path: Path
) -> None:
    (tmp_path / "n0.log").write_text("1.050 call: a at s-1: established after 50 ms\n2.000 x")
    counts = script.count(tmp_path)
    assert counts.seconds[1]["call established"] == 1
    assert counts.seconds[1]["standing"] == 1


def test_lines_of_this_version_count_like_those_of_earlier_versions(
    script: ModuleType, tmp_path: Path
) -> None:
    (tmp_path / "n0.log").write_text(
        "1.050 attempt: a at s-1: established after 50 ms, group f\n"
        "1.900 attempt: b at s-1: established after 10 ms\n"
        "1.950 attempt: c at s-1: established after 10 ms\n"
        "2.500 migrated: a off s-1\n"
        "2.600 migrated: b, its endpoint answers nothing\n"
        "2.700 ended: c at s-1: reset, unanswered for 3 ms\n"
        "3.100 rejected: d, retry after 250 ms\n"
    )
    counts = script.count(tmp_path)
    seconds = counts.seconds
    assert (seconds[1]["call established"], seconds[1]["standing"]) == (3, 3)
    assert (seconds[2]["moves"], seconds[2]["mute"], seconds[2]["end reset"]) == (1, 1, 1)
    assert (seconds[2]["standing"], seconds[3]["refused"]) == (0, 1)
    assert counts.servers["s-1"]["moved off"] == 1


def test_logs_are_counted_over_all_proxies(script: ModuleType, tmp_path: Path) -> None:
    for name, text in LOGS.items():
        (tmp_path / f"{name}.log").write_text(text)
    counts = script.count(tmp_path)
    seconds = counts.seconds
    assert (seconds[1]["told"], seconds[1]["call up"], seconds[1]["call full"]) == (2, 2, 1)
    assert [(seconds[s]["standing"], seconds[s]["pairs"]) for s in (1, 2, 3, 4)] == [
        (2, 2),
        (2, 2),
        (1, 1),
        (0, 0),
    ]
    assert (seconds[2]["moves"], seconds[3]["refused"], seconds[3]["list failed"]) == (1, 1, 1)
    assert seconds[3]["mute"] == 1
    assert seconds[4]["end reset"] == 1
    assert counts.lists_received == {3: [1.0, 1.4]}
    assert counts.servers["s-1"] == {"up": 2, "full": 1, "moved off": 1}
    assert counts.max_attempts("s-1") == 3
    assert counts.max_attempts("s-2") == 1
    assert "s-1: full 1, moved off 1, up 2; 3" in script.report(counts)
