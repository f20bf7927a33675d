"""Calls over one link: ids, answers, cancellation, and bodies with flow control."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from absl import logging

from toucanfold import bodies, calls, eagertask, exceptions, link, messages, model

# Time after the deadline in which the peer's own refusal may still arrive. It is more
# precise than the refusal made here, whose outcome can only be "unknown".
ANSWER_GRACE_S = 0.03
# Credit is returned in steps, so that small chunks do not cost a frame each.
CREDIT_STEP_BYTES = 32 << 10
# Bodies wait while more than this is unsent on their link. This bounds the link's
# buffer however many bodies share it, and keeps short calls from waiting behind them.
LINK_HIGH_WATER_BYTES = 1 << 20
LINK_BUFFER_POLL_S = 0.005
MAX_UINT32 = (1 << 32) - 1


class CallRunner(Protocol):
    """Runs received calls; cancelling the task of run cancels the call."""

    async def run(self, call: calls.Call) -> calls.Answer:
        """Return the answer of a call."""


class _BodySender:
    """Sends one body as frames while the receiver's credit lasts."""

    __slots__ = ("_credit", "_credit_added", "_from_caller", "_id", "_link")

    def __init__(self, opened: link.Link, call_id: int, from_caller: bool):
        self._link = opened
        self._id = call_id
        self._from_caller = from_caller
        self._credit = bodies.STREAM_WINDOW_BYTES
        self._credit_added: asyncio.Future[None] | None = None

    def grant(self, size: int) -> None:
        """Add credit (bytes) that the receiver returned."""
        self._credit += size
        if self._credit_added is not None and not self._credit_added.done():
            self._credit_added.set_result(None)

    async def send(self, stream: AsyncIterator[bytes]) -> None:
        """Send all chunks, then a last frame: the body is complete or aborted."""
        try:
            async for body_chunk in stream:
                for start in range(0, len(body_chunk), bodies.MAX_BUFFERED_BODY_BYTES):
                    chunk = body_chunk[start : start + bodies.MAX_BUFFERED_BODY_BYTES]
                    await self._reserve(len(chunk))
                    if not self._send(chunk):
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
            self._credit_added = asyncio.get_running_loop().create_future()
            await self._credit_added
        self._credit -= size
        while self._link.buffered_bytes > LINK_HIGH_WATER_BYTES:
            await asyncio.sleep(LINK_BUFFER_POLL_S)

    def _send(self, data: bytes, last: bool = False, aborted: bool = False) -> bool:
        return self._link.send(
            messages.Body(self._id, self._from_caller, data, last, aborted)
        )


class _BodyReceiver:
    """Turns body frames into a stream and returns credit as it is read."""

    __slots__ = ("_from_caller", "_id", "_link", "_unreturned_bytes", "stream")

    def __init__(self, opened: link.Link, call_id: int, from_caller: bool):
        self._link = opened
        self._id = call_id
        self._from_caller = from_caller
        self._unreturned_bytes = 0
        self.stream = bodies.BodyStream(self._on_consumed)

    def receive(self, body: messages.Body) -> bool:
        """Add a frame to the stream; False if the sender exceeded its credit."""
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
        self._unreturned_bytes += size
        if self._unreturned_bytes >= CREDIT_STEP_BYTES and not self.stream.is_ended:
            self._link.send(
                messages.Credit(self._id, self._from_caller, self._unreturned_bytes)
            )
            self._unreturned_bytes = 0


class _OutgoingCall:
    """A call sent to the peer."""

    __slots__ = ("answer", "attempts", "receiver", "send_task", "sender", "timer")

    def __init__(self, answer: "asyncio.Future[calls.Answer]", attempts: int):
        self.answer = answer
        self.attempts = attempts
        self.sender: _BodySender | None = None
        self.send_task: asyncio.Task[None] | None = None
        self.receiver: _BodyReceiver | None = None
        self.timer: asyncio.TimerHandle | None = None


