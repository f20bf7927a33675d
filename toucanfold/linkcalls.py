"""Calls over one link: ids, answers, streamed bodies under credit, cancellation."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from typing import Protocol

from absl import logging

from toucanfold import bodies, calls, eagertask, exceptions, link, messages

# Time after the deadline in which the peer's own refusal may still arrive; it tells
# more than the refusal made here, which can only say "unknown".
ANSWER_GRACE_S = 0.03
# Credit is given back in steps, so that small parts do not cost a frame each.
CREDIT_STEP_BYTES = 32 << 10
# Bodies wait while this much is unsent on their link. It keeps the link's buffer
# bounded however many bodies share it, and short calls from waiting behind them.
FULL_LINK_BYTES = 1 << 20
FULL_LINK_PAUSE_S = 0.005


class CallRunner(Protocol):
    """Everything a call passes through; cancelling the task cancels the call."""

    async def run(self, call: calls.Call) -> calls.Answer:
        """Return the answer of a call."""


class _Sender:
    """Sends one body as frames while the receiver's credit lasts."""

    __slots__ = ("_credit", "_from_caller", "_id", "_link", "_waiter")

    def __init__(self, opened: link.Link, call_id: int, from_caller: bool):
        self._link = opened
        self._id = call_id
        self._from_caller = from_caller
        self._credit = bodies.STREAM_WINDOW_BYTES
        self._waiter: asyncio.Future[None] | None = None

    def grant(self, size: int) -> None:
        """Add credit that the receiver gave back."""
        self._credit += size
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def send(self, stream: AsyncIterator[bytes]) -> None:
        """Send all parts, and at the end whether the body is complete."""
        try:
            async for part in stream:
                for start in range(0, len(part), bodies.MAX_BUFFERED_BODY_BYTES):
                    piece = part[start : start + bodies.MAX_BUFFERED_BODY_BYTES]
                    await self._reserve(len(piece))
                    if not self._send(piece):
                        return
            self._send(b"", last=True)
        except exceptions.BodyAbortedError:
            self._send(b"", last=True, aborted=True)
        except asyncio.CancelledError:
            self._send(b"", last=True, aborted=True)
            raise
        finally:
            bodies.cancel(stream)

    async def _reserve(self, size: int) -> None:
        while self._credit < size:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._credit -= size
        while self._link.buffered_bytes > FULL_LINK_BYTES:
            await asyncio.sleep(FULL_LINK_PAUSE_S)

    def _send(self, data: bytes, last: bool = False, aborted: bool = False) -> bool:
        return self._link.send(
            messages.Body(self._id, self._from_caller, data, last, aborted)
        )


class _Receiver:
    """Turns body frames into a stream and gives credit back as it is read."""

    __slots__ = ("_from_caller", "_id", "_link", "_owed", "stream")

    def __init__(self, opened: link.Link, call_id: int, from_caller: bool):
        self._link = opened
        self._id = call_id
        self._from_caller = from_caller
        self._owed = 0
        self.stream = bodies.BodyStream(self._on_consumed)

    def receive(self, body: messages.Body) -> bool:
        """Take one frame; False if the sender exceeded its credit."""
        if body.aborted:
            self.stream.abort("the sender's body broke off")
            return True
        self.stream.put(body.data)
        if self.stream.buffered_bytes > bodies.STREAM_WINDOW_BYTES:
            return False
        if body.last:
            self.stream.finish()
        return True

    def _on_consumed(self, size: int) -> None:
        self._owed += size
        if self._owed >= CREDIT_STEP_BYTES and not self.stream.is_ended:
            self._link.send(messages.Credit(self._id, self._from_caller, self._owed))
            self._owed = 0


class _Outgoing:
    """A call sent to the peer."""

    __slots__ = ("answer", "attempts", "pump", "receiver", "sender", "timer")

    def __init__(self, answer: "asyncio.Future[calls.Answer]", attempts: int):
        self.answer = answer
        self.attempts = attempts
        self.sender: _Sender | None = None
        self.pump: asyncio.Task[None] | None = None
        self.receiver: _Receiver | None = None
        self.timer: asyncio.TimerHandle | None = None


class _Incoming:
    """A call received from the peer."""

    __slots__ = ("receiver", "sender", "task")

    def __init__(self) -> None:
        self.receiver: _Receiver | None = None
        self.sender: _Sender | None = None
        self.task: asyncio.Task[None] | None = None


