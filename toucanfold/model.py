"""Profiles, routes, client accounts, keys, targets and slots of one fleet."""

import dataclasses
import hashlib
import hmac
import json
import re
import secrets
import zlib
from typing import Any, TypeVar

from absl import logging
from returns import result

from toucanfold import exceptions, registry

IMPORTANCE_RANKS = {"critical": 0, "important": 1, "normal": 2, "background": 3}
# In state waiting the daemon runs, but its target accepts no calls.
TARGET_STATES = ("up", "waiting", "draining", "left", "lost")
# States in which a target's daemon runs and may hold shares and slots.
ALIVE_STATES = ("up", "waiting", "draining")
SLOTS_PER_SERVICE = 64
MAX_ATTEMPTS = 5
MAX_DEADLINE_MS = 300_000
MAX_RATE = 1e9
MAX_WEIGHT = 1e9
# Bounds of the weight of an account in queues.
MIN_WEIGHT = 0.001
MAX_ACCOUNT_WEIGHT = 1000
MAX_URGENCY = 255
MAX_PORT = 65_535
# Longest DNS host name.
MAX_HOST_CHARS = 253
CONFIGURATION_NAME = "current"
# Shorter JSON gains too little from compression.
MIN_COMPRESSED_INPUT_BYTES = 512
COMPRESSION_LEVEL = 6
# Hexadecimal digits of the keyed hash that form the id of an imported key (96 bits).
IMPORTED_ID_DIGITS = 24
# No JSON text begins with this byte.
COMPRESSED_PREFIX = b"\x01"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"\S+:[0-9]{1,5}")
# Start time (Unix ms) and id of an instance of a target.
INSTANCE_PATTERN = re.compile(r"-?[0-9]{1,18}/.{1,4096}", re.DOTALL)
KEY_PATTERN = re.compile(rb"tfk_[0-9a-f]{12}_[0-9a-f]{40}", re.IGNORECASE)
# A digest of crashes.digest_of in hexadecimal form.
DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")

Item = TypeVar("Item", bound="Entity")