class _IncomingCall:
    """A call received from the peer."""

    __slots__ = ("receiver", "sender", "task")

    def __init__(self) -> None:
        self.receiver: _BodyReceiver | None = None
        self.sender: _BodySender | None = None
        self.task: asyncio.Task[None] | None = None


class Session:
    """All calls over one link, in both directions; call ids are never reused.

    service_of returns the service whose calls are accepted at present.
    """

    def __init__(
        self, opened: link.Link, runner: CallRunner, service_of: Callable[[], str]
    ):
        self.link = opened
        self.going_away = False
        self.refusing = False
        self.last_used_at = asyncio.get_running_loop().time()
        self._loop = asyncio.get_running_loop()
        self._runner = runner
        self._service_of = service_of
        self._ids = itertools.count(1)
        self._outgoing: dict[int, _OutgoingCall] = {}
        self._incoming: dict[int, _IncomingCall] = {}
        self._last_incoming_id = 0

    @property
    def outgoing(self) -> int:
        """Number of unfinished calls to the peer."""
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
        entry = _OutgoingCall(self._loop.create_future(), call.attempts_left)
        self._outgoing[call_id] = entry
        entry.timer = self._loop.call_at(
            call.deadline + ANSWER_GRACE_S, self._on_answer_timeout, call_id
        )
        if call.body_stream is not None:
            entry.sender = _BodySender(self.link, call_id, from_caller=True)
            entry.send_task = self._loop.create_task(
                entry.sender.send(call.body_stream)
            )
        try:
            return await entry.answer
        except asyncio.CancelledError:
            self._cancel_outgoing(call_id)
            raise

    def on_message(self, message: messages.Message) -> None:
        """Handle a message of a call."""
        self.last_used_at = self._loop.time()
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
        """Resolve sent calls with outcome unknown and cancel the peer's calls."""
        for call_id in list(self._outgoing):
            self._resolve_unknown(
                call_id, calls.RefusalKind.TARGET_FAILED, f"link lost: {reason}"
            )
        for entry in list(self._incoming.values()):
            if entry.receiver is not None:
                entry.receiver.stream.abort("the link was lost")
            if entry.task is not None:
                entry.task.cancel()

    def _resolve_unknown(
        self, call_id: int, kind: calls.RefusalKind, message: str
    ) -> None:
        entry = self._remove_outgoing(call_id)
        if entry is None:
            return
        if entry.receiver is not None:
            entry.receiver.stream.abort(message)
        if not entry.answer.done():
            lost = calls.refuse(kind, message, calls.Outcome.UNKNOWN)
            # The peer may have made all these attempts, and the request's total number
            # of attempts must stay within its limit.
            lost.attempts_spent = entry.attempts
            entry.answer.set_result(lost)

    def _on_answer_timeout(self, call_id: int) -> None:
        self.link.send(messages.Cancel(call_id))
        self._resolve_unknown(
            call_id,
            calls.RefusalKind.DEADLINE_EXCEEDED,
            "no answer before the deadline",
        )

    def _cancel_outgoing(self, call_id: int) -> None:
        entry = self._remove_outgoing(call_id)
        if entry is not None:
            self.link.send(messages.Cancel(call_id))

    def _remove_outgoing(self, call_id: int) -> _OutgoingCall | None:
        entry = self._outgoing.pop(call_id, None)
        if entry is None:
            return None
        self.last_used_at = self._loop.time()
        if entry.timer is not None:
            entry.timer.cancel()
        if entry.send_task is not None:
            entry.send_task.cancel()
        return entry

    def _on_answer(self, message: messages.Answer) -> None:
        entry = self._outgoing.get(message.id)
        if entry is None or entry.answer.done():
            # The call was cancelled, or its answer arrived too late.
            return
        answer = from_answer(message)
        if message.body_more:
            self._receive_answer_body(message.id, entry, answer)
        else:
            self._remove_outgoing(message.id)
        entry.answer.set_result(answer)

    def _receive_answer_body(
        self, call_id: int, entry: _OutgoingCall, answer: calls.Answer
    ) -> None:
        if entry.send_task is not None:
            entry.send_task.cancel()
        entry.receiver = _BodyReceiver(self.link, call_id, from_caller=False)
        answer.body_stream = entry.receiver.stream
        entry.receiver.stream.on_end(
            lambda complete: self._on_answer_end(call_id, complete)
        )

    def _on_answer_end(self, call_id: int, complete: bool) -> None:
        if complete:
            self._remove_outgoing(call_id)
        else:
            self._cancel_outgoing(call_id)

    def _on_body(self, message: messages.Body) -> None:
        entry: _IncomingCall | _OutgoingCall | None
        if message.from_caller:
            entry = self._incoming.get(message.id)
        else:
            entry = self._outgoing.get(message.id)
        if entry is None or entry.receiver is None:
            return
        if not entry.receiver.receive(message):
            self.link.close("the peer sent more of a body than it was allowed")

    def _on_credit(self, message: messages.Credit) -> None:
        entry: _IncomingCall | _OutgoingCall | None
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
        entry = _IncomingCall()
        if message.body_more:
            entry.receiver = _BodyReceiver(self.link, message.id, from_caller=True)
            call.body_stream = entry.receiver.stream
        self._incoming[message.id] = entry
        coroutine = self._serve(message.id, entry, call)
        entry.task = eagertask.start_eager_task(self._loop, coroutine)

    def _refusal(self, message: messages.Call) -> calls.Answer | None:
        if self.refusing:
            return calls.refuse(calls.RefusalKind.STOPPING, "this daemon is stopping")
        if message.service != self._service_of():
            return calls.refuse(
                calls.RefusalKind.NO_TARGET, f"no target of {message.service} is here"
            )
        return None

    async def _serve(
        self, call_id: int, entry: _IncomingCall, call: calls.Call
    ) -> None:
        stream = None
        try:
            answer = await self._runner.run(call)
            stream = answer.body_stream
            self.link.send(to_answer(answer, call_id))
            if stream is not None:
                entry.sender = _BodySender(self.link, call_id, from_caller=False)
                await entry.sender.send(stream)
        except Exception:
            logging.exception(
                "exception in a call from another daemon; answering target_failed"
            )
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
    """Return the message of a call, with times (ms) relative to now (s)."""
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
        crashes=list(call.crashes),
    )


