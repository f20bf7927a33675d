"""Calls, answers and refusals inside a daemon, and tokens for nested calls."""

import dataclasses
import enum
import hashlib
import secrets
from collections.abc import AsyncIterator, Callable, Sequence

PRIORITY_LEVELS = 128
MAX_LEVEL = 4 * PRIORITY_LEVELS


class Outcome(enum.IntEnum):
    """Whether a request ran at its target."""

    NOT_RUN = 1
    RAN = 2
    UNKNOWN = 3

    @property
    def header_value(self) -> str:
        """The value of the Toucanfold-Outcome header."""
        return self.name.lower().replace("_", "-")


class RefusalKind(enum.StrEnum):
    """Kinds of refusals."""

    BAD_REQUEST = "bad_request"
    KEY_REFUSED = "key_refused"
    NO_ROUTE = "no_route"
    REQUEST_TIMEOUT = "request_timeout"
    CONFLICT = "conflict"
    STILL_RUNNING = "still_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TOO_LARGE = "too_large"
    RATE_EXCEEDED = "rate_exceeded"
    HEADERS_TOO_LARGE = "headers_too_large"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    STOPPING = "stopping"
    CONTROL_STALE = "control_stale"
    RETRIES_EXHAUSTED = "retries_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TARGET_FAILED = "target_failed"
    QUARANTINED = "quarantined"
    MISDIRECTED = "misdirected"


STATUS_BY_KIND = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.KEY_REFUSED: 401,
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.REQUEST_TIMEOUT: 408,
    RefusalKind.CONFLICT: 409,
    RefusalKind.STILL_RUNNING: 409,
    RefusalKind.OUTCOME_UNKNOWN: 409,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.RATE_EXCEEDED: 429,
    RefusalKind.HEADERS_TOO_LARGE: 431,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.NO_TARGET: 503,
    RefusalKind.STOPPING: 503,
    RefusalKind.CONTROL_STALE: 503,
    RefusalKind.RETRIES_EXHAUSTED: 503,
    RefusalKind.DEADLINE_EXCEEDED: 504,
    RefusalKind.TARGET_FAILED: 502,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.MISDIRECTED: 503,
}

REMEDY_BY_KIND = {
    RefusalKind.BAD_REQUEST: "correct the request",
    RefusalKind.KEY_REFUSED: "send a valid key of the client account",
    RefusalKind.NO_ROUTE: "ask the operator to add a route for this service and path",
    RefusalKind.REQUEST_TIMEOUT: "send the whole request faster",
    RefusalKind.CONFLICT: "use a new idempotency key for a different request",
    RefusalKind.STILL_RUNNING: "send the same request again after the retry time",
    RefusalKind.OUTCOME_UNKNOWN: "look up the result before sending it under a new key",
    RefusalKind.TOO_LARGE: "send a smaller body",
    RefusalKind.RATE_EXCEEDED: "send less, or ask the operator for a higher rate",
    RefusalKind.HEADERS_TOO_LARGE: "send fewer or shorter headers",
    RefusalKind.OVERLOADED: "retry after the retry time",
    RefusalKind.NO_TARGET: (
        "retry later; the operator should check the service's targets"
    ),
    RefusalKind.STOPPING: "retry at another instance",
    RefusalKind.CONTROL_STALE: (
        "retry at another instance; control cannot be reached here"
    ),
    RefusalKind.RETRIES_EXHAUSTED: "retry after the retry time",
    RefusalKind.DEADLINE_EXCEEDED: "allow more time, or retry when load is lower",
    RefusalKind.TARGET_FAILED: (
        "check the result before repeating a non-idempotent request"
    ),
    RefusalKind.QUARANTINED: (
        "do not repeat the request; the operator should correct the service and lift"
        " the quarantine"
    ),
    RefusalKind.MISDIRECTED: "retry after the retry time",
}


@dataclasses.dataclass(slots=True)
class Refusal:
    """Why a call got no response from a target, and whether it ran."""

    kind: RefusalKind
    outcome: Outcome = Outcome.NOT_RUN
    message: str = ""
    retry_after_ms: int = 0

    @property
    def status(self) -> int:
        """HTTP status of the response to the caller."""
        return STATUS_BY_KIND[self.kind]

    @property
    def remedy(self) -> str:
        """What the caller or operator can do."""
        return REMEDY_BY_KIND[self.kind]


Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Call:
    """A request on its way to a target; times are monotonic seconds.

    body_stream is None when body holds the complete body.
    """

    root_id: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    account: str
    rank: int
    idempotent: bool
    deadline: float
    root_started_at: float
    route: str = ""
    weight: float = 1.0
    depth: int = 0
    priority: int = 0
    attempts_left: int = 0
    idempotency_key: str = ""
    slot: int = -1
    slot_epoch: int = 0
    # Known crashes of targets under this request.
    crashes: Sequence[str] = ()
    body_stream: AsyncIterator[bytes] | None = None

    @property
    def level(self) -> int:
        """Level compared with thresholds; lower is more important."""
        return self.rank * PRIORITY_LEVELS + self.priority

    @property
    def pressure_key(self) -> str:
        """Key of the levels reported in answers: the route and the account."""
        return f"{self.route}\0{self.account}"

    @property
    def route_pressure_key(self) -> str:
        """Key of the route levels reported in answers: the route and the rank."""
        return f"{self.route}\0{self.rank}"

    @property
    def is_recorded(self) -> bool:
        """Whether the owner of a slot records the call and answers its resends."""
        return not self.idempotent and bool(self.idempotency_key)

    @property
    def is_replayable(self) -> bool:
        """Whether the complete body is buffered, so that it can be sent again."""
        return self.body_stream is None


