"""Affinity groups: an order of the endpoints for each group, the same at every proxy.

Weighted rendezvous hashing (Thaler and Ravishankar; weights as in Schindelhauer and Schomaker).
"""

from __future__ import annotations

import hashlib
import math

from arrowseam.balancer.endpoints import EndpointRecord

# Part of the endpoints, by share, without a failure score: with less, groups are kept together.
HEALTHY_FRACTION = 0.9


def group_hash(group: int, endpoint_id: int) -> float:
    """Return the hash of a group and an endpoint, uniform in (0, 1]."""
    digest = hashlib.blake2b(b"%x %x" % (group, endpoint_id), digest_size=4).digest()
    return (int.from_bytes(digest, "big") + 1) / (1 << 32)


def rendezvous_order(group: int, endpoints: list[EndpointRecord]) -> list[EndpointRecord]:
    """Return the endpoints in the order of a group, weighted by their shares.

    Guards against the cost of every group at every endpoint: where endpoints are scarce or shed load, or many
    clients return at once, it may take as much of the remaining capacity as the connections do.
    """
    return sorted(endpoints, key=lambda e: math.log(group_hash(group, e.endpoint_id)) / e.share, reverse=True)
