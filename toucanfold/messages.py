"""Messages between processes and their Cap'n Proto codec."""

import dataclasses
import pathlib
from typing import Any, ClassVar

import capnp

SCHEMA_PATH = pathlib.Path(__file__).with_name("messages.capnp")
MAX_FRAME_BYTES = 1 << 20
LENGTH_BYTES = 4

_schema = capnp.load(str(SCHEMA_PATH))


class Message:
    """Base of all messages; subclasses are dataclasses with slots."""

    __slots__ = ()

    # The field of the Frame union, or "" if only used inside other messages.
    TAG: ClassVar[str] = ""
    # Classes of the fields that hold a message or a list of messages.
    NESTED: ClassVar[dict[str, type["Message"]]] = {}
    # Fields that hold a list of plain values.
    LISTS: ClassVar[tuple[str, ...]] = ()


@dataclasses.dataclass(slots=True)
class Hello(Message):
    """First frame of each side: its identity and a fresh nonce."""

    TAG = "hello"
    fleet: str = ""
    role: str = ""
    name: str = ""
    incarnation: int = 0
    nonce: bytes = b""
    region: str = ""
    data_centre: str = ""


@dataclasses.dataclass(slots=True)
class Proof(Message):
    """Second frame of each side: HMAC over both hellos."""

    TAG = "proof"
    digest: bytes = b""


@dataclasses.dataclass(slots=True)
class Ping(Message):
    """Heartbeat request."""

    TAG = "ping"
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class Pong(Message):
    """Heartbeat reply with the sequence of the request."""

    TAG = "pong"
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class Goaway(Message):
    """The sender accepts no new calls on this link."""

    TAG = "goaway"
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Call(Message):
    """A call for the receiver's local target; times in milliseconds."""

    TAG = "call"
    LISTS = ("crashes",)
    id: int = 0
    root_id: str = ""
    service: str = ""
    method: str = ""
    path: str = ""
    headers: bytes = b""
    body: bytes = b""
    body_more: bool = False
    account: str = ""
    weight: float = 1.0
    rank: int = 0
    depth: int = 0
    priority: int = 0
    root_age_ms: int = 0
    timeout_ms: int = 0
    attempts_left: int = 0
    idempotent: bool = False
    idempotency_key: str = ""
    route: str = ""
    slot: int = -1
    slot_epoch: int = 0
    # The crashes of targets under this request that the sender knows of.
    crashes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Answer(Message):
    """The answer or refusal of a call; kind is empty for a target's response.

    route_reduction is by how much the level of the route is below the highest.
    """

    TAG = "answer"
    id: int = 0
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    body_more: bool = False
    outcome: int = 0
    kind: str = ""
    retry_after_ms: int = 0
    message: str = ""
    attempts_spent: int = 0
    retried: bool = False
    level: int = 0
    limit: int = 0
    in_flight: int = 0
    target_us: int = 0
    undispatched: bool = False
    departing: str = ""
    route_reduction: int = 0
    crash: str = ""


@dataclasses.dataclass(slots=True)
class Body(Message):
    """A chunk of a streamed body; aborted ends the body without completing it."""

    TAG = "body"
    id: int = 0
    from_caller: bool = False
    data: bytes = b""
    last: bool = False
    aborted: bool = False


@dataclasses.dataclass(slots=True)
class Credit(Message):
    """Allows the sender of a body to send size more bytes."""

    TAG = "credit"
    id: int = 0
    from_caller: bool = False
    size: int = 0


@dataclasses.dataclass(slots=True)
class Cancel(Message):
    """The caller no longer waits for this call."""

    TAG = "cancel"
    id: int = 0


@dataclasses.dataclass(slots=True)
class Intent(Message):
    """Asks the backup to record a call before its owner runs it."""

    TAG = "intent"
    id: int = 0
    service: str = ""
    slot: int = 0
    epoch: int = 0
    account: str = ""
    key: str = ""
    digest: bytes = b""


@dataclasses.dataclass(slots=True)
class IntentAck(Message):
    """The backup's reply to an intent, with the epoch that it has applied."""

    TAG = "intentAck"
    id: int = 0
    accepted: bool = False
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class Record(Message):
    """The outcome of a recorded call; state is a records.State value.

    origin is the incarnation of the daemon that runs the call, and id numbers its
    intents; together they name one execution.
    """

    TAG = "record"
    service: str = ""
    slot: int = 0
    epoch: int = 0
    account: str = ""
    key: str = ""
    digest: bytes = b""
    state: int = 0
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    age_ms: int = 0
    origin: int = 0
    id: int = 0


