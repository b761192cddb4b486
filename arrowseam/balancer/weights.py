"""Weights of endpoints in UQ1.31 fixed point, in two stages (gRFC A113): zone, then endpoint in the zone."""

from __future__ import annotations

import math

ONE = 1 << 31  # 1.0 in UQ1.31
WEIGHT_SCALE = 1000  # list weights keep three decimals
WEIGHT_MAX = (1 << 32) - 1


def scaled_weight(weight: float) -> int:
    """Return a weight of the endpoint list as a positive integer. NaN, infinite and negative count as 1."""
    if not math.isfinite(weight) or weight < 0:
        weight = 1.0
    return max(1, min(WEIGHT_MAX, round(weight * WEIGHT_SCALE)))


def two_stage_shares(endpoints: list[tuple[int, int]]) -> list[int]:
    """Return the share of each (zone, scaled weight): zone times endpoint, normalized in UQ1.31."""
    zones = zone_shares(endpoints)
    return [endpoint_share(zones[zone], weight) for zone, weight in endpoints]


def zone_shares(endpoints: list[tuple[int, int]]) -> dict[int, tuple[int, int]]:
    """Return the share (UQ1.31) and the scaled weight of each zone."""
    weights: dict[int, int] = {}
    for zone, weight in endpoints:
        weights[zone] = weights.get(zone, 0) + weight
    total = sum(weights.values())
    return {zone: (weight * ONE // total, weight) for zone, weight in weights.items()}


def endpoint_share(zone: tuple[int, int], weight: int) -> int:
    """Return the share (UQ1.31, at least 1) of an endpoint, from ``zone_shares`` and its scaled weight."""
    zone_share, zone_weight = zone
    return max(1, (zone_share * (weight * ONE // zone_weight)) >> 31)
