"""Queues of calls that wait for dispatch to the daemon's local target."""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterator
from typing import Protocol

from toucanfold import calls, pressure, registry

# Acceptable standing queue delay, and the interval for which the delay must stay above
# it before the queue counts as having a standing queue delay (CoDel).
TARGET_QUEUE_DELAY_S = 0.005
DELAY_INTERVAL_S = 0.1
# Lower bound of the acceptable delay, as a fraction of the service time: with slow
# services a shorter queue would leave the target idle between arrivals.
MIN_DELAY_SERVICE_FRACTION = 0.25
DEFAULT_MAX_CALLS = 1000
DEFAULT_MAX_WAIT_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class QueuedCall:
    """One call waiting for dispatch; times are monotonic seconds.

    service_time_s is how long the target is expected to take.
    """

    call_id: int | str
    account: str
    weight: float
    rank: int
    depth: int
    root_age_s: float
    priority: int
    deadline: float
    enqueued_at: float
    service_time_s: float = 0.0

    @property
    def dispatch_by(self) -> float:
        """Latest time of dispatch at which the call is expected to finish in time."""
        return self.deadline - self.service_time_s

    @property
    def level(self) -> int:
        """Level that thresholds are compared with; lower is more important."""
        return self.rank * calls.PRIORITY_LEVELS + self.priority


RefusedCalls = list[tuple[QueuedCall, calls.RefusalKind]]


class AdmissionQueue(Protocol):
    """Decides which calls wait, which run next and which are refused."""

    def enqueue(
        self, now: float, queued_call: QueuedCall, expected_wait_s: float
    ) -> RefusedCalls:
        """Queue a call; expected_wait_s is the time to dispatch all queued calls."""

    def dequeue(
        self, now: float, service_time_s: float
    ) -> tuple[QueuedCall | None, RefusedCalls]:
        """Return the call to dispatch now, if any, and the calls refused.

        service_time_s is the mean over all calls.
        """

    def remove(self, call_id: int | str) -> QueuedCall | None:
        """Remove a cancelled call; return it, or None if it is not queued."""

    def on_window(self, now: float) -> int:
        """Close a window of 100 ms; return the new pressure level."""

    def level_of(self, account: str) -> int:
        """Return the pressure level for an account's calls."""

    def __len__(self) -> int: ...


@registry.register("admission", "fifo")
class FifoQueue:
    """First in, first out; refuses only when full. Baseline for comparisons."""

    __slots__ = ("_max_length", "_queued_calls")

    def __init__(
        self, length: int = DEFAULT_MAX_CALLS, max_wait_s: float = DEFAULT_MAX_WAIT_S
    ) -> None:
        self._max_length = length
        self._queued_calls: dict[int | str, QueuedCall] = {}

    def __len__(self) -> int:
        return len(self._queued_calls)

    def enqueue(
        self, now: float, queued_call: QueuedCall, expected_wait_s: float
    ) -> RefusedCalls:
        """Queue a call unless the queue is full."""
        if len(self._queued_calls) >= self._max_length:
            return [(queued_call, calls.RefusalKind.OVERLOADED)]
        self._queued_calls[queued_call.call_id] = queued_call
        return []

    def dequeue(
        self, now: float, service_time_s: float
    ) -> tuple[QueuedCall | None, RefusedCalls]:
        """Return the oldest call."""
        for call_id in self._queued_calls:
            return self._queued_calls.pop(call_id), []
        return None, []

    def remove(self, call_id: int | str) -> QueuedCall | None:
        """Remove a cancelled call; return it, or None if it is not queued."""
        return self._queued_calls.pop(call_id, None)

    def on_window(self, now: float) -> int:
        """Return the highest level, since no call is refused for its importance."""
        return calls.MAX_LEVEL

    def level_of(self, account: str) -> int:
        """Return the highest level, which admits all calls."""
        return calls.MAX_LEVEL


class _Flow:
    """One account's calls in a band, with the virtual start time of the next."""

    __slots__ = ("queued_calls", "virtual_start", "weight")

    def __init__(self, virtual_start: float):
        self.virtual_start = virtual_start
        self.weight = 1.0
        self.queued_calls: dict[int | str, QueuedCall] = {}

    def pop(self, newest: bool) -> QueuedCall:
        if newest:
            return self.queued_calls.popitem()[1]
        return self.queued_calls.pop(next(iter(self.queued_calls)))

    @property
    def excess(self) -> float:
        """Number of queued calls divided by the weight."""
        return len(self.queued_calls) / self.weight


