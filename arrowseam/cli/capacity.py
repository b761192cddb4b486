"""What ``arrowseam capacity`` prints: the costs of a target's size from recorded runs.

It owns the words and the exit status. It must never be imported by a proxy, nor hold a figure.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import click

RUNS = Path(__file__).resolve().parents[2] / "benchmarks" / "runs"
BAD = 2  # exit status


def show(target: str, folder: str | None, as_json: bool, page: str | None) -> int:
    """The exit status: 0, or 2 with one line for a file that isn't taken."""
    from arrowseam.capacity import runs

    try:
        from arrowseam.capacity import table

        size = runs.read_target(target)
        costs = table.Costs(runs.read_folder(folder or RUNS), size)
        if page is not None:
            return _write(Path(page), table.render_page(costs), table.replace_table)
        click.echo(json.dumps(table.to_document(costs)) if as_json else table.render_text(costs))
    except runs.InvalidFileError as error:
        click.echo(f"arrowseam: {error}", err=True)
        return BAD
    except ImportError as error:
        raise click.ClickException(f"{error.name} is missing: pip install -e '.[lab]'") from None
    return 0


def _write(page: Path, new: str, put: Callable[[str, str], str]) -> int:
    try:
        page.write_text(put(page.read_text(), new))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        click.echo(f"arrowseam: {page}: {why}", err=True)
        return BAD
    except ValueError as error:
        click.echo(f"arrowseam: {page}: {error}", err=True)
        return BAD
    click.echo(f"{page}")
    return 0
