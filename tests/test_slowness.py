"""Simulates short and long calls to six targets, two of them slow."""

import collections
import heapq
import itertools
import random

from test_router import LOCATIONS, call, target

from toucanfold import calls, candidates, router, slowness

TARGET_CONCURRENCY = 16
SHORT_S, LONG_S = 0.03, 0.4
SHORT_DEADLINE_S = 0.5
ENTRIES = 6


class Simulation:
    """Entries that send calls to six targets with FIFO queues."""

    def __init__(self, times_slower):
        self.now, self.order, self.events = 0.0, itertools.count(), []
        self.rng = random.Random(1)
        self.slowdowns = times_slower
        self.running = collections.Counter()
        self.queues = collections.defaultdict(collections.deque)
        targets = [target(n, location=LOCATIONS[0]) for n in range(6)]
        self.routers = []
        for index in range(ENTRIES):
            created = router.Router(f"d{index}", "r1", "a", 10**9, random.Random(index))
            state = router.model.FleetState()
            state.targets = {item.name: item for item in targets}
            created.update(0.0, state)
            self.routers.append(created)
        self.short_in_time = self.short = 0

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self, seconds, short_per_s, long_per_s):
        for route, rate in (("short", short_per_s), ("long", long_per_s)):
            when = self.rng.expovariate(rate)
            while when < seconds:
                self.at(when, self._arrive, route)
                when += self.rng.expovariate(rate)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def _arrive(self, route):
        chosen = self.rng.choice(self.routers)
        name = chosen.pick(self.now, call(route=route)).name
        chosen.on_start(self.now, name, 1)
        self.queues[name].append((self.now, route, chosen))
        self._start(name)

    def _start(self, name):
        while self.queues[name] and self.running[name] < TARGET_CONCURRENCY:
            item = self.queues[name].popleft()
            self.running[name] += 1
            typical = SHORT_S if item[1] == "short" else LONG_S
            duration_s = self.rng.expovariate(1 / typical) * self.slowdowns.get(
                name, 1.0
            )
            self.at(self.now + duration_s, self._end, name, item, duration_s)

    def _end(self, name, item, duration_s):
        sent_at, route, chosen = item
        self.running[name] -= 1
        load = self.running[name] + len(self.queues[name])
        answer = calls.Answer(
            200, limit=TARGET_CONCURRENCY, in_flight=load, target_seconds=duration_s
        )
        chosen.on_answer(self.now, name, answer, self.now - sent_at, route)
        if route == "short" and sent_at > 3:
            self.short += 1
            self.short_in_time += self.now - sent_at <= SHORT_DEADLINE_S
        self._start(name)


def short_in_time():
    simulation = Simulation({"t0": 12.0, "t1": 12.0})
    simulation.run(13.0, 500, 90)
    return simulation.short_in_time / simulation.short


def test_short_calls_keep_their_deadline_while_two_of_six_targets_are_slow(
    monkeypatch,
):
    """Guards against short calls that wait behind long ones at slow targets.

    Seen on setubhar-mesh trouble-2: while two targets of the bottleneck service
    were 12 times slower, less than half of the requests that depended on it were
    served.
    """
    guarded = short_in_time()
    monkeypatch.setattr(slowness.Slowness, "value", lambda self, now: 1.0)
    naive = short_in_time()
    assert 1 - guarded < (1 - naive) / 3


def test_recovered_target_gets_calls_again():
    """Guards against a target that gets no calls after it was slow."""
    created = slowness.Slowness()
    for number in range(50):
        created.on_answer(number * 0.01, 12.0)
    assert created.value(0.5) > 8
    assert created.value(0.5 + 4 * slowness.DECAY_TIME_S) < 1.3


def test_healthy_targets_of_different_speed_keep_their_capacity():
    """Guards against sending calls to other regions with spare capacity here."""
    candidate = candidates.Candidate(target(0), 0, False, float("-inf"))
    candidate.limit = 16
    for number in range(100):
        candidate.slowness.on_answer(number * 0.01, 2.9)
    assert candidate.capacity(1.0) == 16


def test_slow_answers_do_not_become_the_typical_latency():
    typical = slowness.TypicalLatencies()
    for _ in range(100):
        typical.ratio("r", 0.1)
    # A third of the answers come from targets that are 12 times slower.
    for _ in range(200):
        typical.ratio("r", 1.2)
        typical.ratio("r", 0.1)
        ratio = typical.ratio("r", 0.1)
    assert typical.ratio("r", 1.2) / ratio > 10
    assert ratio > 0.4
