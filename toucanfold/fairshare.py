"""Max-min fair division of one client account's rate and burst among holders."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

# Fraction of the burst that is preallocated to idle daemons, so that the first calls of
# an entry need not wait for a grant.
PREALLOCATED_FRACTION = 0.15
# Fraction of the burst that stays in the pool for entries with sudden demand.
RESERVE_FRACTION = 0.15
# Fraction of the rate and burst above the demand that is granted. The rest stays in the
# pool, whose tokens go to any holder that lacks some.
SPARE_FRACTION = 0.25
# Fraction of a bucket up to which the pool's reserve may be used to fill it.
RESERVE_FILL_FRACTION = 0.5
# If the pool can fill the buckets only below this fraction, tokens are taken from
# fuller buckets that have at least MIN_SURPLUS_TOKENS above the mean.
LOW_FILL_FRACTION = 0.7
MIN_SURPLUS_TOKENS = 1.0
# Most holders that fill their buckets at their whole rate, without the pool.
MAX_LOCAL_HOLDERS = 3
# Fraction of the rate with which holders fill their buckets themselves; the pool
# distributes the rest. The smaller one is for accounts with a capacity below
# MIN_TOKENS_PER_HOLDER for each holder, whose buckets are soon full:
# tests/test_fairshare.py simulates the load.
LOCAL_RATE_FRACTION = 0.5
LOW_CAPACITY_LOCAL_RATE_FRACTION = 0.1
MIN_TOKENS_PER_HOLDER = 3.0
# Rounding error below which a sum of tokens counts as an integer.
ROUNDING_ERROR_TOKENS = 1e-6


# Fraction of an accepted overage that is used. The rest covers calls that reach their
# target later than they were admitted.
USED_OVERAGE_FRACTION = 0.8
# Fraction of the used overage that raises the rate; the rest raises the capacity. The
# buckets of many entries are never all empty, so a load near the rate needs more of
# both.
SURPLUS_FRACTION = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class OverageBound:
    """What operators accept above an account's rate in any window of window_s seconds.

    It is a fraction of what rate and burst allow in the window, plus a number of calls.
    """

    window_s: float
    fraction: float
    calls: float

    def surplus(self, rate: float, burst: float) -> float:
        """Return the rate (tokens/s) by which an account's refill exceeds its rate."""
        return SURPLUS_FRACTION * self._used(rate, burst) / self.window_s

    def tolerance(self, rate: float, burst: float) -> float:
        """Return the tokens by which an account's capacity exceeds its burst."""
        return (1 - SURPLUS_FRACTION) * self._used(rate, burst)

    def _used(self, rate: float, burst: float) -> float:
        allowed = self.fraction * (rate * self.window_s + burst) + self.calls
        return USED_OVERAGE_FRACTION * allowed


@dataclasses.dataclass(slots=True)
class OfferedLoad:
    """One holder's offered rate, wanted capacity and current tokens."""

    rate: float = 0.0
    wanted: float = 0.0
    tokens: float = math.inf


@dataclasses.dataclass(slots=True)
class Plan:
    """Max-min levels from which each holder's share follows from its offered load."""

    rate_level: float = math.inf
    rate_factor: float = 1.0
    burst_level: float = math.inf
    burst_factor: float = 1.0
    preallocated: float = 0.0
    # Fraction to which the pool's tokens can fill each bucket.
    fill: float = 1.0
    # Mean fraction to which the buckets are full.
    mean_fill: float = 1.0

    def share(self, offer: OfferedLoad) -> tuple[float, float]:
        """Return the planned rate (tokens/s) and burst (tokens) of a holder."""
        rate = min(offer.rate, self.rate_level) * self.rate_factor
        if offer.wanted <= 0:
            return rate, self.preallocated
        burst = min(offer.wanted, self.burst_level) * self.burst_factor
        return rate, max(1.0, self.preallocated, self._without_surplus(offer, burst))

    def _without_surplus(self, offer: OfferedLoad, burst: float) -> float:
        """Take half of a bucket's surplus while the pool cannot fill the others."""
        surplus = min(offer.tokens, burst) - self.mean_fill * burst
        if self.fill >= LOW_FILL_FRACTION or surplus < MIN_SURPLUS_TOKENS:
            return burst
        return min(offer.tokens, burst) - surplus / 2


def water_level(total: float, demands: Iterable[float]) -> float:
    """Return the level at which demands capped to it sum to the total."""
    ordered = sorted(demands)
    remaining = total
    for index, demand in enumerate(ordered):
        count = len(ordered) - index
        if demand * count >= remaining:
            return remaining / count
        remaining -= demand
    return math.inf


