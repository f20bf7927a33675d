"""Simulates share holders and their grantor over a network with a fixed delay."""

import heapq
import itertools

from toucanfold import holderselection, leases, limits, model

# Maximum retry delay of a waiting call.
MAX_RETRY_DELAY_S = 0.02


def target(name, incarnation, state="up", place=("r", "d")):
    return model.Target(name, incarnation, "s", *place, "127.0.0.1:1", state)


def state_of(accounts, daemons):
    """Return a state with {name: (rate, burst)} and {(name, incarnation): state}."""
    state = model.FleetState()
    for name, (rate, burst) in accounts.items():
        state.accounts[name] = model.Account(name, rate, burst)
    for (name, incarnation), kind in daemons.items():
        state.targets[name] = target(name, incarnation, kind)
    return state


class ReferenceBucket:
    """One central bucket that starts full."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.tokens, self.at = burst, 0.0
        self.acquired = 0

    def acquire(self, now):
        refilled = self.tokens + (now - self.at) * self.rate
        self.tokens, self.at = min(self.burst, refilled), now
        if self.tokens >= 1 - 1e-6:
            self.tokens -= 1
            self.acquired += 1


class WindowCheck:
    """Checks admitted calls <= rate x time + burst in all windows, in O(1) per call.

    The excess of admitted calls over the rate, above its lowest value so far, is the
    largest excess of any window that ends now.
    """

    def __init__(self, burst):
        self.level, self.at, self.burst = 0.0, 0.0, burst
        self.max_excess = 0.0

    def record(self, now, rate):
        self.level = max(0.0, self.level - (now - self.at) * rate)
        self.at = now
        self.level += 1
        self.max_excess = max(self.max_excess, self.level)
        assert self.level <= self.burst + 1e-6


class Fleet:
    """Daemons that ping one leader without failures; time in seconds.

    places lists pairs of region and data centre, among which the daemons are divided.
    """

    def __init__(self, daemons, accounts, delay_s=0.02, places=(("r", "d"),)):
        self.now = 0.0
        self.delay_s = delay_s
        self.accounts = accounts
        self.events, self.order = [], itertools.count()
        self.holders = {(f"d{i}", 1): limits.ShareHolder() for i in range(daemons)}
        self.state = state_of(accounts, {})
        for index, (name, incarnation) in enumerate(self.holders):
            place = places[index % len(places)]
            self.state.targets[name] = target(name, incarnation, place=place)
        self.selectors = {}
        self.grantor = leases.Grantor()
        self.grantor.on_elected(0.0, 1, self.state)
        self.pings = 0
        self.pinged_at = {}
        self.checks = {a: WindowCheck(burst) for a, (_, burst) in accounts.items()}
        self.offered = dict.fromkeys(accounts, 0)
        self.refused = dict.fromkeys(accounts, 0)
        for index, (key, holder) in enumerate(self.holders.items()):
            holder.on_state(0.0, self.state)
            place = self.state.targets[key[0]]
            selector = holderselection.HolderSelector(
                place.region, place.data_centre, place.name
            )
            selector.on_state(self.state)
            self.selectors[key] = selector
            self.at(index * 0.5 / daemons, self._tick, key)

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until

    def _tick(self, key):
        """Ping every 500 ms, or earlier if the holder needs it."""
        due = self.now >= self.pinged_at.get(key, -1.0) + 0.5
        if due or self.holders[key].needs_early_ping(self.now):
            self._ping(key)
        self.at(self.now + 0.02, self._tick, key)

    def _ping(self, key):
        holder = self.holders[key]
        self.pinged_at[key] = self.now
        self.pings += 1
        demands = holder.demands(self.now)
        shares = holder.report_shares(self.now)
        term = holder.raft_term
        arguments = (key, self.now, term, demands, shares)
        self.at(self.now + self.delay_s, self._answer, *arguments)

    def _answer(self, key, sent_at, term, demands, shares):
        answer = self.grantor.on_ping(self.now, *key, term, demands, shares)
        self.at(self.now + self.delay_s, self._deliver, key, sent_at, answer)

    def _deliver(self, key, sent_at, answer):
        holder = self.holders[key]
        holder.on_grants(self.now, sent_at, self.grantor.raft_term, answer)

    def call_through_entry(self, entry, account):
        """Offer a call to an entry, whose holder it asks without a delay."""
        candidates = self.selectors[entry].candidates(account)
        key = (candidates[0].name, candidates[0].incarnation) if candidates else entry
        self.call(key, account)

    def call(self, key, account, first_attempt_at=None):
        """Offer a call to a holder."""
        if first_attempt_at is None:
            self.offered[account] += 1
        result = self.holders[key].try_acquire(
            self.now, account, first_attempt_at=first_attempt_at
        )
        if result.kind is limits.AcquireStatus.ACQUIRED:
            self.checks[account].record(self.now, self.accounts[account][0])
        elif result.kind is limits.AcquireStatus.REFUSED:
            self.refused[account] += 1
        else:
            first = self.now if first_attempt_at is None else first_attempt_at
            retry_delay_s = min(MAX_RETRY_DELAY_S, result.seconds)
            self.at(self.now + retry_delay_s, self.call, key, account, first)

    def poisson(self, rng, account, rate, pick, start, end, offer=None):
        """Offer Poisson traffic (calls/s); pick(time) returns the key of the entry."""
        when = start + rng.expovariate(rate)
        while when < end:
            self.at(when, offer or self.call, pick(when), account)
            when += rng.expovariate(rate)
