"""Compares the limiters on a simulated target; prints JSON lines."""

import heapq
import itertools
import json
import random
import statistics
import sys
from collections.abc import Callable

from absl import flags

from toucanfold import cmdline, limiter, registry

FLAGS = flags.FlagValues()
flags.DEFINE_float("seconds", 30.0, "Simulated time (s).", flag_values=FLAGS)
flags.DEFINE_integer("seeds", 3, "Number of seeds; one run each.", flag_values=FLAGS)
flags.DEFINE_list("limiters", [], "Limiter plug-ins; all if empty.", flag_values=FLAGS)
HELP_TEXT = "Compares the limiters on a simulated target."
SAMPLE_INTERVAL_S = 0.1


class Target:
    """A target with parallel workers and a queue; times in seconds.

    slowdown maps the current time to a factor of the service time; shed_above is the
    number of calls in flight above which the target refuses.
    """

    def __init__(
        self,
        workers: int,
        service_s: float,
        rng: random.Random,
        slowdown: Callable[[float], float] = lambda now: 1.0,
        shed_above: int = 1 << 30,
        spread: str = "lognormal",
    ):
        self.workers = workers
        self.service_s = service_s
        self.rng = rng
        self.slowdown = slowdown
        self.shed_above = shed_above
        self.spread = spread

    def draw(self, now: float) -> float:
        """Draw one service time (s)."""
        mean = self.service_s * self.slowdown(now)
        if self.spread == "exponential":
            return self.rng.expovariate(1 / mean)
        # A sigma of 0.5 gives a tail like that of a database call.
        return mean * self.rng.lognormvariate(-0.125, 0.5)


class Simulation:
    """Open-loop arrivals, a queue with a maximum wait, a limiter and a target."""

    MAX_QUEUE_WAIT_S = 1.0

    def __init__(
        self,
        limit: limiter.ConcurrencyLimiter,
        target: Target,
        offered: Callable[[float], float],
        timeout_s: float = 10.0,
    ):
        self.limiter = limit
        self.target = target
        self.offered = offered
        self.timeout_s = timeout_s
        self.now = 0.0
        self.waiting: list[float] = []
        self.in_flight = 0
        self.running = 0
        self.target_queue: list[float] = []
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.event_numbers = itertools.count()
        # Samples: (time, limit, finished so far). Finished: (end, self time, result).
        self.samples: list[tuple[float, int, int]] = []
        self.finished: list[tuple[float, float, limiter.FinishKind]] = []
        self.finished_count = 0
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._sample)

    def run(self, seconds: float) -> None:
        """Simulate until the given time (s)."""
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def mean_limit(self, start: float, end: float) -> float:
        """Return the mean limit between two times (s)."""
        return statistics.fmean(
            limit for now, limit, _ in self.samples if start <= now < end
        )

    def throughput(self, start: float, end: float) -> float:
        """Return successful calls per second between two times (s)."""
        good = limiter.FinishKind.OK
        ended = sum(
            1 for at, _, kind in self.finished if start <= at < end and kind is good
        )
        return ended / (end - start)

    def mean_self_time(self, start: float, end: float) -> float:
        """Return the mean self time (s) of calls that ended between two times."""
        times = [
            self_time_s for at, self_time_s, _ in self.finished if start <= at < end
        ]
        return statistics.fmean(times) if times else 0.0

    def _schedule(
        self, due_at: float, action: Callable[..., None], *arguments: object
    ) -> None:
        heapq.heappush(
            self.events, (due_at, next(self.event_numbers), action, arguments)
        )

    def _arrive(self) -> None:
        rate = self.offered(self.now)
        self._schedule(self.now + self.target.rng.expovariate(rate), self._arrive)
        self.waiting.append(self.now)
        self._dispatch()

    def _sample(self) -> None:
        self.samples.append((self.now, self.limiter.limit, self.finished_count))
        self._schedule(self.now + SAMPLE_INTERVAL_S, self._sample)

    def _dispatch(self) -> None:
        while self.waiting and self.now - self.waiting[0] > self.MAX_QUEUE_WAIT_S:
            self.waiting.pop(0)
        while self.waiting and self.in_flight < self.limiter.limit:
            self.waiting.pop(0)
            self.in_flight += 1
            self.limiter.on_start(self.now, self.in_flight)
            if self.in_flight > self.target.shed_above:
                self._schedule(self.now + 0.001, self._finish, self.now, "shed")
            else:
                self.target_queue.append(self.now)
                self._serve()

    def _serve(self) -> None:
        while self.target_queue and self.running < self.target.workers:
            dispatched_at = self.target_queue.pop(0)
            self.running += 1
            remaining_s = max(0.0, dispatched_at + self.timeout_s - self.now)
            service_s = self.target.draw(self.now)
            kind = "timeout" if service_s > remaining_s else "ok"
            self._schedule(
                self.now + min(service_s, remaining_s),
                self._finish,
                dispatched_at,
                kind,
            )

    def _finish(self, dispatched_at: float, kind: str) -> None:
        result = limiter.FinishKind[kind.upper()]
        self_time_s = self.now - dispatched_at
        if kind != "shed":
            self.running -= 1
            self.finished_count += 1
        self.limiter.on_finish(self.now, self_time_s, self.in_flight, result)
        self.in_flight -= 1
        self.finished.append((self.now, self_time_s, result))
        self._serve()
        self._dispatch()


