"""Tests of requests under which targets end, from the decision to real connections."""

import asyncio
import contextlib
import random
import socket

import fleetparts
import helpers
import hypothesis
import pytest
from hypothesis import strategies
from test_router import call, target

from toucanfold import (
    calls,
    commands,
    crashes,
    crashguard,
    forward,
    httpserver,
    leadership,
    link,
    messages,
    metrics,
    model,
    restartwatch,
    retries,
    router,
    store,
    targetstatus,
)

CRASHING, FIRST, SECOND = (bytes([number]) * 16 for number in (1, 2, 3))


def test_request_is_quarantined_once_it_alone_repeats():
    """Guards against more targets that end under a request than are needed."""
    ledger = crashes.CrashLedger()
    assert ledger.on_crash(0.0, "c1", [CRASHING, FIRST]) == []
    assert ledger.on_crash(0.2, "c2", [CRASHING, SECOND]) == [CRASHING]
    assert ledger.is_quarantined(0.3, CRASHING)
    assert not ledger.is_quarantined(0.3, FIRST)


def test_requests_that_only_ran_beside_a_crashing_one_are_not_quarantined():
    """Guards against a quarantine of requests that were only sent again with it."""
    ledger = crashes.CrashLedger()
    ledger.on_crash(0.0, "c1", [CRASHING, FIRST])
    assert ledger.on_crash(0.2, "c2", [CRASHING, FIRST]) == []
    ledger.on_completed(FIRST)
    assert ledger.on_crash(0.4, "c3", [CRASHING, FIRST]) == [CRASHING]
    assert not ledger.is_quarantined(0.5, FIRST)


def test_request_is_not_quarantined_while_others_of_its_crash_are_unknown():
    """Guards against a quarantine of the unrelated one of two repeated requests."""
    ledger = crashes.CrashLedger()
    ledger.on_crash_under(0.0, "c1", [FIRST])
    assert ledger.on_crash(0.2, "c2", [CRASHING, FIRST]) == []
    assert ledger.on_crash(0.3, "c1", [CRASHING, FIRST]) == []
    ledger.on_completed(FIRST)
    assert ledger.on_crash(0.4, "c3", [CRASHING]) == [CRASHING]


def test_requests_beside_a_quarantined_one_are_cleared():
    """Guards against suspicion that a known cause has explained."""
    ledger = crashes.CrashLedger()
    ledger.on_crash(0.0, "c1", [CRASHING, FIRST])
    assert ledger.on_crash(0.2, "c2", [CRASHING, SECOND]) == [CRASHING]
    assert ledger.on_crash(0.3, "c3", [CRASHING, FIRST]) == []
    assert ledger.suspected == 0
    assert ledger.on_crash(0.4, "c4", [FIRST]) == []


def test_crashes_without_a_cause_quarantine_none_that_completes():
    """Guards against quarantines of popular requests while targets flap."""
    ledger = crashes.CrashLedger()
    for number in range(50):
        ledger.on_crash(
            number * 1.0, f"c{number}", [FIRST, bytes(15) + bytes([number])]
        )
        ledger.on_completed(FIRST)
    assert ledger.quarantined == 0


def test_repeated_reports_of_one_crash_count_once():
    """Guards against a quarantine after one crash that several instances report."""
    ledger = crashes.CrashLedger()
    ledger.on_crash_under(0.0, "c1", [CRASHING])
    for _ in range(3):
        assert ledger.on_crash(0.1, "c1", [CRASHING]) == []
    assert ledger.crashes_of(0.2, CRASHING) == 1


