"""Streams of body parts between two connections, with back pressure."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
from typing import Any

from toucanfold import exceptions

# Bodies up to this size are handled as one piece of bytes and can be sent again.
MAX_BUFFERED_BODY_BYTES = 64 << 10
# A stream's producer pauses when this much waits for the consumer.
STREAM_WINDOW_BYTES = 256 << 10


async def read_all(body: bytes, stream: AsyncIterator[bytes] | None) -> bytes:
    """Return a body that may still arrive; BodyAbortedError if it breaks off."""
    if stream is None:
        return body
    return b"".join([part async for part in stream])


class BodyStream:
    """Parts of one body: a producer puts them and one consumer iterates.

    The consumer sees the end only after finish; abort raises BodyAbortedError.
    """

    __slots__ = (
        "_end_callbacks",
        "_ended",
        "_error",
        "_on_consumed",
        "_parts",
        "_waiter",
        "buffered_bytes",
        "cancelled",
    )

    def __init__(self, on_consumed: Callable[[int], None] | None = None):
        self.buffered_bytes = 0
        self.cancelled = False
        self._parts: collections.deque[bytes] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._error = ""
        self._on_consumed = on_consumed
        self._end_callbacks: list[Callable[[bool], None]] = []

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        while not self._parts:
            if self._error:
                raise exceptions.BodyAbortedError(self._error)
            if self._ended:
                raise StopAsyncIteration
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        part = self._parts.popleft()
        self.buffered_bytes -= len(part)
        if self._on_consumed is not None:
            self._on_consumed(len(part))
        return part

    @property
    def is_ended(self) -> bool:
        """Whether the producer has finished or either side gave up."""
        return self._ended

    def put(self, data: bytes) -> None:
        """Add a part; ignored after the end."""
        if self._ended or not data:
            return
        self._parts.append(data)
        self.buffered_bytes += len(data)
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self._end(True)

    def abort(self, reason: str) -> None:
        """End the body without completing it; waiting parts are dropped."""
        if not self._ended:
            self._error = reason
            self._parts.clear()
            self._end(False)

    def cancel(self) -> None:
        """Tell the producer that the consumer takes no more."""
        self.cancelled = True
        self.abort("the consumer gave up")

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Call back once at the end with whether the body is complete."""
        if self._ended:
            callback(not self._error)
        else:
            self._end_callbacks.append(callback)

    def _end(self, complete: bool) -> None:
        if self._ended:
            return
        self._ended = True
        self._wake()
        callbacks, self._end_callbacks = self._end_callbacks, []
        for callback in callbacks:
            callback(complete)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def cancel(stream: Any) -> None:
    """Tell the producer of a stream, if there is one, that nobody reads it."""
    if hasattr(stream, "cancel"):
        stream.cancel()
