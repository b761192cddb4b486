"""Makes rollouts.json: one of every kind of frame, record, command, state and table, with fixed contents.

It runs on the version before its names were changed (it imports ``arrowseam.agree``):

    cd OLD_TREE && python PATH/make_rollouts.py > PATH/rollouts.json
"""

import json
import random
import sys

from arrowseam.agree import agent, codec, replicated, storage
from arrowseam.agree.budgets import Budgets, Thing, group
from arrowseam.agree.codec import Add, Checkpoint, Entry, Epoch, HardState, Snapshot, Voter
from arrowseam.agree.controller import Report
from arrowseam.agree.gates import Counters
from arrowseam.agree.keeper import Agreement

E, A, B, C = Epoch(2, 77), Voter("a", 11), Voter("b", 22), Voter("c", 33)
THINGS = [Thing(f"s{n}", "ab"[n % 2], "xy"[n % 2], 1.5 + n) for n in range(4)]
WHOLE = group(THINGS)
BUDGETS = Budgets(2, 0.5, 1, 0.25, 3, 0.4, 1.5)
COMMON = {"by": "control of a", "at_ms": 1_700_000_000_123}
BUNDLE = b'{"settings":{"lanes":[]}}'
DIGEST = replicated.digest_of(BUNDLE)


def commands():
    r = replicated
    proxies = [Thing("a", "z1"), Thing("b", "z2"), Thing("c")]
    whole = group(proxies)
    rows = [
        ("limit", r.Limit(voter="a", budgets=BUDGETS)),
        ("limit none", r.Limit(voter="b", budgets=None)),
        ("limit again", r.Limit(voter="a", budgets=Budgets(proxies=3, servers=3, least_ready=0.0))),
        ("drain", r.Drain(server=THINGS[0])),
        ("drain second", r.Drain(server=THINGS[1])),
        ("drain third", r.Drain(server=THINGS[2])),
        ("grant server", r.Grant(what="server", subject=THINGS[0], life=0, seen=(THINGS[3],), whole=WHOLE)),
        ("grant server second", r.Grant(what="server", subject=THINGS[1], life=0, seen=(), whole=WHOLE)),
        ("safe", r.Safe(permit=7)),
        ("undrain", r.Undrain(server="s1")),
        ("undrain off", r.Undrain(server="s9", off=True)),
        ("plan settings", r.Plan(kind="settings", bundle=BUNDLE, waves=(("a",), ("b", "c")), soak_s=1.5,
                                 patience_s=9.0, alpha=0.02, gated=False)),
        ("advance early", r.Advance(release=12, waves=1)),
        ("start", r.Start(release=12)),
        ("grant proxy", r.Grant(what="proxy", subject=proxies[0], life=5, seen=(), whole=whole, release=12,
                                target=DIGEST)),
        ("return back", r.Return(permit=15, how="back", life=5)),
        ("advance", r.Advance(release=12, waves=1)),
        ("grant proxy second", r.Grant(what="proxy", subject=proxies[1], life=6, seen=(), whole=whole,
                                       release=12, target=DIGEST)),
        ("return failed", r.Return(permit=18, how="failed", life=6, text="no such key")),
        ("halt", r.Halt(release=12, why="b could not take it")),
        ("resume", r.Resume(release=12, stamp=99, stamp_by="c")),
        ("grant proxy third", r.Grant(what="proxy", subject=proxies[2], life=7, seen=(), whole=whole,
                                      release=12, target=DIGEST)),
        ("return unused", r.Return(permit=22, how="unused", life=7)),
        ("back", r.Back(release=12)),
        ("grant way back", r.Grant(what="proxy", subject=proxies[0], life=8, seen=(), whole=whole, release=12)),
        ("return written off", r.Return(permit=25, how="written off")),
        ("halt again", r.Halt(release=12, why="said by c")),
        ("cancel", r.Cancel(release=12)),
        ("plan restart", r.Plan(kind="restart", bundle=b"", waves=(("a", "b"), ("c",)))),
        ("plan foreign kind", r.Plan(kind="other", bundle=b"", waves=(("a",),))),
        ("start restart", r.Start(release=29)),
        ("grant restart", r.Grant(what="proxy", subject=proxies[0], life=8, seen=(), whole=whole, release=29)),
        ("back of a restart", r.Back(release=29)),
    ]  # fmt: skip
    import msgspec

    return [(name, msgspec.structs.replace(c, id=1000 + n, **COMMON)) for n, (name, c) in enumerate(rows)]


