"""Shares of new connections by the weights of a list, and the traffic that a change of the list shifts."""

from __future__ import annotations

from collections.abc import Mapping

from arrowseam.balancer.weights import scaled_weight, two_stage_shares
from arrowseam.endpoint_sources.records import READY, EndpointRecord


def traffic_shares(records: Mapping[str, EndpointRecord]) -> dict[str, float]:
    """Return each ready endpoint's share of new connections; the sum is 1, empty if none is ready."""
    ready = [record for record in records.values() if record.state == READY]
    if not ready:
        return {}
    zones = {zone: position for position, zone in enumerate(dict.fromkeys(record.zone for record in ready))}
    weights = two_stage_shares(
        [(zones[record.zone], scaled_weight(record.effective_weight)) for record in ready]
    )
    total = sum(weights)
    return {record.name: weight / total for record, weight in zip(ready, weights, strict=True)}


def traffic_shift(old: Mapping[str, EndpointRecord], new: Mapping[str, EndpointRecord]) -> float:
    """Return the share of new connections that the new list sends to other endpoints, 0 to 1."""
    before, after = traffic_shares(old), traffic_shares(new)
    if not before or not after:
        return 1.0 if before or after else 0.0
    return sum(max(0.0, share - after.get(name, 0.0)) for name, share in before.items())
