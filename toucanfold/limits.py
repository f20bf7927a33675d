"""Rate shares that a daemon holds: token buckets, demand and terms."""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable

from toucanfold import messages, model, registry

# A share is held this long after the holder sent the renewal that was answered.
SHARE_TERM_S = 3.0
# Buckets fill this much slower than their rate, so that the rate holds although a
# clock runs up to 1% fast.
CLOCK_DRIFT_FRACTION = 0.01
# Longest wait of a call for a token. Two early pings across regions take about half of
# it, and callers that wait seconds gain more from an answer than from a quick refusal.
MAX_WAIT_S = 0.4
# Time after its patience in which a waiting call still makes its last attempt.
LAST_ATTEMPT_S = 0.1
# Only in the first part of a shortage do all calls wait for a grant. After that
# control has answered, so the account is above its rate.
GRANT_WAIT_S = 0.5
SHORTAGE_END_S = 1.0
# Least time between pings, and its part per daemon of the fleet, which bounds the
# leader's load to 2,000 early pings per second.
URGENT_PING_S = 0.05
URGENT_PER_DAEMON_S = 0.0005
# Zero shares are reported this long, so that the leader sees them given back.
REPORT_ENDED_S = 2 * SHARE_TERM_S
SLOT_S = 0.1
SLOTS = 16
# Slots of the short-term rate; the fewer the more calls they hold.
SHORT_SLOTS = 5
FAST_SLOTS = 2
# Expected calls in FAST_SLOTS above which they are enough for a measurement.
FAST_CALLS = 10.0
# Weight of the short-term rate in the smoothed one, per slot.
SMOOTHING = 0.08
# Deviations from the smoothed rate above which the short-term rate replaces it. More
# are needed upwards, since few calls of a low rate deviate upwards only.
RISE_SIGMAS = 4.0
FALL_SIGMAS = 3.0
# A pause of this many mean intervals means that the traffic has gone elsewhere.
GAP_CALLS = 10.0
MIN_GAP_S = 0.06
# Factor per slot by which a peak is forgotten.
PEAK_DECAY = 0.75
# Time for which a bucket should last without another grant.
LAG_S = 0.3
# A share is given back when the offered load falls below this part of its rate.
DROP_PART = 1 / 3
# Calls still waiting when a shortage lasts: a few, and those of this time.
MIN_WAITING = 4.0
WAITING_S = 2 * MAX_WAIT_S
MAX_WAITING = 1000
EPSILON = 1e-9


class AcquireStatus(enum.Enum):
    """Result of an attempt to spend."""

    ACQUIRED = enum.auto()
    WAIT = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(slots=True, frozen=True)
class AcquireResult:
    """What to do with a call; seconds until the next attempt when not spent.

    A waiting call may try again sooner, when a grant has arrived.
    """

    kind: AcquireStatus
    seconds: float = 0.0


ACQUIRED = AcquireResult(AcquireStatus.ACQUIRED)


