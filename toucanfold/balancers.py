"""Plug-ins that choose one of the candidates for a call."""

import random
from collections.abc import Sequence
from typing import Protocol

from toucanfold import candidates, registry


class Balancer(Protocol):
    """Chooses one of the candidates of the nearest data centre with room."""

    def pick(
        self, now: float, choices: Sequence[candidates.Candidate], rng: random.Random
    ) -> candidates.Candidate | None:
        """Return a candidate, None if there are none."""


@registry.register("balancer", "nearest")
class PowerOfTwoChoices:
    """Draws two candidates by capacity and takes the one with the lower load."""

    __slots__ = ()

    def pick(
        self, now: float, choices: Sequence[candidates.Candidate], rng: random.Random
    ) -> candidates.Candidate | None:
        """Return a candidate, None if there are none."""
        if len(choices) < 2:
            return choices[0] if choices else None
        capacities = [candidate.capacity(now) for candidate in choices]
        first = _draw(capacities, rng)
        capacities[first] = 0.0
        second = _draw(capacities, rng)
        one, two = choices[first], choices[second]
        score_one, score_two = one.score(now), two.score(now)
        if score_one == score_two:
            return two if two.is_own else one
        return one if score_one < score_two else two


@registry.register("balancer", "round_robin")
class RoundRobin:
    """Takes the candidates in turn; the baseline for measurements."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def pick(
        self, now: float, choices: Sequence[candidates.Candidate], rng: random.Random
    ) -> candidates.Candidate | None:
        """Return a candidate, None if there are none."""
        if not choices:
            return None
        self._turn += 1
        return choices[self._turn % len(choices)]


def _draw(weights: list[float], rng: random.Random) -> int:
    """Return an index with probability in proportion to its weight."""
    point = rng.random() * sum(weights)
    last = 0
    for index, weight in enumerate(weights):
        if weight <= 0.0:
            continue
        point -= weight
        last = index
        if point < 0.0:
            break
    return last
