"""Concurrency limits of a target, learnt from the results of calls."""

import collections
import dataclasses
import enum
import math
from typing import Protocol

from toucanfold import registry

INITIAL_LIMIT = 10.0
MIN_LIMIT = 2.0
MAX_LIMIT = 10_000.0
# Part of the limit that must be in use for a sample to say anything about it.
USED_PART = 0.9


# Calls sent at a time to a target that has not announced its places.
UNANNOUNCED_LIMIT_COUNT = 4


class FinishKind(enum.Enum):
    """How a dispatched call ended; SHED is a refusal by the target."""

    OK = enum.auto()
    SHED = enum.auto()
    TIMEOUT = enum.auto()
    FAILED = enum.auto()
    CANCELLED = enum.auto()


class ConcurrencyLimiter(Protocol):
    """Tells how many calls may run at the target at the same time."""

    @property
    def limit(self) -> int:
        """The present limit (calls)."""

    def on_start(self, now: float, in_flight: int) -> None:
        """Note a dispatched call; in_flight includes it."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Note the end of a call; in_flight includes it."""


def _bounded(limit: float) -> float:
    return min(MAX_LIMIT, max(MIN_LIMIT, limit))


@registry.register("limiter", "fixed")
class Fixed:
    """A limit that the operator knows."""

    __slots__ = ("_limit",)

    def __init__(self, limit: int = 64):
        self._limit = limit

    @property
    def limit(self) -> int:
        """The present limit (calls)."""
        return self._limit

    def on_start(self, now: float, in_flight: int) -> None:
        """Note a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Note the end of a call."""


@registry.register("limiter", "places")
class AnnouncedLimit:
    """As many calls as the target says it works on at a time.

    It suits targets that announce their places. Until one has, the limit is that of an
    unknown target.
    """

    __slots__ = ("_concurrency_limit",)

    def __init__(self) -> None:
        self._concurrency_limit = UNANNOUNCED_LIMIT_COUNT

    @property
    def limit(self) -> int:
        """The present limit (calls)."""
        return self._concurrency_limit

    def on_announced_limit(self, concurrency_limit: int) -> None:
        """Take what the target announced; 0 if it says nothing."""
        self._concurrency_limit = concurrency_limit or UNANNOUNCED_LIMIT_COUNT

    def on_start(self, now: float, in_flight: int) -> None:
        """Note a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Note the end of a call."""


@registry.register("limiter", "aimd")
class Aimd:
    """Rises by one per round of calls, falls by a tenth when the target fails."""

    __slots__ = ("_cut_at", "_limit")

    CUT_PART = 0.9
    CUT_INTERVAL_S = 0.1

    def __init__(self, initial: float = INITIAL_LIMIT):
        self._limit = initial
        self._cut_at = -math.inf

    @property
    def limit(self) -> int:
        """The present limit (calls)."""
        return int(self._limit)

    def on_start(self, now: float, in_flight: int) -> None:
        """Note a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Raise or cut the limit."""
        if result in (FinishKind.SHED, FinishKind.TIMEOUT):
            if now - self._cut_at >= self.CUT_INTERVAL_S:
                self._cut_at = now
                self._limit = _bounded(self._limit * self.CUT_PART)
        elif result is FinishKind.OK and in_flight >= USED_PART * self._limit:
            self._limit = _bounded(self._limit + 1 / self._limit)


@registry.register("limiter", "gradient")
class Gradient:
    """Follows the ratio of the lowest smoothed own time to the present one."""

    __slots__ = ("_limit", "_lowest", "_previous", "_renewed_at", "_short")

    # The lowest own time is that of the present and the previous period.
    PERIOD_S = 30.0
    SHORT_WEIGHT = 1 / 20
    TOLERANCE = 1.5
    SMOOTHING = 0.02

    def __init__(self, initial: float = INITIAL_LIMIT):
        self._limit = initial
        self._lowest = self._previous = math.inf
        self._renewed_at = -math.inf
        self._short = 0.0

    @property
    def limit(self) -> int:
        """The present limit (calls)."""
        return int(self._limit)

    def on_start(self, now: float, in_flight: int) -> None:
        """Note a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Compare the own time with the lowest one."""
        if result is FinishKind.SHED:
            self._limit = _bounded(self._limit * 0.98)
            return
        if result not in (FinishKind.OK, FinishKind.TIMEOUT):
            return
        weight = self.SHORT_WEIGHT if self._short else 1.0
        self._short += weight * (self_time_s - self._short)
        if now - self._renewed_at > self.PERIOD_S:
            self._renewed_at = now
            self._previous, self._lowest = self._lowest, math.inf
        self._lowest = min(self._lowest, self._short)
        if in_flight < USED_PART * self._limit:
            return
        lowest = min(self._lowest, self._previous)
        ratio = self.TOLERANCE * lowest / max(self._short, 1e-9)
        aim = self._limit * min(1.0, max(0.5, ratio)) + math.sqrt(self._limit)
        self._limit = _bounded(self._limit + self.SMOOTHING * (aim - self._limit))


@dataclasses.dataclass(slots=True)
class _Phase:
    """A measurement at one limit: calls/s, mean own time, and when it ended."""

    throughput: float
    self_time_s: float
    seconds: float
    ended_at: float


class _Counter:
    """Counts the calls that end during one phase."""

    __slots__ = ("failed", "finished", "self_time_s", "started_at", "used")

    def __init__(self, now: float):
        self.started_at = now
        self.finished = 0
        self.failed = 0
        self.used = 0
        self.self_time_s = 0.0

    def note(self, self_time_s: float, is_used: bool, is_ok: bool) -> None:
        self.finished += 1
        self.self_time_s += self_time_s
        self.used += is_used
        self.failed += not is_ok


