"""The command ``arrowseam capacity``: prints the costs of a fleet of a target size, from recorded runs.

A proxy must not import this module, and it must not contain measured figures.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import click

RECORDED_RUNS = Path(__file__).resolve().parents[2] / "benchmarks" / "runs"
EXIT_INVALID_FILE = 2


def show(target: str, folder: str | None, as_json: bool, page: str | None) -> int:
    """Print or write the table; return the exit status: 0, or 2 after a line about an invalid file."""
    from arrowseam.capacity import runs

    try:
        from arrowseam.capacity import table

        size = runs.read_target(target)
        costs = table.Costs(runs.read_folder(folder or RECORDED_RUNS), size)
        if page is not None:
            return _write_page(Path(page), table.render_page(costs), table.replace_table)
        click.echo(json.dumps(table.to_document(costs)) if as_json else table.render_text(costs))
    except runs.InvalidFileError as error:
        click.echo(f"arrowseam: {error}", err=True)
        return EXIT_INVALID_FILE
    except ImportError as error:
        raise click.ClickException(f"{error.name} is missing: pip install -e '.[lab]'") from None
    return 0


def _write_page(page: Path, table_text: str, insert_table: Callable[[str, str], str]) -> int:
    try:
        page.write_text(insert_table(page.read_text(), table_text))
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        click.echo(f"arrowseam: {page}: {reason}", err=True)
        return EXIT_INVALID_FILE
    except ValueError as error:
        click.echo(f"arrowseam: {page}: {error}", err=True)
        return EXIT_INVALID_FILE
    click.echo(f"{page}")
    return 0
