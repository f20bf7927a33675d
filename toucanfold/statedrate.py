"""The rate of calls that a target states in its responses.

A target in need states how many calls per second it accepts from the whole fleet, for
as long as its responses say so.
"""

import collections

# Window over which the calls sent to a target are counted for the log.
COUNT_WINDOW_S = 4.0


class StatedRate:
    """The rate that the local target states, and the calls sent meanwhile."""

    __slots__ = ("_sent_at", "_stated_at", "rate")

    def __init__(self) -> None:
        # Calls per second; None while the target states none.
        self.rate: float | None = None
        self._stated_at = float("-inf")
        self._sent_at: collections.deque[float] = collections.deque()

    def on_sent(self, now: float) -> None:
        """Record a call that is sent to the target."""
        if self.rate is not None:
            self._sent_at.append(now)
            self._expire(now)

    def on_response(self, now: float, sent_at: float, rate: float | None) -> bool:
        """Apply what the response to a call sent at sent_at (s) states.

        Returns whether the rate changed. A response without a rate ends the stated one
        only if its call was sent after the rate was last stated: responses of
        concurrent calls may be read in another order than they were written.
        """
        if rate is None and sent_at < self._stated_at:
            return False
        if rate is not None:
            self._stated_at = now
        else:
            self._sent_at.clear()
        has_changed = rate != self.rate
        self.rate = rate
        return has_changed

    def sent_calls(self, now: float) -> int:
        """Return the calls sent within COUNT_WINDOW_S while a rate was stated."""
        self._expire(now)
        return len(self._sent_at)

    def _expire(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - COUNT_WINDOW_S:
            self._sent_at.popleft()
