"""The command line: what each command reads, checks and prints.

It owns the words of the commands. It must never hold logic of the parts it calls, and imports those of a
command only when that runs: an idle proxy pays for nothing else.
"""

from __future__ import annotations

import os
import signal
import sys

import click

from arrowseam import __version__
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.logs import log
from arrowseam.net import nats, upgrade
from arrowseam.net.loop import Loop
from arrowseam.proxy import Proxy, read

config_option = click.option(
    "--config", "path", envvar="EDGE_CONFIG", required=True, help="The configuration, JSON."
)
nats_option = click.option(
    "--nats", "nats_path", help="Serve the NATS client protocol too, as this file says."
)


def load(path: str, nats_path: str | None) -> tuple[Config, nats.NatsConfig | None]:
    """What the files say, or one plain line and exit status 1."""
    try:
        return read(path, nats_path)
    except (OSError, ConfigError) as error:
        print(f"arrowseam: {error}", file=sys.stderr)
        sys.exit(1)


@click.group()
def main() -> None:
    """arrowseam: a proxy that places long-lived connections."""


@main.command()
@config_option
@click.option("--trace", is_flag=True, help="Log every call and every end.")
@nats_option
def serve(path: str, trace: bool, nats_path: str | None) -> None:
    """Run one proxy until SIGTERM; SIGHUP has it read its files again."""
    config, second = load(path, nats_path)
    loop = Loop(config.sockets)
    station = upgrade.Station.here(config.name, config.listen)
    try:
        proxy = Proxy(loop, config, second, station, upgrade.ask(station))
    except OSError as error:
        print(f"arrowseam: cannot listen: {error}", file=sys.stderr)
        sys.exit(1)
    proxy.relay.trace = trace
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, proxy.relay.drain)
    loop.on_signal(signal.SIGHUP, lambda: proxy.reload(path, nats_path))
    name = config.name or os.getpid()
    log("process.started", f"arrowseam {__version__}: {name} listens on {config.listen}")
    loop.run()


@main.command("check-config")
@config_option
@nats_option
def check_config(path: str, nats_path: str | None) -> None:
    """Read the configuration and say what it holds."""
    config, second = load(path, nats_path)
    if second is not None:
        click.echo(f"{nats_path}: good; {len(second.users)} users, {len(second.names)} names")
    click.echo(
        f"{path}: good; {len(config.settings.classes)} classes, {len(config.zones)} zones, "
        f"{len(config.known.get('instances', []))} servers known, listens on {config.listen}"
    )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"arrowseam {__version__}")
