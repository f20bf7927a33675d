"""Runs recorded calls as owner of their slots, and keeps copies as backup."""

import asyncio
import collections
import dataclasses
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Protocol

from absl import logging

from toucanfold import calls, link, messages, model, outcomes, records, slotstates
from toucanfold import clock as clocks

# An intent that the backup does not acknowledge in this time is withdrawn. Far above
# a round trip inside a region (about 3 ms) and far below callers' deadlines.
INTENT_TIMEOUT_S = 0.3
INTENT_RETRY_DELAY_S = 0.02
# Resends that wait for one running execution at a time.
MAX_WAITERS = 16
EXPIRY_INTERVAL_S = 30.0
# The request digest covers the body, so it is buffered completely before a call runs.
MAX_BODY_BYTES = 16 << 20
MAX_BUFFERED_BYTES = 64 << 20
MAX_CONCURRENT_SYNCS = 4
SYNC_WINDOW_BYTES = 1 << 20
SYNC_POLL_INTERVAL_S = 0.01
SYNC_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2
# Outcomes for an unreachable daemon are discarded after this time; the backup that
# replaces it gets a complete copy.
OUTBOX_TIMEOUT_S = 10.0
MAX_OUTBOX_MESSAGES = 10_000


class Sender(Protocol):
    """Routes a call to a target."""

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call and return its answer or refusal."""


class Links(Protocol):
    """Links to other daemons."""

    async def link_to(self, target: model.Target) -> link.Link | None:
        """Return an open link, None if there is none and it cannot be opened."""


class Owner:
    """Runs each recorded call at most once and keeps its outcome at two daemons.

    An execution continues after its caller disconnects, so that a resend finds its
    outcome.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        sender: Sender,
        links: Links,
        clock: Callable[[], float] = clocks.now,
        unix_time: Callable[[], float] = time.time,
    ):
        self.table = outcomes.RecordTable(name, incarnation)
        self._sender = sender
        self._links = links
        self._clock = clock
        self._unix_time = unix_time
        self._state = model.FleetState()
        self._executions: dict[int, asyncio.Task[calls.Answer]] = {}
        self._waiters: collections.Counter[int] = collections.Counter()
        self._acks: dict[
            int, tuple[slotstates.DaemonKey, asyncio.Future[messages.IntentAck]]
        ] = {}
        self._outboxes: dict[str, collections.deque[messages.Message]] = {}
        # Ordered, so that tests repeat the same history.
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._syncing: set[tuple[records.SlotKey, int]] = set()
        self._sync_semaphore = asyncio.Semaphore(MAX_CONCURRENT_SYNCS)
        self._buffered_bytes = 0
        self._expired_at = float("-inf")

    @property
    def is_idle(self) -> bool:
        """Whether no recorded call runs and no outcome waits to be sent."""
        return not self._executions and not any(self._outboxes.values())

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a recorded call, or answer it from its record.

        A body stream is buffered first; bodies above MAX_BODY_BYTES are refused.
        """
        self._expire()
        if call.body_stream is None:
            return await self._run_buffered(call)
        chunks: list[bytes] = [call.body]
        try:
            refusal = await self._read_body(call.body_stream, chunks)
            if refusal is not None:
                return refusal
            body = b"".join(chunks)
            complete_call = dataclasses.replace(call, body=body, body_stream=None)
            return await self._run_buffered(complete_call)
        finally:
            self._buffered_bytes -= sum(map(len, chunks[1:]))

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply a new fleet state and copy records to new backups."""
        self._state = state
        self.table.on_state(now, self._unix_time(), state)
        for slot_state in self.table.unsynced():
            name = (slot_state.slot, slot_state.epoch)
            if name not in self._syncing:
                self._syncing.add(name)
                self._spawn(self._sync(slot_state))
        self._expire()

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Handle an intent, an acknowledgement, a record or a chunk of a copy."""
        if source.peer is None:
            return
        now = self._clock()
        peer = (source.peer.name, source.peer.incarnation)
        if isinstance(message, messages.IntentAck):
            self._on_intent_ack(peer, message)
        elif isinstance(message, messages.Record):
            self._enqueue(self.table.on_record(now, message))
        elif isinstance(message, messages.Intent):
            _reply(source, self.table.on_intent(now, peer, message))
        elif isinstance(message, messages.RecordSync):
            _reply(source, self.table.on_sync(now, peer, message))

    def complete_copies(self) -> list[tuple[str, int, int]]:
        """Return (service, slot, epoch) of the slots this daemon may be promoted in."""
        return self.table.complete_copies()

    async def close(self) -> None:
        """Cancel executions and copies; outcomes of these executions are unknown."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_buffered(self, call: calls.Call) -> calls.Answer:
        now = self._clock()
        digest = outcomes.digest_of(call)
        decision = self.table.begin(now, self._unix_time(), call, digest)
        if decision.answer is not None:
            return decision.answer
        record = decision.record
        assert record is not None
        if decision.step is outcomes.Step.AWAIT_RUNNING:
            return await self._await_execution(call, record)
        task = self._spawn(self._execute(call, record, decision.intent))
        self._executions[record.id] = task
        answer = await self._await_answer(call, task)
        if answer is None:
            return calls.refuse(
                calls.RefusalKind.DEADLINE_EXCEEDED,
                f"{call.service} did not answer in time",
                calls.Outcome.UNKNOWN,
            )
        return answer

    async def _await_execution(
        self, call: calls.Call, record: records.Record
    ) -> calls.Answer:
        """Wait for the running execution until the deadline of the resend."""
        task = self._executions.get(record.id)
        if task is None or self._waiters[record.id] >= MAX_WAITERS:
            return outcomes.still_running()
        self._waiters[record.id] += 1
        try:
            answer = await self._await_answer(call, task)
        finally:
            self._waiters[record.id] -= 1
            if not self._waiters[record.id]:
                del self._waiters[record.id]
        if answer is None:
            return outcomes.still_running()
        answer.attempts_spent = 0
        if answer.body_stream is not None:
            # Only the first caller reads the body stream.
            return record.answer()
        return answer

    async def _await_answer(
        self, call: calls.Call, task: asyncio.Task[calls.Answer]
    ) -> calls.Answer | None:
        """Return a copy of the execution's answer, None at the deadline."""
        remaining_s = max(0.0, call.deadline - self._clock())
        done, _ = await asyncio.wait((task,), timeout=remaining_s)
        if not done:
            return None
        answer = task.result()
        refusal = answer.refusal and dataclasses.replace(answer.refusal)
        return dataclasses.replace(answer, refusal=refusal)

    async def _execute(
        self, call: calls.Call, record: records.Record, intent: messages.Intent | None
    ) -> calls.Answer:
        answer = calls.refuse(
            calls.RefusalKind.OUTCOME_UNKNOWN,
            "the run of the request was broken off",
            calls.Outcome.UNKNOWN,
        )
        try:
            refusal = None
            if intent is not None:
                refusal = await self._ask_backup(call, record, intent)
            answer = refusal or await self._sender.run(call)
        except Exception:
            logging.exception("execution of a recorded call to %s failed", call.service)
        finally:
            del self._executions[record.id]
            self._enqueue(self.table.finish(self._clock(), record, answer))
        return answer

    async def _ask_backup(
        self, call: calls.Call, record: records.Record, intent: messages.Intent
    ) -> calls.Answer | None:
        """Return None once the backup has recorded the intent, else a refusal."""
        limit = min(INTENT_TIMEOUT_S, call.deadline - self._clock())
        refusal = outcomes.overloaded("the backup did not acknowledge the record")
        try:
            async with asyncio.timeout(limit):
                ack = await self._send_intent(intent)
        except TimeoutError:
            return refusal
        finally:
            self._acks.pop(intent.id, None)
        if ack is None:
            return refusal
        if self.table.confirm(record, ack):
            return None
        return outcomes.moved() if ack.epoch > intent.epoch else refusal

    async def _send_intent(self, intent: messages.Intent) -> messages.IntentAck | None:
        """Send an intent until the backup replies at its epoch; None if it cannot."""
        while True:
            slot_state = self.table.slot_states.find((intent.service, intent.slot))
            if slot_state is None or slot_state.epoch != intent.epoch:
                return None
            connected = await self._link_to(slot_state.backup)
            if connected is None:
                return None
            reply: asyncio.Future[messages.IntentAck]
            reply = asyncio.get_running_loop().create_future()
            self._acks[intent.id] = (slot_state.backup, reply)
            if not connected.send(intent):
                return None
            ack = await reply
            if ack.accepted or ack.epoch >= intent.epoch:
                return ack
            await asyncio.sleep(INTENT_RETRY_DELAY_S)

    async def _link_to(self, daemon: slotstates.DaemonKey) -> link.Link | None:
        """Return a link to this incarnation of a daemon, None if there is none."""
        target = self._state.targets.get(daemon[0])
        if target is None or target.incarnation != daemon[1]:
            return None
        opened = await self._links.link_to(target)
        if opened is None or opened.peer is None:
            return None
        return opened if opened.peer.incarnation == daemon[1] else None

    def _on_intent_ack(
        self, peer: slotstates.DaemonKey, ack: messages.IntentAck
    ) -> None:
        waiting = self._acks.get(ack.id)
        if waiting is None or waiting[0] != peer:
            return
        if not waiting[1].done():
            waiting[1].set_result(ack)

    async def _sync(self, slot_state: slotstates.SlotState) -> None:
        """Copy the records of a slot to its backup until it acknowledges them."""
        try:
            while self._is_current(slot_state) and not slot_state.is_synced:
                async with self._sync_semaphore:
                    is_done = await self._sync_once(slot_state)
                if not is_done:
                    await asyncio.sleep(RETRY_DELAY_S)
        finally:
            self._syncing.discard((slot_state.slot, slot_state.epoch))

    async def _sync_once(self, slot_state: slotstates.SlotState) -> bool:
        sync_id = self.table.next_id()
        probe = messages.Intent(
            sync_id, slot_state.slot[0], slot_state.slot[1], slot_state.epoch
        )
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                ack = await self._send_intent(probe)
                connected = await self._link_to(slot_state.backup)
                if ack is None or not ack.accepted or connected is None:
                    return False
                reply: asyncio.Future[messages.IntentAck]
                reply = asyncio.get_running_loop().create_future()
                self._acks[sync_id] = (slot_state.backup, reply)
                if not await self._send_chunks(slot_state, sync_id, connected):
                    return False
                await reply
        except TimeoutError:
            return False
        finally:
            self._acks.pop(sync_id, None)
        self.table.on_synced(slot_state.slot, slot_state.epoch)
        return True

    async def _send_chunks(
        self, slot_state: slotstates.SlotState, sync_id: int, connected: link.Link
    ) -> bool:
        for chunk in self.table.sync_chunks(self._clock(), slot_state, sync_id):
            while connected.buffered_bytes > SYNC_WINDOW_BYTES:
                await asyncio.sleep(SYNC_POLL_INTERVAL_S)
            if not self._is_current(slot_state) or not connected.send(chunk):
                return False
        return True

    def _is_current(self, slot_state: slotstates.SlotState) -> bool:
        return self.table.slot_states.find(slot_state.slot) is slot_state

    def _enqueue(self, outgoing_messages: list[outcomes.OutgoingMessage]) -> None:
        for name, message in outgoing_messages:
            outbox = self._outboxes.get(name)
            if outbox is None:
                outbox = collections.deque(maxlen=MAX_OUTBOX_MESSAGES)
                self._outboxes[name] = outbox
                self._spawn(self._flush_outbox(name, outbox))
            outbox.append(message)

    async def _flush_outbox(
        self, name: str, outbox: collections.deque[messages.Message]
    ) -> None:
        """Send the queued messages in order, for at most OUTBOX_TIMEOUT_S."""
        flush_deadline = self._clock() + OUTBOX_TIMEOUT_S
        try:
            while outbox and self._clock() < flush_deadline:
                target = self._state.targets.get(name)
                if target is None:
                    return
                connected = await self._links.link_to(target)
                while connected is not None and outbox and connected.send(outbox[0]):
                    outbox.popleft()
                if outbox:
                    await asyncio.sleep(RETRY_DELAY_S)
        finally:
            del self._outboxes[name]

    async def _read_body(
        self, stream: AsyncIterator[bytes], chunks: list[bytes]
    ) -> calls.Answer | None:
        """Append the stream to chunks; return a refusal if it is too large."""
        size = len(chunks[0])
        async for chunk in stream:
            chunks.append(chunk)
            size += len(chunk)
            self._buffered_bytes += len(chunk)
            if size > MAX_BODY_BYTES:
                return calls.refuse(
                    calls.RefusalKind.TOO_LARGE,
                    f"a recorded call may have at most {MAX_BODY_BYTES} bytes",
                )
            if self._buffered_bytes > MAX_BUFFERED_BYTES:
                return outcomes.overloaded("too many long bodies are being read")
        return None

    def _expire(self) -> None:
        now = self._clock()
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self.table.store.expire(now)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)
        return task


def _reply(source: link.Link, ack: messages.IntentAck | None) -> None:
    if ack is not None:
        source.send(ack)
