import fleetsim
import pytest

from toucanfold import limits, messages

ACQUIRED, WAIT, REFUSED = limits.AcquireStatus


def holder_with(rate, burst, tokens, sent_at=0.0):
    holder = limits.ShareHolder()
    holder.on_state(0.0, fleetsim.state_of({"acme": (100.0, 100.0)}, {}))
    share = messages.Share("acme", rate, burst, tokens, 1)
    holder.on_grants(0.0, sent_at, 1, [share])
    return holder


def test_call_waits_at_most_max_wait_and_is_then_refused():
    holder = holder_with(0.0, 0.0, 0.0)
    now, first_attempt_at = 0.0, None
    result = holder.try_acquire(now, "acme")
    while result.kind is WAIT:
        first_attempt_at = 0.0 if first_attempt_at is None else first_attempt_at
        now += result.seconds
        result = holder.try_acquire(now, "acme", first_attempt_at=first_attempt_at)
    assert result.kind is REFUSED
    assert now == pytest.approx(limits.MAX_WAIT_S)


def test_waiting_call_gets_the_token_before_a_new_one():
    """Guards against new calls that take the tokens of waiting ones."""
    holder = holder_with(20.0, 5.0, 0.0)
    assert holder.try_acquire(0.0, "acme").kind is WAIT
    assert holder.try_acquire(0.06, "acme").kind is WAIT
    assert holder.try_acquire(0.06, "acme", first_attempt_at=0.0).kind is ACQUIRED


def test_share_expires_one_lease_after_the_ping_was_sent():
    """Guards against a lease that counts from the arrival of a delayed answer."""
    holder = holder_with(10.0, 10.0, 10.0, sent_at=-2.0)
    assert holder.available(0.99, "acme") > 0
    assert holder.available(1.0, "acme") == 0


def test_overload_is_refused_without_waiting():
    """Guards against a wait of every call of an account above its rate."""
    holder = holder_with(10.0, 1.0, 0.0)
    kinds = [holder.try_acquire(i * 0.01, "acme").kind for i in range(200)]
    assert kinds[150:].count(REFUSED) > 25


def test_answer_of_an_earlier_term_is_ignored():
    """Guards against a deposed leader's grant after a new leader has answered."""
    holder = holder_with(10.0, 10.0, 10.0)
    holder.on_grants(0.1, 0.0, 2, [])
    late = messages.Share("acme", 90.0, 90.0, 90.0, 2)
    holder.on_grants(0.2, 0.1, 1, [late])
    assert holder.available(0.2, "acme") <= 10.0
    assert holder.needs_early_ping(0.2)


def test_deleted_account_is_refused_at_once():
    holder = holder_with(10.0, 10.0, 10.0)
    holder.on_state(0.1, fleetsim.state_of({}, {}))
    assert holder.try_acquire(0.1, "acme").kind is not ACQUIRED
    assert holder.report_shares(0.1) == [messages.Share("acme", 0.0, 0.0, 0.0, 1)]


def test_idle_share_is_returned_with_its_tokens():
    """Guards against rate that stays at an entry whose traffic has stopped."""
    holder = holder_with(50.0, 20.0, 20.0)
    for i in range(40):
        holder.try_acquire(i * 0.02, "acme")
    holder.demands(0.8)
    assert holder.needs_early_ping(1.5)
    [share] = holder.report_shares(1.5)
    assert share.rate == 0.0
    assert share.tokens > 5
