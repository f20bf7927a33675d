"""One JSON line for each decision on a request, bounded and without blocking.

Lines of failures and refusals are always written. Those of successes are written for
a sample of the requests, selected by a hash of the request id, so that either all hops
of a request log it or none does.
"""

import collections
import json
import os
import select
import time
from typing import Any

from toucanfold import calls

# One in this many requests is sampled.
REQUESTS_PER_SAMPLE = 64
# Lines buffered for a slow reader of the output; further ones are dropped and counted.
MAX_BUFFERED_BYTES = 256 << 10
STDOUT_DESCRIPTOR = 1


class NonBlockingWriter:
    """Writes lines to a file descriptor; drops lines if its reader does not keep up."""

    __slots__ = ("_buffer", "_buffered_bytes", "_descriptor", "_poll", "dropped_lines")

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR):
        # Lines dropped since a decision line last reported their number.
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        # The descriptor is not made non-blocking, since others may share it.
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> bool:
        """Write a line, or buffer it until the reader takes it; False if dropped."""
        self.flush()
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return False
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            line = self._buffer[0]
            if not self._poll.poll(0):
                return
            try:
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
            except OSError:
                # The reader has closed the output, so the loss cannot be reported.
                self.dropped_lines += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()


class TextStream:
    """Text stream over a NonBlockingWriter, for the standard library's log handlers."""

    def __init__(self, writer: NonBlockingWriter):
        self._writer = writer

    def write(self, text: str) -> int:
        """Write text; it is dropped and counted if the buffer is full."""
        self._writer.write(text.encode("utf-8", "replace"))
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._writer.flush()

    def close(self) -> None:
        """Write what the reader takes now; the descriptor stays open."""
        self._writer.flush()


class DecisionLog:
    """Decision lines of one process; inputs are the values behind each decision."""

    __slots__ = ("_process", "_writer")

    def __init__(self, process: str, writer: NonBlockingWriter):
        self._process = process
        self._writer = writer

    def is_sampled(self, request_id: str) -> bool:
        """Whether all lines of a request are written."""
        return calls.split_fraction(request_id) * REQUESTS_PER_SAMPLE < 1

    def log_decision(
        self,
        decision: str,
        request_id: str,
        *,
        always: bool = False,
        **inputs: Any,
    ) -> None:
        """Write a decision if the request is sampled or always is set.

        The names of the inputs state their units.
        """
        if not always and not self.is_sampled(request_id):
            return
        fields = {
            "time": round(time.time(), 3),
            "process": self._process,
            "decision": decision,
            "request_id": request_id,
            **inputs,
        }
        if self._writer.dropped_lines:
            fields["lines_dropped"] = self._writer.dropped_lines
        line = json.dumps(fields, separators=(",", ":"), default=str).encode() + b"\n"
        if self._writer.write(line):
            self._writer.dropped_lines = 0


class NullDecisionLog(DecisionLog):
    """Writes nothing, for components used outside a daemon process."""

    __slots__ = ()

    def __init__(self) -> None:
        pass

    def log_decision(
        self,
        decision: str,
        request_id: str,
        *,
        always: bool = False,
        **inputs: Any,
    ) -> None:
        """Discard the decision."""
