"""Tests share holders together with the grantor."""

import copy
import heapq
import itertools
import math
import random

import fleetsim
import hypothesis
import pytest
from hypothesis import stateful, strategies

from toucanfold import fairshare, leases, limits, messages

# Every share granted under the old value of a lowered limit expires within a lease, by
# a clock that runs up to 1% slow. A new leader takes over such shares and reduces
# them after its recovery.
LIMIT_CHANGE_S = limits.SHARE_LEASE_S / 0.99 + 0.01
RECOVERY_S = leases.SHARE_EXPIRY_S / 0.99
DRIFTS = strategies.sampled_from([0.99, 1.0, 1.01])
NAMES = strategies.sampled_from("abc")
ACCOUNT = "acme"
STEP_S = 0.05


class Daemon:
    def __init__(self, key, drift):
        self.key, self.drift = key, drift
        self.holder = limits.ShareHolder()
        self.calls = 0
        self.pinged_at = -1.0


class SharesMachine(stateful.RuleBasedStateMachine):
    """Guards against admitting more than rate x time + burst under any failure."""

    def __init__(self):
        super().__init__()
        self.now, self.order = 0.0, itertools.count()
        self.rng = random.Random(0)
        self.limits = {ACCOUNT: (50.0, 12.0)}
        # Former limits that may stay in force until the given time.
        self.former = []
        self.naive = fleetsim.ReferenceBucket(50.0, 12.0)
        self.acquired, self.level, self.level_at = 0, 0.0, 0.0
        self.daemons, self.directory = {}, {}
        self.network, self.loss, self.slowest = [], 0.0, 0.05
        self.cut = ""
        self.incarnation, self.leaders, self.total = 0, [], None
        for name in "abc":
            self._start(name, 1.0)
        self._elect_leader(1.0)

    def _start(self, name, drift):
        self.incarnation += 1
        key = name, self.incarnation
        self.directory = {k: s for k, s in self.directory.items() if k[0] != name}
        self.directory[key] = "up"
        self.daemons[name] = Daemon(key, drift)
        self._change()

    def _elect_leader(self, drift):
        grantor = leases.Grantor()
        self.leaders.append((grantor, drift, self.now))
        grantor.on_elected(self.now * drift, len(self.leaders), self._state())
        in_force_until = self.now + RECOVERY_S + LIMIT_CHANGE_S
        self.former = [
            (in_force_until, r, b) for at, r, b in self.former if at >= self.now
        ]

    def _state(self):
        return fleetsim.state_of(self.limits, self.directory)

    def _change(self):
        if self.leaders:
            grantor, drift, _ = self.leaders[-1]
            grantor.on_state(self.now * drift, self._state())
        for daemon in self.daemons.values():
            daemon.holder.on_state(self.now * daemon.drift, self._state())

    def _in_force(self):
        """Return the largest rate and burst that may still be in force."""
        values = [self.limits.get(ACCOUNT, (0.0, 0.0))]
        values += [(r, b) for until, r, b in self.former if until >= self.now]
        return max(r for r, _ in values), max(b for _, b in values)

    def _update_reference_limits(self):
        """Update the reference bucket and the window check to the limits in force."""
        rate, burst = self._in_force()
        naive = self.naive
        naive.tokens += (self.now - naive.at) * naive.rate
        naive.tokens = min(naive.tokens, burst)
        self.level = max(0.0, self.level - (self.now - self.level_at) * naive.rate)
        if burst < naive.burst:
            self.level = 0.0
        naive.at = self.level_at = self.now
        naive.rate, naive.burst = rate, burst

    def _make_calls(self, daemon):
        for _ in range(daemon.calls):
            self.naive.acquire(self.now)
            result = daemon.holder.try_acquire(self.now * daemon.drift, ACCOUNT)
            if result.kind is not limits.AcquireStatus.ACQUIRED:
                return
            self.acquired += 1
            self.level += 1
            assert self.level <= self.naive.burst + 1e-6
            assert self.acquired <= self.naive.acquired

    def _send(self, action, key, *arguments):
        """Send a message that may be lost, delayed, reordered or duplicated."""
        if key[0] in self.cut:
            return
        arguments = (key, *arguments)
        copies = 2 if self.rng.random() < 0.1 else 1
        for _ in range(copies if self.rng.random() >= self.loss else 0):
            when = self.now + self.rng.random() ** 3 * self.slowest
            content = copy.deepcopy(arguments)
            heapq.heappush(self.network, (when, next(self.order), action, content))

    def _ping(self, daemon):
        now = self.now * daemon.drift
        holder = daemon.holder
        due = now >= daemon.pinged_at + 0.5
        if due or holder.needs_early_ping(now):
            daemon.pinged_at = now
            demands, shares = holder.demands(now), holder.report_shares(now)
            content = holder.raft_term, demands, shares
            self._send(self._answer, daemon.key, self.now, now, content)

    def _answer(self, key, sent, sent_at, content):
        """Answer a ping, possibly from the leader deposed since the ping was sent."""
        grantor, drift, elected_at = self.leaders[-1]
        if sent < elected_at and len(self.leaders) > 1 and self.rng.random() < 0.5:
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
            self._update_reference_limits()
            while self.network and self.network[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.network)
                action(*arguments)
            daemons = list(self.daemons.values())
            self.rng.shuffle(daemons)
            for daemon in daemons:
                self._make_calls(daemon)
                self._ping(daemon)
            self._check_bounds()

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.0, 0.3, 1.0]),
        slowest=strategies.sampled_from([0.02, 0.2, 1.0, 4.0]),
        cut=strategies.sampled_from(["", "", "a", "bc"]),
    )
    def change_network(self, loss, slowest, cut):
        self.loss, self.slowest, self.cut = loss, slowest, cut

    @stateful.rule(calls=strategies.tuples(*[strategies.sampled_from([0, 1, 40])] * 3))
    def change_load(self, calls):
        for daemon, most in zip(self.daemons.values(), calls, strict=True):
            daemon.calls = most

    @stateful.rule(drift=DRIFTS, name=NAMES, seed=strategies.integers(0, 1000))
    def replace_leader(self, drift, name, seed):
        """Replace the leader while grants for a surge are in transit."""
        for daemon in self.daemons.values():
            daemon.calls = 40 if daemon.key[0] == name else 0
        self.run_for(0.3, seed)
        self._elect_leader(drift)

    @stateful.rule(name=NAMES, drift=DRIFTS, calls=strategies.sampled_from([0, 40]))
    def restart(self, name, drift, calls):
        grantor, leader_drift, _ = self.leaders[-1]
        grantor.on_incarnation_terminated(
            self.now * leader_drift, *self.daemons[name].key
        )
        self._start(name, drift)
        self.daemons[name].calls = calls

    @stateful.rule(name=NAMES)
    def lose_or_find(self, name):
        """Mark a daemon without recent pings as lost, or a lost one as up again."""
        key = self.daemons[name].key
        grantor, drift, elected_at = self.leaders[-1]
        now = self.now * drift
        if self.directory[key] == "lost":
            self.directory[key] = "up"
        else:
            seen = grantor._last_ping.get(key, elected_at * drift)
            if now - seen < leases.SHARE_EXPIRY_S:
                return
            grantor.on_incarnation_terminated(now, *key)
            self.directory[key] = "lost"
        self._change()

    @stateful.rule(
        rate=strategies.sampled_from([0.0, 5.0, 50.0]),
        burst=strategies.sampled_from([0.5, 2.0, 12.0, 60.0]),
        gone=strategies.sampled_from([False, False, False, True]),
    )
    def change_account(self, rate, burst, gone):
        former = self.limits.get(ACCOUNT, (0.0, 0.0))
        in_force_until = self.now + LIMIT_CHANGE_S
        elected_at = self.leaders[-1][2]
        if self.now < elected_at + RECOVERY_S:
            in_force_until += RECOVERY_S
        self.former.append((in_force_until, *former))
        self.limits = {} if gone else {ACCOUNT: (rate, burst)}
        self._change()

    def _check_bounds(self):
        """Check that leases cover all shares and are within the limits in force."""
        grantor, drift, _ = self.leaders[-1]
        account = grantor._accounts.get(ACCOUNT)
        if account is None or grantor._unreported is not None:
            self.total = None
            return
        rate, burst = self._in_force()
        assert sum(h.rate for h in account.holders.values()) <= rate + 1e-6
        assert sum(h.burst for h in account.holders.values()) <= burst + 1e-6
        account.pool.refill(self.now * drift)
        total, counted = account.pool.tokens, []
        for daemon in self.daemons.values():
            now = self.now * daemon.drift
            daemon.holder.available(now, ACCOUNT)
            lease = daemon.holder._accounts.get(ACCOUNT)
            if lease is None:
                continue
            bound = account.holders.get(daemon.key, leases._Lease(0))
            assert lease.bucket.rate <= bound.rate + 1e-6
            assert lease.bucket.burst <= bound.burst + 1e-6
            if daemon.holder.raft_term == grantor.raft_term:
                counted.append(daemon.key)
                total += daemon.holder.available(now, ACCOUNT)
                total += self._tokens_in_transit(lease, bound)
        self._check_tokens(total, (grantor.raft_term, account.version, counted), rate)

    @staticmethod
    def _tokens_in_transit(lease, bound):
        """Return the tokens granted but not applied, or returned but not credited."""
        if bound.pending is None:
            returned = lease.returned - bound.credited
            return max(0.0, returned) if lease.grant == bound.confirmed else 0.0
        if lease.grant == bound.pending.number:
            return lease.returned
        returned = max(0.0, lease.returned - bound.credited)
        returned = returned if lease.grant == bound.confirmed else 0.0
        return bound.pending.tokens + returned

    def _check_tokens(self, total, counted, rate):
        """Check that only the rate adds tokens while the same daemons are counted."""
        if self.total is not None and self.total[1] == counted:
            before, _, acquired, at = self.total
            gained = rate * (self.now - at) - (self.acquired - acquired)
            assert total <= before + gained + 1e-6
        self.total = total, counted, self.acquired, self.now


SharesMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30
)
TestShares = SharesMachine.TestCase


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_demand_within_the_rate_is_seldom_refused(seed):
    """Guards against shares that follow traffic to other entries too slowly."""
    rng = random.Random(seed)
    fleet = fleetsim.Fleet(12, {ACCOUNT: (200.0, 200.0)}, delay_s=0.02)
    keys = list(fleet.holders)

    def pick(when):
        """Half of the calls use one entry that changes every 2 s, half use any."""
        return keys[int(when / 2) % 12] if rng.random() < 0.5 else rng.choice(keys)

    fleet.poisson(rng, ACCOUNT, 160.0, pick, 4.0, 34.0)
    fleet.run(35.0)
    assert fleet.offered[ACCOUNT] > 4000
    assert fleet.refused[ACCOUNT] <= 0.001 * fleet.offered[ACCOUNT]


def test_overloading_account_gets_nearly_its_full_rate():
    """Guards against rate that is lost between the pool and the holders."""
    rng = random.Random(1)
    fleet = fleetsim.Fleet(12, {ACCOUNT: (100.0, 50.0)}, delay_s=0.02)
    keys = list(fleet.holders)
    fleet.poisson(rng, ACCOUNT, 400.0, lambda _: rng.choice(keys), 4.0, 24.0)
    fleet.run(25.0)
    assert fleet.offered[ACCOUNT] - fleet.refused[ACCOUNT] >= 0.95 * 100 * 20