class Session:
    """All calls over one link, in both directions; ids are never used again."""

    def __init__(self, opened: link.Link, runner: CallRunner, service: str):
        self.link = opened
        self.going_away = False
        self.refusing = False
        self.last_used = asyncio.get_running_loop().time()
        self._loop = asyncio.get_running_loop()
        self._runner = runner
        self._service = service
        self._ids = itertools.count(1)
        self._outgoing: dict[int, _Outgoing] = {}
        self._incoming: dict[int, _Incoming] = {}
        self._last_incoming_id = 0

    @property
    def outgoing(self) -> int:
        """Number of calls that wait for the peer's answer."""
        return len(self._outgoing)

    @property
    def incoming(self) -> int:
        """Number of the peer's calls that run here."""
        return len(self._incoming)

    @property
    def is_busy(self) -> bool:
        """Whether any call runs in either direction."""
        return bool(self._outgoing or self._incoming)

    async def run(self, call: calls.Call) -> calls.Answer:
        """Send a call to the peer and return its answer."""
        now = self._loop.time()
        if call.deadline <= now:
            return calls.refuse(
                calls.RefusalKind.DEADLINE_EXCEEDED, "the deadline has passed"
            )
        call_id = next(self._ids)
        if not self.link.send(to_message(call, call_id, now)):
            return calls.refuse(calls.RefusalKind.NO_TARGET, "the link was lost")
        entry = _Outgoing(self._loop.create_future(), call.attempts_left)
        self._outgoing[call_id] = entry
        entry.timer = self._loop.call_at(
            call.deadline + ANSWER_GRACE_S, self._on_late, call_id
        )
        if call.body_stream is not None:
            entry.sender = _Sender(self.link, call_id, from_caller=True)
            entry.pump = self._loop.create_task(entry.sender.send(call.body_stream))
        try:
            return await entry.answer
        except asyncio.CancelledError:
            self._abandon(call_id)
            raise

    def on_message(self, message: messages.Message) -> None:
        """Handle a message of a call."""
        self.last_used = self._loop.time()
        if type(message) is messages.Call:
            self._on_call(message)
        elif type(message) is messages.Answer:
            self._on_answer(message)
        elif type(message) is messages.Body:
            self._on_body(message)
        elif type(message) is messages.Credit:
            self._on_credit(message)
        elif type(message) is messages.Cancel:
            self._on_cancel(message.id)
        elif type(message) is messages.Goaway:
            self.going_away = True

    def on_close(self, reason: str) -> None:
        """Resolve what was sent as unknown and cancel the peer's calls."""
        for call_id in list(self._outgoing):
            self._lose(call_id, calls.RefusalKind.TARGET_FAILED, f"link lost: {reason}")
        for entry in list(self._incoming.values()):
            if entry.receiver is not None:
                entry.receiver.stream.abort("the link was lost")
            if entry.task is not None:
                entry.task.cancel()

    def _lose(self, call_id: int, kind: calls.RefusalKind, message: str) -> None:
        entry = self._remove(call_id)
        if entry is None:
            return
        if entry.receiver is not None:
            entry.receiver.stream.abort(message)
        if not entry.answer.done():
            lost = calls.refuse(kind, message, calls.Outcome.UNKNOWN)
            # The peer may have spent them all, and the sum must not grow.
            lost.attempts_spent = entry.attempts
            entry.answer.set_result(lost)

    def _on_late(self, call_id: int) -> None:
        self.link.send(messages.Cancel(call_id))
        self._lose(
            call_id,
            calls.RefusalKind.DEADLINE_EXCEEDED,
            "no answer before the deadline",
        )

    def _abandon(self, call_id: int) -> None:
        entry = self._remove(call_id)
        if entry is not None:
            self.link.send(messages.Cancel(call_id))

    def _remove(self, call_id: int) -> _Outgoing | None:
        entry = self._outgoing.pop(call_id, None)
        if entry is None:
            return None
        self.last_used = self._loop.time()
        if entry.timer is not None:
            entry.timer.cancel()
        if entry.pump is not None:
            entry.pump.cancel()
        return entry

    def _on_answer(self, message: messages.Answer) -> None:
        entry = self._outgoing.get(message.id)
        if entry is None or entry.answer.done():
            # Late: the call was cancelled or its deadline passed.
            return
        answer = from_answer(message)
        if message.body_more:
            self._receive_answer_body(message.id, entry, answer)
        else:
            self._remove(message.id)
        entry.answer.set_result(answer)

    def _receive_answer_body(
        self, call_id: int, entry: _Outgoing, answer: calls.Answer
    ) -> None:
        if entry.pump is not None:
            entry.pump.cancel()
        entry.receiver = _Receiver(self.link, call_id, from_caller=False)
        answer.body_stream = entry.receiver.stream
        entry.receiver.stream.on_end(
            lambda complete: self._on_answer_end(call_id, complete)
        )

    def _on_answer_end(self, call_id: int, complete: bool) -> None:
        if complete:
            self._remove(call_id)
        else:
            self._abandon(call_id)

    def _on_body(self, message: messages.Body) -> None:
        entry: _Incoming | _Outgoing | None
        if message.from_caller:
            entry = self._incoming.get(message.id)
        else:
            entry = self._outgoing.get(message.id)
        if entry is None or entry.receiver is None:
            return
        if not entry.receiver.receive(message):
            self.link.close("the peer sent more of a body than it was allowed")

    def _on_credit(self, message: messages.Credit) -> None:
        entry: _Incoming | _Outgoing | None
        if message.from_caller:
            entry = self._outgoing.get(message.id)
        else:
            entry = self._incoming.get(message.id)
        if entry is not None and entry.sender is not None:
            entry.sender.grant(message.size)

    def _on_cancel(self, call_id: int) -> None:
        entry = self._incoming.get(call_id)
        if entry is None:
            return
        if entry.receiver is not None:
            entry.receiver.stream.abort("the caller cancelled")
        if entry.task is not None:
            entry.task.cancel()

    def _on_call(self, message: messages.Call) -> None:
        if message.id <= self._last_incoming_id:
            self.link.close("the peer used a call id again")
            return
        self._last_incoming_id = message.id
        refusal = self._refusal(message)
        if refusal is not None:
            self.link.send(to_answer(refusal, message.id))
            return
        call = from_message(message, self._loop.time())
        entry = _Incoming()
        if message.body_more:
            entry.receiver = _Receiver(self.link, message.id, from_caller=True)
            call.body_stream = entry.receiver.stream
        self._incoming[message.id] = entry
        coroutine = self._serve(message.id, entry, call)
        entry.task = eagertask.start_eager_task(self._loop, coroutine)

    def _refusal(self, message: messages.Call) -> calls.Answer | None:
        if self.refusing:
            return calls.refuse(calls.RefusalKind.STOPPING, "this daemon is stopping")
        if message.service != self._service:
            return calls.refuse(
                calls.RefusalKind.NO_TARGET, f"no target of {message.service} is here"
            )
        return None

    async def _serve(self, call_id: int, entry: _Incoming, call: calls.Call) -> None:
        stream = None
        try:
            answer = await self._runner.run(call)
            stream = answer.body_stream
            self.link.send(to_answer(answer, call_id))
            if stream is not None:
                entry.sender = _Sender(self.link, call_id, from_caller=False)
                await entry.sender.send(stream)
        except Exception:
            logging.exception("a call from a link failed")
            failed = calls.refuse(
                calls.RefusalKind.TARGET_FAILED, "internal error", calls.Outcome.UNKNOWN
            )
            self.link.send(to_answer(failed, call_id))
        finally:
            bodies.cancel(stream)
            if entry.receiver is not None:
                entry.receiver.stream.cancel()
            self._incoming.pop(call_id, None)


