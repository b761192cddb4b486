"""The command line: the commands and their arguments.

The code of a command is imported only when it runs, so that a proxy uses no memory for the others.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING

import click

from arrowseam import __version__
from arrowseam.cli.lab_commands import lab_group
from arrowseam.cli.rollout_commands import agree_group, drain_command, release_group, undrain_command
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.hot_restart.offer import request_handover
from arrowseam.hot_restart.restart_socket import RestartSocket, shared_folder
from arrowseam.logs import configure_logs, log
from arrowseam.net.event_loop import EventLoop
from arrowseam.process_signals import (
    TERMINATION_SIGNALS,
    ignore_signals,
    is_termination_recorded,
    replay_signals,
)
from arrowseam.proxy.configuration import read_nats_settings, read_proxy_config
from arrowseam.proxy.server import Proxy

if TYPE_CHECKING:
    from arrowseam.config.operator import Operator
    from arrowseam.protocols.nats.config import NatsConfig

config_option = click.option(
    "--config", "path", envvar="EDGE_CONFIG", required=True, help="The configuration file, JSON."
)
nats_option = click.option(
    "--nats", "nats_path", help="Serve the NATS client protocol too, with the settings in this file."
)
operator_option = click.option(
    "--operator", "operator_path", help="The operator file: servers from files, NATS, format of the log."
)


def read_files(
    path: str, nats_path: str | None, operator_path: str | None
) -> tuple[Config, NatsConfig | None, Operator | None]:
    """Read the files; if one is invalid, print a line about it and exit with status 1."""
    try:
        config, operator = read_proxy_config(path, operator_path is not None), None
        if operator_path is not None:
            from arrowseam.workers.script import evaluate

            operator = evaluate(operator_path, config)
        return config, read_nats_settings(config, nats_path, operator), operator
    except (OSError, ConfigError) as error:
        print(f"arrowseam: {error}", file=sys.stderr)
        sys.exit(1)


@click.group()
def main() -> None:
    """arrowseam: a proxy that places long-lived connections."""


@main.command()
@config_option
@click.option(
    "--trace",
    is_flag=True,
    help="Log all attempts, rejections, ends of connections and answers of discovery.",
)
@nats_option
@operator_option
def serve(path: str, trace: bool, nats_path: str | None, operator_path: str | None) -> None:
    """Run one proxy until SIGTERM; on SIGHUP it reads its files again."""
    config, nats_config, operator = read_files(path, nats_path, operator_path)
    if operator is not None:
        configure_logs(operator.log.format, operator.log.level)
    if is_termination_recorded():
        log("process.not_started", "terminated by a signal before the start")
        return  # before a process that is serving hands over to this one
    loop = EventLoop(config.descriptor_limit)
    restart_socket = RestartSocket(shared_folder(), config.name, config.listen)
    try:
        proxy = Proxy(loop, config, nats_config, restart_socket, request_handover(restart_socket), operator)
    except OSError as error:
        print(f"arrowseam: cannot listen: {error}", file=sys.stderr)
        sys.exit(1)
    proxy.reloader.config_path = path
    proxy.request_handler.trace.enabled = proxy.discovery.trace = trace
    for number in TERMINATION_SIGNALS:
        loop.on_signal(number, proxy.drain)
    loop.on_signal(signal.SIGHUP, lambda: proxy.reload(path, nats_path, operator_path))
    name = config.name or os.getpid()
    log("process.started", f"arrowseam {__version__}: {name} listens on {config.listen}")
    replay_signals()
    loop.run()
    ignore_signals()


@main.command("check-config")
@config_option
@nats_option
@operator_option
def check_config(path: str, nats_path: str | None, operator_path: str | None) -> None:
    """Check the configuration files and print a summary."""
    config, nats_config, operator = read_files(path, nats_path, operator_path)
    if operator is not None:
        click.echo(f"{operator_path}: good; {len(operator.servers)} files of servers")
    if nats_config is not None and nats_path is not None:
        click.echo(f"{nats_path}: good; {len(nats_config.users)} users, {len(nats_config.names)} names")
    click.echo(
        f"{path}: good; {len(config.settings.classes)} classes, {len(config.zones)} zones, "
        f"{len(config.known_endpoints.get('instances', []))} servers known, listens on {config.listen}"
    )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"arrowseam {__version__}")


@main.group("config")
def config_group() -> None:
    """The operator file: the settings in effect, and the functions that it may call."""


@config_group.command("show")
@config_option
@nats_option
@operator_option
def config_show(path: str, nats_path: str | None, operator_path: str | None) -> None:
    """Print the settings in effect, as JSON."""
    from arrowseam.cli import operators

    operators.show(*read_files(path, nats_path, operator_path))


@config_group.command("schema")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON schema.")
def config_schema(as_json: bool) -> None:
    """Print the functions of the operator file and their fields."""
    from arrowseam.cli import operators

    operators.schema(as_json)


@main.group("servers")
def servers_group() -> None:
    """Files of servers."""


@servers_group.command("check")
@click.argument("file")
@click.option("--against", help="The list in use, to print what would change.")
@click.option("--max-removed", default=0.5, show_default=True, type=click.FloatRange(0, 1))
@click.option("--max-bytes", default=16 << 20, show_default=True, type=click.IntRange(1))
def servers_check(file: str, against: str | None, max_removed: float, max_bytes: int) -> None:
    """Print whether FILE would be accepted, and its changes. Exit status 1 if it would be refused."""
    from arrowseam.cli import operators

    sys.exit(operators.check(file, against, max_removed, max_bytes))


@main.command("fleet")
@click.option("--control", "addresses", envvar="EDGE_CONTROL", required=True, multiple=True,
              help="HOST:PORT of a proxy's control; several are compared.")  # fmt: skip
@click.option("--watch", is_flag=True, help="Repeat every second.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print the answer of control: one JSON object per line."
)
@click.option("--forget", metavar="MEMBER", help="Declare that a dead member will not return.")
def fleet_command(addresses: tuple[str, ...], watch: bool, as_json: bool, forget: str | None) -> None:
    """Print the members of the fleet as running proxies see them. Exit status 3 if their views differ."""
    from arrowseam.cli import fleet

    sys.exit(fleet.show(addresses, watch, as_json, forget))


@main.command("members")
@click.option("--control", "address", envvar="EDGE_CONTROL", required=True, help="HOST:PORT of control.")
@click.option("--sources", is_flag=True, help="Print the sources instead of the servers.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print the answer of control: one JSON object per line."
)
def members(address: str, sources: bool, as_json: bool) -> None:
    """Print the servers of a running proxy and the sources that list them."""
    from arrowseam.cli import operators

    sys.exit(operators.members(address, sources, as_json))


@main.command("capacity")
@click.option(
    "--target", required=True, metavar="FILE", help="The size of the fleet, TOML; deploy/ has an example."
)
@click.option(
    "--runs", "folder", metavar="DIR", help="Recorded runs; default: those of this source checkout."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object: rows and slopes.")
@click.option("--write", "page", metavar="PAGE", help="Write the table between the markers of PAGE.")
def capacity_command(target: str, folder: str | None, as_json: bool, page: str | None) -> None:
    """Print the cost of a fleet of a given size, from recorded runs. Exit status 2 if a file is invalid."""
    from arrowseam.cli import capacity

    if as_json and page is not None:
        raise click.UsageError("--json and --write cannot be combined")
    sys.exit(capacity.show(target, folder, as_json, page))


for _command in (lab_group, drain_command, undrain_command, release_group, agree_group):
    main.add_command(_command)
