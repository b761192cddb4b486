"""Packages are layered: each may import only packages of lower layers.

Imports inside functions and under ``TYPE_CHECKING`` are counted like any other.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "arrowseam"
LAYERS = (  # lowest first; packages of one layer do not import each other
    ("__version__", "errors", "process_signals"),
    ("logs", "outcomes", "address"),
    ("balancer",),
    ("client_request", "endpoint_list", "config"),
    ("net",),
    ("driver", "workers", "simulator"),
    ("endpoint_sources",),
    ("protocols",),
    ("request_handling",),
    ("membership", "hot_restart"),
    ("consensus",),
    ("rollouts",),
    ("control",),
    ("proxy",),
    ("lab", "capacity"),
    ("cli",),
    ("__init__", "__main__"),
)
RANK = {name: rank for rank, layer in enumerate(LAYERS) for name in layer}
MODULES = sorted(str(path.relative_to(PACKAGE)) for path in PACKAGE.rglob("*.py"))


def imported_packages(tree: ast.AST) -> set[str]:
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == "arrowseam":
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("arrowseam."):
            found.add(str(node.module).split(".")[1])
        elif isinstance(node, ast.Import):
            names = [alias.name.split(".") for alias in node.names]
            found |= {name[1] for name in names if name[0] == "arrowseam" and len(name) > 1}
    return found


@pytest.mark.parametrize("module", MODULES)
def test_a_package_imports_only_lower_layers(module: str) -> None:
    package = module.split("/")[0].removesuffix(".py")
    others = imported_packages(ast.parse((PACKAGE / module).read_text(encoding="utf-8"))) - {package}
    above = {name for name in others if RANK[name] >= RANK[package]}
    assert not above
