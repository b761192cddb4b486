"""The commands ``config``, ``servers`` and ``members``: print settings, checks of server files, endpoints."""

from __future__ import annotations

import json
import socket
import sys
from typing import Any

import click
import msgspec
from tabulate import tabulate

from arrowseam.address import Address, parse_address
from arrowseam.config import operator as settings
from arrowseam.config.proxy import Config
from arrowseam.endpoint_sources import validation
from arrowseam.endpoint_sources.file_reader import read
from arrowseam.endpoint_sources.records import EndpointRecord
from arrowseam.endpoint_sources.traffic import traffic_shares, traffic_shift
from arrowseam.protocols.nats.config import NatsConfig

ROWS_MAX = 20  # of a table; the number of the others is printed
ANSWER_TIMEOUT_SECONDS = 5.0
SHOWN_FIELDS = {"machine_type": "kind", "started_at_ms": "started_ms"}  # fields with other names in tables


def show(config: Config, nats_config: NatsConfig | None, operator: settings.Operator | None) -> None:
    """Print the settings in effect, as JSON."""
    document: dict[str, Any] = {
        "name": config.name,
        "listen": config.listen,
        "control": config.control,
        "discovery": config.discovery,
        "limits": {"sockets": config.descriptor_limit},
        "classes": {
            name: {
                "aim_us": rule.latency_objective,
                "deadline_us": rule.deadline,
                "worth": rule.priority_weight,
            }
            for name, rule in zip(config.classes, config.settings.classes)
        },
        "operator": None,
        "nats": None,
    }
    if operator is not None:
        document["operator"] = {
            "servers": [
                {key: getattr(source, key) for key in source.__struct_fields__} for source in operator.servers
            ],
            "log": {"format": operator.log.format, "level": operator.log.level},
            "state_dir": operator.state_dir,
        }
    if nats_config is not None:
        document["nats"] = {
            "listen": _format_address(nats_config.listen),
            "server_port": nats_config.server_port,
            "users": sorted(nats_config.users),
            "names": sorted(nats_config.names),
            "default": nats_config.default is not None,
            "max_payload": nats_config.max_payload,
            "health": nats_config.health and _format_address(nats_config.health),
            "agent": nats_config.agent and _format_address(nats_config.agent),
        }
    click.echo(json.dumps(document, indent=2))


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def schema(as_json: bool) -> None:
    """Print the functions of the operator file, as tables or as a JSON schema."""
    if as_json:
        _, parts = msgspec.json.schema_components(list(settings.FUNCTIONS.values()))
        click.echo(json.dumps(parts, indent=2))
        return
    for name, what, rows in settings.schema():
        click.echo(f"{name}(...): {what}\n")
        click.echo(tabulate(rows, headers=("field", "type", "default"), disable_numparse=True) + "\n")


def _load(file: str, max_bytes: int) -> validation.ValidList:
    data, _ = read(file, max_bytes)
    return validation.parse(data)


def check(file: str, against: str | None, max_removed: float, max_bytes: int) -> int:
    """Print whether a file would be accepted after another one; return the exit status."""
    try:
        current = _load(against, max_bytes) if against else validation.ValidList(None, {})
    except validation.ListRejectedError as error:
        click.echo(f"{against}: refused ({error.reason}): {error}", err=True)
        return 1
    status, allow = 0, ""
    try:
        new = _load(file, max_bytes)
        try:
            delta = validation.compare(new, current.records, current.generation, max_removed)
        except validation.ListRejectedError as error:
            click.echo(f"{file}: refused ({error.reason}): {error}", err=True)
            delta = validation.compare(new, current.records, current.generation, max_removed, allow=True)
            status, allow = 1, "; `allow SOURCE` at control lets it through once"
    except validation.ListRejectedError as error:
        click.echo(f"{file}: refused ({error.reason}): {error}", err=True)
        return 1
    if not against:
        click.echo(f"{file}: good; {len(new.records)} servers, generation {new.generation}")
        _print_shares(new.records)
        return status
    if not delta:
        click.echo(f"{file}: good; it changes nothing")
        return status
    shifted = traffic_shift(current.records, new.records)
    verdict = "would be refused" if status else "good"
    click.echo(
        f"{file}: {verdict}; {len(delta.added)} added, {len(delta.removed)} removed, "
        f"{len(delta.changed)} changed; {shifted:.1%} of the traffic shifts{allow}"
    )
    before, after = traffic_shares(current.records), traffic_shares(new.records)
    rows = []
    for name in [*delta.removed, *(r.name for r in delta.added), *(r.name for r in delta.changed)]:
        old, updated = current.records.get(name), new.records.get(name)
        change = "removed" if updated is None else "added" if old is None else _changes(old, updated)
        rows.append((name, change, f"{before.get(name, 0):.2%}", f"{after.get(name, 0):.2%}"))
    _print_table(rows, ("server", "change", "share before", "after"))
    return status


def _changes(old: EndpointRecord, updated: EndpointRecord) -> str:
    return ", ".join(
        f"{SHOWN_FIELDS.get(field, field)} {getattr(old, field)} -> {getattr(updated, field)}"
        for field in EndpointRecord._fields
        if getattr(old, field) != getattr(updated, field)
    )


def _print_shares(records: dict[str, EndpointRecord]) -> None:
    shares = traffic_shares(records)
    rows = [
        (r.name, r.address, r.zone, r.state, r.effective_weight, f"{shares.get(r.name, 0):.2%}")
        for r in records.values()
    ]
    _print_table(rows, ("server", "address", "zone", "state", "weight", "share"))


def _print_table(rows: list[Any], headers: tuple[str, ...], row_limit: int = ROWS_MAX) -> None:
    click.echo(tabulate(rows[:row_limit], headers=headers, disable_numparse=True))
    if len(rows) > row_limit:
        click.echo(f"and {len(rows) - row_limit} more")


def _fetch_rows(address: str, command: str) -> list[dict[str, Any]]:
    """Send a command that is answered with JSON objects; return them. Raises OSError or ValueError."""
    with socket.create_connection(parse_address(address), ANSWER_TIMEOUT_SECONDS) as sock:
        sock.sendall(command.encode() + b"\r\n")
        data = b""
        while chunk := sock.recv(1 << 16):
            data += chunk
    if not data.endswith(b"--\n"):
        answer = data.decode("ascii", "replace").strip() or "nothing"
        raise ValueError(f"control answered {answer}; does the proxy have an operator file?")
    return [json.loads(line) for line in data.splitlines()[:-1]]


def members(address: str, sources: bool, as_json: bool) -> int:
    """Print the endpoints or the sources of a running proxy; return the exit status."""
    try:
        rows = _fetch_rows(address, "sources" if sources else "members")
    except (OSError, ValueError) as error:
        print(f"arrowseam: {address}: {error}", file=sys.stderr)
        return 1
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return 0
    if sources:
        keys = (
            "source",
            "rank",
            "servers",
            "generation",
            "origin",
            "age_ms",
            "taken",
            "last_refused",
            "file",
        )
        table = [[row[key] for key in keys] for row in rows]
        _print_table(table, keys, row_limit=len(table))
        return 0
    table = [
        [
            row["instanceId"],
            row["hostPort"],
            row["zone"],
            row["state"],
            row["weight"],
            f"{row['since_ms'] / 1000:.0f} s",
            ", ".join(row["sources"]),
        ]
        for row in rows
    ]
    _print_table(
        table, ("server", "address", "zone", "state", "weight", "for", "sources"), row_limit=len(table)
    )
    return 0
