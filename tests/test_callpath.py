"""Failures along the call path, on real sockets."""

import asyncio
import contextlib
import json
import time

import fleetparts
import helpers
import pytest
from fleetparts import KEY, OTHER_KEY

from toucanfold import bodies, calls, forward, headers, httpserver, link, messages

KEY_POSITIONS = {
    "authorization": {"Toucanfold_Key": None, "Authorization": f"Bearer {KEY}"},
    "upper case name": {"Toucanfold_Key": None, "TOUCANFOLD-KEY": KEY},
    "lower case scheme": {"Toucanfold_Key": None, "authorization": f"bearer {KEY}"},
    "both": {"Authorization": f"Bearer {KEY}"},
    "proxy authorization": {"Proxy-Authorization": f"Bearer {KEY}"},
    "cookie": {"Cookie": f"a=b; key={KEY}; c=d"},
    "unrelated header": {"X-My-Key": KEY},
    "inside a value": {"X-Note": f"text before {KEY} and after"},
    "name of a header": {KEY: "1"},
    "upper case key elsewhere": {"X-A": KEY},
    "referer": {"Referer": f"http://a/?k={KEY}"},
    "named by connection": {"Connection": "x-a", "X-A": "1"},
}


@pytest.mark.parametrize("position", KEY_POSITIONS)
def test_target_never_sees_the_key(position):
    """Guards against a key that reaches a target in any header or position."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state(("shop", "parts"))) as fleet:
            target = fleetparts.Recorder()
            await fleet.daemon("a", "shop", await fleet.target(target))
            await fleet.daemon("b", "parts", await fleet.target(target))
            for service in ("shop", "parts"):
                reply = await fleetparts.fetch(
                    fleet.address("a"),
                    "POST",
                    service=service,
                    body=b"x",
                    **KEY_POSITIONS[position],
                )
                assert reply.status == 200
            for request in target.requests:
                seen = repr((request.method, request.path, request.headers)).lower()
                assert KEY not in seen and "tfk_" not in seen
                names = {name for name, _ in request.headers}
                assert not names & {b"authorization", b"proxy-authorization", b"x-a"}

    helpers.run(scenario())


REFUSED = {
    "key in the path": (400, f"/items/{KEY}", {}),
    "key in the query": (400, f"/items?key={KEY}", {}),
    "encoded key": (400, f"/items?key=%74fk%5f{KEY[4:]}", {}),
    "twice encoded key": (400, f"/items?key=tfk%255f{KEY[4:]}", {}),
    "upper case key in the path": (400, f"/{KEY.upper()}", {}),
    "two keys": (400, "/", {"Authorization": f"Bearer {OTHER_KEY}"}),
    "second key elsewhere": (400, "/", {"X-Other": OTHER_KEY}),
    "the same header twice": (400, "/", {"toucanfold-key": OTHER_KEY}),
    "key as idempotency key": (400, "/", {"Idempotency-Key": KEY}),
    "another secret": (401, "/", {"Toucanfold_Key": KEY[:-1] + "c"}),
    "only in a cookie": (401, "/", {"Toucanfold_Key": None, "Cookie": KEY}),
}


@pytest.mark.parametrize("case", REFUSED)
def test_misplaced_keys_are_refused(case):
    status, path, fields = REFUSED[case]

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            target = fleetparts.Recorder()
            await fleet.daemon("a", "shop", await fleet.target(target))
            reply = await fleetparts.fetch(fleet.address("a"), path=path, **fields)
            assert reply.status == status
            assert reply.headers["toucanfold-outcome"] == "not-run"
            assert target.requests == []
            assert KEY not in reply.body.decode()

    helpers.run(scenario())


def test_key_in_the_method_is_refused():
    assert headers.line_has_key(KEY, "/")


@pytest.mark.parametrize("service", ["shop", "parts"])
def test_caller_disconnect_cancels_nested_calls(service):
    """Guards against calls that keep running after their caller disconnected."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state(("shop", "parts"))) as fleet:

            async def call_nested(request):
                token = dict(request.headers)[b"toucanfold-token"].decode()
                reply = await fleetparts.fetch(
                    fleet.address(here, "egress"),
                    service=there,
                    Toucanfold_Token=token,
                )
                return httpserver.Response(reply.status, [], reply.body)

            async def sleep(request):
                await asyncio.sleep(10)

            here, there = ("a", "parts") if service == "shop" else ("b", "shop")
            outer = fleetparts.Recorder(call_nested)
            inner = fleetparts.Recorder(sleep)
            targets = (outer, inner) if service == "shop" else (inner, outer)
            await fleet.daemon("a", "shop", await fleet.target(targets[0]))
            await fleet.daemon("b", "parts", await fleet.target(targets[1]))
            _, writer = await asyncio.open_connection(
                *link.split_address(fleet.address("a"))
            )
            writer.write(fleetparts.request_bytes(service=service))
            await _until(lambda: inner.requests)
            writer.close()
            await _until(lambda: inner.cancelled == 1 and outer.cancelled == 1)
            for daemon in fleet.daemons.values():
                await _until(lambda daemon=daemon: daemon.running == 0)
                assert daemon.dispatcher.in_flight == 0
                assert len(daemon.tokens) == 0

    helpers.run(scenario())


