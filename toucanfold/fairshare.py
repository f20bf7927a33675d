"""Max-min fair division of one client account's rate and burst among holders."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

# Part of the burst that idle daemons hold in advance, so that the first calls of an
# entry need not wait for a grant.
STANDING_PART = 0.15
# Part of the burst that stays in the pool for entries with sudden demand.
RESERVE_PART = 0.15
# Part of the rate and burst above the demand that is granted; the rest stays in the
# pool, whose tokens go to any holder that lacks some.
SPARE_PART = 0.25
# Part of a bucket up to which the tokens of the pool's reserve are given out.
LOW_PART = 0.5
# Part to which the pool must be able to fill the buckets; below it tokens are moved
# from fuller buckets, if these have so many above the mean.
SCARCE_PART = 0.7
MIN_SURPLUS = 1.0
# Holders up to which tokens need not be moved between them.
FEW_HOLDERS = 3
# Part of the rate that holders fill their buckets with by themselves; the pool moves
# the rest. The smaller one is for accounts with less room than ROOMY_TOKENS for each
# holder, whose buckets are soon full: tests/test_fairshare.py plays the load.
LOCAL_RATE_PART = 0.5
SCARCE_LOCAL_RATE_PART = 0.1
ROOMY_TOKENS = 3.0
# Error of sums of tokens below which they count as whole.
ROUNDING = 1e-6


# Part of an accepted overage that is used. The rest covers calls which reach their
# target later than they were admitted.
OVERAGE_USED = 0.8
# Part of the used overage that raises the rate; the rest is capacity. Buckets of many
# entries are never all empty, so a load near the rate needs some more of both.
SURPLUS_PART = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class OverageBound:
    """What operators accept above an account's rate in any span of window_s seconds.

    It is a part of what rate and burst allow in that span, and a number of calls.
    """

    window_s: float
    part: float
    calls: float

    def surplus(self, rate: float, burst: float) -> float:
        """Return the calls/s above its rate with which an account's tokens grow."""
        return SURPLUS_PART * self._used(rate, burst) / self.window_s

    def tolerance(self, rate: float, burst: float) -> float:
        """Return the tokens above its burst that one account may hold."""
        return (1 - SURPLUS_PART) * self._used(rate, burst)

    def _used(self, rate: float, burst: float) -> float:
        allowed = self.part * (rate * self.window_s + burst) + self.calls
        return OVERAGE_USED * allowed


@dataclasses.dataclass(slots=True)
class OfferedLoad:
    """One holder's offered rate, wanted capacity and present tokens."""

    rate: float = 0.0
    wanted: float = 0.0
    tokens: float = math.inf


@dataclasses.dataclass(slots=True)
class Plan:
    """Water levels that give each holder's share from its own offer."""

    rate_level: float = math.inf
    rate_factor: float = 1.0
    burst_level: float = math.inf
    burst_factor: float = 1.0
    standing: float = 0.0
    # Part to which the pool's tokens can fill each bucket.
    fill: float = 1.0
    # Mean part to which the buckets are full.
    mean: float = 1.0

    def share(self, offer: OfferedLoad) -> tuple[float, float]:
        """Return the planned rate and burst of a holder."""
        rate = min(offer.rate, self.rate_level) * self.rate_factor
        if offer.wanted <= 0:
            return rate, self.standing
        burst = min(offer.wanted, self.burst_level) * self.burst_factor
        return rate, max(1.0, self.standing, self._without_surplus(offer, burst))

    def _without_surplus(self, offer: OfferedLoad, burst: float) -> float:
        """Take half of a full bucket's surplus while others are nearly empty."""
        surplus = min(offer.tokens, burst) - self.mean * burst
        if self.fill >= SCARCE_PART or surplus < MIN_SURPLUS:
            return burst
        return min(offer.tokens, burst) - surplus / 2


