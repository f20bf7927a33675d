import dataclasses

import hypothesis
from hypothesis import strategies

from toucanfold import loadgen


def plan(seed: int = 1, **fields) -> loadgen.Plan:
    return loadgen.Plan(
        seed,
        10.0,
        ["127.0.0.1:1", "127.0.0.1:2"],
        [loadgen.AccountLoad("a", "ka", 40.0), loadgen.AccountLoad("b", "kb", 10.0)],
        [
            loadgen.RequestKind("look", "parts", "GET", "/look", 0.8),
            loadgen.RequestKind(
                "book", "parts", "POST", "/book", 0.2, importance="critical"
            ),
        ],
        **fields,
    )


@hypothesis.given(strategies.integers(0, 1000))
def test_schedule_depends_on_plan_alone(seed):
    """Both policies of a comparison must receive the same requests."""
    original = plan(seed)
    restored = loadgen.Plan.from_json(dataclasses.asdict(original))
    scheduled_requests = loadgen.schedule(original)
    assert scheduled_requests == loadgen.schedule(restored)
    assert [
        scheduled_request.number for scheduled_request in scheduled_requests
    ] == list(range(len(scheduled_requests)))
    assert scheduled_requests != loadgen.schedule(plan(seed + 1))


def test_phase_multiplies_rate_of_its_account_only():
    """A surge of one account must not change the other accounts' arrivals."""
    baseline = loadgen.schedule(plan())
    surge = loadgen.schedule(plan(phases=[loadgen.Phase(2, 7, 5.0, "a")]))

    def count(scheduled_requests, sender, start_s, end_s):
        return sum(
            s.sender == sender and start_s <= s.at_s < end_s for s in scheduled_requests
        )

    assert count(baseline, 1, 0, 10) == count(surge, 1, 0, 10)
    assert 3.5 < count(surge, 0, 2, 7) / count(baseline, 0, 2, 7) < 6.5
    assert [s for s in surge if s.at_s < 2] == [s for s in baseline if s.at_s < 2]


def test_summary_reports_generator_with_long_send_delays():
    """A measurement limited by the generator itself must be marked as such."""
    fields = (0.1, 0, 0, 200, "", "ran", 0.1, 1, 0.05)
    late = [loadgen.Record(n, *fields, 0.2) for n in range(100)]
    prompt = [loadgen.Record(n, *fields, 0.001) for n in range(100)]
    assert loadgen.summary(late, 1)["self_limited"]
    assert not loadgen.summary(prompt, 1)["self_limited"]
