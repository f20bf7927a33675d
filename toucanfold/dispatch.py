"""Sends calls to the local target: queue, limit, connections, cancellation."""

import asyncio
import itertools
import secrets
import time
from collections.abc import Callable

from absl import logging

from toucanfold import (
    admission,
    bodies,
    calls,
    dependencies,
    exceptions,
    headerformat,
    headers,
    httpclient,
    limiter,
    metrics,
    model,
    pressure,
    registry,
    restartwatch,
    servicetimes,
    statedrate,
    targetstatus,
)

# Interval at which the queue updates its pressure level.
PRESSURE_WINDOW_S = 0.1
# Weight of the newest sample in the moving averages of service and self time.
SERVICE_TIME_GAIN = 0.1
RETRY_AFTER_MS = 200
STATED_RATE_LOG_INTERVAL_S = 1.0
CRASH_ID_BYTES = 8
# Calls whose ids are logged when the target has ended.
MAX_LOGGED_CALLS = 32
RANK_NAMES = {rank: name for name, rank in model.IMPORTANCE_RANKS.items()}


class _RunningCall:
    """A dispatched call, until its response and any streamed body have ended."""

    __slots__ = (
        "connection",
        "crash",
        "ended",
        "is_target_leaving",
        "route",
        "started_at",
        "target",
        "timer",
        "token",
    )

    def __init__(
        self, token: calls.CallToken, started_at: float, target: str, route: str
    ):
        self.token = token
        self.route = route
        # Label of the instance to which the call is sent.
        self.target = target
        self.started_at = started_at
        self.connection: httpclient.Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.is_target_leaving = False
        # Identifies the end of the target's process if the call ran then.
        self.crash = ""


