"""Grants of rate shares by the leader of the control instances."""

import dataclasses
import math

from toucanfold import fairshare, limits, messages, model

# A share expires at the leader this long after the last ping that renewed it was
# received. The margin of 10% covers clocks that differ by 1% and delayed timers.
SHARE_EXPIRY_S = limits.SHARE_LEASE_S * 1.1
# Time without grants for a terminated incarnation. Within it the change of the target
# directory is committed or leadership is lost.
TERMINATED_BLOCK_S = 5.0
# Minimum time between two plans of one account, and what each holder adds to it.
MIN_PLAN_INTERVAL_S = 0.02
PLAN_INTERVAL_PER_HOLDER_S = 0.0001
# Changes below this fraction of a share cause no grant.
HYSTERESIS_FRACTION = 0.1
# The same while an account's pool has at most LOW_POOL_RATE_FRACTION of its rate,
# because other holders may lack it.
LOW_POOL_HYSTERESIS_FRACTION = 0.02
LOW_POOL_RATE_FRACTION = 0.02
# Most accounts with a preallocated burst at idle daemons; bounds the size of pings.
MAX_PREALLOCATED_ACCOUNTS = 16
# Smaller changes of tokens or burst cause no grant by themselves.
MIN_CHANGE_TOKENS = 0.5
# Relative rounding error of the sums of shares.
ROUNDING_ERROR = 1e-9
# A pool with at least the first fraction of the account's burst grants an empty bucket
# the second fraction of its tokens.
POOL_THRESHOLD_FRACTION = 0.15
FIRST_GRANT_FRACTION = 0.3
# Avoids a division by zero.
MIN_DIVISOR = 1e-9
# Confirmed grant number of a share that was neither reported nor granted yet.
UNCONFIRMED_GRANT = -1

Key = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Grant:
    """A grant that its holder has not confirmed."""

    number: int
    version: int
    rate: float
    burst: float
    tokens: float


@dataclasses.dataclass(slots=True, frozen=True)
class Starvation:
    """Holders of one account that want tokens and have no capacity for any."""

    account: str
    starved: int
    holders: int
    burst: float
    leased_burst: float
    pool_tokens: float
    # Tokens that holders reported in their last pings, in use or not.
    held_tokens: float

    def __str__(self) -> str:
        return (
            f"account {self.account}: {self.starved} of {self.holders} holders want "
            f"tokens and have capacity for none; {self.leased_burst:.1f} of "
            f"{self.burst:.1f} tokens of capacity are leased, {self.held_tokens:.1f} "
            f"tokens are held and {self.pool_tokens:.1f} are in the pool"
        )


class _Lease:
    """Upper bound of the rate and burst of one account that one holder may have."""

    __slots__ = (
        "burst",
        "confirmed",
        "credited",
        "max_burst",
        "max_rate",
        "offer",
        "pending",
        "rate",
    )

    def __init__(self, confirmed: int):
        self.rate = 0.0
        self.burst = 0.0
        # Number of the last grant that the holder has confirmed.
        self.confirmed = confirmed
        # Tokens returned since that grant that were added to the pool.
        self.credited = 0.0
        self.pending: _Grant | None = None
        self.offer = fairshare.OfferedLoad()
        # Finite while the account's leases together exceed its limits.
        self.max_rate = math.inf
        self.max_burst = math.inf

    @property
    def is_empty(self) -> bool:
        """Whether nothing is leased, pending or wanted."""
        is_leased = self.rate > 0 or self.burst > 0 or self.pending is not None
        return not is_leased and self.offer.wanted <= 0


