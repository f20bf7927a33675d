import asyncio
import time

import fleetparts
import helpers

from toucanfold import holderselection, link, metrics, model, peers, remotetokens

RETRY_AFTER_S = 0.25


class Local:
    """Rate limiter with a number of tokens, instead of a share of control."""

    def __init__(self, tokens=0):
        self.tokens = tokens
        self.asked = 0
        self.gate = None

    async def acquire(self, account, remaining_s):
        self.asked += 1
        if self.gate is not None:
            await self.gate.wait()
        if self.tokens < 1:
            return RETRY_AFTER_S
        self.tokens -= 1
        return 0.0

    def describe(self, account):
        return f"{self.tokens} tokens of {account}"


class Daemons:
    """Daemons of one data centre, each with its links and rate limiter."""

    def __init__(self):
        self.state = model.FleetState()
        self.locals = {}
        self.limiters = {}
        self.links = {}
        self.selectors = {}

    async def add(self, name, tokens=0):
        identity = link.Identity("f", fleetparts.SECRET, "daemon", name, 1)
        links = peers.Peers(identity, "s", None)
        address = helpers.free_address()
        await links.listen(address)
        self.locals[name] = Local(tokens)
        self.selectors[name] = holderselection.HolderSelector("r", "d", name)
        self.limiters[name] = remotetokens.DelegatingRateLimiter(
            self.locals[name], self.selectors[name], links, metrics.Metrics("", "t")
        )
        links.account_tokens = self.limiters[name]
        self.links[name] = links
        self.state.targets[name] = model.Target(name, 1, "s", "r", "d", address)

    def publish(self):
        for selector in self.selectors.values():
            selector.on_state(self.state)

    def entry_and_holders(self, account):
        """Return an entry that is no candidate, and its candidates, best first."""
        for name, selector in self.selectors.items():
            candidates = [target.name for target in selector.candidates(account)]
            if len(candidates) == holderselection.MAX_CANDIDATES:
                return name, candidates
        raise AssertionError("no entry without a share")


def scenario(check, capacity=3.0, daemons="abc"):
    async def body():
        fleet = Daemons()
        for name in daemons:
            await fleet.add(name)
        fleet.state.accounts["acme"] = model.Account("acme", 1.0, capacity)
        fleet.publish()
        try:
            await check(fleet, *fleet.entry_and_holders("acme"))
        finally:
            for links in fleet.links.values():
                links.stop()

    helpers.run(body())


def test_entries_get_no_more_tokens_than_their_holder_has():
    """Guards against tokens that each entry takes from its own share as well."""

    async def check(fleet, entry, holders):
        fleet.locals[holders[0]].tokens = 5
        fleet.locals[entry].tokens = 100
        acquire = fleet.limiters[entry].acquire
        results = await asyncio.gather(*[acquire("acme", 2.0) for _ in range(20)])
        assert results.count(0.0) == 5
        assert results.count(RETRY_AFTER_S) == 15
        assert fleet.locals[entry].asked == 0
        expected = f"held by {holders[0]}: 0 tokens of acme"
        assert fleet.limiters[entry].describe("acme") == expected

    scenario(check)


def test_frozen_holder_is_replaced_in_time_and_not_asked_again_at_once():
    """Guards against calls that fail because one daemon does not reply."""

    async def check(fleet, entry, holders):
        frozen, other = (fleet.locals[name] for name in holders)
        frozen.gate = asyncio.Event()
        other.tokens = 10
        started_at = time.monotonic()
        assert await fleet.limiters[entry].acquire("acme", 0.8) == 0.0
        assert time.monotonic() - started_at < 0.5
        assert await fleet.limiters[entry].acquire("acme", 0.8) == 0.0
        assert (frozen.asked, other.asked) == (1, 2)

    scenario(check)


def test_lost_link_continues_the_waiting_calls_at_another_holder():
    """Guards against calls that wait for a reply that can no longer arrive."""

    async def check(fleet, entry, holders):
        first, second = holders
        fleet.locals[first].gate = asyncio.Event()
        fleet.locals[second].tokens = 1
        waiting = asyncio.ensure_future(fleet.limiters[entry].acquire("acme", 20.0))
        await helpers.eventually(lambda: fleet.locals[first].asked == 1)
        started_at = time.monotonic()
        fleet.links[first].stop()
        assert await waiting == 0.0
        assert time.monotonic() - started_at < 0.3

    scenario(check)


def test_entry_without_reachable_holders_uses_its_own():
    """Guards against refusals while an entry still reaches control."""

    async def check(fleet, entry, holders):
        for name in holders:
            fleet.links[name].stop()
        fleet.locals[entry].tokens = 1
        assert await fleet.limiters[entry].acquire("acme", 2.0) == 0.0

    scenario(check)


def test_cancelled_call_leaves_no_pending_request():
    """Guards against memory that grows with callers who leave."""

    async def check(fleet, entry, holders):
        fleet.locals[holders[0]].gate = asyncio.Event()
        waiting = asyncio.ensure_future(fleet.limiters[entry].acquire("acme", 2.0))
        await helpers.eventually(lambda: fleet.locals[holders[0]].asked == 1)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert not fleet.limiters[entry]._pending

    scenario(check)


def test_requests_at_all_entries_take_their_tokens_at_one_holder():
    """Guards against daemons whose entry or links are not wired to the holders."""

    async def body():
        state = fleetparts.fleet_state()
        state.accounts["acme"] = model.Account("acme", 1.0, 3.0)
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.target(fleetparts.Recorder())
            local = {name: Local(4) for name in "abcde"}
            for name, limiter in local.items():
                await fleet.daemon(name, "shop", target, rate=limiter)
            replies = [
                await fleetparts.fetch(fleet.address(name)) for name in "abcdeabcde"
            ]
        statuses = [reply.status for reply in replies]
        assert statuses == [200] * 4 + [429] * 6
        assert sorted(limiter.tokens for limiter in local.values()) == [0, 4, 4, 4, 4]

    helpers.run(body())