async def _until(condition, timeout_s=3.0):
    limit = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < limit
        await asyncio.sleep(0.01)


def test_delayed_response_never_reaches_the_next_call():
    """Guards against reusing a connection on which an earlier response may arrive."""

    async def scenario():
        async with fleetparts.Fleet(
            fleetparts.fleet_state(deadline_ms=200, attempts=0)
        ) as fleet:

            async def answer(request):
                await asyncio.sleep(0.4 if request.path == "/slow" else 0.0)
                return httpserver.Response(200, [], request.path.encode())

            await fleet.daemon(
                "a", "shop", await fleet.target(fleetparts.Recorder(answer))
            )
            address = fleet.address("a")
            late = await fleetparts.fetch(address, path="/slow")
            body = json.loads(late.body)
            assert (late.status, body["kind"]) == (504, "deadline_exceeded")
            assert body["outcome"] == "unknown"
            for number in range(20):
                reply = await fleetparts.fetch(address, path=f"/{number}")
                assert reply.body == f"/{number}".encode()
                await asyncio.sleep(0.02)

    helpers.run(scenario())


def test_responses_match_their_requests_out_of_order():
    """Guards against mixed-up responses when later calls finish first."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state(("shop", "parts"))) as fleet:

            async def answer(request):
                number = int(request.path[1:])
                await asyncio.sleep(0.003 * (40 - number))
                return httpserver.Response(200, [], request.path.encode())

            await fleet.daemon("a", "shop", await fleet.target(fleetparts.Recorder()))
            await fleet.daemon(
                "b", "parts", await fleet.target(fleetparts.Recorder(answer))
            )
            replies = await asyncio.gather(
                *(
                    fleetparts.fetch(
                        fleet.address("a"), path=f"/{number}", service="parts"
                    )
                    for number in range(40)
                )
            )
            got = [reply.body.decode() for reply in replies]
            assert got == [f"/{number}" for number in range(40)]

    helpers.run(scenario())


OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
INVALID_RESPONSES = {
    "closes without a response": (b"", "unknown"),
    "closes in the head": (b"HTTP/1.1 200 OK\r\nConte", "unknown"),
    "closes in a short body": (OK_HEAD + b"hello", "ran"),
    "not HTTP": (b"hello hello\r\n\r\n", "unknown"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nhello", "ran"),
    "length and chunked": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "ran",
    ),
    "truncated chunked body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        "ran",
    ),
}


@pytest.mark.parametrize("case", INVALID_RESPONSES)
def test_invalid_response_is_a_refusal_with_its_outcome(case):
    """Guards against a truncated response that is passed on as complete."""
    data, outcome = INVALID_RESPONSES[case]

    async def scenario():
        async def serve_connection(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            writer.close()

        async with fleetparts.Fleet(fleetparts.fleet_state(attempts=0)) as fleet:
            await fleet.daemon("a", "shop", await fleet.raw_target(serve_connection))
            reply = await fleetparts.fetch(fleet.address("a"))
            assert reply.status == 502
            body = json.loads(reply.body)
            assert (body["kind"], body["outcome"]) == ("target_failed", outcome)

    helpers.run(scenario())


CUT_BODIES = {
    "length": b"Content-Length: 10\r\n\r\n0123456789",
    "chunked": (
        b"Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"
    ),
}


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("service", ["shop", "parts"])
@pytest.mark.parametrize("kind", CUT_BODIES)
def test_response_cut_at_any_byte_never_looks_complete(kind, service, resets):
    """Guards against a success with an empty or short body, also in the cut head."""

    async def scenario():
        async def serve_connection(reader, writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.split(b"request-id: ")[1].split(b"\r\n")[0]
                whole = b"HTTP/1.1 200 OK\r\nToucanfold-Request-Id: %s\r\n%s" % (
                    request_id,
                    CUT_BODIES[kind],
                )
                missing = int(head.split()[1][1:])
                writer.write(whole[: len(whole) - missing])
                if missing:
                    await writer.drain()
                    await asyncio.sleep(0.001)
                    if resets:
                        writer.transport.abort()
                    writer.close()
                    return

        state = fleetparts.fleet_state(("shop", "parts"), attempts=0)
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.raw_target(serve_connection)
            await fleet.daemon("a", "shop", target)
            await fleet.daemon("b", "parts", target)
            for missing in range(1, 120):
                for path, expected in (("/0", 200), (f"/{missing}", 502)):
                    reply = await fleetparts.fetch(
                        fleet.address("a"), path=path, service=service
                    )
                    assert reply.status == expected
                    assert expected == 502 or reply.body == b"0123456789"

    helpers.run(scenario())


@pytest.mark.parametrize("service", ["shop", "parts"])
def test_truncated_streamed_response_closes_the_caller_connection(service):
    """Guards against a truncated response that looks complete to the caller."""

    async def scenario():
        async def serve_connection(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(10):
                writer.write(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.close()

        state = fleetparts.fleet_state(("shop", "parts"))
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.raw_target(serve_connection)
            await fleet.daemon("a", "shop", target)
            await fleet.daemon("b", "parts", target)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await fleetparts.fetch(fleet.address("a"), service=service)

    helpers.run(scenario())


@pytest.mark.parametrize("service", ["shop", "parts"])
def test_target_that_responds_before_the_request_body_ends(service):
    """Guards against an early response that is lost or blocks the connection."""

    async def scenario():
        async def serve_connection(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno")
            await asyncio.sleep(0.5)
            writer.close()

        state = fleetparts.fleet_state(("shop", "parts"))
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.raw_target(serve_connection)
            await fleet.daemon("a", "shop", target)
            await fleet.daemon("b", "parts", target)
            reader, writer = await asyncio.open_connection(
                *link.split_address(fleet.address("a"))
            )
            head = fleetparts.request_bytes(
                "POST", service=service, Content_Length="10000000"
            )
            writer.write(head + b"x" * 1_000_000)
            reply = await fleetparts.read_reply(reader)
            assert (reply.status, reply.body) == (413, b"no")
            assert reply.headers["connection"] == "close"
            writer.close()
            for daemon in fleet.daemons.values():
                await _until(lambda daemon=daemon: daemon.running == 0)

    helpers.run(scenario())


@pytest.mark.parametrize("service", ["shop", "parts"])
@pytest.mark.parametrize("chunked", [True, False])
def test_large_bodies_stream_both_ways(service, chunked):
    """Guards against corruption or deadlock of bodies that exceed the flow windows."""
    size = 5_000_000
    body = bytes(range(256)) * (size // 256)

    async def scenario():
        state = fleetparts.fleet_state(("shop", "parts"), deadline_ms=20_000)
        async with fleetparts.Fleet(state) as fleet:
            target = fleetparts.Recorder()
            await fleet.daemon("a", "shop", await fleet.target(target))
            await fleet.daemon("b", "parts", await fleet.target(target))
            data = fleetparts.request_bytes("POST", service=service, body=body)
            if chunked:
                head = fleetparts.request_bytes(
                    "POST", service=service, Transfer_Encoding="chunked"
                )
                chunks = [body[at : at + 50_000] for at in range(0, len(body), 50_000)]
                data = head + b"".join(
                    b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks
                )
                data += b"0\r\n\r\n"
            reply = await fleetparts.exchange(fleet.address("a"), data)
            assert reply.status == 200
            assert target.bodies[0] == body
            assert reply.body == body

    helpers.run(scenario())


@pytest.mark.parametrize("service", ["shop", "parts"])
def test_large_response_waits_for_a_slow_caller(service):
    """Guards against unbounded buffering of a response that nobody reads."""

    async def scenario():
        sent = 0

        async def serve_connection(reader, writer):
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000000\r\n\r\n")
            while sent < 400_000_000:
                writer.write(b"x" * 100_000)
                sent += 100_000
                await writer.drain()

        state = fleetparts.fleet_state(("shop", "parts"))
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.raw_target(serve_connection)
            await fleet.daemon("a", "shop", target)
            await fleet.daemon("b", "parts", target)
            _, writer = await asyncio.open_connection(
                *link.split_address(fleet.address("a")), limit=1000
            )
            writer.write(fleetparts.request_bytes(service=service))
            await asyncio.sleep(0.5)
            first = sent
            await asyncio.sleep(0.5)
            assert sent == first < 40_000_000
            writer.close()
            for daemon in fleet.daemons.values():
                await _until(lambda daemon=daemon: daemon.running == 0)
                await _until(lambda daemon=daemon: daemon.dispatcher.in_flight == 0)

    helpers.run(scenario())


@pytest.mark.parametrize("cut", ["closed", "silent"])
def test_link_failure_during_a_call_is_unknown(cut):
    """Guards against a call that hangs, or counts as not run, after its link failed."""

    async def scenario():
        async def sleep(request):
            await asyncio.sleep(10)

        state = fleetparts.fleet_state(
            ("shop", "parts"), deadline_ms=9000, attempts=0, idempotent=False
        )
        async with fleetparts.Fleet(state) as fleet:
            inner = fleetparts.Recorder(sleep)
            await fleet.daemon("a", "shop", await fleet.target(fleetparts.Recorder()))
            await fleet.daemon("b", "parts", await fleet.target(inner))
            running = asyncio.ensure_future(
                fleetparts.fetch(fleet.address("a"), service="parts")
            )
            await _until(lambda: inner.requests)
            (opened,) = fleet.daemons["b"].peers._sessions
            if cut == "closed":
                opened._transport.abort()
            else:
                opened._transport.pause_reading()
                opened._timer.cancel()
            reply = await asyncio.wait_for(running, 3)
            body = json.loads(reply.body)
            assert (body["kind"], body["outcome"]) == ("target_failed", "unknown")
            if cut == "closed":
                await _until(lambda: inner.cancelled == 1)
                inner._answer = None
                again = await fleetparts.fetch(fleet.address("a"), service="parts")
                assert again.status == 200

    helpers.run(scenario())


def test_call_to_an_unreachable_target_is_not_run():
    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            await fleet.daemon("a", "shop", helpers.free_address())
            reply = await fleetparts.fetch(fleet.address("a"))
            assert (reply.status, reply.headers["toucanfold-outcome"]) == (
                503,
                "not-run",
            )
            assert json.loads(reply.body)["kind"] == "no_target"
            assert "retry-after" in reply.headers

    helpers.run(scenario())


def test_target_503_is_passed_on_with_its_outcome():
    async def scenario():
        async def answer(request):
            fields = [(b"retry-after", b"3")]
            if request.path == "/not-run":
                fields.append((b"toucanfold-not-run", b"1"))
            return httpserver.Response(503, fields, b"")

        async with fleetparts.Fleet(fleetparts.fleet_state(attempts=0)) as fleet:
            await fleet.daemon(
                "a", "shop", await fleet.target(fleetparts.Recorder(answer))
            )
            for path, outcome in (("/not-run", "not-run"), ("/ran", "ran")):
                reply = await fleetparts.fetch(fleet.address("a"), path=path)
                assert reply.status == 503
                assert reply.headers["toucanfold-outcome"] == outcome
                assert reply.headers["retry-after"] == "3"

    helpers.run(scenario())


def test_unresponsive_target_times_out_at_the_deadline():
    """Guards against half-open target connections on which a call never ends."""

    async def scenario():
        async def serve_connection(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(5)

        state = fleetparts.fleet_state(deadline_ms=300, attempts=0)
        async with fleetparts.Fleet(state) as fleet:
            await fleet.daemon("a", "shop", await fleet.raw_target(serve_connection))
            started = time.monotonic()
            reply = await fleetparts.fetch(fleet.address("a"))
            assert reply.status == 504
            assert time.monotonic() - started < 1
            assert len(fleet.daemons["a"].dispatcher.pool) == 0

    helpers.run(scenario())


def test_connections_to_the_target_are_kept_and_limited():
    async def scenario():
        async def answer(request):
            await asyncio.sleep(0.02)
            echoed = headers.find(request.headers, b"toucanfold-request-id")
            fields = [(b"toucanfold-request-id", echoed)]
            return httpserver.Response(200, fields, b"")

        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            daemon = await fleet.daemon(
                "a",
                "shop",
                await fleet.target(fleetparts.Recorder(answer)),
                target_connections=3,
            )
            fetches = [fleetparts.fetch(fleet.address("a")) for _ in range(12)]
            replies = await asyncio.gather(*fetches)
            assert {reply.status for reply in replies} == {200}
            assert len(daemon.dispatcher.pool) == 3

    helpers.run(scenario())


def test_reused_call_id_closes_the_link():
    """Guards against answers that are matched to a reused call id."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            target = fleetparts.Recorder()
            await fleet.daemon("a", "shop", await fleet.target(target))
            owner = recording_link_owner()
            identity = link.Identity("f", fleetparts.SECRET, "daemon", "x", 1)
            address = fleet.address("a", "link")
            opened = (await link.connect(address, identity, owner)).unwrap()
            call = messages.Call(
                id=1, service="shop", method="GET", path="/", timeout_ms=900
            )
            opened.send(call)
            await _until(lambda: owner.received)
            assert owner.received[0].status == 200
            opened.send(call)
            await _until(lambda: not opened.is_open)
            assert len(target.requests) == 1

    helpers.run(scenario())


def recording_link_owner():
    """Return a link owner that records its messages."""

    class Owner:
        def __init__(self):
            self.received = []

        def on_open(self, opened):
            pass

        def on_message(self, source, message):
            self.received.append(message)

        def on_close(self, closed, reason):
            pass

    return Owner()


def test_response_of_an_unused_attempt_is_cancelled():
    """Guards against an unread response that keeps a target connection busy."""
    stream = bodies.BodyStream()
    helpers.run(forward._discard(calls.Answer(200, body_stream=stream)))
    assert stream.cancelled
