"""Streams of body chunks between two connections, with back pressure."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
from typing import Any

from toucanfold import exceptions

# Bodies up to this size are buffered completely, so that they can be sent again.
MAX_BUFFERED_BODY_BYTES = 64 << 10
# A stream's producer stops reading when more than this is buffered.
STREAM_WINDOW_BYTES = 256 << 10


async def read_all(body: bytes, stream: AsyncIterator[bytes] | None) -> bytes:
    """Return the complete body, read to its end; BodyAbortedError if it is aborted."""
    if stream is None:
        return body
    return b"".join([chunk async for chunk in stream])


class BodyStream:
    """The chunks of one body, added by a producer and iterated by one consumer.

    Iteration ends after finish; after abort it raises BodyAbortedError.
    """

    __slots__ = (
        "_chunks",
        "_end_callbacks",
        "_ended",
        "_error",
        "_on_consumed",
        "_waiter",
        "buffered_bytes",
        "cancelled",
    )

    def __init__(self, on_consumed: Callable[[int], None] | None = None):
        self.buffered_bytes = 0
        self.cancelled = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._error = ""
        self._on_consumed = on_consumed
        self._end_callbacks: list[Callable[[bool], None]] = []

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        while not self._chunks:
            if self._error:
                raise exceptions.BodyAbortedError(self._error)
            if self._ended:
                raise StopAsyncIteration
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        chunk = self._chunks.popleft()
        self.buffered_bytes -= len(chunk)
        if self._on_consumed is not None:
            self._on_consumed(len(chunk))
        return chunk

    @property
    def is_ended(self) -> bool:
        """Whether the body was finished, aborted or cancelled."""
        return self._ended

    def put(self, data: bytes) -> None:
        """Add a chunk; ignored after the end."""
        if self._ended or not data:
            return
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self._end(True)

    def abort(self, reason: str) -> None:
        """End the body as incomplete and discard buffered chunks."""
        if not self._ended:
            self._error = reason
            self._chunks.clear()
            self._end(False)

    def cancel(self) -> None:
        """Abort the body because the consumer stopped reading."""
        self.cancelled = True
        self.abort("the consumer gave up")

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Call callback(complete) once at the end, immediately if it has ended."""
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
    """Cancel a body stream; does nothing if the value cannot be cancelled."""
    if hasattr(stream, "cancel"):
        stream.cancel()
