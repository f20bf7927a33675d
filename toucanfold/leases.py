"""Grants of rate shares by the leader of control."""

import dataclasses
import math

from toucanfold import fairshare, limits, messages, model

# The leader counts a share's end from the receipt of its last renewal. The margin
# covers clocks that differ by 1% and late timers.
SHARE_EXPIRY_S = limits.SHARE_TERM_S * 1.1
# A directory change that ends an incarnation is committed, or the lead is lost,
# within this time.
ENDED_BLOCK_S = 5.0
# Time between two plans of one account, and its part that grows with the holders.
PLAN_S = 0.02
PLAN_PER_HOLDER_S = 0.0001
# Differences below this part of a share are not worth a grant.
HYSTERESIS = 0.1
# The same while an account's pool holds nearly no rate, because others may lack it.
SCARCE_HYSTERESIS = 0.02
SCARCE_PART = 0.02
# Accounts of which idle daemons hold a part in advance; bounds the size of pings.
MAX_STANDING = 16
# A token more or less is not worth a grant by itself.
MIN_MOVE = 0.5
# Relative error of the sums of shares.
ROUNDING = 1e-9
# Part of the burst that makes a pool rich, and part of its tokens that an empty
# bucket gets.
RICH_PART = 0.15
FIRST_PART = 0.3
# Replaces a sum of zero as divisor.
MIN_LIMIT = 1e-9
# Number of the confirmed grant of a share that was not presented or granted.
UNCONFIRMED = -1

Key = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Grant:
    """A grant that its holder has not confirmed."""

    number: int
    version: int
    rate: float
    burst: float
    tokens: float


class _Held:
    """What one holder may hold of one account: the upper bound of rate and burst."""

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
        # Tokens given back since that grant which the pool has got.
        self.credited = 0.0
        self.pending: _Grant | None = None
        self.offer = fairshare.OfferedLoad()
        # Finite while the account's holders together hold more than it has.
        self.max_rate = math.inf
        self.max_burst = math.inf

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held, offered or wanted."""
        is_held = self.rate > 0 or self.burst > 0 or self.pending is not None
        return not is_held and self.offer.wanted <= 0


class _Account:
    """One account's limits, unallocated pool and holders."""

    __slots__ = (
        "burst",
        "held_burst",
        "held_rate",
        "holders",
        "is_limited",
        "plan",
        "planned_at",
        "pool",
        "rate",
        "version",
    )

    def __init__(self, now: float):
        self.rate = 0.0
        self.burst = 0.0
        self.held_rate = 0.0
        self.held_burst = 0.0
        self.pool = limits.TokenBucket(now)
        self.holders: dict[Key, _Held] = {}
        self.plan = fairshare.Plan()
        self.is_limited = False
        # Rises with each change of the limits; older grants are replaced.
        self.version = 0
        self.planned_at = -math.inf

    def change(self, now: float, held: _Held, rate: float, burst: float) -> None:
        """Set the bound of a holder and fit the pool to it."""
        self.held_rate += rate - held.rate
        self.held_burst += burst - held.burst
        held.rate, held.burst = rate, burst
        self.settle(now)

    def settle(self, now: float) -> None:
        """Fit the pool to what is not held; tokens above its capacity are lost."""
        rate = max(0.0, self.rate - self.held_rate)
        self.pool.resize(now, rate, max(0.0, self.burst - self.held_burst))

    def limit_holders(self) -> None:
        """Bound each holder after a lowered limit, so that all fit into it."""
        rate_part = self.rate / max(self.rate, self.held_rate, MIN_LIMIT)
        burst_part = self.burst / max(self.burst, self.held_burst, MIN_LIMIT)
        for held in self.holders.values():
            held.max_rate = held.rate * rate_part if rate_part < 1 else math.inf
            held.max_burst = held.burst * burst_part if burst_part < 1 else math.inf
        self.is_limited = rate_part < 1 or burst_part < 1
        self.version += 1
        self.planned_at = -math.inf

    def drop(self, now: float, key: Key) -> None:
        """Return an ended holder's share to the pool, without tokens."""
        held = self.holders.pop(key, None)
        if held is not None:
            self.change(now, held, 0.0, 0.0)
            self.planned_at = -math.inf

    def replan(self, now: float, daemons: int) -> None:
        """Divide rate and burst anew, unless this was done a moment ago."""
        spacing = PLAN_S + PLAN_PER_HOLDER_S * len(self.holders)
        if now - self.planned_at < spacing:
            return
        self.planned_at = now
        holders = self.holders.values()
        # Sums are rebuilt so that rounding errors do not grow.
        self.held_rate = math.fsum(held.rate for held in holders)
        self.held_burst = math.fsum(held.burst for held in holders)
        self.settle(now)
        if self.is_limited and self._fits():
            self.is_limited = False
            for held in holders:
                held.max_rate = held.max_burst = math.inf
        offers = [held.offer for held in holders]
        tokens = self.pool.tokens
        self.plan = fairshare.plan(self.rate, self.burst, daemons, tokens, offers)

    def _fits(self) -> bool:
        rate_fits = self.held_rate <= self.rate * (1 + ROUNDING)
        return rate_fits and self.held_burst <= self.burst * (1 + ROUNDING)


