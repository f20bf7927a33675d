"""Concurrency limits of a target, estimated from the results of its calls."""

import collections
import dataclasses
import enum
import math
from typing import Protocol

from toucanfold import registry

INITIAL_LIMIT = 10.0
MIN_LIMIT = 2.0
MAX_LIMIT = 10_000.0
# Fraction of the limit that must be in use for a sample to count.
USED_FRACTION = 0.9


# Concurrency limit of a target that has not announced one.
UNANNOUNCED_LIMIT_COUNT = 4


class FinishKind(enum.Enum):
    """How a dispatched call ended; SHED is a refusal by the target."""

    OK = enum.auto()
    SHED = enum.auto()
    TIMEOUT = enum.auto()
    FAILED = enum.auto()
    CANCELLED = enum.auto()


class ConcurrencyLimiter(Protocol):
    """Limits how many calls run at a target at the same time."""

    @property
    def limit(self) -> int:
        """The current limit (calls)."""

    def on_start(self, now: float, in_flight: int) -> None:
        """Record a dispatched call; in_flight includes it."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Record the end of a call and its self time; in_flight includes it."""


def _bounded(limit: float) -> float:
    return min(MAX_LIMIT, max(MIN_LIMIT, limit))


@registry.register("limiter", "fixed")
class Fixed:
    """A limit set by the operator."""

    __slots__ = ("_limit",)

    def __init__(self, limit: int = 64):
        self._limit = limit

    @property
    def limit(self) -> int:
        """The current limit (calls)."""
        return self._limit

    def on_start(self, now: float, in_flight: int) -> None:
        """Record a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Record the end of a call."""


@registry.register("limiter", "places")
class AnnouncedLimit:
    """The concurrency limit that the target announces.

    Until the target has announced one, UNANNOUNCED_LIMIT_COUNT applies.
    """

    __slots__ = ("_limit",)

    def __init__(self) -> None:
        self._limit = UNANNOUNCED_LIMIT_COUNT

    @property
    def limit(self) -> int:
        """The current limit (calls)."""
        return self._limit

    def on_announced_limit(self, concurrency: int) -> None:
        """Apply the announced limit (calls); 0 if the target announced none."""
        self._limit = concurrency or UNANNOUNCED_LIMIT_COUNT

    def on_start(self, now: float, in_flight: int) -> None:
        """Record a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Record the end of a call."""


@registry.register("limiter", "aimd")
class Aimd:
    """Adds 1 per limit's worth of calls, decreases by 10% on shed or timeout."""

    __slots__ = ("_limit", "_reduced_at")

    DECREASE_FACTOR = 0.9
    MIN_DECREASE_INTERVAL_S = 0.1

    def __init__(self, initial: float = INITIAL_LIMIT):
        self._limit = initial
        self._reduced_at = -math.inf

    @property
    def limit(self) -> int:
        """The current limit (calls)."""
        return int(self._limit)

    def on_start(self, now: float, in_flight: int) -> None:
        """Record a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Increase or reduce the limit."""
        if result in (FinishKind.SHED, FinishKind.TIMEOUT):
            if now - self._reduced_at >= self.MIN_DECREASE_INTERVAL_S:
                self._reduced_at = now
                self._limit = _bounded(self._limit * self.DECREASE_FACTOR)
        elif result is FinishKind.OK and in_flight >= USED_FRACTION * self._limit:
            self._limit = _bounded(self._limit + 1 / self._limit)