class TokenBucket:
    """Token bucket (tokens/s, tokens) that starts empty."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, now: float, rate: float = 0.0, burst: float = 0.0):
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        passed = max(0.0, now - self.updated_at)
        gained = passed * self.rate * (1 - CLOCK_DRIFT_FRACTION)
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_at = max(now, self.updated_at)

    def resize(self, now: float, rate: float, burst: float) -> float:
        """Change rate and capacity; return the tokens above the new capacity."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        excess = max(0.0, self.tokens - burst)
        self.tokens -= excess
        return excess

    def add(self, tokens: float) -> None:
        """Add moved tokens; those above the capacity are lost."""
        self.tokens = min(self.burst, self.tokens + tokens)

    def take(self, now: float, tokens: float, spare: float = 0.0) -> bool:
        """Remove tokens if there are enough and spare ones are left."""
        self.refill(now)
        if self.tokens < tokens + spare - EPSILON:
            return False
        self.tokens = max(0.0, self.tokens - tokens)
        return True

    def seconds_until(self, tokens: float) -> float:
        """Return the time until the bucket holds the tokens, infinity if never."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        if self.rate <= 0 or self.burst < 1 - EPSILON:
            return math.inf
        return missing / (self.rate * (1 - CLOCK_DRIFT_FRACTION))


class RateMeter:
    """Measures the offered load of one client account in slots of 100 ms."""

    __slots__ = ("_last_at", "_peak", "_slot", "_slots", "_smoothed")

    def __init__(self, now: float):
        self._slots = [0.0] * SLOTS
        self._slot = math.floor(now / SLOT_S)
        self._smoothed = 0.0
        self._peak = 0.0
        self._last_at = now

    def add(self, now: float, tokens: float) -> None:
        """Count offered tokens."""
        self._advance(now)
        self._slots[self._slot % SLOTS] += tokens
        self._last_at = now

    def rate(self, now: float) -> float:
        """Return the offered load (tokens/s), zero after an unusual pause."""
        self._advance(now)
        self._end_if_paused(now)
        return self._changed(self._recent(now))

    def peak(self, now: float) -> float:
        """Return the most tokens in two adjacent slots; older ones count less."""
        self._advance(now)
        return max(self._peak, self._pair())

    def _advance(self, now: float) -> None:
        slot = math.floor(now / SLOT_S)
        if slot - self._slot > 10 * SLOTS:
            self.__init__(now)  # type: ignore[misc]
        while self._slot < slot:
            self._close_slot()

    def _end_if_paused(self, now: float) -> None:
        """Start anew, but for the peak, after an unusual pause."""
        gap = max(MIN_GAP_S, GAP_CALLS / max(self._smoothed, EPSILON))
        if now - self._last_at > gap:
            self._smoothed = 0.0
            self._peak = max(self._peak, self._pair())
            self._slots = [0.0] * SLOTS

    def _close_slot(self) -> None:
        end = (self._slot + 1) * SLOT_S
        self._end_if_paused(end)
        recent = self._recent(end)
        changed = self._changed(recent)
        self._smoothed = changed + SMOOTHING * (recent - changed)
        self._peak = max(self._peak, self._pair()) * PEAK_DECAY
        self._slot += 1
        self._slots[self._slot % SLOTS] = 0.0

    def _pair(self) -> float:
        return self._slots[self._slot % SLOTS] + self._slots[(self._slot - 1) % SLOTS]

    def _window(self) -> int:
        is_fast = self._smoothed * FAST_SLOTS * SLOT_S >= FAST_CALLS
        return FAST_SLOTS if is_fast else SHORT_SLOTS

    def _recent(self, now: float) -> float:
        window = self._window()
        slots = range(self._slot - window + 1, self._slot + 1)
        seconds = (window - 1) * SLOT_S + max(0.0, now - self._slot * SLOT_S)
        return sum(self._slots[slot % SLOTS] for slot in slots) / seconds

    def _changed(self, recent: float) -> float:
        seconds = self._window() * SLOT_S
        sigma = math.sqrt(max(self._smoothed * seconds, 1.0)) / seconds
        rise = recent - self._smoothed
        if rise > RISE_SIGMAS * sigma or rise < -FALL_SIGMAS * sigma:
            return recent
        return self._smoothed


class _Held:
    """One account's bucket with its term, demand and last applied grant."""

    __slots__ = (
        "bucket",
        "ended_at",
        "expires_at",
        "grant",
        "meter",
        "returned",
        "short_at",
        "short_since",
        "waiting",
    )

    def __init__(self, now: float):
        self.bucket = TokenBucket(now)
        self.meter = RateMeter(now)
        self.expires_at = -math.inf
        self.ended_at = -math.inf
        self.grant = 0
        # Tokens given back since the last grant was applied.
        self.returned = 0.0
        self.short_since = -math.inf
        self.short_at = -math.inf
        # First attempts of the calls that wait for a token, oldest first.
        self.waiting: collections.deque[float] = collections.deque()

    def end(self, now: float) -> None:
        """Drop the share with its tokens."""
        if self.bucket.burst > 0 or self.bucket.rate > 0:
            self.bucket.resize(now, 0.0, 0.0)
            self.returned = 0.0
            self.ended_at = now

    def mark_short(self, now: float) -> None:
        """Record a shortage; one ends after 1 s without another."""
        if now - self.short_at > SHORTAGE_END_S:
            self.short_since = now
        self.short_at = now

    def stop_waiting(self, now: float, since: float) -> None:
        """Forget a waiting call, and those that were cancelled."""
        if since in self.waiting:
            self.waiting.remove(since)
        while self.waiting and now - self.waiting[0] > MAX_WAIT_S + LAST_ATTEMPT_S:
            self.waiting.popleft()

    def wanted_burst(self, now: float) -> float:
        """Return the capacity that absorbs the offered load until the next grant."""
        rate, peak = self.meter.rate(now), self.meter.peak(now)
        if rate <= 0 and peak < 0.5:
            return 0.0
        return 2.0 + max(1.5 * peak, 3.0 * math.sqrt(rate * LAG_S))

    def is_low(self, now: float) -> bool:
        """Whether the bucket should be filled before the next regular ping."""
        need = 1.0 + self.meter.rate(now) * LAG_S / 2
        return self.bucket.tokens < min(need, 0.75 * self.wanted_burst(now))

    def has_dropped(self, now: float) -> bool:
        """Whether most of the rate is held for traffic that has gone."""
        rate = self.bucket.rate
        return rate > 1.0 and self.meter.rate(now) < DROP_PART * rate

    def give_back(self, now: float) -> None:
        """Reduce the share to the present load; the tokens above it are returned."""
        rate = min(self.bucket.rate, self.meter.rate(now) * 1.25)
        burst = min(self.bucket.burst, max(1.0, self.wanted_burst(now)))
        self.returned += self.bucket.resize(now, rate, burst)


