"""Queues of calls that wait for dispatch to the daemon's own target."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterator
from typing import Protocol

from toucanfold import calls, kernel, pressure

# Delay that a queue may keep standing, and the time for which it must stand (CoDel).
TARGET_DELAY_S = 0.005
INTERVAL_S = 0.1
# With slow services a shorter queue than this part of a service time would leave the
# target idle between arrivals.
TARGET_SERVICE_PART = 0.25
DEFAULT_LENGTH = 1000
DEFAULT_TIME_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One call waiting for dispatch; times are monotonic seconds."""

    call_id: int | str
    account: str
    weight: float
    rank: int
    depth: int
    root_age_s: float
    priority: int
    deadline: float
    enqueued_at: float

    @property
    def level(self) -> int:
        """Level compared with thresholds; lower is more important."""
        return self.rank * calls.PRIORITY_LEVELS + self.priority


Refused = list[tuple[Ticket, calls.Kind]]


class AdmissionQueue(Protocol):
    """Decides which calls wait, which run next and which are refused."""

    def offer(self, now: float, ticket: Ticket, expected_wait_s: float) -> Refused:
        """Queue a call; expected_wait_s is the time to dispatch the whole queue."""

    def take(self, now: float, service_time_s: float) -> tuple[Ticket | None, Refused]:
        """Return the call to dispatch now, and those refused."""

    def remove(self, call_id: int | str) -> Ticket | None:
        """Take out a cancelled call."""

    def on_window(self, now: float) -> int:
        """Close a window of 100 ms; return the new pressure level."""

    def level_of(self, account: str) -> int:
        """Return the pressure level for an account's calls."""

    def __len__(self) -> int: ...