class _Band:
    """Calls of one rank, either nested or root; start-time fair queueing."""

    __slots__ = ("_count", "_finish_times", "_flows", "_virtual_time")

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        # Finish times of accounts without queued calls that are ahead of virtual time.
        self._finish_times: dict[str, float] = {}
        self._count = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return self._count

    def add(self, queued_call: QueuedCall) -> None:
        flow = self._flows.get(queued_call.account)
        if flow is None:
            virtual_start = max(
                self._virtual_time, self._finish_times.pop(queued_call.account, 0.0)
            )
            flow = self._flows[queued_call.account] = _Flow(virtual_start)
        flow.weight = queued_call.weight
        flow.queued_calls[queued_call.call_id] = queued_call
        self._count += 1

    def pop(self, newest: bool) -> QueuedCall:
        """Remove and return the next call, and charge it to its account."""
        account = min(self._flows, key=lambda name: self._flows[name].virtual_start)
        flow = self._flows[account]
        queued_call = flow.pop(newest)
        self._count -= 1
        self._virtual_time = max(self._virtual_time, flow.virtual_start)
        flow.virtual_start += 1 / flow.weight
        self._remove_if_idle(account, flow)
        return queued_call

    def remove(self, queued_call: QueuedCall) -> None:
        flow = self._flows[queued_call.account]
        del flow.queued_calls[queued_call.call_id]
        self._count -= 1
        self._remove_if_idle(queued_call.account, flow)

    def select_victim(self, newest_first: bool) -> QueuedCall:
        """Return the call to refuse: of the account with most calls per weight."""
        flow = max(self._flows.values(), key=lambda flow: flow.excess)
        queued_calls = flow.queued_calls
        if newest_first:
            return next(iter(queued_calls.values()))
        return next(reversed(queued_calls.values()))

    def _remove_if_idle(self, account: str, flow: _Flow) -> None:
        if flow.queued_calls:
            return
        del self._flows[account]
        if flow.virtual_start > self._virtual_time:
            self._finish_times[account] = flow.virtual_start
        if len(self._finish_times) > 2 * len(self._flows) + 16:
            self._finish_times = {
                name: finish
                for name, finish in self._finish_times.items()
                if finish > self._virtual_time
            }


