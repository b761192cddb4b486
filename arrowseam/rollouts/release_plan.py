"""Planning a release: the digest of its bundle, and its waves."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

WAVE_SHARES = (0.05, 0.25)  # shares of all proxies in the two waves after the canary


def bundle_digest(bundle: bytes) -> str:
    """The digest that identifies a bundle; empty for the settings of each proxy's own file."""
    return blake2b(bundle, digest_size=6).hexdigest() if bundle else ""


def plan_waves(names: Iterable[str], zones: dict[str, str] | None = None) -> tuple[tuple[str, ...], ...]:
    """One canary, 5 %, 25 %, then the rest; with ``zones``, one wave for each zone after the canary."""
    rest = list(names)
    if not rest:
        return ()
    total = len(rest)
    waves, rest = [tuple(rest[:1])], rest[1:]
    if zones is not None:
        for zone in sorted({zones.get(name, "") for name in rest}):
            waves.append(tuple(name for name in rest if zones.get(name, "") == zone))
        return tuple(waves)
    for share in WAVE_SHARES:
        count = max(1, round(share * total))
        if rest:
            waves.append(tuple(rest[:count]))
            rest = rest[count:]
    if rest:
        waves.append(tuple(rest))
    return tuple(waves)
