"""At-most-once decisions of slot owners and backups, without sockets or clocks."""

import dataclasses
import enum
import hashlib
from collections.abc import Iterator

from toucanfold import calls, messages, model, records, slotstates

STILL_RUNNING_RETRY_MS = 250
OVERLOADED_RETRY_MS = 300
MOVED_RETRY_MS = 200
SYNC_PART_BYTES = 256 * 1024
RECORD_OVERHEAD_BYTES = 200
OutgoingMessage = tuple[str, messages.Message]


class Step(enum.Enum):
    """What the owner does with a call."""

    ANSWER = 1
    JOIN = 2
    ASK_BACKUP = 3
    RUN = 4


@dataclasses.dataclass(slots=True)
class Decision:
    """A step with the answer, or the record and the intent to send to the backup."""

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
        """Return a number that this incarnation has not used."""
        self._next_id += 1
        return self._next_id

    def complete_copies(self) -> list[tuple[str, int, int]]:
        """Return (service, slot, epoch) of the backups that may be promoted."""
        return [
            (*slot_state.slot, slot_state.epoch)
            for slot_state in self.slot_states.of_role(slotstates.Role.BACKUP)
            if slot_state.is_complete
        ]

    def on_state(self, now: float, wall: float, state: model.FleetState) -> None:
        """Apply the slot table; older epochs than the present one are ignored."""
        self.slot_states.apply(now, wall, state)

    def begin(
        self, now: float, wall: float, call: calls.Call, digest: bytes
    ) -> Decision:
        """Decide on a call that arrived at this daemon as the owner of its slot."""
        slot = (call.service, call.slot)
        slot_state = self.slot_states.find(slot)
        if slot_state is None or not slot_state.is_owner:
            return _answered(moved())
        if call.slot_epoch > slot_state.epoch:
            return _answered(moved())
        found = self.store.find(slot, (call.account, call.idempotency_key))
        if found is not None:
            return self._repeat(now, found, digest)
        refusal = self._refusal(now, wall, slot_state, call.idempotency_key)
        if refusal is not None:
            return _answered(refusal)
        key = (call.account, call.idempotency_key)
        record = records.Record(slot, key, digest, self._incarnation, self.next_id())
        self.store.put(now, record)
        if slot_state.backup == slotstates.NOBODY:
            record.state = records.State.RUNNING
            return Decision(Step.RUN, record=record)
        return Decision(
            Step.ASK_BACKUP, record=record, intent=_intent(slot_state, record)
        )

    def confirm(self, record: records.Record, ack: messages.IntentAck) -> bool:
        """Whether the call may run now, after the backup's reply."""
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
        """Forget an execution that never reached a target and never will."""
        present = self._present(record)
        if present is not None:
            self.store.remove(present)
        record.state = records.State.WITHDRAWN
        return self._report(record.to_message(now, 0))

    def finish(
        self, now: float, record: records.Record, answer: calls.Answer
    ) -> list[OutgoingMessage]:
        """Record the outcome of a run and return the messages that copy it."""
        if answer.outcome is calls.Outcome.NOT_RUN:
            return self.withdraw(now, record)
        content = records.content_of(answer)
        state = records.State.RAN if content is None else records.State.FINISHED
        if answer.outcome is calls.Outcome.UNKNOWN:
            state = records.State.UNKNOWN
        message = record.to_message(now, 0)
        message.state, message.status = int(state), answer.status
        message.headers, message.body = content or (b"", b"")
        # Another record of the same run stands in the store if this daemon was the
        # owner, left and became the backup meanwhile.
        present = self._present(record)
        if present is not None:
            self.store.end(present, now, state, answer.status, content or (b"", b""))
        return self._report(message)

    def on_intent(
        self, now: float, peer: slotstates.DaemonKey, message: messages.Intent
    ) -> messages.IntentAck | None:
        """Record an intent as backup; None for a late or repeated message."""
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
        found = self.store.find(slot, key)
        # The owner forgets what has ended a moment earlier than its backup.
        if found is not None and found.has_ended:
            return refused
        if found is None and not self.store.has_room:
            return refused
        record = records.Record(slot, key, message.digest, peer[1], message.id)
        self.store.put(now, record)
        return messages.IntentAck(message.id, True, epoch)

    def on_record(self, now: float, message: messages.Record) -> list[OutgoingMessage]:
        """Learn the end of an execution at another daemon; owners pass it on."""
        slot_state = self.slot_states.find((message.service, message.slot))
        if slot_state is None:
            return []
        if slot_state.is_owner and message.origin == self._incarnation:
            return []
        if message.state == records.State.WITHDRAWN:
            changed = self._withdrawn(slot_state, message)
        else:
            changed = self._merge(now, slot_state, message)
        if not changed or not slot_state.is_owner:
            return []
        return self._report(dataclasses.replace(message))

    def on_sync(
        self, now: float, peer: slotstates.DaemonKey, message: messages.RecordSync
    ) -> messages.IntentAck | None:
        """Take a part of the owner's records; acknowledge the last part."""
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
            if not slot_state.is_synced and slot_state.blocked_on == slotstates.NOBODY
        ]

    def sync_parts(
        self, now: float, slot_state: slotstates.SlotState, sync_id: int
    ) -> Iterator[messages.RecordSync]:
        """Return the parts of a copy; records are read when their part is made."""
        parts, size = [], 0
        index = 0
        if slot_state.gap_until > now:
            parts.append(self._gap_marker(slot_state, now))
        for record in list(self.store.of_slot(slot_state.slot)):
            if not self.store.is_current(record):
                continue
            parts.append(record.to_message(now, slot_state.epoch))
            size += record.content_bytes + RECORD_OVERHEAD_BYTES
            if size >= SYNC_PART_BYTES:
                yield _part(slot_state, sync_id, index, parts, False)
                parts, size, index = [], 0, index + 1
        yield _part(slot_state, sync_id, index, parts, True)

    def on_synced(self, slot: records.SlotKey, epoch: int) -> None:
        """Note that the backup of this epoch has a whole copy."""
        slot_state = self.slot_states.find(slot)
        if slot_state is not None and slot_state.epoch == epoch and slot_state.is_owner:
            slot_state.is_synced = True

    def _repeat(self, now: float, record: records.Record, digest: bytes) -> Decision:
        if record.digest != digest:
            return _answered(
                calls.refuse(
                    calls.RefusalKind.CONFLICT,
                    "the idempotency key was used for a different request",
                )
            )
        if not record.has_ended:
            if record.origin == self._incarnation:
                return Decision(Step.JOIN, record=record)
            if record.origin in self.slot_states.alive:
                return _answered(still_running())
            # The former owner is gone, and nobody knows whether it ran the call.
            self.store.end(record, now, records.State.UNKNOWN)
        return _answered(record.answer())

    def _refusal(
        self, now: float, wall: float, slot_state: slotstates.SlotState, key: str
    ) -> calls.Answer | None:
        problem = records.stamp_problem(key, wall)
        if problem is not None:
            return problem
        if slot_state.blocked_on != slotstates.NOBODY:
            return overloaded(
                f"waits for proof that {slot_state.blocked_on[0]} has ended"
            )
        if slot_state.is_in_gap(now, key):
            return calls.refuse(
                calls.RefusalKind.OUTCOME_UNKNOWN,
                "records from before the loss of two instances are missing",
                calls.Outcome.UNKNOWN,
            )
        if not self.store.has_room:
            return overloaded("too many records are kept")
        return None

    def _present(self, record: records.Record) -> records.Record | None:
        """Return the record in the store that is about the same execution."""
        found = self.store.find(record.slot, record.key)
        if found is not None and found.is_execution(record.origin, record.id):
            return found
        return None

    def _report(self, message: messages.Record) -> list[OutgoingMessage]:
        """Address an outcome to the backup, or to the owner that took over."""
        slot = (message.service, message.slot)
        message.epoch = self.slot_states.epoch_of(slot)
        slot_state = self.slot_states.find(slot)
        if slot_state is None or not slot_state.is_owner:
            name = self.slot_states.owner_of(slot)
        else:
            name = slot_state.backup[0]
        return [(name, message)] if name else []

    def _withdrawn(
        self, slot_state: slotstates.SlotState, message: messages.Record
    ) -> bool:
        if not slot_state.is_owner and slot_state.owner[1] == message.origin:
            slot_state.last_intent = max(slot_state.last_intent, message.id)
        found = self.store.find(slot_state.slot, (message.account, message.key))
        if found is None or not found.is_execution(message.origin, message.id):
            return False
        if found.has_ended:
            return False
        self.store.remove(found)
        return True

    def _merge(
        self, now: float, slot_state: slotstates.SlotState, message: messages.Record
    ) -> bool:
        """Take over what a message knows if it is more than this record holds."""
        state = records.State(message.state)
        if state is records.State.GAP:
            slot_state.gap_until = now + message.age_ms / 1000.0
            slot_state.gap_stamp = message.id / 1000.0
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
            self.store.end(record, ended_at, state, message.status, content)
        return True

    def _gap_marker(
        self, slot_state: slotstates.SlotState, now: float
    ) -> messages.Record:
        """Return the record that carries the rest of a gap (ms) and its stamp (ms)."""
        return messages.Record(
            service=slot_state.slot[0],
            slot=slot_state.slot[1],
            epoch=slot_state.epoch,
            state=int(records.State.GAP),
            age_ms=int((slot_state.gap_until - now) * 1000),
            id=int(slot_state.gap_stamp * 1000) + 1,
        )


