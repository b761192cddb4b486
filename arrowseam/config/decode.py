"""Decodes the settings, which the proxy and the simulator share.

This module maps the key names of the configuration (``lanes``, ``worth``, ``effect`` and so on) to the terms
of the code. All times in the configuration are in microseconds.
"""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple

from arrowseam.balancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)
from arrowseam.errors import ArrowseamError, UsageError

IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}


class DecodeError(ArrowseamError):
    """The input does not have the expected format; the message is a single line."""


def read_number(fields: dict[str, Any], key: str, default: float = 0.0) -> float:
    """Read a finite number; the default if the key is missing or null. Raises DecodeError."""
    value = read_optional_number(fields, key)
    return default if value is None else value


def read_optional_number(fields: dict[str, Any], key: str) -> float | None:
    """Read a finite number; None if the key is missing or null. Raises DecodeError."""
    value = fields.get(key)
    if value is None:
        return None
    try:
        if not isinstance(value, bool) and isinstance(value, (int, float)) and math.isfinite(value):
            return float(value)
    except OverflowError:  # an integer too large for a float
        pass
    raise DecodeError(f"settings: {key} must be a finite number")


def read_int(fields: dict[str, Any], key: str, default: int = 0) -> int:
    """Read a finite number as ``read_number`` does, truncated to an integer."""
    return int(read_number(fields, key, default))


def read_object(fields: dict[str, Any], key: str) -> dict[str, Any]:
    """Read an object; empty if the key is missing or null. Raises DecodeError."""
    nested = fields.get(key) or {}
    if not isinstance(nested, dict):
        raise DecodeError(f"settings: {key} must be an object")
    return nested


def read_array(fields: dict[str, Any], key: str) -> list[Any]:
    """Read an array; empty if the key is missing or null. Raises DecodeError."""
    array = fields.get(key) or []
    if not isinstance(array, list):
        raise DecodeError(f"settings: {key} must be an array")
    return array


def number_at(numbers: list[Any], position: int) -> float:
    """Read the number at a position of an array; 0 if the array is shorter."""
    return read_number({"n": numbers[position]}, "n") if position < len(numbers) else 0.0


class UnusedSettings(NamedTuple):
    """Settings that a configuration may contain but that do not affect any decision.

    They are validated like the others, and are part of the settings digest that proxies compare.
    """

    tenant_shares: tuple[float, ...] = ()
    answer_grace: int = 0
    may_cancel: bool = False
    second_copies: bool = False
    peers: bool = False
    moves_price: float = 0.0
    peer_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    live_weights: bool = False
    over_share_worth: float = 1.0


def parse_unused_settings(document: dict[str, Any]) -> UnusedSettings:
    """Decode the settings that affect no decision; raises DecodeError as ``parse_settings`` does."""
    limits = read_object(document, "caps")
    prices = read_object(document, "prices")
    tenants = read_array(document, "tenants")
    return UnusedSettings(
        tenant_shares=tuple(read_number(tenant, "share") for tenant in tenants if isinstance(tenant, dict)),
        answer_grace=read_int(read_object(document, "invariants"), "grace_to_answer"),
        may_cancel=bool(limits.get("may_cancel")),
        second_copies=bool(limits.get("second_copies")),
        peers=bool(limits.get("peers")),
        moves_price=read_number(prices, "moves"),
        peer_price=read_number(prices, "peer"),
        waste_price=read_number(prices, "waste"),
        late_fail_price=read_number(prices, "late_fail"),
        live_weights=document.get("weights") == "live",
        over_share_worth=read_number(document, "over_share_worth", 1.0),
    )


