"""What control shows of rollouts: rows, which become JSON objects, and counters in the statsd format.

Their keys and names are an interface for operators' tools and stay when names in the code change.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from arrowseam.rollouts.agent import Agent
from arrowseam.rollouts.budgets import ResourceKind
from arrowseam.rollouts.state import Permit, Release, ReleaseState
from arrowseam.rollouts.status_board import STATUS_MAX_AGE

TRANSPORT_COUNTERS = ("messages_in", "messages_out", "bytes_out", "junk", "unsent")

Row = dict[str, Any]


def rollout_rows(agent: Agent, storage_error: str, now: int) -> Iterator[Row]:
    """This proxy, budgets, waiting drains, permits and releases; ``now`` is from the monotonic clock."""
    replicated = agent.replicated
    yield _agent_row(agent, storage_error)
    for voter, budgets in sorted(replicated.state.budgets.items()):
        yield {"budgets": voter} | {f: getattr(budgets, f) for f in budgets.__struct_fields__}
    for endpoint in replicated.state.drain_requests:
        yield {"wants": endpoint}
    for permit in replicated.state.permits.values():
        yield _permit_row(agent, permit, now)
    for release in replicated.state.releases.values():
        yield release_row(release, agent.holder.is_halted(release) and not release.is_over)


def _agent_row(agent: Agent, storage_error: str) -> Row:
    node, controller = agent.node, agent.controller
    return {
        "name": agent.name,
        "role": node.role.value if node is not None else "follows",
        "leader": agent.leader_name,
        "term": node.term if node is not None else 0,
        "epoch": agent.epoch.number,
        "reign": agent.epoch.number,  # the name of ``epoch`` until 0.1
        "index": agent.replicated.index,
        "voters": [v.name for v in node.voters] if node is not None else [],
        "wanted": list(agent.settings.voters),
        "digest": agent.holder.digest,
        "waits_for": controller.reason if controller is not None else "",
        "broken": storage_error,
    }


def _permit_row(agent: Agent, permit: Permit, now: int) -> Row:
    name = permit.resource.name
    row: Row = {
        "permit": permit.id,
        "what": permit.kind,
        "name": name,
        "release": permit.release_id,
        "at_ms": permit.at_ms,
        "safe": permit.drained,
    }
    if permit.kind == ResourceKind.ENDPOINT and agent.is_leader:
        row["holds"] = {
            proxy: status.connections.get(name, -1)
            for proxy, (at, status) in agent.status_board.reports.items()
            if status.connections.get(name, -1) and now - at < STATUS_MAX_AGE
        }
    return row


def release_row(release: Release, halt_announced: bool) -> Row:
    """The row of one release."""
    return {
        "release": release.id,
        "kind": release.plan.kind,
        "digest": release.digest,
        "state": release.state,
        "halted": halt_announced or release.state == ReleaseState.HALTED,
        "why": release.reason,
        "waves": [list(wave) for wave in release.plan.waves],
        "through": release.waves_done,
        "backing": release.rolling_back,
        "members": {name: member.state for name, member in release.members.items()},
    }


def counter_lines(agent: Agent, transport_counters: Mapping[str, int]) -> Iterator[str]:
    """Gauges and counters in the statsd format."""
    node, replicated = agent.node, agent.replicated
    yield f"edge.agree.index:{replicated.index}|g"
    yield f"edge.agree.term:{node.term if node is not None else 0}|g"
    yield f"edge.agree.leads:{int(agent.is_leader)}|g"
    yield f"edge.agree.out_proxies:{len(replicated.out_by_plan(ResourceKind.PROXY))}|g"
    yield f"edge.agree.out_servers:{len(replicated.out_by_plan(ResourceKind.ENDPOINT))}|g"
    for name in TRANSPORT_COUNTERS:
        yield f"edge.agree.{name}:{transport_counters[name]}|c"


def unstarted_row(name: str, storage_error: str) -> Row:
    """The row of a proxy whose agent has not started."""
    return {"name": name, "role": "not begun", "broken": storage_error}