def digest_of(call: calls.Call) -> bytes:
    """Return what two requests under one key must have in common."""
    head = f"{call.method}\0{call.path}\0".encode()
    return hashlib.blake2b(head + call.body, digest_size=16).digest()


def moved() -> calls.Answer:
    """Refuse a call whose slot this daemon does not own at its present epoch."""
    return calls.refuse(
        calls.RefusalKind.NO_TARGET,
        "the owner of the slot is changing",
        retry_after_ms=MOVED_RETRY_MS,
    )


def overloaded(message: str) -> calls.Answer:
    """Refuse a call that was not run because it cannot be recorded now."""
    return calls.refuse(
        calls.RefusalKind.OVERLOADED, message, retry_after_ms=OVERLOADED_RETRY_MS
    )


def still_running() -> calls.Answer:
    """Refuse a resend while the first send runs."""
    return calls.refuse(
        calls.RefusalKind.STILL_RUNNING,
        "the same request is still running",
        calls.Outcome.UNKNOWN,
        STILL_RUNNING_RETRY_MS,
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


def _part(
    slot_state: slotstates.SlotState,
    sync_id: int,
    index: int,
    parts: list[messages.Record],
    last: bool,
) -> messages.RecordSync:
    return messages.RecordSync(
        service=slot_state.slot[0],
        slot=slot_state.slot[1],
        epoch=slot_state.epoch,
        records=parts,
        last=last,
        id=sync_id,
        index=index,
    )


def _is_older_intent(record: records.Record, message: messages.Record) -> bool:
    is_earlier = record.origin == message.origin and record.id < message.id
    return is_earlier and not record.has_ended
