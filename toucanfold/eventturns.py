"""Divides the handling of received bytes into turns of the event loop."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any, Protocol

import h11

# Parser events that a connection handles in one turn. One read may hold tens of
# thousands of them, such as chunks of one byte.
MAX_EVENTS_PER_TURN = 16


class EventHandler(Protocol):
    """A connection whose parser events are handled in turns."""

    def can_handle_events(self) -> bool:
        """Whether the next event may be handled now."""

    def next_event(self) -> Any:
        """Return the parser's next event; raises h11.RemoteProtocolError."""

    def on_body_data(self, data: bytes) -> None:
        """Handle consecutive chunks of a body."""

    def on_event(self, event: Any) -> None:
        """Handle an event other than a chunk of a body."""


def handle_turn(handler: EventHandler) -> bool:
    """Handle the events of one turn; return whether more may remain."""
    chunks: list[bytes] = []
    for _ in range(MAX_EVENTS_PER_TURN):
        if not handler.can_handle_events():
            return False
        event = handler.next_event()
        if type(event) is h11.Data:
            chunks.append(bytes(event.data))
            continue
        if chunks:
            handler.on_body_data(b"".join(chunks))
            chunks = []
            if not handler.can_handle_events():
                return False
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        handler.on_event(event)
    if chunks:
        handler.on_body_data(b"".join(chunks))
    return handler.can_handle_events()


class EventTurns:
    """Lets connections with unhandled events continue, one connection a turn."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()

    @property
    def is_busy(self) -> bool:
        """Whether connections wait for their turn; others then queue behind them."""
        return bool(self._waiting)

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
