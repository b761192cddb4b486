"""The command line: the commands and their arguments.

What a command does is imported only when it runs, so that a proxy takes no memory for the others.
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
    "--config", "path", envvar="EDGE_CONFIG", required=True, help="The configuration, JSON."
)
nats_option = click.option(
    "--nats", "nats_path", help="Serve the NATS client protocol too, as this file says."
)
operator_option = click.option(
    "--operator", "operator_path", help="The operator file: servers from files, NATS, the log's form."
)


def read_files(
    path: str, nats_path: str | None, operator_path: str | None
) -> tuple[Config, NatsConfig | None, Operator | None]:
    """Configuration, NATS settings and operator file; if one is bad, one plain line and exit status 1."""
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
@click.option("--trace", is_flag=True, help="Log every call, every end and every answer of discovery.")
@nats_option
@operator_option
def serve(path: str, trace: bool, nats_path: str | None, operator_path: str | None) -> None:
    """Run one proxy until SIGTERM; SIGHUP has it read its files again."""
    config, nats_config, operator = read_files(path, nats_path, operator_path)
    if operator is not None:
        configure_logs(operator.log.format, operator.log.level)
    if is_termination_recorded():
        log("process.not_started", "told to end before the start")
        return  # before a process that serves hands over to this one
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
    """Read the configuration and say what it holds."""
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
    """The operator file: what it sets up, and what it may say."""


@config_group.command("show")
@config_option
@nats_option
@operator_option
def config_show(path: str, nats_path: str | None, operator_path: str | None) -> None:
    """Print the settings in effect, as JSON."""
    from arrowseam.cli import operators

    operators.show(*read_files(path, nats_path, operator_path))


@config_group.command("schema")
@click.option("--json", "as_json", is_flag=True, help="As a JSON schema.")
def config_schema(as_json: bool) -> None:
    """Print the functions of the operator file and their fields."""
    from arrowseam.cli import operators

    operators.schema(as_json)


@main.group("servers")
def servers_group() -> None:
    """Files of servers."""


@servers_group.command("check")
@click.argument("file")
@click.option("--against", help="The list in force, to say what would change.")
@click.option("--max-removed", default=0.5, show_default=True, type=click.FloatRange(0, 1))
@click.option("--max-bytes", default=16 << 20, show_default=True, type=click.IntRange(1))
def servers_check(file: str, against: str | None, max_removed: float, max_bytes: int) -> None:
    """Say whether FILE would be taken, and what it would change. Exit status 1 if it would be refused."""
    from arrowseam.cli import operators

    sys.exit(operators.check(file, against, max_removed, max_bytes))


@main.command("fleet")
@click.option("--control", "addresses", envvar="EDGE_CONTROL", required=True, multiple=True,
              help="HOST:PORT of a proxy's control; several are compared.")  # fmt: skip
@click.option("--watch", is_flag=True, help="Again every second.")
@click.option("--json", "as_json", is_flag=True, help="As control says it, a JSON object a line.")
@click.option("--forget", metavar="MEMBER", help="Say that a member that is dead will not come back.")
def fleet_command(addresses: tuple[str, ...], watch: bool, as_json: bool, forget: str | None) -> None:
    """Print who is in the fleet, as running proxies see it. Exit status 3 where their views differ."""
    from arrowseam.cli import fleet

    sys.exit(fleet.show(addresses, watch, as_json, forget))


@main.command("members")
@click.option("--control", "address", envvar="EDGE_CONTROL", required=True, help="HOST:PORT of control.")
@click.option("--sources", is_flag=True, help="The sources in place of the servers.")
@click.option("--json", "as_json", is_flag=True, help="As control says it, a JSON object a line.")
def members(address: str, sources: bool, as_json: bool) -> None:
    """Print the servers that a running proxy has, and where it has them from."""
    from arrowseam.cli import operators

    sys.exit(operators.members(address, sources, as_json))


@main.command("capacity")
@click.option("--target", required=True, metavar="FILE", help="The size, TOML; deploy/ has an example.")
@click.option("--runs", "folder", metavar="DIR", help="Recorded runs; else those of this source checkout.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object: rows and slopes.")
@click.option("--write", "page", metavar="PAGE", help="Put the table between the markers of PAGE.")
def capacity_command(target: str, folder: str | None, as_json: bool, page: str | None) -> None:
    """Print what a fleet of any size costs, from recorded slopes. Exit status 2: a file isn't taken."""
    from arrowseam.cli import capacity

    if as_json and page is not None:
        raise click.UsageError("--json or --write, not both")
    sys.exit(capacity.show(target, folder, as_json, page))


for _command in (lab_group, drain_command, undrain_command, release_group, agree_group):
    main.add_command(_command)
