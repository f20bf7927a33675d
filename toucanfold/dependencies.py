"""Pressure of services that the own target calls, where calls name no parent.

A target's calls may carry nothing that names the call which caused them. Then a request
is not refused for a deeper service: it runs, fails midway, and all its work is lost.
This module finds the routes whose runs fail while calls of the same target are turned
away, and lowers their level, which goes to the entries with each answer.
"""

import dataclasses

from toucanfold import calls

WINDOW_S = 0.2
# Part of the target's calls turned away, and part of a route's runs failed, above which
# a window counts as overloaded. A few fail by chance on any day.
TOLERATED_PART = 0.05
# Fewer runs in a window do not tell a part.
MIN_RUNS = 4
# Time after a cut until its effect can be seen: what was admitted before has ended.
SETTLE_S = 0.6
# A cut follows the part that failed, at most by this factor.
LOWEST_CUT = 0.5
# Part of the route's calls that is admitted again with each good window.
GROWTH = 0.04
# Least part admitted, so that an end of the overload is seen.
MIN_PART = 0.05

_TURNED_AWAY = frozenset(
    (
        calls.RefusalKind.OVERLOADED,
        calls.RefusalKind.DEADLINE_EXCEEDED,
        calls.RefusalKind.RETRIES_EXHAUSTED,
    )
)


@dataclasses.dataclass(slots=True)
class _Route:
    """Runs of one route in this window, and the part of its calls to admit."""

    runs: int = 0
    failed: int = 0
    part: float = 1.0
    settled_at: float = float("-inf")


class DependencyTracker:
    """Learns which routes depend on an overloaded deeper service."""

    __slots__ = ("_called", "_ends_at", "_routes", "_turned_away")

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}
        # Calls of the own target in this window, and how many were turned away.
        self._called = 0
        self._turned_away = 0
        self._ends_at = float("-inf")

    def on_downstream_answer(self, now: float, answer: calls.Answer) -> None:
        """Count the answer of a call that the own target made."""
        self._follow(now)
        self._called += 1
        if is_overload_failure(answer):
            self._turned_away += 1

    def on_target_answer(self, now: float, route: str, status: int) -> None:
        """Count an answer of the own target (its HTTP status)."""
        self._follow(now)
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _Route()
        known.runs += 1
        if status >= 500:
            known.failed += 1

    def level(self, now: float, call: calls.Call) -> int:
        """Return the level up to which calls of a route should be admitted."""
        self._follow(now)
        known = self._routes.get(call.route)
        if known is None or known.part >= 1.0:
            return calls.MAX_LEVEL
        admitted = round(known.part * calls.PRIORITY_LEVELS)
        return call.rank * calls.PRIORITY_LEVELS + admitted - 1

    def _follow(self, now: float) -> None:
        """Close the window once its time is over."""
        if now < self._ends_at:
            return
        self._ends_at = now + WINDOW_S
        is_overloaded = self._turned_away > TOLERATED_PART * self._called
        for name, route in list(self._routes.items()):
            _judge(now, route, is_overloaded)
            if not route.runs and route.part >= 1.0:
                del self._routes[name]
            route.runs = route.failed = 0
        self._called = self._turned_away = 0


def is_overload_failure(answer: calls.Answer) -> bool:
    """Whether a call failed because it, or a call below it, was not taken.

    A failure of the target itself says nothing about overload: fewer calls would not
    make it fail less.
    """
    if answer.refusal is not None:
        return answer.refusal.kind in _TURNED_AWAY
    return answer.status >= 500 and answer.level < calls.MAX_LEVEL


def _judge(now: float, route: _Route, is_overloaded: bool) -> None:
    if not is_overloaded:
        route.part = min(1.0, route.part + GROWTH)
        return
    if route.runs < MIN_RUNS or now < route.settled_at:
        return
    failed = route.failed / route.runs
    if failed > TOLERATED_PART:
        route.part = max(MIN_PART, route.part * max(LOWEST_CUT, 1 - failed))
        route.settled_at = now + SETTLE_S
