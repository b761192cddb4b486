"""``HOST:PORT`` as text and as the sockets take it. It must never look a name up."""

from __future__ import annotations

from typing import TypeAlias

Address: TypeAlias = tuple[str, int]


def parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)
