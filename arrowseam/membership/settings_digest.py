"""A digest of a proxy's settings, by which operators see which proxies are configured differently.

The digest is part of what a member reports, so proxies of this version and of earlier ones must compute the
same digest for the same settings. Earlier versions hashed the ``repr`` of their own settings types;
``_describe`` reproduces that text, with the names that the settings had there.
"""

from __future__ import annotations

import hashlib
from enum import Enum

from arrowseam.balancer.settings import Idempotency, Limits, Prices, RequestClass, Rules, Tenant
from arrowseam.config.decode import UnusedSettings
from arrowseam.config.proxy import Config

DIGEST_BYTES = 6
_FORMER_IDEMPOTENCY = {
    Idempotency.IDEMPOTENT: "<Effect.REPEATABLE: 'repeatable'>",
    Idempotency.KEYED: "<Effect.KEYED: 'keyed'>",
    Idempotency.NON_IDEMPOTENT: "<Effect.UNSAFE: 'unsafe'>",
}


class _Text(str):
    """Text whose ``repr`` is the text itself."""

    __slots__ = ()

    def __repr__(self) -> str:
        return str(self)


def settings_digest(config: Config) -> str:
    """Return the digest of the current settings in hexadecimal; the proxy's own index is left out."""
    return hashlib.blake2b(_describe(config).encode(), digest_size=DIGEST_BYTES).hexdigest()


def _describe(config: Config) -> str:
    settings, unused = config.settings, config.unused_settings
    shares = unused.tenant_shares or (0.0,) * len(settings.tenants)
    fields = {
        "classes": tuple(_request_class(each) for each in settings.classes),
        "tenants": tuple(_tenant(each, share) for each, share in zip(settings.tenants, shares)),
        "rules": _rules(settings.rules, unused),
        "limits": _limits(settings.limits, unused),
        "prices": _prices(settings.prices, unused),
        "relays": settings.proxy_count,
        "zone": settings.zone,
        "zones": settings.zones,
        "subscribe": settings.watch_discovery,
        "live_weights": unused.live_weights,
        "groups": settings.group_affinity,
        "over_share_worth": unused.over_share_worth,
        "report_fields": settings.report_fields,
        "tick": settings.timer_resolution,
        "tells_load": settings.reports_load,
        "tells_delay": settings.reports_latency,
    }
    return repr(fields)


def _record(name: str, **fields: object) -> _Text:
    return _Text(f"{name}({', '.join(f'{key}={value!r}' for key, value in fields.items())})")


def _member(former_enum: str, member: Enum) -> _Text:
    return _Text(f"<{former_enum}.{member.name}: {member.value!r}>")


def _request_class(request_class: RequestClass) -> _Text:
    return _record(
        "RequestClass",
        aim=request_class.latency_objective,
        deadline=request_class.deadline,
        worth=request_class.priority_weight,
        effect=_Text(_FORMER_IDEMPOTENCY[request_class.idempotency]),
        key_scope=_member("KeyScope", request_class.deduplication_scope),
        key_ttl=request_class.deduplication_window,
        message_aim=request_class.message_latency_objective,
    )


def _tenant(tenant: Tenant, share: float) -> _Text:
    return _record("Tenant", share=share, connections=tenant.connection_quota, rate=tenant.rate_quota)


def _rules(rules: Rules, unused: UnusedSettings) -> _Text:
    return _record(
        "Rules",
        answer_grace=unused.answer_grace,
        drain_grace=rules.drain_grace,
        ask_within=rules.max_poll_interval,
        cold_share=rules.cold_capacity_fraction,
        warm_up=rules.warm_up_time,
        fall_multiple=rules.overload_multiple,
        overload_for=rules.overload_window,
    )


def _limits(limits: Limits, unused: UnusedSettings) -> _Text:
    return _record(
        "Limits",
        max_attempts=limits.max_attempts,
        connect_timeout=limits.connect_timeout,
        max_retry_after=limits.max_retry_after,
        may_cancel=unused.may_cancel,
        second_copies=unused.second_copies,
        retry_after=limits.retry_after_allowed,
        probing=limits.health_checks_allowed,
        peers=unused.peers,
    )


def _prices(prices: Prices, unused: UnusedSettings) -> _Text:
    return _record(
        "Prices",
        cross_zone=prices.cross_zone,
        moves=unused.moves_price,
        probe=prices.health_check,
        peer=unused.peer_price,
        waste=unused.waste_price,
        late_fail=unused.late_fail_price,
    )
