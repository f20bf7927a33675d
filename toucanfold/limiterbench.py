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
flags.DEFINE_float("seconds", 30.0, "Simulated time.", flag_values=FLAGS)
flags.DEFINE_integer("seeds", 3, "Runs with different seeds.", flag_values=FLAGS)
flags.DEFINE_list("limiters", [], "Plug-ins; all when empty.", flag_values=FLAGS)
HELP_TEXT = "Compares the limiters on a simulated target."
SAMPLE_S = 0.1


class Target:
    """A target with parallel workers and a queue; times in seconds.

    slowdown gives a factor of the service time at a time; shed_above is the number of
    calls above which the target refuses.
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
        """Return one service time."""
        mean = self.service_s * self.slowdown(now)
        if self.spread == "exponential":
            return self.rng.expovariate(1 / mean)
        # A deviation of 0.5 gives a tail like that of a database call.
        return mean * self.rng.lognormvariate(-0.125, 0.5)


class Simulation:
    """Open-loop arrivals, a queue of impatient calls, a limiter and a target."""

    PATIENCE_S = 1.0

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
        self.inside: list[float] = []
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.order = itertools.count()
        # Samples of (time, limit, finished so far), and (end, own time, result).
        self.samples: list[tuple[float, int, int]] = []
        self.finished: list[tuple[float, float, limiter.FinishKind]] = []
        self.done = 0
        self._at(0.0, self._arrive)
        self._at(0.0, self._sample)

    def run(self, seconds: float) -> None:
        """Simulate until a time."""
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def mean_limit(self, start: float, end: float) -> float:
        """Return the mean limit in a time span."""
        return statistics.fmean(
            limit for now, limit, _ in self.samples if start <= now < end
        )

    def throughput(self, start: float, end: float) -> float:
        """Return successful calls per second in a time span."""
        good = limiter.FinishKind.OK
        ended = sum(
            1 for at, _, kind in self.finished if start <= at < end and kind is good
        )
        return ended / (end - start)

    def delay(self, start: float, end: float) -> float:
        """Return the mean own time of calls that ended in a time span."""
        times = [own for at, own, _ in self.finished if start <= at < end]
        return statistics.fmean(times) if times else 0.0

    def _at(self, when: float, action: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def _arrive(self) -> None:
        rate = self.offered(self.now)
        self._at(self.now + self.target.rng.expovariate(rate), self._arrive)
        self.waiting.append(self.now)
        self._dispatch()

    def _sample(self) -> None:
        self.samples.append((self.now, self.limiter.limit, self.done))
        self._at(self.now + SAMPLE_S, self._sample)

    def _dispatch(self) -> None:
        while self.waiting and self.now - self.waiting[0] > self.PATIENCE_S:
            self.waiting.pop(0)
        while self.waiting and self.in_flight < self.limiter.limit:
            self.waiting.pop(0)
            self.in_flight += 1
            self.limiter.on_start(self.now, self.in_flight)
            if self.in_flight > self.target.shed_above:
                self._at(self.now + 0.001, self._finish, self.now, "shed")
            else:
                self.inside.append(self.now)
                self._serve()

    def _serve(self) -> None:
        while self.inside and self.running < self.target.workers:
            since = self.inside.pop(0)
            self.running += 1
            left = max(0.0, since + self.timeout_s - self.now)
            service_s = self.target.draw(self.now)
            kind = "timeout" if service_s > left else "ok"
            self._at(self.now + min(service_s, left), self._finish, since, kind)

    def _finish(self, since: float, kind: str) -> None:
        result = limiter.FinishKind[kind.upper()]
        own = self.now - since
        if kind != "shed":
            self.running -= 1
            self.done += 1
        self.limiter.on_finish(self.now, own, self.in_flight, result)
        self.in_flight -= 1
        self.finished.append((self.now, own, result))
        self._serve()
        self._dispatch()


def slow_between(start: float, end: float, factor: float) -> Callable[[float], float]:
    """Return a slowdown that holds in a time span."""
    return lambda now: factor if start <= now < end else 1.0


def cold_until(end: float, factor: float) -> Callable[[float], float]:
    """Return a slowdown that fades out from the start."""
    return lambda now: max(1.0, factor - (factor - 1) * now / end)


def scenarios(seconds: float) -> dict[str, tuple[dict, float]]:
    """Return target options and offered load (multiple of capacity) by name."""
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
            {"workers": 70, "service_s": 0.1, "slowdown": cold_until(3.0, 5.0)},
            2.0,
        ),
        "shedding": ({"workers": 70, "service_s": 0.1, "shed_above": 90}, 2.0),
        "low-load": ({"workers": 70, "service_s": 0.1}, 0.3),
        "near-capacity": ({"workers": 70, "service_s": 0.1}, 0.95),
    }


def measure(name: str, scenario: str, seconds: float, seed: int) -> dict[str, object]:
    """Run one limiter in one scenario."""
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
            run.delay(2 * third, seconds) / target.service_s, 2
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
