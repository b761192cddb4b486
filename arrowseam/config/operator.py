"""The functions of the operator file: their arguments, with bounds and defaults, and their validation.

Scripts are evaluated in a separate process (``script.py``). A proxy without an operator file does not import
this module, since msgspec takes 1.7 MB. The class names and docstrings are part of the JSON schema that
``config schema --json`` prints.
"""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from arrowseam.address import parse_address
from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.errors import ArrowseamError

NAME_PATTERN = "^[a-z0-9][a-z0-9_-]{0,31}$"
ZONES_MAX = 64  # in one cluster
RESERVED_SOURCE_NAMES = ("directory", "known")

Text = Annotated[str, Meta(min_length=1, max_length=4096)]


class Struct(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """The arguments of one function; immutable."""


class Servers(Struct, frozen=True):
    """Servers and weights from a file, watched; ``docs/operators/watched-files.md``."""

    file: Text  # relative to the operator file's folder
    name: Annotated[str, Meta(pattern=f"^$|{NAME_PATTERN}")] = ""  # in control and logs; default: the file's
    rank: Annotated[int, Meta(ge=1, le=1000)] = 10  # the highest source of a server wins; discovery: 0
    # Share of the ready weight that one version may remove.
    max_removed: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.5
    max_bytes: Annotated[int, Meta(ge=1, le=256 << 20)] = 16 << 20
    settle_ms: Annotated[int, Meta(ge=0, le=1000)] = 500  # how long an endpoint that no source names is kept
    drain_s: Annotated[int, Meta(ge=1, le=3600)] = 30  # how long it then drains before it is removed
    poll_ms: Annotated[int, Meta(ge=50, le=500)] = 500  # between reads of a file that inotify cannot watch


class Place(Struct, frozen=True, rename={"class_name": "class"}):
    """Where a NATS client belongs, by the names of the settings."""

    class_name: Text
    tenant: str | None = None


class Nats(Struct, frozen=True):
    """The NATS front, as ``deploy/nats.json`` says it."""

    listen: Text  # HOST:PORT, like all addresses
    server_port: Annotated[int, Meta(ge=1, le=65535)] = 4222
    servers: dict[str, str] = {}
    users: dict[str, Place] = {}
    names: dict[str, Place] = {}
    default: Place | None = None
    max_payload: Annotated[int, Meta(ge=1, le=64 << 20)] = 1 << 20
    health: str = ""
    agent: str = ""


class Log(Struct, frozen=True):
    """How log lines look and which are written."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "debug"


class StateDir(Struct, frozen=True):
    """A lasting folder in which the last good lists outlive the process."""

    folder: Text


class Fleet(Struct, frozen=True):
    """The proxies keep a view of themselves; ``docs/operators/fleet-view.md``."""

    listen: Text  # IP:PORT for datagrams and streams
    advertise: str = ""  # where other members reach it, if not at ``listen``
    seeds: Annotated[tuple[Text, ...], Meta(max_length=64)] = ()  # members to join through
    name: Annotated[str, Meta(pattern=NAME_PATTERN)] = "fleet"  # members of another name are ignored
    # Limits are shared among the members that may be alive (true), among the configured number (false), or
    # among all members without counting any of them out ("hold", for a change to zones).
    count: bool | Literal["hold"] = True
    # Of this proxy; empty = the cluster has no zones.
    zone: Annotated[str, Meta(pattern=f"^$|{NAME_PATTERN}")] = ""
    zones: dict[str, Annotated[int, Meta(ge=1, le=16_384)]] = {}  # member counts, the same at all proxies
    period_ms: Annotated[int, Meta(ge=50, le=10_000)] = 300  # between two probes
    timeout_ms: Annotated[int, Meta(ge=10, le=5_000)] = 100  # of a probe, before other members probe too
    forget_s: Annotated[int, Meta(ge=60, le=7 * 24 * 3600)] = 3600  # after which ended members are forgotten


# Has the fields of ``DisruptionBudgets``, the type that the consensus log holds.
BudgetsSaid: type[Struct] = msgspec.defstruct(  # type: ignore[assignment]
    "BudgetsSaid",
    [(f.name, f.type, f.default) for f in msgspec.structs.fields(DisruptionBudgets)],
    bases=(Struct,),
    namespace={"__doc__": "How many may be out at a time; a number with a point is a share."},
    frozen=True,
)


class AgreeSaid(Struct, frozen=True):
    """Drains and releases are agreed among these proxies; ``docs/operators/releases.md``."""

    voters: Annotated[dict[str, Text], Meta(min_length=1, max_length=7)]  # name: HOST:PORT of its fleet(...)
    restart: Literal["handover", "exit"] = "handover"  # how a release starts this proxy again


class Agree(Struct, frozen=True):
    """The combined arguments of ``agree`` and ``budgets``."""

    voters: dict[str, str]
    restart: str = "handover"
    budgets: DisruptionBudgets = DisruptionBudgets()


class Operator(Struct, frozen=True):
    """The result of evaluating an operator file."""

    servers: tuple[Servers, ...] = ()
    fleet: Fleet | None = None
    agree: Agree | None = None
    nats: Nats | None = None
    log: Log = Log()
    state_dir: str = ""


FUNCTIONS: dict[str, type[Struct]] = {
    "servers": Servers,
    "nats": Nats,
    "fleet": Fleet,
    "agree": AgreeSaid,
    "budgets": BudgetsSaid,
    "log": Log,
    "state_dir": StateDir,
}


class OperatorCallError(ArrowseamError):
    """An invalid call of a function; the message is ``field: reason``."""


def check_call(function: str, arguments: dict[str, Any], classes: list[str], tenants: list[str]) -> Struct:
    """Validate the arguments of one call. ``classes`` and ``tenants`` are the names in the settings.

    Raises:
        OperatorCallError: an argument is unknown, missing or invalid.
    """
    try:
        call = msgspec.convert(arguments, FUNCTIONS[function])
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        field = path.rstrip("`").lstrip(".")
        raise OperatorCallError(f"{field}: {reason}" if field else reason) from None
    if isinstance(call, Nats | Fleet | AgreeSaid):
        _check_addresses(call)
    if isinstance(call, Fleet):
        _check_fleet(call)
    if isinstance(call, Nats):
        _check_places(call, classes, tenants)
    return call


def _check_addresses(call: Nats | Fleet | AgreeSaid) -> None:
    """Check that each is HOST:PORT; between proxies, HOST must be an IP address and PORT not 0."""
    between_proxies = not isinstance(call, Nats)
    for field, text in _addresses(call):
        try:
            host, port = parse_address(text)
            if between_proxies:
                _check_peer_address(host, port)
        except ValueError as error:
            raise OperatorCallError(f"{field}: {error}") from None


def _check_peer_address(host: str, port: int) -> None:
    if not port:
        raise ValueError("a port is needed, not 0")
    if host != str(ipaddress.ip_address(host)):
        raise ValueError(f"not an IP address: {host!r}")


def _addresses(call: Nats | Fleet | AgreeSaid) -> list[tuple[str, str]]:
    """Return the fields that hold addresses, and the addresses, without empty ones."""
    if isinstance(call, AgreeSaid):
        return [(f"voters.{name}", text) for name, text in call.voters.items()]
    if isinstance(call, Fleet):
        rows = [("listen", call.listen), ("advertise", call.advertise)]
        rows += [(f"seeds[{position}]", seed) for position, seed in enumerate(call.seeds)]
        return [(field, text) for field, text in rows if text]
    own = [(field, getattr(call, field)) for field in ("listen", "health", "agent")]
    return [(field, text) for field, text in own if text] + [
        (f"servers.{name}", text) for name, text in call.servers.items()
    ]


def _check_fleet(fleet: Fleet) -> None:
    if fleet.timeout_ms * 2 > fleet.period_ms:
        raise OperatorCallError(f"timeout_ms: at most half of period_ms, {fleet.period_ms}")
    if fleet.zone and fleet.zone not in fleet.zones:
        raise OperatorCallError(f"zone: {fleet.zone!r} is not one of zones")
    if fleet.zones and not fleet.zone:
        raise OperatorCallError("zone: needed with zones")
    if len(fleet.zones) > ZONES_MAX:
        raise OperatorCallError(f"zones: at most {ZONES_MAX}")
    if not all(re.match(NAME_PATTERN, name) for name in fleet.zones):
        raise OperatorCallError("zones: a name is lower-case letters, digits, - and _, at most 32")


def _check_places(nats: Nats, classes: list[str], tenants: list[str]) -> None:
    places = [(f"users.{user}", place) for user, place in nats.users.items()]
    places += [(f"names.{name}", place) for name, place in nats.names.items()]
    places += [("default", nats.default)] if nats.default else []
    for field, place in places:
        if place.class_name not in classes:
            raise OperatorCallError(f"{field}.class: the settings have no class {place.class_name!r}")
        if place.tenant is not None and place.tenant not in tenants:
            raise OperatorCallError(f"{field}.tenant: the settings have no tenant {place.tenant!r}")


def combine_agree_and_budgets(agree: Struct | None, budgets: Struct | None) -> Agree | None:
    """Combine the arguments of ``agree`` and ``budgets``; None without ``agree``."""
    if not isinstance(agree, AgreeSaid):
        return None
    limits = msgspec.structs.asdict(budgets) if budgets is not None else {}
    return Agree(voters=agree.voters, restart=agree.restart, budgets=DisruptionBudgets(**limits))


def decode(text: bytes) -> Operator:
    """Decode the output of ``encode``; raises msgspec.DecodeError or ValidationError."""
    return msgspec.json.decode(text, type=Operator)


def encode(operator: Operator) -> bytes:
    """Encode the result of a script for the process that asked for its evaluation."""
    return msgspec.json.encode(operator)


def nats_document(nats: Nats) -> bytes:
    """Encode the arguments of ``nats`` in the format of a NATS configuration file."""
    return msgspec.json.encode(nats)


def schema() -> list[tuple[str, str, list[tuple[str, str, str]]]]:
    """Return each function's name and description, and its fields with type, bounds and default."""
    functions = []
    for name, call_type in FUNCTIONS.items():
        _, components = msgspec.json.schema_components([call_type])
        properties = components[call_type.__name__]["properties"]
        required = components[call_type.__name__].get("required", [])
        rows = []
        for field, field_schema in properties.items():
            default = "needed" if field in required else json.dumps(field_schema.get("default"))
            rows.append((field, _type_text(field_schema), default))
        functions.append((name, (call_type.__doc__ or "").strip().splitlines()[0], rows))
    return functions


def _type_text(field_schema: dict[str, Any]) -> str:
    """Format a field's type and bounds for a table."""
    if "enum" in field_schema:
        return " or ".join(map(str, field_schema["enum"]))
    if "anyOf" in field_schema:
        return " or ".join(map(_type_text, field_schema["anyOf"]))
    if "$ref" in field_schema:
        return str(field_schema["$ref"]).rsplit("/", 1)[-1].lower()
    low, high = field_schema.get("minimum"), field_schema.get("maximum")
    text = str(field_schema.get("type", "any"))
    if isinstance(values := field_schema.get("additionalProperties"), dict):
        text += f" of {_type_text(values)}"
    return text + (f" {low} to {high}" if low is not None else "")
