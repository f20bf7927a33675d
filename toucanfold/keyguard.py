"""Aborts streamed request bodies with text that matches the key pattern."""

from collections.abc import AsyncIterator

from toucanfold import bodies, exceptions, headers

# Length of a key. Up to one byte less at a chunk's end may be the start of a key.
KEY_BYTES = 57
MAX_PARTIAL_KEY_BYTES = KEY_BYTES - 1


class KeyFilter:
    """Passes on the chunks of a body; raises BodyAbortedError if they hold a key.

    The end of each chunk is buffered until the next one arrives, so that a key split
    across chunks is found before its last byte is passed on.
    """

    __slots__ = ("_chunks", "_stream", "_tail")

    def __init__(self, stream: bodies.BodyStream):
        self._stream = stream
        self._chunks = aiter(stream)
        self._tail = b""

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        while True:
            try:
                chunk = self._tail + await anext(self._chunks)
            except StopAsyncIteration:
                if not self._tail:
                    raise
                last, self._tail = self._tail, b""
                return last
            if headers.has_key(chunk):
                self.cancel()
                raise exceptions.BodyAbortedError("the body holds a key")
            cut = max(0, len(chunk) - MAX_PARTIAL_KEY_BYTES)
            self._tail = chunk[cut:]
            if cut:
                return chunk[:cut]

    def cancel(self) -> None:
        """Discard the buffered bytes and cancel the body stream."""
        self._tail = b""
        self._stream.cancel()