class _Account:
    """One account's limits, unallocated pool and holders."""

    __slots__ = (
        "burst",
        "holders",
        "is_over_limit",
        "leased_burst",
        "leased_rate",
        "plan",
        "planned_at",
        "pool",
        "rate",
        "version",
    )

    def __init__(self, now: float):
        self.rate = 0.0
        self.burst = 0.0
        self.leased_rate = 0.0
        self.leased_burst = 0.0
        self.pool = limits.TokenBucket(now)
        self.holders: dict[Key, _Lease] = {}
        self.plan = fairshare.Plan()
        self.is_over_limit = False
        # Incremented when the limits change; grants of older versions are replaced.
        self.version = 0
        self.planned_at = -math.inf

    def resize_lease(
        self, now: float, lease: _Lease, rate: float, burst: float
    ) -> None:
        """Change a holder's lease and resize the pool to match."""
        self.leased_rate += rate - lease.rate
        self.leased_burst += burst - lease.burst
        lease.rate, lease.burst = rate, burst
        self.resize_pool(now)

    def resize_pool(self, now: float) -> None:
        """Resize the pool to what is not leased; discard tokens above its capacity."""
        rate = max(0.0, self.rate - self.leased_rate)
        self.pool.resize(now, rate, max(0.0, self.burst - self.leased_burst))

    def cap_leases(self) -> None:
        """Cap leases in proportion after a limit was lowered, so that they fit it."""
        rate_fraction = self.rate / max(self.rate, self.leased_rate, MIN_DIVISOR)
        burst_fraction = self.burst / max(self.burst, self.leased_burst, MIN_DIVISOR)
        for lease in self.holders.values():
            lease.max_rate = (
                lease.rate * rate_fraction if rate_fraction < 1 else math.inf
            )
            lease.max_burst = (
                lease.burst * burst_fraction if burst_fraction < 1 else math.inf
            )
        self.is_over_limit = rate_fraction < 1 or burst_fraction < 1
        self.version += 1
        self.planned_at = -math.inf

    def remove_holder(self, now: float, key: Key) -> None:
        """Return a holder's share to the pool, without its tokens."""
        lease = self.holders.pop(key, None)
        if lease is not None:
            self.resize_lease(now, lease, 0.0, 0.0)
            self.planned_at = -math.inf

    def replan(self, now: float, daemons: int) -> None:
        """Divide rate and burst again, unless the last plan is recent."""
        interval_s = MIN_PLAN_INTERVAL_S + PLAN_INTERVAL_PER_HOLDER_S * len(
            self.holders
        )
        if now - self.planned_at < interval_s:
            return
        self.planned_at = now
        holders = self.holders.values()
        # Recomputes the sums so that rounding errors do not accumulate.
        self.leased_rate = math.fsum(lease.rate for lease in holders)
        self.leased_burst = math.fsum(lease.burst for lease in holders)
        self.resize_pool(now)
        if self.is_over_limit and self._is_within_limits():
            self.is_over_limit = False
            for lease in holders:
                lease.max_rate = lease.max_burst = math.inf
        offers = [lease.offer for lease in holders]
        tokens = self.pool.tokens
        self.plan = fairshare.plan(self.rate, self.burst, daemons, tokens, offers)

    def _is_within_limits(self) -> bool:
        is_rate_within = self.leased_rate <= self.rate * (1 + ROUNDING_ERROR)
        return is_rate_within and self.leased_burst <= self.burst * (1 + ROUNDING_ERROR)