class Dispatcher:
    """Runs calls at the local target."""

    def __init__(
        self,
        pool: httpclient.Pool,
        tokens: calls.TokenTable,
        measured: metrics.Metrics,
        concurrency: limiter.ConcurrencyLimiter,
        queue: admission.AdmissionQueue,
        downstream_levels: pressure.DownstreamLevels | None = None,
        header_format: headerformat.HeaderFormat | None = None,
        target_status: targetstatus.TargetStatus | None = None,
        downstream: dependencies.DependencyTracker | None = None,
    ):
        self._downstream = downstream or dependencies.DependencyTracker()
        self._header_format = header_format or headerformat.NativeHeaderFormat()
        self._target_status = target_status or targetstatus.TargetStatus()
        self.pool = pool
        self.tokens = tokens
        self.in_flight = 0
        self.level = calls.MAX_LEVEL
        # Called with the token of a call that ended without the target's response.
        self.on_call_aborted: Callable[[calls.CallToken], None] | None = None
        # Called when a response has stated that the target is leaving.
        self.on_leaving: Callable[[], None] | None = None
        # Called when nothing listens at the target's address any more.
        self.on_connection_refused: Callable[[], None] | None = None
        # Called with the crash's id and the calls that the target ran when it ended.
        self.on_crash: Callable[[str, list[calls.Call]], None] | None = None
        # Calls that were sent to the target and have not ended.
        self._sent: set[_RunningCall] = set()
        self._crash_check: asyncio.Task[str] | None = None
        self._limiter = concurrency
        self._queue = queue
        self._downstream_levels = downstream_levels or pressure.DownstreamLevels()
        self._metrics = measured
        self._loop = asyncio.get_running_loop()
        self._ids = itertools.count(1)
        self._waiting: dict[int | str, asyncio.Future[calls.RefusalKind | None]] = {}
        # Moving averages of the time that a call takes, with and without nested calls.
        # Mean over all calls, while service_times holds the means by route.
        self._service_time_s = 0.0
        self._service_times = servicetimes.ServiceTimes()
        self._self_time_s = 0.0
        self._window_timer: asyncio.TimerHandle | None = None
        self._stated_rate = statedrate.StatedRate()
        self._stated_rate_timer: asyncio.TimerHandle | None = None
        self._target_start = self._target_status.start
        self._service = self._target_status.service
        self._stated_rate_logged_at = float("-inf")
        tokens.on_wait_started = self._on_wait_started

    @property
    def limit(self) -> int:
        """Current concurrency limit of the target; lower at a low stated rate."""
        paced = self._stated_rate.concurrency(self._service_time_s)
        return int(min(self._limiter.limit, paced))

    @property
    def active(self) -> int:
        """Calls on which the target works itself, not waiting for nested calls.

        The limit applies to these: the limiter derives it from the target's self time,
        so counting calls that wait for a slow downstream service would leave the target
        idle.
        """
        return self.in_flight - self.tokens.waiting

    @property
    def stated_rate(self) -> float | None:
        """Calls per second that the target accepts, None if it states no rate."""
        return self._stated_rate.rate

    @property
    def queued(self) -> int:
        """Calls that wait for dispatch."""
        return len(self._queue)

    def start(self) -> None:
        """Start the periodic update of the pressure level."""
        self._window_timer = self._loop.call_later(PRESSURE_WINDOW_S, self._on_window)

    def stop(self) -> None:
        """Stop the periodic update and close the connections."""
        for timer in (self._window_timer, self._stated_rate_timer):
            if timer is not None:
                timer.cancel()
        if self._crash_check is not None:
            self._crash_check.cancel()
        self.pool.close()

    def on_target_status(self) -> None:
        """Apply the target's newest status.

        Once the target accepts no more calls, or is one of another service, queued
        calls are refused at once as not run, so that their daemons can send them to
        another target before the deadline.
        """
        if isinstance(self._limiter, limiter.AnnouncedLimit):
            self._limiter.on_announced_limit(self._target_status.concurrency_limit)
        if self._target_status.start != self._target_start:
            self._target_start = self._target_status.start
            self._stated_rate = statedrate.StatedRate()
        former_service, self._service = self._service, self._target_status.service
        is_same_service = former_service in ("", self._service)
        if self._target_status.accepts_calls and is_same_service:
            self._dispatch_waiting(self._loop.time())
            return
        for call_id, granted in list(self._waiting.items()):
            if not granted.done():
                self._remove_waiting(int(call_id))
                granted.set_result(calls.RefusalKind.STOPPING)

    def replace(
        self,
        concurrency: limiter.ConcurrencyLimiter,
        queue: admission.AdmissionQueue,
    ) -> None:
        """Replace the plug-ins; queued calls move to the new queue in order."""
        now = self._loop.time()
        self._limiter, previous_queue, self._queue = concurrency, self._queue, queue
        self.on_target_status()
        while True:
            queued_call, refused = previous_queue.dequeue(now, 0.0)
            self._refuse(refused)
            if queued_call is None:
                break
            self._refuse(queue.enqueue(now, queued_call, 0.0))
        self._dispatch_waiting(now)

    async def run(self, call: calls.Call) -> calls.Answer:
        """Wait for a permit, send the call to the target and return its answer."""
        now = self._loop.time()
        if call.deadline <= now:
            return self._add_load_report(call, _deadline_refusal(), None)
        if not self._accepts(call):
            refused = self._target_status.refuse(call.service)
            return self._add_load_report(call, refused, None)
        call_id = next(self._ids)
        granted = self._loop.create_future()
        self._waiting[call_id] = granted
        queued_call = _to_queued_call(call_id, call, now)
        queued_call.service_time_s = self._service_times.expected_s(now, call.route)
        self._refuse(self._queue.enqueue(now, queued_call, self._expected_wait_s(now)))
        if not granted.done():
            self._dispatch_waiting(now)
        if not granted.done():
            await self._wait(call_id, granted, call.deadline)
        refusal = granted.result()
        started_at = self._loop.time()
        importance = RANK_NAMES.get(call.rank, "normal")
        # Runs after the call is sent, so that it does not delay it.
        self._loop.call_soon(
            self._metrics.observe, "queue", call.account, importance, started_at - now
        )
        if refusal is not None:
            self._metrics.count(f"refused.{refusal}")
            refused = calls.refuse(
                refusal, "not dispatched", retry_after_ms=RETRY_AFTER_MS
            )
            refused.undispatched = True
            return self._add_load_report(call, refused, None)
        return await self._dispatch(call, started_at)

    def _accepts(self, call: calls.Call) -> bool:
        status = self._target_status
        return status.accepts_calls and status.serves(call.service)

    async def _wait(
        self,
        call_id: int,
        granted: "asyncio.Future[calls.RefusalKind | None]",
        deadline: float,
    ) -> None:
        timer = self._loop.call_at(deadline, self._expire, call_id)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.result() is None:
                # The permit was granted in the event loop turn of the cancellation.
                self.in_flight -= 1
                self._dispatch_waiting(self._loop.time())
            self._remove_waiting(call_id)
            raise
        finally:
            timer.cancel()

    def _expire(self, call_id: int) -> None:
        granted = self._waiting.get(call_id)
        if granted is not None and not granted.done():
            self._remove_waiting(call_id)
            granted.set_result(calls.RefusalKind.DEADLINE_EXCEEDED)

    def _remove_waiting(self, call_id: int) -> None:
        self._waiting.pop(call_id, None)
        self._queue.remove(call_id)

    def _refuse(self, refused: admission.RefusedCalls) -> None:
        for queued_call, kind in refused:
            granted = self._waiting.pop(queued_call.call_id, None)
            if granted is not None and not granted.done():
                granted.set_result(kind)

    def _dispatch_waiting(self, now: float) -> None:
        """Grant free permits to queued calls."""
        while self._has_permit(now) and len(self._queue):
            queued_call, refused = self._queue.dequeue(now, self._service_time_s)
            self._refuse(refused)
            if queued_call is None:
                return
            granted = self._waiting.pop(queued_call.call_id, None)
            if granted is None or granted.done():
                continue
            self.in_flight += 1
            self._stated_rate.on_sent(now)
            granted.set_result(None)
        if len(self._queue):
            self._dispatch_at_stated_rate(now)

    def _dispatch_at_stated_rate(self, now: float) -> None:
        """Dispatch again once the target accepts the next call."""
        wait_s = self._stated_rate.wait_s(now)
        if wait_s > 0 and self._stated_rate_timer is None:
            self._stated_rate_timer = self._loop.call_at(
                now + wait_s, self._on_stated_rate_timer
            )

    def _on_stated_rate_timer(self) -> None:
        self._stated_rate_timer = None
        self._dispatch_waiting(self._loop.time())

    def _has_permit(self, now: float) -> bool:
        has_connection = self.in_flight < self.pool.limit
        has_place = has_connection and self.active < self._limiter.limit
        return has_place and self._stated_rate.wait_s(now) <= 0

    def _expected_wait_s(self, now: float) -> float:
        if self._has_permit(now) and not len(self._queue):
            return 0.0
        queued = len(self._queue)
        by_limit = (queued + 1) * self._self_time_s / max(1, self._limiter.limit)
        return max(by_limit, self._stated_rate.wait_s(now, queued))

    async def _dispatch(self, call: calls.Call, started_at: float) -> calls.Answer:
        token = self.tokens.issue(call)
        running = _RunningCall(token, started_at, self._target_status.label, call.route)
        self._limiter.on_start(started_at, self.active)
        try:
            running.timer = self._loop.call_at(
                call.deadline, self._on_deadline, running
            )
            answer, kind = await self._exchange(call, running)
        except BaseException:
            self._finish(running, limiter.FinishKind.CANCELLED)
            raise
        answer.target_seconds = self._loop.time() - started_at
        stream = answer.body_stream
        if isinstance(stream, bodies.BodyStream):
            stream.on_end(
                lambda complete: self._finish(
                    running, kind if complete else limiter.FinishKind.CANCELLED
                )
            )
        else:
            self._finish(running, kind)
        if running.is_target_leaving:
            answer.departing = running.target
        answer.crash = running.crash
        return self._add_load_report(call, answer, token)

    async def _exchange(
        self, call: calls.Call, running: _RunningCall
    ) -> tuple[calls.Answer, limiter.FinishKind]:
        acquired = await self._acquire(call)
        if isinstance(acquired, calls.Answer):
            kind = limiter.FinishKind.SHED
            if acquired.refusal and acquired.refusal.kind == "deadline_exceeded":
                kind = limiter.FinishKind.TIMEOUT
            return acquired, kind
        if not self._target_status.serves(call.service):
            # A target of another service has announced itself meanwhile.
            acquired.abort()
            refused = self._target_status.refuse(call.service)
            return refused, limiter.FinishKind.SHED
        running.connection = acquired
        self._sent.add(running)
        exchanged = await acquired.exchange(
            call.method,
            call.path,
            self._target_headers(call, running.token),
            call.body,
            call.body_stream,
            httpclient.ExchangeIdentity(
                call.root_id.encode("latin-1"), self._header_format.find_echoed_id
            ),
        )
        if not isinstance(exchanged, httpclient.result.Success):
            error = exchanged.failure()
            if error.sent and self._loop.time() < call.deadline:
                running.crash = await self._check_crash(running)
            return self._to_refusal(call, error)
        return self._to_answer(call, exchanged.unwrap(), running)

    async def _acquire(self, call: calls.Call) -> httpclient.Connection | calls.Answer:
        exchange_id = call.root_id.encode("latin-1")
        connection = self.pool.take_idle(exchange_id)
        if connection is not None:
            return connection
        try:
            async with asyncio.timeout_at(call.deadline):
                acquired = await self.pool.acquire(exchange_id)
        except TimeoutError:
            return _deadline_refusal()
        if isinstance(acquired, httpclient.result.Success):
            return acquired.unwrap()
        error = acquired.failure()
        if error.refused:
            self._on_connection_refused()
        return calls.refuse(
            calls.RefusalKind.NO_TARGET
            if error.refused
            else calls.RefusalKind.TARGET_FAILED,
            error.message,
            retry_after_ms=100,
        )

    def _on_connection_refused(self) -> None:
        if not self._target_status.on_connection_refused():
            return
        logging.warning("nothing listens at the target's address; it gets no calls")
        self.on_target_status()
        if self.on_connection_refused is not None:
            self.on_connection_refused()

    async def _check_crash(self, running: _RunningCall) -> str:
        """Return the id of the crash in which a call's connection was lost, if any.

        A target that ends loses all connections and stops listening, while a single
        lost connection says nothing about the target.
        """
        if self._crash_check is None:
            self._crash_check = self._loop.create_task(self._find_crash())
            self._crash_check.add_done_callback(self._on_crash_checked)
        # The call counts as sent until the check has ended.
        return await asyncio.shield(self._crash_check)

    def _on_crash_checked(self, check: asyncio.Task[str]) -> None:
        self._crash_check = None

    async def _find_crash(self) -> str:
        was_leaving = self._target_status.is_leaving
        if not await restartwatch.refuses_connections(self.pool.address):
            return ""
        self._on_connection_refused()
        if was_leaving:
            return ""
        crash = secrets.token_hex(CRASH_ID_BYTES)
        sent = [running.token.call for running in self._sent]
        logging.warning(
            "the target has ended while it ran %d calls (crash %s): %s",
            len(sent),
            crash,
            " ".join(call.root_id for call in sent[:MAX_LOGGED_CALLS]),
        )
        self._metrics.count("target.crashed")
        if self.on_crash is not None:
            self.on_crash(crash, sent)
        return crash

    def _to_answer(
        self,
        call: calls.Call,
        answer: httpclient.TargetResponse,
        running: _RunningCall,
    ) -> tuple[calls.Answer, limiter.FinishKind]:
        response_check = self._header_format.check_response(answer)
        self._on_stated_rate(running.started_at, response_check.stated_rate)
        if response_check.is_leaving:
            running.is_target_leaving = True
            self._on_leaving(running.target)
        if response_check.refusal is not None:
            bodies.cancel(answer.body_stream)
            return calls.Answer.refused(response_check.refusal), limiter.FinishKind.SHED
        caller_headers = self._header_format.fields_for_caller(answer.headers)
        passed = calls.Answer(
            answer.status, caller_headers, answer.body, body_stream=answer.body_stream
        )
        self._downstream.on_target_answer(self._loop.time(), call.route, answer.status)
        is_shed = answer.status == 503
        kind = limiter.FinishKind.SHED if is_shed else limiter.FinishKind.OK
        return passed, kind

    def _on_leaving(self, label: str) -> None:
        if not self._target_status.on_leaving(time.time(), label):
            return
        logging.info("target %s states that it is leaving", label or "(unannounced)")
        self.on_target_status()
        if self.on_leaving is not None:
            self.on_leaving()

    def _on_stated_rate(self, sent_at: float, rate: float | None) -> None:
        now = self._loop.time()
        if self._stated_rate.on_response(now, sent_at, rate):
            if rate is None:
                logging.info("the target states no rate any more")
            else:
                logging.info("the target accepts %.3f calls/s", rate)

    def _log_stated_rate(self, now: float) -> None:
        rate = self._stated_rate.rate
        if rate is None:
            return
        if now - self._stated_rate_logged_at >= STATED_RATE_LOG_INTERVAL_S:
            self._stated_rate_logged_at = now
            logging.info(
                "the target accepts %.3f calls/s; %d sent in %.1f s, %d queued",
                rate,
                self._stated_rate.sent_calls(now),
                statedrate.COUNT_WINDOW_S,
                len(self._queue),
            )

    def _to_refusal(
        self, call: calls.Call, error: exceptions.TargetError
    ) -> tuple[calls.Answer, limiter.FinishKind]:
        outcome = calls.Outcome.UNKNOWN if error.sent else calls.Outcome.NOT_RUN
        if error.answered:
            outcome = calls.Outcome.RAN
        if self._loop.time() >= call.deadline:
            late = calls.refuse(
                calls.RefusalKind.DEADLINE_EXCEEDED,
                "the target did not answer",
                outcome,
            )
            return late, limiter.FinishKind.TIMEOUT
        failed = calls.refuse(calls.RefusalKind.TARGET_FAILED, error.message, outcome)
        return failed, limiter.FinishKind.FAILED

    def _target_headers(
        self, call: calls.Call, token: calls.CallToken
    ) -> calls.Headers:
        left_ms = max(1, int((call.deadline - self._loop.time()) * 1000))
        fields = [
            *call.headers,
            *self._header_format.dispatch_fields(
                call, token.value, left_ms, self._target_status.instance
            ),
        ]
        if call.body_stream is not None:
            if headers.find(call.headers, b"content-length") is None:
                fields.append((b"transfer-encoding", b"chunked"))
        elif call.body or call.method in ("POST", "PUT", "PATCH"):
            fields.append((b"content-length", str(len(call.body)).encode()))
        if headers.find(call.headers, b"host") is None:
            fields.append((b"host", call.service.encode()))
        return fields

    def _on_deadline(self, running: _RunningCall) -> None:
        """Close the connection of a call whose deadline has passed."""
        if running.connection is not None and not running.ended:
            running.connection.abort()

    def _finish(self, running: _RunningCall, kind: limiter.FinishKind) -> None:
        if running.ended:
            return
        running.ended = True
        self._sent.discard(running)
        now = self._loop.time()
        if running.timer is not None:
            running.timer.cancel()
        self_time_s = running.token.self_time_s(running.started_at, now)
        if kind == limiter.FinishKind.OK:
            duration_s = now - running.started_at
            self._service_time_s += SERVICE_TIME_GAIN * (
                duration_s - self._service_time_s
            )
            self._service_times.record(now, running.route, duration_s)
            self._self_time_s += SERVICE_TIME_GAIN * (self_time_s - self._self_time_s)
        self._limiter.on_finish(now, self_time_s, self.active, kind)
        self.in_flight -= 1
        self.tokens.revoke(running.token)
        if kind not in (limiter.FinishKind.OK, limiter.FinishKind.SHED):
            self._metrics.count(f"target.{kind.name.lower()}")
            if self.on_call_aborted is not None:
                self.on_call_aborted(running.token)
        self._dispatch_waiting(now)

    def _add_load_report(
        self, call: calls.Call, answer: calls.Answer, token: calls.CallToken | None
    ) -> calls.Answer:
        """Add the levels, limit and load that every answer reports to its caller."""
        now = self._loop.time()
        answer.level = self._downstream_levels.combined(
            now, call.pressure_key, self._queue.level_of(call.account)
        )
        answer.route_level = self._downstream.level(now, call)
        answer.attempts_spent = 0 if token is None else token.attempts_spent
        answer.limit = self.limit
        answer.in_flight = self.active + len(self._queue)
        return answer

    def _on_wait_started(self) -> None:
        self._dispatch_waiting(self._loop.time())

    def _on_window(self) -> None:
        now = self._loop.time()
        self.level = self._queue.on_window(now)
        self.pool.close_idle(now)
        self._log_stated_rate(now)
        self._dispatch_waiting(now)
        self._window_timer = self._loop.call_at(
            now + PRESSURE_WINDOW_S, self._on_window
        )


def _to_queued_call(call_id: int, call: calls.Call, now: float) -> admission.QueuedCall:
    return admission.QueuedCall(
        call_id,
        call.account,
        call.weight,
        call.rank,
        call.depth,
        now - call.root_started_at,
        call.priority,
        call.deadline,
        now,
    )


def _deadline_refusal() -> calls.Answer:
    return calls.refuse(calls.RefusalKind.DEADLINE_EXCEEDED, "the deadline has passed")


def create_plugins(
    profile: model.Profile,
) -> tuple[limiter.ConcurrencyLimiter, admission.AdmissionQueue]:
    """Create a profile's limiter and queue; Fixed and FifoQueue for unknown names."""
    concurrency = registry.create("limiter", profile.limiter)
    queue = registry.create(
        "admission",
        profile.admission,
        length=profile.queue_length,
        max_wait_s=profile.queue_ms / 1000,
    )
    return (
        concurrency.value_or(limiter.Fixed()),
        queue.value_or(admission.FifoQueue()),
    )