def weighted_level(
    total: float, loads: Sequence[float], weights: Sequence[float]
) -> float:
    """Return the level per weight at which loads capped to it sum to the total."""
    remaining, weight = total, math.fsum(weights)
    for load, own_weight in sorted(zip(loads, weights, strict=True)):
        if load * weight >= remaining:
            return remaining / weight
        remaining -= load * own_weight
        weight -= own_weight
    return math.inf


def preallocated_burst(burst: float, daemons: int) -> float:
    """Return the capacity of each idle daemon, zero if it is below one token."""
    tokens = burst * PREALLOCATED_FRACTION / max(1, daemons)
    return tokens if tokens >= 1 else 0.0


def fill_fraction(tokens: float, buckets: Iterable[tuple[float, float]]) -> float:
    """Return the fraction to which tokens can fill all buckets of (tokens, burst)."""
    ordered = sorted(
        (bucket_tokens / burst, bucket_tokens, burst)
        for bucket_tokens, burst in buckets
    )
    fraction, capacity = 0.0, 0.0
    for ratio, bucket_tokens, burst in ordered:
        if capacity > 0 and tokens / capacity <= ratio:
            break
        tokens += bucket_tokens
        capacity += burst
    if capacity > 0:
        fraction = tokens / capacity
    return min(1.0, fraction)


def plan(
    rate: float,
    burst: float,
    daemons: int,
    pool: float,
    offers: Sequence[OfferedLoad],
) -> Plan:
    """Divide a rate, a burst and the pool's tokens among the holders."""
    active = [offer for offer in offers if offer.wanted > 0]
    demand = math.fsum(offer.rate for offer in active)
    wanted = math.fsum(offer.wanted for offer in active)
    preallocated = preallocated_burst(burst, daemons)
    idle = preallocated * max(0, daemons - len(active))
    capacity = max(0.0, burst * (1 - RESERVE_FRACTION) - idle)
    # A capacity below one token is useless, so the reserve is reduced if needed.
    capacity = max(capacity, min(burst, float(len(active))))
    result = Plan(
        rate_level=water_level(rate, [offer.rate for offer in active]),
        rate_factor=_spare_factor(rate, demand)
        * local_rate_fraction(capacity, len(active)),
        burst_level=water_level(capacity, [offer.wanted for offer in active]),
        burst_factor=_spare_factor(capacity, wanted),
        preallocated=preallocated,
    )
    sizes = [(offer.tokens, result.share(offer)[1]) for offer in active]
    capacity = math.fsum(size for _, size in sizes)
    if capacity > 0:
        tokens = math.fsum(min(bucket_tokens, size) for bucket_tokens, size in sizes)
        result.mean_fill = min(1.0, tokens / capacity)
    buckets = [(offer.tokens, result.share(offer)[1]) for offer in offers]
    buckets = [
        (bucket_tokens, size) for bucket_tokens, size in buckets if bucket_tokens < size
    ]
    reserve = RESERVE_FRACTION * burst
    low = min(RESERVE_FILL_FRACTION, fill_fraction(pool, buckets))
    result.fill = max(low, fill_fraction(max(0.0, pool - reserve), buckets))
    return result


def whole_tokens(goal: float, offer: OfferedLoad, pool: float) -> float:
    """Return how many of the pool's tokens bring a holder towards its goal (tokens).

    Only a whole token admits a call. Fractions in many buckets are of use to no holder,
    so a holder that needs a token is filled up to a whole one, without a fraction of
    the next.
    """
    if offer.wanted > 0:
        goal = max(1.0, goal)
    bucket_tokens = offer.tokens
    lacking = math.floor(goal + ROUNDING_ERROR_TOKENS) - bucket_tokens
    if lacking > pool:
        lacking = (
            math.floor(bucket_tokens + pool + ROUNDING_ERROR_TOKENS) - bucket_tokens
        )
    return max(0.0, lacking)


def local_rate_fraction(capacity: float, holders: int) -> float:
    """Return the fraction of its rate with which a holder fills its own bucket.

    The pool gets the rest and grants it to holders that lack tokens. Tokens in a bucket
    that does not need them now are unavailable to the others, which matters for many
    holders under a load near the rate. The local fraction admits calls while no leader
    grants.
    """
    if holders <= MAX_LOCAL_HOLDERS:
        return 1.0
    has_spare_capacity = capacity >= MIN_TOKENS_PER_HOLDER * holders
    return (
        LOCAL_RATE_FRACTION if has_spare_capacity else LOW_CAPACITY_LOCAL_RATE_FRACTION
    )


def _spare_factor(total: float, demand: float) -> float:
    if demand <= 0:
        return 1.0
    return min(2.0, 1 + SPARE_FRACTION * max(0.0, total - demand) / demand)