class Grantor:
    """Moves rate and tokens between each account's pool and the account's holders."""

    __slots__ = (
        "_accounts",
        "_blocked",
        "_directory",
        "_elected_at",
        "_expiry_checked_at",
        "_grant_count",
        "_last_ping",
        "_leases",
        "_limits",
        "_preallocated",
        "_unreported",
        "raft_term",
    )

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        # Incarnations in the target directory at the election that have not reported
        # their shares yet; None once all leases are known.
        self._unreported: set[Key] | None = set()
        self._blocked: dict[Key, float] = {}
        self._directory: set[Key] = set()
        self._grant_count = 0
        self._last_ping: dict[Key, float] = {}
        self._elected_at = math.inf
        self._limits: dict[str, model.Account] = {}
        self._preallocated: list[str] = []
        self._expiry_checked_at = -math.inf
        # Leases of each incarnation, by account.
        self._leases: dict[Key, dict[str, _Lease]] = {}
        self.raft_term = 0

    def on_elected(self, now: float, raft_term: int, state: model.FleetState) -> None:
        """Start as leader; state has applied all entries of earlier terms."""
        self.raft_term = raft_term
        self._accounts = {}
        self._leases = {}
        self._blocked = {}
        self._last_ping = {}
        self._grant_count = 0
        self._elected_at = now
        self.on_state(now, state)
        self._unreported = set(self._directory)

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply the accounts and the target directory of a new state."""
        self._limits = state.accounts
        self._directory = {
            (target.name, target.incarnation)
            for target in state.targets.values()
            if target.state in model.ALIVE_STATES
        }
        for name in state.accounts:
            self._account(now, name)
        for name, account in self._accounts.items():
            limit = state.accounts.get(name)
            rate, burst = (limit.refill, limit.capacity) if limit else (0.0, 0.0)
            if (rate, burst) != (account.rate, account.burst):
                account.rate, account.burst = rate, burst
                account.resize_pool(now)
                account.cap_leases()
        largest = sorted(state.accounts.values(), key=lambda item: -item.capacity)
        self._preallocated = [
            limit.name
            for limit in largest[:MAX_PREALLOCATED_ACCOUNTS]
            if fairshare.preallocated_burst(limit.capacity, len(self._directory)) > 0
        ]

    def on_incarnation_terminated(
        self, now: float, daemon: str, incarnation: int
    ) -> None:
        """Reclaim an incarnation's shares.

        Called once it has surely terminated, before its loss is proposed: the next
        leader counts no shares of a lost incarnation, so it must get none while the
        loss is being committed.
        """
        key = daemon, incarnation
        self._blocked[key] = now + TERMINATED_BLOCK_S
        self._reclaim(now, key)
        if self._unreported is not None:
            self._unreported.discard(key)

    def on_ping(
        self,
        now: float,
        daemon: str,
        incarnation: int,
        raft_term: int,
        demands: list[messages.Demand],
        shares: list[messages.Share],
    ) -> list[messages.Share]:
        """Return the renewals and grants that answer a ping.

        The answer may be sent only if leadership was confirmed after the ping arrived.
        Malformed demands and shares are ignored.
        """
        key = daemon, incarnation
        demands = [demand for demand in demands if _is_well_formed(demand)]
        shares = [share for share in shares if _is_well_formed(share)]
        self._expire_holders(now)
        if not self._may_hold(now, key) or raft_term != self.raft_term:
            return []
        is_first = key not in self._last_ping
        self._last_ping[key] = now
        if is_first and self._unreported is not None:
            self._take_over(now, key, shares)
        else:
            for share in shares:
                self._apply_report(now, key, share)
        self._record_demands(now, key, demands)
        if self.is_recovering(now):
            return self._renewals(key)
        return self._issue_grants(now, key)

    def is_recovering(self, now: float) -> bool:
        """Whether shares that earlier leaders granted may still be unreported."""
        if self._unreported is not None:
            ended = now >= self._elected_at + SHARE_EXPIRY_S
            if ended or self._unreported <= self._last_ping.keys():
                self._unreported = None
                # Pools fill only from now on, when all leases are known.
                for account in self._accounts.values():
                    account.pool = limits.TokenBucket(now)
                    account.resize_pool(now)
                    account.cap_leases()
        return self._unreported is not None

    def starvations(self, now: float) -> list[Starvation]:
        """Return the accounts with starved holders, those with most of them first."""
        if self.is_recovering(now):
            return []
        found = [
            self._starvation(now, name, account)
            for name, account in self._accounts.items()
        ]
        return sorted(
            (item for item in found if item.starved), key=lambda item: -item.starved
        )

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return limits, pool and number of holders by account (tokens/s, tokens)."""
        result = {}
        for name, account in self._accounts.items():
            account.pool.refill(now)
            result[name] = {
                "rate": account.rate,
                "burst": account.burst,
                "pool_rate": account.pool.rate,
                "pool_burst": account.pool.burst,
                "pool_tokens": account.pool.tokens,
                "holders": float(len(account.holders)),
            }
        return result

    @staticmethod
    def _starvation(now: float, name: str, account: _Account) -> Starvation:
        account.pool.refill(now)
        active = [lease for lease in account.holders.values() if lease.offer.wanted > 0]
        starved = [lease for lease in active if lease.burst < 1]
        return Starvation(
            account=name,
            starved=len(starved),
            holders=len(active),
            burst=account.burst,
            leased_burst=account.leased_burst,
            pool_tokens=account.pool.tokens,
            held_tokens=math.fsum(lease.offer.tokens for lease in active),
        )

    def _account(self, now: float, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(now)
        return account

    def _may_hold(self, now: float, key: Key) -> bool:
        return key in self._directory and self._blocked.get(key, now) <= now

    def _expire_holders(self, now: float) -> None:
        """Reclaim the shares of holders that were not renewed in time."""
        if now - self._expiry_checked_at < MIN_PLAN_INTERVAL_S:
            return
        self._expiry_checked_at = now
        expired_keys = [
            k for k, at in self._last_ping.items() if now >= at + SHARE_EXPIRY_S
        ]
        for key in expired_keys:
            self._reclaim(now, key)
        self._blocked = {k: at for k, at in self._blocked.items() if at > now}
        for name in [n for n in self._accounts if n not in self._limits]:
            if not self._accounts[name].holders:
                del self._accounts[name]

    def _reclaim(self, now: float, key: Key) -> None:
        self._last_ping.pop(key, None)
        for name in self._leases.pop(key, {}):
            self._accounts[name].remove_holder(now, key)

    def _remove_lease(self, now: float, key: Key, name: str) -> None:
        self._leases[key].pop(name, None)
        self._accounts[name].remove_holder(now, key)

    def _add_lease(self, now: float, key: Key, name: str, confirmed: int) -> _Lease:
        lease = _Lease(confirmed)
        self._account(now, name).holders[key] = lease
        self._leases.setdefault(key, {})[name] = lease
        return lease

    def _take_over(self, now: float, key: Key, shares: list[messages.Share]) -> None:
        """Take over the shares that a holder reports to a new leader."""
        for share in shares:
            lease = self._add_lease(now, key, share.account, share.grant)
            self._account(now, share.account).resize_lease(
                now, lease, share.rate, share.burst
            )

    def _apply_report(self, now: float, key: Key, share: messages.Share) -> None:
        """Reduce the lease to what the holder reports under its newest grant."""
        lease = self._leases.get(key, {}).get(share.account)
        if lease is None:
            return
        account = self._accounts[share.account]
        if lease.pending is not None and share.grant == lease.pending.number:
            lease.confirmed, lease.pending = lease.pending.number, None
            lease.credited = 0.0
        elif share.grant != lease.confirmed:
            return
        rate, burst = min(lease.rate, share.rate), min(lease.burst, share.burst)
        if lease.pending is not None:
            # The holder may still apply the pending grant.
            rate = max(rate, min(lease.rate, lease.pending.rate))
            burst = max(burst, min(lease.burst, lease.pending.burst))
        if (rate, burst) != (lease.rate, lease.burst):
            account.resize_lease(now, lease, rate, burst)
        account.pool.add(max(0.0, share.tokens - lease.credited))
        lease.credited = max(lease.credited, share.tokens)

    def _record_demands(
        self, now: float, key: Key, demands: list[messages.Demand]
    ) -> None:
        leases_by_account = self._leases.setdefault(key, {})
        for name in self._preallocated:
            if name not in leases_by_account:
                self._add_lease(now, key, name, UNCONFIRMED_GRANT)
        offered = {demand.account: demand for demand in demands}
        for name in offered:
            if name not in leases_by_account and name in self._limits:
                self._add_lease(now, key, name, UNCONFIRMED_GRANT)
        for name, lease in leases_by_account.items():
            demand = offered.get(name)
            lease.offer = fairshare.OfferedLoad()
            if demand is not None:
                lease.offer = fairshare.OfferedLoad(
                    demand.rate, demand.burst, demand.tokens
                )

    def _renewals(self, key: Key) -> list[messages.Share]:
        return [
            messages.Share(name, lease.rate, lease.burst, 0.0, lease.confirmed)
            for name, lease in self._leases[key].items()
            if lease.confirmed != UNCONFIRMED_GRANT
        ]

    def _issue_grants(self, now: float, key: Key) -> list[messages.Share]:
        result = []
        for name, lease in list(self._leases[key].items()):
            account = self._accounts[name]
            grant = lease.pending
            if grant is None or grant.version != account.version:
                account.replan(now, len(self._directory))
                self._create_grant(now, account, lease)
            grant = lease.pending
            if grant is not None:
                result.append(
                    messages.Share(
                        name, grant.rate, grant.burst, grant.tokens, grant.number
                    )
                )
            elif lease.confirmed != UNCONFIRMED_GRANT:
                result.append(
                    messages.Share(name, lease.rate, lease.burst, 0.0, lease.confirmed)
                )
            if lease.is_empty and name not in self._preallocated:
                self._remove_lease(now, key, name)
        return result

    def _create_grant(self, now: float, account: _Account, lease: _Lease) -> None:
        """Create a grant that moves a holder towards its planned share."""
        pool = account.pool
        pool.refill(now)
        rate, burst = account.plan.share(lease.offer)
        rate = min(rate, lease.rate + pool.rate, account.rate, lease.max_rate)
        burst = min(burst, lease.burst + pool.burst, account.burst, lease.max_burst)
        # A fraction of a token admits no call, so capacity for it is useless.
        burst = math.floor(burst + fairshare.ROUNDING_ERROR_TOKENS)
        min_tokens = self._first_grant_tokens(account, lease)
        burst = max(burst, min(min_tokens, lease.max_burst))
        pool_capacity = pool.burst - max(0.0, burst - lease.burst)
        goal = max(account.plan.fill * burst, min(min_tokens, burst))
        lacking = fairshare.whole_tokens(goal, lease.offer, pool.tokens)
        tokens = min(burst, max(lacking, pool.tokens - pool_capacity))
        if not _is_significant(account, lease, rate, burst, tokens):
            return
        self._grant_count += 1
        lease.pending = _Grant(self._grant_count, account.version, rate, burst, tokens)
        lease.offer.tokens += tokens
        pool.tokens -= tokens
        account.resize_lease(now, lease, max(lease.rate, rate), max(lease.burst, burst))

    @staticmethod
    def _first_grant_tokens(account: _Account, lease: _Lease) -> float:
        """Return the minimum capacity and tokens granted to an empty bucket.

        They admit calls that arrive before the demand can be measured. A pool below the
        threshold grants none.
        """
        pool = account.pool
        is_empty = lease.offer.wanted > 0 and lease.offer.tokens < 1
        if not is_empty or pool.tokens < POOL_THRESHOLD_FRACTION * account.burst:
            return 0.0
        return FIRST_GRANT_FRACTION * pool.tokens


def _is_well_formed(reported: messages.Demand | messages.Share) -> bool:
    """Whether the values are finite, and rate and burst not negative."""
    values = reported.rate, reported.burst, reported.tokens
    return all(map(math.isfinite, values)) and min(values[:2]) >= 0


def _is_significant(
    account: _Account, lease: _Lease, rate: float, burst: float, tokens: float
) -> bool:
    """Return whether a share changes enough to need a grant."""
    if account.is_over_limit and (rate < lease.rate or burst < lease.burst):
        return True
    if tokens >= MIN_CHANGE_TOKENS or (rate == 0) != (lease.rate == 0):
        return True
    is_pool_low = account.pool.rate <= LOW_POOL_RATE_FRACTION * account.rate
    hysteresis = LOW_POOL_HYSTERESIS_FRACTION if is_pool_low else HYSTERESIS_FRACTION
    if abs(rate - lease.rate) > hysteresis * max(rate, lease.rate):
        return True
    return abs(burst - lease.burst) > max(MIN_CHANGE_TOKENS, hysteresis * lease.burst)
