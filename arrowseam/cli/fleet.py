"""The command ``arrowseam fleet``: prints the members as proxies see them, and compares their views."""

from __future__ import annotations

import json
import socket
import time
from typing import Any, NamedTuple

import click
from tabulate import tabulate

from arrowseam.address import parse_address

ANSWER_TIMEOUT_SECONDS = 8.0  # a proxy answers within 5 s when no agreement is reached
WATCH_INTERVAL_SECONDS = 1.0
EXIT_NO_ANSWER, EXIT_VIEWS_DIFFER = 1, 3

MEMBER_HEADERS = (
    "",
    "member",
    "state",
    "since",
    "by",
    "address",
    "zone",
    "version",
    "settings",
    "conns",
    "refused",
    "told",
)
ZONE_HEADERS = ("zone", "size", "here", "dead", "over", "beat_s", "")


class ClusterView(NamedTuple):
    """The view that one proxy has of its cluster; the first member is the proxy itself."""

    members: list[dict[str, Any]]
    zones: list[dict[str, Any]]
    cordons: list[str]


def send_command(address: str, command: str, body: bytes = b"") -> list[str]:
    """Send a command to control; return the lines of the answer. Raises OSError or ValueError."""
    with socket.create_connection(parse_address(address), timeout=ANSWER_TIMEOUT_SECONDS) as sock:
        sock.sendall(command.encode() + b"\n" + body)
        lines = sock.makefile("r", encoding="utf-8").read().splitlines()
    if not lines:
        raise ValueError("no answer")
    return lines


def fetch_rows(address: str, command: str) -> list[dict[str, Any]]:
    """Send a command that is answered with JSON objects; return them. Raises OSError or ValueError."""
    lines = send_command(address, command)
    if lines[-1] != "--":
        raise ValueError(lines[0] if lines[0].startswith("NAK") else "incomplete answer")
    return [json.loads(line) for line in lines[:-1]]


def fetch_view(address: str) -> ClusterView:
    """Return the view that a proxy has of its cluster; raises OSError or ValueError."""
    rows = fetch_rows(address, "fleet")
    return ClusterView(
        members=[row for row in rows if "name" in row],
        zones=[row for row in rows if "zone" in row and "name" not in row],
        cordons=next((row["cordons"] for row in rows if "cordons" in row), []),
    )


def print_error(address: str, error: object) -> None:
    """Print one line on standard error."""
    click.echo(f"arrowseam: {address}: {error}", err=True)


def _format_duration(seconds: float) -> str:
    if seconds < 120:
        return f"{seconds:.0f} s"
    return f"{seconds / 60:.0f} min" if seconds < 7200 else f"{seconds / 3600:.0f} h"


def member_row(member: dict[str, Any], is_own: bool) -> list[Any]:
    """Return the cells of a member under ``MEMBER_HEADERS``; ``is_own``: it is the proxy that answers."""
    marker = "*" if is_own else ("" if member["agrees"] in (True, None) else "differs")
    state = member["state"] + (", draining" if member.get("draining") else "")
    since = _format_duration(member["since_s"]) if not is_own else ""
    keys = ("zone", "version", "settings", "connections", "refusals", "told")
    details = [member.get(key, "") for key in keys]
    return [marker, member["name"], state, since, member["by"], member["address"], *details]


def show(addresses: tuple[str, ...], watch: bool, as_json: bool, forget: str | None) -> int:
    """Print the views; return the exit status: 0, 1 if a proxy does not answer, 3 if views differ."""
    if forget is not None:
        return _forget(addresses, forget)
    while True:
        if watch:
            click.clear()
        status = _show_once(addresses, as_json)
        if not watch:
            return status
        time.sleep(WATCH_INTERVAL_SECONDS)


def _show_once(addresses: tuple[str, ...], as_json: bool) -> int:
    status, digests = 0, {}
    for address in addresses:
        try:
            view = fetch_view(address)
        except (OSError, ValueError) as error:
            print_error(address, error)
            status = EXIT_NO_ANSWER
            continue
        digests[address] = view.members[0]["digest"]
        if as_json:
            for row in [*view.members, *view.zones, {"cordons": view.cordons}]:
                click.echo(json.dumps({"from": address} | row))
        else:
            _print_view(address, view)
    if len(set(digests.values())) > 1:
        digest_list = ", ".join(f"{address} {digest}" for address, digest in digests.items())
        click.echo(f"views differ: {digest_list}", err=True)
        status = status or EXIT_VIEWS_DIFFER
    return status


def _print_view(address: str, view: ClusterView) -> None:
    click.echo(f"{view.members[0]['name']} ({address}):")
    rows = [member_row(member, is_own=position == 0) for position, member in enumerate(view.members)]
    click.echo(tabulate(rows, headers=MEMBER_HEADERS, disable_numparse=True))
    if view.zones:
        zone_rows = [
            [*(zone.get(key, "") for key in ZONE_HEADERS[:-1]), "silent" if zone["silent"] else ""]
            for zone in view.zones
        ]
        click.echo(tabulate(zone_rows, headers=ZONE_HEADERS, disable_numparse=True))
    click.echo(f"cordoned: {', '.join(view.cordons) or 'none'}\n")


def _forget(addresses: tuple[str, ...], member: str) -> int:
    """Declare at the first proxy that a member will not return; the other proxies learn it from that one."""
    address = addresses[0]
    try:
        answer = send_command(address, f"forget {member}")[0]
    except (OSError, ValueError) as error:
        answer = str(error)
    if answer == "ACK":
        return 0
    print_error(address, answer)
    return EXIT_NO_ANSWER
