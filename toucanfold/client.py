"""Client library for callers: keys, deadlines, idempotency keys, bounded retries."""

import asyncio
import dataclasses
import json
import random
import secrets
import time
import uuid
from collections.abc import Sequence
from typing import Any

from returns import result

from toucanfold import exceptions, plainhttp

DEFAULT_TIMEOUT_S = 5.0
DEFAULT_RETRIES = 2
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# Each retry takes one token from a budget that successes refill. Once the initial
# tokens are taken, a client adds at most a tenth to the load of a failing service.
RETRY_BUDGET_MAX_TOKENS = 10.0
RETRY_BUDGET_TOKENS_PER_SUCCESS = 0.1
# Time for which a client skips an entry that refused a connection, is stopping or has
# stale control state.
ENTRY_BACKOFF_S = 1.0
# A failed connection has sent nothing, so the next entry is tried without delay.
MAX_CONNECT_ATTEMPTS = 4
# Wait beyond the deadline, so that the refusal of the daemon itself can arrive.
RESPONSE_GRACE_S = 0.1

_OVERLOADED = frozenset(
    ("overloaded", "no_target", "stopping", "control_stale", "retries_exhausted")
)
_RETRIED_KINDS = _OVERLOADED | {"rate_exceeded", "still_running"}
_ERRORS: dict[str, type[exceptions.CallError]] = {
    "key_refused": exceptions.KeyRefusedError,
    "rate_exceeded": exceptions.RateExceededError,
    "outcome_unknown": exceptions.OutcomeUnknownError,
    "deadline_exceeded": exceptions.CallDeadlineError,
    "target_failed": exceptions.TargetFailedError,
    **dict.fromkeys(_OVERLOADED, exceptions.OverloadedError),
}


def new_idempotency_key(now_ms: int | None = None) -> str:
    """Return a UUIDv7: 48 bits of Unix milliseconds, then random bits."""
    timestamp_ms = time.time_ns() // 1_000_000 if now_ms is None else now_ms
    value = (timestamp_ms & ((1 << 48) - 1)) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


@dataclasses.dataclass(slots=True)
class Reply:
    """A target's response, the attempts sent, and those that lost the connection."""

    status: int
    headers: plainhttp.Headers
    body: bytes
    attempts: int
    request_id: str
    lost_connections: int = 0

    def header(self, name: bytes) -> str:
        """Return the first value of a header, named in lower case."""
        return plainhttp.first_value(self.headers, name)


@dataclasses.dataclass(slots=True)
class RetryPolicy:
    """Bounds of a client's retries: at most limit per call; delays in seconds."""

    limit: int = DEFAULT_RETRIES
    base_backoff_s: float = BASE_BACKOFF_S
    max_backoff_s: float = MAX_BACKOFF_S
    has_budget: bool = True


@dataclasses.dataclass(slots=True)
class _Call:
    service: str
    request: plainhttp.Request
    idempotent: bool
    has_idempotency_key: bool
    deadline: float
    attempt: int = 0
    lost_connections: int = 0


class Client:
    """Calls services through the daemons at the given entry addresses."""

    def __init__(
        self,
        entries: Sequence[str],
        key: str,
        retries: RetryPolicy | None = None,
        rng: random.Random | None = None,
    ):
        if not entries:
            raise ValueError("a client needs at least one entry address")
        self._pools = [plainhttp.Pool(address) for address in entries]
        self._backoff_until = [0.0] * len(entries)
        self._key = key
        self._retries = retries or RetryPolicy()
        self._random = rng or random.Random()
        self._next_entry = self._random.randrange(len(entries))
        self._retry_budget = RETRY_BUDGET_MAX_TOKENS

    def close(self) -> None:
        """Close idle connections."""
        for pool in self._pools:
            pool.close()

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        idempotent: bool | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        idempotency_key: str | None = None,
        headers: plainhttp.Headers | None = None,
        entry: int | None = None,
    ) -> result.Result[Reply, exceptions.CallError]:
        """Call a service; the outcome of a failure tells whether the request ran.

        A non-idempotent call gets a UUIDv7 idempotency key unless one is given. GET,
        HEAD, PUT, DELETE and OPTIONS are idempotent by default.
        """
        if idempotent is None:
            idempotent = method in ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
        if idempotency_key is None and not idempotent:
            idempotency_key = new_idempotency_key()
        sent = [(b"Host", service.encode()), *(headers or [])]
        if self._key:
            sent.append((b"Authorization", f"Bearer {self._key}".encode()))
        if idempotency_key:
            sent.append((b"Idempotency-Key", idempotency_key.encode()))
        now = asyncio.get_running_loop().time()
        call = _Call(
            service,
            plainhttp.Request(method, path, sent, body),
            idempotent,
            bool(idempotency_key),
            now + timeout_s,
        )
        if entry is not None:
            self._next_entry = entry % len(self._pools)
        return await self._call(call)

    async def _call(self, call: _Call) -> result.Result[Reply, exceptions.CallError]:
        while True:
            outcome = await self._attempt(call)
            call.attempt += 1
            if isinstance(outcome, result.Success):
                self._retry_budget = min(
                    RETRY_BUDGET_MAX_TOKENS,
                    self._retry_budget + RETRY_BUDGET_TOKENS_PER_SUCCESS,
                )
                outcome.unwrap().lost_connections = call.lost_connections
                return outcome
            error = outcome.failure()
            call.lost_connections += isinstance(error, exceptions.ConnectionLostError)
            error.attempts, error.lost_connections = call.attempt, call.lost_connections
            delay_s = self._retry_delay(call, error)
            if delay_s is None:
                return outcome
            await asyncio.sleep(delay_s)

    async def _attempt(self, call: _Call) -> result.Result[Reply, exceptions.CallError]:
        remaining_s = call.deadline - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            return _deadline_error(
                "the deadline passed", "not-run" if call.attempt == 0 else "unknown"
            )
        request = dataclasses.replace(call.request)
        request.headers = [
            *call.request.headers,
            (b"Toucanfold-Timeout-Ms", str(max(1, int(remaining_s * 1000))).encode()),
            (b"Toucanfold-Attempt", str(call.attempt).encode()),
        ]
        for _ in range(MAX_CONNECT_ATTEMPTS):
            entry = self._pick_entry()
            outcome = await self._exchange(
                self._pools[entry], request, remaining_s, call
            )
            error = outcome.failure() if isinstance(outcome, result.Failure) else None
            if error is not None and _is_entry_unavailable(error):
                now = asyncio.get_running_loop().time()
                self._backoff_until[entry] = now + ENTRY_BACKOFF_S
            if not isinstance(error, exceptions.ConnectionFailedError):
                break
        return outcome

    async def _exchange(
        self,
        pool: plainhttp.Pool,
        request: plainhttp.Request,
        remaining_s: float,
        call: _Call,
    ) -> result.Result[Reply, exceptions.CallError]:
        try:
            async with asyncio.timeout(remaining_s + RESPONSE_GRACE_S):
                response = await pool.exchange(request)
        except TimeoutError:
            return _deadline_error("no response within the deadline", "unknown")
        except plainhttp.ConnectError as error:
            return result.Failure(_connection_failed_error(str(error)))
        except plainhttp.DisconnectedError as error:
            return result.Failure(_connection_lost_error(str(error)))
        return _to_result(response, call.attempt + 1)

    def _pick_entry(self) -> int:
        """Return the next entry whose backoff is over, or the next one if none is."""
        count = len(self._pools)
        now = asyncio.get_running_loop().time()
        order = [(self._next_entry + step) % count for step in range(count)]
        chosen = next((i for i in order if self._backoff_until[i] <= now), order[0])
        self._next_entry = (chosen + 1) % count
        return chosen

    def _retry_delay(self, call: _Call, error: exceptions.CallError) -> float | None:
        if call.attempt > self._retries.limit or not _is_retried(call, error):
            return None
        if self._retries.has_budget and self._retry_budget < 1:
            return None
        ceiling = min(
            self._retries.max_backoff_s,
            self._retries.base_backoff_s * 2 ** (call.attempt - 1),
        )
        delay_s = max(error.retry_after_s, ceiling * (0.5 + self._random.random() / 2))
        if asyncio.get_running_loop().time() + delay_s >= call.deadline:
            return None
        if self._retries.has_budget:
            self._retry_budget -= 1
        return delay_s


