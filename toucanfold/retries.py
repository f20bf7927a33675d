"""Rules for further attempts: the allowance of a request and budgets per service."""

import collections

from toucanfold import calls

TOKENS_PER_SUCCESS = 0.1
CAPACITY = 10.0
# Attempts that never reached a target (its daemon is stopping or was not reachable)
# cost no allowance, since nothing was dispatched; their number is bounded per hop.
FREE_REROUTES = 3
# The same for attempts that a queue before a target refused. In an overload of all
# targets each of them costs work at another daemon, so there is only one.
FREE_REQUEUES = 1

HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 128
# The quantile is computed again after this many samples, to keep answers cheap.
HEDGE_REFRESH = 16

# Parts of a fleet-wide bound on repeats that are used. A repeated call repeats its own
# calls too, which count at the services that it calls, several times over.
REPEAT_PART_USED = 0.2
REPEAT_CALLS_USED = 0.75

_RETRYABLE = frozenset(
    (
        calls.RefusalKind.OVERLOADED,
        calls.RefusalKind.NO_TARGET,
        calls.RefusalKind.STOPPING,
        calls.RefusalKind.TARGET_FAILED,
        calls.RefusalKind.DEADLINE_EXCEEDED,
    )
)
_FREE = frozenset((calls.RefusalKind.NO_TARGET, calls.RefusalKind.STOPPING))


class RetryBudgets:
    """Retry tokens of this daemon per called service.

    A fleet-wide bound of repeats holds if each daemon earns at most its part of its own
    calls and keeps at most an equal share of the repeats that are allowed besides.
    Daemons start without tokens then, since many may restart in one span.
    """

    __slots__ = ("_capacity", "_earned", "_start", "_tokens")

    def __init__(
        self,
        earned: float = TOKENS_PER_SUCCESS,
        capacity: float = CAPACITY,
        start: float = CAPACITY,
    ) -> None:
        self._earned = earned
        self._capacity = capacity
        self._start = start
        self._tokens: dict[str, float] = {}

    def share(self, calls_allowed: float, daemons: int) -> None:
        """Keep at most an equal share of the repeats that all daemons may save up."""
        share = REPEAT_CALLS_USED * calls_allowed / max(1, daemons)
        self._capacity = max(1.0, share)

    def on_success(self, now: float, service: str) -> None:
        """Earn a part of a token."""
        tokens = self._tokens.get(service, self._start)
        self._tokens[service] = min(self._capacity, tokens + self._earned)

    def take(self, now: float, service: str) -> bool:
        """Spend a token on a retry; False if the service has none left."""
        tokens = self._tokens.get(service, self._start)
        # Sums of 0.1 are a little less than whole numbers.
        if tokens < 1.0 - 1e-9:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def give_back(self, service: str) -> None:
        """Return the token of a retry that was not sent."""
        tokens = self._tokens.get(service, self._start)
        self._tokens[service] = min(self._capacity, tokens + 1.0)


class Allowance:
    """Attempts left for one call at one hop, and what was learnt from its tries."""

    __slots__ = (
        "_last_was_free",
        "_requeues",
        "_reroutes",
        "_was_unknown",
        "left",
        "spent",
    )

    def __init__(self, attempts_left: int):
        self.left = max(0, attempts_left)
        self.spent = 0
        self._reroutes = FREE_REROUTES
        self._requeues = FREE_REQUEUES
        self._last_was_free = False
        self._was_unknown = False

    def on_answer(self, answer: calls.Answer, reserved: int) -> None:
        """Take back what a try did not spend of the attempts reserved for it."""
        spent = min(max(0, answer.attempts_spent), reserved)
        self.left -= spent
        self.spent += spent
        if answer.outcome is calls.Outcome.UNKNOWN:
            self._was_unknown = True

    def on_lost(self, reserved: int) -> None:
        """Count all that was reserved for a try whose result will not be known."""
        self.left -= reserved
        self.spent += reserved
        self._was_unknown = True

    def may_retry(
        self, now: float, call: calls.Call, answer: calls.Answer, budgets: RetryBudgets
    ) -> bool:
        """Decide on another try and spend an attempt and a token for it."""
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
        """Spend an attempt and a token; False if either is missing."""
        if self.left < 1 or not budgets.take(now, call.service):
            return False
        self.left -= 1
        self.spent += 1
        return True

    def refund(self, call: calls.Call, budgets: RetryBudgets) -> None:
        """Return what may_retry or take spent on a try that was not sent."""
        if not self._last_was_free:
            self.left += 1
            self.spent -= 1
            budgets.give_back(call.service)

    def finish(self, answer: calls.Answer) -> calls.Answer:
        """Return the last answer with what the whole call spent and may claim.

        A refusal cannot say "not run" when an earlier try may have run.
        """
        answer.attempts_spent = self.spent
        refusal = answer.refusal
        if refusal is None:
            return answer
        answer.retried = True
        if self._was_unknown and answer.outcome is calls.Outcome.NOT_RUN:
            answer.outcome = calls.Outcome.UNKNOWN
            refusal.outcome = calls.Outcome.UNKNOWN
        return answer


class HedgeDelays:
    """Time after which a second attempt is worthwhile, learnt per route."""

    __slots__ = ("_delays", "_samples")

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._delays: dict[str, tuple[int, float]] = {}

    def on_answer(self, route: str, seconds: float) -> None:
        """Learn the time of an answered call."""
        samples = self._samples.get(route)
        if samples is None:
            samples = collections.deque(maxlen=HEDGE_SAMPLES)
            self._samples[route] = samples
        samples.append(seconds)
        count, delay = self._delays.get(route, (0, 0.0))
        count += 1
        if count % HEDGE_REFRESH == 0:
            delay = sorted(samples)[int(HEDGE_QUANTILE * len(samples))]
        self._delays[route] = (count, delay)

    def delay(self, route: str) -> float | None:
        """Return the 95th percentile (s), None before enough answers."""
        count, delay = self._delays.get(route, (0, 0.0))
        return delay if count >= HEDGE_REFRESH else None


def is_free(answer: calls.Answer) -> bool:
    """Whether a try provably reached no target and costs no allowance."""
    refusal = answer.refusal
    if refusal is None or answer.outcome is not calls.Outcome.NOT_RUN:
        return False
    return refusal.kind in _FREE and not answer.retried


def is_undispatched(answer: calls.Answer) -> bool:
    """Whether a try ended in the queue before a target."""
    is_certain = answer.outcome is calls.Outcome.NOT_RUN and not answer.retried
    return answer.undispatched and is_certain


def is_retryable(call: calls.Call, answer: calls.Answer) -> bool:
    """Whether the outcome permits another try anywhere."""
    refusal = answer.refusal
    if refusal is None or answer.retried or not call.is_replayable:
        return False
    if answer.outcome is calls.Outcome.RAN or refusal.kind not in _RETRYABLE:
        return False
    return answer.outcome is calls.Outcome.NOT_RUN or call.idempotent