@registry.register("limiter", "delivery")
class DeliveryRate:
    """Limit = highest throughput x lowest mean own time over the last phases.

    Phases at a higher and at a lower limit alternate with phases at the limit: the
    higher one shows whether throughput grows with it, the lower one shows the own time
    without queueing in the target. Both come from the same phases, so a target that
    becomes slower with the same parallelism keeps its limit.
    """

    __slots__ = (
        "_base",
        "_ceiling",
        "_ceiling_at",
        "_counter",
        "_cut_at",
        "_is_starting",
        "_phase",
        "_phases",
        "_self_time_s",
        "_settle_until",
    )

    PROBES = (1.2, 1.0, 1.0, 0.8, 1.0, 1.0)
    HISTORY = 8
    HISTORY_S = 20.0
    GAIN = 1.0
    STEP = 0.5
    MIN_PHASE_S = 0.1
    MAX_PHASE_S = 10.0
    # Calls in a phase, as a multiple of the limit and at least: the error of a mean
    # own time that varies by its own size is about 10% with 100 calls.
    CALLS_PART = 1.5
    MIN_CALLS = 60
    # While starting, fewer calls are enough to see that throughput doubled.
    START_CALLS = 16
    START_GROWTH = 1.3
    SHED_CUT = 0.95
    # Growth per second of the bound that SHED results have set.
    CEILING_GROWTH = 0.02
    TIMEOUT_CUT = 0.9

    def __init__(self, initial: float = INITIAL_LIMIT):
        self._base = initial
        self._ceiling = MAX_LIMIT
        self._ceiling_at = 0.0
        self._counter = _Counter(-math.inf)
        self._cut_at = -math.inf
        self._is_starting = True
        self._self_time_s = 0.0
        self._phase = 1
        self._phases: collections.deque[_Phase] = collections.deque(maxlen=self.HISTORY)
        self._settle_until = -math.inf

    @property
    def limit(self) -> int:
        """The present limit (calls), with the probe of this phase."""
        return max(1, round(self._present))

    @property
    def _present(self) -> float:
        probe = 1.0 if self._is_starting else self.PROBES[self._phase]
        return _bounded(min(self._base * probe, self._ceiling))

    def on_start(self, now: float, in_flight: int) -> None:
        """Note a dispatched call."""
        if self._counter.started_at == -math.inf:
            self._start_phase(now, settle_s=0.0)

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Note the end of a call; a phase ends when it has enough of them."""
        if result is FinishKind.SHED:
            self._on_shed(now, in_flight)
        if result not in (FinishKind.OK, FinishKind.TIMEOUT):
            return
        weight = 0.05 if self._self_time_s else 1.0
        self._self_time_s += weight * (self_time_s - self._self_time_s)
        if now < self._settle_until:
            return
        is_used = in_flight >= USED_PART * self.limit
        self._counter.note(self_time_s, is_used, result is FinishKind.OK)
        self._end_phase(now)

    def _start_phase(self, now: float, settle_s: float) -> None:
        self._settle_until = now + settle_s
        self._counter = _Counter(now + settle_s)

    def _end_phase(self, now: float) -> None:
        counter = self._counter
        seconds = now - counter.started_at
        if seconds < self.MIN_PHASE_S:
            return
        least = self.CALLS_PART * self._present
        least = max(least, self.START_CALLS if self._is_starting else self.MIN_CALLS)
        if counter.finished < least and seconds < self.MAX_PHASE_S:
            return
        if counter.used < USED_PART * counter.finished:
            # The demand was below the limit, so this says nothing about it.
            self._phase = 1
            self._start_phase(now, settle_s=0.0)
            return
        mean = counter.self_time_s / counter.finished
        self._learn(
            now, counter, _Phase(counter.finished / seconds, mean, seconds, now)
        )
        self._start_phase(now, settle_s=min(mean, self.MAX_PHASE_S))

    def _learn(self, now: float, counter: _Counter, phase: _Phase) -> None:
        if counter.failed == counter.finished:
            self._base = _bounded(self._base * self.TIMEOUT_CUT)
            self._is_starting = False
            return
        best = max((past.throughput for past in self._phases), default=0.0)
        self._phases.append(phase)
        self._forget(now)
        if self._is_starting:
            if phase.throughput >= self.START_GROWTH * best:
                self._base = _bounded(self._base * 2)
                return
            self._is_starting = False
        estimate = self.GAIN * self._highest() * self._lowest()
        step = min(2.0, max(0.5, estimate / self._base))
        self._base = _bounded(self._base * (1 + self.STEP * (step - 1)))
        self._phase = (self._phase + 1) % len(self.PROBES)

    def _highest(self) -> float:
        return max(phase.throughput for phase in self._phases)

    def _lowest(self) -> float:
        return min(phase.self_time_s for phase in self._phases)

    def _forget(self, now: float) -> None:
        age = max(self.HISTORY_S, self.HISTORY * 3 * self._phases[-1].seconds)
        while now - self._phases[0].ended_at > age:
            self._phases.popleft()

    def _on_shed(self, now: float, in_flight: int) -> None:
        """Cut at once, at most once per service time, since many may come together."""
        grown = 1 + self.CEILING_GROWTH * max(0.0, now - self._ceiling_at)
        self._ceiling = min(MAX_LIMIT, self._ceiling * grown)
        self._ceiling_at = now
        if now - self._cut_at < max(self.MIN_PHASE_S, self._self_time_s):
            return
        self._cut_at = now
        self._is_starting = False
        self._ceiling = _bounded(min(self._ceiling, in_flight * self.SHED_CUT))
        self._base = _bounded(min(self._base, self._ceiling))
        self._start_phase(now, settle_s=self._self_time_s)
