"""Waits for tokens of client accounts on behalf of callers' requests."""

import asyncio
from collections.abc import Callable

from toucanfold import limits

MIN_RETRY_DELAY_S = 0.001
# Maximum time between two attempts of a waiting call, each of which requests an early
# ping. A grant wakes the call sooner.
MAX_RETRY_DELAY_S = 0.1
# Fraction of a call's remaining time in which it may wait for a token; the rest is
# needed to run it.
MAX_WAIT_FRACTION = 0.25


def max_wait_s(remaining_s: float) -> float:
    """Return how long a call may wait for a token, by the time until its deadline."""
    return min(limits.MAX_WAIT_S, MAX_WAIT_FRACTION * max(0.0, remaining_s))


class AccountRateLimiter:
    """Takes tokens from a share holder; requests an early ping after each attempt."""

    __slots__ = ("_holder", "_loop", "_ping_soon", "_waiting")

    def __init__(self, holder: limits.ShareHolder, ping_soon: Callable[[], None]):
        self._holder = holder
        self._ping_soon = ping_soon
        self._loop = asyncio.get_running_loop()
        # Calls that wait for tokens, in the order of their last attempts.
        self._waiting: dict[asyncio.Future[None], None] = {}
        holder.on_granted = self._wake_all

    def describe(self, account: str) -> str:
        """Return the state of an account's share, for a log line."""
        return self._holder.describe(self._loop.time(), account)

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0 if a token was acquired, else the least time until one (s)."""
        limit_s = max_wait_s(remaining_s)
        started_at = self._loop.time()
        result = self._holder.try_acquire(started_at, account, max_wait_s=limit_s)
        while result.kind is limits.AcquireStatus.WAIT:
            self._ping_soon()
            await self._wait_for_grant(
                min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, result.seconds))
            )
            now = self._loop.time()
            result = self._holder.try_acquire(
                now, account, first_attempt_at=started_at, max_wait_s=limit_s
            )
        self._ping_soon()
        if result.kind is limits.AcquireStatus.ACQUIRED:
            return 0.0
        return max(MIN_RETRY_DELAY_S, result.seconds)

    async def _wait_for_grant(self, seconds: float) -> None:
        """Wait for a grant, at most for the given time."""
        waiting = self._loop.create_future()
        self._waiting[waiting] = None
        timer = self._loop.call_later(seconds, self._complete, waiting)
        try:
            await waiting
        finally:
            timer.cancel()
            self._waiting.pop(waiting, None)

    def _wake_all(self) -> None:
        for waiting in list(self._waiting):
            self._complete(waiting)

    @staticmethod
    def _complete(waiting: asyncio.Future[None]) -> None:
        if not waiting.done():
            waiting.set_result(None)