def test_every_active_holder_gets_a_whole_token():
    """Guards against capacities below one token, which never admit a call."""
    fleet = fleetsim.Fleet(10, {ACCOUNT: (50.0, 10.0)}, delay_s=0.02)
    rng = random.Random(1)
    keys = list(fleet.holders)
    fleet.poisson(rng, ACCOUNT, 40.0, lambda _: rng.choice(keys), 1.0, 9.0)
    fleet.run(9.0)
    shares = [holder.report_shares(9.0) for holder in fleet.holders.values()]
    assert all(share.burst >= 1 for [share] in shares)


def test_shares_resume_within_2_s_of_a_new_leader():
    """Guards against a new leader that always waits for a whole share lease."""
    fleet = fleetsim.Fleet(6, {ACCOUNT: (50.0, 50.0)}, delay_s=0.02)
    rng = random.Random(1)
    fleet.poisson(rng, ACCOUNT, 30.0, lambda _: ("d1", 1), 1.0, 6.0)
    fleet.run(3.0)
    fleet.grantor = leases.Grantor()
    fleet.grantor.on_elected(3.0, 2, fleet.state)
    fleet.run(5.0)
    assert not fleet.grantor.is_recovering(5.0)
    refused = fleet.refused[ACCOUNT]
    fleet.run(6.0)
    assert fleet.refused[ACCOUNT] == refused


AMOUNTS = strategies.floats(0.0, 100.0)


@hypothesis.given(AMOUNTS, strategies.lists(AMOUNTS, min_size=1, max_size=8))
def test_max_min_shares_equal_a_reference_division(total, demands):
    """Guards against shares above the total or the demand, or not max-min fair."""
    level = fairshare.water_level(total, demands)
    naive, remaining = [0.0] * len(demands), total
    for _ in range(2000):
        unmet = [i for i, d in enumerate(demands) if naive[i] < d - 1e-12]
        if not unmet or remaining <= 1e-12:
            break
        step = min(remaining / len(unmet), min(demands[i] - naive[i] for i in unmet))
        for i in unmet:
            naive[i] += step
            remaining -= step
    assert [min(d, level) for d in demands] == pytest.approx(naive, abs=1e-6)