def test_suspicion_and_quarantine_end():
    """Guards against requests that are held back for ever."""
    ledger = crashes.CrashLedger()
    ledger.on_crash(0.0, "c1", [CRASHING, FIRST])
    ledger.on_crash(1.0, "c2", [CRASHING])
    ends_at = 1.0 + crashes.QUARANTINE_S
    assert ledger.crashes_of(crashes.SUSPICION_S + 0.1, FIRST) == 0
    assert ledger.retry_after_s(2.0, CRASHING) == pytest.approx(ends_at - 2.0)
    assert not ledger.is_quarantined(ends_at, CRASHING)
    # A former quarantine is renewed by a single crash.
    assert ledger.on_crash(ends_at + 5.0, "c3", [CRASHING]) == [CRASHING]


def test_lifted_quarantine_allows_the_request_again():
    """Guards against an instance that reports a lifted quarantine again."""
    ledger = crashes.CrashLedger()
    ledger.on_crash(0.0, "c1", [CRASHING])
    ledger.on_crash(0.2, "c2", [CRASHING])
    assert ledger.unrecorded(0.3) == [CRASHING]
    ledger.on_recorded(0.4, [CRASHING])
    assert ledger.unrecorded(0.5) == []
    ledger.on_recorded(9.0, [])
    assert not ledger.is_quarantined(9.1, CRASHING)
    assert ledger.unrecorded(9.1) == []


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 40), strategies.integers(0, 4000)),
        max_size=60,
    )
)
def test_memory_of_the_ledger_is_bounded(events):
    """Guards against a ledger that grows with the number of different requests."""
    ledger = crashes.CrashLedger()
    for crash, first in events:
        digests = [number.to_bytes(16, "big") for number in range(first, first + 300)]
        ledger.on_crash(crash * 0.1, str(crash), digests)
    assert ledger.suspected <= crashes.MAX_SUSPECTS
    assert ledger.quarantined <= crashes.MAX_QUARANTINED


def test_repetitions_have_one_digest_and_other_requests_another():
    """Guards against repetitions that are not recognized, and against mix-ups."""
    fields = {"service": "s", "method": "POST", "path": "/a?b=1", "body": b"x"}
    first = call(**fields, root_id="r1", headers=[(b"host", b"h"), (b"date", b"1")])
    again = call(**fields, root_id="r2", headers=[(b"host", b"h"), (b"date", b"2")])
    assert crashes.digest_of(first) == crashes.digest_of(again)
    for name, value in (
        ("service", "t"),
        ("method", "PUT"),
        ("path", "/a?b=2"),
        ("body", b"y"),
        ("headers", [(b"host", b"other")]),
    ):
        other = call(**{**fields, "headers": [(b"host", b"h")], name: value})
        assert crashes.digest_of(other) != crashes.digest_of(first), name


class ModelFleet:
    """Daemons with model targets that end under crashing requests, in virtual time."""

    WORK_S = 0.15
    RESTART_S = 3.0
    LINK_S = 0.012

    def __init__(self, size, is_guarded):
        self.crashed = 0
        self.state = model.FleetState()
        self.state.revision = 1
        names = [f"t{number}" for number in range(size)]
        for number in range(size):
            item = target(number)
            self.state.targets[item.name] = item
        self.nodes = {name: ModelNode(self, name, is_guarded) for name in names}