@dataclasses.dataclass(slots=True)
class RecordSync(Message):
    """A chunk of a slot's records for its new backup; index counts chunks from 0.

    The backup acknowledges the last chunk with an intentAck of the same id.
    """

    TAG = "recordSync"
    NESTED = {"records": Record}
    service: str = ""
    slot: int = 0
    epoch: int = 0
    records: list[Record] = dataclasses.field(default_factory=list)
    last: bool = False
    id: int = 0
    index: int = 0


@dataclasses.dataclass(slots=True)
class Demand(Message):
    """A daemon's demand for one client account's rate.

    rate is the offered load (tokens/s), burst the wanted bucket capacity (tokens) and
    tokens the current level of the bucket.
    """

    account: str = ""
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0


@dataclasses.dataclass(slots=True)
class Share(Message):
    """A leased portion of one client account's rate (tokens/s) and burst (tokens)."""

    account: str = ""
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    grant: int = 0


@dataclasses.dataclass(slots=True)
class TokenRequest(Message):
    """Asks another daemon's share holder for a token of an account.

    remaining_ms is the time until the deadline of the call that needs it.
    """

    TAG = "tokenRequest"
    id: int = 0
    account: str = ""
    remaining_ms: int = 0


@dataclasses.dataclass(slots=True)
class TokenReply(Message):
    """Whether a token was taken; a refusal describes the share for the log."""

    TAG = "tokenReply"
    id: int = 0
    taken: bool = False
    retry_after_ms: int = 0
    share: str = ""


@dataclasses.dataclass(slots=True)
class CrashReport(Message):
    """Reports a target that ended, or suspects that a target has completed.

    suspects are the digests of all requests that the target ran when it ended, and
    crash identifies that event; it is empty if only completed holds digests. relayed
    asks the receiver to pass the report on to the other daemons of its region.
    """

    TAG = "crashReport"
    LISTS = ("suspects", "completed")
    crash: str = ""
    suspects: list[bytes] = dataclasses.field(default_factory=list)
    completed: list[bytes] = dataclasses.field(default_factory=list)
    relayed: bool = False


@dataclasses.dataclass(slots=True)
class Announcement(Message):
    """A daemon's description of its target; state is up or draining.

    target_instance and departed are labels of targetstatus.TargetStatus.
    configured_service is the service of the daemon's settings, empty if it is the same.
    """

    name: str = ""
    incarnation: int = 0
    service: str = ""
    region: str = ""
    data_centre: str = ""
    link_address: str = ""
    state: str = "up"
    target_instance: str = ""
    departed: str = ""
    configured_service: str = ""


@dataclasses.dataclass(slots=True)
class SlotMark(Message):
    """A slot of the sender's service, and the epoch of its complete copy."""

    slot: int = 0
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class WatchPing(Message):
    """A daemon's periodic report to control."""

    TAG = "watchPing"
    NESTED = {
        "announcement": Announcement,
        "demands": Demand,
        "shares": Share,
        "complete": SlotMark,
    }
    LISTS = ("quarantined",)
    sequence: int = 0
    applied_revision: int = 0
    announcement: Announcement = dataclasses.field(default_factory=Announcement)
    demands: list[Demand] = dataclasses.field(default_factory=list)
    shares: list[Share] = dataclasses.field(default_factory=list)
    raft_term: int = 0
    # Slots of which the sender, as backup, has a complete copy of the records.
    complete: list[SlotMark] = dataclasses.field(default_factory=list)
    # Digests of requests that the sender quarantines and the fleet state does not.
    quarantined: list[bytes] = dataclasses.field(default_factory=list)
    accepts_packed_deltas: bool = False


@dataclasses.dataclass(slots=True)
class Instance(Message):
    """The link address and location of a control instance."""

    address: str = ""
    region: str = ""
    data_centre: str = ""


@dataclasses.dataclass(slots=True)
class WatchPong(Message):
    """Control's reply: confirmed revision, changes and granted shares."""

    TAG = "watchPong"
    NESTED = {"shares": Share, "instances": Instance}
    LISTS = ("deltas",)
    sequence: int = 0
    confirmed: bool = False
    revision: int = 0
    deltas: list[bytes] = dataclasses.field(default_factory=list)
    snapshot: bytes = b""
    shares: list[Share] = dataclasses.field(default_factory=list)
    raft_term: int = 0
    instances: list[Instance] = dataclasses.field(default_factory=list)
    # All deltas in one compressed piece, instead of deltas.
    packed_deltas: bytes = b""


@dataclasses.dataclass(slots=True)
class Entry(Message):
    """One entry of the replicated log."""

    index: int = 0
    term: int = 0
    kind: int = 0
    data: bytes = b""


