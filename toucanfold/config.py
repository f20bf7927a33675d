"""Settings: the table of options, and reading and checking INI files."""

import configparser
import dataclasses
import pathlib
from collections.abc import Callable
from typing import Any

from returns import result

from toucanfold import exceptions


@dataclasses.dataclass(slots=True, frozen=True)
class Option:
    """One option: its section, name, type, unit, range and default."""

    section: str
    name: str
    type: str
    help: str
    default: str | None = None
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None

    @property
    def is_required(self) -> bool:
        """Whether a file must set the option."""
        return self.default is None


# Sections by role: a daemon's file has [daemon], a control instance's has [control],
# and both may have [tls] and [metrics].
OPTIONS = (
    Option("daemon", "fleet", "name", "Name of the fleet."),
    Option("daemon", "name", "name", "Name of this daemon and its target."),
    Option("daemon", "service", "name", "Service of the target."),
    Option("daemon", "region", "name", "Region of this instance."),
    Option("daemon", "data_centre", "name", "Data centre of this instance."),
    Option("daemon", "secret_file", "path", "File with the fleet secret."),
    Option("daemon", "caller_listen", "address", "HTTP listener for callers."),
    Option(
        "daemon",
        "egress_listen",
        "optional_address",
        "HTTP listener for the target; none when empty.",
        default="",
    ),
    Option("daemon", "link_listen", "address", "Listener for links of daemons."),
    Option("daemon", "debug_listen", "address", "HTTP listener for state dumps."),
    Option("daemon", "target_address", "address", "HTTP address of the target."),
    Option("daemon", "control", "addresses", "Links of control, nearest first."),
    Option(
        "daemon",
        "control_port",
        "int",
        "Port of control's links, if not that of its addresses; 0 for theirs.",
        default="0",
        minimum=0,
        maximum=65535,
    ),
    Option(
        "daemon",
        "link_advertise",
        "optional_address",
        "Address other daemons use; link_listen when empty.",
        default="",
    ),
    Option(
        "daemon",
        "target_connections",
        "int",
        "Most connections to the target.",
        default="500",
        unit="connections",
        minimum=1,
        maximum=10_000,
    ),
    Option(
        "daemon",
        "max_body",
        "int",
        "Largest request body.",
        default="16777216",
        unit="bytes",
        minimum=0,
        maximum=1 << 32,
    ),
    Option(
        "daemon",
        "max_header",
        "int",
        "Largest request head.",
        default="32768",
        unit="bytes",
        minimum=1024,
        maximum=1 << 20,
    ),
    Option(
        "daemon",
        "header_timeout",
        "float",
        "Time for a caller to send a request head.",
        default="10",
        unit="s",
        minimum=0.1,
        maximum=600,
    ),
    Option(
        "daemon",
        "body_timeout",
        "float",
        "Longest pause inside a caller's body.",
        default="10",
        unit="s",
        minimum=0.1,
        maximum=600,
    ),
    Option(
        "daemon",
        "idle_timeout",
        "float",
        "Time after which an idle caller connection closes.",
        default="75",
        unit="s",
        minimum=1,
        maximum=3600,
    ),
    Option(
        "daemon",
        "max_connections",
        "int",
        "Most caller connections.",
        default="4000",
        unit="connections",
        minimum=1,
        maximum=100_000,
    ),
    Option(
        "daemon",
        "max_depth",
        "int",
        "Deepest call chain.",
        default="24",
        unit="calls",
        minimum=1,
        maximum=64,
    ),
    Option(
        "daemon",
        "region_budget",
        "int",
        "Bytes to other regions; 0 forbids spilling to them.",
        default="10000000",
        unit="bytes/s",
        minimum=0,
        maximum=1 << 40,
    ),
    Option(
        "daemon",
        "drain_timeout",
        "float",
        "Longest planned stop.",
        default="60",
        unit="s",
        minimum=1,
        maximum=3600,
    ),
    Option(
        "daemon",
        "grace_period",
        "float",
        "Time from SIGTERM until a platform kills the process. A planned stop ends"
        " 0.5 s earlier, whatever drain_timeout says; 0 if nothing kills it.",
        "0",
        "s",
        minimum=0,
        maximum=3600,
    ),
    Option(
        "daemon",
        "drain_serve",
        "float",
        "Time in which a planned stop still serves new requests of callers.",
        default="0",
        unit="s",
        minimum=0,
        maximum=3600,
    ),
    Option(
        "daemon",
        "ready_listen",
        "optional_address",
        "HTTP listener that tells whether callers should come; none when empty.",
        default="",
    ),
    Option(
        "daemon",
        "announce_listen",
        "optional_address",
        "HTTP listener for the target's announcements; none when empty.",
        default="",
    ),
    Option(
        "daemon",
        "repeat_part",
        "float",
        "Bound of repeated calls, as a part of a service's calls; 0 for none.",
        default="0",
        minimum=0,
        maximum=1,
    ),
    Option(
        "daemon",
        "repeat_calls",
        "float",
        "Repeated calls to a service that the bound allows besides that part.",
        default="0",
        unit="calls",
        minimum=0,
        maximum=1_000_000,
    ),
    Option(
        "daemon",
        "serve_open_when_stale",
        "bool",
        "Whether open routes go on without control.",
        default="no",
    ),
    Option("control", "fleet", "name", "Name of the fleet."),
    Option("control", "name", "name", "Name of this control instance."),
    Option("control", "region", "name", "Region of this instance."),
    Option("control", "data_centre", "name", "Data centre of this instance."),
    Option("control", "secret_file", "path", "File with the fleet secret."),
    Option("control", "listen", "address", "Listener for links."),
    Option("control", "admin_listen", "address", "HTTP listener for operators."),
    Option(
        "control",
        "platform_listen",
        "optional_address",
        "HTTP listener for a platform's own interface; none when empty.",
        default="",
    ),
    Option(
        "control",
        "admin_file",
        "path",
        "File with operators' credentials; nobody is admitted without one.",
        default="",
    ),
    Option("control", "data_folder", "path", "Folder of the durable state."),
    Option(
        "control",
        "members",
        "members",
        "All members as name=address, when the fleet is first started.",
        default="",
    ),
    Option(
        "control",
        "rate_window",
        "float",
        "Span in which calls above a client account's rate are counted.",
        default="5",
        unit="s",
        minimum=0,
        maximum=3600,
    ),
    Option(
        "control",
        "rate_overage",
        "float",
        "Part by which a client account may exceed its rate and burst in that span.",
        default="0",
        minimum=0,
        maximum=10,
    ),
    Option(
        "control",
        "rate_overage_calls",
        "float",
        "Calls by which a client account may exceed that part.",
        default="0",
        unit="calls",
        minimum=0,
        maximum=1_000_000,
    ),
    Option(
        "control",
        "seeds",
        "optional_addresses",
        "Some instances, named by host, which found the fleet or admit this one.",
        default="",
    ),
    Option(
        "control",
        "seed_port",
        "int",
        "Port of the seeds' links, if not that of their addresses; 0 for theirs.",
        default="0",
        minimum=0,
        maximum=65535,
    ),
    Option(
        "control",
        "tolerated_losses",
        "int",
        "Disks that may be lost at once; sets the number of voters, 0 leaves it.",
        default="0",
        unit="disks",
        minimum=0,
        maximum=3,
    ),
    Option(
        "control",
        "plan_slots",
        "bool",
        "Whether to keep slots for recorded calls.",
        default="yes",
    ),
    Option(
        "control",
        "join",
        "bool",
        "Start as a replacement that waits to be added.",
        default="no",
    ),
    Option(
        "control",
        "snapshot_entries",
        "int",
        "Log entries between snapshots.",
        default="1000",
        unit="entries",
        minimum=10,
        maximum=1_000_000,
    ),
    Option("tls", "certificate", "path", "Certificate chain (PEM).", default=""),
    Option("tls", "private_key", "path", "Private key (PEM).", default=""),
    Option("tls", "authority", "path", "Certificates of the fleet's CA.", default=""),
    Option("tls", "callers", "bool", "TLS for callers.", default="no"),
    Option("tls", "links", "bool", "TLS between processes.", default="no"),
    Option("tls", "admin", "bool", "TLS for operators.", default="no"),
    Option("metrics", "statsd", "optional_address", "statsd over UDP.", default=""),
    Option(
        "metrics", "prefix", "name", "Prefix of metric names.", default="toucanfold"
    ),
    Option(
        "metrics",
        "interval",
        "float",
        "Time between reports.",
        default="10",
        unit="s",
        minimum=0.1,
        maximum=3600,
    ),
)