@registry.register("limiter", "gradient")
class Gradient:
    """Follows the ratio of the lowest smoothed self time to the current one."""

    __slots__ = (
        "_limit",
        "_min_self_time_s",
        "_period_started_at",
        "_previous_min_s",
        "_smoothed_s",
    )

    # The lowest self time is that of the current and the previous period.
    PERIOD_S = 30.0
    SAMPLE_WEIGHT = 1 / 20
    TOLERANCE = 1.5
    LIMIT_STEP_FRACTION = 0.02

    def __init__(self, initial: float = INITIAL_LIMIT):
        self._limit = initial
        self._min_self_time_s = self._previous_min_s = math.inf
        self._period_started_at = -math.inf
        self._smoothed_s = 0.0

    @property
    def limit(self) -> int:
        """The current limit (calls)."""
        return int(self._limit)

    def on_start(self, now: float, in_flight: int) -> None:
        """Record a dispatched call."""

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Adjust the limit by comparing the self time with the lowest one."""
        if result is FinishKind.SHED:
            self._limit = _bounded(self._limit * 0.98)
            return
        if result not in (FinishKind.OK, FinishKind.TIMEOUT):
            return
        weight = self.SAMPLE_WEIGHT if self._smoothed_s else 1.0
        self._smoothed_s += weight * (self_time_s - self._smoothed_s)
        if now - self._period_started_at > self.PERIOD_S:
            self._period_started_at = now
            self._previous_min_s, self._min_self_time_s = (
                self._min_self_time_s,
                math.inf,
            )
        self._min_self_time_s = min(self._min_self_time_s, self._smoothed_s)
        if in_flight < USED_FRACTION * self._limit:
            return
        min_self_time_s = min(self._min_self_time_s, self._previous_min_s)
        ratio = self.TOLERANCE * min_self_time_s / max(self._smoothed_s, 1e-9)
        goal = self._limit * min(1.0, max(0.5, ratio)) + math.sqrt(self._limit)
        self._limit = _bounded(
            self._limit + self.LIMIT_STEP_FRACTION * (goal - self._limit)
        )


@dataclasses.dataclass(slots=True)
class _Phase:
    """A measurement at one limit: calls/s, mean self time, duration and end time."""

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

    def record(self, self_time_s: float, is_used: bool, is_ok: bool) -> None:
        self.finished += 1
        self.self_time_s += self_time_s
        self.used += is_used
        self.failed += not is_ok


@registry.register("limiter", "delivery")
class DeliveryRate:
    """Limit = highest throughput x lowest mean self time over the last phases.

    Phases at a higher and at a lower limit alternate with phases at the limit: the
    higher one shows whether throughput grows with it, the lower one shows the self time
    without queueing in the target. Both come from the same phases, so a target that
    becomes slower at the same concurrency keeps its limit.
    """

    __slots__ = (
        "_base",
        "_ceiling",
        "_ceiling_at",
        "_counter",
        "_is_starting",
        "_phase_index",
        "_phases",
        "_reduced_at",
        "_self_time_s",
        "_settle_until",
    )

    PROBE_FACTORS = (1.2, 1.0, 1.0, 0.8, 1.0, 1.0)
    HISTORY_PHASES = 8
    HISTORY_S = 20.0
    GAIN = 1.0
    STEP_FRACTION = 0.5
    MIN_PHASE_S = 0.1
    MAX_PHASE_S = 10.0
    # Calls in a phase, as a multiple of the limit, and at least MIN_CALLS. If the
    # standard deviation of self times equals their mean, the error of the mean of 100
    # calls is about 10%.
    CALLS_PER_LIMIT = 1.5
    MIN_CALLS = 60
    # During start-up, fewer calls suffice to see that throughput has doubled.
    START_CALLS = 16
    START_GROWTH_RATIO = 1.3
    SHED_FACTOR = 0.95
    # Growth per second of the ceiling set by SHED results, as a fraction of it.
    CEILING_GROWTH_PER_S = 0.02
    TIMEOUT_FACTOR = 0.9

    def __init__(self, initial: float = INITIAL_LIMIT):
        self._base = initial
        self._ceiling = MAX_LIMIT
        self._ceiling_at = 0.0
        self._counter = _Counter(-math.inf)
        self._reduced_at = -math.inf
        self._is_starting = True
        self._self_time_s = 0.0
        self._phase_index = 1
        self._phases: collections.deque[_Phase] = collections.deque(
            maxlen=self.HISTORY_PHASES
        )
        self._settle_until = -math.inf

    @property
    def limit(self) -> int:
        """The current limit (calls), with the probe factor of this phase."""
        return max(1, round(self._phase_limit))

    @property
    def _phase_limit(self) -> float:
        probe = 1.0 if self._is_starting else self.PROBE_FACTORS[self._phase_index]
        return _bounded(min(self._base * probe, self._ceiling))

    def on_start(self, now: float, in_flight: int) -> None:
        """Record a dispatched call."""
        if self._counter.started_at == -math.inf:
            self._start_phase(now, settle_s=0.0)

    def on_finish(
        self, now: float, self_time_s: float, in_flight: int, result: FinishKind
    ) -> None:
        """Record the end of a call; a phase ends after enough of them."""
        if result is FinishKind.SHED:
            self._on_shed(now, in_flight)
        if result not in (FinishKind.OK, FinishKind.TIMEOUT):
            return
        weight = 0.05 if self._self_time_s else 1.0
        self._self_time_s += weight * (self_time_s - self._self_time_s)
        if now < self._settle_until:
            return
        is_used = in_flight >= USED_FRACTION * self.limit
        self._counter.record(self_time_s, is_used, result is FinishKind.OK)
        self._end_phase(now)

    def _start_phase(self, now: float, settle_s: float) -> None:
        self._settle_until = now + settle_s
        self._counter = _Counter(now + settle_s)

    def _end_phase(self, now: float) -> None:
        counter = self._counter
        seconds = now - counter.started_at
        if seconds < self.MIN_PHASE_S:
            return
        least = self.CALLS_PER_LIMIT * self._phase_limit
        least = max(least, self.START_CALLS if self._is_starting else self.MIN_CALLS)
        if counter.finished < least and seconds < self.MAX_PHASE_S:
            return
        if counter.used < USED_FRACTION * counter.finished:
            # Demand was below the limit, so the phase tells nothing about the limit.
            self._phase_index = 1
            self._start_phase(now, settle_s=0.0)
            return
        mean = counter.self_time_s / counter.finished
        self._update_limit(
            now, counter, _Phase(counter.finished / seconds, mean, seconds, now)
        )
        self._start_phase(now, settle_s=min(mean, self.MAX_PHASE_S))

    def _update_limit(self, now: float, counter: _Counter, phase: _Phase) -> None:
        if counter.failed == counter.finished:
            self._base = _bounded(self._base * self.TIMEOUT_FACTOR)
            self._is_starting = False
            return
        best = max((past.throughput for past in self._phases), default=0.0)
        self._phases.append(phase)
        self._expire_phases(now)
        if self._is_starting:
            if phase.throughput >= self.START_GROWTH_RATIO * best:
                self._base = _bounded(self._base * 2)
                return
            self._is_starting = False
        estimate = self.GAIN * self._max_throughput() * self._min_self_time_s()
        step = min(2.0, max(0.5, estimate / self._base))
        self._base = _bounded(self._base * (1 + self.STEP_FRACTION * (step - 1)))
        self._phase_index = (self._phase_index + 1) % len(self.PROBE_FACTORS)

    def _max_throughput(self) -> float:
        return max(phase.throughput for phase in self._phases)

    def _min_self_time_s(self) -> float:
        return min(phase.self_time_s for phase in self._phases)

    def _expire_phases(self, now: float) -> None:
        age = max(self.HISTORY_S, self.HISTORY_PHASES * 3 * self._phases[-1].seconds)
        while now - self._phases[0].ended_at > age:
            self._phases.popleft()

    def _on_shed(self, now: float, in_flight: int) -> None:
        """Reduce at once, at most once per self time, since many may come together."""
        grown = 1 + self.CEILING_GROWTH_PER_S * max(0.0, now - self._ceiling_at)
        self._ceiling = min(MAX_LIMIT, self._ceiling * grown)
        self._ceiling_at = now
        if now - self._reduced_at < max(self.MIN_PHASE_S, self._self_time_s):
            return
        self._reduced_at = now
        self._is_starting = False
        self._ceiling = _bounded(min(self._ceiling, in_flight * self.SHED_FACTOR))
        self._base = _bounded(min(self._base, self._ceiling))
        self._start_phase(now, settle_s=self._self_time_s)
