"""Nested calls of the target: token, route and the limits of the parent call."""

import asyncio
from typing import Any

from toucanfold import (
    calls,
    entry,
    headerformat,
    headers,
    httpresponses,
    httpserver,
    interfaces,
    linkcalls,
    metrics,
    model,
    pressure,
)


class NestedCall:
    """A nested call whose head passed the checks, with what they found."""

    __slots__ = ("idempotency_key", "profile", "route", "timeout_ms", "token")

    def __init__(
        self, token: calls.CallToken, route: model.Route, profile: model.Profile
    ):
        self.token = token
        self.route = route
        self.profile = profile
        self.timeout_ms = 0
        self.idempotency_key = ""


class Egress:
    """Handles the calls which the target makes while it serves a call."""

    def __init__(
        self,
        source: interfaces.StateSource,
        tokens: calls.TokenTable,
        forwarder: linkcalls.CallRunner,
        measured: metrics.Metrics,
        max_depth: int,
        downstream_levels: pressure.DownstreamLevels | None = None,
    ):
        self.running = 0
        self._state_index = interfaces.StateIndex(source, b"")
        self._tokens = tokens
        self._forwarder = forwarder
        self._metrics = measured
        self._max_depth = max_depth
        self._downstream_levels = downstream_levels or pressure.DownstreamLevels()
        self._loop = asyncio.get_running_loop()
        self._nested_tasks: dict[str, set[asyncio.Task[Any]]] = {}

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed, oversized or slow request."""
        self._metrics.count(f"egress.http.{status}")
        return httpresponses.protocol_error(status, message)

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Check the token, the route and the depth before the body is read."""
        checked = self._check(request)
        if isinstance(checked, NestedCall):
            request.context = checked
            return None
        self._metrics.count(f"egress.refused.{checked.kind}")
        return httpresponses.refusal(checked, calls.new_root_id())

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Run a nested call and return its response."""
        nested_call = request.context
        assert isinstance(nested_call, NestedCall)
        token = nested_call.token
        root_id = token.call.root_id
        if self._tokens.find(token.value) is None:
            return httpresponses.refuse(
                calls.RefusalKind.BAD_REQUEST, "the token's call has ended", root_id
            )
        reserved = token.reserve_attempts()
        token.nested_call_started(self._loop.time())
        self.running += 1
        spent = reserved
        try:
            answer = await self._run(request, nested_call, reserved)
            spent = answer.attempts_spent
            self._downstream_levels.on_answer(
                self._loop.time(), token.call.pressure_key, answer.level
            )
        finally:
            self.running -= 1
            token.nested_call_ended(self._loop.time(), reserved, spent)
        return httpresponses.response(answer, root_id)

    def on_call_aborted(self, token: calls.CallToken) -> None:
        """Cancel the nested calls of a call whose response is no longer needed."""
        for task in list(self._nested_tasks.get(token.value, ())):
            task.cancel()

    async def _run(
        self, request: httpserver.Request, nested_call: NestedCall, reserved: int
    ) -> calls.Answer:
        call = self._to_call(request, nested_call, reserved)
        task = asyncio.current_task()
        assert task is not None
        sibling_tasks = self._nested_tasks.setdefault(nested_call.token.value, set())
        sibling_tasks.add(task)
        try:
            return await self._forwarder.run(call)
        finally:
            sibling_tasks.discard(task)
            if not sibling_tasks:
                self._nested_tasks.pop(nested_call.token.value, None)

    def _check(self, request: httpserver.Request) -> NestedCall | calls.Refusal:
        token_value = headers.find(request.headers, b"toucanfold-token") or b""
        token = self._tokens.find(token_value.decode("latin-1"))
        if token is None:
            return _bad_request("Toucanfold-Token is not of a call that runs now")
        if token.call.depth + 1 > self._max_depth:
            return _bad_request(f"the call chain is deeper than {self._max_depth}")
        if headers.line_has_key(request.method, request.path):
            return _bad_request("the request line holds a key")
        service = headerformat.service_of(request.headers)
        path = request.path.partition("?")[0]
        route_and_profile = self._state_index.route("", service, request.method, path)
        if route_and_profile is None:
            return calls.Refusal(
                calls.RefusalKind.NO_ROUTE, message=f"no route for service {service!r}"
            )
        timeout_ms = headerformat.read_timeout_ms(request.headers)
        if timeout_ms is None:
            return _bad_request("Toucanfold-Timeout-Ms must be a positive number")
        nested_call = NestedCall(token, *route_and_profile)
        nested_call.timeout_ms = timeout_ms
        key = headers.find(request.headers, b"idempotency-key") or b""
        if len(key) > entry.MAX_IDEMPOTENCY_KEY_BYTES or headers.has_key(key):
            return _bad_request("Idempotency-Key is too long or holds a key")
        nested_call.idempotency_key = key.decode("latin-1")
        return nested_call

    def _to_call(
        self, request: httpserver.Request, nested_call: NestedCall, reserved: int
    ) -> calls.Call:
        parent, profile = nested_call.token.call, nested_call.profile
        allowed_ms = min(
            nested_call.timeout_ms or model.MAX_DEADLINE_MS, profile.deadline_ms
        )
        return calls.Call(
            root_id=parent.root_id,
            service=nested_call.route.select_service(
                calls.split_fraction(parent.root_id)
            ),
            method=request.method,
            path=request.path,
            headers=headers.for_target(
                request.headers, request.body_stream is not None
            ),
            body=request.body,
            account=parent.account,
            rank=parent.rank,
            idempotent=profile.idempotent,
            deadline=min(parent.deadline, self._loop.time() + allowed_ms / 1000),
            root_started_at=parent.root_started_at,
            route=nested_call.route.name,
            weight=parent.weight,
            depth=parent.depth + 1,
            priority=parent.priority,
            attempts_left=reserved,
            idempotency_key=nested_call.idempotency_key,
            body_stream=entry.filtered_body(request),
        )


def _bad_request(message: str) -> calls.Refusal:
    return calls.Refusal(calls.RefusalKind.BAD_REQUEST, message=message)