def to_message(call: calls.Call, call_id: int, now: float) -> messages.Call:
    """Return the frame of a call, with times relative to now."""
    return messages.Call(
        id=call_id,
        root_id=call.root_id,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=messages.pack_headers(call.headers),
        body=call.body,
        body_more=call.body_stream is not None,
        account=call.account,
        weight=call.weight,
        rank=call.rank,
        depth=call.depth,
        priority=call.priority,
        root_age_ms=max(0, int((now - call.root_started_at) * 1000)),
        timeout_ms=max(1, int((call.deadline - now) * 1000)),
        attempts_left=call.attempts_left,
        idempotent=call.idempotent,
        idempotency_key=call.idempotency_key,
        route=call.route,
        slot=call.slot,
        slot_epoch=call.slot_epoch,
    )


def from_message(message: messages.Call, now: float) -> calls.Call:
    """Return the call of a frame, with times on this process's clock."""
    return calls.Call(
        root_id=message.root_id,
        service=message.service,
        method=message.method,
        path=message.path,
        headers=messages.unpack_headers(message.headers),
        body=message.body,
        account=message.account,
        rank=message.rank,
        idempotent=message.idempotent,
        deadline=now + message.timeout_ms / 1000,
        root_started_at=now - message.root_age_ms / 1000,
        route=message.route,
        weight=message.weight,
        depth=message.depth,
        priority=message.priority,
        attempts_left=message.attempts_left,
        idempotency_key=message.idempotency_key,
        slot=message.slot,
        slot_epoch=message.slot_epoch,
    )


def to_answer(answer: calls.Answer, call_id: int) -> messages.Answer:
    """Return the frame of an answer."""
    refusal = answer.refusal
    return messages.Answer(
        id=call_id,
        status=answer.status,
        headers=messages.pack_headers(answer.headers),
        body=answer.body,
        body_more=answer.body_stream is not None,
        outcome=int(answer.outcome),
        kind="" if refusal is None else refusal.kind.value,
        retry_after_ms=0 if refusal is None else refusal.retry_after_ms,
        message="" if refusal is None else refusal.message,
        attempts_spent=answer.attempts_spent,
        retried=answer.retried,
        level=answer.level,
        limit=answer.limit,
        in_flight=answer.in_flight,
        target_us=int(answer.target_seconds * 1e6),
        undispatched=answer.undispatched,
    )


def from_answer(message: messages.Answer) -> calls.Answer:
    """Return the answer of a frame."""
    outcome = calls.Outcome(message.outcome)
    refusal = None
    if message.kind:
        refusal = calls.Refusal(
            calls.RefusalKind(message.kind),
            outcome,
            message.message,
            message.retry_after_ms,
        )
    return calls.Answer(
        status=message.status,
        headers=messages.unpack_headers(message.headers),
        body=message.body,
        outcome=outcome,
        refusal=refusal,
        attempts_spent=message.attempts_spent,
        retried=message.retried,
        level=message.level,
        limit=message.limit,
        in_flight=message.in_flight,
        target_seconds=message.target_us / 1e6,
        undispatched=message.undispatched,
    )
