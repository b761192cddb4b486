"""The arguments of the rollout commands ``drain``, ``undrain``, ``release ...`` and ``agree ...``.

Their code is imported only when one of them runs.
"""

from __future__ import annotations

import sys

import click

control_option = click.option(
    "--control", "addresses", envvar="EDGE_CONTROL", required=True, multiple=True,
    help="HOST:PORT of a proxy's control; the first that answers gets the command.",
)  # fmt: skip


@click.command("drain")
@control_option
@click.argument("servers", nargs=-1)
@click.option("--zone", default="", help="Drain all servers of this zone too.")
@click.option("--wait", is_flag=True, help="Wait until no proxy has connections or attempts there.")
def drain_command(addresses: tuple[str, ...], servers: tuple[str, ...], zone: str, wait: bool) -> None:
    """Drain SERVERS one after another within the budgets, by agreement of all proxies."""
    from arrowseam.cli import release

    sys.exit(release.drain(addresses, servers, zone, wait))


@click.command("undrain")
@control_option
@click.argument("server")
@click.option("--off", is_flag=True, help="The server will not return: end its drain without waiting for it.")
def undrain_command(addresses: tuple[str, ...], server: str, off: bool) -> None:
    """Declare that SERVER is available again."""
    from arrowseam.cli import release

    sys.exit(release.run_command(addresses, f"undrain {server}{' off' if off else ''}"))


@click.group("release")
def release_group() -> None:
    """Releases: new settings or restarts of the proxies, wave by wave, with halt and rollback."""


@release_group.command("plan")
@control_option
@click.argument("kind", type=click.Choice(["settings", "restart"]))
@click.argument("bundle", required=False)
@click.option(
    "--soak", "soak_s", type=click.FloatRange(0), help="Seconds that each wave is watched; default: 30."
)
@click.option(
    "--patience",
    "patience_s",
    type=click.FloatRange(1),
    help="Seconds that a proxy may be out before the release is halted; default: 120.",
)
@click.option(
    "--alpha", type=click.FloatRange(1e-6, 0.5), help="Rate of false halts by the gates; default: 0.01."
)
@click.option("--no-gates", is_flag=True, help="Halt only by hand and for failed or missing proxies.")
@click.option("--by-zone", is_flag=True, help="After the canary, one wave per zone.")
@click.option("--names", help="Only these proxies, separated by commas, instead of all known ones.")
def release_plan(
    addresses: tuple[str, ...], kind: str, bundle: str | None, soak_s: float | None, patience_s: float | None,
    alpha: float | None, no_gates: bool, by_zone: bool, names: str | None,
) -> None:  # fmt: skip
    """Plan a release of the settings in the file BUNDLE, or of restarts, without starting it."""
    from arrowseam.cli import release

    if (kind == "settings") != (bundle is not None):
        raise click.UsageError("settings requires a BUNDLE, restart takes none")
    options = {"soak_s": soak_s, "patience_s": patience_s, "alpha": alpha, "names": names,
               "gated": 0 if no_gates else None, "by_zone": 1 if by_zone else None}  # fmt: skip
    sys.exit(release.plan(addresses, kind, bundle, options))


def _add_release_command(name: str, help_text: str) -> None:
    @release_group.command(name, help=help_text)
    @control_option
    @click.argument("number", required=False, type=click.IntRange(1))
    def command(addresses: tuple[str, ...], number: int | None) -> None:
        from arrowseam.cli import release

        sys.exit(release.run_command(addresses, f"release {name}{f' {number}' if number else ''}"))


for _name, _help_text in (
    ("start", "Start the release with the canary."),
    ("halt", "Halt the release at once; any proxy does so without the agreement of the others."),
    ("resume", "Continue after a halt; needs the agreement of the proxies."),
    ("back", "Roll back the changed proxies within the same budgets."),
    ("cancel", "Cancel the release and leave the proxies as they are."),
):
    _add_release_command(_name, _help_text)


@release_group.command("status")
@control_option
@click.option("--watch", is_flag=True, help="Repeat every second.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print the answer of control: one JSON object per line."
)
def release_status(addresses: tuple[str, ...], watch: bool, as_json: bool) -> None:
    """Print permits, waiting drains and the progress of releases. Exit status 3 if one is halted."""
    from arrowseam.cli import release

    sys.exit(release.status(addresses, watch, as_json))


@release_group.command("log")
@control_option
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def release_log(addresses: tuple[str, ...], as_json: bool) -> None:
    """Print the decisions: when, by whom, and with what result."""
    from arrowseam.cli import release

    sys.exit(release.show_log(addresses, as_json))


@click.group("agree")
def agree_group() -> None:
    """The agreement among the proxies: its state, and manual repairs."""


@agree_group.command("status")
@control_option
@click.option("--json", "as_json", is_flag=True)
def agree_status(addresses: tuple[str, ...], as_json: bool) -> None:
    """The same as `release status`."""
    from arrowseam.cli import release

    sys.exit(release.status(addresses, False, as_json))


@agree_group.command("off")
@control_option
@click.argument("name")
def agree_off(addresses: tuple[str, ...], name: str) -> None:
    """End the permit of proxy NAME, which is out and will not return."""
    from arrowseam.cli import release

    sys.exit(release.run_command(addresses, f"agree off {name}"))


@agree_group.command("reset")
@control_option
@click.option("--yes", is_flag=True, help="Confirm that decisions unknown to this proxy are lost.")
def agree_reset(addresses: tuple[str, ...], yes: bool) -> None:
    """Begin a new epoch from the state of the first proxy given.

    For the first start, or after a majority of the voters has lost its state.
    """
    from arrowseam.cli import release

    if not yes:
        raise click.UsageError("decisions unknown to this proxy would be lost; confirm with --yes")
    sys.exit(release.run_command(addresses[:1], "agree reset"))
