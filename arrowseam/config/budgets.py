"""Disruption budgets: how many proxies and endpoints may be out of service at a time.

The operator file sets them and the consensus log holds them, so both import the type from here.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0, le=100_000)]
Amount = Count | Share  # an integer is a count, a float is a share of the total


class DisruptionBudgets(msgspec.Struct, frozen=True, array_like=True):
    """The maximum numbers that may be out of service at a time.

    The field names are settings of the operator file and keys of the rows that control shows.
    """

    proxies: Amount = 1
    servers: Amount = 1
    proxies_zone: Amount = 1.0  # of the proxies of one zone
    servers_zone: Amount = 1.0  # of the endpoints of one zone
    servers_type: Amount = 1.0  # of the endpoints of one machine type
    least_ready: Share = 0.5  # minimum share of the weight of all endpoints that must stay ready
    pause_s: Annotated[float, Meta(ge=0.0, le=86400.0)] = 0.0  # seconds between two grants of one kind
