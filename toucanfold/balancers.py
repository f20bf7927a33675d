"""Plug-ins that choose one of the candidates for a call."""

import random
from collections.abc import Sequence
from typing import Protocol

from toucanfold import candidates, registry


class Balancer(Protocol):
    """Chooses one of the candidates of the nearest tier with spare capacity."""

    def pick(
        self, now: float, choices: Sequence[candidates.Candidate], rng: random.Random
    ) -> candidates.Candidate | None:
        """Return a candidate, or None if there are no choices."""


@registry.register("balancer", "nearest")
class PowerOfTwoChoices:
    """Draws two candidates weighted by capacity and takes the lower score."""

    __slots__ = ()

    def pick(
        self, now: float, choices: Sequence[candidates.Candidate], rng: random.Random
    ) -> candidates.Candidate | None:
        """Return a candidate, or None if there are no choices."""
        if len(choices) < 2:
            return choices[0] if choices else None
        capacities = [candidate.capacity(now) for candidate in choices]
        first_index = _draw(capacities, rng)
        capacities[first_index] = 0.0
        second_index = _draw(capacities, rng)
        first_choice, second_choice = choices[first_index], choices[second_index]
        first_score, second_score = first_choice.score(now), second_choice.score(now)
        if first_score == second_score:
            return second_choice if second_choice.is_local else first_choice
        return first_choice if first_score < second_score else second_choice


@registry.register("balancer", "round_robin")
class RoundRobin:
    """Takes the candidates in turn. Baseline for comparisons."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def pick(
        self, now: float, choices: Sequence[candidates.Candidate], rng: random.Random
    ) -> candidates.Candidate | None:
        """Return a candidate, or None if there are no choices."""
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
