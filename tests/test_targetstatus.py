import hypothesis
from hypothesis import strategies

from toucanfold import calls, targetstatus


def heard(
    instance="i-1", started_at_ms=1, sequence=1, is_ready=True, concurrency_limit=8
):
    return targetstatus.Announcement(
        instance, started_at_ms, sequence, is_ready, concurrency_limit
    )


def test_target_without_announcements_takes_calls():
    assert targetstatus.TargetStatus().accepts_calls


def test_no_call_goes_to_a_target_that_has_not_announced_itself():
    known = targetstatus.TargetStatus(require_announcement=True)
    assert not known.accepts_calls
    refused = known.refuse()
    assert refused.outcome is calls.Outcome.NOT_RUN
    assert refused.refusal.kind is calls.RefusalKind.NO_TARGET


def test_draining_target_takes_no_calls():
    known = targetstatus.TargetStatus(require_announcement=True)
    known.on_announcement(0.0, heard())
    assert known.accepts_calls and known.concurrency_limit == 8
    known.on_announcement(1.0, heard(sequence=2, is_ready=False))
    assert not known.accepts_calls
    assert known.refuse().refusal.kind is calls.RefusalKind.STOPPING


def test_late_announcement_does_not_reopen_a_draining_target():
    """Guards against calls to a target whose drain was acknowledged."""
    known = targetstatus.TargetStatus(require_announcement=True)
    known.on_announcement(0.0, heard(sequence=5, is_ready=False))
    assert not known.on_announcement(1.0, heard(sequence=4))
    assert not known.accepts_calls


def test_late_announcement_of_an_earlier_start_does_not_hide_the_new_target():
    """Guards against a target shadowed by one that crashed at its address."""
    known = targetstatus.TargetStatus(require_announcement=True)
    known.on_announcement(0.0, heard("i-1", started_at_ms=10, sequence=90))
    known.on_announcement(1.0, heard("i-2", started_at_ms=20, sequence=1))
    assert not known.on_announcement(2.0, heard("i-1", started_at_ms=10, sequence=91))
    assert known.instance == "i-2"


def test_target_that_left_stays_gone_until_it_starts_again():
    known = targetstatus.TargetStatus(require_announcement=True)
    known.on_announcement(0.0, heard(started_at_ms=10))
    assert known.on_left(1.0, "i-1")
    assert not known.on_announcement(2.0, heard(started_at_ms=10, sequence=9))
    assert not known.accepts_calls
    assert known.on_announcement(3.0, heard(started_at_ms=11))
    assert known.accepts_calls


def test_leave_of_an_older_instance_changes_nothing():
    known = targetstatus.TargetStatus(require_announcement=True)
    known.on_announcement(0.0, heard("i-1", started_at_ms=10))
    known.on_announcement(1.0, heard("i-2", started_at_ms=20))
    assert not known.on_left(2.0, "i-1")
    assert known.accepts_calls


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3), strategies.integers(1, 4), strategies.booleans()
        ),
        max_size=12,
    ),
    strategies.randoms(use_true_random=False),
)
def test_order_of_arrival_does_not_matter(sent, rng):
    """The newest announcement decides, as in a naive version that sorts them."""
    unique = {
        (started_at_ms, sequence): ready for started_at_ms, sequence, ready in sent
    }
    items = [
        heard(f"i-{started_at_ms}", started_at_ms, seq, on)
        for (started_at_ms, seq), on in unique.items()
    ]
    newest = max(items, key=lambda item: item.order, default=None)
    rng.shuffle(items)
    known = targetstatus.TargetStatus(require_announcement=True)
    for item in items:
        known.on_announcement(0.0, item)
    assert known.accepts_calls == (newest is not None and newest.is_ready)
