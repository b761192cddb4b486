"""The effects that a view returns for its process to carry out, and the events that it logs."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

import msgspec

from arrowseam.membership.records import Address


class MembershipEvent(StrEnum):
    """Names of log events; ``arrowseam.logs.EVENTS`` lists them too."""

    STARTED = "membership.started"
    BIND_FAILED = "membership.bind_failed"
    CORDON = "membership.cordon"
    PROXY_SHARE = "membership.proxy_share"
    ALIVE = "member.alive"
    SUSPECT = "member.suspect"
    DEAD = "member.dead"
    GONE = "member.gone"
    LEFT = "member.left"
    REFUTED = "member.refuted"
    NAME_CONFLICT = "member.name_conflict"
    ZONE_TABLE_MISMATCH = "zone.table_mismatch"
    ZONE_SILENT = "zone.silent"
    ZONE_BACK = "zone.back"


class SendDatagram(msgspec.Struct, frozen=True):
    """Send one datagram."""

    address: Address
    data: bytes


class OpenStream(msgspec.Struct, frozen=True):
    """Connect, send one frame and read one; the outcome goes to ``ClusterView.on_stream_closed``."""

    token: int
    address: Address
    data: bytes


class LogEvent(msgspec.Struct, frozen=True):
    """Write a log record."""

    event: MembershipEvent
    text: str
    member: str
    level: str = "info"


class CordonChanged(msgspec.Struct, frozen=True):
    """Another member cordoned or uncordoned an endpoint."""

    endpoint: str
    cordoned: bool


Effect: TypeAlias = SendDatagram | OpenStream | LogEvent | CordonChanged
