import asyncio
import json
import signal
import subprocess
import sys
import time

import fleetparts
import helpers
import pytest
from prometheus_client import parser

from toucanfold import httpserver, interfaces, link, model


def scenario(test):
    """Run an async test in its own loop."""

    def run():
        helpers.run(test())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@scenario
async def test_request_through_one_daemon():
    async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
        target = fleetparts.Recorder()
        await fleet.daemon("a", "shop", await fleet.target(target))
        reply = await fleetparts.fetch(fleet.address("a"), "POST", body=b"hello")
        assert (reply.status, reply.body) == (200, b"hello")
        assert reply.headers["x-target"] == "yes"
        assert reply.headers["toucanfold-outcome"] == "ran"
        seen = dict(target.requests[0].headers)
        assert seen[b"toucanfold-account"] == b"acme"
        request_id = reply.headers["toucanfold-request-id"].encode()
        assert seen[b"toucanfold-request-id"] == request_id
        assert 0 < int(seen[b"toucanfold-timeout-ms"]) <= 2000
        assert fleetparts.KEY.encode() not in repr(seen).encode()


@scenario
async def test_request_through_two_daemons():
    async with fleetparts.Fleet(fleetparts.fleet_state(("shop", "parts"))) as fleet:
        target = fleetparts.Recorder()
        await fleet.daemon("a", "shop", await fleet.target(fleetparts.Recorder()))
        await fleet.daemon("b", "parts", await fleet.target(target))
        for _ in range(3):
            reply = await fleetparts.fetch(
                fleet.address("a"), "POST", service="parts", body=b"hello"
            )
            assert (reply.status, reply.body) == (200, b"hello")
        assert len(target.requests) == 3
        assert len(fleet.daemons["a"].peers.dump()) == 1


def nested_caller(fleet, service, **headers):
    """Return a target handler that makes a nested call to a service with its token."""

    async def call_nested(request):
        token = dict(request.headers)[b"toucanfold-token"].decode()
        reply = await fleetparts.fetch(
            fleet.address("a", "egress"),
            "POST",
            service=service,
            body=b"inner",
            Toucanfold_Key=None,
            Toucanfold_Token=token,
            **headers,
        )
        return httpserver.Response(reply.status, [], b"outer " + reply.body)

    return call_nested


@scenario
async def test_nested_call_uses_the_account_and_request_id_of_its_token():
    """Guards against a target that claims another account or importance."""
    async with fleetparts.Fleet(fleetparts.fleet_state(("shop", "parts"))) as fleet:
        outer = fleetparts.Recorder(
            nested_caller(fleet, "parts", Toucanfold_Account="other")
        )
        inner = fleetparts.Recorder()
        await fleet.daemon("a", "shop", await fleet.target(outer))
        await fleet.daemon("b", "parts", await fleet.target(inner))
        reply = await fleetparts.fetch(fleet.address("a"))
        assert (reply.status, reply.body) == (200, b"outer inner")
        seen = dict(inner.requests[0].headers)
        assert seen[b"toucanfold-account"] == b"acme"
        request_id = reply.headers["toucanfold-request-id"].encode()
        assert seen[b"toucanfold-request-id"] == request_id
        outer_token = dict(outer.requests[0].headers)[b"toucanfold-token"]
        assert seen[b"toucanfold-token"] != outer_token


@scenario
async def test_token_ends_with_its_call():
    async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
        target = fleetparts.Recorder()
        await fleet.daemon("a", "shop", await fleet.target(target))
        await fleetparts.fetch(fleet.address("a"))
        token = dict(target.requests[0].headers)[b"toucanfold-token"].decode()
        reply = await fleetparts.fetch(
            fleet.address("a", "egress"), Toucanfold_Token=token
        )
        assert reply.status == 400
        assert len(target.requests) == 1


