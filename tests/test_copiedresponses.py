"""Tests of targets that send earlier responses once more on a kept connection."""

import asyncio

import fleetparts
import helpers
import pytest

from toucanfold import httpclient
from toucanfold.platform import fields

NATIVE_ID = b"toucanfold-request-id"


def response(request_id, body, status=b"200 OK", extra=b""):
    """Return the bytes of a response; request_id None echoes no id."""
    echoed = b"" if request_id is None else b"%s: %s\r\n" % (NATIVE_ID, request_id)
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %s\r\n%s%s%s\r\n%s" % (status, echoed, length, extra, body)


def refusal(request_id):
    return response(request_id, b"", b"503 Busy", b"Toucanfold-Not-Run: 1\r\n")


class CopyingTarget:
    """Answers /first as told, and before /second's own answer repeats that answer."""

    def __init__(self, make_first, echoes=True, step=0):
        self.paths = []
        self.connections = 0
        self._make_first = make_first
        self._echoes = echoes
        self._step = step

    async def serve(self, reader, writer):
        self.connections += 1
        first = b""
        while head := await reader.readuntil(b"\r\n\r\n"):
            path = head.split()[1]
            request_id = self._id_in(head)
            self.paths.append(path)
            if path == b"/first":
                first = self._make_first(request_id)
                await self._send(writer, first)
            else:
                await self._send(writer, first + response(request_id, path))

    def _id_in(self, head):
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name == NATIVE_ID and self._echoes:
                return value
        return None

    async def _send(self, writer, data):
        step = self._step or len(data)
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await writer.drain()
            await asyncio.sleep(0)


FIRST = {
    "answer": lambda request_id: response(request_id, b"first"),
    "refusal": refusal,
    "failure": lambda request_id: response(request_id, b"no", b"500 Error"),
    "large": lambda request_id: response(request_id, b"x" * 100_000),
    "chunked": lambda request_id: (
        b"HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n" % (NATIVE_ID, request_id or b"none")
    ),
}


async def fetch_second(fleet, target, via):
    """Call /first, then /second; return the second reply."""
    await fleet.daemon("a", "shop", await fleet.raw_target(target.serve))
    if via != "a":
        other = await fleet.target(fleetparts.Recorder())
        await fleet.daemon(via, "other", other)
    address = fleet.address(via)
    await fleetparts.fetch(address, path="/first", toucanfold_timeout_ms="3000")
    assert target.paths == [b"/first"]
    return await fleetparts.fetch(
        address, method="POST", path="/second", body=b"x", toucanfold_timeout_ms="3000"
    )


@pytest.mark.parametrize("via", ["a", "entry"])
@pytest.mark.parametrize("step", [0, 1, 50])
@pytest.mark.parametrize("kind", FIRST)
def test_copy_of_an_earlier_response_never_reaches_the_next_caller(kind, step, via):
    """Guards against another caller's answer, and a false promise of "not run"."""
    if kind == "large" and step == 1:
        step = 4096

    async def scenario():
        target = CopyingTarget(FIRST[kind], step=step)
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            reply = await fetch_second(fleet, target, via)
            assert (reply.status, reply.body) == (200, b"/second")
            assert target.paths == [b"/first", b"/second"]

    helpers.run(scenario())


@pytest.mark.parametrize("kind", ["answer", "refusal"])
def test_target_that_echoes_no_id_gets_each_call_on_its_own_connection(kind):
    """Guards against responses that cannot be told apart on a kept connection."""

    async def scenario():
        target = CopyingTarget(FIRST[kind], echoes=False)
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            reply = await fetch_second(fleet, target, "a")
            assert (reply.status, reply.body) == (200, b"/second")
            assert target.connections == 2

    helpers.run(scenario())


def test_refusal_that_names_no_request_promises_nothing_on_a_kept_connection():
    """Guards against a late copy without an id that tells a caller "not run"."""

    async def serve_connection(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(response(CopyingTarget(None)._id_in(head), b"first"))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(refusal(None))
        await reader.read()

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            await fleet.daemon("a", "shop", await fleet.raw_target(serve_connection))
            first = await fleetparts.fetch(fleet.address("a"))
            assert first.status == 200
            second = await fleetparts.fetch(fleet.address("a"), method="POST")
            assert second.status == 502
            assert second.headers["toucanfold-outcome"] == "unknown"

    helpers.run(scenario())


def test_endless_copies_end_the_exchange():
    async def serve_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        while True:
            writer.write(response(b"other", b"copy"))
            await writer.drain()

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            await fleet.daemon("a", "shop", await fleet.raw_target(serve_connection))
            reply = await fleetparts.fetch(fleet.address("a"))
            assert reply.status == 502
            assert reply.headers["toucanfold-outcome"] == "unknown"

    helpers.run(scenario())


@pytest.mark.parametrize("second_id", [b"1", b"2"])
def test_connection_carries_an_id_only_once(second_id):
    """Guards against a copy of a refusal that passes for that of the second send."""
    connections = []

    async def serve_connection(reader, writer):
        connections.append(writer)
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.split(b"request-id: ")[1].split(b"\r\n")[0]
            writer.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % request_id
            )

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            pool = httpclient.Pool(await fleet.raw_target(serve_connection), 10)
            fleet.stack.callback(pool.close)
            find_id = fields.PlatformHeaderFormat().find_echoed_id
            for exchange_id in (b"1", second_id):
                connection = (await pool.acquire(exchange_id)).unwrap()
                sent = [(b"host", b"a"), (b"request-id", exchange_id)]
                identity = httpclient.ExchangeIdentity(exchange_id, find_id)
                exchanged = await connection.exchange(
                    "GET", "/", sent, b"", None, identity
                )
                assert exchanged.unwrap().status == 200
            assert len(connections) == (2 if second_id == b"1" else 1)

    helpers.run(scenario())
