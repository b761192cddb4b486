"""Addresses as text (``HOST:PORT``) and as socket addresses. Names are never resolved."""

from __future__ import annotations

from typing import TypeAlias

Address: TypeAlias = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT`` or ``[HOST]:PORT``; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)