class Settings:
    """Validated values of one file, read as ``settings.get(section, name)``."""

    __slots__ = ("_values", "file", "role")

    def __init__(self, file: str, role: str, values: dict[tuple[str, str], Any]):
        self.file = file
        self.role = role
        self._values = values

    def get(self, section: str, name: str) -> Any:
        """Return the value of an option; KeyError if the table does not list it."""
        return self._values[section, name]


def _parse_name(text: str) -> str:
    if not text or any(char.isspace() for char in text):
        raise ValueError("must be a name without spaces")
    return text


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("must be an IP address and a port such as 127.0.0.1:8080")
    return text


def _parse_addresses(text: str) -> list[str]:
    addresses = [_parse_address(address) for address in text.replace(",", " ").split()]
    if not addresses:
        raise ValueError("must hold at least one address")
    return addresses


def replace_port(addresses: list[str], port: int) -> list[str]:
    """Return the addresses with the given port; 0 leaves them unchanged."""
    if not port:
        return addresses
    return [f"{address.rpartition(':')[0]}:{port}" for address in addresses]


def _parse_members(text: str) -> dict[str, str]:
    members = {}
    for member in text.replace(",", " ").split():
        name, separator, address = member.partition("=")
        if not separator or name in members:
            raise ValueError("must list each member once as name=address")
        members[_parse_name(name)] = _parse_address(address)
    if not members:
        raise ValueError("must hold at least one member")
    return members