@registry.register("admission", "fair")
class FairQueue:
    """Orders calls by importance, nested calls first, and shares a rank by weight.

    An account's newest calls go first while there is a standing queue delay.
    """

    __slots__ = (
        "_bands",
        "_by_dispatch_time",
        "_by_enqueue_time",
        "_by_id",
        "_dispatched",
        "_has_standing_delay",
        "_max_length",
        "_max_wait_s",
        "_min_length",
        "_service_time_s",
        "_threshold",
        "_tie_breaker",
        "_window_started_at",
    )

    def __init__(
        self, length: int = DEFAULT_MAX_CALLS, max_wait_s: float = DEFAULT_MAX_WAIT_S
    ) -> None:
        self._max_length = length
        self._max_wait_s = max_wait_s
        # Two bands for each rank, nested calls first.
        self._bands = [_Band() for _ in range(2 * pressure.RANK_COUNT)]
        self._by_id: dict[int | str, QueuedCall] = {}
        self._by_dispatch_time: list[tuple[float, int, QueuedCall]] = []
        self._by_enqueue_time: collections.deque[QueuedCall] = collections.deque()
        self._tie_breaker = itertools.count()
        self._threshold = pressure.AdmissionThreshold()
        self._has_standing_delay = False
        self._service_time_s = 0.0
        self._min_length = 0
        self._dispatched = 0
        self._window_started_at: float | None = None

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def has_standing_delay(self) -> bool:
        """Whether the queue delay stayed above its target for the last window."""
        return self._has_standing_delay

    def enqueue(
        self, now: float, queued_call: QueuedCall, expected_wait_s: float
    ) -> RefusedCalls:
        """Queue a call unless its level, expected wait or deadline forbids it."""
        if not self._threshold.admits(
            queued_call.account, queued_call.weight, queued_call.level
        ):
            return [(queued_call, calls.RefusalKind.OVERLOADED)]
        wait_s = self._expected_wait(queued_call, expected_wait_s)
        if now + wait_s > queued_call.dispatch_by:
            return [(queued_call, calls.RefusalKind.DEADLINE_EXCEEDED)]
        if queued_call.rank > 0 and wait_s > self._max_wait_s:
            return [(queued_call, calls.RefusalKind.OVERLOADED)]
        refused = list(self._refuse_expired(now))
        self._add(queued_call)
        if len(self._by_id) > self._max_length:
            victim = self._select_victim()
            self._remove_queued(victim)
            refused.append((victim, calls.RefusalKind.OVERLOADED))
        return refused

    def dequeue(
        self, now: float, service_time_s: float
    ) -> tuple[QueuedCall | None, RefusedCalls]:
        """Return the most important call that can still finish before its deadline."""
        self._service_time_s = service_time_s
        refused = list(self._refuse_expired(now))
        for band in self._bands:
            if len(band):
                queued_call = band.pop(self._has_standing_delay)
                del self._by_id[queued_call.call_id]
                self._min_length = min(self._min_length, len(self._by_id))
                self._dispatched += 1
                self._threshold.record_dispatch()
                return queued_call, refused
        return None, refused

    def remove(self, call_id: int | str) -> QueuedCall | None:
        """Remove a cancelled call; return it, or None if it is not queued."""
        queued_call = self._by_id.get(call_id)
        if queued_call is not None:
            self._remove_queued(queued_call)
        return queued_call

    def on_window(self, now: float) -> int:
        """Compare the window's delay with its target; return the new pressure level.

        The delay is the smallest queue length of the window divided by the dispatch
        rate, so it does not depend on the order of the calls.
        """
        seconds = DELAY_INTERVAL_S
        if self._window_started_at is not None:
            seconds = max(0.001, now - self._window_started_at)
        self._window_started_at = now
        target_s = max(
            TARGET_QUEUE_DELAY_S, MIN_DELAY_SERVICE_FRACTION * self._service_time_s
        )
        excess = self._min_length - target_s * max(1, self._dispatched) / seconds
        self._has_standing_delay = self._min_length > 0 and excess > 0
        is_empty = self._min_length == 0
        self._min_length = len(self._by_id)
        self._dispatched = 0
        return self._threshold.on_window(excess, is_empty)

    def level_of(self, account: str) -> int:
        """Return the pressure level for an account's calls."""
        return self._threshold.level_of(account)

    def _expected_wait(self, queued_call: QueuedCall, expected_wait_s: float) -> float:
        """Return the expected wait (s) for the calls that go before this one."""
        if not self._by_id:
            return expected_wait_s
        index = _band_index(queued_call)
        ahead = sum(len(band) for band in self._bands[: index + 1])
        return expected_wait_s * ahead / len(self._by_id)

    def _add(self, queued_call: QueuedCall) -> None:
        if queued_call.call_id in self._by_id:
            raise ValueError(f"call {queued_call.call_id} is already queued")
        self._by_id[queued_call.call_id] = queued_call
        self._bands[_band_index(queued_call)].add(queued_call)
        entry = (queued_call.dispatch_by, next(self._tie_breaker), queued_call)
        heapq.heappush(self._by_dispatch_time, entry)
        if queued_call.rank > 0:
            self._by_enqueue_time.append(queued_call)

    def _remove_queued(self, queued_call: QueuedCall) -> None:
        del self._by_id[queued_call.call_id]
        self._bands[_band_index(queued_call)].remove(queued_call)
        self._min_length = min(self._min_length, len(self._by_id))

    def _is_queued(self, queued_call: QueuedCall) -> bool:
        return self._by_id.get(queued_call.call_id) is queued_call

    def _refuse_expired(
        self, now: float
    ) -> Iterator[tuple[QueuedCall, calls.RefusalKind]]:
        """Remove calls that cannot meet their deadline or exceeded the maximum wait."""
        while self._by_dispatch_time:
            dispatch_by, _, queued_call = self._by_dispatch_time[0]
            if self._is_queued(queued_call) and now <= dispatch_by:
                break
            heapq.heappop(self._by_dispatch_time)
            if self._is_queued(queued_call):
                self._remove_queued(queued_call)
                yield queued_call, calls.RefusalKind.DEADLINE_EXCEEDED
        while self._by_enqueue_time:
            queued_call = self._by_enqueue_time[0]
            exceeds_max_wait = now - queued_call.enqueued_at > self._max_wait_s
            if self._is_queued(queued_call) and not exceeds_max_wait:
                break
            self._by_enqueue_time.popleft()
            if self._is_queued(queued_call):
                self._remove_queued(queued_call)
                yield queued_call, calls.RefusalKind.OVERLOADED

    def _select_victim(self) -> QueuedCall:
        """Return the call to refuse when full: from the least important band."""
        band = next(band for band in reversed(self._bands) if len(band))
        return band.select_victim(self._has_standing_delay)


def _band_index(queued_call: QueuedCall) -> int:
    return 2 * queued_call.rank + (0 if queued_call.depth > 0 else 1)
