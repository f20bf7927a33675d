import asyncio

import fleetparts
import helpers
import pytest
from returns import result

from toucanfold import bodies, httpclient, link


async def exchange(pool, path="/"):
    """Run one exchange on a connection of the pool."""
    connection = (await pool.acquire()).unwrap()
    fields = [(b"host", b"a")]
    return await connection.exchange("GET", path, fields, b"", None)


def with_target(serve_connection, check, limit=10):
    """Run a check with a pool of connections to a raw target."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            pool = httpclient.Pool(await fleet.raw_target(serve_connection), limit)
            fleet.stack.callback(pool.close)
            await check(pool)

    helpers.run(scenario())


def test_cancelled_connect_wakes_the_next_waiter(monkeypatch):
    """Guards against waiters that nobody wakes after a cancelled connect."""

    async def scenario():
        started = asyncio.Event()
        loop = asyncio.get_running_loop()
        address = helpers.free_address()
        server = await asyncio.start_server(
            lambda reader, writer: None, *link.split_address(address)
        )
        connect = loop.create_connection

        async def slow(*arguments, **options):
            started.set()
            await asyncio.sleep(0.2)
            return await connect(*arguments, **options)

        monkeypatch.setattr(loop, "create_connection", slow)
        pool = httpclient.Pool(address, 1)
        first = asyncio.ensure_future(pool.acquire())
        await started.wait()
        second = asyncio.ensure_future(pool.acquire())
        await asyncio.sleep(0.01)
        first.cancel()
        acquired = await asyncio.wait_for(second, 2)
        assert isinstance(acquired, result.Success)
        pool.close()
        server.close()

    helpers.run(scenario())


def test_bytes_after_a_response_are_never_the_next_response():
    """Guards against using a response that a target sends without a request."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"

    async def serve_connection(reader, writer):
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        writer.write(answer + path + answer + b"wrong")
        await reader.read()

    async def check(pool):
        for number in range(5):
            path = f"/abc{number}"
            response = (await exchange(pool, path)).unwrap()
            assert response.body == path.encode()
            await asyncio.sleep(0.01 * (number % 2))

    with_target(serve_connection, check)


def test_response_on_an_idle_connection_closes_it():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async def serve_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer)
        await reader.read()

    async def check(pool):
        await exchange(pool)
        assert pool.idle == 1
        await asyncio.sleep(0.15)
        assert (pool.idle, len(pool)) == (0, 0)

    with_target(serve_connection, check)


def test_closed_idle_connection_is_not_used():
    """Guards against a request sent on a connection that the target closed."""

    async def serve_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.02)
        writer.close()

    async def check(pool):
        for _ in range(3):
            assert (await exchange(pool)).unwrap().status == 200
            await asyncio.sleep(0.05)
            assert len(pool) == 0

    with_target(serve_connection, check)


def test_informational_responses_are_skipped():
    async def serve_connection(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def check(pool):
        for _ in range(3):
            response = (await exchange(pool)).unwrap()
            assert (response.status, response.body) == (200, b"ok")
        assert len(pool) == 1

    with_target(serve_connection, check)


def test_response_in_single_bytes():
    async def serve_connection(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            for byte in (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"5\r\nhello\r\n0\r\nX: y\r\n\r\n"
            ):
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0)

    async def check(pool):
        for _ in range(2):
            assert (await exchange(pool)).unwrap().body == b"hello"
        assert len(pool) == 1

    with_target(serve_connection, check)


@pytest.mark.parametrize(
    ("stated", "connections"),
    [(b"timeout=1", 2), (b"max=9, Timeout = 1", 2), (b"timeout=2", 1), (b"1", 1)],
)
def test_connection_is_not_used_shortly_before_its_target_closes_it(
    stated, connections
):
    """Guards against requests that cross the close of an idle connection."""
    opened = []

    async def serve_connection(reader, writer):
        opened.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: "
            writer.write(head + stated + b"\r\n\r\n")

    async def check(pool):
        assert isinstance(await exchange(pool), result.Success)
        await asyncio.sleep(0.7)
        pool.close_idle(asyncio.get_running_loop().time())
        assert pool.idle == 2 - connections
        assert isinstance(await exchange(pool), result.Success)
        assert len(opened) == connections

    with_target(serve_connection, check)


def seal_of(body):
    return b"Content-Length: %d\r\nResponse-Seal: seal\r\n\r\n" % len(body)


ODD_STATUS_LINES = (
    b"HTTP/1.1 000 Odd",
    b"HTTP/1.1 099 Odd",
    b"HTTP/1.1 20 Odd",
    b"HTTP/1.1 2000 Odd",
    b"HTTP/1.1 -20 Odd",
    b"HTTP/1.1 2x0 Odd",
    b"HTTP/1.1",
    b"HTTP/1.1 0200 Odd",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 999 Odd",
    b"HTTP/9.9 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/9.9 100 Continue",
)


@pytest.mark.parametrize("body", [b"ok", bytes(bodies.MAX_BUFFERED_BODY_BYTES + 1)])
@pytest.mark.parametrize("step", [1 << 20, 7])
@pytest.mark.parametrize("line", ODD_STATUS_LINES)
def test_answer_with_a_status_line_that_http_does_not_define_fails(line, step, body):
    """Guards against an answer of a target in trouble that passes for a whole one."""

    async def serve_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = line + b"\r\n" + seal_of(body)
        for start in range(0, len(head), step):
            writer.write(head[start : start + step])
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(body)
        await reader.read()

    async def check(pool):
        failed = await exchange(pool)
        assert isinstance(failed, result.Failure)
        assert failed.failure().sent
        await helpers.eventually(lambda: len(pool) == 0)

    with_target(serve_connection, check)


@pytest.mark.parametrize("line", [b"HTTP/1.0 200 OK", b"HTTP/1.1 599 Odd"])
def test_answer_with_a_defined_status_line_passes(line):
    """Guards against a check that refuses sound answers."""

    async def serve_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(line + b"\r\n" + seal_of(b"ok") + b"ok")
        await reader.read()

    async def check(pool):
        response = (await exchange(pool)).unwrap()
        assert (response.status, response.body) == (int(line.split()[1]), b"ok")

    with_target(serve_connection, check)
