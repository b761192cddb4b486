"""The command line, and the wiring of the program's parts.

It owns which parts a process has and how they are told of each other. It must never hold logic of theirs.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import click

from arrowseam import __version__
from arrowseam.facade import Config, ConfigError, Facade, read_config
from arrowseam.net import lines, nats
from arrowseam.net.directory import Directory
from arrowseam.net.health import Health
from arrowseam.net.loop import Loop, clock, log, parse_address
from arrowseam.relay import Relay


def load(path: str) -> Config:
    """The configuration at ``path``, or one plain line and exit status 1."""
    try:
        config = read_config(Path(path).read_bytes())
        for what, text in (("listen", config.listen), ("discovery", config.directory)):
            try:
                parse_address(text)
            except ValueError as error:
                raise ConfigError(f"configuration: {what}: {error}") from None
        return config
    except (OSError, ConfigError) as error:
        print(f"arrowseam: {error}", file=sys.stderr)
        sys.exit(1)


def load_nats(path: str, config: Config) -> nats.NatsConfig:
    try:
        return nats.read_nats_config(Path(path).read_bytes(), config)
    except (OSError, ConfigError) as error:
        print(f"arrowseam: {error}", file=sys.stderr)
        sys.exit(1)


def wire(loop: Loop, config: Config, second: nats.NatsConfig | None = None) -> Relay:
    """The parts of one proxy, each told of the ones it needs: one core for both fronts."""
    facade = Facade(config, clock)
    relay = Relay(loop, config, facade)
    directory = Directory(loop, config, facade)
    relay.ask = directory.ask
    relay.probe = lambda server: loop.spawn(lines.probe(loop, facade, server, relay.address(server)), "probe")
    front = lines.LineFront(loop, config, relay)
    relay.listeners.append(loop.listen(parse_address(config.listen), "front", front.serve).close)
    if second is not None:
        nats_front = nats.NatsFront(loop, config, second, relay)
        relay.listeners.append(loop.listen(second.listen, "nats", nats_front.serve).close)
        health = Health(relay)
        for address, name, answer in (
            (second.agent, "agent", health.agent),
            (second.health, "health", health.http),
        ):
            if address is not None:
                relay.listeners.append(loop.listen(address, name, answer).close)
    return relay


config_option = click.option(
    "--config", "path", envvar="EDGE_CONFIG", required=True, help="The configuration, JSON."
)


nats_option = click.option(
    "--nats", "nats_path", help="Serve the NATS client protocol too, as this file says."
)


@click.group()
def main() -> None:
    """arrowseam: a proxy that places long-lived connections."""


@main.command()
@config_option
@click.option("--trace", is_flag=True, help="Log every call and every end.")
@nats_option
def serve(path: str, trace: bool, nats_path: str | None) -> None:
    """Run one proxy until SIGTERM."""
    config = load(path)
    second = load_nats(nats_path, config) if nats_path else None
    loop = Loop(config.sockets)
    try:
        relay = wire(loop, config, second)
    except OSError as error:
        print(f"arrowseam: cannot listen: {error}", file=sys.stderr)
        sys.exit(1)
    relay.trace = trace
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, relay.drain)
    log(f"arrowseam {__version__}: {config.name or os.getpid()} listens on {config.listen}")
    loop.run()


@main.command("check-config")
@config_option
@nats_option
def check_config(path: str, nats_path: str | None) -> None:
    """Read the configuration and say what it holds."""
    config = load(path)
    if nats_path:
        second = load_nats(nats_path, config)
        click.echo(f"{nats_path}: good; {len(second.users)} users, {len(second.names)} names")
    click.echo(
        f"{path}: good; {len(config.settings.classes)} classes, {len(config.zones)} zones, "
        f"{len(config.known.get('instances', []))} servers known, listens on {config.listen}"
    )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"arrowseam {__version__}")


if __name__ == "__main__":
    main(prog_name="arrowseam")
