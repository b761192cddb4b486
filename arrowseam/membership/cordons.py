"""Cluster-wide cordons, replicated as two timestamps per endpoint and merged by taking the larger of each.

An uncordon names the cordon that it lifts. So a cordon is never lost to an uncordon whose author did not know
of it, nor to a member that has received neither.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from arrowseam.membership.hybrid_clock import HybridLogicalClock
from arrowseam.membership.records import NAME_MAX, Number, fingerprint

CORDONS_MAX = 4096  # entries; further ones are not replicated
MARKS_RESERVED = 64  # of these, reserved for marks: a halt is still possible when new cordons are refused
# Prefix of marks: entries replicated like cordons that name no endpoint. ``!release-N`` announces a halt.
MARK_PREFIX = "!"


EndpointName = Annotated[str, Meta(min_length=1, max_length=128)]
Author = Annotated[str, Meta(max_length=NAME_MAX)]


class Cordon(msgspec.Struct, array_like=True, frozen=True):
    """State of one endpoint: its latest cordon and the latest lifted cordon, by timestamp and author."""

    endpoint: EndpointName
    cordoned_at: Number
    cordoned_by: Author
    lifted_at: Number = 0  # timestamp and author of the latest cordon that was lifted
    lifted_of: Author = ""
    lifted_by: Author = ""  # the author of the uncordon

    @property
    def is_cordoned(self) -> bool:
        """Whether the latest cordon has not been lifted."""
        return (self.cordoned_at, self.cordoned_by) > (self.lifted_at, self.lifted_of)

    def merged(self, other: Cordon) -> Cordon:
        """Return the state after both updates, in either order."""
        latest = max((self, other), key=lambda c: (c.cordoned_at, c.cordoned_by))
        lifted = max((self, other), key=lambda c: (c.lifted_at, c.lifted_of, c.lifted_by))
        return Cordon(
            self.endpoint,
            latest.cordoned_at,
            latest.cordoned_by,
            lifted.lifted_at,
            lifted.lifted_of,
            lifted.lifted_by,
        )


class CordonSet:
    """The cordons of all endpoints, with the clock that orders them and a digest for comparing sets."""

    def __init__(self) -> None:
        self.clock = HybridLogicalClock()
        self.by_endpoint: dict[str, Cordon] = {}
        self.digest = 0

    def cordoned(self) -> list[str]:
        """Return the endpoints that are cordoned, sorted."""
        return sorted(name for name, cordon in self.by_endpoint.items() if cordon.is_cordoned)

    def has_room_for(self, name: str) -> bool:
        """Return whether our operator may set this endpoint or mark: it is known, or there is room for it."""
        reserved = 0 if name.startswith(MARK_PREFIX) else MARKS_RESERVED
        return name in self.by_endpoint or len(self.by_endpoint) < CORDONS_MAX - reserved

    def set_locally(
        self, endpoint: str, cordoned: bool, author: str, wall_ms: int, renew: bool = False
    ) -> Cordon | None:
        """Cordon or uncordon for our operator. None if that changes nothing, or the set is full.

        ``renew`` gives a cordon in force a new timestamp: decisions that refer to the old one do not apply.
        """
        known = self.by_endpoint.get(endpoint)
        if cordoned == (known is not None and known.is_cordoned) and not (cordoned and renew):
            return None
        if not self.has_room_for(endpoint):
            return None
        if cordoned or known is None:
            update = Cordon(endpoint, self.clock.next_timestamp(wall_ms), author)
        else:
            update = Cordon(
                endpoint,
                known.cordoned_at,
                known.cordoned_by,
                known.cordoned_at,
                known.cordoned_by,
                author,
            )
        return self.merge(update)

    def merge(self, update: Cordon) -> Cordon | None:
        """Merge one update; return the resulting cordon, or None if nothing changed."""
        known = self.by_endpoint.get(update.endpoint)
        if known is None and len(self.by_endpoint) >= CORDONS_MAX:
            return None
        merged = update if known is None else known.merged(update)
        if merged == known:
            return None
        self.clock.observe(max(merged.cordoned_at, merged.lifted_at))
        if known is not None:
            self.digest ^= cordon_fingerprint(known)
        self.digest ^= cordon_fingerprint(merged)
        self.by_endpoint[update.endpoint] = merged
        return merged


def cordon_fingerprint(cordon: Cordon) -> int:
    """Return the contribution of a cordon to the digest of a set."""
    return fingerprint(
        "cordon",
        cordon.endpoint,
        cordon.cordoned_at,
        cordon.cordoned_by,
        cordon.lifted_at,
        cordon.lifted_of,
    )