@registry.register("rate", "shares")
class ShareHolder:
    """Spends from the shares that the leader of control has granted."""

    __slots__ = (
        "_accounts",
        "_limits",
        "_pinged_at",
        "_spacing",
        "_urgent",
        "on_granted",
        "raft_term",
    )

    def __init__(self) -> None:
        # Called when a grant brought tokens.
        self.on_granted: Callable[[], None] | None = None
        self._accounts: dict[str, _Held] = {}
        self._limits: dict[str, model.Account] = {}
        self._pinged_at = -math.inf
        self._spacing = URGENT_PING_S
        self._urgent = False
        self.raft_term = 0

    def try_acquire(
        self,
        now: float,
        account: str,
        tokens: float = 1.0,
        since: float | None = None,
        max_wait_s: float = MAX_WAIT_S,
    ) -> AcquireResult:
        """Spend tokens; since is the time of the call's first attempt, if any.

        The call waits at most max_wait_s from its first attempt on.
        """
        held = self._held(now, account)
        first = since is None
        held.stop_waiting(now, now if since is None else since)
        if since is None:
            since = now
            held.meter.add(now, tokens)
        # New calls leave the tokens to those that wait already.
        ahead = len(held.waiting) if first else 0
        if held.bucket.take(now, tokens, ahead):
            self._urgent = self._urgent or held.is_low(now)
            return ACQUIRED
        held.mark_short(now)
        self._urgent = True
        return self._wait(now, held, tokens + ahead, since, max_wait_s)

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply new limits; shares of deleted accounts end at once."""
        self._limits = state.accounts
        per_daemon = URGENT_PER_DAEMON_S * len(state.targets)
        self._spacing = max(URGENT_PING_S, per_daemon)
        for name, held in list(self._accounts.items()):
            account = state.accounts.get(name)
            if account is None:
                held.end(now)
                if now - held.ended_at > REPORT_ENDED_S:
                    del self._accounts[name]
                continue
            bucket = held.bucket
            rate = min(bucket.rate, account.refill)
            burst = min(bucket.burst, account.capacity)
            bucket.resize(now, rate, burst)

    def on_grants(
        self,
        now: float,
        sent_at: float,
        raft_term: int,
        shares: list[messages.Share],
    ) -> None:
        """Apply a confirmed answer to the ping that was sent at sent_at."""
        if raft_term < self.raft_term:
            return
        if raft_term > self.raft_term:
            self._adopt_term(raft_term)
        if now >= sent_at + SHARE_TERM_S:
            return
        for share in shares:
            self._apply(now, sent_at + SHARE_TERM_S, share)
        if self.on_granted is not None and any(share.tokens > 0 for share in shares):
            self.on_granted()

    def demands(self, now: float) -> list[messages.Demand]:
        """Return the offered load of each account for the ping sent now."""
        self._pinged_at = now
        self._urgent = False
        found = []
        for name, held in self._accounts.items():
            wanted = held.wanted_burst(now)
            tokens = self.available(now, name)
            if wanted > 0 or tokens < held.bucket.burst:
                rate = held.meter.rate(now)
                found.append(messages.Demand(name, rate, wanted, tokens))
        return found

    def report_shares(self, now: float) -> list[messages.Share]:
        """Return the shares for the ping sent now; unused ones are given back.

        Their tokens are those given back since the grant. Ended ones are listed for a
        while with zero rate and burst.
        """
        found = []
        for name, held in self._accounts.items():
            self._expire(now, held)
            if held.has_dropped(now):
                held.give_back(now)
            bucket = held.bucket
            is_live = bucket.rate > 0 or bucket.burst > 0
            if is_live or now - held.ended_at <= REPORT_ENDED_S:
                found.append(
                    messages.Share(
                        name, bucket.rate, bucket.burst, held.returned, held.grant
                    )
                )
        return found

    def needs_early_ping(self, now: float) -> bool:
        """Whether a ping before the regular one would help."""
        if now - self._pinged_at < self._spacing:
            return False
        if self._urgent:
            return True
        return any(held.has_dropped(now) for held in self._accounts.values())

    def available(self, now: float, account: str) -> float:
        """Return the tokens that could be spent now."""
        held = self._accounts.get(account)
        if held is None:
            return 0.0
        self._expire(now, held)
        held.bucket.refill(now)
        return held.bucket.tokens

    def describe(self, now: float, account: str) -> str:
        """Return rate, capacity, tokens, load and age of a share, for a log line."""
        held = self._held(now, account)
        bucket = held.bucket
        return (
            f"{bucket.rate:.2f} calls/s, {bucket.tokens:.2f} of {bucket.burst:.2f} "
            f"tokens, load {held.meter.rate(now):.2f} calls/s, "
            f"ends in {max(0.0, held.expires_at - now):.2f} s, "
            f"{len(held.waiting)} waiting"
        )

    def _held(self, now: float, account: str) -> _Held:
        held = self._accounts.get(account)
        if held is None:
            held = self._accounts[account] = _Held(now)
        self._expire(now, held)
        return held

    @staticmethod
    def _expire(now: float, held: _Held) -> None:
        if now >= held.expires_at:
            held.end(now)

    @staticmethod
    def _wait(
        now: float, held: _Held, tokens: float, since: float, max_wait_s: float
    ) -> AcquireResult:
        left = min(max_wait_s, MAX_WAIT_S) - (now - since)
        until = held.bucket.seconds_until(tokens)
        is_new = now - held.short_since < GRANT_WAIT_S
        lasting = MIN_WAITING + WAITING_S * held.bucket.rate
        may_wait = len(held.waiting) < (MAX_WAITING if is_new else lasting)
        if left > EPSILON and may_wait:
            held.waiting.append(since)
            return AcquireResult(AcquireStatus.WAIT, min(left, max(until, 0.001)))
        return AcquireResult(AcquireStatus.REFUSED, min(until, 1.0))

    def _adopt_term(self, raft_term: int) -> None:
        """Number grants anew; the next ping presents the shares under this term."""
        self.raft_term = raft_term
        self._urgent = True
        for held in self._accounts.values():
            held.grant = 0
            held.returned = 0.0

    def _apply(self, now: float, expires_at: float, share: messages.Share) -> None:
        limit = self._limits.get(share.account)
        held = self._held(now, share.account)
        if share.grant == held.grant:
            held.expires_at = max(held.expires_at, expires_at)
        if share.grant <= held.grant:
            return
        rate = min(share.rate, limit.refill) if limit else 0.0
        burst = min(share.burst, limit.capacity) if limit else 0.0
        is_reduced = rate < held.bucket.rate or burst < held.bucket.burst
        held.returned = held.bucket.resize(now, rate, burst)
        held.bucket.add(share.tokens)
        held.grant = share.grant
        held.ended_at = now
        held.expires_at = max(held.expires_at, expires_at)
        # The leader can give the reduced part to others only when it is confirmed.
        self._urgent = self._urgent or is_reduced
