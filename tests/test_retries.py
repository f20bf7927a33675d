import random
import time

import helpers
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_router import call, fleet, target

from toucanfold import calls, forward, retries, router

DEPTH = 21


def sender(dispatcher, service, name="t0", others=(), peers=None, routes=None):
    state = fleet([target(0, service=service, location=("r1", "a")), *others])
    if routes:
        state.routes, state.profiles = routes
    chooser = router.Router(name, "r1", "a", 0, random.Random(3))
    chooser.update(0.0, state)
    return forward.RetryingSender(
        name, chooser, retries.RetryBudgets(), dispatcher, peers, lambda: state
    )


class Hop:
    """Target of one service that calls the next one, perhaps several times."""

    def __init__(self, number, depth, fan_out, failure, counts):
        self.counts = counts
        self.number = number
        self.failure = failure
        self.next = None
        self.fan_out = fan_out(number)
        if number + 1 < depth:
            hop = Hop(number + 1, depth, fan_out, failure, counts)
            more = [
                target(n, service=f"s{number + 1}", location=("r1", "a"))
                for n in (1, 2)
            ]
            self.next = sender(hop, f"s{number + 1}", others=more, peers=hop)

    async def run(self, first, second=None):
        request = second or first
        self.counts[self.number] = self.counts.get(self.number, 0) + 1
        if self.next is None:
            return calls.refuse(self.failure, "", calls.Outcome.NOT_RUN)
        token = calls.TokenTable().issue(request)
        retried = False
        for _ in range(self.fan_out):
            reserved = token.reserve_attempts()
            child = call(
                service=f"s{self.number + 1}",
                attempts_left=reserved,
                deadline=request.deadline,
            )
            token.nested_call_started(0.0)
            self.counts["issued"] = self.counts.get("issued", 0) + 1
            answer = await self.next.run(child)
            token.nested_call_ended(0.0, reserved, answer.attempts_spent)
            retried = retried or answer.retried
        # Worst case: the target reports the failure of its own call as "not run".
        answer = calls.refuse(calls.RefusalKind.OVERLOADED, "")
        answer.attempts_spent = token.attempts_spent
        answer.retried = retried and self.number % 2 == 0
        return answer


def naive_dispatches(depth, retries_per_hop=3):
    """Dispatches when every hop retries a failing chain on its own."""
    return sum((1 + retries_per_hop) ** (level + 1) for level in range(depth))


def calls_without_retries(depth, fan_out):
    total, width = 0, 1
    for level in range(depth):
        total += width
        width *= fan_out(level)
    return total


@pytest.mark.parametrize(
    "kind", [calls.RefusalKind.OVERLOADED, calls.RefusalKind.TARGET_FAILED]
)
@pytest.mark.parametrize("allowance", [0, 1, 5])
def test_deep_tree_under_total_failure_is_bounded(kind, allowance):
    """Guards against retries that multiply at each hop of a deep chain."""

    def fan_out(level):
        return 3 if level in (2, 9, 15) else 1

    counts = {}
    root = Hop(
        -1, DEPTH, lambda level: 1 if level < 0 else fan_out(level), kind, counts
    )
    request = call(
        service="s0", attempts_left=allowance, deadline=time.monotonic() + 60
    )
    answer = helpers.run(root.run(request))
    issued = counts.pop("issued")
    counts.pop(-1)
    dispatches = sum(counts.values())
    assert dispatches <= issued + allowance
    assert answer.attempts_spent == dispatches - issued
    # A retry above the deepest hop repeats all calls below it.
    planned = calls_without_retries(DEPTH, fan_out)
    assert planned <= dispatches <= (1 + allowance) * planned
    assert dispatches < naive_dispatches(DEPTH) / 1e6


def test_deepest_hop_retries_alone():
    counts = {}
    root = Hop(-1, DEPTH, lambda level: 1, calls.RefusalKind.OVERLOADED, counts)
    request = call(service="s0", attempts_left=1, deadline=time.monotonic() + 60)
    helpers.run(root.run(request))
    del counts[-1], counts["issued"]
    assert sum(counts.values()) == DEPTH + 1
    assert counts[DEPTH - 1] == 2


@given(st.lists(st.booleans(), max_size=300))
def test_budget_bounds_retries_by_successes(events):
    """Guards against more retries than the capacity and a tenth of the successes."""
    budgets, taken, successes = retries.RetryBudgets(), 0, 0
    for is_success in events:
        if is_success:
            budgets.on_success(0.0, "s")
            successes += 1
        else:
            taken += budgets.take(0.0, "s")
        assert taken <= retries.MAX_TOKENS + 0.1 * successes + 1e-6


@given(
    st.integers(0, 5),
    st.lists(
        st.tuples(
            st.sampled_from(sorted(calls.RefusalKind)),
            st.sampled_from(sorted(calls.Outcome)),
            st.integers(0, 3),
            st.booleans(),
        ),
        max_size=20,
    ),
    st.booleans(),
)
def test_allowance_rules(attempts, tries, idempotent):
    """Guards against retrying what may have run, and against a false "not run"."""
    allowance, budgets = retries.Allowance(attempts), retries.RetryBudgets()
    request = call(idempotent=idempotent)
    rerouted, unknown = 0, False
    for kind, outcome, spent, retried in tries:
        reserved = allowance.left
        answer = calls.refuse(kind, "", outcome)
        answer.attempts_spent, answer.retried = spent, retried
        allowance.on_answer(answer, reserved)
        unknown = unknown or outcome is calls.Outcome.UNKNOWN
        assert allowance.left >= 0 and allowance.spent <= attempts
        before = allowance.spent
        if not allowance.may_retry(0.0, request, answer, budgets):
            answer = allowance.finish(answer)
            claims = (answer.outcome, answer.refusal.outcome)
            assert not unknown or calls.Outcome.NOT_RUN not in claims
            return
        assert not retried and outcome is not calls.Outcome.RAN
        assert outcome is calls.Outcome.NOT_RUN or idempotent
        rerouted += allowance.spent == before
        assert rerouted <= retries.FREE_REROUTES


def test_hedge_without_a_target_gets_its_attempt_back_after_a_free_retry():
    now, asked = time.monotonic(), call(service="s", attempts_left=2)
    allowance, budgets = retries.Allowance(2), retries.RetryBudgets()
    refused = calls.refuse(calls.RefusalKind.OVERLOADED, "", calls.Outcome.NOT_RUN)
    refused.undispatched = True
    assert allowance.may_retry(now, asked, refused, budgets)
    assert allowance.left == 2
    assert allowance.take(now, asked, budgets)
    allowance.refund(asked, budgets)
    assert (allowance.left, allowance.spent) == (2, 0)
