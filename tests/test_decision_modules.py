"""The decision modules: the deploy file lists all of them, and none does I/O or reads a clock."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MODULES = sorted(str(path.relative_to(ROOT)) for path in (ROOT / "arrowseam" / "balancer").glob("*.py"))
PURE = {
    "__future__", "bisect", "collections", "collections.abc", "dataclasses", "enum", "hashlib", "heapq",
    "itertools", "math", "random", "struct", "typing",
}  # fmt: skip


def test_the_deploy_file_lists_every_decision_module() -> None:
    assert sorted(DEPLOY["policy"]) == MODULES


@pytest.mark.parametrize("name", MODULES)
def test_the_decisions_use_no_clock_no_io_and_no_shared_random_source(name: str) -> None:
    tree = ast.parse((ROOT / name).read_text())
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(node.module)
    own_modules = {module for module in imported if str(module).startswith("arrowseam")}
    assert all(
        module == "arrowseam.errors" or module.startswith("arrowseam.balancer") for module in own_modules
    )
    assert imported - own_modules <= PURE


@pytest.mark.parametrize("name", MODULES)
def test_the_decisions_draw_only_from_their_own_random_source(name: str) -> None:
    """Of ``random`` only ``random.Random(seed)`` may be used: its module functions share one source."""
    tree = ast.parse((ROOT / name).read_text())
    attributes = [
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random"
    ]
    assert set(attributes) <= {"Random"}


@pytest.mark.parametrize("name", MODULES)
def test_each_decision_module_has_a_docstring(name: str) -> None:
    assert ast.get_docstring(ast.parse((ROOT / name).read_text()))
