import asyncio
import json

import helpers
import pytest
from returns import result

from toucanfold import client, exceptions, plainhttp


def refusal(kind: str, status: int, outcome: str = "not-run", retry_after_ms: int = 1):
    body = {"kind": kind, "outcome": outcome, "retry_after_ms": retry_after_ms}
    headers = [(b"toucanfold-outcome", outcome.encode())]
    return plainhttp.Response(status, headers, json.dumps(body).encode())


class Entry:
    """Answers with the prepared responses and stores the requests."""

    def __init__(self, *responses: plainhttp.Response):
        self.responses = list(responses)
        self.requests: list[plainhttp.Request] = []
        self.address = helpers.free_address()
        self.server = plainhttp.Server(self.handle)

    async def handle(self, request: plainhttp.Request) -> plainhttp.Response:
        self.requests.append(request)
        return self.responses.pop(0) if self.responses else refusal("overloaded", 503)


def call(entry: Entry, method: str = "POST", **options):
    async def check():
        await entry.server.listen(entry.address)
        caller = client.Client([entry.address], "tfk_a_b")
        answered = await caller.call("parts", method, "/x", **options)
        caller.close()
        entry.server.abort()
        return answered

    return helpers.run(check())


def test_retries_not_run_under_one_idempotency_key():
    """A retry with a new idempotency key could run a booking twice."""
    entry = Entry(refusal("overloaded", 503), plainhttp.Response(200, [], b"ok"))
    reply = call(entry).unwrap()
    assert reply.attempts == 2
    first, second = (request.header(b"idempotency-key") for request in entry.requests)
    assert first == second
    assert first[14] == "7"
    attempts = [request.header(b"toucanfold-attempt") for request in entry.requests]
    assert attempts == ["0", "1"]


def test_retries_are_bounded():
    """Invariant 1: a service that keeps refusing gets at most three attempts."""
    entry = Entry()
    error = call(entry).failure()
    assert isinstance(error, exceptions.OverloadedError)
    assert error.attempts == len(entry.requests) == 3


@pytest.mark.parametrize(
    ("kind", "status", "outcome", "expected"),
    [
        ("key_refused", 401, "not-run", exceptions.KeyRefusedError),
        ("outcome_unknown", 409, "unknown", exceptions.OutcomeUnknownError),
        ("deadline_exceeded", 504, "unknown", exceptions.CallDeadlineError),
    ],
)
def test_refusals_are_typed_and_final(kind, status, outcome, expected):
    """A retry of these refusals would only repeat them."""
    entry = Entry(refusal(kind, status, outcome))
    error = call(entry).failure()
    assert isinstance(error, expected)
    assert (error.kind, error.outcome, len(entry.requests)) == (kind, outcome, 1)


def test_call_without_key_that_may_have_run_is_not_resent():
    """Invariant 9: without an idempotency key a retry could run the request twice."""
    entry = Entry(refusal("target_failed", 502, "unknown"))
    assert isinstance(call(entry, idempotency_key=""), result.Failure)
    assert len(entry.requests) == 1


def test_honours_retry_after_and_the_deadline():
    """A retry that waits past the deadline would be of no use to the caller."""
    entry = Entry(refusal("rate_exceeded", 429, retry_after_ms=500))
    error = call(entry, timeout_s=0.3).failure()
    assert isinstance(error, exceptions.RateExceededError)
    assert len(entry.requests) == 1


def test_fails_over_to_another_entry():
    """Callers with several entries must tolerate the loss of one daemon."""

    async def check():
        entry = Entry(plainhttp.Response(200), plainhttp.Response(200))
        await entry.server.listen(entry.address)
        caller = client.Client([helpers.free_address(), entry.address], "")
        attempts = []
        for _ in range(2):
            reply = (await caller.call("parts", "GET", "/", entry=0)).unwrap()
            attempts.append(reply.attempts)
        caller.close()
        entry.server.abort()
        assert attempts == [1, 1]

    helpers.run(check())


def test_lost_connection_is_unknown():
    """After a lost connection the call may have run, so not-run would be wrong."""

    async def check():
        entry = Entry()

        async def lose_connection(request: plainhttp.Request) -> plainhttp.Response:
            entry.server.abort()
            await asyncio.sleep(1)
            return plainhttp.Response(200)

        entry.server.handler = lose_connection
        await entry.server.listen(entry.address)
        caller = client.Client([entry.address], "", client.RetryPolicy(limit=0))
        error = (await caller.call("parts", "GET", "/")).failure()
        assert isinstance(error, exceptions.ConnectionLostError)
        assert error.outcome == "unknown"

    helpers.run(check())


def test_uuid7_contains_its_creation_time():
    """Entries read the creation time from the idempotency key."""
    text = client.new_idempotency_key(0x0123456789AB)
    assert text.startswith("01234567-89ab-7")
    assert text[19] in "89ab"
