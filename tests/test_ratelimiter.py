import asyncio

import helpers

from toucanfold import limits, messages, model, ratelimiter


class _Holder(limits.ShareHolder):
    """Holder without any tokens."""


def test_call_with_little_time_is_refused_while_its_caller_still_waits():
    """Guards against calls that wait for a token until their caller has timed out.

    Seen on setubhar-mesh quiet-1 (entry a876ded8): 132 requests that arrived again with
    330 ms remaining waited 400 ms for a token.
    """

    async def check():
        holder = _Holder()
        state = model.FleetState()
        state.accounts["a"] = model.Account("a", 10, 10)
        loop = asyncio.get_running_loop()
        holder.on_state(loop.time(), state)
        rate_limiter = ratelimiter.AccountRateLimiter(holder, lambda: None)
        started_at = loop.time()
        assert await rate_limiter.acquire("a", 0.33) > 0
        assert loop.time() - started_at < 0.2
        started_at = loop.time()
        assert await rate_limiter.acquire("a", 10.0) > 0
        assert loop.time() - started_at <= limits.MAX_WAIT_S + 0.2

    helpers.run(check())


def test_waiting_call_continues_as_soon_as_a_grant_arrives():
    """Guards against calls that poll for tokens, which costs time and wake-ups."""

    async def check():
        holder = limits.ShareHolder()
        state = model.FleetState()
        state.accounts["a"] = model.Account("a", 10, 10)
        loop = asyncio.get_running_loop()
        holder.on_state(loop.time(), state)
        rate_limiter = ratelimiter.AccountRateLimiter(holder, lambda: None)
        waiting = loop.create_task(rate_limiter.acquire("a", 10.0))
        await asyncio.sleep(0.01)
        now = loop.time()
        share = messages.Share("a", 0.0, 1.0, 1.0, 1)
        holder.on_grants(now, now, 1, [share])
        assert await waiting == 0.0
        assert loop.time() - now < ratelimiter.MAX_RETRY_DELAY_S / 2

    helpers.run(check())
