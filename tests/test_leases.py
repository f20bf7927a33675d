"""Shares of holders and the grantor together."""

import copy

import fleetsim
import hypothesis
from hypothesis import stateful, strategies

from toucanfold import leases, limits

# Every share granted under a lowered limit's old value ends within a term, by a
# clock that runs up to 1% slow.
SETTLE_S = limits.SHARE_TERM_S / 0.99 + 0.01
DRIFTS = strategies.sampled_from([0.99, 0.997, 1.0, 1.004, 1.01])
ACCOUNT = "acme"


class Daemon:
    def __init__(self, key, drift):
        self.key, self.drift = key, drift
        self.holder = limits.Holder()


class SharesMachine(stateful.RuleBasedStateMachine):
    """Guards against spending above rate x time + burst, whatever fails."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.limits = {ACCOUNT: (20.0, 12.0)}
        # Limits that were in force until the time given.
        self.former = []
        self.spent = []
        self.naive = fleetsim.NaiveBucket(20.0, 12.0)
        self.daemons = {}
        self.directory = {}
        self.pings, self.answers = [], []
        self.incarnation = 0
        self.leaders = []
        for name in ("a", "b", "c"):
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
        if self.former:
            # Shares presented to a new leader are reduced only after its recovery.
            self.former.append((self.now + 2 * SETTLE_S + 0.3, *self.former[-1][1:]))

    def _state(self):
        return fleetsim.state_of(self.limits, self.directory)

    def _change(self):
        if self.leaders:
            grantor, drift, _ = self.leaders[-1]
            grantor.on_state(self.now * drift, self._state())
        self._inform()

    def _inform(self):
        for daemon in self.daemons.values():
            daemon.holder.on_state(self.now * daemon.drift, self._state())

    def _in_force(self):
        """The largest rate and burst that may still be in force."""
        values = [self.limits.get(ACCOUNT, (0.0, 0.0))]
        values += [(r, b) for until, r, b in self.former if until >= self.now]
        return max(r for r, _ in values), max(b for _, b in values)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.05, 0.1, 0.3, 0.5, 1, 4]))
    def advance(self, seconds):
        for _ in range(max(1, round(seconds / 0.05))):
            self.now += min(seconds, 0.05)
            self._grow()

    def _grow(self):
        """Let the naive bucket follow the limits in force."""
        rate, burst = self._in_force()
        naive = self.naive
        naive.tokens += (self.now - naive.at) * naive.rate
        naive.at, naive.rate, naive.burst = self.now, rate, burst
        naive.tokens = min(naive.tokens, burst)

    @stateful.rule(
        name=strategies.sampled_from("abc"), calls=strategies.integers(1, 15)
    )
    def spend(self, name, calls):
        daemon = self.daemons[name]
        self._grow()
        for _ in range(calls):
            result = daemon.holder.spend(self.now * daemon.drift, ACCOUNT)
            self.naive.spend(self.now)
            if result.kind is limits.SpendKind.SPENT:
                self.spent.append((self.now, *self._in_force()))

    @stateful.rule(name=strategies.sampled_from("abc"))
    def ping(self, name):
        daemon = self.daemons[name]
        now = self.now * daemon.drift
        holder = daemon.holder
        demands, shares = holder.demands(now), holder.held(now)
        copied = copy.deepcopy((holder.raft_term, demands, shares))
        self.pings.append((daemon.key, self.now, now, copied))

    @stateful.rule(
        index=strategies.integers(0, 3), again=strategies.booleans(), old=DRIFTS
    )
    def answer(self, index, again, old):
        """Deliver any ping, perhaps twice, perhaps to a leader deposed meanwhile."""
        if not self.pings:
            return
        index %= len(self.pings)
        key, sent, sent_at, content = self.pings[index]
        if not again:
            del self.pings[index]
        grantor, drift, _ = self.leaders[-1]
        if old != 1.0 and len(self.leaders) > 1 and sent < self.leaders[-1][2]:
            grantor, drift, _ = self.leaders[-2]
        shares = grantor.on_ping(self.now * drift, *key, *content)
        self.answers.append((key, sent_at, grantor.raft_term, copy.deepcopy(shares)))

    @stateful.rule(index=strategies.integers(0, 3), again=strategies.booleans())
    def deliver(self, index, again):
        if not self.answers:
            return
        index %= len(self.answers)
        key, sent_at, term, shares = self.answers[index]
        if not again:
            del self.answers[index]
        daemon = self.daemons[key[0]]
        if daemon.key == key:
            daemon.holder.on_grants(self.now * daemon.drift, sent_at, term, shares)

    @stateful.rule(name=strategies.sampled_from("abc"))
    def exchange(self, name):
        """Ping without loss, so that runs reach states with shares."""
        self.ping(name)
        key, _, sent_at, content = self.pings.pop()
        grantor, drift, _ = self.leaders[-1]
        shares = grantor.on_ping(self.now * drift, *key, *content)
        daemon = self.daemons[name]
        term = grantor.raft_term
        daemon.holder.on_grants(self.now * daemon.drift, sent_at, term, shares)

    @stateful.rule(seconds=strategies.integers(1, 6), calls=strategies.integers(0, 3))
    def busy(self, seconds, calls):
        """All daemons ping regularly while they spend."""
        for _ in range(seconds * 4):
            self.advance(0.25)
            for name in "abc":
                self.spend(name, calls + 1)
                self.exchange(name)

    @stateful.rule(drift=DRIFTS)
    def replace_leader(self, drift):
        self._lead(drift)

    @stateful.rule(name=strategies.sampled_from("abc"), drift=DRIFTS)
    def restart(self, name, drift):
        grantor, leader_drift, _ = self.leaders[-1]
        grantor.on_ended(self.now * leader_drift, *self.daemons[name].key)
        self._start(name, drift)

    @stateful.rule(name=strategies.sampled_from("abc"))
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
        rate=strategies.sampled_from([0.0, 2.0, 20.0, 50.0]),
        burst=strategies.sampled_from([0.5, 2.0, 12.0, 30.0]),
        gone=strategies.booleans(),
    )
    def change_account(self, rate, burst, gone):
        former = self.limits.get(ACCOUNT, (0.0, 0.0))
        self.former.append((self.now + SETTLE_S, *self._in_force()))
        self.former.append((self.now + SETTLE_S, *former))
        self.limits = {} if gone else {ACCOUNT: (rate, burst)}
        self._change()

    @stateful.invariant()
    def spending_is_within_limits(self):
        """Check all windows that end now against the limits in force in them."""
        assert len(self.spent) <= self.naive.spent
        level, at = 0.0, 0.0
        for now, rate, burst in self.spent:
            level = max(0.0, level - (now - at) * rate) + 1
            at = now
            assert level <= burst + 1e-6
        del self.spent[:-2000]

    @stateful.invariant()
    def bounds_fit(self):
        """Check that the leader never hands out more than the limits in force."""
        grantor, _, _ = self.leaders[-1]
        account = grantor._accounts.get(ACCOUNT)
        if account is None or grantor._awaited is not None:
            return
        rate, burst = self._in_force()
        assert sum(h.rate for h in account.holders.values()) <= rate + 1e-6
        assert sum(h.burst for h in account.holders.values()) <= burst + 1e-6


SharesMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestShares = SharesMachine.TestCase
