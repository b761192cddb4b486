"""Endpoints as the balancer knows them: an integer id for each name, and updates of the endpoint list."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from arrowseam.balancer.events import Endpoint, UpdateKind


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An endpoint list or a change to it, and the address (HOST:PORT) of each endpoint that has one.

    ``more_follows``: the rest of the same change comes with the next update.
    """

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, str]
    more_follows: bool = False


class EndpointIds(dict[str, int]):
    """The id of each endpoint by its name; ``names`` maps ids back to names."""

    def __init__(self) -> None:
        super().__init__()
        self.names: dict[int, str] = {}

    def assign(self, name: str) -> int:
        """The id of an endpoint, a hash of its name so that all proxies and processes use the same.

        If the hashes of two names collide, the later name gets the next free id.
        """
        if name not in self:
            digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=4).digest()
            endpoint_id = int.from_bytes(digest, "big") or 1
            while endpoint_id in self.names:
                endpoint_id += 1
            self[name] = endpoint_id
            self.names[endpoint_id] = name
        return self[name]