@scenario
async def test_refusals_before_dispatch():
    """Guards against a request that runs without a key, route or fresh state."""
    async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
        target = fleetparts.Recorder()
        await fleet.daemon("a", "shop", await fleet.target(target))
        address = fleet.address("a")
        cases = [
            ({"Toucanfold_Key": None}, 401, "key_refused"),
            ({"Toucanfold_Key": "tfk_x_y"}, 401, "key_refused"),
            ({"service": "nothing"}, 404, "no_route"),
            ({"Toucanfold_Timeout_Ms": "soon"}, 400, "bad_request"),
            ({"Toucanfold_Timeout_Ms": "0"}, 400, "bad_request"),
        ]
        for options, status, kind in cases:
            reply = await fleetparts.fetch(address, **options)
            assert (reply.status, json.loads(reply.body)["kind"]) == (status, kind)
            assert reply.headers["toucanfold-outcome"] == "not-run"
        fleet.source.fresh = False
        reply = await fleetparts.fetch(address)
        assert json.loads(reply.body)["kind"] == "control_stale"
        assert reply.status == 503 and "retry-after" in reply.headers
        assert target.requests == []


@scenario
async def test_debug_listener_dumps_state():
    async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
        await fleet.daemon("a", "shop", await fleet.target(fleetparts.Recorder()))
        await fleetparts.fetch(fleet.address("a"))
        reply = await fleetparts.fetch(fleet.address("a", "debug"))
        dump = json.loads(reply.body)
        names = {item["name"] for item in dump["metrics"]["histograms"]}
        assert names == {"total", "added", "queue"}
        assert dump["target"]["in_flight"] == 0
        assert fleetparts.KEY not in reply.body.decode()


@scenario
async def test_path_that_targets_may_read_as_another_route_is_refused():
    """Guards against a booking that runs under another route's idempotent profile."""
    state = fleetparts.fleet_state()
    state.profiles["b"] = model.Profile("b", idempotent=False)
    state.routes["book"] = model.Route("book", "shop", "b", path_prefix="/bookings")
    async with fleetparts.Fleet(state) as fleet:
        target = fleetparts.Recorder()
        await fleet.daemon("a", "shop", await fleet.target(target))
        for path in ("/x/../bookings/1", "/x/%2e%2E/bookings", "/x/..\\bookings"):
            reply = await fleetparts.fetch(fleet.address("a"), path=path)
            assert reply.status == 400
            assert reply.headers["toucanfold-outcome"] == "not-run"
        assert target.requests == []
        reply = await fleetparts.fetch(fleet.address("a"), path="/x//y/../1%2e")
        assert reply.status == 200
        assert target.requests[0].path == "/x//y/../1%2e"


@scenario
async def test_metrics_are_served_as_prometheus_text():
    """Guards against a metrics endpoint that Prometheus cannot parse."""
    async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
        await fleet.daemon("a", "shop", await fleet.target(fleetparts.Recorder()))
        await fleetparts.fetch(fleet.address("a"))
        reply = await fleetparts.fetch(fleet.address("a", "debug"), path="/metrics")
        assert reply.status == 200
        assert reply.headers["content-type"].startswith("text/plain")
        families = {
            family.name: family
            for family in parser.text_string_to_metric_families(reply.body.decode())
        }
        assert families["toucanfold_fresh"].samples[0].value == 1
        accounts = {
            sample.labels["account"]
            for sample in families["toucanfold_seconds"].samples
        }
        assert accounts == {"acme"}
        assert fleetparts.KEY not in reply.body.decode()


@scenario
async def test_drain_aborts_no_request():
    """Guards against a planned stop that aborts an accepted request."""

    async def slow(request):
        await asyncio.sleep(1.5)
        return httpserver.Response(200, [], b"done")

    async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
        await fleet.daemon("a", "shop", await fleet.target(fleetparts.Recorder(slow)))
        address = fleet.address("a")
        fleet.source.events.clear()
        running = asyncio.ensure_future(fleetparts.fetch(address))
        await asyncio.sleep(0.1)
        draining = asyncio.ensure_future(fleet.daemons["a"].drain())
        await asyncio.sleep(0.1)
        late = await fleetparts.fetch(address)
        assert json.loads(late.body)["kind"] == "stopping"
        assert late.headers["connection"] == "close"
        assert not draining.done()
        reply = await running
        assert (reply.status, reply.body) == (200, b"done")
        assert reply.headers["connection"] == "close"
        await draining
        assert fleet.source.events == ["drain", "leave"]


