"""Replication of cordons: set by our operator or merged from other members, and forwarded at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from arrowseam.membership.cordons import MARK_PREFIX, Cordon, CordonSet
from arrowseam.membership.effects import CordonChanged

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView


class CordonReplication:
    """Applies cordon updates and forwards those that changed the set."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context = view, view.context
        self.cordons = CordonSet()

    def set_locally(self, endpoint: str, cordoned: bool, wall_ms: int, renew: bool = False) -> None:
        """Cordon or uncordon an endpoint for our operator; ``renew``: also renew a cordon in force."""
        update = self.cordons.set_locally(endpoint, cordoned, self.view.members.me.name, wall_ms, renew)
        if update is None:
            return
        self.context.changed_at = self.context.now
        self.view.dissemination.disseminate_cordon(update)
        for zone in self.view.zones.others:
            self.view.bridges.send_to(zone)

    def on_cordons(self, updates: Iterable[Cordon]) -> None:
        """Merge cordons received from another member."""
        for update in updates:
            known = self.cordons.by_endpoint.get(update.endpoint)
            was_cordoned = known is not None and known.is_cordoned
            merged = self.cordons.merge(update)
            if merged is None:
                continue
            self.context.changed_at = self.context.now
            self.view.dissemination.disseminate_cordon(merged)
            # Readers of a mark also use its timestamp, so a change of that alone is reported too.
            if merged.is_cordoned != was_cordoned or merged.endpoint.startswith(MARK_PREFIX):
                self.context.effects.append(CordonChanged(merged.endpoint, merged.is_cordoned))
