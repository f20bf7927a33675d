"""Records of non-idempotent calls, bounded by retention time and memory."""

import collections
import enum
import re
import sys
from collections.abc import Iterator

from toucanfold import calls, messages, model

RETENTION_S = 3600.0
# The clocks of two daemons may differ by 1 s, and so may those of a caller and its
# entry.
CLOCK_TOLERANCE_S = 1.0
# The longest execution of a call. The retention starts only when it ends.
MAX_EXECUTION_S = model.MAX_DEADLINE_MS / 1000.0
# Larger contents are not kept; a resend is then answered only that the call ran.
MAX_BODY_BYTES = 64 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_TOTAL_CONTENT_BYTES = 32 << 20
MAX_RECORDS = 100_000
BUCKET_S = 60.0

_UUID7 = re.compile(
    r"([0-9a-f]{8})-?([0-9a-f]{4})-?7[0-9a-f]{3}-?[89ab][0-9a-f]{3}-?[0-9a-f]{12}",
    re.IGNORECASE,
)

SlotKey = tuple[str, int]
CallKey = tuple[str, str]


class State(enum.IntEnum):
    """What is known about one execution of a call."""

    WITHDRAWN = 0
    INTENT = 1
    RUNNING = 2
    UNKNOWN = 3
    # The call ran, but its response is not kept.
    RAN = 4
    FINISHED = 5
    # Not an execution: a gap in the records, which may lack calls from before its
    # start; see outcomes.
    GAP = 6


class Record:
    """One execution of a call; (origin, id) identifies it in the fleet.

    origin is the incarnation of the owner that ran it, id its number there. ended_at
    and expires_at are times of the local monotonic clock (s).
    """

    __slots__ = (
        "body",
        "digest",
        "ended_at",
        "expires_at",
        "headers",
        "id",
        "key",
        "origin",
        "slot",
        "state",
        "status",
    )

    def __init__(
        self, slot: SlotKey, key: CallKey, digest: bytes, origin: int, number: int
    ):
        self.slot = slot
        self.key = key
        self.digest = digest
        self.origin = origin
        self.id = number
        self.state = State.INTENT
        self.status = 0
        self.headers = b""
        self.body = b""
        self.ended_at = 0.0
        self.expires_at = 0.0

    @property
    def has_ended(self) -> bool:
        """Whether the execution is over, with or without a known outcome."""
        return self.state >= State.UNKNOWN

    @property
    def content_bytes(self) -> int:
        """Size of the kept headers and body."""
        return len(self.headers) + len(self.body)

    def is_execution(self, origin: int, number: int) -> bool:
        """Whether this is the record of the execution (origin, number)."""
        return self.origin == origin and self.id == number

    def answer(self) -> calls.Answer:
        """Return the recorded answer of a call that has ended."""
        if self.state < State.RAN:
            return calls.refuse(
                calls.RefusalKind.OUTCOME_UNKNOWN,
                "the request may have run, but its outcome was lost",
                calls.Outcome.UNKNOWN,
            )
        if self.state is State.RAN:
            return calls.refuse(
                calls.RefusalKind.TARGET_FAILED,
                f"the request ran with status {self.status}; its content is not kept",
                calls.Outcome.RAN,
            )
        return calls.Answer(
            status=self.status,
            headers=messages.unpack_headers(self.headers),
            body=self.body,
        )

    def to_message(self, now: float, epoch: int) -> messages.Record:
        """Return the record as a message; epoch is that of the slot."""
        return messages.Record(
            service=self.slot[0],
            slot=self.slot[1],
            epoch=epoch,
            account=self.key[0],
            key=self.key[1],
            digest=self.digest,
            state=int(self.state),
            status=self.status,
            headers=self.headers,
            body=self.body,
            age_ms=int(max(0.0, now - self.ended_at) * 1000) if self.has_ended else 0,
            origin=self.origin,
            id=self.id,
        )


