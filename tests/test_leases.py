"""Shares of holders and the grantor together."""

import copy
import heapq
import itertools
import random

import fleetsim
import hypothesis
from hypothesis import stateful, strategies

from toucanfold import leases, limits

# Every share granted under a lowered limit's old value ends within a term, by a
# clock that runs up to 1% slow. A new leader takes such shares over, and reduces
# them after its recovery.
SETTLE_S = limits.SHARE_TERM_S / 0.99 + 0.01
RECOVERY_S = leases.HOLDER_END_S / 0.99
DRIFTS = strategies.sampled_from([0.99, 1.0, 1.01])
NAMES = strategies.sampled_from("abc")
ACCOUNT = "acme"
STEP_S = 0.05


class Daemon:
    def __init__(self, key, drift):
        self.key, self.drift = key, drift
        self.holder = limits.Holder()
        self.calls = 0
        self.pinged_at = -1.0


class SharesMachine(stateful.RuleBasedStateMachine):
    """Guards against spending above rate x time + burst, whatever fails."""

    def __init__(self):
        super().__init__()
        self.now, self.order = 0.0, itertools.count()
        self.rng = random.Random(0)
        self.limits = {ACCOUNT: (50.0, 12.0)}
        # Limits that may be in force until the time given.
        self.former = []
        self.naive = fleetsim.NaiveBucket(50.0, 12.0)
        self.spent, self.level, self.level_at = 0, 0.0, 0.0
        self.daemons, self.directory = {}, {}
        self.network, self.loss, self.slowest = [], 0.0, 0.05
        self.incarnation, self.leaders, self.total = 0, [], None
        for name in "abc":
            self._start(name, 1.0)
        self._lead(1.0)

    def _start(self, name, drift):
        self.incarnation += 1
        key = name, self.incarnation
        self.directory = {k: s for k, s in self.directory.items() if k[0] != name}
        self.directory[key] = "up"
        self.daemons[name] = Daemon(key, drift)
        self._change()

    def _lead(self, drift):
        grantor = leases.Grantor()
        self.leaders.append((grantor, drift, self.now))
        grantor.on_lead(self.now * drift, len(self.leaders), self._state())
        later = self.now + RECOVERY_S + SETTLE_S
        self.former = [(later, r, b) for at, r, b in self.former if at >= self.now]

    def _state(self):
        return fleetsim.state_of(self.limits, self.directory)

    def _change(self):
        if self.leaders:
            grantor, drift, _ = self.leaders[-1]
            grantor.on_state(self.now * drift, self._state())
        for daemon in self.daemons.values():
            daemon.holder.on_state(self.now * daemon.drift, self._state())

    def _in_force(self):
        """The largest rate and burst that may still be in force."""
        values = [self.limits.get(ACCOUNT, (0.0, 0.0))]
        values += [(r, b) for until, r, b in self.former if until >= self.now]
        return max(r for r, _ in values), max(b for _, b in values)

    def _follow(self):
        """Let the naive bucket and the window check follow the limits in force."""
        rate, burst = self._in_force()
        naive = self.naive
        naive.tokens += (self.now - naive.at) * naive.rate
        naive.tokens = min(naive.tokens, burst)
        self.level = max(0.0, self.level - (self.now - self.level_at) * naive.rate)
        if burst < naive.burst:
            self.level = 0.0
        naive.at = self.level_at = self.now
        naive.rate, naive.burst = rate, burst

    def _spend(self, daemon):
        for _ in range(daemon.calls):
            self.naive.spend(self.now)
            result = daemon.holder.spend(self.now * daemon.drift, ACCOUNT)
            if result.kind is not limits.SpendKind.SPENT:
                return
            self.spent += 1
            self.level += 1
            assert self.level <= self.naive.burst + 1e-6
            assert self.spent <= self.naive.spent

    def _send(self, action, *arguments):
        """Lose, delay, reorder and repeat messages."""
        copies = 2 if self.rng.random() < 0.1 else 1
        for _ in range(copies if self.rng.random() >= self.loss else 0):
            when = self.now + self.rng.random() ** 3 * self.slowest
            content = copy.deepcopy(arguments)
            heapq.heappush(self.network, (when, next(self.order), action, content))

    def _ping(self, daemon):
        now = self.now * daemon.drift
        holder = daemon.holder
        due = now >= daemon.pinged_at + 0.5
        if due or holder.wants_ping(now):
            daemon.pinged_at = now
            demands, shares = holder.demands(now), holder.held(now)
            content = holder.raft_term, demands, shares
            self._send(self._answer, daemon.key, self.now, now, content)

    def _answer(self, key, sent, sent_at, content):
        """Answer a ping; one that a leader received before it was deposed, by that."""
        grantor, drift, lead_at = self.leaders[-1]
        if sent < lead_at and len(self.leaders) > 1 and self.rng.random() < 0.5:
            grantor, drift, _ = self.leaders[-2]
        shares = grantor.on_ping(self.now * drift, *key, *content)
        self._send(self._deliver, key, sent_at, grantor.raft_term, shares)

    def _deliver(self, key, sent_at, term, shares):
        daemon = self.daemons[key[0]]
        if daemon.key == key:
            daemon.holder.on_grants(self.now * daemon.drift, sent_at, term, shares)

    @stateful.rule(
        seconds=strategies.sampled_from([0.3, 1.0, 4.0, 20.0]),
        seed=strategies.integers(0, 1000),
    )
    def run_for(self, seconds, seed):
        self.rng = random.Random(seed)
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._follow()
            while self.network and self.network[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.network)
                action(*arguments)
            daemons = list(self.daemons.values())
            self.rng.shuffle(daemons)
            for daemon in daemons:
                self._spend(daemon)
                self._ping(daemon)
            self._check_bounds()

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.0, 0.3, 1.0]),
        slowest=strategies.sampled_from([0.02, 0.2, 1.0, 4.0]),
    )
    def change_network(self, loss, slowest):
        self.loss, self.slowest = loss, slowest

    @stateful.rule(calls=strategies.tuples(*[strategies.sampled_from([0, 1, 40])] * 3))
    def change_load(self, calls):
        for daemon, most in zip(self.daemons.values(), calls, strict=True):
            daemon.calls = most

    @stateful.rule(drift=DRIFTS)
    def replace_leader(self, drift):
        self._lead(drift)

    @stateful.rule(name=NAMES, drift=DRIFTS, calls=strategies.sampled_from([0, 40]))
    def restart(self, name, drift, calls):
        grantor, leader_drift, _ = self.leaders[-1]
        grantor.on_ended(self.now * leader_drift, *self.daemons[name].key)
        self._start(name, drift)
        self.daemons[name].calls = calls

    @stateful.rule(name=NAMES)
    def lose_or_find(self, name):
        """Mark a silent daemon as lost, or a lost one as up again."""
        key = self.daemons[name].key
        grantor, drift, lead_at = self.leaders[-1]
        now = self.now * drift
        if self.directory[key] == "lost":
            self.directory[key] = "up"
        else:
            seen = grantor._last_ping.get(key, lead_at * drift)
            if now - seen < leases.HOLDER_END_S:
                return
            grantor.on_ended(now, *key)
            self.directory[key] = "lost"
        self._change()

    @stateful.rule(
        rate=strategies.sampled_from([0.0, 5.0, 50.0]),
        burst=strategies.sampled_from([0.5, 2.0, 12.0, 60.0]),
        gone=strategies.sampled_from([False, False, False, True]),
    )
    def change_account(self, rate, burst, gone):
        former = self.limits.get(ACCOUNT, (0.0, 0.0))
        settled = self.now + SETTLE_S
        lead_at = self.leaders[-1][2]
        if self.now < lead_at + RECOVERY_S:
            settled += RECOVERY_S
        self.former.append((settled, *former))
        self.limits = {} if gone else {ACCOUNT: (rate, burst)}
        self._change()

    def _check_bounds(self):
        """Check that nobody holds more than the leader counts, and that all fits."""
        grantor, drift, _ = self.leaders[-1]
        account = grantor._accounts.get(ACCOUNT)
        if account is None or grantor._awaited is not None:
            self.total = None
            return
        rate, burst = self._in_force()
        assert sum(h.rate for h in account.holders.values()) <= rate + 1e-6
        assert sum(h.burst for h in account.holders.values()) <= burst + 1e-6
        account.pool.refill(self.now * drift)
        total, counted = account.pool.tokens, []
        for daemon in self.daemons.values():
            now = self.now * daemon.drift
            has = daemon.holder._accounts.get(ACCOUNT)
            if has is None or now >= has.expires_at:
                continue
            bound = account.holders.get(daemon.key, leases._Held(0))
            assert has.bucket.rate <= bound.rate + 1e-6
            assert has.bucket.burst <= bound.burst + 1e-6
            if daemon.holder.raft_term == grantor.raft_term:
                counted.append(daemon.key)
                total += daemon.holder.available(now, ACCOUNT)
                total += self._on_the_way(has, bound)
        self._check_tokens(total, (grantor.raft_term, account.version, counted), rate)

    @staticmethod
    def _on_the_way(has, bound):
        """Tokens granted and not applied, or given back and not credited."""
        if bound.pending is None:
            returned = has.returned - bound.credited
            return max(0.0, returned) if has.grant == bound.confirmed else 0.0
        if has.grant == bound.pending.number:
            return has.returned
        returned = max(0.0, has.returned - bound.credited)
        returned = returned if has.grant == bound.confirmed else 0.0
        return bound.pending.tokens + returned

    def _check_tokens(self, total, counted, rate):
        """Check that tokens come only from the rate while the same ones are counted."""
        if self.total is not None and self.total[1] == counted:
            before, _, spent, at = self.total
            gained = rate * (self.now - at) - (self.spent - spent)
            assert total <= before + gained + 1e-6
        self.total = total, counted, self.spent, self.now


SharesMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30
)
TestShares = SharesMachine.TestCase
