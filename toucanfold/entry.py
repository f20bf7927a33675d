"""Callers' requests: checks of route, key, time, pressure and rate, then the call."""

import asyncio
import random
from collections.abc import Callable

from toucanfold import (
    bodies,
    calls,
    decisionlog,
    dependencies,
    headerformat,
    headers,
    httpserver,
    interfaces,
    keyguard,
    linkcalls,
    metrics,
    model,
    paths,
    pressure,
    resends,
    retries,
)

# Account name of requests to open routes without a valid key.
OPEN_ACCOUNT = "open"
MAX_IDEMPOTENCY_KEY_BYTES = 255
# The retry budget refills with successes of other calls, so the time is an estimate.
BUDGET_RETRY_AFTER_MS = 1000
# Pressure levels recover in about a second. Retry times of callers that were refused
# for pressure are spread over this range, so that they do not return all at once.
PRESSURE_RETRY_AFTER_RANGE_MS = (300, 1300)


class AdmittedRequest:
    """A request whose head passed the checks, with what they found."""

    __slots__ = (
        "account",
        "attempt",
        "deadline",
        "idempotency_key",
        "profile",
        "root_id",
        "route",
        "service",
    )

    def __init__(self, root_id: str, route: model.Route, profile: model.Profile):
        self.root_id = root_id
        self.route = route
        self.profile = profile
        self.service = route.select_service(calls.split_fraction(root_id))
        self.account: model.Account | None = None
        self.attempt = 0
        self.deadline = 0.0
        self.idempotency_key = ""

    @property
    def account_name(self) -> str:
        """Name of the client account, OPEN_ACCOUNT without a valid key."""
        return OPEN_ACCOUNT if self.account is None else self.account.name


