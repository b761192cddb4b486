"""Decoding of what a proxy and the simulator are both told: settings, as nested JSON in PROTOCOL's names and
units.

It owns the checks of single fields and the making of ``api.Settings``. It must never read a file, or know
who asks.
"""

from __future__ import annotations

import json
import math
from typing import Any

from arrowseam import api

EFFECTS = {
    "retryable": api.Effect.REPEATABLE,
    "dedup": api.Effect.KEYED,
    "fragile": api.Effect.UNSAFE,
}


class DecodeError(Exception):
    """What arrived is not what its form allows; the message is one plain line."""


def number(found: dict[str, Any], key: str, default: float = 0.0) -> float:
    value = found.get(key, default)
    if value is None:
        return default
    try:
        if not isinstance(value, bool) and isinstance(value, (int, float)) and math.isfinite(value):
            return float(value)
    except OverflowError:  # a whole number longer than any float
        pass
    raise DecodeError(f"settings: {key} must be a finite number")


def whole(found: dict[str, Any], key: str, default: int = 0) -> int:
    return int(number(found, key, default))


def table(value: dict[str, Any], key: str) -> dict[str, Any]:
    found = value.get(key) or {}
    if not isinstance(found, dict):
        raise DecodeError(f"settings: {key} must be an object")
    return found


def rows(value: dict[str, Any], key: str) -> list[Any]:
    found = value.get(key) or []
    if not isinstance(found, list):
        raise DecodeError(f"settings: {key} must be an array")
    return found


def item(found: list[Any], n: int) -> float:
    return number({"n": found[n]}, "n") if n < len(found) else 0.0


def parse_settings(text: bytes) -> api.Settings:
    """The settings of one instance; keys that are not known are ignored."""
    try:
        doc = json.loads(text)
    except ValueError as error:
        raise DecodeError(f"settings: not JSON ({error})") from None
    if not isinstance(doc, dict):
        raise DecodeError("settings: not a JSON object")
    caps, rules, prices = table(doc, "caps"), table(doc, "invariants"), table(doc, "prices")
    family, telemetry = table(doc, "family_info"), table(doc, "telemetry")
    message_aim = rows(family, "message_aim")
    quotas = rows(family, "tenant_quota_connections")
    classes = []
    for n, lane in enumerate(rows(doc, "lanes")):
        if not isinstance(lane, dict):
            raise DecodeError("settings: lanes must hold objects")
        effect = EFFECTS.get(lane.get("effect", "retryable"))
        scope = lane.get("key_scope") or "all"
        if effect is None or scope not in ("all", "zone", "cell"):
            raise DecodeError(f"settings: lane {n} has an unknown effect or key_scope")
        classes.append(
            api.RequestClass(
                aim=whole(lane, "aim"),
                deadline=whole(lane, "deadline"),
                worth=number(lane, "worth", 1.0),
                effect=effect,
                key_scope=api.KeyScope(scope),
                key_ttl=whole(lane, "key_ttl"),
                message_aim=int(item(message_aim, n)),
            )
        )
    tenants = []
    for n, tenant in enumerate(rows(doc, "tenants")):
        if not isinstance(tenant, dict):
            raise DecodeError("settings: tenants must hold objects")
        tenants.append(
            api.Tenant(
                share=number(tenant, "share"),
                connections=item(quotas, n),
                rate=number(tenant, "quota_rps"),
            )
        )
    base = api.Rules()
    try:
        return api.Settings(
            classes=tuple(classes),
            tenants=tuple(tenants),
            rules=api.Rules(
                answer_grace=whole(rules, "grace_to_answer"),
                drain_grace=whole(rules, "drain_grace"),
                ask_within=whole(rules, "ask_within", base.ask_within),
                cold_share=number(rules, "cold_share", base.cold_share),
                warm_up=whole(rules, "warm_up"),
                fall_multiple=number(rules, "fall_multiple", base.fall_multiple),
                overload_for=whole(rules, "overload_for", base.overload_for),
            ),
            limits=api.Limits(
                max_attempts=whole(caps, "max_attempts", 1),
                connect_timeout=whole(caps, "dial_timeout"),
                max_retry_after=whole(caps, "max_retry_after"),
                may_cancel=bool(caps.get("may_cancel")),
                second_copies=bool(caps.get("second_copies")),
                retry_after=bool(caps.get("retry_after")),
                probing=bool(caps.get("probing")),
                peers=bool(caps.get("peers")),
            ),
            prices=api.Prices(
                **{
                    name: number(prices, name)
                    for name in ("cross_zone", "moves", "probe", "peer", "waste", "late_fail")
                }
            ),
            relay=whole(doc, "me"),
            relays=whole(doc, "balancers", 1),
            zone=whole(doc, "my_zone"),
            zones=max(1, len(rows(doc, "zones"))),
            subscribe=doc.get("registry_mode") == "subscribe",
            live_weights=doc.get("weights") == "live",
            groups=bool(family.get("groups")),
            over_share_worth=number(doc, "over_share_worth", 1.0),
            report_fields=tuple(str(field) for field in rows(telemetry, "fields")),
            tick=whole(doc, "tick", 1000),
            tells_load=bool(family.get("tells_load", True)),
            tells_delay=bool(family.get("tells_delay", True)),
        )
    except (api.UsageError, ValueError, TypeError) as error:
        raise DecodeError(f"settings: {error}") from None
