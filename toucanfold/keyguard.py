"""Keeps text shaped like a key out of streamed request bodies."""

from collections.abc import AsyncIterator

from toucanfold import bodies, exceptions, headers

# Length of a key's text; one byte less may be the beginning of a key.
KEY_BYTES = 57
HELD_BYTES = KEY_BYTES - 1


class KeyFilter:
    """Passes the parts of a body on until one holds a key.

    The end of each part is held back until the next one, so that a key which is split
    between parts is found before its last byte is passed on.
    """

    __slots__ = ("_held", "_parts", "_stream")

    def __init__(self, stream: bodies.BodyStream):
        self._stream = stream
        self._parts = aiter(stream)
        self._held = b""

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        while True:
            try:
                part = self._held + await anext(self._parts)
            except StopAsyncIteration:
                if not self._held:
                    raise
                last, self._held = self._held, b""
                return last
            if headers.has_key(part):
                self.cancel()
                raise exceptions.BodyAbortedError("the body holds a key")
            cut = max(0, len(part) - HELD_BYTES)
            self._held = part[cut:]
            if cut:
                return part[:cut]

    def cancel(self) -> None:
        """Tell the producer that the consumer takes no more."""
        self._held = b""
        self._stream.cancel()
