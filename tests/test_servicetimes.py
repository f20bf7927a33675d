"""Tests of calls refused because the target is expected to take too long."""

import asyncio
import collections

import fleetparts
import helpers
from test_dispatch import make_call

from toucanfold import (
    admission,
    calls,
    dispatch,
    httpclient,
    httpserver,
    limiter,
    metrics,
    servicetimes,
)

SLOW_S = 0.4
DEADLINE_S = 0.3


class Target(fleetparts.Recorder):
    """Responds after the time (s) set for the path."""

    def __init__(self, delays):
        super().__init__(self._respond)
        self.delays = delays

    async def _respond(self, request):
        await asyncio.sleep(self.delays[request.path])
        return httpserver.Response(200, [], b"done")


async def start_dispatcher(fleet, target):
    dispatcher = dispatch.Dispatcher(
        httpclient.Pool(await fleet.target(target), 50),
        calls.TokenTable(),
        metrics.Metrics(),
        limiter.Fixed(40),
        admission.FairQueue(),
    )
    dispatcher.start()
    fleet.stack.callback(dispatcher.stop)
    return dispatcher


async def run_calls(dispatcher, path, count, deadline_s):
    """Run calls of a route one after the other; return their statuses."""
    statuses = collections.Counter()
    for _ in range(count):
        call = make_call(deadline_s, path=path, route=path)
        statuses[(await dispatcher.run(call)).status] += 1
    return statuses


def test_slow_calls_of_one_route_refuse_no_calls_of_a_fast_one():
    """Guards against nested calls refused by the mean time of other calls."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            target = Target({"/slow": SLOW_S, "/fast": 0.005})
            dispatcher = await start_dispatcher(fleet, target)
            slow = [run_calls(dispatcher, "/slow", 5, 5.0) for _ in range(20)]
            slow_tasks = [asyncio.ensure_future(each) for each in slow]
            await asyncio.sleep(3 * SLOW_S)
            fast = await run_calls(dispatcher, "/fast", 20, DEADLINE_S)
            await asyncio.gather(*slow_tasks)
            return fast

    assert helpers.run(scenario()) == {200: 20}


def test_route_that_became_fast_again_is_served_within_2_s():
    """Guards against an estimate that refuses the calls which would lower it."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            target = Target({"/a": SLOW_S})
            dispatcher = await start_dispatcher(fleet, target)
            await asyncio.gather(
                *(run_calls(dispatcher, "/a", 1, 5.0) for _ in range(20))
            )
            refused = await run_calls(dispatcher, "/a", 20, DEADLINE_S)
            target.delays["/a"] = 0.005
            served = collections.Counter()
            for _ in range(40):
                served = await run_calls(dispatcher, "/a", 1, DEADLINE_S)
                if served[200]:
                    break
                await asyncio.sleep(0.05)
            return refused, served

    refused, served = helpers.run(scenario())
    assert refused == {504: 20}
    assert served == {200: 1}


def test_expected_time_is_ignored_once_a_second_without_samples():
    times = servicetimes.ServiceTimes()
    assert times.expected_s(0.0, "a") == 0.0
    times.record(0.0, "a", 0.5)
    assert times.expected_s(0.9, "a") == 0.5
    assert [times.expected_s(at, "a") for at in (1.1, 1.2, 2.0)] == [0.0, 0.5, 0.5]
    assert times.expected_s(2.2, "a") == 0.0
    times.record(2.3, "a", 0.1)
    assert 0.1 < times.expected_s(2.4, "a") < 0.5
