"""``python -m arrowseam``: the entry point of the command line in ``cli/``."""

from __future__ import annotations

import sys

from arrowseam.process_signals import record_signals

SERVE_COMMAND = "serve"

if __name__ == "__main__":
    if sys.argv[1:2] == [SERVE_COMMAND]:
        record_signals()  # before the imports, which take most of the start-up time
    from arrowseam.cli import main

    main(prog_name="arrowseam")
