"""Expected time of calls at the local target, for each route."""

import collections

# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.1
# Without a sample for this time, one call is expected to take no time: where calls are
# refused for their expected time, only a call that runs shows that it has become less.
MAX_SAMPLE_AGE_S = 1.0
# Routes for which an average is kept; the one without samples for longest goes first.
MAX_ROUTES = 1024


class _Average:
    __slots__ = ("mean_s", "updated_at")

    def __init__(self, mean_s: float, updated_at: float):
        self.mean_s = mean_s
        self.updated_at = updated_at


class ServiceTimes:
    """Moving averages of the durations of calls, by route; times are in seconds."""

    __slots__ = ("_averages",)

    def __init__(self) -> None:
        self._averages: collections.OrderedDict[str, _Average] = (
            collections.OrderedDict()
        )

    def expected_s(self, now: float, route: str) -> float:
        """Return how long a call of the route is expected to take.

        It is 0 for a route without samples, and for one call each MAX_SAMPLE_AGE_S
        while there are no new ones.
        """
        average = self._averages.get(route)
        if average is None:
            return 0.0
        if now - average.updated_at > MAX_SAMPLE_AGE_S:
            average.updated_at = now
            return 0.0
        return average.mean_s

    def record(self, now: float, route: str, duration_s: float) -> None:
        """Add the duration of a call that the target has answered."""
        average = self._averages.get(route)
        if average is None:
            self._averages[route] = _Average(duration_s, now)
            if len(self._averages) > MAX_ROUTES:
                self._averages.popitem(last=False)
            return
        average.mean_s += SAMPLE_WEIGHT * (duration_s - average.mean_s)
        average.updated_at = now
        self._averages.move_to_end(route)
