import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import failuredetector, model

COUNT = 9


def fleet(count=COUNT):
    state = model.FleetState()
    for number in range(count):
        name = f"t{number}"
        state.targets[name] = model.Target(name, 1, "s", "r", "d", "x")
    return state


def mark_lost(state, targets):
    for target in targets:
        state.targets[target.name].state = "lost"


def run(state, detector, start, end, pinging=(), step=0.2):
    """Run the detector in fixed steps; return the times at which targets were lost."""
    losses = []
    for number in range(round((end - start) / step)):
        now = start + number * step
        for name in pinging:
            detector.on_ping(now, name, 1, number, 0)
        lost = detector.lost(now, state)
        losses += [now for _ in lost]
        mark_lost(state, lost)
    return losses


def test_target_without_pings_is_lost_only_after_the_timeout():
    state, detector = fleet(), failuredetector.FailureDetector()
    detector.on_elected(0.0)
    others = [f"t{number}" for number in range(1, COUNT)]
    losses = run(state, detector, 0.0, 6.0, others)
    assert len(losses) == 1
    assert (
        failuredetector.FAILURE_TIMEOUT_S
        < losses[0]
        < failuredetector.FAILURE_TIMEOUT_S + 0.5
    )
    assert state.targets["t0"].state == "lost"


def test_partition_does_not_empty_the_directory():
    """Guards against a partitioned leader that marks all targets of a service lost."""
    state, detector = fleet(), failuredetector.FailureDetector()
    detector.on_elected(0.0)
    losses = run(state, detector, 0.0, 60.0)
    assert len(losses) == COUNT - 1
    for start in losses:
        window = [
            at for at in losses if start <= at < start + failuredetector.LOSS_WINDOW_S
        ]
        assert len(window) <= COUNT // failuredetector.MAX_LOSS_DIVISOR


def test_stalled_leader_marks_no_target_lost():
    """Guards against a stalled leader that takes its own stall for missing pings."""
    state, detector = fleet(), failuredetector.FailureDetector()
    detector.on_elected(0.0)
    assert detector.lost(0.2, state) == []
    assert detector.lost(30.0, state) == []


def test_stale_pings_and_old_incarnations_are_ignored():
    state, detector = fleet(1), failuredetector.FailureDetector()
    detector.on_elected(0.0)
    state.targets["t0"].incarnation = 2
    assert detector.on_ping(1.0, "t0", 2, 4, 5)
    assert not detector.on_ping(2.0, "t0", 1, 9, 9)
    assert not detector.on_ping(2.0, "t0", 2, 3, 9)
    assert detector.on_ping(5.0, "t0", 1, 10, 9)
    detector.on_ping(5.1, "t0", 2, 5, 5)
    assert detector.applied_revision(state.targets["t0"]) == 5
    assert laggards(detector, 5.2, state, 6) == ["t0"]
    assert laggards(detector, 5.2, state, 5) == []


def laggards(detector, now, state, revision):
    return [item.name for item in detector.laggards(now, state, revision)]


@pytest.mark.parametrize("directory", ["waiting", "older", "none", "left"])
def test_change_is_not_in_force_while_a_daemon_may_use_an_older_state(directory):
    """Guards against withdrawn keys served after their withdrawal was confirmed."""
    state, detector = fleet(1), failuredetector.FailureDetector()
    detector.on_elected(0.0)
    detector.on_ping(1.0, "t0", 2, 1, 5)
    target = state.targets["t0"]
    target.incarnation = 1 if directory == "older" else 2
    target.state = {"older": "lost", "none": "up"}.get(directory, directory)
    if directory == "none":
        del state.targets["t0"]
    expected = [] if directory == "left" else ["t0"]
    assert laggards(detector, 1.1, state, 6) == expected
    detector.on_ping(1.5, "t0", 2, 2, 6)
    assert laggards(detector, 1.6, state, 6) == []


def test_change_is_not_in_force_while_a_replaced_process_may_use_an_older_state():
    """Guards against withdrawn keys served by a process that has a successor."""
    state, detector = fleet(1), failuredetector.FailureDetector()
    detector.on_elected(0.0)
    state.targets["t0"].incarnation = 2
    detector.on_ping(1.0, "t0", 1, 1, 5)
    detector.on_ping(1.5, "t0", 2, 1, 6)
    assert not detector.on_ping(2.0, "t0", 1, 2, 6)
    assert laggards(detector, 4.0, state, 6) == ["t0"]
    assert laggards(detector, 4.0, state, 5) == []
    assert laggards(detector, 4.4, state, 6) == []


def test_new_leader_has_heard_all_daemons_once_states_of_an_earlier_term_expired():
    detector = failuredetector.FailureDetector()
    detector.on_elected(10.0)
    assert not detector.has_heard_all(13.0)
    assert detector.has_heard_all(13.4)


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
def test_last_target_and_recently_pinged_ones_are_never_lost(steps):
    state, detector, now = fleet(6), failuredetector.FailureDetector(), 0.0
    detector.on_elected(now)
    pinged = dict.fromkeys(state.targets, 0.0)
    for at, (kind, number, seconds) in enumerate(steps):
        now += seconds
        if kind == "ping":
            assert detector.on_ping(now, f"t{number}", 1, at, 0)
            pinged[f"t{number}"] = now
            continue
        lost = detector.lost(now, state)
        assert all(
            now - pinged[item.name] > failuredetector.FAILURE_TIMEOUT_S for item in lost
        )
        mark_lost(state, lost)
        assert any(item.state == "up" for item in state.targets.values())
