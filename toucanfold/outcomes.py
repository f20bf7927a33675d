"""At-most-once decisions of slot owners and backups, without sockets or clocks."""

import dataclasses
import enum
import hashlib
from collections.abc import Iterator

from toucanfold import calls, messages, model, records, slotstates

STILL_RUNNING_RETRY_AFTER_MS = 250
OVERLOADED_RETRY_AFTER_MS = 300
MOVED_RETRY_AFTER_MS = 200
SYNC_CHUNK_BYTES = 256 * 1024
RECORD_OVERHEAD_BYTES = 200
OutgoingMessage = tuple[str, messages.Message]


class Step(enum.Enum):
    """What the owner does with a call."""

    ANSWER = 1
    AWAIT_RUNNING = 2
    ASK_BACKUP = 3
    RUN = 4


@dataclasses.dataclass(slots=True)
class Decision:
    """A step, with the answer or with the record and the intent for the backup."""

    step: Step
    answer: calls.Answer | None = None
    record: records.Record | None = None
    intent: messages.Intent | None = None


class RecordTable:
    """Records of the slots in which one daemon incarnation has a role."""

    __slots__ = ("_incarnation", "_next_id", "slot_states", "store")

    def __init__(
        self, name: str, incarnation: int, store: records.RecordStore | None = None
    ):
        self.store = store or records.RecordStore()
        self.slot_states = slotstates.SlotStates(name, incarnation, self.store)
        self._incarnation = incarnation
        self._next_id = 0

    def next_id(self) -> int:
        """Return an id that this incarnation has not used."""
        self._next_id += 1
        return self._next_id

    def complete_copies(self) -> list[tuple[str, int, int]]:
        """Return (service, slot, epoch) of the complete copies held as backup."""
        return [
            (*slot_state.slot, slot_state.epoch)
            for slot_state in self.slot_states.of_role(slotstates.Role.BACKUP)
            if slot_state.is_complete
        ]

    def on_state(self, now: float, unix_time: float, state: model.FleetState) -> None:
        """Apply the slot table; slots whose epoch has not increased are ignored.

        now is the local monotonic clock, unix_time the Unix time (s).
        """
        self.slot_states.apply(now, unix_time, state)

    def begin(
        self, now: float, unix_time: float, call: calls.Call, digest: bytes
    ) -> Decision:
        """Decide on a call that was sent to this daemon as the owner of its slot."""
        slot = (call.service, call.slot)
        slot_state = self.slot_states.find(slot)
        if slot_state is None or not slot_state.is_owner:
            return _answered(moved())
        if call.slot_epoch > slot_state.epoch:
            return _answered(moved())
        existing = self.store.find(slot, (call.account, call.idempotency_key))
        if existing is not None:
            return self._decide_resend(now, existing, digest)
        refusal = self._refuse_new_call(
            now, unix_time, slot_state, call.idempotency_key
        )
        if refusal is not None:
            return _answered(refusal)
        key = (call.account, call.idempotency_key)
        record = records.Record(slot, key, digest, self._incarnation, self.next_id())
        self.store.put(now, record)
        if slot_state.backup == slotstates.NO_DAEMON:
            record.state = records.State.RUNNING
            return Decision(Step.RUN, record=record)
        return Decision(
            Step.ASK_BACKUP, record=record, intent=_intent(slot_state, record)
        )

    def confirm(self, record: records.Record, ack: messages.IntentAck) -> bool:
        """Whether the call may run now that the backup has replied."""
        slot_state = self.slot_states.find(record.slot)
        if slot_state is None or not slot_state.is_owner or not ack.accepted:
            return False
        is_current = self.store.is_current(record)
        if ack.epoch != slot_state.epoch or not is_current:
            return False
        if record.state is not records.State.INTENT:
            return False
        record.state = records.State.RUNNING
        return True

    def withdraw(self, now: float, record: records.Record) -> list[OutgoingMessage]:
        """Remove an execution that was not sent to a target and will not be."""
        stored = self._find_execution(record)
        if stored is not None:
            self.store.remove(stored)
        record.state = records.State.WITHDRAWN
        return self._address_outcome(record.to_message(now, 0))

    def finish(
        self, now: float, record: records.Record, answer: calls.Answer
    ) -> list[OutgoingMessage]:
        """Record the outcome of an execution and return the messages that copy it."""
        if answer.outcome is calls.Outcome.NOT_RUN:
            return self.withdraw(now, record)
        content = records.content_of(answer)
        state = records.State.RAN if content is None else records.State.FINISHED
        if answer.outcome is calls.Outcome.UNKNOWN:
            state = records.State.UNKNOWN
        message = record.to_message(now, 0)
        message.state, message.status = int(state), answer.status
        message.headers, message.body = content or (b"", b"")
        # The store holds another record of the same execution if this daemon lost
        # the ownership and became the backup in the meantime.
        stored = self._find_execution(record)
        if stored is not None:
            self.store.set_outcome(
                stored, now, state, answer.status, content or (b"", b"")
            )
        return self._address_outcome(message)

    def on_intent(
        self, now: float, peer: slotstates.DaemonKey, message: messages.Intent
    ) -> messages.IntentAck | None:
        """Record an intent as backup; None for a delayed or repeated message."""
        slot = (message.service, message.slot)
        slot_state = self.slot_states.find(slot)
        epoch = slot_state.epoch if slot_state else self.slot_states.epoch_of(slot)
        refused = messages.IntentAck(message.id, False, epoch)
        if slot_state is None or slot_state.is_owner or slot_state.owner != peer:
            return refused
        if slot_state.epoch != message.epoch:
            return refused
        if not message.key:
            return messages.IntentAck(message.id, True, epoch)
        if message.id <= slot_state.last_intent:
            return None
        slot_state.last_intent = message.id
        key = (message.account, message.key)
        existing = self.store.find(slot, key)
        # The owner removes a finished record slightly before its backup does, so the
        # backup may still have an outcome for a key that the owner takes as new.
        if existing is not None and existing.has_ended:
            return refused
        if existing is None and not self.store.has_spare_capacity:
            return refused
        record = records.Record(slot, key, message.digest, peer[1], message.id)
        self.store.put(now, record)
        return messages.IntentAck(message.id, True, epoch)

    def on_record(self, now: float, message: messages.Record) -> list[OutgoingMessage]:
        """Record the outcome of another daemon's execution; an owner forwards it."""
        slot_state = self.slot_states.find((message.service, message.slot))
        if slot_state is None:
            return []
        if slot_state.is_owner and message.origin == self._incarnation:
            return []
        if message.state == records.State.WITHDRAWN:
            changed = self._remove_withdrawn(slot_state, message)
        else:
            changed = self._merge(now, slot_state, message)
        if not changed or not slot_state.is_owner:
            return []
        return self._address_outcome(dataclasses.replace(message))

    def on_sync(
        self, now: float, peer: slotstates.DaemonKey, message: messages.RecordSync
    ) -> messages.IntentAck | None:
        """Merge a chunk of the owner's records; acknowledge the last chunk."""
        slot_state = self.slot_states.find((message.service, message.slot))
        if slot_state is None or slot_state.is_owner or slot_state.owner != peer:
            return None
        if slot_state.epoch != message.epoch or message.id < slot_state.sync_id:
            return None
        if message.index == 0:
            slot_state.sync_id, slot_state.sync_index = message.id, 0
        if message.id != slot_state.sync_id or message.index != slot_state.sync_index:
            return None
        slot_state.sync_index += 1
        for item in message.records:
            self._merge(now, slot_state, item)
        if not message.last:
            return None
        slot_state.is_complete = True
        return messages.IntentAck(message.id, True, slot_state.epoch)

    def unsynced(self) -> list[slotstates.SlotState]:
        """Return the slots owned here whose backup needs a copy of the records."""
        return [
            slot_state
            for slot_state in self.slot_states.of_role(slotstates.Role.OWNER)
            if not slot_state.is_synced
            and slot_state.blocked_on == slotstates.NO_DAEMON
        ]

    def sync_chunks(
        self, now: float, slot_state: slotstates.SlotState, sync_id: int
    ) -> Iterator[messages.RecordSync]:
        """Yield the chunks of a copy; records are read when their chunk is built."""
        chunk_records, size = [], 0
        index = 0
        if slot_state.gap_until > now:
            chunk_records.append(self._gap_marker(slot_state, now))
        for record in list(self.store.of_slot(slot_state.slot)):
            if not self.store.is_current(record):
                continue
            chunk_records.append(record.to_message(now, slot_state.epoch))
            size += record.content_bytes + RECORD_OVERHEAD_BYTES
            if size >= SYNC_CHUNK_BYTES:
                yield _sync_chunk(slot_state, sync_id, index, chunk_records, False)
                chunk_records, size, index = [], 0, index + 1
        yield _sync_chunk(slot_state, sync_id, index, chunk_records, True)

    def on_synced(self, slot: records.SlotKey, epoch: int) -> None:
        """Record that the backup of this epoch has a complete copy."""
        slot_state = self.slot_states.find(slot)
        if slot_state is not None and slot_state.epoch == epoch and slot_state.is_owner:
            slot_state.is_synced = True

    def _decide_resend(
        self, now: float, record: records.Record, digest: bytes
    ) -> Decision:
        if record.digest != digest:
            return _answered(
                calls.refuse(
                    calls.RefusalKind.CONFLICT,
                    "the idempotency key was used for a different request",
                )
            )
        if not record.has_ended:
            if record.origin == self._incarnation:
                return Decision(Step.AWAIT_RUNNING, record=record)
            if record.origin in self.slot_states.alive:
                return _answered(still_running())
            # The former owner is not alive, so whether it ran the call is unknown.
            self.store.set_outcome(record, now, records.State.UNKNOWN)
        return _answered(record.answer())

    def _refuse_new_call(
        self, now: float, unix_time: float, slot_state: slotstates.SlotState, key: str
    ) -> calls.Answer | None:
        problem = records.timestamp_refusal(key, unix_time)
        if problem is not None:
            return problem
        if slot_state.blocked_on != slotstates.NO_DAEMON:
            return overloaded(
                f"waits for proof that {slot_state.blocked_on[0]} has ended"
            )
        if slot_state.is_in_gap(now, key):
            return calls.refuse(
                calls.RefusalKind.OUTCOME_UNKNOWN,
                "records from before the loss of two instances are missing",
                calls.Outcome.UNKNOWN,
            )
        if not self.store.has_spare_capacity:
            return overloaded("too many records are kept")
        return None

    def _find_execution(self, record: records.Record) -> records.Record | None:
        """Return the stored record of the same execution, None if there is none."""
        stored = self.store.find(record.slot, record.key)
        if stored is not None and stored.is_execution(record.origin, record.id):
            return stored
        return None

    def _address_outcome(self, message: messages.Record) -> list[OutgoingMessage]:
        """Address an outcome to the backup, or to the new owner of the slot."""
        slot = (message.service, message.slot)
        message.epoch = self.slot_states.epoch_of(slot)
        slot_state = self.slot_states.find(slot)
        if slot_state is None or not slot_state.is_owner:
            name = self.slot_states.owner_of(slot)
        else:
            name = slot_state.backup[0]
        return [(name, message)] if name else []

    def _remove_withdrawn(
        self, slot_state: slotstates.SlotState, message: messages.Record
    ) -> bool:
        if not slot_state.is_owner and slot_state.owner[1] == message.origin:
            slot_state.last_intent = max(slot_state.last_intent, message.id)
        existing = self.store.find(slot_state.slot, (message.account, message.key))
        if existing is None or not existing.is_execution(message.origin, message.id):
            return False
        if existing.has_ended:
            return False
        self.store.remove(existing)
        return True

    def _merge(
        self, now: float, slot_state: slotstates.SlotState, message: messages.Record
    ) -> bool:
        """Apply a message with a later state to a record; return whether it changed."""
        state = records.State(message.state)
        if state is records.State.GAP:
            slot_state.gap_until = now + message.age_ms / 1000.0
            slot_state.gap_start_unix_time = message.id / 1000.0
            return False
        record = self.store.find(slot_state.slot, (message.account, message.key))
        if record is None or _is_older_intent(record, message):
            record = records.from_message(message)
            self.store.put(now, record)
        elif (
            not record.is_execution(message.origin, message.id) or state <= record.state
        ):
            return False
        if state >= records.State.UNKNOWN:
            ended_at = now - message.age_ms / 1000.0
            content = (message.headers, message.body)
            self.store.set_outcome(record, ended_at, state, message.status, content)
        return True

    def _gap_marker(
        self, slot_state: slotstates.SlotState, now: float
    ) -> messages.Record:
        """Return a record with a gap's remaining time and start (Unix time), in ms."""
        return messages.Record(
            service=slot_state.slot[0],
            slot=slot_state.slot[1],
            epoch=slot_state.epoch,
            state=int(records.State.GAP),
            age_ms=int((slot_state.gap_until - now) * 1000),
            id=int(slot_state.gap_start_unix_time * 1000) + 1,
        )


