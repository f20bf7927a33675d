"""Queues of calls that wait for dispatch to the daemon's own target."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterator
from typing import Protocol

from toucanfold import calls, pressure, registry

# Delay that a queue may keep standing, and the time for which it must stand (CoDel).
TARGET_DELAY_S = 0.005
INTERVAL_S = 0.1
# With slow services a shorter queue than this part of a service time would leave the
# target idle between arrivals.
TARGET_SERVICE_PART = 0.25
DEFAULT_LENGTH = 1000
DEFAULT_TIME_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class QueuedCall:
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


RefusedCalls = list[tuple[QueuedCall, calls.RefusalKind]]


class AdmissionQueue(Protocol):
    """Decides which calls wait, which run next and which are refused."""

    def enqueue(
        self, now: float, queued_call: QueuedCall, expected_wait_s: float
    ) -> RefusedCalls:
        """Queue a call; expected_wait_s is the time to dispatch the whole queue."""

    def dequeue(
        self, now: float, service_time_s: float
    ) -> tuple[QueuedCall | None, RefusedCalls]:
        """Return the call to dispatch now, and those refused."""

    def remove(self, call_id: int | str) -> QueuedCall | None:
        """Take out a cancelled call."""

    def on_window(self, now: float) -> int:
        """Close a window of 100 ms; return the new pressure level."""

    def level_of(self, account: str) -> int:
        """Return the pressure level for an account's calls."""

    def __len__(self) -> int: ...


@registry.register("admission", "fifo")
class FifoQueue:
    """Oldest first, refusing only when full: the naive baseline."""

    __slots__ = ("_length", "_tickets")

    def __init__(
        self, length: int = DEFAULT_LENGTH, time_s: float = DEFAULT_TIME_S
    ) -> None:
        self._length = length
        self._tickets: dict[int | str, QueuedCall] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def enqueue(
        self, now: float, queued_call: QueuedCall, expected_wait_s: float
    ) -> RefusedCalls:
        """Queue a call unless the queue is full."""
        if len(self._tickets) >= self._length:
            return [(queued_call, calls.RefusalKind.OVERLOADED)]
        self._tickets[queued_call.call_id] = queued_call
        return []

    def dequeue(
        self, now: float, service_time_s: float
    ) -> tuple[QueuedCall | None, RefusedCalls]:
        """Return the oldest call."""
        for call_id in self._tickets:
            return self._tickets.pop(call_id), []
        return None, []

    def remove(self, call_id: int | str) -> QueuedCall | None:
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

    __slots__ = ("queued_calls", "start", "weight")

    def __init__(self, start: float):
        self.start = start
        self.weight = 1.0
        self.queued_calls: dict[int | str, QueuedCall] = {}

    def pop(self, newest: bool) -> QueuedCall:
        if newest:
            return self.queued_calls.popitem()[1]
        return self.queued_calls.pop(next(iter(self.queued_calls)))

    @property
    def excess(self) -> float:
        """Queued calls by weight."""
        return len(self.queued_calls) / self.weight


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

    def add(self, queued_call: QueuedCall) -> None:
        flow = self._flows.get(queued_call.account)
        if flow is None:
            start = max(self._virtual, self._finished.pop(queued_call.account, 0.0))
            flow = self._flows[queued_call.account] = _Flow(start)
        flow.weight = queued_call.weight
        flow.queued_calls[queued_call.call_id] = queued_call
        self._length += 1

    def pop(self, newest: bool) -> QueuedCall:
        """Return the next call; the caller charges it when it is dispatched."""
        account = min(self._flows, key=lambda name: self._flows[name].start)
        flow = self._flows[account]
        queued_call = flow.pop(newest)
        self._length -= 1
        self._virtual = max(self._virtual, flow.start)
        flow.start += 1 / flow.weight
        self._end_if_idle(account, flow)
        return queued_call

    def remove(self, queued_call: QueuedCall) -> None:
        flow = self._flows[queued_call.account]
        del flow.queued_calls[queued_call.call_id]
        self._length -= 1
        self._end_if_idle(queued_call.account, flow)

    def victim(self, newest_first: bool) -> QueuedCall:
        """Return the call to refuse: of the account most above its share."""
        flow = max(self._flows.values(), key=lambda flow: flow.excess)
        queued_calls = flow.queued_calls
        if newest_first:
            return next(iter(queued_calls.values()))
        return next(reversed(queued_calls.values()))

    def _end_if_idle(self, account: str, flow: _Flow) -> None:
        if flow.queued_calls:
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


