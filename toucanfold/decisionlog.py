"""One JSON line for each decision on a request, bounded and without blocking.

Lines of failures and refusals are always written. Those of successes are written for
a part of the requests, chosen by the request's id, so that all hops of a request write
theirs or none does.
"""

import collections
import json
import os
import select
import time
from typing import Any

from toucanfold import calls

# One request in this many has all its lines written.
SAMPLED_IN = 64
# Lines that wait for a slow reader of the output; later ones are dropped and counted.
MAX_WAITING_BYTES = 256 << 10
STDOUT = 1


class NonBlockingWriter:
    """Writes lines to a file descriptor as far as its reader keeps up."""

    __slots__ = ("_descriptor", "_poll", "_size", "_waiting", "dropped_lines")

    def __init__(self, descriptor: int = STDOUT):
        # Lines dropped since the last one that was written.
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        # The descriptor is not made non-blocking, since others may share it.
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> bool:
        """Write a line, or keep it until the reader takes it; False if dropped."""
        self.flush()
        if self._size + len(line) > MAX_WAITING_BYTES:
            self.dropped_lines += 1
            return False
        self._waiting.append(line)
        self._size += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            line = self._waiting[0]
            if not self._poll.poll(0):
                return
            try:
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
            except OSError:
                # Nobody reads the output any more, so nobody can be told either.
                self.dropped_lines += len(self._waiting)
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._waiting[0] = line[written:]
            else:
                self._waiting.popleft()


class TextStream:
    """Text file that writes to a Writer, for the standard library's log handlers."""

    def __init__(self, writer: NonBlockingWriter):
        self._writer = writer

    def write(self, text: str) -> int:
        """Write text; what the reader does not take in time is dropped and counted."""
        self._writer.write(text.encode("utf-8", "replace"))
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._writer.flush()


class DecisionLog:
    """Lines of one process; inputs are the values that decided, with their unit."""

    __slots__ = ("_process", "_writer")

    def __init__(self, process: str, writer: NonBlockingWriter):
        self._process = process
        self._writer = writer

    def is_sampled(self, request_id: str) -> bool:
        """Whether all lines of a request are written."""
        return calls.split_fraction(request_id) * SAMPLED_IN < 1

    def log_decision(
        self,
        decision: str,
        request_id: str,
        *,
        always: bool = False,
        **inputs: Any,
    ) -> None:
        """Write a decision if the request is sampled or the line always counts."""
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
    """Writes nothing, for parts that are used without a process around them."""

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
        """Drop the line."""