@kernel.register("admission", "fifo")
class Fifo:
    """Oldest first, refusing only when full: the naive baseline."""

    __slots__ = ("_length", "_tickets")

    def __init__(
        self, length: int = DEFAULT_LENGTH, time_s: float = DEFAULT_TIME_S
    ) -> None:
        self._length = length
        self._tickets: dict[int | str, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def offer(self, now: float, ticket: Ticket, expected_wait_s: float) -> Refused:
        """Queue a call unless the queue is full."""
        if len(self._tickets) >= self._length:
            return [(ticket, calls.Kind.OVERLOADED)]
        self._tickets[ticket.call_id] = ticket
        return []

    def take(self, now: float, service_time_s: float) -> tuple[Ticket | None, Refused]:
        """Return the oldest call."""
        for call_id in self._tickets:
            return self._tickets.pop(call_id), []
        return None, []

    def remove(self, call_id: int | str) -> Ticket | None:
        """Take out a cancelled call."""
        return self._tickets.pop(call_id, None)

    def on_window(self, now: float) -> int:
        """Return the open level, since nothing is refused by class."""
        return calls.MAX_LEVEL

    def level_of(self, account: str) -> int:
        """Return the open level."""
        return calls.MAX_LEVEL


class _Flow:
    """One account's calls of a band, with the virtual start time of the next."""

    __slots__ = ("start", "tickets", "weight")

    def __init__(self, start: float):
        self.start = start
        self.weight = 1.0
        self.tickets: dict[int | str, Ticket] = {}

    def pop(self, newest: bool) -> Ticket:
        if newest:
            return self.tickets.popitem()[1]
        return self.tickets.pop(next(iter(self.tickets)))

    @property
    def excess(self) -> float:
        """Queued calls by weight."""
        return len(self.tickets) / self.weight


class _Band:
    """Calls of one rank, either nested or new; start-time fair queueing."""

    __slots__ = ("_finished", "_flows", "_length", "_virtual")

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        # Virtual finish times of idle accounts that are still in the future.
        self._finished: dict[str, float] = {}
        self._length = 0
        self._virtual = 0.0

    def __len__(self) -> int:
        return self._length

    def add(self, ticket: Ticket) -> None:
        flow = self._flows.get(ticket.account)
        if flow is None:
            start = max(self._virtual, self._finished.pop(ticket.account, 0.0))
            flow = self._flows[ticket.account] = _Flow(start)
        flow.weight = ticket.weight
        flow.tickets[ticket.call_id] = ticket
        self._length += 1

    def pop(self, newest: bool) -> Ticket:
        """Return the next call; the caller charges it when it is dispatched."""
        account = min(self._flows, key=lambda name: self._flows[name].start)
        flow = self._flows[account]
        ticket = flow.pop(newest)
        self._length -= 1
        self._virtual = max(self._virtual, flow.start)
        flow.start += 1 / flow.weight
        self._end_if_idle(account, flow)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        flow = self._flows[ticket.account]
        del flow.tickets[ticket.call_id]
        self._length -= 1
        self._end_if_idle(ticket.account, flow)

    def victim(self, newest_first: bool) -> Ticket:
        """Return the call to refuse: of the account most above its share."""
        flow = max(self._flows.values(), key=lambda flow: flow.excess)
        tickets = flow.tickets
        if newest_first:
            return next(iter(tickets.values()))
        return next(reversed(tickets.values()))

    def _end_if_idle(self, account: str, flow: _Flow) -> None:
        if flow.tickets:
            return
        del self._flows[account]
        if flow.start > self._virtual:
            self._finished[account] = flow.start
        if len(self._finished) > 2 * len(self._flows) + 16:
            self._finished = {
                name: finish
                for name, finish in self._finished.items()
                if finish > self._virtual
            }


@kernel.register("admission", "fair")
class Fair:
    """By class, nested calls first, accounts by weight, and fresh calls first
    while the queue stands.
    """

    __slots__ = (
        "_ages",
        "_bands",
        "_deadlines",
        "_index",
        "_is_standing",
        "_length",
        "_order",
        "_service_time_s",
        "_shortest",
        "_taken",
        "_threshold",
        "_time_s",
        "_window_at",
    )

    def __init__(
        self, length: int = DEFAULT_LENGTH, time_s: float = DEFAULT_TIME_S
    ) -> None:
        self._length = length
        self._time_s = time_s
        # Two bands for each rank, nested calls first.
        self._bands = [_Band() for _ in range(2 * pressure.RANKS)]
        self._index: dict[int | str, Ticket] = {}
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._ages: collections.deque[Ticket] = collections.deque()
        self._order = itertools.count()
        self._threshold = pressure.Threshold()
        self._is_standing = False
        self._service_time_s = 0.0
        self._shortest = 0
        self._taken = 0
        self._window_at: float | None = None

    def __len__(self) -> int:
        return len(self._index)

    @property
    def is_standing(self) -> bool:
        """Whether the delay stayed above its target for the last interval."""
        return self._is_standing

    def offer(self, now: float, ticket: Ticket, expected_wait_s: float) -> Refused:
        """Queue a call, unless its class or its deadline forbids it."""
        if not self._threshold.admits(ticket.account, ticket.weight, ticket.level):
            return [(ticket, calls.Kind.OVERLOADED)]
        wait_s = self._expected_wait(ticket, expected_wait_s)
        if now + wait_s + self._service_time_s > ticket.deadline:
            return [(ticket, calls.Kind.DEADLINE_EXCEEDED)]
        if ticket.rank > 0 and wait_s > self._time_s:
            return [(ticket, calls.Kind.OVERLOADED)]
        refused = list(self._drop_late(now))
        self._add(ticket)
        if len(self._index) > self._length:
            victim = self._victim()
            self._discard(victim)
            refused.append((victim, calls.Kind.OVERLOADED))
        return refused

    def take(self, now: float, service_time_s: float) -> tuple[Ticket | None, Refused]:
        """Return the most important call that can still finish in time."""
        self._service_time_s = service_time_s
        refused = list(self._drop_late(now))
        for band in self._bands:
            if len(band):
                ticket = band.pop(self._is_standing)
                del self._index[ticket.call_id]
                self._shortest = min(self._shortest, len(self._index))
                self._taken += 1
                self._threshold.note_taken()
                return ticket, refused
        return None, refused

    def remove(self, call_id: int | str) -> Ticket | None:
        """Take out a cancelled call."""
        ticket = self._index.get(call_id)
        if ticket is not None:
            self._discard(ticket)
        return ticket

    def on_window(self, now: float) -> int:
        """Judge the delay of the ended window; return the new pressure level.

        The delay is that of the calls which were queued during the whole window, at
        the rate of dispatch, so it does not depend on their order.
        """
        seconds = INTERVAL_S
        if self._window_at is not None:
            seconds = max(0.001, now - self._window_at)
        self._window_at = now
        target_s = max(TARGET_DELAY_S, TARGET_SERVICE_PART * self._service_time_s)
        excess = self._shortest - target_s * max(1, self._taken) / seconds
        self._is_standing = self._shortest > 0 and excess > 0
        is_empty = self._shortest == 0
        self._shortest = len(self._index)
        self._taken = 0
        return self._threshold.on_window(excess, is_empty)

    def level_of(self, account: str) -> int:
        """Return the pressure level for an account's calls."""
        return self._threshold.level_of(account)

    def _expected_wait(self, ticket: Ticket, expected_wait_s: float) -> float:
        """Return the part of the whole wait that is ahead of the call."""
        if not self._index:
            return expected_wait_s
        index = _band_index(ticket)
        ahead = sum(len(band) for band in self._bands[: index + 1])
        return expected_wait_s * ahead / len(self._index)

    def _add(self, ticket: Ticket) -> None:
        if ticket.call_id in self._index:
            raise ValueError(f"call {ticket.call_id} is queued already")
        self._index[ticket.call_id] = ticket
        self._bands[_band_index(ticket)].add(ticket)
        entry = (ticket.deadline, next(self._order), ticket)
        heapq.heappush(self._deadlines, entry)
        if ticket.rank > 0:
            self._ages.append(ticket)

    def _discard(self, ticket: Ticket) -> None:
        del self._index[ticket.call_id]
        self._bands[_band_index(ticket)].remove(ticket)
        self._shortest = min(self._shortest, len(self._index))

    def _is_queued(self, ticket: Ticket) -> bool:
        return self._index.get(ticket.call_id) is ticket

    def _drop_late(self, now: float) -> Iterator[tuple[Ticket, calls.Kind]]:
        """Refuse calls that cannot finish in time or waited too long."""
        while self._deadlines:
            deadline, _, ticket = self._deadlines[0]
            is_late = now + self._service_time_s > deadline
            if self._is_queued(ticket) and not is_late:
                break
            heapq.heappop(self._deadlines)
            if self._is_queued(ticket):
                self._discard(ticket)
                yield ticket, calls.Kind.DEADLINE_EXCEEDED
        while self._ages:
            ticket = self._ages[0]
            is_old = now - ticket.enqueued_at > self._time_s
            if self._is_queued(ticket) and not is_old:
                break
            self._ages.popleft()
            if self._is_queued(ticket):
                self._discard(ticket)
                yield ticket, calls.Kind.OVERLOADED

    def _victim(self) -> Ticket:
        """Return the call to refuse in a full queue: of the lowest class present."""
        band = next(band for band in reversed(self._bands) if len(band))
        return band.victim(self._is_standing)


def _band_index(ticket: Ticket) -> int:
    return 2 * ticket.rank + (0 if ticket.depth > 0 else 1)
