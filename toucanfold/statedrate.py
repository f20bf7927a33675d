"""Paces the calls to a target that states how many per second it accepts.

A target in need states in its responses the rate that it accepts from the whole fleet,
for as long as its responses say so. All calls to a target pass its own daemon, so
pacing them there bounds what the fleet sends.
"""

import collections
import math

# Window over which the calls sent to a target are counted for the log.
COUNT_WINDOW_S = 4.0
# Rate and burst until the target has responded: it may have stated a rate that this
# process does not know, to a daemon before a restart.
INITIAL_RATE_PER_S = 10.0
INITIAL_BURST_CALLS = 5.0
# Calls that may be sent at once, in seconds of the stated rate.
BURST_S = 0.25
# A raised rate is used up to this multiple of a lower one that was stated within
# COUNT_WINDOW_S: the target may count the calls of a window by its lowest rate.
MAX_RAISE_FACTOR = 1.25
# Lowest rate that is kept to, since only responses tell that a stated rate has ended.
MIN_RATE_PER_S = 0.5
# Queueing that counts as capacity of a paced target, in seconds of its rate.
QUEUE_ALLOWANCE_S = 0.1


class StatedRate:
    """Token bucket at the rate that the local target states, if it states one."""

    __slots__ = (
        "_burst",
        "_former_rates",
        "_has_responded",
        "_pace",
        "_refilled_at",
        "_sent_at",
        "_stated_at",
        "_tokens",
        "rate",
    )

    def __init__(self) -> None:
        # Calls per second; None while the target states none.
        self.rate: float | None = None
        self._stated_at = -math.inf
        self._has_responded = False
        self._pace = INITIAL_RATE_PER_S
        self._burst = self._tokens = INITIAL_BURST_CALLS
        self._refilled_at = math.inf
        # Rates below the current one, each with the time until which it counts.
        self._former_rates: list[tuple[float, float]] = []
        self._sent_at: collections.deque[float] = collections.deque()

    @property
    def is_paced(self) -> bool:
        """Whether calls must wait for tokens."""
        return self.rate is not None or not self._has_responded

    def wait_s(self, now: float, calls_ahead: int = 0) -> float:
        """Return the time (s) until a call behind calls_ahead others may be sent."""
        if not self.is_paced:
            return 0.0
        self._refill(now)
        return max(0.0, (calls_ahead + 1 - self._tokens) / self._pace)

    def concurrency(self, service_time_s: float) -> float:
        """Return how many calls the stated rate keeps in flight; inf if none."""
        if self.rate is None:
            return math.inf
        return max(1.0, math.ceil(self._pace * (service_time_s + QUEUE_ALLOWANCE_S)))

    def on_sent(self, now: float) -> None:
        """Take the token of a call that is sent to the target."""
        if not self.is_paced:
            return
        self._refill(now)
        self._tokens -= 1.0
        self._sent_at.append(now)
        self._expire(now)

    def on_response(self, now: float, sent_at: float, rate: float | None) -> bool:
        """Apply what the response to a call sent at sent_at (s) states.

        Returns whether the rate changed. A response without a rate ends the stated one
        only if its call was sent after the rate was last stated: responses of
        concurrent calls may be read in another order than they were written.
        """
        self._has_responded = True
        if rate is None:
            if sent_at >= self._stated_at:
                return self._end()
            return False
        self._stated_at = now
        if rate == self.rate:
            return False
        self._refill(now)
        if self.rate is not None and self.rate < rate:
            self._former_rates.append((now + COUNT_WINDOW_S, self.rate))
        self.rate = rate
        self._update_pace(now)
        return True

    def sent_calls(self, now: float) -> int:
        """Return the calls sent within COUNT_WINDOW_S while they were paced."""
        self._expire(now)
        return len(self._sent_at)

    def _end(self) -> bool:
        has_changed = self.rate is not None
        self.rate = None
        self._former_rates.clear()
        self._sent_at.clear()
        return has_changed

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._pace)
        if self._former_rates:
            self._update_pace(now)

    def _update_pace(self, now: float) -> None:
        assert self.rate is not None
        self._former_rates = [
            (until, rate)
            for until, rate in self._former_rates
            if until > now and rate < self.rate
        ]
        former = [MAX_RAISE_FACTOR * rate for _, rate in self._former_rates]
        self._pace = max(MIN_RATE_PER_S, min([self.rate, *former]))
        self._burst = max(1.0, BURST_S * self._pace)
        self._tokens = min(self._tokens, self._burst)

    def _expire(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - COUNT_WINDOW_S:
            self._sent_at.popleft()