class Grantor:
    """Moves rate and tokens between a pool for each account and its holders."""

    __slots__ = (
        "_accounts",
        "_awaited",
        "_blocked",
        "_directory",
        "_grants",
        "_holdings",
        "_last_ping",
        "_lead_at",
        "_limits",
        "_standing",
        "_swept_at",
        "raft_term",
    )

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        # Incarnations that the directory held at the start of the lead and that have
        # not presented their shares; None when the pools are known.
        self._awaited: set[Key] | None = set()
        self._blocked: dict[Key, float] = {}
        self._directory: set[Key] = set()
        self._grants = 0
        self._last_ping: dict[Key, float] = {}
        self._lead_at = math.inf
        self._limits: dict[str, model.Account] = {}
        self._standing: list[str] = []
        self._swept_at = -math.inf
        # What each incarnation holds, by account.
        self._holdings: dict[Key, dict[str, _Held]] = {}
        self.raft_term = 0

    def on_elected(self, now: float, raft_term: int, state: model.FleetState) -> None:
        """Start a lead; state has applied all entries of earlier terms."""
        self.raft_term = raft_term
        self._accounts = {}
        self._holdings = {}
        self._blocked = {}
        self._last_ping = {}
        self._grants = 0
        self._lead_at = now
        self.on_state(now, state)
        self._awaited = set(self._directory)

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply changed accounts and the directory."""
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
                account.settle(now)
                account.limit_holders()
        largest = sorted(state.accounts.values(), key=lambda item: -item.capacity)
        self._standing = [
            limit.name
            for limit in largest[:MAX_STANDING]
            if fairshare.standing_burst(limit.capacity, len(self._directory)) > 0
        ]

    def on_incarnation_ended(self, now: float, daemon: str, incarnation: int) -> None:
        """Take back an incarnation's shares.

        Called when it surely ended, and before its loss is proposed: a lost one has no
        shares under the next leader, so it must get none while the loss is committed.
        """
        key = daemon, incarnation
        self._blocked[key] = now + ENDED_BLOCK_S
        self._end(now, key)
        if self._awaited is not None:
            self._awaited.discard(key)

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

        The answer may be sent only if the lead was confirmed after the ping came in.
        """
        key = daemon, incarnation
        self._sweep(now)
        if not self._may_hold(now, key) or raft_term != self.raft_term:
            return []
        is_first = key not in self._last_ping
        self._last_ping[key] = now
        if is_first and self._awaited is not None:
            self._adopt(now, key, shares)
        else:
            for share in shares:
                self._confirm(now, key, share)
        self._note_demands(now, key, demands)
        if self.is_recovering(now):
            return self._renewals(key)
        return self._grant(now, key)

    def is_recovering(self, now: float) -> bool:
        """Whether shares granted by earlier leaders may be unknown."""
        if self._awaited is not None:
            ended = now >= self._lead_at + SHARE_EXPIRY_S
            if ended or self._awaited <= self._last_ping.keys():
                self._awaited = None
                # Pools start to fill only now, since all that is held is known.
                for account in self._accounts.values():
                    account.pool = limits.TokenBucket(now)
                    account.settle(now)
                    account.limit_holders()
        return self._awaited is not None

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return limits, pool and number of holders of each account."""
        found = {}
        for name, account in self._accounts.items():
            account.pool.refill(now)
            found[name] = {
                "rate": account.rate,
                "burst": account.burst,
                "pool_rate": account.pool.rate,
                "pool_burst": account.pool.burst,
                "pool_tokens": account.pool.tokens,
                "holders": float(len(account.holders)),
            }
        return found

    def _account(self, now: float, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(now)
        return account

    def _may_hold(self, now: float, key: Key) -> bool:
        return key in self._directory and self._blocked.get(key, now) <= now

    def _sweep(self, now: float) -> None:
        """End holders whose last renewal is too old."""
        if now - self._swept_at < PLAN_S:
            return
        self._swept_at = now
        silent = [k for k, at in self._last_ping.items() if now >= at + SHARE_EXPIRY_S]
        for key in silent:
            self._end(now, key)
        self._blocked = {k: at for k, at in self._blocked.items() if at > now}
        for name in [n for n in self._accounts if n not in self._limits]:
            if not self._accounts[name].holders:
                del self._accounts[name]

    def _end(self, now: float, key: Key) -> None:
        self._last_ping.pop(key, None)
        for name in self._holdings.pop(key, {}):
            self._accounts[name].drop(now, key)

    def _drop(self, now: float, key: Key, name: str) -> None:
        self._holdings[key].pop(name, None)
        self._accounts[name].drop(now, key)

    def _hold(self, now: float, key: Key, name: str, confirmed: int) -> _Held:
        held = _Held(confirmed)
        self._account(now, name).holders[key] = held
        self._holdings.setdefault(key, {})[name] = held
        return held

    def _adopt(self, now: float, key: Key, shares: list[messages.Share]) -> None:
        """Take over what a holder presents to a new leader."""
        for share in shares:
            held = self._hold(now, key, share.account, share.grant)
            self._account(now, share.account).change(now, held, share.rate, share.burst)

    def _confirm(self, now: float, key: Key, share: messages.Share) -> None:
        """Lower the bound to what the holder reports under its newest grant."""
        held = self._holdings.get(key, {}).get(share.account)
        if held is None:
            return
        account = self._accounts[share.account]
        if held.pending is not None and share.grant == held.pending.number:
            held.confirmed, held.pending = held.pending.number, None
            held.credited = 0.0
        elif share.grant != held.confirmed:
            return
        rate, burst = min(held.rate, share.rate), min(held.burst, share.burst)
        if held.pending is not None:
            # The holder may apply the grant that is on its way.
            rate = max(rate, min(held.rate, held.pending.rate))
            burst = max(burst, min(held.burst, held.pending.burst))
        if (rate, burst) != (held.rate, held.burst):
            account.change(now, held, rate, burst)
        account.pool.add(max(0.0, share.tokens - held.credited))
        held.credited = max(held.credited, share.tokens)

    def _note_demands(
        self, now: float, key: Key, demands: list[messages.Demand]
    ) -> None:
        holdings = self._holdings.setdefault(key, {})
        for name in self._standing:
            if name not in holdings:
                self._hold(now, key, name, UNCONFIRMED)
        offered = {demand.account: demand for demand in demands}
        for name in offered:
            if name not in holdings and name in self._limits:
                self._hold(now, key, name, UNCONFIRMED)
        for name, held in holdings.items():
            demand = offered.get(name)
            held.offer = fairshare.OfferedLoad()
            if demand is not None:
                held.offer = fairshare.OfferedLoad(
                    demand.rate, demand.burst, demand.tokens
                )

    def _renewals(self, key: Key) -> list[messages.Share]:
        return [
            messages.Share(name, held.rate, held.burst, 0.0, held.confirmed)
            for name, held in self._holdings[key].items()
            if held.confirmed != UNCONFIRMED
        ]

    def _grant(self, now: float, key: Key) -> list[messages.Share]:
        found = []
        for name, held in list(self._holdings[key].items()):
            account = self._accounts[name]
            grant = held.pending
            if grant is None or grant.version != account.version:
                account.replan(now, len(self._directory))
                self._move(now, account, held)
            grant = held.pending
            if grant is not None:
                found.append(
                    messages.Share(
                        name, grant.rate, grant.burst, grant.tokens, grant.number
                    )
                )
            elif held.confirmed != UNCONFIRMED:
                found.append(
                    messages.Share(name, held.rate, held.burst, 0.0, held.confirmed)
                )
            if held.is_empty and name not in self._standing:
                self._drop(now, key, name)
        return found

    def _move(self, now: float, account: _Account, held: _Held) -> None:
        """Create the grant that brings a holder nearer to its planned share."""
        pool = account.pool
        pool.refill(now)
        rate, burst = account.plan.share(held.offer)
        rate = min(rate, held.rate + pool.rate, account.rate, held.max_rate)
        burst = min(burst, held.burst + pool.burst, account.burst, held.max_burst)
        # Room for a part of a token holds nothing that lets a call pass.
        burst = math.floor(burst + fairshare.ROUNDING)
        floor = self._first_tokens(account, held)
        burst = max(burst, min(floor, held.max_burst))
        room = pool.burst - max(0.0, burst - held.burst)
        goal = max(account.plan.fill * burst, min(floor, burst))
        lacking = fairshare.whole_tokens(goal, held.offer, pool.tokens)
        tokens = min(burst, max(lacking, pool.tokens - room))
        if not _is_worth(account, held, rate, burst, tokens):
            return
        self._grants += 1
        held.pending = _Grant(self._grants, account.version, rate, burst, tokens)
        held.offer.tokens += tokens
        pool.tokens -= tokens
        account.change(now, held, max(held.rate, rate), max(held.burst, burst))

    @staticmethod
    def _first_tokens(account: _Account, held: _Held) -> float:
        """Return the least capacity and tokens for an empty bucket.

        A rich pool serves calls that arrive before the demand can be measured.
        """
        pool = account.pool
        is_empty = held.offer.wanted > 0 and held.offer.tokens < 1
        if not is_empty or pool.tokens < RICH_PART * account.burst:
            return 0.0
        return FIRST_PART * pool.tokens


def _is_worth(
    account: _Account, held: _Held, rate: float, burst: float, tokens: float
) -> bool:
    """Return whether a changed share is worth a grant."""
    if account.is_limited and (rate < held.rate or burst < held.burst):
        return True
    if tokens >= MIN_MOVE or (rate == 0) != (held.rate == 0):
        return True
    is_scarce = account.pool.rate <= SCARCE_PART * account.rate
    part = SCARCE_HYSTERESIS if is_scarce else HYSTERESIS
    if abs(rate - held.rate) > part * max(rate, held.rate):
        return True
    return abs(burst - held.burst) > max(MIN_MOVE, part * held.burst)
