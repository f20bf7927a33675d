"""The clock of all processes: seconds that go on while a machine is suspended.

CLOCK_MONOTONIC stands still in a suspended machine, so leases, freshness and deadlines
measured with it would outlive a freeze. CLOCK_BOOTTIME counts that time.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

Result = TypeVar("Result")


def now() -> float:
    """Return seconds since the machine started, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EventLoop(uvloop.Loop):
    """An event loop whose timers and times follow this module's clock."""

    def time(self) -> float:
        """Return the present time of the loop (s)."""
        return now()


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end in an event loop of this clock."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(main)
