"""Reads the configuration files of a proxy and checks that they are consistent."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from arrowseam.address import parse_address
from arrowseam.config.proxy import Config, ConfigError, overlay_bundle, read_config

if TYPE_CHECKING:  # imported at run time only where configured, to save memory and time at the start
    from arrowseam.config.operator import Operator
    from arrowseam.protocols.nats.config import NatsConfig


def read_proxy_config(path: str, has_operator_file: bool = False, bundle: bytes = b"") -> Config:
    """Read the configuration, overridden by the settings of a bundle.

    With an operator file the discovery service is optional.

    Raises:
        ConfigError: the file or the bundle is invalid.
        OSError: the file cannot be read.
    """
    config = read_config(overlay_bundle(Path(path).read_bytes(), bundle))
    if not config.control:
        config = replace(config, control=os.environ.get("EDGE_CONTROL", ""))
    addresses = [("listen", config.listen)]
    if config.discovery or not has_operator_file:
        addresses.append(("discovery", config.discovery))
    if config.control:
        addresses.append(("control", config.control))
    for key, text in addresses:
        try:
            parse_address(text)
        except ValueError as error:
            raise ConfigError(f"configuration: {key}: {error}") from None
    return config


def read_nats_settings(config: Config, nats_path: str | None, operator: Operator | None) -> NatsConfig | None:
    """Read the settings of the NATS protocol from its own file or the operator file; None if neither has any.

    Raises:
        ConfigError: a file is invalid or contradicts another one.
        OSError: the file cannot be read.
    """
    if nats_path and operator is not None and operator.nats is not None:
        raise ConfigError("operator file: nats: already given by --nats")
    nats_text = Path(nats_path).read_bytes() if nats_path else None
    nats_config = None
    if nats_text is not None:
        nats_config = _decode_nats_settings(nats_text, config)
    if operator is not None:
        if not config.discovery and not operator.servers:
            raise ConfigError("configuration: discovery is empty and the operator file has no servers(...)")
        if operator.nats is not None:
            from arrowseam.config.operator import nats_document

            nats_config = _decode_nats_settings(nats_document(operator.nats), config)
    _check_distinct_addresses(config, nats_config)
    return nats_config


def _decode_nats_settings(text: bytes, config: Config) -> NatsConfig:
    from arrowseam.protocols.nats.config import read_nats_config

    return read_nats_config(text, config)


def _check_distinct_addresses(config: Config, nats_config: NatsConfig | None) -> None:
    """Reject two listeners on one address: the kernel would allow it and share connections among them."""
    addresses = [parse_address(text) for text in (config.listen, config.control) if text]
    if nats_config is not None:
        optional = (nats_config.listen, nats_config.health, nats_config.agent)
        addresses += [address for address in optional if address]
    fixed = [address for address in addresses if address[1]]  # port 0 stands for any free port
    if len(fixed) > len(set(fixed)):
        raise ConfigError("configuration: two listeners on one address")


def effective_config(config: Config, nats_config: NatsConfig | None) -> Config:
    """Return the configuration with the balancer settings that the protocols require.

    NATS servers report no latencies, so with NATS the balancer must not wait for such reports.
    """
    if nats_config is None:
        return config
    return replace(config, settings=replace(config.settings, reports_latency=False))


def read_configuration(path: str, nats_path: str | None) -> tuple[Config, NatsConfig | None]:
    """Read both files, where there is no operator file; raises ConfigError or OSError."""
    config = read_proxy_config(path)
    return config, read_nats_settings(config, nats_path, None)