def water_level(total: float, demands: Iterable[float]) -> float:
    """Return the level at which the demands, cut to it, sum up to the total."""
    ordered = sorted(demands)
    left = total
    for index, demand in enumerate(ordered):
        count = len(ordered) - index
        if demand * count >= left:
            return left / count
        left -= demand
    return math.inf


def weighted_level(
    total: float, loads: Sequence[float], weights: Sequence[float]
) -> float:
    """Return the level per weight at which loads per weight sum up to the total."""
    left, weight = total, math.fsum(weights)
    for load, own in sorted(zip(loads, weights, strict=True)):
        if load * weight >= left:
            return left / weight
        left -= load * own
        weight -= own
    return math.inf


def standing_burst(burst: float, daemons: int) -> float:
    """Return the capacity held by each idle daemon, zero if it is below one token."""
    part = burst * STANDING_PART / max(1, daemons)
    return part if part >= 1 else 0.0


def fill_fraction(tokens: float, buckets: Iterable[tuple[float, float]]) -> float:
    """Return the part to which tokens can fill all buckets of (tokens, burst)."""
    ordered = sorted((held / burst, held, burst) for held, burst in buckets)
    part, capacity = 0.0, 0.0
    for ratio, held, burst in ordered:
        if capacity > 0 and tokens / capacity <= ratio:
            break
        tokens += held
        capacity += burst
    if capacity > 0:
        part = tokens / capacity
    return min(1.0, part)


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
    standing = standing_burst(burst, daemons)
    idle = standing * max(0, daemons - len(active))
    capacity = max(0.0, burst * (1 - RESERVE_PART) - idle)
    # Without a whole token a capacity is useless, so the reserve gives way.
    capacity = max(capacity, min(burst, float(len(active))))
    made = Plan(
        rate_level=water_level(rate, [offer.rate for offer in active]),
        rate_factor=_spare_factor(rate, demand)
        * local_rate_fraction(capacity, len(active)),
        burst_level=water_level(capacity, [offer.wanted for offer in active]),
        burst_factor=_spare_factor(capacity, wanted),
        standing=standing,
    )
    sizes = [(offer.tokens, made.share(offer)[1]) for offer in active]
    capacity = math.fsum(size for _, size in sizes)
    if capacity > 0:
        tokens = math.fsum(min(held, size) for held, size in sizes)
        made.mean = min(1.0, tokens / capacity)
    buckets = [(offer.tokens, made.share(offer)[1]) for offer in offers]
    buckets = [(held, size) for held, size in buckets if held < size]
    reserve = RESERVE_PART * burst
    low = min(LOW_PART, fill_fraction(pool, buckets))
    made.fill = max(low, fill_fraction(max(0.0, pool - reserve), buckets))
    return made


def whole_tokens(goal: float, offer: OfferedLoad, pool: float) -> float:
    """Return how many of the pool's tokens bring a holder to its goal.

    Only whole tokens let a call pass. Parts of one in many buckets are lost to all, so
    a holder that needs a token gets a whole one, and no part of a second.
    """
    if offer.wanted > 0:
        goal = max(1.0, goal)
    held = offer.tokens
    lacking = math.floor(goal + ROUNDING) - held
    if lacking > pool:
        lacking = math.floor(held + pool + ROUNDING) - held
    return max(0.0, lacking)


def local_rate_fraction(capacity: float, holders: int) -> float:
    """Return the part of its share of the rate that a holder fills its bucket with.

    The pool gets the rest and gives it to whoever is short. Tokens that fill a bucket
    nobody needs now are lost to the others, so this answers many holders under a load
    near the rate. The part that stays local lets calls pass while no leader grants.
    """
    if holders <= FEW_HOLDERS:
        return 1.0
    has_room = capacity >= ROOMY_TOKENS * holders
    return LOCAL_RATE_PART if has_room else SCARCE_LOCAL_RATE_PART


def _spare_factor(total: float, demand: float) -> float:
    if demand <= 0:
        return 1.0
    return min(2.0, 1 + SPARE_PART * max(0.0, total - demand) / demand)
