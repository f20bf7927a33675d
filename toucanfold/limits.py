"""Rate shares of a daemon: token buckets, measured demand and leases."""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable

from toucanfold import messages, model, registry

# A share is valid this long after the holder sent the ping that renewed it.
SHARE_LEASE_S = 3.0
# Buckets fill slower than their rate by this fraction, so that a clock that runs up to
# 1% fast does not exceed the rate.
CLOCK_DRIFT_FRACTION = 0.01
# Maximum wait of a call for a token. Two early pings across regions take about half of
# it, and callers that wait for seconds gain more from an answer than from a quick
# refusal.
MAX_WAIT_S = 0.4
# Time after MAX_WAIT_S in which a waiting call may still make its last attempt.
LAST_ATTEMPT_GRACE_S = 0.1
# At the start of a shortage all calls may wait for a grant. After this time the leader
# has answered, so the account is above its rate and few calls may wait.
SHORTAGE_START_S = 0.5
# A shortage ends after this time without another call that lacks a token.
SHORTAGE_END_S = 1.0
# Minimum time from a ping to the next early one, in total and per daemon of the fleet.
# The latter bounds the load of the leader to 2,000 early pings per second.
MIN_EARLY_PING_INTERVAL_S = 0.05
EARLY_PING_INTERVAL_PER_DAEMON_S = 0.0005
# Empty shares are reported this long, so that the leader sees that they were returned.
REPORT_EXPIRED_S = 2 * SHARE_LEASE_S
# Time slots in which offered load is counted.
SLOT_S = 0.1
SLOT_COUNT = 16
# Time slots of the short-term rate. High rates have enough calls in fewer of them.
SHORT_SLOTS = 5
FAST_SLOTS = 2
# Expected calls in FAST_SLOTS that suffice for a measurement.
MIN_FAST_CALLS = 10.0
# Weight of the short-term rate in the smoothed rate, per time slot.
SMOOTHING_WEIGHT = 0.08
# Standard deviations from the smoothed rate above which the short-term rate replaces
# it. An increase needs more, since the few calls of a low rate deviate upwards only.
INCREASE_SIGMAS = 4.0
DECREASE_SIGMAS = 3.0
# Without calls for this many mean intervals between calls, and for at least
# MIN_IDLE_S, the traffic is taken to have moved to other entries.
IDLE_INTERVAL_COUNT = 10.0
MIN_IDLE_S = 0.06
# Factor by which a peak decays per time slot.
PEAK_DECAY_FACTOR = 0.75
# Time that a bucket should last without another grant.
GRANT_DELAY_S = 0.3
# The unused rate is returned when the offered load falls below this fraction of it.
LOAD_DROP_FRACTION = 1 / 3
# Calls that may wait in a lasting shortage: a few, and those that the rate admits in
# WAITING_CALLS_S. MAX_WAITING_CALLS may wait at its start.
MIN_WAITING_CALLS = 4.0
WAITING_CALLS_S = 2 * MAX_WAIT_S
MAX_WAITING_CALLS = 1000
EPSILON = 1e-9
# Decimals of the values in a report of demand, which crosses regions in JSON.
DEMAND_DIGITS = 3


class AcquireStatus(enum.Enum):
    """Result of an attempt to take tokens."""

    ACQUIRED = enum.auto()
    WAIT = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(slots=True, frozen=True)
class AcquireResult:
    """What to do with a call, and the seconds until its next attempt if not acquired.

    A waiting call may try again sooner, once a grant has arrived.
    """

    kind: AcquireStatus
    seconds: float = 0.0


ACQUIRED = AcquireResult(AcquireStatus.ACQUIRED)


class TokenBucket:
    """Token bucket that starts empty; rate in tokens/s, burst in tokens."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, now: float, rate: float = 0.0, burst: float = 0.0):
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Add the tokens gained since the last refill."""
        elapsed_s = max(0.0, now - self.updated_at)
        gained = elapsed_s * self.rate * (1 - CLOCK_DRIFT_FRACTION)
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
        """Add granted or returned tokens; those above the capacity are discarded."""
        self.tokens = min(self.burst, self.tokens + tokens)

    def take(self, now: float, tokens: float, spare: float = 0.0) -> bool:
        """Take tokens if at least spare ones remain; return whether they were taken."""
        self.refill(now)
        if self.tokens < tokens + spare - EPSILON:
            return False
        self.tokens = max(0.0, self.tokens - tokens)
        return True

    def seconds_until(self, tokens: float) -> float:
        """Return the seconds until the bucket has the tokens, infinity if never."""
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        if self.rate <= 0 or self.burst < 1 - EPSILON:
            return math.inf
        return missing / (self.rate * (1 - CLOCK_DRIFT_FRACTION))