class Entry:
    """Handles the requests of callers."""

    def __init__(
        self,
        source: interfaces.StateSource,
        fleet_secret: bytes,
        forwarder: linkcalls.CallRunner,
        measured: metrics.Metrics,
        rng: random.Random,
        levels: pressure.EntryLevels | None = None,
        rate: interfaces.RateLimiter | None = None,
        budgets: retries.RetryBudgets | None = None,
        serve_open_when_stale: bool = False,
        header_format: headerformat.HeaderFormat | None = None,
        service: str = "",
        decision_log: decisionlog.DecisionLog | None = None,
        downstream: dependencies.DependencyTracker | None = None,
        usual_time_s: Callable[[str], float | None] | None = None,
    ):
        self._usual_time_s = usual_time_s
        self._downstream = downstream or dependencies.DependencyTracker()
        self.running = 0
        self.stopping = False
        # Time at which a planned stop cuts the calls that still run.
        self.calls_end_at = float("inf")
        self._source = source
        self._state_index = interfaces.StateIndex(source, fleet_secret)
        self._forwarder = forwarder
        self._metrics = measured
        self._rng = rng
        self._header_format = header_format or headerformat.NativeHeaderFormat()
        # Service of this daemon's target, which its requests name as their caller.
        self.service = service
        self._log = decision_log or decisionlog.NullDecisionLog()
        self._levels = levels or pressure.EntryLevels()
        self._rate = rate or interfaces.NoRateLimiter()
        self._budgets = budgets or retries.RetryBudgets()
        self._resends = resends.Resends()
        self._serve_open_when_stale = serve_open_when_stale
        self._loop = asyncio.get_running_loop()

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed, oversized or slow request."""
        self._metrics.count(f"http.{status}")
        return self._header_format.protocol_error(status, message)

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Check state, route, key and headers before the body is read."""
        head = self._header_format.read_head(request)
        if isinstance(head, calls.Refusal):
            return self._refuse(head, calls.new_root_id())
        checked = self._check(request, head)
        if isinstance(checked, AdmittedRequest):
            request.context = checked
            return None
        return self._refuse(checked, head.root_id)

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Run the call of a request and return its response."""
        admitted = request.context
        assert isinstance(admitted, AdmittedRequest)
        self.running += 1
        try:
            answer = await self._run(request, admitted)
        finally:
            self.running -= 1
        now = self._loop.time()
        # Runs after the response is written, so that it delays no response.
        self._loop.call_soon(self._observe, request, admitted, answer, now)
        return self._header_format.response(answer, admitted.root_id)

    def _refuse(self, refused: calls.Refusal, root_id: str) -> httpserver.Response:
        self._metrics.count(f"refused.{refused.kind}")
        self._log.log_decision(
            "refused at the head",
            root_id,
            always=True,
            kind=refused.kind,
            why=refused.message,
            revision=self._source.state.revision,
        )
        return self._header_format.refusal(refused, root_id)

    def _check(
        self, request: httpserver.Request, head: headerformat.RequestHead
    ) -> AdmittedRequest | calls.Refusal:
        if self.stopping:
            return _stopping()
        path = request.path.partition("?")[0]
        route_and_profile = self._state_index.route(
            head.host, head.service, request.method, path
        )
        if route_and_profile is None:
            return self._refuse_unrouted(head.host or head.service)
        route, profile = route_and_profile
        if paths.is_ambiguous(path):
            read = self._state_index.route(
                head.host, head.service, request.method, paths.normal(path)
            )
            if read is None or read[0] is not route:
                return _bad_request(
                    "the normal form of the path belongs to another route"
                )
        if not self._is_served(route):
            return calls.Refusal(
                calls.RefusalKind.CONTROL_STALE,
                message="the configuration may be outdated",
            )
        admitted = AdmittedRequest(head.root_id, route, profile)
        return (
            self._check_key(head, admitted)
            or _check_timeout_and_idempotency_key(request, head, admitted)
            or self._check_stop(admitted)
            or admitted
        )

    def _check_stop(self, admitted: AdmittedRequest) -> calls.Refusal | None:
        """Limit the time of a request to that of a planned stop, if it is enough."""
        if admitted.deadline <= self.calls_end_at:
            return None
        admitted.deadline = self.calls_end_at
        usual_s = self._usual_time_s(admitted.route.name) if self._usual_time_s else 0
        if self._loop.time() + (usual_s or 0.0) > self.calls_end_at:
            return _stopping()
        return None

    def _refuse_unrouted(self, host_or_service: str) -> calls.Refusal:
        if not self._source.is_fresh(self._loop.time()):
            return calls.Refusal(
                calls.RefusalKind.CONTROL_STALE,
                message="the configuration may be outdated",
            )
        if not self._source.state.routes:
            # A fleet without any route has not been configured yet.
            return calls.Refusal(
                calls.RefusalKind.CONTROL_STALE, message="no configuration is known yet"
            )
        return calls.Refusal(
            calls.RefusalKind.NO_ROUTE, message=f"no route for {host_or_service!r}"
        )

    def _is_served(self, route: model.Route) -> bool:
        if self._source.is_fresh(self._loop.time()):
            return True
        # Before the first state no route is known, so no further check is needed.
        return route.open and self._serve_open_when_stale

    def _check_key(
        self, head: headerformat.RequestHead, admitted: AdmittedRequest
    ) -> calls.Refusal | None:
        if len(head.keys | head.misplaced_keys) > 1:
            return _bad_request("the request holds different keys")
        for key in head.keys:
            admitted.account = self._state_index.account(key.decode("latin-1"))
        if admitted.account is None and not admitted.route.open:
            is_sent = head.keys or head.misplaced_keys
            message = "the key is not valid" if is_sent else "no key was sent"
            return calls.Refusal(calls.RefusalKind.KEY_REFUSED, message=message)
        return None

    async def _run(
        self, request: httpserver.Request, admitted: AdmittedRequest
    ) -> calls.Answer:
        if self.stopping:
            # The stop went on while the body arrived.
            bodies.cancel(request.body_stream)
            return calls.Answer.refused(_stopping())
        if headers.has_key(request.body):
            return calls.refuse(calls.RefusalKind.BAD_REQUEST, "the body holds a key")
        call = self._to_call(request, admitted)
        answer = await self._run_if_admitted(call, admitted)
        self._resends.on_answer(self._loop.time(), call, answer)
        return answer

    async def _run_if_admitted(
        self, call: calls.Call, admitted: AdmittedRequest
    ) -> calls.Answer:
        """Run a call unless pressure, retry budget or rate refuse it."""
        account, attempt = admitted.account, admitted.attempt
        now = self._loop.time()
        if not self._levels.admits(now, call, self._rng):
            bodies.cancel(call.body_stream)
            return calls.refuse(
                calls.RefusalKind.OVERLOADED,
                "a service of this route is overloaded",
                retry_after_ms=self._rng.randint(*PRESSURE_RETRY_AFTER_RANGE_MS),
            )
        is_resend = not call.is_recorded and self._resends.is_resend(now, call, attempt)
        if is_resend and not self._budgets.take(now, call.service):
            bodies.cancel(call.body_stream)
            return calls.refuse(
                calls.RefusalKind.RETRIES_EXHAUSTED,
                f"too many resends to {call.service}",
                retry_after_ms=BUDGET_RETRY_AFTER_MS,
            )
        if account is not None and not account.unlimited:
            wait_s = await self._rate.acquire(account.name, call.deadline - now)
            if wait_s > 0:
                if is_resend:
                    self._budgets.return_token(call.service)
                bodies.cancel(call.body_stream)
                self._log.log_decision(
                    "no token in time",
                    call.root_id,
                    always=True,
                    account=account.name,
                    share=self._rate.describe(account.name),
                    waited_ms=round((self._loop.time() - now) * 1000),
                )
                return calls.refuse(
                    calls.RefusalKind.RATE_EXCEEDED,
                    f"client account {account.name} exceeds its rate",
                    retry_after_ms=max(1, int(wait_s * 1000)),
                )
        answer = await self._forwarder.run(call)
        if is_resend and _is_quarantined(answer):
            self._budgets.return_token(call.service)
        now = self._loop.time()
        if account is None and self._header_format.egress_via_entry:
            # Requests without a key are nested calls of the local target. Refusing one
            # would waste the work of the request that made it, so new requests are
            # refused instead.
            self._downstream.on_downstream_answer(now, answer)
        else:
            self._levels.on_answer(now, call, answer)
        return answer

    def _to_call(
        self, request: httpserver.Request, admitted: AdmittedRequest
    ) -> calls.Call:
        account, profile = admitted.account, admitted.profile
        return calls.Call(
            root_id=admitted.root_id,
            service=admitted.service,
            method=request.method,
            path=request.path,
            headers=self._header_format.fields_for_target(
                request, self.service, "" if account is None else account.name
            ),
            body=request.body,
            account=admitted.account_name,
            rank=profile.rank,
            idempotent=profile.idempotent,
            deadline=admitted.deadline,
            root_started_at=request.received_at,
            route=admitted.route.name,
            weight=1.0 if account is None else account.weight,
            priority=calls.priority_of(admitted.root_id),
            attempts_left=profile.attempts,
            idempotency_key=admitted.idempotency_key,
            body_stream=filtered_body(request),
        )

    def _observe(
        self,
        request: httpserver.Request,
        admitted: AdmittedRequest,
        answer: calls.Answer,
        now: float,
    ) -> None:
        total_s = now - request.received_at
        account, importance = admitted.account_name, admitted.profile.importance
        self._metrics.observe("total", account, importance, total_s)
        refusal = answer.refusal
        self._log.log_decision(
            "answered" if refusal is None else "refused",
            admitted.root_id,
            always=refusal is not None or answer.status >= 500,
            status=answer.status,
            kind=refusal.kind if refusal else "",
            why=refusal.message if refusal else "",
            outcome=answer.outcome.header_value,
            route=admitted.route.name,
            service=admitted.service,
            account=account,
            importance=importance,
            took_ms=round(total_s * 1000),
            left_ms=round((admitted.deadline - now) * 1000),
            attempts=answer.attempts_spent,
            revision=self._source.state.revision,
        )
        if answer.refusal is None:
            added_s = total_s - answer.target_seconds
            self._metrics.observe("added", account, importance, added_s)
        else:
            self._metrics.count(f"refused.{answer.refusal.kind}")


def filtered_body(request: httpserver.Request) -> keyguard.KeyFilter | None:
    """Return the body stream behind the key filter, None if the body is buffered."""
    stream = request.body_stream
    return None if stream is None else keyguard.KeyFilter(stream)


def _is_quarantined(answer: calls.Answer) -> bool:
    refusal = answer.refusal
    return refusal is not None and refusal.kind is calls.RefusalKind.QUARANTINED


def _stopping() -> calls.Refusal:
    return calls.Refusal(calls.RefusalKind.STOPPING, message="this daemon is stopping")


def _bad_request(message: str) -> calls.Refusal:
    return calls.Refusal(calls.RefusalKind.BAD_REQUEST, message=message)


def _check_timeout_and_idempotency_key(
    request: httpserver.Request,
    head: headerformat.RequestHead,
    admitted: AdmittedRequest,
) -> calls.Refusal | None:
    if head.timeout_ms is None:
        return _bad_request("the time left must be a positive number of milliseconds")
    allowed_ms = min(
        head.timeout_ms or model.MAX_DEADLINE_MS, admitted.profile.deadline_ms
    )
    admitted.deadline = request.received_at + allowed_ms / 1000
    key = head.idempotency_key
    if len(key) > MAX_IDEMPOTENCY_KEY_BYTES or headers.has_key(key):
        return _bad_request(
            "Idempotency-Key is too long or holds a client account's key"
        )
    admitted.idempotency_key = key.decode("latin-1")
    admitted.attempt = head.attempt
    return None