@dataclasses.dataclass(slots=True)
class Raft(Message):
    """A message of the consensus protocol; kind is a rafttypes.Kind value."""

    TAG = "raft"
    NESTED = {"entries": Entry}
    kind: int = 0
    sender: str = ""
    receiver: str = ""
    term: int = 0
    last_index: int = 0
    last_term: int = 0
    commit: int = 0
    entries: list[Entry] = dataclasses.field(default_factory=list)
    granted: bool = False
    match_index: int = 0
    read_sequence: int = 0
    snapshot: bytes = b""
    snapshot_offset: int = 0
    snapshot_done: bool = False
    address: str = ""


@dataclasses.dataclass(slots=True)
class Relay(Message):
    """A request from one control instance to the leader (JSON payload)."""

    TAG = "relay"
    id: int = 0
    kind: str = ""
    payload: bytes = b""


@dataclasses.dataclass(slots=True)
class RelayReply(Message):
    """The leader's reply to a relay (JSON payload)."""

    TAG = "relayReply"
    id: int = 0
    ok: bool = False
    payload: bytes = b""


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


class _FieldPlan:
    """Field names of one message class in Python and in the schema."""

    __slots__ = (
        "cls",
        "fields",
        "list_positions",
        "nested_fields",
        "nested_positions",
        "plain_fields",
    )

    def __init__(self, cls: type[Message]):
        self.cls = cls
        self.fields = tuple(
            (field.name, _camel_case(field.name))
            for field in dataclasses.fields(cls)  # type: ignore[arg-type]
        )
        positions = {name: index for index, (name, _) in enumerate(self.fields)}
        self.nested_positions = [
            (positions[name], nested) for name, nested in cls.NESTED.items()
        ]
        self.list_positions = [positions[name] for name in cls.LISTS]
        self.plain_fields = tuple(
            pair for pair in self.fields if pair[0] not in cls.NESTED
        )
        self.nested_fields = tuple(
            pair for pair in self.fields if pair[0] in cls.NESTED
        )


def _all_messages() -> list[type[Message]]:
    return list(Message.__subclasses__())


# dataclass(slots=True) creates a second class in Python 3.11. The first one stays among
# the subclasses until it is garbage collected, so names are resolved in the module.
_FIELD_PLANS = {
    cls: _FieldPlan(cls)
    for cls in (globals()[subclass.__name__] for subclass in _all_messages())
}
_FIELD_PLANS_BY_TAG = {cls.TAG: plan for cls, plan in _FIELD_PLANS.items() if cls.TAG}


def _fill_builder(message: Message, builder: Any) -> None:
    """Set the fields that differ from the schema's defaults (zero or empty)."""
    plan = _FIELD_PLANS[type(message)]
    for name, camel in plan.plain_fields:
        value = getattr(message, name)
        if value:
            setattr(builder, camel, value)
    for name, camel in plan.nested_fields:
        value = getattr(message, name)
        if isinstance(value, list):
            items = builder.init(camel, len(value))
            for index, item in enumerate(value):
                _fill_builder(item, items[index])
        else:
            _fill_builder(value, builder.init(camel))


def _read_message(plan: _FieldPlan, reader: Any) -> Message:
    get = reader._get
    values = [get(camel) for _, camel in plan.fields]
    for position, cls in plan.nested_positions:
        values[position] = _read_nested(cls, values[position])
    for position in plan.list_positions:
        values[position] = list(values[position])
    return plan.cls(*values)


def _read_nested(cls: type[Message], value: Any) -> Any:
    plan = _FIELD_PLANS[cls]
    if isinstance(value, capnp.lib.capnp._DynamicListReader):
        return [_read_message(plan, item) for item in value]
    return _read_message(plan, value)


def encode(message: Message) -> bytes:
    """Return the frame of a message: its length and the encoded message.

    It is packed, since most words of a message are zero and traffic between regions is
    billed.
    """
    frame = _schema.Frame.new_message()
    _fill_builder(message, frame.init(message.TAG))
    payload = frame.to_bytes_packed()
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode(payload: bytes) -> Message | None:
    """Return the message of a frame without its length, None if invalid."""
    try:
        frame = _schema.Frame.from_bytes_packed(payload)
        tag = str(frame.which())
        return _read_message(_FIELD_PLANS_BY_TAG[tag], getattr(frame, tag))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError):
        return None


def pack_headers(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Join header fields as lines; h11 rejects fields that contain a line break."""
    return b"\r\n".join(name + b": " + value for name, value in headers)


def unpack_headers(packed: bytes) -> list[tuple[bytes, bytes]]:
    """Return the header fields that pack_headers joined."""
    if not packed:
        return []
    pairs = (line.split(b": ", 1) for line in packed.split(b"\r\n"))
    return [(name, value) for name, value in pairs]