class ModelNode:
    """A daemon and its target."""

    def __init__(self, fleet, name, is_guarded):
        self.fleet, self.name = fleet, name
        self.loop = asyncio.get_running_loop()
        self.down_until = 0.0
        self.running = {}
        self.guard = None
        runner = self
        if is_guarded:
            ledger = crashes.CrashLedger()
            self.guard = crashguard.CrashGuard(
                name,
                ledger,
                self,
                metrics.Metrics(),
                lambda: list(fleet.state.targets.values()),
            )
            runner = crashguard.SuspectRunner(self.guard, self)
        self.runner = runner
        own = fleet.state.targets[name]
        routed = router.Router(
            name, own.region, own.data_centre, 10**9, random.Random(1)
        )
        routed.update(0.0, fleet.state)
        self.sender = forward.RetryingSender(
            name,
            routed,
            retries.RetryBudgets(),
            runner,
            ModelLinks(fleet),
            lambda: fleet.state,
            clock=self.loop.time,
            guard=self.guard,
        )

    def broadcast(self, message):
        pass

    def post(self, chosen, message):
        node = self.fleet.nodes[chosen.name]
        self.loop.call_later(ModelFleet.LINK_S, node.guard.on_report, message)

    async def run(self, sent):
        if self.loop.time() < self.down_until:
            return calls.refuse(calls.RefusalKind.NO_TARGET, "the target has ended")
        ended = self.loop.create_future()
        self.running[ended] = sent
        work_s = ModelFleet.WORK_S
        if sent.path == "/crash":
            self.loop.call_later(0.8 * work_s, self._crash, ended)
        done, _ = await asyncio.wait({ended}, timeout=work_s)
        self.running.pop(ended, None)
        if not done:
            return calls.Answer(status=200, limit=20)
        answer = calls.refuse(
            calls.RefusalKind.TARGET_FAILED, "closed", calls.Outcome.UNKNOWN
        )
        answer.crash = ended.result()
        return answer

    def _crash(self, cause):
        if cause not in self.running:
            return
        self.fleet.crashed += 1
        crash = f"{self.name}-{self.fleet.crashed}"
        self.down_until = self.loop.time() + ModelFleet.RESTART_S
        if self.guard is not None:
            self.guard.on_crash(crash, list(self.running.values()))
        for ended in self.running:
            if not ended.done():
                ended.set_result(crash)