class RateMeter:
    """Measures the offered load of one client account in time slots of 100 ms."""

    __slots__ = ("_last_at", "_peak", "_slot", "_slots", "_smoothed")

    def __init__(self, now: float):
        self._slots = [0.0] * SLOT_COUNT
        self._slot = math.floor(now / SLOT_S)
        self._smoothed = 0.0
        self._peak = 0.0
        self._last_at = now

    def add(self, now: float, tokens: float) -> None:
        """Count offered tokens."""
        self._advance(now)
        self._slots[self._slot % SLOT_COUNT] += tokens
        self._last_at = now

    def rate(self, now: float) -> float:
        """Return the offered load (tokens/s), zero once the traffic has stopped."""
        self._advance(now)
        self._reset_if_idle(now)
        return self._current_rate(self._short_term_rate(now))

    def peak(self, now: float) -> float:
        """Return the most tokens in two adjacent time slots; older peaks decay."""
        self._advance(now)
        return max(self._peak, self._last_two_slots())

    def _advance(self, now: float) -> None:
        slot = math.floor(now / SLOT_S)
        if slot - self._slot > 10 * SLOT_COUNT:
            self.__init__(now)  # type: ignore[misc]
        while self._slot < slot:
            self._close_slot()

    def _reset_if_idle(self, now: float) -> None:
        """Reset all but the peak once calls have been missing for unusually long."""
        gap = max(MIN_IDLE_S, IDLE_INTERVAL_COUNT / max(self._smoothed, EPSILON))
        if now - self._last_at > gap:
            self._smoothed = 0.0
            self._peak = max(self._peak, self._last_two_slots())
            self._slots = [0.0] * SLOT_COUNT

    def _close_slot(self) -> None:
        end = (self._slot + 1) * SLOT_S
        self._reset_if_idle(end)
        short_term_rate = self._short_term_rate(end)
        current_rate = self._current_rate(short_term_rate)
        self._smoothed = current_rate + SMOOTHING_WEIGHT * (
            short_term_rate - current_rate
        )
        self._peak = max(self._peak, self._last_two_slots()) * PEAK_DECAY_FACTOR
        self._slot += 1
        self._slots[self._slot % SLOT_COUNT] = 0.0

    def _last_two_slots(self) -> float:
        return (
            self._slots[self._slot % SLOT_COUNT]
            + self._slots[(self._slot - 1) % SLOT_COUNT]
        )

    def _window_slots(self) -> int:
        is_fast = self._smoothed * FAST_SLOTS * SLOT_S >= MIN_FAST_CALLS
        return FAST_SLOTS if is_fast else SHORT_SLOTS

    def _short_term_rate(self, now: float) -> float:
        window = self._window_slots()
        slots = range(self._slot - window + 1, self._slot + 1)
        seconds = (window - 1) * SLOT_S + max(0.0, now - self._slot * SLOT_S)
        return sum(self._slots[slot % SLOT_COUNT] for slot in slots) / seconds

    def _current_rate(self, short_term_rate: float) -> float:
        seconds = self._window_slots() * SLOT_S
        sigma = math.sqrt(max(self._smoothed * seconds, 1.0)) / seconds
        deviation = short_term_rate - self._smoothed
        if deviation > INCREASE_SIGMAS * sigma or deviation < -DECREASE_SIGMAS * sigma:
            return short_term_rate
        return self._smoothed