class Entity:
    """Base of the objects that make up the fleet state."""

    __slots__ = ()

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object."""
        return {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)  # type: ignore[arg-type]
        }

    @classmethod
    def from_json(
        cls: type[Item], data: dict[str, Any]
    ) -> result.Result[Item, exceptions.ValidationError]:
        """Build and check an object; unknown and missing fields are errors."""
        fields_by_name = {field.name: field for field in dataclasses.fields(cls)}  # type: ignore[arg-type]
        unknown = sorted(set(data) - set(fields_by_name))
        if unknown:
            return _invalid(
                f"unknown field {unknown[0]!r} in {cls.__name__.lower()}",
                f"use only: {', '.join(fields_by_name)}",
            )
        missing = sorted(
            name
            for name, field in fields_by_name.items()
            if field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
            and name not in data
        )
        if missing:
            return _invalid(
                f"field {missing[0]!r} of {cls.__name__.lower()} is missing",
                "add the field",
            )
        problem = _type_error(fields_by_name, data)
        if problem:
            return _invalid(f"{cls.__name__.lower()}: {problem}", "correct its type")
        item = cls(**data)
        problem = item.validation_error()
        if problem:
            return _invalid(f"{cls.__name__.lower()}: {problem}", "correct the value")
        return result.Success(item)

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        return ""


def _invalid(message: str, remedy: str) -> result.Failure:
    return result.Failure(exceptions.ValidationError(message, remedy))


def _type_error(fields_by_name: dict[str, Any], data: dict[str, Any]) -> str:
    for name, value in data.items():
        expected = fields_by_name[name].type
        accepted = (int, float) if expected is float else expected
        wrong_bool = isinstance(value, bool) and expected is not bool
        if wrong_bool or not isinstance(value, accepted):
            return f"{name} must be of type {expected.__name__}, not {value!r}"
        if isinstance(value, float) and value != value:
            return f"{name} must be a number"
    return ""


def _name_error(name: str) -> str:
    if NAME_PATTERN.fullmatch(name):
        return ""
    return f"name {name!r} must be 1 to 63 letters, digits, dots, dashes, underscores"


@dataclasses.dataclass(slots=True)
class Profile(Entity):
    """Named overload behaviour; times in milliseconds.

    goal_ms is the time within which an answer is worth most to its caller; 0 means the
    deadline.
    """

    name: str
    importance: str = "normal"
    idempotent: bool = True
    deadline_ms: int = 2000
    attempts: int = 1
    hedging: bool = False
    limiter: str = "delivery"
    admission: str = "fair"
    balancer: str = "nearest"
    queue_ms: int = 500
    queue_length: int = 1000
    goal_ms: int = 0
    revision: int = 0

    @property
    def rank(self) -> int:
        """Importance as a number; 0 (critical) is shed last."""
        return IMPORTANCE_RANKS[self.importance]

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        checks = (
            (not _name_error(self.name), _name_error(self.name)),
            (
                self.importance in IMPORTANCE_RANKS,
                f"importance must be one of {', '.join(IMPORTANCE_RANKS)}",
            ),
            (
                1 <= self.deadline_ms <= MAX_DEADLINE_MS,
                f"deadline_ms must be 1 to {MAX_DEADLINE_MS}",
            ),
            (
                0 <= self.attempts <= MAX_ATTEMPTS,
                f"attempts must be 0 to {MAX_ATTEMPTS}",
            ),
            (1 <= self.queue_ms <= MAX_DEADLINE_MS, "queue_ms must be at least 1"),
            (
                0 <= self.goal_ms <= MAX_DEADLINE_MS,
                f"goal_ms must be 0 to {MAX_DEADLINE_MS}",
            ),
            (1 <= self.queue_length <= 100_000, "queue_length must be 1 to 100000"),
            (self.idempotent or not self.hedging, "hedging needs idempotent calls"),
        )
        for holds, message in checks:
            if not holds:
                return message
        return self._plugin_error()

    def _plugin_error(self) -> str:
        for kind in ("limiter", "admission", "balancer"):
            name = getattr(self, kind)
            registered = registry.names(kind)
            if registered and name not in registered:
                return f"{kind} must be one of {', '.join(registered)}"
        return ""


@dataclasses.dataclass(slots=True)
class Route(Entity):
    """Picks a profile for calls by service or host, method and path prefix.

    A route with a host serves the requests for that host; one without serves those
    that name its service. Split maps services to weights, by which the route's calls
    are divided among them; if it is empty, all go to service.
    """

    name: str
    service: str
    profile: str
    method: str = "*"
    path_prefix: str = "/"
    open: bool = False
    host: str = ""
    split: dict = dataclasses.field(default_factory=dict)
    revision: int = 0

    @property
    def services(self) -> list[str]:
        """Services to which the route's calls may go."""
        return list(self.split) or [self.service]

    def select_service(self, fraction: float) -> str:
        """Return the service at a fraction (0 to 1) of the summed weights."""
        if not self.split:
            return self.service
        remaining_weight = fraction * sum(self.split.values())
        for name, weight in self.split.items():
            remaining_weight -= weight
            if remaining_weight < 0:
                return name
        return [name for name, weight in self.split.items() if weight][-1]

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        if _name_error(self.name) or _name_error(self.service):
            return _name_error(self.name) or _name_error(self.service)
        if not self.path_prefix.startswith("/"):
            return "path_prefix must start with /"
        if self.method != "*" and not re.fullmatch(r"[A-Z]{1,16}", self.method):
            return "method must be * or an upper-case HTTP method"
        if len(self.host) > MAX_HOST_CHARS or self.host != self.host.lower():
            return f"host must be lower-case, at most {MAX_HOST_CHARS} characters"
        return self._split_error()

    def _split_error(self) -> str:
        for name, weight in self.split.items():
            if _name_error(name):
                return _name_error(name)
            if isinstance(weight, bool) or not isinstance(weight, int | float):
                return f"the weight of {name!r} must be a number"
            if not 0 <= weight <= MAX_WEIGHT:
                return f"the weight of {name!r} must be 0 to {MAX_WEIGHT:g}"
        if self.split and not any(self.split.values()):
            return "the weights of split add up to 0"
        return ""


