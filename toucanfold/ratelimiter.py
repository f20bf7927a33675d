"""Waits for tokens of client accounts on behalf of callers' requests."""

import asyncio
from collections.abc import Callable

from toucanfold import limits

MIN_PAUSE_S = 0.001
# Longest time between two attempts of a waiting call, each of which asks for a ping. A
# grant wakes it sooner.
MAX_PAUSE_S = 0.1
# Part of a call's time that it may wait for a token; the rest is needed to run it.
PATIENCE_PART = 0.25


class AccountRateLimiter:
    """Spends from a holder of shares; asks for an early ping when one would help."""

    __slots__ = ("_holder", "_loop", "_pausing", "_ping_soon")

    def __init__(self, holder: limits.ShareHolder, ping_soon: Callable[[], None]):
        self._holder = holder
        self._ping_soon = ping_soon
        self._loop = asyncio.get_running_loop()
        # Calls that wait for tokens, in the order of their last attempts.
        self._pausing: dict[asyncio.Future[None], None] = {}
        holder.on_granted = self._wake

    def describe(self, account: str) -> str:
        """Return what is held of an account, for a log line."""
        return self._holder.describe(self._loop.time(), account)

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0 when a token was spent, else the seconds until one (at least)."""
        max_wait_s = PATIENCE_PART * remaining_s
        started_at = self._loop.time()
        spent = self._holder.try_acquire(started_at, account, max_wait_s=max_wait_s)
        while spent.kind is limits.AcquireStatus.WAIT:
            self._ping_soon()
            await self._pause(min(MAX_PAUSE_S, max(MIN_PAUSE_S, spent.seconds)))
            now = self._loop.time()
            spent = self._holder.try_acquire(
                now, account, since=started_at, max_wait_s=max_wait_s
            )
        self._ping_soon()
        if spent.kind is limits.AcquireStatus.ACQUIRED:
            return 0.0
        return max(MIN_PAUSE_S, spent.seconds)

    async def _pause(self, seconds: float) -> None:
        """Wait for a grant, or for a time."""
        pausing = self._loop.create_future()
        self._pausing[pausing] = None
        timer = self._loop.call_later(seconds, self._end, pausing)
        try:
            await pausing
        finally:
            timer.cancel()
            self._pausing.pop(pausing, None)

    def _wake(self) -> None:
        for pausing in list(self._pausing):
            self._end(pausing)

    @staticmethod
    def _end(pausing: asyncio.Future[None]) -> None:
        if not pausing.done():
            pausing.set_result(None)
