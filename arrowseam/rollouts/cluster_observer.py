"""Reads the cluster state that rollouts observe from the membership view and the driver."""

from __future__ import annotations

from collections.abc import Collection

from arrowseam.balancer.events import EndpointState
from arrowseam.membership.records import ENDED_STATES, State
from arrowseam.membership.runtime import MembershipRuntime
from arrowseam.membership.view import ClusterView
from arrowseam.net.clock import SECOND
from arrowseam.request_handling.requests import RequestHandler
from arrowseam.rollouts.budgets import Resource
from arrowseam.rollouts.observed import ClusterState, ObservedEndpoint, ObservedProxy

HALT_PREFIX = "!release-"  # halts are gossiped in the membership view as cordons with this prefix
VIEW_MAX_AGE = 3 * SECOND  # older digests of membership views are not compared with ours


def observe_cluster(
    membership: MembershipRuntime, request_handler: RequestHandler, out_by_plan: Collection[str], now: int
) -> ClusterState:
    """What this proxy observes. The driver has the endpoints in ``out_by_plan`` cordoned because of a permit,
    not by an operator. ``now`` is in microseconds of the monotonic clock."""
    view = membership.view
    cordoned_by_operators = (set(request_handler.driver.cordoned) - set(out_by_plan)) | set(
        view.cordons.cordoned()
    )
    return ClusterState(
        _observe_proxies(view),
        _observe_endpoints(request_handler, cordoned_by_operators),
        membership.config.settings.proxy_count,
        _views_agree(view, now),
        _announced_halts(view),
    )


def _observe_proxies(view: ClusterView) -> dict[str, ObservedProxy]:
    proxies = {}
    for record in (view.me, *view.records.values()):
        info = view.info if record is view.me else view.members.infos.get(record.name, (None, 0))[0]
        available = record.is_active and not (info is not None and info.draining)
        resource = Resource(record.name, info.zone if info is not None else "")
        has_ended = record.state in ENDED_STATES
        proxies[record.name] = ObservedProxy(resource, record.started_at, available, has_ended)
    return proxies


def _observe_endpoints(request_handler: RequestHandler, cordoned: set[str]) -> dict[str, ObservedEndpoint]:
    driver, config = request_handler.driver, request_handler.config
    zones = {number: name for name, number in config.zones.items()}
    machine_types = {number: name for name, number in config.machine_types.items()}
    endpoints = {}
    for number, endpoint in driver.balancer.endpoints.by_id.items():
        name, entry = driver.endpoint_names[number], endpoint.entry
        machine_type = machine_types.get(entry.machine_type, "")
        resource = Resource(name, zones.get(entry.zone, ""), machine_type, entry.weight)
        ready = endpoint.state is EndpointState.READY and name not in cordoned
        endpoints[name] = ObservedEndpoint(resource, ready)
    return endpoints


def _views_agree(view: ClusterView, now: int) -> bool:
    """Whether all proxies with recent messages have our view. Digests that were sent before our own view last
    changed do not show that views differ."""
    since = max(now - VIEW_MAX_AGE, view.changed_at + SECOND)
    recent = [name for name, (_, at) in view.members.infos.items() if at > since and name in view.records]
    alive = [name for name in recent if view.records[name].state is State.ALIVE]
    return all(view.members.reported_digests.get(name, view.digest) == view.digest for name in alive)


def _announced_halts(view: ClusterView) -> dict[int, tuple[int, str]]:
    halts = {}
    for name, cordon in view.cordons.by_endpoint.items():
        number = name.removeprefix(HALT_PREFIX)
        if number != name and number.isdigit():
            halts[int(number)] = cordon.cordoned_at, cordon.cordoned_by
    return halts
