"""What a proxy observes of the cluster outside the log: its membership view, endpoint lists and halts.

Observations can make a leader wait or halt a release; they never end a permit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from arrowseam.rollouts.budgets import Resource, ResourceTotals, totals_of
from arrowseam.rollouts.state import Release


@dataclass(frozen=True)
class ObservedProxy:
    """A proxy, as the membership view shows it."""

    resource: Resource
    started_at: int
    available: bool  # alive and not draining
    has_ended: bool  # known for certain; not set for a process that is only silent


@dataclass(frozen=True)
class ObservedEndpoint:
    """An endpoint, as the endpoint lists show it."""

    resource: Resource
    ready: bool  # listed as ready, and not cordoned by an operator


@dataclass(frozen=True)
class ClusterState:
    """Everything that one proxy observes."""

    proxies: Mapping[str, ObservedProxy] = field(default_factory=dict)
    endpoints: Mapping[str, ObservedEndpoint] = field(default_factory=dict)
    configured_proxies: int = 1
    views_agree: bool = True  # whether all proxies have the same membership view
    halts: Mapping[int, tuple[int, str]] = field(default_factory=dict)  # release -> stamp, announcing proxy

    def missing_proxies(self) -> tuple[Resource, ...]:
        """Proxies that are unavailable; configured ones that were never seen count too."""
        unavailable = [proxy.resource for proxy in self.proxies.values() if not proxy.available]
        unseen = self.configured_proxies - len(self.proxies)
        return (*unavailable, *(Resource(f"?{n}") for n in range(max(0, unseen))))

    def missing_endpoints(self) -> tuple[Resource, ...]:
        """Endpoints that are not ready, for any reason."""
        return tuple(endpoint.resource for endpoint in self.endpoints.values() if not endpoint.ready)

    def proxy_totals(self) -> ResourceTotals:
        """Totals of the known proxies; the count is at least that of the configured ones."""
        known = totals_of(proxy.resource for proxy in self.proxies.values())
        count = max(known.count, self.configured_proxies)
        return ResourceTotals(count, known.zones, known.machine_types, known.weight)

    def endpoint_totals(self) -> ResourceTotals:
        """Totals of the listed endpoints."""
        return totals_of(endpoint.resource for endpoint in self.endpoints.values())

    def is_halted(self, release: Release) -> bool:
        """Whether a halt was announced that has not been resumed."""
        halt = self.halts.get(release.id)
        return halt is not None and halt > (release.resumed_stamp, release.resumed_by)

    def not_ready_reason(self, endpoint: str) -> str:
        """Why the drain of an endpoint cannot be ended yet; empty if the endpoint is ready or not listed."""
        observed = self.endpoints.get(endpoint)
        return "" if observed is None or observed.ready else f"{endpoint} is not listed as ready"