def parse_settings(text: bytes) -> Settings:
    """Decode the settings of one proxy; unknown keys are ignored.

    Raises:
        DecodeError: the text is not JSON, or a value is of a wrong type or out of range.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise DecodeError(f"settings: not JSON ({error})") from None
    if not isinstance(document, dict):
        raise DecodeError("settings: not a JSON object")
    family = read_object(document, "family_info")
    telemetry = read_object(document, "telemetry")
    parse_unused_settings(document)
    classes = _request_classes(document, family)
    tenants = _tenants(document, family)
    try:
        return Settings(
            classes=classes,
            tenants=tenants,
            rules=_rules(read_object(document, "invariants")),
            limits=_limits(read_object(document, "caps")),
            prices=_prices(read_object(document, "prices")),
            proxy_index=read_int(document, "me"),
            proxy_count=read_int(document, "balancers", 1),
            zone=read_int(document, "my_zone"),
            zones=max(1, len(read_array(document, "zones"))),
            watch_discovery=document.get("registry_mode") == "subscribe",
            group_affinity=bool(family.get("groups")),
            report_fields=tuple(str(field) for field in read_array(telemetry, "fields")),
            timer_resolution=read_int(document, "tick", 1000),
            reports_load=bool(family.get("tells_load", True)),
            reports_latency=bool(family.get("tells_delay", True)),
        )
    except (UsageError, ValueError, TypeError) as error:
        raise DecodeError(f"settings: {error}") from None


def _request_classes(document: dict[str, Any], family: dict[str, Any]) -> tuple[RequestClass, ...]:
    message_objectives = read_array(family, "message_aim")
    classes = []
    for position, lane in enumerate(read_array(document, "lanes")):
        if not isinstance(lane, dict):
            raise DecodeError("settings: lanes must hold objects")
        idempotency = IDEMPOTENCY.get(lane.get("effect", "retryable"))
        scope = lane.get("key_scope") or "all"
        if idempotency is None or scope not in ("all", "zone", "cell"):
            raise DecodeError(f"settings: lane {position} has an unknown effect or key_scope")
        classes.append(
            RequestClass(
                latency_objective=read_int(lane, "aim"),
                deadline=read_int(lane, "deadline"),
                priority_weight=read_number(lane, "worth", 1.0),
                idempotency=idempotency,
                deduplication_scope=DeduplicationScope(scope),
                deduplication_window=read_int(lane, "key_ttl"),
                message_latency_objective=int(number_at(message_objectives, position)),
            )
        )
    return tuple(classes)


def _tenants(document: dict[str, Any], family: dict[str, Any]) -> tuple[Tenant, ...]:
    connection_quotas = read_array(family, "tenant_quota_connections")
    tenants = []
    for position, tenant in enumerate(read_array(document, "tenants")):
        if not isinstance(tenant, dict):
            raise DecodeError("settings: tenants must hold objects")
        tenants.append(
            Tenant(
                connection_quota=number_at(connection_quotas, position),
                rate_quota=read_number(tenant, "quota_rps"),
            )
        )
    return tuple(tenants)


def _rules(fields: dict[str, Any]) -> Rules:
    default = Rules()
    return Rules(
        drain_grace=read_int(fields, "drain_grace"),
        max_poll_interval=read_int(fields, "ask_within", default.max_poll_interval),
        cold_capacity_fraction=read_number(fields, "cold_share", default.cold_capacity_fraction),
        warm_up_time=read_int(fields, "warm_up"),
        overload_multiple=read_number(fields, "fall_multiple", default.overload_multiple),
        overload_window=read_int(fields, "overload_for", default.overload_window),
    )


def _limits(fields: dict[str, Any]) -> Limits:
    return Limits(
        max_attempts=read_int(fields, "max_attempts", 1),
        connect_timeout=read_int(fields, "dial_timeout"),
        max_retry_after=read_int(fields, "max_retry_after"),
        retry_after_allowed=bool(fields.get("retry_after")),
        health_checks_allowed=bool(fields.get("probing")),
    )


def _prices(fields: dict[str, Any]) -> Prices:
    return Prices(cross_zone=read_number(fields, "cross_zone"), health_check=read_number(fields, "probe"))
