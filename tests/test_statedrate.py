"""Tests of the call path with targets that state how many calls they accept."""

import asyncio
import collections

import fleetparts
import helpers
import pytest

from toucanfold import headerformat, httpserver, statedrate

# Bound of the platform: what the rate allows in a window, by half more, and 5 calls.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
# Calls that miss their deadline of 0.5 s, since the whole fleet runs in one process.
MAX_LATE_FRACTION = 0.01


class LimitedTarget(fleetparts.Recorder):
    """A target that states a rate and records when calls arrive."""

    def __init__(self, rate):
        super().__init__(self._respond)
        self.rate = rate
        self.arrivals = []
        self.paths = []

    async def _respond(self, request):
        self.arrivals.append(asyncio.get_running_loop().time())
        self.paths.append(request.path)
        fields = []
        if self.rate is not None:
            fields.append((b"toucanfold-max-rate", str(self.rate).encode()))
        await asyncio.sleep(0.02)
        return httpserver.Response(200, fields, b"done")

    def most_in_window(self):
        """Return the largest number of arrivals in any window."""
        window, largest = collections.deque(), 0
        for arrival in self.arrivals:
            window.append(arrival)
            while window[0] <= arrival - WINDOW_S:
                window.popleft()
            largest = max(largest, len(window))
        return largest


async def call_steadily(addresses, rate, seconds):
    """Send calls at a rate to the addresses in turn; return the counts of outcomes."""
    paths = await call_paths(addresses, rate, seconds)
    return collections.Counter(
        {outcome: len(listed) for outcome, listed in paths.items()}
    )


async def call_paths(addresses, rate, seconds):
    """Send calls at a rate to the addresses in turn; return the paths by outcome."""
    paths = collections.defaultdict(list)

    async def call(address, path):
        reply = await fleetparts.fetch(address, path=path, toucanfold_timeout_ms="500")
        paths[reply.headers["toucanfold-outcome"]].append(path)

    tasks = []
    for number in range(int(rate * seconds)):
        address = addresses[number % len(addresses)]
        tasks.append(asyncio.ensure_future(call(address, f"/{number}")))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    return paths


async def limited_fleet(fleet, rate):
    """Start an entry of another service and a daemon beside a limited target."""
    target = LimitedTarget(rate)
    address = await fleet.target(target)
    other = await fleet.target(fleetparts.Recorder())
    await fleet.daemon("entry", "other", other)
    await fleet.daemon("b", "shop", address)
    return target, address


def allowed(rate):
    return EXCESS_FACTOR * rate * WINDOW_S + EXCESS_CALLS


@pytest.mark.parametrize("rate", [4.0, 12.5])
def test_target_gets_no_more_calls_than_it_states(rate):
    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state(admission="fair")) as fleet:
            target, _ = await limited_fleet(fleet, rate)
            paths = await call_paths(
                [fleet.address("entry"), fleet.address("b")], 10 * rate, 5.0
            )
            assert target.most_in_window() <= allowed(rate)
            assert len(set(target.paths)) == len(target.paths)
            assert set(paths["ran"]) <= set(target.paths)
            assert not set(paths["not-run"]) & set(target.paths)
            assert len(paths["ran"]) >= 0.8 * rate * 5.0
            assert len(paths["unknown"]) <= MAX_LATE_FRACTION * 10 * rate * 5.0
            assert set(paths) <= {"ran", "not-run", "unknown"}

    helpers.run(scenario())


def test_restarted_daemon_does_not_exceed_the_rate_stated_before():
    async def scenario():
        state = fleetparts.fleet_state(admission="fair")
        async with fleetparts.Fleet(state) as fleet:
            target, address = await limited_fleet(fleet, 4.0)
            calling = asyncio.ensure_future(
                call_steadily([fleet.address("entry")], 40, 4.5)
            )
            await asyncio.sleep(2.0)
            fleet.daemons["b"].stop()
            await asyncio.sleep(0.3)
            await fleet.daemon("b", "shop", address)
            await calling
            assert target.most_in_window() <= allowed(4.0)
            assert target.arrivals[-1] - target.arrivals[0] > 3.0

    helpers.run(scenario())


def test_other_targets_take_the_calls_above_a_stated_rate():
    async def scenario():
        state = fleetparts.fleet_state(admission="fair")
        async with fleetparts.Fleet(state) as fleet:
            target, _ = await limited_fleet(fleet, 5.0)
            free = LimitedTarget(None)
            await fleet.daemon("c", "shop", await fleet.target(free))
            outcomes = await call_steadily([fleet.address("entry")], 50, 4.5)
            assert outcomes["ran"] >= 0.99 * outcomes.total()
            assert target.most_in_window() <= allowed(5.0)

    helpers.run(scenario())


def test_target_that_states_no_rate_any_more_gets_all_calls_again():
    async def scenario():
        state = fleetparts.fleet_state(admission="fair")
        async with fleetparts.Fleet(state) as fleet:
            target, _ = await limited_fleet(fleet, 2.0)
            await call_steadily([fleet.address("entry")], 20, 1.5)
            target.rate = None
            await call_steadily([fleet.address("entry")], 20, 1.0)
            outcomes = await call_steadily([fleet.address("entry")], 50, 1.0)
            assert outcomes == {"ran": 50}

    helpers.run(scenario())


def test_late_response_without_a_rate_does_not_end_the_stated_one():
    """Guards against responses of concurrent calls that are read out of order."""
    stated = statedrate.StatedRate()
    stated.on_response(10.0, sent_at=9.8, rate=4.0)
    stated.on_response(10.1, sent_at=9.9, rate=None)
    assert stated.rate == 4.0
    stated.on_response(10.3, sent_at=10.2, rate=None)
    assert stated.rate is None
    assert stated.wait_s(10.3) == 0.0


@pytest.mark.parametrize("rate", [0.0, 0.2])
def test_rate_near_zero_leaves_a_call_that_can_tell_its_end(rate):
    stated = statedrate.StatedRate()
    stated.on_response(0.0, sent_at=-1.0, rate=rate)
    now, sent = 0.0, 0
    while now < 20.0:
        now += max(0.001, stated.wait_s(now))
        stated.on_sent(now)
        sent += 1
    assert 2 <= sent <= 12


@pytest.mark.parametrize("text", [b"-1", b"nan", b"inf", b"1e9", b"", b"12,5", b"0x1"])
def test_malformed_rate_states_nothing(text):
    assert headerformat.parse_rate(text) is None


@pytest.mark.parametrize("rates", [(4.0, 40.0), (6.7, 16.3), (4.0, 8.0, 40.0)])
def test_raised_rate_exceeds_no_window_that_began_at_the_lower_one(rates):
    """Guards against a burst when a target in need raises the rate that it states."""
    stated, sent, now = statedrate.StatedRate(), [], 0.0
    changes = [(index * 3.0, rate) for index, rate in enumerate(rates)]
    while now < 25.0:
        while changes and changes[0][0] <= now:
            stated.on_response(now, now, changes.pop(0)[1])
        if stated.wait_s(now) <= 0:
            stated.on_sent(now)
            sent.append(now)
        now += 0.005
    for start in sent:
        in_window = [
            rate
            for index, rate in enumerate(rates)
            if index * 3.0 < start + WINDOW_S
            and (index + 1 == len(rates) or (index + 1) * 3.0 > start)
        ]
        count = sum(start <= at < start + WINDOW_S for at in sent)
        assert count <= EXCESS_FACTOR * WINDOW_S * min(in_window) + EXCESS_CALLS
    recent = sum(at > 21.0 for at in sent)
    assert recent == pytest.approx(4.0 * rates[-1], rel=0.1)
