"""Detects routes that depend on an overloaded downstream service.

A target's calls may carry nothing that names the call which caused them. Then a request
is not refused because of a downstream service: it runs, fails midway, and all its work
is lost. This module finds the routes whose requests fail while calls made by the same
target are refused for overload, and lowers their level, which each answer reports to
the entries.
"""

import dataclasses

from toucanfold import calls

WINDOW_S = 0.2
# Fraction of the target's calls refused for overload, and of a route's requests failed,
# above which a window counts as overloaded. A few fail by chance at any time.
TOLERATED_FAILURE_FRACTION = 0.05
# With fewer requests the failed fraction is not meaningful, so they are counted over
# several windows.
MIN_REQUESTS = 4
# Counts are dropped after this time if the target has made no calls since.
MAX_COUNTING_S = 2.0
# Time after a reduction until its effect shows: requests admitted earlier have ended.
SETTLE_S = 0.6
# A reduction follows the failed fraction, but goes no lower than this factor.
MIN_REDUCTION_FACTOR = 0.5
# Fraction of the route's calls admitted again with each window without overload.
RECOVERY_FRACTION = 0.08
# Fraction that is always admitted, so that the end of the overload is noticed.
MIN_ADMITTED_FRACTION = 0.05

_OVERLOAD_KINDS = frozenset(
    (
        calls.RefusalKind.OVERLOADED,
        calls.RefusalKind.DEADLINE_EXCEEDED,
        calls.RefusalKind.RETRIES_EXHAUSTED,
    )
)


@dataclasses.dataclass(slots=True)
class _Route:
    """Requests of one route since it was last judged, and the fraction to admit."""

    runs: int = 0
    failed: int = 0
    counted_since: float = float("-inf")
    admitted_fraction: float = 1.0
    settled_at: float = float("-inf")

    def restart_counting(self, now: float) -> None:
        """Forget the requests counted so far."""
        self.runs = self.failed = 0
        self.counted_since = now


class DependencyTracker:
    """Tracks which routes depend on an overloaded downstream service."""

    __slots__ = (
        "_downstream_calls",
        "_overload_failures",
        "_routes",
        "_window_ends_at",
    )

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}
        # Calls made by the local target in this window, and how many failed for
        # overload.
        self._downstream_calls = 0
        self._overload_failures = 0
        self._window_ends_at = float("-inf")

    def on_downstream_answer(self, now: float, answer: calls.Answer) -> None:
        """Count the answer of a call that the local target made."""
        self._close_window_if_due(now)
        self._downstream_calls += 1
        if is_overload_failure(answer):
            self._overload_failures += 1

    def on_target_answer(self, now: float, route: str, status: int) -> None:
        """Count an answer of the local target; status is its HTTP status."""
        self._close_window_if_due(now)
        tracked = self._routes.get(route)
        if tracked is None:
            tracked = self._routes[route] = _Route()
        tracked.runs += 1
        if status >= 500:
            tracked.failed += 1

    def level(self, now: float, call: calls.Call) -> int:
        """Return the level up to which calls of a route should be admitted."""
        self._close_window_if_due(now)
        tracked = self._routes.get(call.route)
        if tracked is None or tracked.admitted_fraction >= 1.0:
            return calls.MAX_LEVEL
        admitted = round(tracked.admitted_fraction * calls.PRIORITY_LEVELS)
        return call.rank * calls.PRIORITY_LEVELS + admitted - 1

    def _close_window_if_due(self, now: float) -> None:
        """Close the window once WINDOW_S has passed, and adjust all routes."""
        if now < self._window_ends_at:
            return
        self._window_ends_at = now + WINDOW_S
        is_overloaded = (
            self._overload_failures
            > TOLERATED_FAILURE_FRACTION * self._downstream_calls
        )
        has_evidence = self._downstream_calls > 0
        for name, route in list(self._routes.items()):
            if not route.runs and route.admitted_fraction >= 1.0:
                del self._routes[name]
            elif is_overloaded:
                _reduce_admission(now, route)
            else:
                _restore_admission(now, route, has_evidence)
        self._downstream_calls = self._overload_failures = 0


def is_overload_failure(answer: calls.Answer) -> bool:
    """Whether a call failed because it, or a call below it, was refused for overload.

    A failure of the target itself says nothing about overload: fewer calls would not
    make it fail less.
    """
    if answer.refusal is not None:
        return answer.refusal.kind in _OVERLOAD_KINDS
    return answer.status >= 500 and answer.lowest_level < calls.MAX_LEVEL


def _restore_admission(now: float, route: _Route, has_evidence: bool) -> None:
    """Admit more after a window without overload; one without calls is no evidence."""
    route.admitted_fraction = min(1.0, route.admitted_fraction + RECOVERY_FRACTION)
    if has_evidence or now - route.counted_since > MAX_COUNTING_S:
        route.restart_counting(now)


def _reduce_admission(now: float, route: _Route) -> None:
    if now < route.settled_at:
        route.restart_counting(now)
        return
    if route.runs < MIN_REQUESTS:
        return
    failed = route.failed / route.runs
    route.restart_counting(now)
    if failed > TOLERATED_FAILURE_FRACTION:
        route.admitted_fraction = max(
            MIN_ADMITTED_FRACTION,
            route.admitted_fraction * max(MIN_REDUCTION_FACTOR, 1 - failed),
        )
        route.settled_at = now + SETTLE_S
