"""Writes membership.json: the bytes of membership messages, written by version 0.1.0 before its names were changed.

Runs only on that version (its package is called arrowseam.fleet), from its root:

    python make_membership.py > membership.json
"""

import json
import random

from arrowseam.fleet import codec
from arrowseam.fleet.cordons import Cordon, Cordons
from arrowseam.fleet.records import Info, Record, State
from arrowseam.fleet.view import Send, Spec, Stream, View

ZONES = (("a", 3), ("b", 2))
INFO = Info("0.1.0", "0123456789ab", "berlin", True, 70_000, 12, 5)
KINDS = {"PING": 1, "ACK": 2, "ASK": 3, "NACK": 4, "PUSH": 5, "BRIDGE": 6, "BRIDGED": 7}


def record(name="m1", life=1_700_000_000_000_000, nonce=(1 << 62) - 1, turn=3, state=State.ALIVE, by="", zone=""):
    return Record(name, life, nonce, turn, state, "10.0.0.1", 7000, by, zone)


def parts(zone):
    """One datagram of every kind and one state sync of every part, for a cluster with or without zones."""
    news = [record(f"n{state.value}", state=state, by="m2", zone=zone) for state in State]
    cordons = [Cordon("s1", 5 << 16, "m1"), Cordon("s2", 7, "m1", 7, "m1", "m2"), Cordon("!release", 9, "m3")]
    summaries = [codec.Summary("b", 9, "m4", 2, 1, 1)] if zone else []
    beats = b"\x01\x02\x03\x04" + b"\x00\x00\x00\x09" * 2 if zone else b""
    contacts = [record("c1", zone="b"), record("c2", zone="b")] if zone else []
    found = {}
    for name, kind in KINDS.items():
        message = codec.Datagram(
            1, "fleet", kind, 77, record(zone=zone), (1 << 64) - 2, record("about", zone=zone), news, cordons,
            kind != 2, INFO, beats, b"f" if kind == 1 else b"s\x05", summaries, contacts,
        )
        found[f"datagram {name}"] = codec.encode(message).hex()
        found[f"stream of datagram {name}"] = codec.encode_stream(message).hex()
    bare = codec.Datagram(1, "fleet", 1, 0, record(zone=zone), 0)
    found["datagram bare"] = codec.encode(bare).hex()
    for name, part in {"ASKED": 0, "ANSWERED": 1, "PUSHED": 2, "ELSEWHERE": 3}.items():
        state = codec.StateSync(
            1, "fleet", record(zone=zone), news, cordons, INFO, [(1 << 64) - n - 1 for n in range(64)],
            (1 << 63) + 5, part, beats, summaries, contacts,
        )
        found[f"state sync {name}"] = codec.encode_stream(state).hex()
    old = codec.StateSync(1, "fleet", record(zone=zone), news, cordons)
    found["state sync of an older version"] = codec.encode_stream(old).hex()
    return found


def spoken(zone):
    """What a view sends with a fixed seed: its first datagrams and streams after a start."""
    spec = Spec(zone=zone, zones=ZONES if zone else (), configured=3, seeds=(("10.0.0.9", 7000),))
    view = View(record("me", zone=zone), spec, random.Random(5), INFO)
    sent = view.start(0)
    state = codec.StateSync(
        1, "fleet", record("m2", zone=zone), [record("m3", zone=zone)], [Cordon("s1", 5, "m2")], INFO,
        [1] * 64, 9, codec.ANSWERED, b"", [], [record("c1", zone="b")] if zone else [],
    )
    token = next(effect.token for effect in sent if isinstance(effect, Stream))
    sent += view.ended(1_000, token, "ok", codec.encode_stream(state)[4:])
    sent += view.cordon(2_000, 1_700_000_000_000, "s2", True)
    ping = codec.Datagram(1, "fleet", codec.PING, 7, record("m2", zone=zone), 5)
    sent += view.datagram(3_000, codec.encode(ping))
    ask = codec.Datagram(1, "fleet", codec.ASK, 8, record("m2", zone=zone), 5, record("m3", zone=zone))
    sent += view.datagram(4_000, codec.encode(ask))
    if zone:
        bridge = codec.Datagram(1, "fleet", codec.BRIDGE, 9, record("c1", zone="b"), 5)
        sent += view.datagram(5_000, codec.encode(bridge))
    effects, answer = view.asked(6_000, codec.encode_stream(ping)[4:])
    sent += effects
    question = codec.StateSync(1, "fleet", record("m2", zone=zone), [], [], INFO, [2] * 64, 9, codec.ASKED)
    effects, other = view.asked(7_000, codec.encode_stream(question)[4:])
    sent += effects
    for at in range(10_000, 2_000_000, 10_000):
        sent += view.wake(at)
    sent += view.leave(2_000_000)
    frames = [effect.data.hex() for effect in sent if isinstance(effect, Send | Stream)]
    return [*frames, answer.hex(), other.hex()]


def cordons():
    """Timestamps of the hybrid logical clock and the digest, from a fixed series of cordons."""
    held = Cordons()
    held.say("s1", True, "m1", 1_700_000_000_000)
    held.say("s1", False, "m2", 1_700_000_000_000)
    held.say("s2", True, "m1", 1_600_000_000_000)
    return {"records": [codec._encoder.encode(c).hex() for c in held.held.values()], "digest": held.digest}


print(json.dumps({
    "parts": {zone or "flat": parts(zone) for zone in ("", "a")},
    "spoken": {zone or "flat": spoken(zone) for zone in ("", "a")},
    "summary": codec._encoder.encode(codec.Summary("b", 9, "m4", 2, 1, 1)).hex(),
    "cordons": cordons(),
}, indent=1))
