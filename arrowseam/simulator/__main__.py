"""Serve the simulator on standard input and output.

Malformed frames or settings end the process with one line on standard error and exit status 1.
"""

from __future__ import annotations

import sys

from arrowseam.config.decode import DecodeError
from arrowseam.simulator.instances import serve


def main() -> int:
    """Serve until the input ends; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except DecodeError as error:
        print(f"simulator: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
