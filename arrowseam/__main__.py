"""``python -m arrowseam``: hands the words of the command line to ``cli/``."""

from __future__ import annotations

from arrowseam.cli import main

if __name__ == "__main__":
    main(prog_name="arrowseam")
