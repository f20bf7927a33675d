"""The clock of all processes: seconds that go on while a machine is suspended.

CLOCK_MONOTONIC stands still in a suspended machine, so leases, freshness and deadlines
measured with it would outlive a freeze. CLOCK_BOOTTIME counts that time.
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

# uvloop counts delays of timers in whole milliseconds from a time cut to whole ones.
TICK_S = 0.001


def now() -> float:
    """Return seconds since the machine started, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EventLoop(uvloop.Loop):
    """An event loop whose timers and times follow this module's clock."""

    def time(self) -> float:
        """Return the present time of the loop (s)."""
        return now()

    def call_later(
        self,
        delay: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call back after a delay (s), up to two ticks late and never early.

        A deadline's timer that fires early would find that there is time left.
        """
        if 0 < delay < math.inf:
            delay = (math.ceil(delay / TICK_S) + 1) * TICK_S
        return super().call_later(delay, callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call back at a time of this clock (s), up to two ticks late."""
        return self.call_later(when - now(), callback, *args, context=context)


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end in an event loop of this clock."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(main)