def new_leader(accounts, daemons="ab", term=1):
    keys = dict.fromkeys([(name, 1) for name in daemons], "up")
    state = fleetsim.state_of(accounts, keys)
    grantor = leases.Grantor()
    grantor.on_elected(0.0, term, state)
    return grantor, state


def demand_for(rate):
    return [messages.Demand(ACCOUNT, rate, 2 * rate, 0.0)]


def test_shares_reported_under_an_earlier_term_are_not_taken_over():
    """Guards against a share that a delayed grant of an earlier leader enlarges."""
    grantor, _ = new_leader({ACCOUNT: (50.0, 50.0)}, daemons="a", term=2)
    share = messages.Share(ACCOUNT, 5.0, 5.0, 0.0, 3)
    assert grantor.on_ping(0.1, "a", 1, 1, demand_for(5.0), [share]) == []
    assert grantor.is_recovering(0.1)
    share.grant = 0
    [renewed] = grantor.on_ping(0.2, "a", 1, 2, [], [share])
    assert renewed.rate <= 5.0
    assert not grantor.is_recovering(0.2)


def test_pools_are_empty_after_a_recovery():
    """Guards against tokens that a new leader creates."""
    grantor, _ = new_leader({ACCOUNT: (50.0, 50.0)}, daemons="ab")
    grantor.on_ping(1.0, "a", 1, 1, [], [])
    assert grantor.is_recovering(3.0)
    assert not grantor.is_recovering(leases.SHARE_EXPIRY_S)
    assert grantor.dump(leases.SHARE_EXPIRY_S)[ACCOUNT]["pool_tokens"] == 0


def test_lowered_limit_holds_after_one_answer_to_each_holder():
    """Guards against shares that together exceed a lowered limit."""
    grantor, state = new_leader({ACCOUNT: (100.0, 100.0)}, daemons="abc")
    shares = [messages.Share(ACCOUNT, 30.0, 30.0, 0.0, 0)]
    for name in "abc":
        grantor.on_ping(0.1, name, 1, 1, [], shares)
    for name, rate in (("a", 40.0), ("b", 0.1), ("c", 0.1)):
        grantor.on_ping(0.2, name, 1, 1, demand_for(rate), shares)
    state.accounts[ACCOUNT].rate, state.accounts[ACCOUNT].burst = 9.0, 30.0
    grantor.on_state(0.3, state)
    answers = [
        grantor.on_ping(0.4 + index / 10, name, 1, 1, demand_for(90.0), shares)[0]
        for index, name in enumerate("abc")
    ]
    assert sum(answer.rate for answer in answers) <= 9.0 + 1e-9
    assert sum(answer.burst for answer in answers) <= 30.0 + 1e-9


def test_incarnation_gets_nothing_while_its_loss_is_committed():
    """Guards against a share that the next leader assumes to be expired."""
    grantor, _ = new_leader({ACCOUNT: (50.0, 50.0)}, daemons="a")
    grantor.on_incarnation_terminated(1.0, "a", 1)
    assert grantor.on_ping(1.1, "a", 1, 1, demand_for(5.0), []) == []
    assert grantor.on_ping(1.5, "a", 1, 1, demand_for(5.0), []) == []


def test_leader_reports_holders_without_capacity():
    """Guards against refusals whose cause no log line of the leader shows."""
    grantor, _ = new_leader({ACCOUNT: (1.0, 2.0)}, daemons="abc")
    share = messages.Share(ACCOUNT, 0.0, 1.0, 0.0, 0)
    for name, shares in (("a", [share]), ("b", [share]), ("c", [])):
        grantor.on_ping(0.1, name, 1, 1, demand_for(1.0), shares)
    [starvation] = grantor.starvations(0.2)
    assert (starvation.starved, starvation.holders) == (1, 3)
    assert starvation.leased_burst == 2.0
    assert "1 of 3 holders" in str(starvation)


@pytest.mark.parametrize("field", ["rate", "burst", "tokens"])
@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, -1.0])
def test_malformed_demand_of_one_daemon_spoils_no_grant(field, value):
    """Guards against one daemon's report that ends the answers to all pings."""
    grantor, _ = new_leader({ACCOUNT: (50.0, 50.0)}, daemons="ab")
    shares = {"a": [], "b": []}
    for step in range(1, 60):
        for name in "ab":
            reported = copy.deepcopy(shares[name])
            [demand] = demand_for(40.0)
            if name == "b":
                setattr(demand, field, value)
                for share in reported:
                    setattr(share, field, value)
            granted = grantor.on_ping(step / 10, name, 1, 1, [demand], reported)
            shares[name] = granted or shares[name]
            for share in granted:
                assert math.isfinite(share.rate) and share.rate >= 0
    assert shares["a"][0].rate > 0
