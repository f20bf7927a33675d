"""Plays the load of many entries that share one account's rate."""

import random

import fleetsim
import pytest

from toucanfold import sharing

ENTRIES = 24


def refused_part(rate, burst, load, seed=1):
    """Return the part of Poisson calls that 24 entries refuse within the rate."""
    rng = random.Random(seed)
    fleet = fleetsim.Fleet(ENTRIES, {"a": (rate, burst)}, delay_s=0.05)
    pick = [(f"d{index}", 1) for index in range(ENTRIES)]
    fleet.poisson(rng, "a", rate * load, lambda _: rng.choice(pick), 1.0, 21.0)
    fleet.run(22.0)
    return fleet.refused["a"] / fleet.offered["a"]


@pytest.mark.parametrize(("rate", "burst"), [(40, 80), (100, 170)])
def test_entries_near_the_rate_lose_less_than_with_all_rate_shared(
    monkeypatch, rate, burst
):
    """Guards against tokens that fill buckets nobody needs while others are short."""
    moved = refused_part(rate, burst, 0.95)
    monkeypatch.setattr(sharing, "local_part", lambda *_: 1.0)
    naive = refused_part(rate, burst, 0.95)
    assert moved < naive / 2


@pytest.mark.parametrize(("rate", "burst"), [(40, 80), (100, 170)])
def test_no_refusals_to_speak_of_at_usual_load(rate, burst):
    assert refused_part(rate, burst, 0.63) <= 0.001


def test_few_holders_keep_their_whole_rate():
    assert sharing.local_part(10.0, 10.0, 100.0, sharing.FEW_HOLDERS) == 1.0
