"""Divides the handling of received bytes into turns of the event loop."""

import asyncio
import collections
from collections.abc import Callable

# Parser events that a connection handles in one turn. One read may hold tens of
# thousands of them, such as chunks of one byte.
MAX_EVENTS_PER_TURN = 64


class EventTurns:
    """Lets connections with unhandled events continue, one connection a turn."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()

    def add(self, handle_events: Callable[[], None]) -> None:
        """Call handle_events in a later turn; it may add itself again."""
        if not self._waiting:
            self._schedule()
        self._waiting.append(handle_events)

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        handle_events = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        handle_events()
