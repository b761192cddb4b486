"""The limits that keep the decision module reviewable."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_the_policy_is_one_module_within_its_limits() -> None:
    (name,) = DEPLOY["policy"]
    lines = [line for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert 300 <= len(lines) <= 1200
    assert max(map(len, lines)) <= 110


def test_the_decisions_use_no_clock_no_io_and_no_shared_random_source() -> None:
    tree = ast.parse((ROOT / "arrowseam" / "balance.py").read_text())
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(node.module)
    allowed = {"__future__", "math", "random", "bisect", "itertools", "struct", "hashlib", "heapq"}
    assert imported <= allowed | {"arrowseam", "arrowseam.api", "collections.abc"}


def test_the_interface_is_named_at_the_top() -> None:
    assert "arrowseam/api.py" in "".join((ROOT / "arrowseam" / "balance.py").read_text().splitlines()[0])
