"""Rules for retries: the allowance of a request and the budgets per service."""

import collections

from toucanfold import calls

TOKENS_PER_SUCCESS = 0.1
MAX_TOKENS = 10.0
# Retries per hop, at no cost to the allowance, of attempts that never reached a target
# because its daemon was stopping or unreachable. Nothing was dispatched in these.
FREE_REROUTES = 3
# The same for attempts refused by the queue of a target. When all targets are
# overloaded, each of them costs work at another daemon, so there is only one.
FREE_REQUEUES = 1

HEDGE_QUANTILE = 0.95
HEDGE_SAMPLE_COUNT = 128
# The quantile is recomputed after this many samples, to keep the cost per answer low.
HEDGE_REFRESH_SAMPLES = 16

# A fleet-wide bound on repeats is a fraction of calls plus a number of calls. Daemons
# use only these fractions of the two: a repeated call also repeats its nested calls,
# which count several times at the services it calls.
USED_REPEAT_FRACTION = 0.2
USED_REPEAT_CALLS_FRACTION = 0.75

_RETRYABLE_KINDS = frozenset(
    (
        calls.RefusalKind.OVERLOADED,
        calls.RefusalKind.NO_TARGET,
        calls.RefusalKind.STOPPING,
        calls.RefusalKind.MISDIRECTED,
        calls.RefusalKind.TARGET_FAILED,
        calls.RefusalKind.DEADLINE_EXCEEDED,
    )
)
_FREE_KINDS = frozenset(
    (
        calls.RefusalKind.NO_TARGET,
        calls.RefusalKind.STOPPING,
        calls.RefusalKind.MISDIRECTED,
    )
)


class RetryBudgets:
    """Retry tokens of this daemon per called service.

    A fleet-wide bound on repeats holds if each daemon earns tokens for at most the
    bound's fraction of its own calls and keeps at most an equal share of the additional
    repeats allowed. Daemons then start without tokens, since many may restart in one
    window.
    """

    __slots__ = ("_capacity", "_initial_tokens", "_tokens", "_tokens_per_success")

    def __init__(
        self,
        tokens_per_success: float = TOKENS_PER_SUCCESS,
        capacity: float = MAX_TOKENS,
        start: float = MAX_TOKENS,
    ) -> None:
        self._tokens_per_success = tokens_per_success
        self._capacity = capacity
        self._initial_tokens = start
        self._tokens: dict[str, float] = {}

    def share(self, calls_allowed: float, daemons: int) -> None:
        """Limit tokens to an equal share of the repeats allowed to all daemons."""
        share = USED_REPEAT_CALLS_FRACTION * calls_allowed / max(1, daemons)
        self._capacity = max(1.0, share)

    def on_success(self, now: float, service: str) -> None:
        """Add a fraction of a token."""
        tokens = self._tokens.get(service, self._initial_tokens)
        self._tokens[service] = min(self._capacity, tokens + self._tokens_per_success)

    def take(self, now: float, service: str) -> bool:
        """Take a token for a retry; False if the service has none."""
        tokens = self._tokens.get(service, self._initial_tokens)
        # Sums of 0.1 are slightly below integers.
        if tokens < 1.0 - 1e-9:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def return_token(self, service: str) -> None:
        """Return the token of a retry that was not sent."""
        tokens = self._tokens.get(service, self._initial_tokens)
        self._tokens[service] = min(self._capacity, tokens + 1.0)


