import asyncio
import time

from toucanfold import clock


def test_loop_counts_suspended_time():
    """Guards against leases that outlive a freeze of the machine."""

    async def read():
        return asyncio.get_running_loop().time()

    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    seen = clock.run(read())
    assert before <= seen <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_loop_time_and_now_are_one_clock(monkeypatch):
    """Guards against deciders and timers that read different clocks."""
    monkeypatch.setattr(clock, "now", lambda: 12345.0)
    loop = clock.EventLoop()
    try:
        assert loop.time() == 12345.0
    finally:
        loop.close()