class _Lease:
    """One account's bucket with its expiry, demand and last applied grant."""

    __slots__ = (
        "bucket",
        "expires_at",
        "grant",
        "last_held_at",
        "last_shortage_at",
        "meter",
        "returned",
        "shortage_started_at",
        "waiting",
    )

    def __init__(self, now: float):
        self.bucket = TokenBucket(now)
        self.meter = RateMeter(now)
        self.expires_at = -math.inf
        self.last_held_at = -math.inf
        self.grant = 0
        # Tokens returned since the last grant was applied.
        self.returned = 0.0
        self.shortage_started_at = -math.inf
        self.last_shortage_at = -math.inf
        # Times of the first attempts of calls that wait for a token, oldest first.
        self.waiting: collections.deque[float] = collections.deque()

    def expire(self, now: float) -> None:
        """Remove the share and its tokens."""
        if self.bucket.burst > 0 or self.bucket.rate > 0:
            self.bucket.resize(now, 0.0, 0.0)
            self.returned = 0.0
            self.last_held_at = now

    def record_shortage(self, now: float) -> None:
        """Record that a call lacked a token; 1 s without one ends the shortage."""
        if now - self.last_shortage_at > SHORTAGE_END_S:
            self.shortage_started_at = now
        self.last_shortage_at = now

    def remove_waiting(self, now: float, first_attempt_at: float) -> None:
        """Remove a waiting call, and cancelled ones whose wait is over."""
        if first_attempt_at in self.waiting:
            self.waiting.remove(first_attempt_at)
        while (
            self.waiting and now - self.waiting[0] > MAX_WAIT_S + LAST_ATTEMPT_GRACE_S
        ):
            self.waiting.popleft()

    def wanted_burst(self, now: float) -> float:
        """Return the capacity that absorbs the offered load until the next grant."""
        rate, peak = self.meter.rate(now), self.meter.peak(now)
        if rate <= 0 and peak < 0.5:
            return 0.0
        return 2.0 + max(1.5 * peak, 3.0 * math.sqrt(rate * GRANT_DELAY_S))

    def is_nearly_empty(self, now: float) -> bool:
        """Whether the bucket needs tokens before the next regular ping."""
        min_tokens = 1.0 + self.meter.rate(now) * GRANT_DELAY_S / 2
        return self.bucket.tokens < min(min_tokens, 0.75 * self.wanted_burst(now))

    def has_load_dropped(self, now: float) -> bool:
        """Whether most of the rate is reserved for traffic that has stopped."""
        rate = self.bucket.rate
        return rate > 1.0 and self.meter.rate(now) < LOAD_DROP_FRACTION * rate

    def return_unused(self, now: float) -> None:
        """Reduce the share to the current load and return the tokens above it."""
        rate = min(self.bucket.rate, self.meter.rate(now) * 1.25)
        burst = min(self.bucket.burst, max(1.0, self.wanted_burst(now)))
        self.returned += self.bucket.resize(now, rate, burst)


