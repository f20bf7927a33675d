"""Records of non-idempotent calls, kept within bounds of time and memory."""

import collections
import enum
import re
import sys
from collections.abc import Iterator

from toucanfold import calls, messages, model

RETENTION_S = 3600.0
# Daemons' clocks may differ by 1 s, and so may a caller's from its entry's.
CLOCK_TOLERANCE_S = 1.0
# Covers the longest run of a call, which starts the retention only at its end.
MAX_RUN_S = model.MAX_DEADLINE_MS / 1000.0
# Longer contents are not kept; a resend then learns only that the call ran.
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
    # The call ran, but its content is not kept.
    RAN = 4
    FINISHED = 5
    # Not an execution: marks since when older calls are not known; see outcomes.
    GAP = 6


class Record:
    """One execution of a call; (origin, id) names it in the whole fleet."""

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
        """Bytes of the kept content."""
        return len(self.headers) + len(self.body)

    def is_execution(self, origin: int, number: int) -> bool:
        """Whether this record is about the named execution."""
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
        """Return the record as a message."""
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
    """All records of one daemon by slot, with bounded content and number."""

    __slots__ = (
        "_buckets",
        "_next_bucket",
        "_slots",
        "_with_content",
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
        self._with_content: collections.deque[Record] = collections.deque()

    @property
    def has_room(self) -> bool:
        """Whether another record fits; running ones are never dropped for it."""
        return self.count < self.max_records

    def find(self, slot: SlotKey, key: CallKey) -> Record | None:
        """Return the record of a call."""
        return self._slots.get(slot, {}).get(key)

    def of_slot(self, slot: SlotKey) -> Iterator[Record]:
        """Return the records of a slot."""
        return iter(self._slots.get(slot, {}).values())

    def is_current(self, record: Record) -> bool:
        """Whether the store still holds this very record."""
        return self.find(record.slot, record.key) is record

    def put(self, now: float, record: Record) -> None:
        """Add a record, in place of another execution of the same call."""
        found = self.find(record.slot, record.key)
        if found is not None:
            self.remove(found)
        record.key = (sys.intern(record.key[0]), record.key[1])
        self._slots.setdefault(record.slot, {})[record.key] = record
        self.count += 1
        if not record.has_ended:
            record.expires_at = now + MAX_RUN_S + RETENTION_S
        self._schedule(record)

    def remove(self, record: Record) -> None:
        """Forget a record."""
        if self.is_current(record):
            del self._slots[record.slot][record.key]
            self.count -= 1
            self._drop_content(record)

    def clear(self, slot: SlotKey) -> None:
        """Forget all records of a slot."""
        for record in list(self.of_slot(slot)):
            self.remove(record)
        self._slots.pop(slot, None)

    def end(
        self,
        record: Record,
        ended_at: float,
        state: State,
        status: int = 0,
        content: tuple[bytes, bytes] = (b"", b""),
    ) -> None:
        """Set the outcome; content is (packed headers, body) of a finished call."""
        self._drop_content(record)
        record.state = state
        record.status = status
        record.ended_at = ended_at
        record.expires_at = ended_at + RETENTION_S + 4 * CLOCK_TOLERANCE_S
        if state is State.FINISHED:
            record.headers, record.body = content
            self.content_bytes += record.content_bytes
            self._with_content.append(record)
            while self.content_bytes > self.max_content_bytes:
                self._drop_content(self._with_content.popleft())

    def expire(self, now: float) -> int:
        """Forget records past their retention; return how many."""
        expired = 0
        present = int(now // BUCKET_S)
        if self._next_bucket is None:
            return 0
        while self._next_bucket < present:
            for record in self._buckets.pop(self._next_bucket, ()):
                if not self.is_current(record):
                    continue
                if record.expires_at <= now:
                    self.remove(record)
                    expired += 1
                else:
                    self._schedule(record)
            self._next_bucket += 1
        self._trim()
        return expired

    def _schedule(self, record: Record) -> None:
        bucket = int(record.expires_at // BUCKET_S)
        if self._next_bucket is None or bucket < self._next_bucket:
            self._next_bucket = bucket
        self._buckets.setdefault(bucket, []).append(record)

    def _drop_content(self, record: Record) -> None:
        if record.state is State.FINISHED:
            self.content_bytes -= record.content_bytes
            record.headers = record.body = b""
            record.state = State.RAN

    def _trim(self) -> None:
        """Release the queue's references to records without content."""
        held = self._with_content
        while held and held[0].state is not State.FINISHED:
            held.popleft()


def key_timestamp(key: str) -> float | None:
    """Return the creation time of a UUIDv7 key (Unix seconds), else None."""
    found = _UUID7.fullmatch(key)
    if found is None:
        return None
    return int(found[1] + found[2], 16) / 1000.0


def stamp_problem(key: str, wall: float) -> calls.Answer | None:
    """Refuse a UUIDv7 key from the future or older than the retention.

    wall is the present Unix time. Without this, a key could come back after its
    record expired, or pass as newer than a gap in the records.
    """
    stamp = key_timestamp(key)
    if stamp is None:
        return None
    if stamp > wall + CLOCK_TOLERANCE_S:
        return calls.refuse(
            calls.RefusalKind.BAD_REQUEST,
            "the idempotency key was stamped in the future",
        )
    if stamp < wall - RETENTION_S:
        return calls.refuse(
            calls.RefusalKind.OUTCOME_UNKNOWN,
            "the idempotency key is older than the records",
            calls.Outcome.UNKNOWN,
        )
    return None


def content_of(answer: calls.Answer) -> tuple[bytes, bytes] | None:
    """Return the packed headers and the body, None if they are not to be kept."""
    if answer.refusal is not None or answer.body_stream is not None:
        return None
    headers = messages.pack_headers(answer.headers)
    if len(headers) > MAX_HEADER_BYTES or len(answer.body) > MAX_BODY_BYTES:
        return None
    return headers, answer.body


def from_message(message: messages.Record) -> Record:
    """Return a record without outcome for what a message names."""
    slot = (message.service, message.slot)
    key = (message.account, message.key)
    return Record(slot, key, message.digest, message.origin, message.id)