class RecordStore:
    """All records of one daemon by slot, with bounded number and content bytes."""

    __slots__ = (
        "_buckets",
        "_content_queue",
        "_next_bucket",
        "_slots",
        "content_bytes",
        "count",
        "max_content_bytes",
        "max_records",
    )

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_content_bytes: int = MAX_TOTAL_CONTENT_BYTES,
    ):
        self.max_records = max_records
        self.max_content_bytes = max_content_bytes
        self.count = 0
        self.content_bytes = 0
        self._slots: dict[SlotKey, dict[CallKey, Record]] = {}
        self._buckets: dict[int, list[Record]] = {}
        self._next_bucket: int | None = None
        self._content_queue: collections.deque[Record] = collections.deque()

    @property
    def has_spare_capacity(self) -> bool:
        """Whether a record can be added; none is evicted to admit another one."""
        return self.count < self.max_records

    def find(self, slot: SlotKey, key: CallKey) -> Record | None:
        """Return the record of a call."""
        return self._slots.get(slot, {}).get(key)

    def of_slot(self, slot: SlotKey) -> Iterator[Record]:
        """Return the records of a slot."""
        return iter(self._slots.get(slot, {}).values())

    def is_current(self, record: Record) -> bool:
        """Whether the store still holds this object as the record of its call."""
        return self.find(record.slot, record.key) is record

    def put(self, now: float, record: Record) -> None:
        """Add a record, replacing one of another execution of the same call."""
        existing = self.find(record.slot, record.key)
        if existing is not None:
            self.remove(existing)
        record.key = (sys.intern(record.key[0]), record.key[1])
        self._slots.setdefault(record.slot, {})[record.key] = record
        self.count += 1
        if not record.has_ended:
            record.expires_at = now + MAX_EXECUTION_S + RETENTION_S
        self._schedule_expiry(record)

    def remove(self, record: Record) -> None:
        """Remove a record, unless another one has replaced it."""
        if self.is_current(record):
            del self._slots[record.slot][record.key]
            self.count -= 1
            self._evict_content(record)

    def clear(self, slot: SlotKey) -> None:
        """Remove all records of a slot."""
        for record in list(self.of_slot(slot)):
            self.remove(record)
        self._slots.pop(slot, None)

    def set_outcome(
        self,
        record: Record,
        ended_at: float,
        state: State,
        status: int = 0,
        content: tuple[bytes, bytes] = (b"", b""),
    ) -> None:
        """Set the outcome; content is (packed headers, body) of a finished call."""
        self._evict_content(record)
        record.state = state
        record.status = status
        record.ended_at = ended_at
        record.expires_at = ended_at + RETENTION_S + 4 * CLOCK_TOLERANCE_S
        if state is State.FINISHED:
            record.headers, record.body = content
            self.content_bytes += record.content_bytes
            self._content_queue.append(record)
            while self.content_bytes > self.max_content_bytes:
                self._evict_content(self._content_queue.popleft())

    def expire(self, now: float) -> int:
        """Remove records past their retention; return how many."""
        expired = 0
        current_bucket = int(now // BUCKET_S)
        if self._next_bucket is None:
            return 0
        while self._next_bucket < current_bucket:
            for record in self._buckets.pop(self._next_bucket, ()):
                if not self.is_current(record):
                    continue
                if record.expires_at <= now:
                    self.remove(record)
                    expired += 1
                else:
                    self._schedule_expiry(record)
            self._next_bucket += 1
        self._trim_content_queue()
        return expired

    def _schedule_expiry(self, record: Record) -> None:
        bucket = int(record.expires_at // BUCKET_S)
        if self._next_bucket is None or bucket < self._next_bucket:
            self._next_bucket = bucket
        self._buckets.setdefault(bucket, []).append(record)

    def _evict_content(self, record: Record) -> None:
        if record.state is State.FINISHED:
            self.content_bytes -= record.content_bytes
            record.headers = record.body = b""
            record.state = State.RAN

    def _trim_content_queue(self) -> None:
        """Remove leading queue entries whose records no longer have content."""
        queue = self._content_queue
        while queue and queue[0].state is not State.FINISHED:
            queue.popleft()


def key_timestamp(key: str) -> float | None:
    """Return the creation time of a UUIDv7 key (Unix seconds), else None."""
    matched = _UUID7.fullmatch(key)
    if matched is None:
        return None
    return int(matched[1] + matched[2], 16) / 1000.0


def timestamp_refusal(key: str, unix_time: float) -> calls.Answer | None:
    """Refuse a UUIDv7 key from the future or older than the retention.

    unix_time is the current time (s). Without this check, a key could be reused
    after its record expired, or count as newer than a gap in the records.
    """
    timestamp = key_timestamp(key)
    if timestamp is None:
        return None
    if timestamp > unix_time + CLOCK_TOLERANCE_S:
        return calls.refuse(
            calls.RefusalKind.BAD_REQUEST,
            "the idempotency key was stamped in the future",
        )
    if timestamp < unix_time - RETENTION_S:
        return calls.refuse(
            calls.RefusalKind.OUTCOME_UNKNOWN,
            "the idempotency key is older than the records",
            calls.Outcome.UNKNOWN,
        )
    return None


def content_of(answer: calls.Answer) -> tuple[bytes, bytes] | None:
    """Return (packed headers, body), None if they are too large or not available."""
    if answer.refusal is not None or answer.body_stream is not None:
        return None
    headers = messages.pack_headers(answer.headers)
    if len(headers) > MAX_HEADER_BYTES or len(answer.body) > MAX_BODY_BYTES:
        return None
    return headers, answer.body


def from_message(message: messages.Record) -> Record:
    """Return a record, without outcome, of the execution in a message."""
    slot = (message.service, message.slot)
    key = (message.account, message.key)
    return Record(slot, key, message.digest, message.origin, message.id)