@registry.register("admission", "fair")
class FairQueue:
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
        self._index: dict[int | str, QueuedCall] = {}
        self._deadlines: list[tuple[float, int, QueuedCall]] = []
        self._ages: collections.deque[QueuedCall] = collections.deque()
        self._order = itertools.count()
        self._threshold = pressure.AdmissionThreshold()
        self._is_standing = False
        self._service_time_s = 0.0
        self._shortest = 0
        self._taken = 0
        self._window_at: float | None = None

    def __len__(self) -> int:
        return len(self._index)

    @property
    def has_standing_delay(self) -> bool:
        """Whether the delay stayed above its target for the last interval."""
        return self._is_standing

    def enqueue(
        self, now: float, queued_call: QueuedCall, expected_wait_s: float
    ) -> RefusedCalls:
        """Queue a call, unless its class or its deadline forbids it."""
        if not self._threshold.admits(
            queued_call.account, queued_call.weight, queued_call.level
        ):
            return [(queued_call, calls.RefusalKind.OVERLOADED)]
        wait_s = self._expected_wait(queued_call, expected_wait_s)
        if now + wait_s + self._service_time_s > queued_call.deadline:
            return [(queued_call, calls.RefusalKind.DEADLINE_EXCEEDED)]
        if queued_call.rank > 0 and wait_s > self._time_s:
            return [(queued_call, calls.RefusalKind.OVERLOADED)]
        refused = list(self._drop_late(now))
        self._add(queued_call)
        if len(self._index) > self._length:
            victim = self._victim()
            self._discard(victim)
            refused.append((victim, calls.RefusalKind.OVERLOADED))
        return refused

    def dequeue(
        self, now: float, service_time_s: float
    ) -> tuple[QueuedCall | None, RefusedCalls]:
        """Return the most important call that can still finish in time."""
        self._service_time_s = service_time_s
        refused = list(self._drop_late(now))
        for band in self._bands:
            if len(band):
                queued_call = band.pop(self._is_standing)
                del self._index[queued_call.call_id]
                self._shortest = min(self._shortest, len(self._index))
                self._taken += 1
                self._threshold.note_taken()
                return queued_call, refused
        return None, refused

    def remove(self, call_id: int | str) -> QueuedCall | None:
        """Take out a cancelled call."""
        queued_call = self._index.get(call_id)
        if queued_call is not None:
            self._discard(queued_call)
        return queued_call

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

    def _expected_wait(self, queued_call: QueuedCall, expected_wait_s: float) -> float:
        """Return the part of the whole wait that is ahead of the call."""
        if not self._index:
            return expected_wait_s
        index = _band_index(queued_call)
        ahead = sum(len(band) for band in self._bands[: index + 1])
        return expected_wait_s * ahead / len(self._index)

    def _add(self, queued_call: QueuedCall) -> None:
        if queued_call.call_id in self._index:
            raise ValueError(f"call {queued_call.call_id} is queued already")
        self._index[queued_call.call_id] = queued_call
        self._bands[_band_index(queued_call)].add(queued_call)
        entry = (queued_call.deadline, next(self._order), queued_call)
        heapq.heappush(self._deadlines, entry)
        if queued_call.rank > 0:
            self._ages.append(queued_call)

    def _discard(self, queued_call: QueuedCall) -> None:
        del self._index[queued_call.call_id]
        self._bands[_band_index(queued_call)].remove(queued_call)
        self._shortest = min(self._shortest, len(self._index))

    def _is_queued(self, queued_call: QueuedCall) -> bool:
        return self._index.get(queued_call.call_id) is queued_call

    def _drop_late(self, now: float) -> Iterator[tuple[QueuedCall, calls.RefusalKind]]:
        """Refuse calls that cannot finish in time or waited too long."""
        while self._deadlines:
            deadline, _, queued_call = self._deadlines[0]
            is_late = now + self._service_time_s > deadline
            if self._is_queued(queued_call) and not is_late:
                break
            heapq.heappop(self._deadlines)
            if self._is_queued(queued_call):
                self._discard(queued_call)
                yield queued_call, calls.RefusalKind.DEADLINE_EXCEEDED
        while self._ages:
            queued_call = self._ages[0]
            is_old = now - queued_call.enqueued_at > self._time_s
            if self._is_queued(queued_call) and not is_old:
                break
            self._ages.popleft()
            if self._is_queued(queued_call):
                self._discard(queued_call)
                yield queued_call, calls.RefusalKind.OVERLOADED

    def _victim(self) -> QueuedCall:
        """Return the call to refuse in a full queue: of the lowest class present."""
        band = next(band for band in reversed(self._bands) if len(band))
        return band.victim(self._is_standing)


def _band_index(queued_call: QueuedCall) -> int:
    return 2 * queued_call.rank + (0 if queued_call.depth > 0 else 1)
