"""How slow each target is against the others of its service.

Targets of one service differ in speed, and some turn slow for a while. A load that is
divided by free places alone fills the places of a slow target for long, and short calls
then wait behind its long ones while faster targets have room.
"""

import math

# Weight of the newest answer in a target's slowness.
GAIN = 0.1
# Part by which an answer moves the usual time of its route up or down.
USUAL_STEP = 0.02
# An answer counts as at most this many times the usual time, so that one call with much
# work does not mark its target as slow.
MAX_RATIO = 20.0
# Time in which what was learnt is forgotten by a factor of e without further answers,
# so that a target that is well again gets calls.
DECAY_TIME_S = 5.0


class TypicalLatencies:
    """The usual time of each route's calls at the targets of one service (s).

    It follows the median, which the answers of a few slow targets do not move far.
    """

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def ratio(self, route: str, seconds: float) -> float:
        """Return a call's time against the usual one, and learn from it."""
        usual = self._seconds.get(route)
        if usual is None or usual <= 0:
            self._seconds[route] = seconds
            return 1.0
        is_longer = seconds > usual
        factor = 1 + USUAL_STEP
        self._seconds[route] = usual * factor if is_longer else usual / factor
        return min(seconds / usual, MAX_RATIO)


class Slowness:
    """One target's slowness: 1 is usual, 2 takes twice as long."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = 1.0
        self._at = -math.inf

    def on_answer(self, now: float, ratio: float) -> None:
        """Learn the time of one call against the usual time of its route."""
        present = self.value(now)
        self._value = present + GAIN * (ratio - present)
        self._at = now

    def value(self, now: float) -> float:
        """Return the slowness, which tends to 1 without answers."""
        if self._value == 1.0:
            return 1.0
        return 1.0 + (self._value - 1.0) * math.exp((self._at - now) / DECAY_TIME_S)
