"""Compatibility with the previous version: its encoded bytes and tables, made by
``data/wire/make_rollouts.py``, are decoded and encoded again to identical bytes."""

from __future__ import annotations

import json
import random
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.consensus import storage
from arrowseam.consensus.messages import (
    Checkpoint,
    Entry,
    EntryKind,
    StoredRecord,
    Voter,
    decode_voters,
    encode_voters,
    encoder,
)
from arrowseam.rollouts.agent import Agent, AgentSettings
from arrowseam.rollouts.commands import decode_command
from arrowseam.rollouts.messages import decode_message, encode_message
from arrowseam.rollouts.replicated_state import ReplicatedState
from arrowseam.rollouts.runtime import RolloutRuntime

PREVIOUS: dict[str, Any] = json.loads((Path(__file__).parent / "data/wire/rollouts.json").read_text())
VOTERS = (Voter("a", 11), Voter("b", 22), Voter("c", 33))
BUDGETS = DisruptionBudgets(2, 0.5, 1, 0.25, 3, 0.4, 1.5)


def encoded(value: Any) -> bytes:
    return encoder.encode(value)


@pytest.mark.parametrize("kind", PREVIOUS["messages"])
def test_a_message_is_decoded_and_encoded_unchanged(kind: str) -> None:
    data = bytes.fromhex(PREVIOUS["messages"][kind])
    message = decode_message(data, "fleet-1")
    assert encode_message("fleet-1", message) == data


def test_every_message_type_is_covered() -> None:
    types = {type(decode_message(bytes.fromhex(data), "fleet-1")) for data in PREVIOUS["messages"].values()}
    assert len(types) == 10


def test_entries_and_voters_are_decoded_and_encoded_unchanged() -> None:
    for data in map(bytes.fromhex, PREVIOUS["entries"]):
        assert encoded(msgspec.msgpack.decode(data, type=Entry)) == data
    entries = [msgspec.msgpack.decode(bytes.fromhex(data), type=Entry) for data in PREVIOUS["entries"]]
    assert [entry.kind for entry in entries] == [
        EntryKind.NOOP,
        EntryKind.VOTERS,
        EntryKind.COMMAND,
    ]
    assert decode_voters(entries[1]) == VOTERS
    assert encode_voters(VOTERS).hex() == PREVIOUS["voters"]


@pytest.mark.parametrize("kind", PREVIOUS["records"])
def test_a_stored_record_is_decoded_and_encoded_unchanged(kind: str) -> None:
    data = bytes.fromhex(PREVIOUS["records"][kind])
    records, end = storage.decode_file(storage.HEADER + data)
    assert end == len(storage.HEADER) + len(data)
    assert storage.encode_records(records) == data


def test_a_state_file_of_the_previous_version_is_loaded_unchanged(tmp_path: Path) -> None:
    """After a proxy is upgraded to this version, the state that its voter had stored is still valid."""
    path = storage.state_file_path(str(tmp_path), "a")
    assert path.name == PREVIOUS["file name"]
    path.write_bytes(bytes.fromhex(PREVIOUS["file"]))
    store = storage.StateFile(path)
    loaded = store.load()
    store.close()
    assert encoded(loaded).hex() == PREVIOUS["loaded"]
    assert path.read_bytes().hex() == PREVIOUS["file"]
    records = storage.decode_file(path.read_bytes())[0]
    assert (storage.HEADER + storage.encode_records(records)).hex() == PREVIOUS["file"]


def test_the_records_sent_to_the_storage_worker_are_unchanged() -> None:
    data = bytes.fromhex(PREVIOUS["to worker"])
    assert encoded(msgspec.msgpack.decode(data, type=list[StoredRecord])) == data


def test_commands_are_decoded_unchanged_and_lead_to_the_same_state_step_by_step() -> None:
    """While some proxies still run the previous version, each command must have the same outcome and lead to
    the same state on all of them."""
    replicated = ReplicatedState()
    for step in PREVIOUS["commands"]:
        data = bytes.fromhex(step["command"])
        command = decode_command(data)
        assert command is not None, step["name"]
        assert encoded(command) == data, step["name"]
        replicated.apply(replicated.index + 1, data)
        assert replicated.save().hex() == step["state"], step["name"]
        reloaded = ReplicatedState()
        reloaded.load(replicated.index, replicated.save())
        assert reloaded.save() == replicated.save(), step["name"]
    assert len({type(decode_command(bytes.fromhex(step["command"]))) for step in PREVIOUS["commands"]}) == 13


def test_the_rows_shown_to_operators_are_unchanged() -> None:
    loaded = msgspec.msgpack.decode(bytes.fromhex(PREVIOUS["loaded"]), type=Checkpoint)
    settings = AgentSettings(voters=("a", "b", "c"), budgets=BUDGETS)
    agent = Agent("a", 5, 11, settings, random.Random(1), loaded)
    agent.start(0, 0)
    runtime = object.__new__(RolloutRuntime)
    runtime.agent, runtime.name, runtime.storage_error = agent, "a", ""
    runtime.transport_counters = Counter(
        dict.fromkeys(("messages_in", "messages_out", "bytes_out", "junk", "unsent"), 5)
    )
    assert json.loads(json.dumps(list(runtime.status_rows()))) == PREVIOUS["show"]
    assert json.loads(json.dumps(list(runtime.decision_rows()))) == PREVIOUS["show log"]
    assert list(runtime.counter_lines()) == PREVIOUS["counters"]
