"""Latency of each target relative to the other targets of its service.

Targets of one service differ in speed, and some become slow for a while. Balancing by
free concurrency alone keeps a slow target at its limit for long, and short calls then
wait behind its long ones while faster targets have spare capacity.
"""

import math

# Weight of the newest answer in a target's slowness.
NEWEST_WEIGHT = 0.1
# Fraction by which an answer moves the typical latency of its route up or down.
TYPICAL_STEP_FRACTION = 0.02
# An answer counts as at most this many times the typical latency, so that one call with
# much work does not mark its target as slow.
MAX_RATIO = 20.0
# Without answers, slowness decays towards 1 by a factor of e in this time, so that a
# recovered target gets calls again.
DECAY_TIME_S = 5.0


class TypicalLatencies:
    """The typical latency (s) of each route's calls at the targets of one service.

    It follows the median, which the answers of a few slow targets hardly move.
    """

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def ratio(self, route: str, seconds: float) -> float:
        """Return a call's latency relative to the typical one, and update that one."""
        typical = self._seconds.get(route)
        if typical is None or typical <= 0:
            self._seconds[route] = seconds
            return 1.0
        is_longer = seconds > typical
        factor = 1 + TYPICAL_STEP_FRACTION
        self._seconds[route] = typical * factor if is_longer else typical / factor
        return min(seconds / typical, MAX_RATIO)


class Slowness:
    """One target's slowness: 1 is typical, 2 takes twice as long."""

    __slots__ = ("_updated_at", "_value")

    def __init__(self) -> None:
        self._value = 1.0
        self._updated_at = -math.inf

    def on_answer(self, now: float, ratio: float) -> None:
        """Record the ratio of one call's latency to the typical one of its route."""
        current = self.value(now)
        self._value = current + NEWEST_WEIGHT * (ratio - current)
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the slowness, which decays to 1 without answers."""
        if self._value == 1.0:
            return 1.0
        return 1.0 + (self._value - 1.0) * math.exp(
            (self._updated_at - now) / DECAY_TIME_S
        )