def slow_between(start: float, end: float, factor: float) -> Callable[[float], float]:
    """Return a slowdown that is factor between two times (s), and 1 otherwise."""
    return lambda now: factor if start <= now < end else 1.0


def warm_up_slowdown(end: float, factor: float) -> Callable[[float], float]:
    """Return a slowdown that decreases linearly from factor to 1 at the end (s)."""
    return lambda now: max(1.0, factor - (factor - 1) * now / end)


def scenarios(seconds: float) -> dict[str, tuple[dict, float]]:
    """Return target options and offered load (multiple of capacity) by scenario."""
    third = seconds / 3
    slow = slow_between(third, 2 * third, 10.0)
    return {
        "wide": ({"workers": 70, "service_s": 0.1}, 2.0),
        "wide-exponential": (
            {"workers": 70, "service_s": 0.1, "spread": "exponential"},
            2.0,
        ),
        "narrow": ({"workers": 15, "service_s": 0.06}, 2.0),
        "fast": ({"workers": 15, "service_s": 0.005}, 2.0),
        "slowdown": ({"workers": 70, "service_s": 0.1, "slowdown": slow}, 2.0),
        "cold": (
            {"workers": 70, "service_s": 0.1, "slowdown": warm_up_slowdown(3.0, 5.0)},
            2.0,
        ),
        "shedding": ({"workers": 70, "service_s": 0.1, "shed_above": 90}, 2.0),
        "low-load": ({"workers": 70, "service_s": 0.1}, 0.3),
        "near-capacity": ({"workers": 70, "service_s": 0.1}, 0.95),
    }


def measure(name: str, scenario: str, seconds: float, seed: int) -> dict[str, object]:
    """Run one limiter in one scenario; return the figures for one JSON line."""
    options, load = scenarios(seconds)[scenario]
    target = Target(rng=random.Random(seed), **options)
    capacity = target.workers / target.service_s
    created = registry.create("limiter", name).unwrap()
    run = Simulation(created, target, lambda now: load * capacity)
    run.run(seconds)
    third = seconds / 3
    possible = min(1.0, load) * capacity
    return {
        "limiter": name,
        "scenario": scenario,
        "seed": seed,
        "limit_thirds": [
            round(run.mean_limit(start, start + third), 1)
            for start in (0.0, third, 2 * third)
        ],
        "throughput_thirds": [
            round(run.throughput(start, start + third) / possible, 3)
            for start in (0.0, third, 2 * third)
        ],
        "first_2s_of_last_third": round(
            run.throughput(2 * third, 2 * third + 2) / possible, 3
        ),
        "own_time_over_service": round(
            run.mean_self_time(2 * third, seconds) / target.service_s, 2
        ),
    }


def main(arguments: list[str]) -> int:
    """Run all limiters in all scenarios."""
    cmdline.parse_flags(FLAGS, "limiterbench", arguments, HELP_TEXT)
    names = FLAGS.limiters or registry.names("limiter")
    for scenario in scenarios(FLAGS.seconds):
        for name in names:
            for seed in range(FLAGS.seeds):
                row = measure(name, scenario, FLAGS.seconds, seed)
                print(json.dumps(row), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
