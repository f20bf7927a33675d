import asyncio
import time

import fleetparts
import helpers
from test_dispatch import make_call

from toucanfold import bodies, calls, link, model, peers


class Runner:
    """Answers each call immediately, or after its gate is set if it has one."""

    def __init__(self):
        self.calls = []
        self.gate = None

    async def run(self, call):
        self.calls.append(call)
        if self.gate is not None:
            await self.gate.wait()
        return calls.Answer(200, [(b"x", b"y")], call.path.encode())


async def make_peers(name, runner, service="parts"):
    identity = link.Identity("f", fleetparts.SECRET, "daemon", name, 1)
    new_peers = peers.Peers(identity, service, runner)
    address = helpers.free_address()
    await new_peers.listen(address)
    return new_peers, model.Target(name, 1, service, "r", "d", address)


async def until(condition, timeout_s=5.0):
    limit = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < limit
        await asyncio.sleep(0.01)


def test_idle_links_close_and_open_again(monkeypatch):
    """Guards against links that stay open for services no longer called."""
    monkeypatch.setattr(peers, "IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(peers, "SWEEP_INTERVAL_S", 0.05)

    async def scenario():
        runner = Runner()
        server, target = await make_peers("b", runner)
        client, _ = await make_peers("a", Runner())
        seen = []
        client.on_link = lambda now, name, is_up: seen.append((name, is_up))
        runner.gate = asyncio.Event()
        running = asyncio.ensure_future(client.run(target, make_call(service="parts")))
        await asyncio.sleep(0.6)
        assert client.is_up("b")
        runner.gate.set()
        assert (await running).status == 200
        await until(lambda: not client.is_up("b"))
        assert (await client.run(target, make_call(service="parts"))).status == 200
        assert seen == [("b", True), ("b", False), ("b", True)]
        client.stop()
        server.stop()

    helpers.run(scenario())


def test_backoff_grows_after_failed_connections():
    """Guards against a flood of connections to a daemon that terminated."""

    async def scenario():
        client, _ = await make_peers("a", Runner())
        tried = 0

        async def count(reader, writer):
            nonlocal tried
            tried += 1
            writer.close()

        address = helpers.free_address()
        server = await asyncio.start_server(count, *link.split_address(address))
        terminated = model.Target("b", 1, "parts", "r", "d", address)
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            answer = await client.run(terminated, make_call(service="parts"))
            assert answer.refusal.kind == "no_target"
            assert answer.outcome is calls.Outcome.NOT_RUN
            await asyncio.sleep(0.005)
        assert 3 <= tried <= 6
        server.close()
        client.stop()

    helpers.run(scenario())


def test_daemon_with_another_name_gets_no_calls():
    """Guards against calls to a daemon that now has the address of another one."""

    async def scenario():
        runner = Runner()
        server, target = await make_peers("b", runner)
        client, _ = await make_peers("a", Runner())
        target.name = "c"
        answer = await client.run(target, make_call(service="parts"))
        assert answer.refusal.kind == "no_target"
        assert runner.calls == []
        client.stop()
        server.stop()

    helpers.run(scenario())


def test_draining_daemon_refuses_new_calls_and_finishes_running_ones():
    """Guards against new calls to a draining daemon, and the loss of running ones."""

    async def scenario():
        runner = Runner()
        runner.gate = asyncio.Event()
        server, target = await make_peers("b", runner)
        client, _ = await make_peers("a", Runner())
        running = asyncio.ensure_future(client.run(target, make_call(service="parts")))
        await until(lambda: runner.calls)
        server.drain()
        answer = await client.run(target, make_call(service="parts"))
        assert answer.refusal.kind == "stopping"
        assert answer.outcome is calls.Outcome.NOT_RUN
        runner.gate.set()
        assert (await running).status == 200
        assert len(runner.calls) == 1
        client.stop()
        server.stop()

    helpers.run(scenario())


def test_concurrent_first_calls_share_one_link():
    async def scenario():
        runner = Runner()
        server, target = await make_peers("b", runner)
        client, _ = await make_peers("a", Runner())
        answers = await asyncio.gather(
            *(
                client.run(target, make_call(service="parts", path=f"/{number}"))
                for number in range(30)
            )
        )
        assert [answer.body for answer in answers] == [
            f"/{number}".encode() for number in range(30)
        ]
        assert len(client.dump()) == 1
        client.stop()
        server.stop()

    helpers.run(scenario())


def test_call_arrives_with_all_its_fields():
    async def scenario():
        runner = Runner()
        server, target = await make_peers("b", runner)
        client, _ = await make_peers("a", Runner())
        call = make_call(
            service="parts",
            method="PUT",
            headers=[(b"a", b"b: c"), (b"d", b"")],
            body=b"\x00\xff",
            weight=0.5,
            depth=3,
            priority=77,
            attempts_left=2,
            idempotency_key="k\xe9",
            slot=0,
            slot_epoch=9,
            rank=0,
            route="r",
        )
        await client.run(target, call)
        got = runner.calls[0]
        for name in calls.Call.__slots__:
            if name not in ("deadline", "root_started_at"):
                assert getattr(got, name) == getattr(call, name), name
        assert abs(got.deadline - call.deadline) < 0.1
        client.stop()
        server.stop()

    helpers.run(scenario())


def test_many_long_bodies_share_a_link():
    """Guards against a link that closes since many bodies overflow its buffer."""
    size, count = 1_000_000, 60

    class Long(Runner):
        async def run(self, call):
            stream = bodies.BodyStream()
            for _ in range(size // 50_000):
                stream.put(b"x" * 50_000)
            stream.finish()
            return calls.Answer(200, [], b"", body_stream=stream)

    async def scenario():
        server, target = await make_peers("b", Long())
        client, _ = await make_peers("a", Runner())

        async def read():
            answer = await client.run(target, make_call(service="parts", deadline_s=15))
            return sum([len(chunk) async for chunk in answer.body_stream])

        sizes = await asyncio.gather(*(read() for _ in range(count)))
        assert sizes == [size] * count
        client.stop()
        server.stop()

    helpers.run(scenario())
