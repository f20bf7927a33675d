"""What dispatch needs of a limiter and a queue, with the simplest of each."""

import collections
import dataclasses
import enum
from typing import Protocol

from toucanfold import calls, kernel


class FinishKind(enum.IntEnum):
    """How a call at the target ended, for the concurrency limiter."""

    OK = 1
    SHED = 2
    TIMEOUT = 3
    FAILED = 4
    CANCELLED = 5


@dataclasses.dataclass(slots=True)
class Ticket:
    """One call waiting for dispatch; times are monotonic seconds."""

    call_id: int
    account: str
    weight: float
    rank: int
    depth: int
    root_age_s: float
    priority: int
    deadline: float
    enqueued_at: float


Refused = list[tuple[Ticket, calls.Kind]]


class ConcurrencyLimiter(Protocol):
    """Decides how many calls may run at the target."""

    @property
    def limit(self) -> int:
        """Most calls that may run at the same time."""

    def on_start(self, now: float, in_flight: int) -> None:
        """Learn that a call was dispatched."""

    def on_finish(
        self, now: float, own_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Learn how a call ended and how long the target itself worked on it."""


class AdmissionQueue(Protocol):
    """Orders the calls that wait for dispatch."""

    def offer(self, now: float, ticket: Ticket, expected_wait_s: float) -> Refused:
        """Add a ticket; return those refused now, perhaps the offered one."""

    def take(self, now: float, service_time_s: float) -> tuple[Ticket | None, Refused]:
        """Return the next ticket and those that became hopeless."""

    def remove(self, call_id: int) -> Ticket | None:
        """Remove a cancelled call."""

    def on_window(self, now: float) -> int:
        """Return the pressure level after a window."""

    def __len__(self) -> int: ...


@kernel.register("limiter", "fixed")
class FixedLimiter:
    """Baseline: a constant limit."""

    __slots__ = ("limit",)

    def __init__(self, limit: int = 64):
        self.limit = limit

    def on_start(self, now: float, in_flight: int) -> None:
        """Learn nothing."""

    def on_finish(
        self, now: float, own_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Learn nothing."""


@kernel.register("admission", "fifo")
class FifoQueue:
    """Baseline: first in, first out, with a bounded length."""

    __slots__ = ("_length", "_tickets")

    def __init__(self, queue_ms: int = 500, queue_length: int = 1000):
        self._length = queue_length
        self._tickets: collections.OrderedDict[int, Ticket] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def offer(self, now: float, ticket: Ticket, expected_wait_s: float) -> Refused:
        """Refuse the ticket when the queue is full."""
        if len(self._tickets) >= self._length:
            return [(ticket, calls.Kind.OVERLOADED)]
        self._tickets[ticket.call_id] = ticket
        return []

    def take(self, now: float, service_time_s: float) -> tuple[Ticket | None, Refused]:
        """Return the oldest ticket whose deadline has not passed."""
        late: Refused = []
        while self._tickets:
            _, ticket = self._tickets.popitem(last=False)
            if ticket.deadline > now:
                return ticket, late
            late.append((ticket, calls.Kind.DEADLINE_EXCEEDED))
        return None, late

    def remove(self, call_id: int) -> Ticket | None:
        """Remove a cancelled call."""
        return self._tickets.pop(call_id, None)

    def on_window(self, now: float) -> int:
        """Return the fully open level: this queue exerts no pressure."""
        return calls.MAX_LEVEL