@dataclasses.dataclass(slots=True)
class Account(Entity):
    """A client account with its fleet-wide rate (calls/s) and burst (calls).

    Tolerance (calls) and surplus (calls/s) are what its operator accepts above burst
    and rate, because many entries share them. Unlimited accounts have no rate limit.
    Urgency orders accounts before the importance of their calls; 0 is the most urgent.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    unlimited: bool = False
    urgency: int = 0
    tolerance: float = 0.0
    surplus: float = 0.0
    revision: int = 0

    @property
    def refill(self) -> float:
        """Tokens/s that all entries together receive."""
        return self.rate + self.surplus

    @property
    def capacity(self) -> float:
        """Tokens that all entries together may hold."""
        return self.burst + self.tolerance

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        if _name_error(self.name):
            return _name_error(self.name)
        if not 0 <= self.rate <= MAX_RATE or not 0 <= self.burst <= MAX_RATE:
            return f"rate and burst must be 0 to {MAX_RATE:g}"
        if not 0 <= self.tolerance <= MAX_RATE:
            return f"tolerance must be 0 to {MAX_RATE:g}"
        if not 0 <= self.surplus <= MAX_RATE:
            return f"surplus must be 0 to {MAX_RATE:g}"
        if not MIN_WEIGHT <= self.weight <= MAX_ACCOUNT_WEIGHT:
            return "weight must be 0.001 to 1000"
        if not 0 <= self.urgency <= MAX_URGENCY:
            return f"urgency must be 0 to {MAX_URGENCY}"
        return ""


@dataclasses.dataclass(slots=True)
class Key(Entity):
    """A client account's key; only the HMAC of the secret is kept (hex)."""

    id: str
    account: str
    digest: str
    revision: int = 0


@dataclasses.dataclass(slots=True)
class Target(Entity):
    """A target that its daemon announced.

    incarnation counts starts of the daemon. target_instance labels the start of the
    target itself, and departed the last start that left or is leaving.
    configured_service is the service of the daemon's settings, empty if it is the same.
    """

    name: str
    incarnation: int
    service: str
    region: str
    data_centre: str
    link_address: str
    state: str = "up"
    revision: int = 0
    target_instance: str = ""
    departed: str = ""
    configured_service: str = ""

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        if _name_error(self.name) or _name_error(self.service):
            return _name_error(self.name) or _name_error(self.service)
        if self.state not in TARGET_STATES:
            return f"state must be one of {', '.join(TARGET_STATES)}"
        _, _, port = self.link_address.rpartition(":")
        if not ADDRESS_PATTERN.fullmatch(self.link_address) or not (
            1 <= int(port) <= MAX_PORT
        ):
            return "link_address must be host:port"
        labels = (self.target_instance, self.departed)
        if not all(not text or INSTANCE_PATTERN.fullmatch(text) for text in labels):
            return "an instance is not labelled with its start time and id"
        return self.configured_service and _name_error(self.configured_service)


@dataclasses.dataclass(slots=True)
class Slot(Entity):
    """Owner and backup of one slot of a service; an empty name means none."""

    service: str
    number: int
    epoch: int
    owner: str = ""
    owner_incarnation: int = 0
    backup: str = ""
    backup_incarnation: int = 0
    gap: bool = False
    revision: int = 0


@dataclasses.dataclass(slots=True)
class Quarantine(Entity):
    """A request that is not sent to targets, since targets ended under it.

    digest (hex) identifies the request, as crashes.digest_of returns it.
    """

    digest: str
    reporter: str = ""
    revision: int = 0

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        if not DIGEST_PATTERN.fullmatch(self.digest):
            return "digest must be 32 hexadecimal digits"
        return ""


@dataclasses.dataclass(slots=True)
class Service(Entity):
    """A service that a configuration declares; connections are those of one target."""

    name: str
    max_connections: int = 500
    revision: int = 0

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        if _name_error(self.name):
            return _name_error(self.name)
        if not 1 <= self.max_connections <= 100_000:
            return "max_connections must be 1 to 100000"
        return ""


@dataclasses.dataclass(slots=True)
class Configuration(Entity):
    """The complete configuration in force; sizes in bytes, times in milliseconds.

    Version and digest are those of the document that an operator sent. The limits
    bound what a caller may send and how long it may take; 0 keeps the value of the
    settings.
    """

    name: str = CONFIGURATION_NAME
    version: int = 0
    digest: str = ""
    max_header: int = 0
    max_body: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0
    revision: int = 0

    def validation_error(self) -> str:
        """Return what is wrong with the values, or an empty string."""
        limits = (
            self.max_header,
            self.max_body,
            self.header_timeout_ms,
            self.idle_timeout_ms,
        )
        if min(limits) < 0:
            return "limits must not be negative"
        return ""


