import random

import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import bench, deployments, loadgen, scenarios, score


def record(at_s, good=True, sender=0, kind=0, latency_s=0.1, error=""):
    status = 200 if good else 503
    error = error or ("" if good else "overloaded")
    return loadgen.Record(
        0, at_s, sender, kind, status, error, "not-run", latency_s, 1, 0.0, 0.0
    )


def make_run(records, scenario=None) -> score.ScenarioRun:
    deployment = deployments.PENDULUM
    keys = {account.name: "k" for account in deployment.accounts}
    scenario = scenario or scenarios.Scenario("steady", 4.0, has_added_latency=True)
    plan = bench.make_plan(deployment, scenario, ["127.0.0.1:1"], keys, 7)
    counts = {"request_runs": 110, "distinct_requests": 100, "double_runs": 3}
    return score.ScenarioRun(deployment, scenario, plan, records, counts)


def test_line_has_exactly_the_fields():
    """Readers of the output rely on the names and on null where none applies."""
    line = score.line(make_run([record(n / 10) for n in range(40)]), "naive")
    assert tuple(line) == score.FIELDS
    assert line["goodput"] == 10.0
    assert line["attempts_per_request"] == 1.1
    assert line["double_runs"] == 3
    assert line["recovery_s"] is None
    assert line["added_p50_ms"] is not None


def test_warm_up_is_not_scored():
    """A fleet that still warms up would lower the steady-state figures."""
    scenario = scenarios.Scenario("steady", 4.0, warm_up_s=2.0)
    records = [record(n / 10, n >= 20) for n in range(40)]
    line = score.line(make_run(records, scenario), "naive")
    assert (line["offered"], line["goodput"]) == (10.0, 10.0)
    assert line["goodput_ratio"] == 1.0


def test_progressive_fill_serves_important_kinds_first():
    """Less important kinds must not be credited with capacity critical kinds need."""
    chains = [["a"], ["a", "b"], ["b"]]
    served = score.progressive_fill(
        [100, 50, 100], [2, 0, 2], chains, {"a": 100, "b": 60}
    )
    assert served == pytest.approx([50, 50, 10])


@hypothesis.given(
    strategies.lists(strategies.floats(0, 1e3), min_size=4, max_size=4),
    strategies.lists(strategies.integers(0, 3), min_size=4, max_size=4),
)
def test_progressive_fill_never_exceeds_demand_or_capacity(demand, ranks):
    """An admissible load above capacity would understate every policy's ratios."""
    chains = [["a"], ["a", "b"], ["b", "c"], ["c"]]
    capacity = {"a": 200.0, "b": 100.0, "c": 50.0}
    served = score.progressive_fill(demand, ranks, chains, capacity)
    assert all(s <= d + 1e-6 for s, d in zip(served, demand, strict=True))
    for name, most in capacity.items():
        used = sum(s for s, c in zip(served, chains, strict=True) if name in c)
        assert used <= most + 1e-6


def reference_over_rate(records, rate, burst):
    worst = 0.0
    edges = {r.at_s for r in records} | {r.at_s + r.latency_s for r in records}
    for start in edges:
        for end in edges:
            inside = [
                r for r in records if r.at_s >= start and r.at_s + r.latency_s <= end
            ]
            if inside and end > start:
                worst = max(worst, len(inside) - rate * (end - start) - burst)
    return worst


@hypothesis.given(strategies.integers(0, 500))
def test_over_rate_agrees_with_exhaustive_windows(seed):
    """The grid must neither report a false excess nor miss a large one."""
    rng = random.Random(seed)
    records = [record(rng.random() * 3, latency_s=rng.random() / 2) for _ in range(40)]
    exact = reference_over_rate(records, 5.0, 10.0)
    grid_excess = score.over_rate(records, 5.0, 10.0)
    assert grid_excess <= exact + 1e-9
    assert grid_excess >= exact - 5.0 * 2 * score.GRID_STEP_S - 1e-9


def test_recovery_needs_lasting_success():
    """A brief success between two failing spans is not a recovery."""
    failing_spans = [(0, 1.0), (1.25, 2.0)]
    records = [
        record(n / 100, not any(a <= n / 100 < b for a, b in failing_spans))
        for n in range(400)
    ]
    assert score.recovery_s(records, 0.0, 4.0) == 2.0
    assert score.recovery_s([record(n / 10, False) for n in range(40)], 0, 4) is None


def test_scenarios_are_complete():
    """All 14 scenarios named in the requirements must exist."""
    names = [item.name for item in scenarios.all_scenarios(deployments.SETUBHAR, False)]
    assert len(names) == len(set(names)) == 14
    assert set(scenarios.QUICK_SCENARIOS) < set(names)


@pytest.mark.parametrize("deployment", deployments.DEPLOYMENTS.values())
def test_deployments_are_within_capacity_at_baseline_load(deployment):
    """A baseline above capacity or rate limits would overload every scenario."""
    sent = sum(account.base_rate for account in deployment.accounts)
    assert sent == pytest.approx(
        deployments.BASELINE_LOAD_FRACTION * deployment.capacity
    )
    assert all(account.rate > account.base_rate for account in deployment.accounts)
    assert deployment.surge_factor(4.0) < deployments.RATE_LIMIT_FACTOR