def digest_of(call: calls.Call) -> bytes:
    """Return the digest that requests with the same key must have in common."""
    head = f"{call.method}\0{call.path}\0".encode()
    return hashlib.blake2b(head + call.body, digest_size=16).digest()


def moved() -> calls.Answer:
    """Refuse a call whose slot has, or may have, another owner now."""
    return calls.refuse(
        calls.RefusalKind.NO_TARGET,
        "the owner of the slot is changing",
        retry_after_ms=MOVED_RETRY_AFTER_MS,
    )


def overloaded(message: str) -> calls.Answer:
    """Refuse a call that was not run because it cannot be recorded now."""
    return calls.refuse(
        calls.RefusalKind.OVERLOADED, message, retry_after_ms=OVERLOADED_RETRY_AFTER_MS
    )


def still_running() -> calls.Answer:
    """Refuse a resend while an execution of the same request is running."""
    return calls.refuse(
        calls.RefusalKind.STILL_RUNNING,
        "the same request is still running",
        calls.Outcome.UNKNOWN,
        STILL_RUNNING_RETRY_AFTER_MS,
    )


def _answered(answer: calls.Answer) -> Decision:
    return Decision(Step.ANSWER, answer=answer)


def _intent(
    slot_state: slotstates.SlotState, record: records.Record
) -> messages.Intent:
    return messages.Intent(
        id=record.id,
        service=slot_state.slot[0],
        slot=slot_state.slot[1],
        epoch=slot_state.epoch,
        account=record.key[0],
        key=record.key[1],
        digest=record.digest,
    )


def _sync_chunk(
    slot_state: slotstates.SlotState,
    sync_id: int,
    index: int,
    chunk_records: list[messages.Record],
    last: bool,
) -> messages.RecordSync:
    return messages.RecordSync(
        service=slot_state.slot[0],
        slot=slot_state.slot[1],
        epoch=slot_state.epoch,
        records=chunk_records,
        last=last,
        id=sync_id,
        index=index,
    )


def _is_older_intent(record: records.Record, message: messages.Record) -> bool:
    is_earlier = record.origin == message.origin and record.id < message.id
    return is_earlier and not record.has_ended
