"""The target's own calls: token, route and the limits of the parent call."""

import asyncio
from typing import Any

from toucanfold import (
    calls,
    dialect,
    entry,
    headers,
    httpserver,
    linkcalls,
    metrics,
    model,
    parts,
    pressure,
    replies,
)


class Child:
    """What the checks of a nested call's head found."""

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
        source: parts.StateSource,
        tokens: calls.TokenTable,
        forwarder: linkcalls.CallRunner,
        measured: metrics.Metrics,
        max_depth: int,
        learnt: pressure.DownstreamLevels | None = None,
    ):
        self.running = 0
        self._lookup = parts.Lookup(source, b"")
        self._tokens = tokens
        self._forwarder = forwarder
        self._metrics = measured
        self._max_depth = max_depth
        self._learnt = learnt or pressure.DownstreamLevels()
        self._loop = asyncio.get_running_loop()
        self._children: dict[str, set[asyncio.Task[Any]]] = {}

    def protocol_refusal(self, status: int, message: str) -> httpserver.Response:
        """Return the answer to a malformed, oversize or slow request."""
        self._metrics.count(f"egress.http.{status}")
        return replies.broken_request(status, message)

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Check the token, the route and the depth before the body is read."""
        checked = self._check(request)
        if isinstance(checked, Child):
            request.context = checked
            return None
        self._metrics.count(f"egress.refused.{checked.kind}")
        return replies.refusal(checked, calls.new_root_id())

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Run a nested call and return its response."""
        child = request.context
        assert isinstance(child, Child)
        token = child.token
        root_id = token.call.root_id
        if self._tokens.find(token.text) is None:
            return replies.refuse(
                calls.Kind.BAD_REQUEST, "the token's call has ended", root_id
            )
        reserved = token.reserve_attempts()
        token.child_started(self._loop.time())
        self.running += 1
        spent = reserved
        try:
            answer = await self._run(request, child, reserved)
            spent = answer.attempts_spent
            self._learnt.on_answer(
                self._loop.time(), token.call.pressure_key, answer.level
            )
        finally:
            self.running -= 1
            token.child_ended(self._loop.time(), reserved, spent)
        return replies.response(answer, root_id)

    def on_abandoned(self, token: calls.CallToken) -> None:
        """Cancel the nested calls of a call whose answer nobody waits for."""
        for task in list(self._children.get(token.text, ())):
            task.cancel()

    async def _run(
        self, request: httpserver.Request, child: Child, reserved: int
    ) -> calls.Answer:
        call = self._to_call(request, child, reserved)
        task = asyncio.current_task()
        assert task is not None
        siblings = self._children.setdefault(child.token.text, set())
        siblings.add(task)
        try:
            return await self._forwarder.run(call)
        finally:
            siblings.discard(task)
            if not siblings:
                self._children.pop(child.token.text, None)

    def _check(self, request: httpserver.Request) -> Child | calls.Refusal:
        text = headers.find(request.headers, b"toucanfold-token") or b""
        token = self._tokens.find(text.decode("latin-1"))
        if token is None:
            return _bad("Toucanfold-Token is not of a call that runs now")
        if token.call.depth + 1 > self._max_depth:
            return _bad(f"the call chain is deeper than {self._max_depth}")
        if headers.line_has_key(request.method, request.path):
            return _bad("the request line holds a key")
        service = dialect.service_of(request.headers)
        path = request.path.partition("?")[0]
        found = self._lookup.route("", service, request.method, path)
        if found is None:
            return calls.Refusal(
                calls.Kind.NO_ROUTE, message=f"no route for service {service!r}"
            )
        timeout_ms = dialect.read_timeout_ms(request.headers)
        if timeout_ms is None:
            return _bad("Toucanfold-Timeout-Ms must be a positive number")
        child = Child(token, *found)
        child.timeout_ms = timeout_ms
        key = headers.find(request.headers, b"idempotency-key") or b""
        if len(key) > entry.MAX_IDEMPOTENCY_KEY_BYTES or headers.has_key(key):
            return _bad("Idempotency-Key is too long or holds a key")
        child.idempotency_key = key.decode("latin-1")
        return child

    def _to_call(
        self, request: httpserver.Request, child: Child, reserved: int
    ) -> calls.Call:
        parent, profile = child.token.call, child.profile
        allowed_ms = min(child.timeout_ms or model.MAX_DEADLINE_MS, profile.deadline_ms)
        return calls.Call(
            root_id=parent.root_id,
            service=child.route.service_for(calls.fraction_of(parent.root_id)),
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
            route=child.route.name,
            weight=parent.weight,
            depth=parent.depth + 1,
            priority=parent.priority,
            attempts_left=reserved,
            idempotency_key=child.idempotency_key,
            body_stream=entry.guarded(request),
        )


def _bad(message: str) -> calls.Refusal:
    return calls.Refusal(calls.Kind.BAD_REQUEST, message=message)