class ModelLinks:
    """Runs calls at the other daemons of a ModelFleet."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def run(self, chosen, sent):
        await asyncio.sleep(ModelFleet.LINK_S)
        answer = await self._fleet.nodes[chosen.name].runner.run(sent)
        await asyncio.sleep(ModelFleet.LINK_S)
        return answer


async def _play(is_guarded, size, crashing_fraction, seed):
    """Return the number of ended targets and the fraction of others served."""
    rng = random.Random(seed)
    fleet = ModelFleet(size, is_guarded)
    loop = asyncio.get_running_loop()
    served = []

    async def send(number, is_crashing):
        path = "/crash" if is_crashing else f"/{number}"
        for attempt in range(2):
            node = rng.choice(list(fleet.nodes.values()))
            answer = await node.sender.run(
                call(
                    service="s",
                    path=path,
                    root_id=f"{number}-{attempt}",
                    deadline=loop.time() + 5.0,
                    attempts_left=1,
                )
            )
            if answer.refusal is None:
                break
            await asyncio.sleep(0.2)
        if not is_crashing:
            served.append(answer.refusal is None)

    tasks = []
    for number in range(20 * 160):
        tasks.append(loop.create_task(send(number, rng.random() < crashing_fraction)))
        await asyncio.sleep(1 / 160)
    await asyncio.gather(*tasks)
    return fleet.crashed, sum(served) / len(served)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("size", "crashing_fraction"), [(6, 0.03), (6, 0.1), (24, 0.03)]
)
def test_crashing_request_ends_few_targets(seed, size, crashing_fraction):
    """Guards against one request that ends all targets of its service in turn."""
    ended, served = helpers.run_in_virtual_time(
        _play(True, size, crashing_fraction, seed)
    )
    assert ended <= 5
    assert served >= 0.95


def test_load_of_the_model_ends_many_targets_without_the_guard():
    """Guards against a model whose load would not show the fault."""
    ended, served = helpers.run_in_virtual_time(_play(False, 6, 0.03, 1))
    assert ended > 15
    assert served < 0.95


class CrashingTarget:
    """A target on real connections that ends at requests for /crash."""

    def __init__(self, fleet, restart_s=0.4):
        self.fleet, self.restart_s = fleet, restart_s
        self.address = helpers.free_address()
        self.ended = 0
        self._writers = set()

    async def start(self):
        host, port = link.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.fleet.stack.callback(lambda: self._server.close())
        return self.address

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.03)
                if head.split()[1] == b"/crash":
                    await self._end()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _end(self):
        self.ended += 1
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            self.restart_s, lambda: asyncio.ensure_future(self.start())
        )


async def _crashing_fleet(fleet, size):
    targets = [CrashingTarget(fleet) for _ in range(size)]
    for number, crashing in enumerate(targets):
        await fleet.daemon(f"d{number}", "shop", await crashing.start())
    return targets


def test_crashing_request_ends_few_real_targets():
    """Guards against sending on a request under which three targets have ended."""

    async def scenario():
        state = fleetparts.fleet_state(attempts=1)
        async with fleetparts.Fleet(state) as fleet:
            targets = await _crashing_fleet(fleet, 4)
            others = []
            for number in range(60):
                entry = fleet.address(f"d{number % 4}")
                crashing = asyncio.ensure_future(fleetparts.fetch(entry, path="/crash"))
                reply = await fleetparts.fetch(entry, path=f"/{number}")
                others.append(reply.status)
                reply = await crashing
                assert reply.status in (502, 503)
                if number > 40:
                    assert reply.headers["toucanfold-outcome"] == "not-run"
                    assert int(reply.headers["retry-after"]) > 60
            assert sum(crashing.ended for crashing in targets) <= crashes.MAX_CRASHES
            assert others.count(200) >= 0.95 * len(others)

    helpers.run(scenario(), 60)


def test_calls_to_a_target_that_has_ended_are_served_elsewhere():
    """Guards against a daemon that fails calls fast because its target is gone."""

    async def scenario():
        state = fleetparts.fleet_state(attempts=1)
        async with fleetparts.Fleet(state) as fleet:
            targets = await _crashing_fleet(fleet, 2)
            targets[0].restart_s = 60.0
            await fleetparts.fetch(fleet.address("d0"), path="/warm")
            await targets[0]._end()
            replies = [
                await fleetparts.fetch(
                    fleet.address(f"d{number % 2}"), path=f"/{number}"
                )
                for number in range(40)
            ]
            assert [reply.status for reply in replies] == [200] * 40
            assert "not ready" in fleet.source.events

    helpers.run(scenario())


def test_restarted_target_gets_calls_again():
    """Guards against a target that stays unused after it has listened again."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            [crashing] = await _crashing_fleet(fleet, 1)
            await fleetparts.fetch(fleet.address("d0"), path="/crash")
            reply = await fleetparts.fetch(fleet.address("d0"), path="/a")
            assert (reply.status, reply.headers["toucanfold-outcome"]) == (
                503,
                "not-run",
            )
            await asyncio.sleep(crashing.restart_s + 0.3)
            reply = await fleetparts.fetch(fleet.address("d0"), path="/a")
            assert reply.status == 200
            assert fleet.source.events[-1] == "ready"

    helpers.run(scenario())