def from_message(message: messages.Call, now: float) -> calls.Call:
    """Return the call of a message, with times (s) on this process's clock."""
    weight = message.weight
    if not model.MIN_WEIGHT <= weight <= model.MAX_ACCOUNT_WEIGHT:
        weight = 1.0
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
        weight=weight,
        depth=message.depth,
        priority=min(message.priority, calls.PRIORITY_LEVELS - 1),
        attempts_left=message.attempts_left,
        idempotency_key=message.idempotency_key,
        slot=message.slot,
        slot_epoch=message.slot_epoch,
        crashes=tuple(message.crashes),
    )


def to_answer(answer: calls.Answer, call_id: int) -> messages.Answer:
    """Return the message of an answer."""
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
        limit=min(answer.limit, MAX_UINT32),
        in_flight=min(answer.in_flight, MAX_UINT32),
        target_us=int(answer.target_seconds * 1e6),
        undispatched=answer.undispatched,
        departing=answer.departing,
        route_reduction=calls.MAX_LEVEL - answer.route_level,
        crash=answer.crash,
    )


def from_answer(message: messages.Answer) -> calls.Answer:
    """Return the answer of a message."""
    outcome = calls.Outcome.UNKNOWN
    if message.outcome in list(calls.Outcome):
        outcome = calls.Outcome(message.outcome)
    refusal = None
    if message.kind:
        # A later version may have further kinds; the outcome tells what is certain.
        kind = calls.RefusalKind.TARGET_FAILED
        if message.kind in list(calls.RefusalKind):
            kind = calls.RefusalKind(message.kind)
        refusal = calls.Refusal(
            kind,
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
        departing=message.departing,
        route_level=max(0, calls.MAX_LEVEL - message.route_reduction),
        crash=message.crash,
    )