@dataclasses.dataclass(slots=True)
class Answer:
    """A target's response, or a refusal, with the answering daemon's levels and limit.

    level counts for the call's route and account, route_level for its route and rank.
    body_stream is None when body holds the complete body. undispatched is set when the
    call left the queue of the target's daemon without being sent to the target.
    departing is the label of the answering instance if it stated that it is leaving.
    crash identifies the end of the target's process if that happened under the call.
    """

    status: int = 0
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    outcome: Outcome = Outcome.RAN
    refusal: Refusal | None = None
    attempts_spent: int = 0
    retried: bool = False
    level: int = MAX_LEVEL
    route_level: int = MAX_LEVEL
    limit: int = 0
    in_flight: int = 0
    target_seconds: float = 0.0
    undispatched: bool = False
    departing: str = ""
    crash: str = ""
    body_stream: AsyncIterator[bytes] | None = None

    @property
    def lowest_level(self) -> int:
        """The lower one of the reported levels."""
        return min(self.level, self.route_level)

    @classmethod
    def refused(cls, refusal: Refusal) -> "Answer":
        """Return the answer that carries a refusal."""
        return cls(status=refusal.status, outcome=refusal.outcome, refusal=refusal)


def refuse(
    kind: RefusalKind,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
) -> Answer:
    """Return a refused answer."""
    return Answer.refused(Refusal(kind, outcome, message, retry_after_ms))


def new_root_id() -> str:
    """Return a random id for a root request."""
    return secrets.token_hex(8)


def priority_of(root_id: str) -> int:
    """Return the priority of a root request, the same on every hop."""
    digest = hashlib.blake2b(root_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % PRIORITY_LEVELS


def split_fraction(root_id: str) -> float:
    """Return a number from 0 to 1 that is uniformly distributed over root requests."""
    digest = hashlib.blake2b(root_id.encode(), digest_size=8, person=b"split").digest()
    return int.from_bytes(digest, "big") / 2**64


class CallToken:
    """Context of a dispatched call, used for the nested calls of its target."""

    __slots__ = (
        "active_nested_calls",
        "attempts_left",
        "attempts_spent",
        "call",
        "nested_call_seconds",
        "nested_wait_started_at",
        "table",
        "value",
    )

    def __init__(self, value: str, call: Call, table: "TokenTable"):
        self.value = value
        self.table = table
        self.call = call
        self.attempts_left = call.attempts_left
        self.attempts_spent = 0
        self.active_nested_calls = 0
        self.nested_call_seconds = 0.0
        self.nested_wait_started_at = 0.0

    def reserve_attempts(self) -> int:
        """Reserve all remaining attempts for one nested call; return their number."""
        reserved, self.attempts_left = self.attempts_left, 0
        return reserved

    def nested_call_started(self, now: float) -> None:
        """Count a nested call, to exclude its time from the target's self time."""
        self.active_nested_calls += 1
        if self.active_nested_calls == 1:
            self.nested_wait_started_at = now
            self.table.adjust_waiting(self, 1)

    def nested_call_ended(self, now: float, reserved: int, spent: int) -> None:
        """Return the reserved attempts that the nested call did not make."""
        self.active_nested_calls -= 1
        if self.active_nested_calls == 0:
            self.nested_call_seconds += now - self.nested_wait_started_at
            self.table.adjust_waiting(self, -1)
        spent = min(spent, reserved)
        self.attempts_left += reserved - spent
        self.attempts_spent += spent

    def self_time_s(self, started_at: float, now: float) -> float:
        """Return the seconds since dispatch without waits for nested calls."""
        waiting = now - self.nested_wait_started_at if self.active_nested_calls else 0.0
        return max(0.0, now - started_at - self.nested_call_seconds - waiting)


class TokenTable:
    """Tokens of the calls that run at this daemon's target."""

    __slots__ = ("_tokens", "on_wait_started", "waiting")

    def __init__(self) -> None:
        # Number of calls that wait for nested calls.
        self.waiting = 0
        # Called when a call begins to wait, which frees its permit for another call.
        self.on_wait_started: Callable[[], None] | None = None
        self._tokens: dict[str, CallToken] = {}

    def __len__(self) -> int:
        return len(self._tokens)

    def issue(self, call: Call) -> CallToken:
        """Create the token of a call which is about to be dispatched."""
        token = CallToken(secrets.token_urlsafe(24), call, self)
        self._tokens[token.value] = token
        return token

    def find(self, value: str) -> CallToken | None:
        """Return the token with this value, None if its call has ended."""
        return self._tokens.get(value)

    def revoke(self, token: CallToken) -> None:
        """Remove the token of a call that has ended."""
        if self._tokens.pop(token.value, None) is None:
            return
        if token.active_nested_calls:
            self.waiting -= 1

    def adjust_waiting(self, token: CallToken, change: int) -> None:
        """Add change to the number of waiting calls, unless the call has ended."""
        if token.value not in self._tokens:
            return
        self.waiting += change
        if change > 0 and self.on_wait_started is not None:
            self.on_wait_started()