def _is_retried(call: _Call, error: exceptions.CallError) -> bool:
    if isinstance(error, exceptions.ConnectionFailedError):
        return True
    # A retry with the same idempotency key cannot run a request twice.
    is_safe = error.outcome == "not-run" or call.idempotent or call.has_idempotency_key
    if isinstance(error, exceptions.ConnectionLostError):
        return is_safe
    if isinstance(error, exceptions.TargetFailedError):
        # If a call with an idempotency key ran, a retry only gets the recorded answer.
        return call.idempotent or (
            call.has_idempotency_key and error.outcome == "unknown"
        )
    return error.kind in _RETRIED_KINDS and is_safe


def _is_entry_unavailable(error: exceptions.CallError) -> bool:
    """Whether the entry cannot serve calls for now, so that others are preferred."""
    if isinstance(error, exceptions.ConnectionFailedError):
        return True
    return error.kind in ("stopping", "control_stale")


def _deadline_error(message: str, outcome: str) -> result.Failure:
    return result.Failure(
        exceptions.CallDeadlineError(
            message, "allow more time", "deadline_exceeded", outcome
        )
    )


def _connection_failed_error(message: str) -> exceptions.CallError:
    remedy = "check the entry addresses"
    return exceptions.ConnectionFailedError(
        message, remedy, "connection_failed", "not-run"
    )


def _connection_lost_error(message: str) -> exceptions.CallError:
    remedy = "look up the result, or resend with the same idempotency key"
    return exceptions.ConnectionLostError(message, remedy, "connection_lost", "unknown")


def _to_result(
    response: plainhttp.Response, attempts: int
) -> result.Result[Reply, exceptions.CallError]:
    request_id = response.header(b"toucanfold-request-id")
    outcome = response.header(b"toucanfold-outcome")
    fields = _refusal_fields(response)
    if response.status < 500 and not fields:
        return result.Success(
            Reply(
                response.status, response.headers, response.body, attempts, request_id
            )
        )
    kind = str(fields.get("kind") or "target_failed")
    cls = _ERRORS.get(kind, exceptions.RefusedError)
    error = cls(
        str(
            fields.get("message")
            or f"received a response with status {response.status}"
        ),
        str(fields.get("remedy") or "check the result before repeating the request"),
        kind,
        outcome or "unknown",
        response.status,
    )
    error.retry_after_s = _retry_after_s(response, fields)
    error.request_id = request_id
    return result.Failure(error)


def _refusal_fields(response: plainhttp.Response) -> dict[str, Any]:
    """Return the fields of a daemon's refusal, or none if a target answered."""
    if response.status < 400 or response.header(b"toucanfold-outcome") == "ran":
        return {}
    try:
        fields = json.loads(response.body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) and "kind" in fields else {}


def _retry_after_s(response: plainhttp.Response, fields: dict[str, Any]) -> float:
    milliseconds = fields.get("retry_after_ms")
    if isinstance(milliseconds, int | float):
        return min(MAX_BACKOFF_S, milliseconds / 1000)
    text = response.header(b"retry-after")
    return min(MAX_BACKOFF_S, float(text)) if text.isdigit() else 0.0
