"""How attempts, connections and requests to other proxies ended."""

from __future__ import annotations

from enum import StrEnum


class AttemptOutcome(StrEnum):
    """How an attempt ended, or how the connection that it established did.

    REJECTED, UNREACHABLE and NOT_SENT prove that the request never ran at the endpoint. The values appear
    in log lines.
    """

    ESTABLISHED = "established"  # the endpoint accepted the client: the attempt is now an open connection
    COMPLETED = "completed"  # the endpoint has served the request completely
    REJECTED = "rejected"  # the endpoint was full or draining
    ERROR = "error"  # the endpoint answered with an error or violated the protocol
    RESET = "reset"  # the connection broke after the request was sent
    UNREACHABLE = "unreachable"  # no connection, or the request was not completely sent
    TIMEOUT = "timeout"
    MIGRATED = "migrated"  # the client was asked to connect again, or the attempt was abandoned after sending
    NOT_SENT = "not_sent"  # abandoned before anything was sent
    CANCELLED = "cancelled"  # abandoned by the proxy; the caller knows whether the request had been sent
    CLIENT_DISCONNECTED = "client_disconnected"


class StreamOutcome(StrEnum):
    """How a request to another proxy over a stream ended."""

    ANSWERED = "ok"  # one frame was received
    REFUSED = "refused"  # by the host: no process listens at the address
    TIMED_OUT = "silent"  # or failed in another way, which says nothing about the peer
