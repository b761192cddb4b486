"""The configuration file that a proxy reads at start and at SIGHUP.

Its key names are mapped to the terms of the code here and in ``decode.py``.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import Any

from arrowseam.balancer.settings import Settings
from arrowseam.config.decode import (
    DecodeError,
    UnusedSettings,
    parse_settings,
    parse_unused_settings,
    read_array,
    read_int,
    read_object,
)
from arrowseam.errors import ArrowseamError

DEFAULT_DESCRIPTOR_LIMIT = 1024
OPTIONAL_KEYS = ("seed", "known", "control")  # a reloaded file may omit these even if the last one had them
PER_PROXY_SETTINGS = ("me", "zone")  # specific to one proxy, never in a bundle


class ConfigError(ArrowseamError):
    """A configuration or a list of endpoints is invalid; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy.

    Attributes:
        listen, control, discovery: HOST:PORT; ``control`` and ``discovery`` may be empty.
        seed: seed of all random choices.
        descriptor_limit: maximum number of open file descriptors of the process.
        known_endpoints: the initial list of endpoints, in the discovery service's format.
        settings: settings of the balancer.
        zones, machine_types, classes, tenants: positions in the settings, by name.
        keys: paths of all keys in the file; a reloaded file that lacks one is incomplete.
        unused_settings: settings that affect no decision, but are part of the settings digest.
    """

    name: str
    listen: str
    control: str
    discovery: str
    seed: int
    descriptor_limit: int
    known_endpoints: dict[str, Any]
    settings: Settings
    zones: dict[str, int]
    machine_types: dict[str, int]
    classes: dict[str, int]
    tenants: dict[str, int]
    keys: frozenset[str]
    unused_settings: UnusedSettings

    @property
    def class_names(self) -> list[str]:
        """The names of the request classes, by position."""
        return list(self.classes)

    @property
    def longest_deadline(self) -> int:
        """The longest deadline of all classes, in microseconds."""
        return max(request_class.deadline for request_class in self.settings.classes)


def overlay_bundle(text: bytes, bundle: bytes) -> bytes:
    """Return a configuration with the settings of a bundle replacing its own.

    A bundle is a JSON object with ``settings`` that all proxies share; settings of one proxy are kept.

    Raises:
        ConfigError: the configuration or the bundle is invalid.
    """
    if not bundle:
        return text
    settings = _bundle_settings(bundle)
    try:
        document = json.loads(text)
        document["settings"] = document["settings"] | settings
    except (ValueError, RecursionError, KeyError, TypeError) as error:
        raise ConfigError(f"configuration: not JSON with settings ({error})") from None
    return json.dumps(document).encode()


def _bundle_settings(bundle: bytes) -> dict[str, Any]:
    try:
        document = json.loads(bundle)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"bundle: not JSON ({error})") from None
    if not isinstance(document, dict) or set(document) != {"settings"}:
        raise ConfigError("bundle: not a JSON object with settings and nothing else")
    settings = document["settings"]
    if not isinstance(settings, dict):
        raise ConfigError("bundle: not a JSON object with settings and nothing else")
    if per_proxy := sorted(set(PER_PROXY_SETTINGS) & set(settings)):
        raise ConfigError(f"bundle: settings: {per_proxy[0]} is specific to each proxy")
    return settings


def read_config(text: bytes) -> Config:
    """Decode a configuration.

    Raises:
        ConfigError: it is invalid.
    """
    try:
        return _decode(json.loads(text))
    except DecodeError as error:
        raise ConfigError(str(error)) from None
    except (ValueError, OverflowError, RecursionError) as error:
        raise ConfigError(f"configuration: not JSON ({error})") from None


def _decode(document: Any) -> Config:
    if not isinstance(document, dict):
        raise DecodeError("configuration: not a JSON object")
    raw_settings = read_object(document, "settings")
    settings = parse_settings(json.dumps(raw_settings).encode())
    # On the wire, LOAD is used for both kinds of report. Where endpoints report load, a latency report cannot
    # be told apart, so the balancer must not wait for one.
    reports_latency = settings.reports_latency and not settings.reports_load
    settings = replace(settings, reports_latency=reports_latency)
    classes = read_array(raw_settings, "lanes")
    for request_class in classes:
        if read_int(request_class, "deadline") <= 0:
            name = request_class.get("name")
            raise DecodeError(f"settings: the deadline of {name} must be a positive number")
    limits = read_object(document, "limits")
    texts = _read_texts(document)
    return Config(
        name=texts["name"],
        listen=texts["listen"],
        control=texts["control"],
        discovery=texts["discovery"],
        seed=_read_seed(texts["seed"]),
        descriptor_limit=read_int(limits, "sockets", DEFAULT_DESCRIPTOR_LIMIT),
        known_endpoints=read_object(document, "known"),
        settings=settings,
        zones=_positions(read_array(raw_settings, "zones")),
        machine_types=_positions(read_array(raw_settings, "kinds")),
        classes=_positions(classes),
        tenants=_positions(read_array(raw_settings, "tenants")),
        keys=_key_paths({key: value for key, value in document.items() if key not in OPTIONAL_KEYS}),
        unused_settings=parse_unused_settings(raw_settings),
    )


def _read_texts(document: dict[str, Any]) -> dict[str, str]:
    texts = {key: document.get(key, "") for key in ("name", "listen", "control", "discovery", "seed")}
    for key, value in texts.items():
        if not isinstance(value, str):
            raise DecodeError(f"configuration: {key} must be text")
    return texts


def _read_seed(text: str) -> int:
    try:
        return int(text or "0", 16)
    except ValueError:
        raise DecodeError("configuration: seed must be a hexadecimal number") from None


def _positions(entries: list[Any]) -> dict[str, int]:
    """Return positions by name, for an array of names or of objects with a name."""
    return {
        str(entry.get("name") if isinstance(entry, dict) else entry): position
        for position, entry in enumerate(entries)
    }


def _key_paths(value: Any, prefix: str = "") -> frozenset[str]:
    """Return the paths of all keys in a document; in an array of objects, those that all of them have."""
    if isinstance(value, dict):
        paths = {f"{prefix}.{key}" for key, item in value.items() if item is not None}
        inner = (_key_paths(item, f"{prefix}.{key}") for key, item in value.items())
        return frozenset(paths.union(*inner))
    if isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
        return frozenset.intersection(*(_key_paths(row, f"{prefix}[]") for row in value))
    return frozenset()
