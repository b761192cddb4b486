"""Two toy servers and a toy discovery for ``examples/config.json``, in the line protocol on loopback.

    python examples/toy_servers.py &
    python -m arrowseam serve --config examples/config.json &
    printf 'OPEN 01 0a c=tech-orders,t=bluebonnet-ridge,d=1800\\r\\nhello\\r\\n' | nc -q 2 127.0.0.1 5000

A server answers OPEN with ``UP`` and its port, then echoes each line. Discovery returns the ``known`` list of
the configuration and reports no changes.
"""

from __future__ import annotations

import json
import socketserver
import threading
import time
from pathlib import Path
from typing import Any

KNOWN: dict[str, Any] = json.loads((Path(__file__).parent / "config.json").read_text())["known"]


class LineServer(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        if not self.rfile.readline(4096).startswith(b"OPEN "):
            self.wfile.write(b"SYNTAX\r\n")
            return
        self.wfile.write(b"UP %d\r\n" % self.server.server_address[1])
        for line in self.rfile:
            self.wfile.write(line)


class Discovery(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        while line := self.rfile.readline(4096):
            while self.rfile.readline(4096).strip():
                pass  # skips the headers
            if is_watch := b"since=" in line:
                time.sleep(int(line.split(b"timeout_ms=")[1].split()[0]) / 1000)
            body = json.dumps(
                KNOWN | {"reset": not is_watch, "instances": [] if is_watch else KNOWN["instances"]}
            )
            self.wfile.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


class ThreadedServer(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    ports = [int(row["hostPort"].split(":")[1]) for row in KNOWN["instances"]]
    for port, handler in [*((port, LineServer) for port in ports), (8500, Discovery)]:
        threading.Thread(
            target=ThreadedServer(("127.0.0.1", port), handler).serve_forever, daemon=True
        ).start()
    print("toy servers on", *ports, "and discovery on 8500; end with Ctrl-C", flush=True)
    threading.Event().wait()
