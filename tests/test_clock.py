import asyncio
import time

import helpers

from toucanfold import clock


def test_loop_counts_suspended_time():
    """Guards against leases that are still valid after the machine was suspended."""

    async def read():
        return asyncio.get_running_loop().time()

    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    seen = clock.run(read())
    assert before <= seen <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_loop_time_and_now_read_the_same_clock(monkeypatch):
    """Guards against decisions and timers that use different clocks."""
    monkeypatch.setattr(clock, "now", lambda: 12345.0)
    loop = clock.EventLoop()
    try:
        assert loop.time() == 12345.0
    finally:
        loop.close()


def test_timers_never_fire_before_their_time():
    """Guards against a deadline's timer that fires before the deadline.

    A call whose target did not answer got 502 instead of 504, since its timer closed
    the connection a fraction of a millisecond before the deadline.
    """

    async def check():
        loop = asyncio.get_running_loop()
        early = []

        def fire(when):
            if loop.time() < when:
                early.append(when - loop.time())

        for number in range(300):
            when = loop.time() + 0.001 + number * 0.00037
            loop.call_at(when, fire, when)
            loop.call_later(0.0004, fire, loop.time() + 0.0004)
            await asyncio.sleep(0.0003)
        await asyncio.sleep(0.2)
        assert not early

    helpers.run(check())