class FleetState:
    """All replicated objects by name, at one revision."""

    __slots__ = (
        "accounts",
        "configurations",
        "keys",
        "profiles",
        "quarantines",
        "revision",
        "routes",
        "services",
        "slots",
        "targets",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.profiles: dict[str, Profile] = {}
        self.routes: dict[str, Route] = {}
        self.accounts: dict[str, Account] = {}
        self.keys: dict[str, Key] = {}
        self.services: dict[str, Service] = {}
        # Empty, or the one configuration that ReplaceConfiguration put in force.
        self.configurations: dict[str, Configuration] = {}
        self.targets: dict[str, Target] = {}
        self.slots: dict[tuple[str, int], Slot] = {}
        # By digest (hex).
        self.quarantines: dict[str, Quarantine] = {}

    @property
    def configuration(self) -> Configuration | None:
        """The configuration put in force by ReplaceConfiguration, None before that."""
        return self.configurations.get(CONFIGURATION_NAME)

    def match_route(self, service: str, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; a method beats ``*``."""
        best: Route | None = None
        best_score = (-1, False)
        for route in self.routes.values():
            if route.host or route.service != service:
                continue
            if not path.startswith(route.path_prefix):
                continue
            if route.method not in ("*", method):
                continue
            score = (len(route.path_prefix), route.method == method)
            if score > best_score:
                best, best_score = route, score
        return best

    def account_for_key(self, key_text: str, fleet_secret: bytes) -> Account | None:
        """Return the account of a key's text, None unless the key is valid."""
        parts = parse_api_key(key_text)
        if parts is None:
            return self._account_for_imported_key(key_text, fleet_secret)
        key = self.keys.get(parts[0])
        if key is None:
            return None
        digest = key_digest(fleet_secret, parts[1])
        if not hmac.compare_digest(digest, key.digest):
            return None
        return self.accounts.get(key.account)

    def _account_for_imported_key(
        self, text: str, fleet_secret: bytes
    ) -> Account | None:
        digest = key_digest(fleet_secret, text)
        key = self.keys.get(imported_key_id(digest))
        if key is None or not hmac.compare_digest(digest, key.digest):
            return None
        return self.accounts.get(key.account)

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service in order of their names."""
        matching = (item for item in self.targets.values() if item.service == service)
        return sorted(matching, key=lambda item: item.name)

    def quarantined_digests(self) -> list[bytes]:
        """Return the digests of the quarantined requests."""
        return [bytes.fromhex(digest) for digest in self.quarantines]

    def to_json(self) -> dict[str, Any]:
        """Return the complete state as a JSON object."""
        return {
            "revision": self.revision,
            "profiles": [item.to_json() for item in self.profiles.values()],
            "routes": [item.to_json() for item in self.routes.values()],
            "accounts": [item.to_json() for item in self.accounts.values()],
            "keys": [item.to_json() for item in self.keys.values()],
            "services": [item.to_json() for item in self.services.values()],
            "configurations": [item.to_json() for item in self.configurations.values()],
            "targets": [item.to_json() for item in self.targets.values()],
            "slots": [item.to_json() for item in self.slots.values()],
            "quarantines": [item.to_json() for item in self.quarantines.values()],
        }

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "FleetState":
        """Build a state from what to_json returned."""
        state = cls()
        state.revision = data["revision"]
        for table in _TABLES:
            # Snapshots of earlier versions do not have all tables.
            for item in data.get(table, ()):
                _put_object(state, table, item)
        return state


class Delta:
    """The objects that one revision put or removed."""

    __slots__ = ("puts", "removes", "revision")

    def __init__(
        self,
        revision: int,
        puts: list[tuple[str, dict[str, Any]]],
        removes: list[tuple[str, str]],
    ):
        self.revision = revision
        self.puts = puts
        self.removes = removes

    def apply(self, state: FleetState) -> bool:
        """Apply to a state exactly one revision behind; False for any other state."""
        if state.revision != self.revision - 1:
            return False
        for table, data in self.puts:
            _put_object(state, table, data)
        for table, name in self.removes:
            if table in _TABLES:
                getattr(state, table).pop(name, None)
        state.revision = self.revision
        return True

    def to_bytes(self) -> bytes:
        """Return the JSON encoding, compressed when it is long."""
        fields = {"revision": self.revision, "puts": self.puts, "removes": self.removes}
        return compress_json(json.dumps(fields, separators=(",", ":")).encode())

    @classmethod
    def from_bytes(cls, data: bytes) -> "Delta":
        """Decode what to_bytes returned."""
        fields = json.loads(decompress_json(data))
        puts = [(table, item) for table, item in fields["puts"]]
        removes = [(table, name) for table, name in fields["removes"]]
        return cls(fields["revision"], puts, removes)


_TABLES: dict[str, type[Entity]] = {
    "profiles": Profile,
    "routes": Route,
    "accounts": Account,
    "keys": Key,
    "targets": Target,
    "services": Service,
    "configurations": Configuration,
    "slots": Slot,
    "quarantines": Quarantine,
}
# Fields by which objects are found, other than their names.
_KEY_FIELDS = {"keys": "id", "quarantines": "digest"}


def _put_object(state: FleetState, table: str, data: Any) -> None:
    """Put an object; one that cannot be read is skipped.

    Fields and tables that this version does not know are left out.
    """
    kind = _TABLES.get(table)
    if kind is None:
        logging.log_first_n(logging.WARNING, "unknown table %r skipped", 1, table)
        return
    try:
        known = {field.name for field in dataclasses.fields(kind)}  # type: ignore[arg-type]
        item: Any = kind(**{key: data[key] for key in data if key in known})
        if table == "slots":
            state.slots[item.service, item.number] = item
        else:
            getattr(state, table)[getattr(item, _KEY_FIELDS.get(table, "name"))] = item
    except (TypeError, AttributeError) as error:
        logging.warning("unreadable entry of table %r skipped: %s", table, error)


def pack_deltas(deltas: list[bytes]) -> bytes:
    """Return encoded deltas in one compressed piece; their texts are much alike."""
    parts = (len(data).to_bytes(4, "big") + data for data in deltas)
    return zlib.compress(b"".join(parts), COMPRESSION_LEVEL)


def unpack_deltas(packed: bytes) -> list[bytes]:
    """Return what pack_deltas was given; ValueError if it is corrupt."""
    try:
        joined = zlib.decompress(packed)
    except zlib.error as error:
        raise ValueError(f"not packed deltas: {error}") from error
    deltas, position = [], 0
    while position < len(joined):
        start = position + 4
        position = start + int.from_bytes(joined[start - 4 : start], "big")
        deltas.append(joined[start:position])
    return deltas


def compress_json(text: bytes) -> bytes:
    """Return JSON as it is, or compressed if it is long."""
    if len(text) < MIN_COMPRESSED_INPUT_BYTES:
        return text
    return COMPRESSED_PREFIX + zlib.compress(text, COMPRESSION_LEVEL)


def decompress_json(data: bytes) -> bytes:
    """Return the JSON that compress_json was given; ValueError if data is corrupt."""
    if not data.startswith(COMPRESSED_PREFIX):
        return data
    try:
        return zlib.decompress(data[len(COMPRESSED_PREFIX) :])
    except zlib.error as error:
        raise ValueError(f"not compressed JSON: {error}") from error


def parse_api_key(text: str) -> tuple[str, str] | None:
    """Return (id, secret) of a key's text, None if it is not tfk_ID_SECRET."""
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != "tfk" or not parts[1] or not parts[2]:
        return None
    return parts[1], parts[2]


def generate_api_key() -> str:
    """Return a new random key."""
    return f"tfk_{secrets.token_hex(6)}_{secrets.token_hex(20)}"


def key_digest(fleet_secret: bytes, secret: str) -> str:
    """Return the keyed hash under which a key's secret is stored (hex)."""
    return hmac.new(fleet_secret, secret.encode(), hashlib.sha256).hexdigest()


def imported_key_id(digest: str) -> str:
    """Return the id of an imported key, derived from its keyed hash."""
    return f"x{digest[:IMPORTED_ID_DIGITS]}"


def imported_key(fleet_secret: bytes, text: str, account: str) -> Key:
    """Return the record of an imported key; its text is not kept."""
    digest = key_digest(fleet_secret, text)
    return Key(imported_key_id(digest), account, digest)


def slot_of(account: str, idempotency_key: str) -> int:
    """Return the slot number of a client account's idempotency key."""
    digest = hashlib.blake2b(
        f"{account}\0{idempotency_key}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big") % SLOTS_PER_SERVICE
