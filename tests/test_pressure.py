import random

import hypothesis
from hypothesis import strategies

from toucanfold import admission, calls, pressure


class Hop:
    """A daemon with its queue and the levels that the next hop reported."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.queue = admission.FairQueue()
        self.downstream_levels = pressure.DownstreamLevels()
        self.refused = 0

    def arrive(self, now, call_id, rank, depth, priority):
        queued_call = admission.QueuedCall(
            call_id, "acme", 1.0, rank, depth, 0.0, priority, now + 1.0, now
        )
        refused = self.queue.enqueue(now, queued_call, 0.0)
        self.refused += len(refused)
        return not refused

    def level(self, now):
        return self.downstream_levels.combined(now, "acme", self.queue.level_of("acme"))


def chain(seconds, capacities, rate, rng):
    """Send calls of rank 2 through all hops; return the hops and walk's results."""
    hops = [Hop(capacity) for capacity in capacities]
    refused_by, now, number, dispatch_credit = {}, 0.0, 0, [0.0] * len(hops)
    while now < seconds:
        now += 0.01
        for _ in range(round(rate * 0.01)):
            number += 1
            priority = calls.priority_of(str(number))
            refused_by[number] = walk(now, hops, number, priority, rng)
        for index, hop in enumerate(hops):
            dispatch_credit[index] += hop.capacity * 0.01
            while dispatch_credit[index] >= 1:
                dispatch_credit[index] -= 1
                hop.queue.dequeue(now, 0.01)
            if round(now * 100) % 10 == 0:
                hop.queue.on_window(now)
    return hops, refused_by


def walk(now, hops, number, priority, rng):
    """Return the index of the hop that refused the call (-1: the entry), else None."""
    level = 2 * calls.PRIORITY_LEVELS + priority
    refused = None
    for index, hop in enumerate(hops):
        if not hop.downstream_levels.admits(now, "acme", level, rng):
            return index - 1
        if not hop.arrive(now, number, 2, index, priority):
            refused = index
            break
    last = len(hops) - 1 if refused is None else refused
    for index in range(last, 0, -1):
        hops[index - 1].downstream_levels.on_answer(now, "acme", hops[index].level(now))
    return refused


def test_entry_refuses_for_a_constrained_downstream_service():
    """Guards against wasted work upstream for calls that a downstream hop refuses."""
    _, refused_by = chain(12.0, [2000, 2000, 2000, 300], 600, random.Random(1))
    late = {n: v for n, v in refused_by.items() if n > 600 * 6}
    refused = [v for v in late.values() if v is not None]
    assert len(refused) > 0.3 * len(late)
    assert sum(v == -1 for v in refused) > 0.85 * len(refused)
    done = len(late) - len(refused)
    assert done >= 0.9 * 300 * 6


@hypothesis.given(strategies.text(max_size=20), strategies.integers(0, 3))
def test_hops_with_equal_levels_decide_alike(root_id, rank):
    """Guards against call chains in which each hop refuses different requests."""
    level = rank * calls.PRIORITY_LEVELS + calls.priority_of(root_id)
    hops = [pressure.DownstreamLevels() for _ in range(3)]
    for hop in hops:
        for step in range(5):
            hop.on_answer(step * 0.01, "acme", 300)
    always_one = random.Random()
    always_one.random = lambda: 1.0
    decisions = {hop.admits(0.04, "acme", level, always_one) for hop in hops}
    assert decisions == {rank == 0 or level <= hops[0].level(0.04, "acme")}


def test_reported_level_rises_to_the_maximum_in_1_s():
    levels = pressure.DownstreamLevels()
    for step in range(50):
        levels.on_answer(step * 0.01, "acme", 128)
    assert levels.level(0.5, "acme") < 140
    assert 128 < levels.level(1.0, "acme") < calls.MAX_LEVEL
    assert levels.level(1.5, "acme") == calls.MAX_LEVEL
    assert levels.level(0.5, "other") == calls.MAX_LEVEL


def test_some_calls_above_the_level_are_probes():
    levels = pressure.DownstreamLevels()
    levels.on_answer(0.0, "acme", 0)
    rng = random.Random(1)
    passed = sum(levels.admits(0.0, "acme", 511, rng) for _ in range(10_000))
    assert 50 <= passed <= 200