def messages(state):
    entries = [
        Entry(3, codec.NOOP),
        Entry(3, codec.VOTERS, codec.voters_data((A, B, C))),
        Entry(4, codec.COMMAND, replicated.encoder.encode(commands()[0][1])),
    ]
    base = Snapshot(9, 2, (A, B), state)
    report = Report(
        "a", 5, 40, DIGEST, True, [15, 18], [22], {18: "no such key"}, {"s0": 0, "s1": 3},
        {DIGEST: "", "ffff": "it does not fit"}, Counters(100, 3, 2, 1, 40, 90, 123.25), "0.1.0", True,
    )  # fmt: skip
    return entries, {
        "request vote": codec.RequestVote(E, 4, A, 40, 3, False),
        "request vote before": codec.RequestVote(E, 5, A, 40, 3, True),
        "request vote reply": codec.RequestVoteReply(E, 4, B, True, False),
        "append entries": codec.AppendEntries(E, 4, A, 9, 2, entries, 10),
        "append entries empty": codec.AppendEntries(E, 4, A, 12, 4, [], 12),
        "append entries reply": codec.AppendEntriesReply(E, 4, B, False, 7),
        "install snapshot": codec.InstallSnapshot(E, 4, A, base),
        "hello": codec.Hello(E, 0, C),
        "told": agent.Told(E, report, True),
        "told short": agent.Told(Epoch(), Report("b", 1, 0, "", False), False),
        "facts": agent.Facts(E, "a", "b", None, 10, entries),
        "facts with base": agent.Facts(E, "a", "b", base, 10, []),
        "ask": agent.Ask(E, "c", 1003, replicated.encoder.encode(commands()[3][1])),
        "answered": agent.Answered("a", 1003, "s0 waits for its turn", "", 40),
        "answered refused": agent.Answered("a", 1004, "", "s0 is to be drained already"),
    }


def main():
    held = replicated.ReplicatedState()
    steps, states = [], {}
    for name, command in commands():
        data = replicated.encoder.encode(command)
        held.apply(held.index + 1, data)
        steps.append({"name": name, "command": data.hex(), "state": held.save().hex()})
    state = held.save()
    entries, said = messages(state)
    hard = HardState(E, A, 4, B)
    records = {
        "hard state": hard,
        "hard state without vote": HardState(E, A, 5, None),
        "add": Add(10, entries),
        "checkpoint": Checkpoint(hard, Snapshot(9, 2, (A, B, C), state), entries),
    }
    kept = list(records.values())
    kept = [kept[3], kept[2], kept[1]]
    checkpoint = storage.fold(kept)
    one = agent.Agent("a", 5, 11, agent.Spec(voters=("a", "b", "c"), budgets=BUDGETS), random.Random(1), checkpoint)
    one.start(0, 0)
    shown = object.__new__(Agreement)
    shown.agent, shown.name, shown.broken = one, "a", ""
    shown.figures = {n: 5 for n in ("messages_in", "messages_out", "bytes_out", "junk", "unsent")}
    out = {
        "messages": {name: agent.encode("fleet-1", m).hex() for name, m in said.items()},
        "commands": steps,
        "records": {name: storage.frame(r).hex() for name, r in records.items()},
        "entries": [codec.encoder.encode(e).hex() for e in entries],
        "voters": codec.voters_data((A, B, C)).hex(),
        "file": (storage.HEADER + storage.frames(kept)).hex(),
        "file name": storage.place("/", "a").name,
        "loaded": codec.encoder.encode(checkpoint).hex(),
        "to worker": codec.encoder.encode(kept).hex(),
        "show": list(shown.show()),
        "show log": list(shown.show_log()),
        "counters": list(shown.counters()),
    }
    json.dump(out, sys.stdout, indent=1)
    print()


main()
