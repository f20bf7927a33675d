import random

import pytest

from toucanfold import limiter, limiterbench, registry

OK, SHED = limiter.FinishKind.OK, limiter.FinishKind.SHED


def simulate(seconds, load=2.0, seed=1, **options):
    """Run the default limiter; load is a multiple of the target's capacity."""
    options = {"workers": 70, "service_s": 0.1} | options
    target = limiterbench.Target(rng=random.Random(seed), **options)
    created = registry.create("limiter", "delivery").unwrap()
    capacity = target.workers / target.service_s
    run = limiterbench.Simulation(created, target, lambda now: load * capacity)
    run.run(seconds)
    return run, capacity


@pytest.mark.parametrize(
    ("workers", "service_s", "spread"),
    [
        (70, 0.1, "lognormal"),
        (70, 0.03, "exponential"),
        (15, 0.2, "lognormal"),
        (15, 0.005, "exponential"),
    ],
)
def test_limit_converges_to_the_concurrency_of_the_target(workers, service_s, spread):
    run, capacity = simulate(24, workers=workers, service_s=service_s, spread=spread)
    assert run.mean_limit(10, 24) == pytest.approx(workers, rel=0.25)
    assert run.throughput(10, 24) >= 0.9 * capacity


def test_limit_stays_useful_during_a_slowdown_and_recovers():
    """Guards against a limit that falls with the speed of the target."""
    slow = limiterbench.slow_between(10, 40, 10.0)
    run, capacity = simulate(50, slowdown=slow)
    assert run.mean_limit(20, 40) == pytest.approx(70, rel=0.35)
    assert run.throughput(20, 40) >= 0.9 * capacity / 10
    assert run.throughput(42, 44) >= 0.95 * capacity


def test_cold_start_follows_throughput():
    run, capacity = simulate(8, slowdown=limiterbench.warm_up_slowdown(2.0, 5.0))
    assert run.samples[0][1] <= limiter.INITIAL_LIMIT
    assert run.throughput(4, 8) >= 0.9 * capacity


def test_low_load_does_not_lower_the_limit():
    """Guards against taking throughput below the limit for the capacity."""
    run, capacity = simulate(10)
    limit_before = run.limiter.limit
    run.offered = lambda now: 0.1 * capacity
    run.run(40)
    assert run.limiter.limit >= 0.75 * limit_before


def test_shedding_target_is_kept_below_its_bound():
    run, capacity = simulate(20, shed_above=60)
    kinds = [kind for at, _, kind in run.finished if at > 5]
    assert kinds.count(SHED) <= 0.02 * len(kinds)
    assert run.throughput(5, 20) >= 0.85 * capacity * 60 / 70


@pytest.mark.parametrize("name", ["aimd", "gradient", "delivery"])
def test_shed_answer_reduces_the_limit_at_once(name):
    created = registry.create("limiter", name, initial=50.0).unwrap()
    created.on_start(0.0, 50)
    created.on_finish(0.1, 0.1, 50, SHED)
    assert created.limit < 50


def test_fixed_limit_is_an_option():
    assert registry.create("limiter", "fixed", limit=7).unwrap().limit == 7
