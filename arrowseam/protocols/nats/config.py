"""The settings of the NATS server, from its own file or the operator file's ``nats()``."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from arrowseam.address import Address, parse_address
from arrowseam.config.decode import DecodeError, read_number, read_object
from arrowseam.config.proxy import Config, ConfigError

DEFAULT_PORT = 4222
DEFAULT_PAYLOAD_MAX = 1 << 20


@dataclass(frozen=True, slots=True)
class NatsConfig:
    """The NATS server's settings.

    Attributes:
        listen: where clients connect.
        server_port: the port at which endpoints speak NATS, on the host that discovery names.
        overrides: the addresses of endpoints that differ from that, by name.
        users, names: class and tenant (positions in the settings) by a client's user, and by its name.
        default: class and tenant of all other clients; None: they are not authorized.
        max_payload: the limit of one message, in bytes.
        health, agent: the listeners of ``/healthz`` and of the agent check; None = off.
    """

    listen: Address
    server_port: int
    overrides: dict[str, Address] = field(default_factory=dict)
    users: dict[str, tuple[int, int]] = field(default_factory=dict)
    names: dict[str, tuple[int, int]] = field(default_factory=dict)
    default: tuple[int, int] | None = None
    max_payload: int = DEFAULT_PAYLOAD_MAX
    health: Address | None = None
    agent: Address | None = None

    def class_and_tenant(self, connect_options: dict[str, Any]) -> tuple[int, int] | None:
        """Class and tenant of a client: by its user, else by its name, else the default."""
        user, name = connect_options.get("user"), connect_options.get("name")
        found = self.users.get(user) if isinstance(user, str) else None
        if found is None and isinstance(name, str):
            found = self.names.get(name)
        return found or self.default

    def endpoint_address(self, endpoint: str, discovered: Address) -> Address:
        """The address at which an endpoint speaks NATS."""
        return self.overrides.get(endpoint, (discovered[0], self.server_port))


def read_nats_config(text: bytes, config: Config) -> NatsConfig:
    """Decode the NATS settings; raises ConfigError."""
    try:
        return _decode(text, config)
    except DecodeError as error:
        raise ConfigError(str(error)) from None
    except ValueError as error:
        raise ConfigError(f"nats: {error}") from None


def _decode(text: bytes, config: Config) -> NatsConfig:
    document = json.loads(text)
    if not isinstance(document, dict):
        raise DecodeError("nats: not a JSON object")
    listen = _optional_address(document, "listen")
    if listen is None:
        raise DecodeError("nats: listen is required")
    default = document.get("default")
    return NatsConfig(
        listen=listen,
        server_port=int(read_number(document, "server_port", DEFAULT_PORT)),
        overrides={name: parse_address(str(text)) for name, text in read_object(document, "servers").items()},
        users={
            user: _class_and_tenant(entry, f"user {user}", config)
            for user, entry in read_object(document, "users").items()
        },
        names={
            name: _class_and_tenant(entry, f"name {name}", config)
            for name, entry in read_object(document, "names").items()
        },
        default=_class_and_tenant(default, "default", config) if default else None,
        max_payload=int(read_number(document, "max_payload", DEFAULT_PAYLOAD_MAX)),
        health=_optional_address(document, "health"),
        agent=_optional_address(document, "agent"),
    )


def _optional_address(document: dict[str, Any], key: str) -> Address | None:
    return parse_address(str(document[key])) if document.get(key) else None


def _class_and_tenant(entry: Any, place: str, config: Config) -> tuple[int, int]:
    if not isinstance(entry, dict):
        raise DecodeError(f"nats: {place} must be an object with class and tenant")
    class_index, tenant = config.classes.get(str(entry.get("class"))), entry.get("tenant")
    if class_index is None or (tenant is not None and tenant not in config.tenants):
        raise DecodeError(f"nats: {place} names an unknown class or tenant")
    return class_index, config.tenants.get(str(tenant), 0)
