"""Messages and cordons are encoded, and a view sends the same messages, as in version 0.1.0.

The data were written by ``tests/data/wire/make_membership.py`` on version 0.1.0 before the renaming.
"""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from arrowseam.membership import codec
from arrowseam.membership.cordons import Cordon, CordonSet
from arrowseam.membership.effects import OpenStream, SendDatagram
from arrowseam.membership.records import MemberInfo, MemberRecord, State
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView
from arrowseam.outcomes import StreamOutcome

DATA = Path(__file__).parent / "data/wire"
RECORDED = json.loads((DATA / "membership.json").read_text())
FRAMES_BEFORE_TIMERS = 9  # frames sent in response to the events of the first 10 ms, before any timer
ZONES = (("a", 3), ("b", 2))
INFO = MemberInfo("0.1.0", "0123456789ab", "berlin", True, 70_000, 12, 5)
PARTS = [(zone, kind) for zone in ("flat", "a") for kind in RECORDED["parts"][zone]]


def record(name: str = "m1", zone: str = "") -> MemberRecord:
    return MemberRecord(
        name, 1_700_000_000_000_000, (1 << 62) - 1, 3, State.ALIVE, "10.0.0.1", 7000, "", zone
    )


def test_the_data_contain_every_kind_of_message() -> None:
    kinds = {"PING", "ACK", "ASK", "NACK", "PUSH", "BRIDGE", "BRIDGED"}
    parts = {"ASKED", "ANSWERED", "PUSHED", "ELSEWHERE"}
    for zone in ("flat", "a"):
        recorded = RECORDED["parts"][zone].keys()
        assert {f"datagram {kind}" for kind in kinds} < recorded
        assert {f"stream of datagram {kind}" for kind in kinds} < recorded
        assert {f"state sync {part}" for part in parts} < recorded


@pytest.mark.parametrize(("zone", "kind"), PARTS)
def test_a_decoded_message_is_encoded_to_the_same_bytes(zone: str, kind: str) -> None:
    data = bytes.fromhex(RECORDED["parts"][zone][kind])
    if kind.startswith("datagram"):
        assert codec.encode_datagram(codec.decode_datagram(data, "fleet")) == data
    else:
        message = codec.decode_frame(data[codec.LENGTH_SIZE :], "fleet")
        assert codec.encode_frame(message) == data


def test_a_decoded_summary_is_encoded_to_the_same_bytes() -> None:
    data = bytes.fromhex(RECORDED["summary"])
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=codec.ZoneSummary)) == data


def test_cordons_have_the_same_timestamps_digest_and_bytes() -> None:
    cordons = CordonSet()
    cordons.set_locally("s1", True, "m1", 1_700_000_000_000)
    cordons.set_locally("s1", False, "m2", 1_700_000_000_000)
    cordons.set_locally("s2", True, "m1", 1_600_000_000_000)
    assert [msgspec.msgpack.encode(c).hex() for c in cordons.by_endpoint.values()] == RECORDED["cordons"][
        "records"
    ]
    assert cordons.digest == RECORDED["cordons"]["digest"]
    for data in map(bytes.fromhex, RECORDED["cordons"]["records"]):
        assert msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=Cordon)) == data


def sent_frames(zone: str) -> list[str]:
    """Return what a view with a fixed seed sends when it starts, receives each kind of message and leaves."""
    zone_settings: dict[str, Any] = {"zones": ZONES} if zone else {}
    settings = MembershipSettings(
        zone=zone, configured_members=3, seeds=(("10.0.0.9", 7000),), **zone_settings
    )
    view = ClusterView(record("me", zone), settings, random.Random(5), INFO)
    sent = view.start(0)
    contacts = [record("c1", "b")] if zone else []
    state = codec.StateSync(
        1, "fleet", record("m2", zone), [record("m3", zone)], [Cordon("s1", 5, "m2")], INFO, [1] * 64, 9,
        codec.SyncPart.RESPONSE, b"", [], contacts,
    )  # fmt: skip
    token = next(effect.token for effect in sent if isinstance(effect, OpenStream))
    sent += view.on_stream_closed(1_000, token, StreamOutcome.ANSWERED, codec.encode_frame(state)[4:])
    sent += view.set_cordon(2_000, 1_700_000_000_000, "s2", True)
    ping = codec.Datagram(1, "fleet", codec.MessageKind.PING, 7, record("m2", zone), 5)
    sent += view.on_datagram(3_000, codec.encode_datagram(ping))
    ping_request = codec.Datagram(
        1, "fleet", codec.MessageKind.PING_REQUEST, 8, record("m2", zone), 5, record("m3", zone)
    )
    sent += view.on_datagram(4_000, codec.encode_datagram(ping_request))
    if zone:
        bridge = codec.Datagram(1, "fleet", codec.MessageKind.BRIDGE, 9, record("c1", "b"), 5)
        sent += view.on_datagram(5_000, codec.encode_datagram(bridge))
    effects, answer = view.on_stream_request(6_000, codec.encode_frame(ping)[4:])
    sent += effects
    sync_request = codec.StateSync(
        1, "fleet", record("m2", zone), [], [], INFO, [2] * 64, 9, codec.SyncPart.REQUEST
    )
    effects, sync_response = view.on_stream_request(7_000, codec.encode_frame(sync_request)[4:])
    sent += effects
    for at in range(10_000, 2_000_000, 10_000):
        sent += view.on_timer(at)
    sent += view.leave(2_000_000)
    assert answer is not None
    assert sync_response is not None
    frames = [effect.data.hex() for effect in sent if isinstance(effect, SendDatagram | OpenStream)]
    return [*frames, answer.hex(), sync_response.hex()]


def without_ages(frame: str) -> str:
    """Return the frame as version 0.1.0 would have sent it, without heartbeat ages."""
    data = bytes.fromhex(frame)
    if data.startswith(codec.MAGIC):
        datagram = codec.decode_datagram(data, "fleet")
        return codec.encode_datagram(msgspec.structs.replace(datagram, heartbeat_ages=b"")).hex()
    message = codec.decode_frame(data[codec.LENGTH_SIZE :], "fleet")
    return codec.encode_frame(msgspec.structs.replace(message, heartbeat_ages=b"")).hex()


def test_a_view_sends_the_same_bytes_for_the_same_seed() -> None:
    assert sent_frames("") == RECORDED["spoken"]["flat"]


def test_until_its_first_timer_a_view_with_zones_adds_only_heartbeat_ages() -> None:
    """After that its messages to other zones are sent at other times than in version 0.1.0."""
    frames = [without_ages(frame) for frame in sent_frames("a")]
    assert frames[:FRAMES_BEFORE_TIMERS] == RECORDED["spoken"]["a"][:FRAMES_BEFORE_TIMERS]
    assert frames[-2:] == RECORDED["spoken"]["a"][-2:]


def test_a_view_with_zones_sends_the_recorded_bytes() -> None:
    """Every frame of two seconds, in order, as written by ``make_membership_zones.py``."""
    assert sent_frames("a") == json.loads((DATA / "membership_zones.json").read_text())
