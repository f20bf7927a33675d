"""Tests that targets which leave get no further calls, whoever restarts meanwhile."""

import asyncio
import random

import fleetparts
import helpers
import pytest
from test_statedrate import call_steadily

from toucanfold import calls, commands, httpserver, model, router, store, targetstatus

LEAVING = [(b"toucanfold-leaving", b"1")]


class LeavingTarget(fleetparts.Recorder):
    """A target that states it is leaving while the attribute is set."""

    def __init__(self):
        super().__init__(self._respond)
        self.is_leaving = False

    async def _respond(self, request):
        return httpserver.Response(200, LEAVING if self.is_leaving else [], b"done")


def announced_status(sequence=1, started_at_ms=1000):
    """Return the status of a target that has announced itself as ready."""
    status = targetstatus.TargetStatus(require_announcement=True)
    status.on_announcement(
        0.0, targetstatus.Announcement("i-1", started_at_ms, sequence, True, 8)
    )
    return status


@pytest.mark.parametrize("is_announced", [True, False])
def test_no_call_reaches_a_target_once_it_stated_that_it_leaves(is_announced):
    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            leaving, free = LeavingTarget(), LeavingTarget()
            status = announced_status() if is_announced else None
            await fleet.daemon(
                "a", "shop", await fleet.target(leaving), target_status=status
            )
            await fleet.daemon("b", "shop", await fleet.target(free))
            addresses = [fleet.address("a"), fleet.address("b")]
            await call_steadily(addresses, 100, 0.5)
            assert leaving.requests
            leaving.is_leaving = True
            while fleet.daemons["a"].target_status.accepts_calls:
                await call_steadily(addresses, 100, 0.05)
            received = len(leaving.requests)
            outcomes = await call_steadily(addresses, 100, 0.5)
            assert len(leaving.requests) == received
            assert outcomes == {"ran": 50}

    helpers.run(scenario())


def test_entry_avoids_a_leaving_target_whose_daemon_restarted():
    """Guards against calls to a leaving target that its new daemon takes for ready."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            leaving, free = LeavingTarget(), LeavingTarget()
            leaving.is_leaving = True
            address = await fleet.target(leaving)
            status = announced_status()
            old = await fleet.daemon("a", "shop", address, target_status=status)
            other = await fleet.target(fleetparts.Recorder())
            await fleet.daemon("entry", "other", other)
            fleet.state.targets["a"].target_instance = status.label
            fleet.source.publish()
            await call_steadily([fleet.address("entry")], 100, 0.05)
            assert len(leaving.requests) == 1
            old.stop()
            await fleet.daemon("b", "shop", await fleet.target(free))
            new_status = announced_status(sequence=2)
            await fleet.daemon("a", "shop", address, target_status=new_status)
            fleet.state.targets["a"].target_instance = new_status.label
            fleet.source.publish()
            outcomes = await call_steadily([fleet.address("entry")], 100, 0.5)
            assert len(leaving.requests) == 1
            assert outcomes == {"ran": 50}

    helpers.run(scenario())


def test_restarted_unannounced_target_gets_calls_again():
    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            target = LeavingTarget()
            server = httpserver.Server(target, httpserver.Limits())
            address = helpers.free_address()
            await server.listen(address)
            await fleet.daemon("a", "shop", address)
            target.is_leaving = True
            await call_steadily([fleet.address("a")], 100, 0.1)
            assert len(target.requests) == 1
            server.stop()
            await asyncio.sleep(1.2)
            target.is_leaving = False
            server = httpserver.Server(target, httpserver.Limits())
            await server.listen(address)
            fleet.stack.callback(server.stop)
            status = fleet.daemons["a"].target_status
            await helpers.eventually(lambda: status.accepts_calls)
            outcomes = await call_steadily([fleet.address("a")], 100, 0.1)
            assert outcomes == {"ran": 10}

    helpers.run(scenario())


def test_restarted_daemon_sends_no_call_to_a_target_that_was_leaving_before():
    """Guards against a leaving target without announcements that is used again."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            leaving = LeavingTarget()
            leaving.is_leaving = True
            address = await fleet.target(leaving)
            old = await fleet.daemon("a", "shop", address)
            await call_steadily([fleet.address("a")], 100, 0.1)
            assert len(leaving.requests) == 1
            departed = old.target_status.departed
            old.stop()
            new = await fleet.daemon("a", "shop", address)
            fleet.state.targets["a"].departed = departed
            fleet.source.publish()
            outcomes = await call_steadily([fleet.address("a")], 100, 0.1)
            assert (len(leaving.requests), outcomes) == (1, {"not-run": 10})
            new.target_status.on_restarted()
            fleet.source.publish()
            assert new.target_status.accepts_calls

    helpers.run(scenario())


def test_old_departure_of_an_unannounced_target_is_ignored():
    status = targetstatus.TargetStatus()
    assert not status.on_recorded_departure(100.0, "40000/unannounced")
    assert status.on_recorded_departure(100.0, "40001/unannounced")


def announce(fleet, incarnation, state="up", instance="1000/i-1", departed=""):
    target = model.Target(
        "t", incarnation, "s", "r", "d", "127.0.0.1:1", state, 0, instance, departed
    )
    command = commands.AnnounceTarget(target=target.to_json())
    fleet.apply(fleet.state.revision + 1, commands.encode(command))
    return fleet.state.targets["t"]


def test_restarted_daemon_cannot_announce_an_instance_that_left():
    """Guards against a delayed announcement that a daemon gets after its restart."""
    fleet = store.FleetStore()
    assert announce(fleet, 1).state == "up"
    assert announce(fleet, 1, "waiting", departed="1000/i-1").state == "waiting"
    assert announce(fleet, 2, "waiting", instance="").departed == "1000/i-1"
    assert announce(fleet, 2).state == "waiting"
    assert announce(fleet, 2, instance="2000/i-1").state == "up"


def test_recorded_departure_outlasts_a_delayed_announcement():
    status = announced_status()
    assert status.on_recorded_departure(5.0, "1000/i-1")
    assert not status.accepts_calls
    late = targetstatus.Announcement("i-1", 1000, 9, True, 8)
    assert not status.on_announcement(1.0, late)
    restarted = targetstatus.Announcement("i-1", 2000, 1, True, 8)
    assert status.on_announcement(2.0, restarted)
    assert status.accepts_calls


def test_statement_of_an_earlier_instance_does_not_stop_its_successor():
    status = announced_status()
    label = status.label
    status.on_announcement(1.0, targetstatus.Announcement("i-2", 2000, 1, True, 8))
    assert not status.on_leaving(2.0, label)
    assert status.accepts_calls


def test_router_uses_the_successor_of_a_leaving_instance():
    state = fleetparts.fleet_state()
    target = model.Target("t", 1, "shop", "r1", "d1", "127.0.0.1:1")
    target.target_instance = "1000/i-1"
    state.targets["t"] = target
    targets = router.Router("me", "r1", "d1", 0, random.Random(1))
    targets.update(0.0, state)
    targets.on_answer(1.0, "t", calls.Answer(200, departing="1000/i-1"), 0.1)
    assert targets.describe(1.0) == []
    target.target_instance = "2000/i-1"
    targets.update(2.0, state)
    assert [item["target"] for item in targets.describe(2.0)] == ["t"]
