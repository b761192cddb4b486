"""The glossary names only modules, terms and log events that exist, so that each can be looked up."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"\| (?P<word>.+?) \| (?P<term>.+?) \| (?P<modules>.+?) \|")
HEADS = ("term", "word of the pages", "event before", "---")


def rows() -> list[tuple[str, str, str]]:
    lines = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8").splitlines()
    matches = [ROW.fullmatch(line) for line in lines if line.startswith("| ")]
    assert all(matches)
    found = [match.groups() for match in matches if match is not None]
    return [row for row in found if not row[0].startswith(HEADS)]


def text_of(module: str) -> str:
    path = ROOT / module
    assert path.exists(), f"no such module: {module}"
    files = sorted(path.rglob("*.py")) if path.is_dir() else [path]
    return "\n".join(file.read_text(encoding="utf-8") for file in files)


@pytest.mark.parametrize(("word", "term", "modules"), rows())
def test_modules_and_terms_exist(word: str, term: str, modules: str) -> None:
    paths = re.findall(r"`([^`]+)`", modules)
    assert paths, f"{word}: no module"
    text = "\n".join(text_of(path) for path in paths)
    for name in re.findall(r"`([^`]+)`", term):
        assert re.search(rf"(?<![\w.]){re.escape(name)}(?!\w)", text), f"{word}: {name} is not in {modules}"


def test_every_log_event_in_the_glossary_exists() -> None:
    from arrowseam.logs import EVENTS

    section = (ROOT / "docs" / "glossary.md").read_text(encoding="utf-8").partition("## Log events")[2]
    matches = [ROW.fullmatch(line) for line in section.splitlines() if line.startswith("| `")]
    events = [
        name for match in matches if match for name in re.findall(r"`([a-z_]+\.[a-z_]+)`", match["term"])
    ]
    assert len(events) > 30
    assert set(events) <= EVENTS
