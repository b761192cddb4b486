"""The commands ``arrowseam drain``, ``undrain``, ``release`` and ``agree``, as clients of control.

This module must not make decisions: the proxies agree among themselves.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
from tabulate import tabulate

from arrowseam.cli.fleet import fetch_rows, print_error, send_command

EXIT_HALTED = 3  # of ``release status`` if the release is halted


def run_command(addresses: tuple[str, ...], words: str, body: bytes = b"") -> int:
    """Send a command to the first proxy that answers; return exit status 0 if it was agreed."""
    for address in addresses:
        try:
            answer = send_command(address, words, body)[0]
        except (OSError, ValueError) as error:
            print_error(address, error)
            continue
        status_word, _, text = answer.partition(" ")
        click.echo(f"{address}: {text or answer}", err=status_word != "ACK")
        return 0 if status_word == "ACK" else 1
    return 1


def _format_time(ms: int) -> str:
    return time.strftime("%H:%M:%S", time.localtime(ms / 1000))


def _format_status(rows: list[dict[str, Any]]) -> str:
    own = rows[0]
    parts = [
        f"{own['name']}: {own['role']}, leader {own.get('leader') or 'none'}, term {own.get('term')}, "
        f"epoch {own.get('epoch', own.get('reign'))}, entry {own.get('index')}; voters "
        f"{', '.join(own.get('voters') or []) or 'none known here'} of {', '.join(own.get('wanted') or [])}"
    ]
    if own.get("broken"):
        parts.append(f"broken: {own['broken']}")
    if own.get("waits_for"):
        parts.append(f"waiting: {own['waits_for']}")
    permits = [row for row in rows if "permit" in row]
    table = []
    for permit in permits:
        held = ", ".join(
            f"{owner} {count}" for owner, count in sorted(permit.get("holds", {}).items()) if count > 0
        )
        state = "empty: safe to stop" if permit["safe"] else held
        table.append(
            [
                permit["permit"],
                permit["what"],
                permit["name"],
                permit["release"] or "",
                _format_time(permit["at_ms"]),
                state,
            ]
        )
    if table:
        parts.append(tabulate(table, headers=["permit", "out", "name", "release", "since", "held by"]))
    waiting = [row["wants"] for row in rows if "wants" in row]
    if waiting:
        parts.append(f"drains that wait: {', '.join(waiting)}")
    for row in rows:
        if "members" not in row:
            continue
        states = list(row["members"].values())
        new = sum(s == "new" for s in states)
        bar = "#" * round(20 * new / len(states)) + "." * (20 - round(20 * new / len(states)))
        line = f"release {row['release']}: {row['kind']} {row['digest']} {row['state']}"
        line += ", rolling back" if row["backing"] else ""
        line += f", HALTED: {row['why'] or 'by hand'}" if row["halted"] else ""
        parts.append(f"{line}\n[{bar}] {new} of {len(states)}, {row['through']} of {len(row['waves'])} waves")
        if row["state"] in ("running", "backing", "halted"):
            table = [[position + 1, ", ".join(f"{name} {row['members'][name]}" for name in wave)]
                     for position, wave in enumerate(row["waves"])]  # fmt: skip
            parts.append(tabulate(table, headers=["wave", "members"]))
    return "\n".join(parts)


def status(addresses: tuple[str, ...], watch: bool, as_json: bool) -> int:
    """Print the permits and the progress of a release; return 0, 1 if no proxy answers, 3 if it is halted."""
    while True:
        exit_status = 1
        if watch:
            click.clear()
        for address in addresses:
            try:
                rows = fetch_rows(address, "agree")
            except (OSError, ValueError) as error:
                print_error(address, error)
                continue
            if as_json:
                for row in rows:
                    click.echo(json.dumps({"from": address} | row))
            else:
                click.echo(_format_status(rows))
            exit_status = EXIT_HALTED if any(row.get("halted") for row in rows) else 0
            break
        if not watch:
            return exit_status
        time.sleep(1.0)


def show_log(addresses: tuple[str, ...], as_json: bool) -> int:
    """Print the decisions; return the exit status: 0, or 1 if no proxy answers."""
    for address in addresses:
        try:
            rows = fetch_rows(address, "release log")
        except (OSError, ValueError) as error:
            print_error(address, error)
            continue
        if as_json:
            for row in rows:
                click.echo(json.dumps(row))
        else:
            table = [
                [
                    decision["index"],
                    _format_time(decision["at_ms"]),
                    decision["by"],
                    decision["what"],
                    decision["text"] or f"refused: {decision['refused']}",
                ]
                for decision in rows
            ]
            click.echo(tabulate(table, headers=["entry", "when", "who", "what", ""]))
        return 0
    return 1


def drain(addresses: tuple[str, ...], servers: tuple[str, ...], zone: str, wait: bool) -> int:
    """Request the drain of endpoints and optionally wait until they are empty; return the exit status."""
    names = list(servers)
    if zone:
        for address in addresses:
            try:
                endpoint_rows = fetch_rows(address, "members")
            except (OSError, ValueError) as error:
                print_error(address, error)
                continue
            names += [str(row["instanceId"]) for row in endpoint_rows if row["zone"] == zone]
            break
    if not names:
        raise click.UsageError("no server is given")
    exit_status = run_command(addresses, f"drain {' '.join(names)}")
    while wait and exit_status == 0:
        try:
            rows = next(iter(fetch_rows(address, "agree") for address in addresses))
        except (OSError, ValueError) as error:
            click.echo(f"arrowseam: {error}", err=True)
            return 1
        empty = {row["name"] for row in rows if row.get("safe") and row.get("what") == "server"}
        if empty >= set(names):
            click.echo(f"{', '.join(names)}: empty, safe to stop")
            return 0
        time.sleep(0.5)
    return exit_status


def plan(addresses: tuple[str, ...], kind: str, bundle: str | None, options: dict[str, Any]) -> int:
    """Plan a release; ``bundle`` is the file with its settings. Return the exit status."""
    words, body = f"release plan {kind}", b""
    if bundle is not None:
        try:
            body = Path(bundle).read_bytes()
        except OSError as error:
            raise click.ClickException(f"{bundle}: {error.strerror}") from None
        words += f" bytes={len(body)}"
    for key, value in options.items():
        if value is not None:
            words += f" {key}={value}"
    return run_command(addresses, words, body)
