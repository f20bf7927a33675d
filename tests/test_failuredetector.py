import hypothesis
from hypothesis import strategies

from toucanfold import failuredetector, model

COUNT = 9


def fleet(count=COUNT):
    state = model.FleetState()
    for number in range(count):
        name = f"t{number}"
        state.targets[name] = model.Target(name, 1, "s", "r", "d", "x")
    return state


def mark(state, targets):
    for target in targets:
        state.targets[target.name].state = "lost"


def run(state, known, start, end, pinging=(), step=0.2):
    """Check regularly; return the times of the losses."""
    losses = []
    for number in range(round((end - start) / step)):
        now = start + number * step
        for name in pinging:
            known.on_ping(now, name, 1, number, 0)
        lost = known.lost(now, state)
        losses += [now for _ in lost]
        mark(state, lost)
    return losses


def test_silent_target_is_lost_after_the_limit_only():
    state, known = fleet(), failuredetector.FailureDetector()
    known.on_elected(0.0)
    others = [f"t{number}" for number in range(1, COUNT)]
    losses = run(state, known, 0.0, 6.0, others)
    assert len(losses) == 1
    assert (
        failuredetector.FAILURE_TIMEOUT_S
        < losses[0]
        < failuredetector.FAILURE_TIMEOUT_S + 0.5
    )
    assert state.targets["t0"].state == "lost"


def test_partition_does_not_empty_the_directory():
    """Guards against a cut-off leader's side that marks a whole service lost."""
    state, known = fleet(), failuredetector.FailureDetector()
    known.on_elected(0.0)
    losses = run(state, known, 0.0, 60.0)
    assert len(losses) == COUNT - 1
    for start in losses:
        window = [
            at for at in losses if start <= at < start + failuredetector.LOSS_WINDOW_S
        ]
        assert len(window) <= COUNT // failuredetector.MAX_LOSS_DIVISOR


def test_paused_leader_blames_nobody():
    """Guards against a stopped process that takes its own pause for silence."""
    state, known = fleet(), failuredetector.FailureDetector()
    known.on_elected(0.0)
    assert known.lost(0.2, state) == []
    assert known.lost(30.0, state) == []


def test_late_ping_and_old_incarnation_do_not_count():
    state, known = fleet(1), failuredetector.FailureDetector()
    known.on_elected(0.0)
    state.targets["t0"].incarnation = 2
    assert known.on_ping(1.0, "t0", 2, 4, 5)
    assert not known.on_ping(2.0, "t0", 1, 9, 9)
    assert not known.on_ping(2.0, "t0", 2, 3, 9)
    assert known.on_ping(5.0, "t0", 1, 10, 9)
    known.on_ping(5.1, "t0", 2, 5, 5)
    assert known.applied_revision(state.targets["t0"]) == 5
    assert known.laggards(state, 6) == ["t0"]
    assert known.laggards(state, 5) == []


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ping", "check"]),
            strategies.integers(0, 5),
            strategies.sampled_from([0.1, 0.9, 3.0]),
        ),
        max_size=60,
    )
)
def test_any_schedule_keeps_the_last_target_and_recent_ones(steps):
    state, known, now = fleet(6), failuredetector.FailureDetector(), 0.0
    known.on_elected(now)
    pinged = dict.fromkeys(state.targets, 0.0)
    for at, (kind, number, seconds) in enumerate(steps):
        now += seconds
        if kind == "ping":
            assert known.on_ping(now, f"t{number}", 1, at, 0)
            pinged[f"t{number}"] = now
            continue
        lost = known.lost(now, state)
        assert all(
            now - pinged[item.name] > failuredetector.FAILURE_TIMEOUT_S for item in lost
        )
        mark(state, lost)
        assert any(item.state == "up" for item in state.targets.values())
