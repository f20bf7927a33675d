"""Targets that report, leave and are replaced while their daemons restart."""

import asyncio
import json

import pytest
import targetsim

SEEDS = (*range(1, 25), 62, 73, 97, 100, 175, 263, 322, 365, 441, 548, 590)


def check(script, seed=1):
    """Play a script without random disturbances; it must break no rule."""

    async def settle_and_run(world):
        world.is_disturbed = False
        start = world.begin("shop", True)
        reporting = asyncio.ensure_future(world.report_until(start, 2.0))
        await asyncio.sleep(3.0)
        await reporting
        assert world.has_placed_call("shop")
        await script(world, start)

    world = targetsim.play(seed, settle_and_run)
    assert not world.faults, "\n".join(world.trace)


async def confirm(world, start, way):
    """Let a target leave; return whether that is confirmed within a second."""
    start.is_leaving = True
    send = world.report_draining if way == "drain" else world.withdraw
    is_confirmed = await send(start)
    if is_confirmed:
        start.departure_confirmed_at = world.now
    return is_confirmed


@pytest.mark.parametrize("way", ["drain", "withdraw"])
def test_confirmed_departure_outlasts_a_kill_of_the_daemon(way):
    """Guards against a departure that is confirmed before it is recorded."""

    async def script(world, start):
        late = json.dumps(start.report("ready", world.target_address)).encode()
        assert await confirm(world, start, way)
        await world.end_daemon("SIGKILL")
        await asyncio.sleep(1.0)
        await world.deliver(start, late)
        await world.watch_for(6.0)

    check(script)


@pytest.mark.parametrize("way", ["drain", "withdraw"])
def test_departure_is_confirmed_only_while_control_has_a_majority(way):
    """Guards against a promise that is lost with the daemon, as nobody recorded it."""

    async def script(world, start):
        late = json.dumps(start.report("ready", world.target_address)).encode()
        world.replica.majority.clear()
        is_confirmed = await confirm(world, start, way)
        await world.end_daemon("SIGKILL")
        world.replica.majority.set()
        await asyncio.sleep(1.0)
        await world.deliver(start, late)
        await world.watch_for(6.0)
        assert not is_confirmed
        assert await confirm(world, start, way)

    check(script)


@pytest.mark.parametrize("way", ["drain", "withdraw"])
@pytest.mark.parametrize("number", ["SIGTERM", "SIGKILL"])
def test_restarted_daemon_keeps_the_departure_that_it_confirms(way, number):
    """Guards against a departure that is confirmed for an unknown instance."""

    async def script(world, start):
        late = json.dumps(start.report("ready", world.target_address)).encode()
        await world.end_daemon(number)
        while not await confirm(world, start, way):
            await asyncio.sleep(0.1)
        await world.deliver(start, late)
        await world.watch_for(6.0)

    check(script)


def test_target_is_used_after_the_clock_of_its_machine_was_set_back():
    """Guards against announcements that count as older than a former daemon's."""

    async def script(world, start):
        for error_s in (10.0, 0.0):
            world.clock_error_s = error_s
            await world.end_daemon("SIGKILL")
            await asyncio.sleep(1.0)
        await world.report_until(start, world.now + 8.0)
        assert world.has_placed_call("shop")
        assert await confirm(world, start, "drain")

    check(script)


@pytest.mark.parametrize("spoil", targetsim.SPOILERS)
def test_report_of_another_writer_changes_nothing(spoil):
    """Guards against a caller's service that a report of another target changes, and
    against a departure without effect after such a report.
    """

    async def script(world, start):
        for _ in range(8):
            await world.report_as_another_writer(spoil)
            await world.watch_for(0.2)
        assert world.has_placed_call("shop")
        assert await confirm(world, start, "drain")
        await world.watch_for(5.0)

    check(script)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_lives_of_targets_break_no_rule(seed):
    """Guards against calls to targets that left, and callers of the wrong service."""
    world = targetsim.play(seed)
    assert not world.faults, "\n".join(world.trace)