class Allowance:
    """Attempts left for one call at one hop, and the results of its attempts so far."""

    __slots__ = (
        "_last_was_free",
        "_may_have_run",
        "_requeues",
        "_reroutes",
        "left",
        "spent",
    )

    def __init__(self, attempts_left: int):
        self.left = max(0, attempts_left)
        self.spent = 0
        self._reroutes = FREE_REROUTES
        self._requeues = FREE_REQUEUES
        self._last_was_free = False
        self._may_have_run = False

    def on_answer(self, answer: calls.Answer, reserved: int) -> None:
        """Count the attempts that an answer reports, at most those reserved for it."""
        spent = min(max(0, answer.attempts_spent), reserved)
        self.left -= spent
        self.spent += spent
        if answer.outcome is calls.Outcome.UNKNOWN:
            self._may_have_run = True

    def on_attempt_cancelled(self, reserved: int) -> None:
        """Count all attempts reserved for a cancelled one, whose outcome is unknown."""
        self.left -= reserved
        self.spent += reserved
        self._may_have_run = True

    def may_retry(
        self, now: float, call: calls.Call, answer: calls.Answer, budgets: RetryBudgets
    ) -> bool:
        """Decide on another attempt; take an attempt and a token unless it is free."""
        if not is_retryable(call, answer) or now >= call.deadline:
            return False
        self._last_was_free = self._take_free(answer)
        return self._last_was_free or self.take(now, call, budgets)

    def _take_free(self, answer: calls.Answer) -> bool:
        if is_free(answer) and self._reroutes > 0:
            self._reroutes -= 1
            return True
        if is_undispatched(answer) and self._requeues > 0:
            self._requeues -= 1
            return True
        return False

    def take(self, now: float, call: calls.Call, budgets: RetryBudgets) -> bool:
        """Take an attempt and a token; False if either is missing."""
        self._last_was_free = False
        if self.left < 1 or not budgets.take(now, call.service):
            return False
        self.left -= 1
        self.spent += 1
        return True

    def refund(self, call: calls.Call, budgets: RetryBudgets) -> None:
        """Return the attempt and token taken for a retry or hedge that was not sent."""
        if not self._last_was_free:
            self.left += 1
            self.spent -= 1
            budgets.return_token(call.service)

    def finish(self, answer: calls.Answer) -> calls.Answer:
        """Return the last answer with the attempts spent and a safe outcome.

        A refusal must not report "not run" if an earlier attempt may have run.
        """
        answer.attempts_spent = self.spent
        refusal = answer.refusal
        if refusal is None:
            return answer
        answer.retried = True
        if self._may_have_run and answer.outcome is calls.Outcome.NOT_RUN:
            answer.outcome = calls.Outcome.UNKNOWN
            refusal.outcome = calls.Outcome.UNKNOWN
        return answer


class HedgeDelays:
    """Delay before a hedge, from the latencies observed per route."""

    __slots__ = ("_delays", "_samples")

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._delays: dict[str, tuple[int, float]] = {}

    def on_answer(self, route: str, seconds: float) -> None:
        """Record the latency of an answered call (s)."""
        samples = self._samples.get(route)
        if samples is None:
            samples = collections.deque(maxlen=HEDGE_SAMPLE_COUNT)
            self._samples[route] = samples
        samples.append(seconds)
        count, delay = self._delays.get(route, (0, 0.0))
        count += 1
        if count % HEDGE_REFRESH_SAMPLES == 0:
            delay = sorted(samples)[int(HEDGE_QUANTILE * len(samples))]
        self._delays[route] = (count, delay)

    def delay(self, route: str) -> float | None:
        """Return the 95th percentile (s), None before HEDGE_REFRESH_SAMPLES answers."""
        count, delay = self._delays.get(route, (0, 0.0))
        return delay if count >= HEDGE_REFRESH_SAMPLES else None


def is_free(answer: calls.Answer) -> bool:
    """Whether an attempt surely reached no target, so that a retry may be free."""
    refusal = answer.refusal
    if refusal is None or answer.outcome is not calls.Outcome.NOT_RUN:
        return False
    return refusal.kind in _FREE_KINDS and not answer.retried


def is_undispatched(answer: calls.Answer) -> bool:
    """Whether an attempt surely ended in the queue of a target, not dispatched."""
    is_certain = answer.outcome is calls.Outcome.NOT_RUN and not answer.retried
    return answer.undispatched and is_certain


def is_retryable(call: calls.Call, answer: calls.Answer) -> bool:
    """Whether the outcome permits another attempt at any target."""
    refusal = answer.refusal
    if refusal is None or answer.retried or not call.is_replayable:
        return False
    if answer.outcome is calls.Outcome.RAN or refusal.kind not in _RETRYABLE_KINDS:
        return False
    return answer.outcome is calls.Outcome.NOT_RUN or call.idempotent