def test_lost_connection_of_a_living_target_is_no_crash():
    """Guards against suspects where a single connection was reset."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:

            async def hang_up(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.transport.abort()

            address = await fleet.raw_target(hang_up)
            daemon = await fleet.daemon("a", "shop", address)
            reply = await fleetparts.fetch(fleet.address("a"))
            assert reply.status == 502
            assert daemon.crash_ledger.is_empty
            assert daemon.target_status.accepts_calls

    helpers.run(scenario())


def test_crash_counts_although_a_new_connection_was_refused_first():
    """Guards against evidence that is lost because another call noticed the end."""

    async def scenario():
        state = fleetparts.fleet_state(attempts=0)
        async with fleetparts.Fleet(state) as fleet:
            [ending] = await _crashing_fleet(fleet, 1)
            daemon = fleet.daemons["d0"]
            reply = asyncio.ensure_future(
                fleetparts.fetch(fleet.address("d0"), path="/crash")
            )
            await helpers.eventually(lambda: daemon.dispatcher._sent)
            daemon.dispatcher._on_connection_refused()
            await reply
            assert ending.ended == 1
            assert daemon.crash_ledger.suspected == 1

    helpers.run(scenario())


def test_target_that_left_and_ended_is_used_after_its_restart():
    """Guards against a target that is never used again after a refused connection."""

    async def scenario():
        status = targetstatus.TargetStatus(True)
        status.on_announcement(0.0, targetstatus.Announcement("i1", 1, 1, True, 9))
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            address = helpers.free_address()
            daemon = await fleet.daemon("a", "shop", address, target_status=status)
            status.on_announcement(0.1, targetstatus.Announcement("i1", 1, 2, False, 9))
            daemon.dispatcher._on_connection_refused()
            server = httpserver.Server(fleetparts.Recorder(), httpserver.Limits())
            await server.listen(address)
            fleet.stack.callback(server.stop)
            status.on_announcement(0.2, targetstatus.Announcement("i2", 2, 1, True, 9))
            await helpers.eventually(lambda: status.accepts_calls, 2.0)
            assert (await fleetparts.fetch(fleet.address("a"))).status == 200

    helpers.run(scenario())


def test_suspects_that_nobody_asks_for_are_forgotten():
    """Guards against a digest of every call long after the last crash."""
    ledger = crashes.CrashLedger()
    ledger.on_crash(0.0, "c1", [CRASHING, FIRST])
    ledger.expire(crashes.SUSPICION_S - 1.0)
    assert ledger.suspected == 2
    ledger.expire(crashes.SUSPICION_S + 0.1)
    assert ledger.is_empty


def test_slow_target_that_loses_a_connection_is_not_taken_for_an_ended_one():
    """Guards against a loaded target that gets no calls because it accepts slowly."""

    async def scenario():
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = f"127.0.0.1:{full.getsockname()[1]}"
            writers = []
            for _ in range(3):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.1):
                        _, writer = await asyncio.open_connection(
                            *link.split_address(address)
                        )
                        writers.append(writer)
            assert not await restartwatch.refuses_connections(address)
            for writer in writers:
                writer.close()
        assert await restartwatch.refuses_connections(address)

    helpers.run(scenario())


def test_quarantine_is_recorded_by_control_and_lifted_by_operators():
    """Guards against a quarantine that is lost with the instance that found it."""

    async def scenario():
        fleet = store.FleetStore()
        leader = leadership.LeaderService(helpers.FakeReplica(fleet), fleet)
        ping = {
            "daemon": "d0",
            "incarnation": 1,
            "sequence": 1,
            "applied": 0,
            "raft_term": 0,
            "quarantined": [CRASHING.hex(), "no digest"],
        }
        await leader.handle("pings", {"pings": [ping]})
        await helpers.eventually(lambda: fleet.state.quarantines)
        assert fleet.state.quarantined_digests() == [CRASHING]
        again = store.FleetStore()
        again.restore(fleet.snapshot())
        assert again.state.quarantined_digests() == [CRASHING]
        lift = commands.LiftQuarantine(operation="operation-1", digest=CRASHING.hex())
        assert fleet.apply(9, commands.encode(lift))["ok"]
        assert fleet.state.quarantined_digests() == []

    helpers.run(scenario())


def test_recorded_quarantines_are_bounded():
    """Guards against a fleet state that grows with the number of quarantines."""
    fleet = store.FleetStore()
    for number in range(crashes.MAX_QUARANTINED + 10):
        command = commands.AddQuarantine(digest=f"{number:032x}", reporter="d0")
        assert fleet.apply(number + 1, commands.encode(command))["ok"]
    assert len(fleet.state.quarantines) == crashes.MAX_QUARANTINED
    assert f"{0:032x}" not in fleet.state.quarantines


def test_crash_report_survives_the_codec():
    """Guards against digests that change on the way between instances."""
    report = messages.CrashReport("c1", [CRASHING, FIRST], [SECOND])
    assert messages.decode(messages.encode(report)[messages.LENGTH_BYTES :]) == report
