import hypothesis
from hypothesis import strategies

from toucanfold import calls, targetstatus


def announcement(
    instance="i-1", started_at_ms=1, sequence=1, is_ready=True, concurrency_limit=8
):
    return targetstatus.Announcement(
        instance, started_at_ms, sequence, is_ready, concurrency_limit
    )


def test_target_without_announcements_accepts_calls():
    assert targetstatus.TargetStatus().accepts_calls


def test_no_call_goes_to_a_target_that_has_not_announced_itself():
    status = targetstatus.TargetStatus(require_announcement=True)
    assert not status.accepts_calls
    refused = status.refuse()
    assert refused.outcome is calls.Outcome.NOT_RUN
    assert refused.refusal.kind is calls.RefusalKind.NO_TARGET


def test_draining_target_accepts_no_calls():
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement())
    assert status.accepts_calls and status.concurrency_limit == 8
    status.on_announcement(1.0, announcement(sequence=2, is_ready=False))
    assert not status.accepts_calls
    assert status.refuse().refusal.kind is calls.RefusalKind.STOPPING


def test_delayed_announcement_does_not_reopen_a_draining_target():
    """Guards against calls to a target whose drain was acknowledged."""
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement(sequence=5, is_ready=False))
    assert not status.on_announcement(1.0, announcement(sequence=4))
    assert not status.accepts_calls


def test_delayed_announcement_of_an_earlier_start_does_not_replace_the_new_target():
    """Guards against a stale announcement of a crashed target at the same address."""
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement("i-1", started_at_ms=10, sequence=90))
    status.on_announcement(1.0, announcement("i-2", started_at_ms=20, sequence=1))
    assert not status.on_announcement(
        2.0, announcement("i-1", started_at_ms=10, sequence=91)
    )
    assert status.instance == "i-2"


def test_target_that_left_accepts_no_calls_until_it_restarts():
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement(started_at_ms=10))
    assert status.on_instance_left(1.0, "i-1")
    assert not status.on_announcement(2.0, announcement(started_at_ms=10, sequence=9))
    assert not status.accepts_calls
    assert status.on_announcement(3.0, announcement(started_at_ms=2000))
    assert status.accepts_calls


def test_withdrawn_start_whose_announcements_are_late_gets_no_calls():
    """Guards against a withdrawal that counts only for an earlier start of its id."""
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement(started_at_ms=10))
    assert status.on_instance_left(30.0, "i-1")
    late = announcement(started_at_ms=29_000)
    assert not status.on_announcement(33.0, late)
    restarted = targetstatus.TargetStatus(require_announcement=True)
    restarted.restore(status.label, "")
    restarted.on_recorded_departure(32.0, status.departed)
    assert not restarted.on_announcement(33.0, late)
    assert not restarted.accepts_calls


def test_new_start_is_used_although_the_daemons_clock_is_ahead():
    """Guards against a target that is never used since it seems to have left before."""
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement(started_at_ms=10))
    status.on_instance_left(30.0, "i-1")
    restarted = announcement(started_at_ms=29_000)
    assert not status.on_announcement(39.9, restarted)
    assert status.on_announcement(40.0, restarted)
    assert status.accepts_calls


def test_recorded_departure_does_not_replace_a_later_one():
    """Guards against a departure that is lost while control sends an earlier one."""
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement("i-1", started_at_ms=10))
    status.on_instance_left(1.0, "i-1")
    recorded = status.departed
    status.on_announcement(3.0, announcement("i-2", started_at_ms=2000))
    status.on_announcement(4.0, announcement("i-2", 2000, 2, is_ready=False))
    assert not status.on_recorded_departure(4.0, recorded)
    assert status.departed == "2000/i-2"


def test_leave_of_an_older_instance_changes_nothing():
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(0.0, announcement("i-1", started_at_ms=10))
    status.on_announcement(1.0, announcement("i-2", started_at_ms=20))
    assert not status.on_instance_left(2.0, "i-1")
    assert status.accepts_calls


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3), strategies.integers(1, 4), strategies.booleans()
        ),
        max_size=12,
    ),
    strategies.randoms(use_true_random=False),
)
def test_arrival_order_does_not_matter(sent, rng):
    """Guards against a status that depends on the order of arrival.

    The reference model takes the newest start, which must never have said that it is
    not ready.
    """
    unique = {
        (started_at_ms, sequence): ready for started_at_ms, sequence, ready in sent
    }
    items = [
        announcement(f"i-{started_at_ms}", started_at_ms, seq, is_ready)
        for (started_at_ms, seq), is_ready in unique.items()
    ]
    newest_ms = max((item.started_at_ms for item in items), default=None)
    of_newest = [item for item in items if item.started_at_ms == newest_ms]
    rng.shuffle(items)
    status = targetstatus.TargetStatus(require_announcement=True)
    for item in items:
        status.on_announcement(0.0, item)
    is_ready = bool(of_newest) and all(item.is_ready for item in of_newest)
    assert status.accepts_calls == is_ready