@scenario
async def test_drain_under_load_fails_no_request():
    """Guards against requests that fail while a daemon of the fleet drains."""

    async def answer(request):
        await asyncio.sleep(0.01)
        return httpserver.Response(200, [], request.path.encode())

    async def keep_calling(address, results):
        """Send requests on persistent connections; reconnect after each close."""
        number = 0
        while not results["stop"]:
            reader, writer = await asyncio.open_connection(*link.split_address(address))
            closing = False
            while not closing and not results["stop"]:
                number += 1
                path = f"/{number}"
                writer.write(fleetparts.request_bytes(path=path, service="parts"))
                reply = await fleetparts.read_reply(reader)
                kind = "ok" if reply.status == 200 else json.loads(reply.body)["kind"]
                assert kind != "ok" or reply.body == path.encode()
                results[kind] = results.get(kind, 0) + 1
                closing = reply.headers.get("connection") == "close"
            writer.close()

    state = fleetparts.fleet_state(("shop", "parts"), idempotent=False)
    async with fleetparts.Fleet(state) as fleet:
        target = fleetparts.Recorder(answer)
        await fleet.daemon("a", "shop", await fleet.target(target))
        for name in ("b", "c"):
            await fleet.daemon(name, "parts", await fleet.target(target))
        fleet.source.publish()
        results = {"stop": False}
        callers = [
            asyncio.ensure_future(keep_calling(fleet.address("a"), results))
            for _ in range(8)
        ]
        await asyncio.sleep(0.3)
        leaving = fleet.daemons["b"]
        await leaving.drain()
        leaving.stop()
        state.targets["b"].state = "left"
        state.revision += 1
        fleet.source.publish()
        await asyncio.sleep(0.2)
        results["stop"] = True
        await asyncio.gather(*callers)
        assert set(results) == {"stop", "ok"}
        assert results["ok"] == len(target.requests)


@scenario
async def test_drain_does_not_wait_for_a_backup_that_cannot_exist():
    """Guards against draining one of two daemons until the timeout expires."""
    state = fleetparts.fleet_state(("shop",))
    async with fleetparts.Fleet(state) as fleet:
        address = await fleet.target(fleetparts.Recorder())
        for name in ("a", "b"):
            await fleet.daemon(name, "shop", address)
        a, b = (state.targets[name].incarnation for name in ("a", "b"))
        state.slots["shop", 0] = model.Slot("shop", 0, 1, "b", b, "a", a)
        await asyncio.wait_for(fleet.daemons["a"].drain(), 5)
        await fleet.daemon("c", "shop", address)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(fleet.daemons["a"].drain(), 2)


def test_process_ends_after_sigterm_without_control(tmp_path):
    """Guards against a stop that waits for unreachable control instances."""
    settings = fleetparts.make_settings(
        tmp_path, "a", "shop", helpers.free_address(), control=helpers.free_address()
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "toucanfold", "daemon", f"--settings={settings.file}"],
        stdout=subprocess.PIPE,
    )
    try:
        address = settings.get("daemon", "caller_listen")
        limit = time.monotonic() + 10
        while True:
            try:
                reply = helpers.run(fleetparts.fetch(address))
                break
            except OSError:
                assert time.monotonic() < limit
                time.sleep(0.05)
        assert json.loads(reply.body)["kind"] == "control_stale"
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=15)
        assert process.returncode == 0
        lines = [json.loads(line) for line in output.splitlines()]
        assert lines[-1]["message"] == "drained"
    finally:
        process.kill()


@scenario
async def test_drain_ends_within_its_timeout_without_control():
    """Guards against a drain past its timeout, which the platform ends by SIGKILL."""
    fleet_state = fleetparts.fleet_state()

    class _UnresponsiveSource(interfaces.StaticStateSource):
        async def drain(self):
            await asyncio.sleep(60)

        async def leave(self, timeout_s):
            await asyncio.sleep(timeout_s)

    async with fleetparts.Fleet(fleet_state) as fleet:
        fleet.source = _UnresponsiveSource(fleet_state)
        daemon = await fleet.daemon("a", "shop", "127.0.0.1:1", drain_timeout=1.5)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await daemon.drain()
        assert loop.time() - started_at < 2.0
