"""Encoding of an established connection that is handed over to another process of this proxy.

The result is one JSON object with the fields of three parts: the request as the driver knows it, the state of
the protocol's session, and what the forwarder has read but not yet written. This module maps the fields of
the first part to the names in the code.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from arrowseam.balancer.settings import RequestClass
from arrowseam.client_request import ConnectionSnapshot


def encode_connection(
    snapshot: ConnectionSnapshot, session_state: Mapping[str, Any], forwarder_state: Mapping[str, Any]
) -> dict[str, Any]:
    """Combine the three parts into one JSON object."""
    request_class = snapshot.request_class
    fields = {
        "name": snapshot.name,
        "class": snapshot.class_name,
        "rule": [request_class.latency_objective, request_class.deadline, request_class.priority_weight],
        "tenant": snapshot.tenant,
        "key": snapshot.flow_key,
        "group": snapshot.group,
        "load": snapshot.load,
        "server": snapshot.endpoint,
    }
    return {**fields, **session_state, **forwarder_state}


def decode_connection(state: Mapping[str, Any]) -> ConnectionSnapshot:
    """Decode the first part; raises KeyError, TypeError or ValueError if it is malformed."""
    latency_objective, deadline, priority_weight = state["rule"]
    return ConnectionSnapshot(
        name=str(state["name"]),
        class_name=str(state["class"]),
        request_class=RequestClass(
            latency_objective=latency_objective, deadline=deadline, priority_weight=priority_weight
        ),
        tenant=state["tenant"],
        flow_key=int(state["key"]),
        group=int(state["group"]),
        load=float(state["load"]),
        endpoint=str(state["server"]),
    )
