"""Tests of requests that arrive while a process is being stopped."""

import asyncio

import fleetparts
import helpers
import pytest

from toucanfold import control, credentials, httpserver, link, tls

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowHandler(fleetparts.Recorder):
    """Responds after a delay (s)."""

    def __init__(self, delay_s=0.0):
        async def respond(request):
            await asyncio.sleep(delay_s)
            return httpserver.Response(200, [], b"whole")

        super().__init__(respond)


async def accepted_connection(address):
    reader, writer = await asyncio.open_connection(*link.split_address(address))
    await asyncio.sleep(0.05)
    return reader, writer


@pytest.mark.parametrize("listener", ["admin_listen", "platform_listen"])
@pytest.mark.parametrize("delay_s", [0.0, 0.1])
def test_control_answers_requests_that_arrive_during_its_stop(
    tmp_path, listener, delay_s
):
    """Guards against a planned stop that cuts accepted requests off."""

    async def scenario():
        settings = helpers.control_settings(tmp_path)
        address = helpers.free_address()
        with open(settings.file, "a") as file:
            file.write(f"platform_listen = {address}\n")
        settings = control.config.read(settings.file, "control").unwrap()
        instance = control.Control(
            settings,
            helpers.SECRET,
            credentials.read(str(tmp_path / "admin")).unwrap(),
            tls.Contexts(),
            lambda fleet, send: helpers.FakeReplica(fleet),
        )
        instance.add(httpserver.Listener("platform_listen", SlowHandler(0.5)))
        await instance.start()
        address = settings.get("control", listener)
        reader, writer = await accepted_connection(address)
        stopping = asyncio.ensure_future(instance.stop())
        await asyncio.sleep(delay_s)
        writer.write(REQUEST)
        reply = await fleetparts.read_reply(reader)
        assert reply.status == (200 if listener == "platform_listen" else 401)
        assert reply.headers["connection"] == "close"
        writer.close()
        await stopping
        with pytest.raises(OSError):
            await accepted_connection(address)

    helpers.run(scenario())


def test_daemon_answers_requests_of_all_listeners_before_it_stops():
    """Guards against announcements of a target that are cut off by a planned stop."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            options = {"announce_listen": helpers.free_address()}
            daemon = await fleet.daemon("a", "shop", "127.0.0.1:1", **options)
            listener = httpserver.Listener("announce_listen", SlowHandler(0.6))
            await daemon.listen(listener)
            reader, writer = await accepted_connection(options["announce_listen"])
            draining = asyncio.ensure_future(daemon.drain())
            # The drain has no call to wait for and ends about 1 s after its start.
            await asyncio.sleep(0.8)
            writer.write(REQUEST)
            await draining
            daemon.stop()
            reply = await fleetparts.read_reply(reader)
            assert (reply.status, reply.body) == (200, b"whole")

    helpers.run(scenario())


def test_caller_that_has_just_connected_is_answered_at_the_end_of_a_drain():
    """Guards against callers whose accepted connection closes without an answer."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            daemon = await fleet.daemon("a", "shop", "127.0.0.1:1")
            draining = asyncio.ensure_future(daemon.drain())
            replies = []
            while not draining.done():
                try:
                    reader, writer = await asyncio.open_connection(
                        *link.split_address(fleet.address("a"))
                    )
                except OSError:
                    break
                await asyncio.sleep(0.05)
                if not len(daemon.callers):
                    # The listener closed before it accepted the connection.
                    break
                writer.write(fleetparts.request_bytes())
                replies.append(await fleetparts.read_reply(reader))
                writer.close()
            await draining
            assert replies
            assert all(reply.status == 503 for reply in replies[-3:])

    helpers.run(scenario())


class EndlessHandler(fleetparts.Recorder):
    """Never responds."""

    def __init__(self):
        async def respond(request):
            await asyncio.Event().wait()

        super().__init__(respond)


def test_drain_ends_within_its_timeout_while_a_call_runs_on():
    """Guards against processes that are killed since their stop outlasts the grace."""

    async def scenario():
        async with fleetparts.Fleet(
            fleetparts.fleet_state(deadline_ms=10_000)
        ) as fleet:
            address = await fleet.target(EndlessHandler())
            daemon = await fleet.daemon("a", "shop", address, drain_timeout=2)
            call = asyncio.ensure_future(fleetparts.fetch(fleet.address("a")))
            await helpers.eventually(lambda: daemon.running)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await daemon.drain()
            assert loop.time() - started_at <= 2.0
            daemon.stop()
            await asyncio.gather(call, return_exceptions=True)

    helpers.run(scenario())


def test_request_whose_body_ends_late_in_a_drain_is_refused():
    """Guards against requests that are passed on shortly before they are cut."""

    async def scenario():
        async with fleetparts.Fleet(
            fleetparts.fleet_state(deadline_ms=10_000)
        ) as fleet:
            recorder = fleetparts.Recorder()
            address = await fleet.target(recorder)
            daemon = await fleet.daemon("a", "shop", address, drain_timeout=4)
            reader, writer = await accepted_connection(fleet.address("a"))
            request = fleetparts.request_bytes("POST", body=b"0123456789")
            writer.write(request[:-4])
            await asyncio.sleep(0.1)
            draining = asyncio.ensure_future(daemon.drain())
            await asyncio.sleep(0.4)
            writer.write(request[-4:])
            reply = await fleetparts.read_reply(reader)
            assert (reply.status, reply.headers["toucanfold-outcome"]) == (
                503,
                "not-run",
            )
            assert not recorder.requests
            writer.close()
            await draining

    helpers.run(scenario())


@pytest.mark.parametrize(
    ("options", "drain_s"), [({"drain_timeout": 3}, 3), ({"grace_period": 4}, 3.5)]
)
def test_request_that_a_drain_accepts_gets_no_more_time_than_the_drain(
    options, drain_s
):
    """Guards against requests that are still at work when the process ends."""

    async def scenario():
        async with fleetparts.Fleet(
            fleetparts.fleet_state(deadline_ms=10_000)
        ) as fleet:
            recorder = fleetparts.Recorder()
            address = await fleet.target(recorder)
            daemon = await fleet.daemon(
                "a", "shop", address, drain_serve=1.5, **options
            )
            draining = asyncio.ensure_future(daemon.drain())
            await asyncio.sleep(1.0)
            reply = await fleetparts.fetch(fleet.address("a"))
            assert reply.status == 200
            left = dict(recorder.requests[0].headers)[b"toucanfold-timeout-ms"]
            assert int(left) / 1000 <= drain_s - 1.0
            await draining

    helpers.run(scenario())


def test_request_that_a_drain_has_no_time_for_is_refused():
    """Guards against requests that are accepted although they usually take longer."""

    async def scenario():
        async with fleetparts.Fleet(
            fleetparts.fleet_state(deadline_ms=10_000)
        ) as fleet:
            slow = SlowHandler(0.4)
            address = await fleet.target(slow)
            daemon = await fleet.daemon(
                "a", "shop", address, drain_serve=1.9, drain_timeout=2
            )
            replies = await asyncio.gather(
                *(fleetparts.fetch(fleet.address("a")) for _ in range(32))
            )
            assert {reply.status for reply in replies} == {200}
            draining = asyncio.ensure_future(daemon.drain())
            await asyncio.sleep(1.5)
            reply = await fleetparts.fetch(fleet.address("a"))
            assert (reply.status, reply.headers["toucanfold-outcome"]) == (
                503,
                "not-run",
            )
            assert len(slow.requests) == 32
            await draining

    helpers.run(scenario())
