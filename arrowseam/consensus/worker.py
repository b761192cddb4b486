"""The worker process that stores a voter's state (``python -m arrowseam.consensus.worker FILE``).

A sync may take seconds on a busy disk, and the proxy's event loop must not wait for it. The worker confirms a
write only after its sync, and exits after an error or at the end of its input.

Requests and replies are JSON lines. The first request is empty; its reply is ``{"whole":BASE64 or null}``
once no other process holds the file, or ``{"unfit":"why"}``. After that, ``{"token":N,"kept":BASE64}`` is
answered by ``{"stored":N}``, or by ``{"failed":"why"}``, which is the last line.
"""

from __future__ import annotations

import base64
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from arrowseam.consensus.messages import StoredRecord, encoder
from arrowseam.consensus.storage import StateFile, StateFileError

LOCK_RETRY_INTERVAL = 0.05  # seconds
_records_decoder: msgspec.msgpack.Decoder[list[StoredRecord]] = msgspec.msgpack.Decoder(list[StoredRecord])


def _reply(**fields: Any) -> None:
    sys.stdout.buffer.write(json.dumps(fields).encode() + b"\n")
    sys.stdout.buffer.flush()


def _open(path: Path) -> StateFile:
    """Open the state file; wait until an earlier process with the same proxy name has released it."""
    while True:
        try:
            return StateFile(path)
        except BlockingIOError:
            time.sleep(LOCK_RETRY_INTERVAL)


def main() -> None:
    """Serve one proxy until the end of input."""
    for signal_number in (signal.SIGINT, signal.SIGHUP):  # sent to the whole group, but meant for the proxy
        signal.signal(signal_number, signal.SIG_IGN)
    if not sys.stdin.buffer.readline():
        return
    path = Path(sys.argv[1])
    try:
        state_file = _open(path)
        state = state_file.load()
    except (OSError, StateFileError) as error:
        _reply(unfit=f"{path.name}: {getattr(error, 'strerror', None) or error}")
        return
    _reply(whole=base64.b64encode(encoder.encode(state)).decode() if state is not None else None)
    for line in sys.stdin.buffer:
        request = json.loads(line)
        try:
            state_file.append(_records_decoder.decode(base64.b64decode(request["kept"])))
        except OSError as error:
            _reply(failed=error.strerror or str(error))
            return
        _reply(stored=request["token"])


if __name__ == "__main__":
    main()
