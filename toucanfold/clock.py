"""The monotonic clock of all processes, which also counts suspended time.

CLOCK_MONOTONIC stops while the machine is suspended, so leases, freshness and deadlines
measured with it could still be valid after a long suspension. CLOCK_BOOTTIME does not
stop.
"""

import asyncio
import math
import time
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVar, TypeVarTuple

import uvloop

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")

# uvloop rounds timer delays to whole milliseconds and adds them to a loop time that is
# truncated to whole milliseconds.
TIMER_RESOLUTION_S = 0.001


def now() -> float:
    """Return seconds since the machine started, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EventLoop(uvloop.Loop):
    """An event loop that uses this module's clock."""

    def time(self) -> float:
        """Return the current time of the loop (s)."""
        return now()

    def call_later(
        self,
        delay: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call back after a delay (s), up to 2 ms late and never early.

        A deadline's timer that fired early would act before the deadline has passed.
        """
        if 0 < delay < math.inf:
            delay = (math.ceil(delay / TIMER_RESOLUTION_S) + 1) * TIMER_RESOLUTION_S
        return super().call_later(delay, callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call back at a time of this clock (s), up to 2 ms late and never early."""
        return self.call_later(when - now(), callback, *args, context=context)


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion in an event loop of this clock."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(main)