@registry.register("rate", "shares")
class ShareHolder:
    """Takes tokens from the shares granted by the leader of the control instances."""

    __slots__ = (
        "_accounts",
        "_answer_took_s",
        "_early_ping_interval_s",
        "_limits",
        "_needs_ping",
        "_pinged_at",
        "on_granted",
        "raft_term",
    )

    def __init__(self) -> None:
        # Called after a grant that added tokens.
        self.on_granted: Callable[[], None] | None = None
        self._accounts: dict[str, _Lease] = {}
        # Time from the last answered ping to its answer.
        self._answer_took_s = 0.0
        self._limits: dict[str, model.Account] = {}
        self._pinged_at = -math.inf
        self._early_ping_interval_s = MIN_EARLY_PING_INTERVAL_S
        self._needs_ping = False
        self.raft_term = 0

    def try_acquire(
        self,
        now: float,
        account: str,
        tokens: float = 1.0,
        first_attempt_at: float | None = None,
        max_wait_s: float = MAX_WAIT_S,
    ) -> AcquireResult:
        """Try to take tokens; a repeated attempt passes the time of the first one.

        The call waits at most max_wait_s, and at most MAX_WAIT_S, from its first
        attempt on.
        """
        lease = self._lease(now, account)
        is_first = first_attempt_at is None
        lease.remove_waiting(now, now if first_attempt_at is None else first_attempt_at)
        if first_attempt_at is None:
            first_attempt_at = now
            lease.meter.add(now, tokens)
        # New calls leave tokens for those that already wait.
        ahead = len(lease.waiting) if is_first else 0
        if lease.bucket.take(now, tokens, ahead):
            self._needs_ping = self._needs_ping or lease.is_nearly_empty(now)
            return ACQUIRED
        lease.record_shortage(now)
        self._needs_ping = True
        return self._wait_or_refuse(
            now, lease, tokens + ahead, first_attempt_at, max_wait_s
        )

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply new limits; shares of deleted accounts expire at once."""
        self._limits = state.accounts
        min_interval_s = EARLY_PING_INTERVAL_PER_DAEMON_S * len(state.targets)
        self._early_ping_interval_s = max(MIN_EARLY_PING_INTERVAL_S, min_interval_s)
        for name, lease in list(self._accounts.items()):
            account = state.accounts.get(name)
            if account is None:
                lease.expire(now)
                if now - lease.last_held_at > REPORT_EXPIRED_S:
                    del self._accounts[name]
                continue
            bucket = lease.bucket
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
        """Apply the confirmed answer to the ping sent at sent_at."""
        if raft_term < self.raft_term:
            return
        self._answer_took_s = now - sent_at
        if raft_term > self.raft_term:
            self._start_term(raft_term)
        if now >= sent_at + SHARE_LEASE_S:
            return
        for share in shares:
            self._apply_grant(now, sent_at + SHARE_LEASE_S, share)
        if self.on_granted is not None and any(share.tokens > 0 for share in shares):
            self.on_granted()

    def demands(self, now: float) -> list[messages.Demand]:
        """Return the offered load of each account for the ping sent now."""
        self._pinged_at = now
        self._needs_ping = False
        result = []
        for name, lease in self._accounts.items():
            wanted = lease.wanted_burst(now)
            tokens = self.available(now, name)
            if wanted > 0 or tokens < lease.bucket.burst:
                rate = lease.meter.rate(now)
                values = (
                    round(value, DEMAND_DIGITS) for value in (rate, wanted, tokens)
                )
                result.append(messages.Demand(name, *values))
        return result

    def report_shares(self, now: float) -> list[messages.Share]:
        """Return the shares for the ping sent now, after returning what is unused.

        The tokens of a share are those returned since its grant. Expired shares are
        listed for REPORT_EXPIRED_S with zero rate and burst.
        """
        result = []
        for name, lease in self._accounts.items():
            self._expire_if_due(now, lease)
            if lease.has_load_dropped(now):
                lease.return_unused(now)
            bucket = lease.bucket
            is_live = bucket.rate > 0 or bucket.burst > 0
            if is_live or now - lease.last_held_at <= REPORT_EXPIRED_S:
                result.append(
                    messages.Share(
                        name, bucket.rate, bucket.burst, lease.returned, lease.grant
                    )
                )
        return result

    def needs_early_ping(self, now: float) -> bool:
        """Whether a ping before the regular one is useful and allowed."""
        if now - self._pinged_at < self._early_ping_interval_s:
            return False
        if self._needs_ping:
            return True
        return any(lease.has_load_dropped(now) for lease in self._accounts.values())

    def available(self, now: float, account: str) -> float:
        """Return the tokens available now."""
        lease = self._accounts.get(account)
        if lease is None:
            return 0.0
        self._expire_if_due(now, lease)
        lease.bucket.refill(now)
        return lease.bucket.tokens

    def describe(self, now: float, account: str) -> str:
        """Return rate, capacity, tokens, load and age of a share, for a log line."""
        lease = self._lease(now, account)
        bucket = lease.bucket
        return (
            f"{bucket.rate:.2f} calls/s, {bucket.tokens:.2f} of {bucket.burst:.2f} "
            f"tokens, load {lease.meter.rate(now):.2f} calls/s, "
            f"ends in {max(0.0, lease.expires_at - now):.2f} s, "
            f"{len(lease.waiting)} waiting, control answered in "
            f"{self._answer_took_s:.3f} s"
        )

    def _lease(self, now: float, account: str) -> _Lease:
        lease = self._accounts.get(account)
        if lease is None:
            lease = self._accounts[account] = _Lease(now)
        self._expire_if_due(now, lease)
        return lease

    @staticmethod
    def _expire_if_due(now: float, lease: _Lease) -> None:
        if now >= lease.expires_at:
            lease.expire(now)

    @staticmethod
    def _wait_or_refuse(
        now: float,
        lease: _Lease,
        tokens: float,
        first_attempt_at: float,
        max_wait_s: float,
    ) -> AcquireResult:
        remaining_s = min(max_wait_s, MAX_WAIT_S) - (now - first_attempt_at)
        seconds_to_token = lease.bucket.seconds_until(tokens)
        is_shortage_new = now - lease.shortage_started_at < SHORTAGE_START_S
        max_waiting = MIN_WAITING_CALLS + WAITING_CALLS_S * lease.bucket.rate
        may_wait = len(lease.waiting) < (
            MAX_WAITING_CALLS if is_shortage_new else max_waiting
        )
        if remaining_s > EPSILON and may_wait:
            lease.waiting.append(first_attempt_at)
            return AcquireResult(
                AcquireStatus.WAIT, min(remaining_s, max(seconds_to_token, 0.001))
            )
        return AcquireResult(AcquireStatus.REFUSED, min(seconds_to_token, 1.0))

    def _start_term(self, raft_term: int) -> None:
        """Reset grant numbers; the next ping reports the shares under this term."""
        self.raft_term = raft_term
        self._needs_ping = True
        for lease in self._accounts.values():
            lease.grant = 0
            lease.returned = 0.0

    def _apply_grant(
        self, now: float, expires_at: float, share: messages.Share
    ) -> None:
        limit = self._limits.get(share.account)
        lease = self._lease(now, share.account)
        if share.grant == lease.grant:
            lease.expires_at = max(lease.expires_at, expires_at)
        if share.grant <= lease.grant:
            return
        rate = min(share.rate, limit.refill) if limit else 0.0
        burst = min(share.burst, limit.capacity) if limit else 0.0
        is_reduced = rate < lease.bucket.rate or burst < lease.bucket.burst
        lease.returned = lease.bucket.resize(now, rate, burst)
        lease.bucket.add(share.tokens)
        lease.grant = share.grant
        lease.last_held_at = now
        lease.expires_at = max(lease.expires_at, expires_at)
        # The leader can grant the released rate to others only once this is confirmed.
        self._needs_ping = self._needs_ping or is_reduced