def _parse_bool(text: str) -> bool:
    values = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in values:
        raise ValueError("must be yes or no")
    return values[text.lower()]


_PARSERS: dict[str, Callable[[str], Any]] = {
    "name": _parse_name,
    "address": _parse_address,
    "optional_address": lambda text: _parse_address(text) if text else "",
    "addresses": _parse_addresses,
    "optional_addresses": lambda text: _parse_addresses(text) if text else [],
    "members": lambda text: _parse_members(text) if text else {},
    "path": str,
    "int": int,
    "float": float,
    "bool": _parse_bool,
}


def _parse(option: Option, text: str) -> Any:
    try:
        value = _PARSERS[option.type](text)
    except ValueError as error:
        detail = str(error)
        if option.type in ("int", "float"):
            detail = f"must be a number of type {option.type}"
        raise ValueError(detail) from error
    if option.minimum is not None and not option.minimum <= value <= (
        option.maximum or value
    ):
        raise ValueError(
            f"must be {option.minimum:g} to {option.maximum:g} {option.unit}"
        )
    return value


def _read_file(
    path: str,
) -> result.Result[configparser.ConfigParser, exceptions.SettingsError]:
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        return _failure(path, "-", "-", str(error), "give a readable INI file")
    except configparser.Error as error:
        message = " ".join(str(error).split())
        return _failure(path, "-", "-", message, "correct the line")
    return result.Success(parser)


def _failure(
    file: str, section: str, option: str, message: str, remedy: str
) -> result.Failure:
    return result.Failure(
        exceptions.SettingsError(file, section, option, message, remedy)
    )


def _find_unknown_option(
    path: str, parser: configparser.ConfigParser, role: str
) -> result.Failure | None:
    sections = {role, "tls", "metrics"}
    known_options = {(option.section, option.name) for option in OPTIONS}
    for section in parser.sections():
        if section not in sections:
            remedy = f"use only {', '.join(sorted(sections))}"
            return _failure(path, section, "-", "unknown section", remedy)
        for name in parser[section]:
            if (section, name) not in known_options:
                return _failure(
                    path, section, name, "unknown option", "see docs/settings.md"
                )
    return None


def read(path: str, role: str) -> result.Result[Settings, exceptions.SettingsError]:
    """Read and check the settings file of a role (daemon or control)."""
    opened = _read_file(path)
    if isinstance(opened, result.Failure):
        return opened
    parser = opened.unwrap()
    problem = _find_unknown_option(path, parser, role)
    if problem is not None:
        return problem
    values: dict[tuple[str, str], Any] = {}
    for option in OPTIONS:
        if option.section not in (role, "tls", "metrics"):
            continue
        text = parser.get(option.section, option.name, fallback=option.default)
        if text is None:
            message = "the option is missing"
            return _failure(
                path, option.section, option.name, message, f"set it: {option.help}"
            )
        try:
            values[option.section, option.name] = _parse(option, text.strip())
        except ValueError as error:
            return _failure(
                path,
                option.section,
                option.name,
                f"{text!r} {error}",
                f"correct the value; {option.help}",
            )
    return result.Success(Settings(path, role, values))


def read_secret(
    settings: Settings,
) -> result.Result[bytes, exceptions.SettingsError]:
    """Read the fleet secret; an error if it has fewer than 16 bytes."""
    path = settings.get(settings.role, "secret_file")
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        remedy = "create the file with random text, equal on all processes"
        return _failure(settings.file, settings.role, "secret_file", str(error), remedy)
    if len(secret) < 16:
        return _failure(
            settings.file,
            settings.role,
            "secret_file",
            f"{path} holds {len(secret)} bytes",
            "write at least 16 random bytes",
        )
    return result.Success(secret)


def write_docs() -> str:
    """Return the text of docs/settings.md, generated from the table."""
    lines = [
        "# Settings",
        "",
        "Made by `toucanfold check-settings --write_docs`; do not edit.",
    ]
    section = ""
    for option in OPTIONS:
        if option.section != section:
            section = option.section
            lines += ["", f"## [{section}]", ""]
            lines += ["| option | type | default | range | meaning |"]
            lines += ["|---|---|---|---|---|"]
        default = "required" if option.is_required else f"`{option.default}`"
        default = "empty" if option.default == "" else default
        limits = (
            ""
            if option.minimum is None
            else f"{option.minimum:g} to {option.maximum:g}"
        )
        limits = f"{limits} {option.unit}".strip()
        cells = (f"`{option.name}`", option.type, default, limits, option.help)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"
