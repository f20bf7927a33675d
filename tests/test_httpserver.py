import asyncio
import itertools
import sys
import time

import fleetparts
import helpers
import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import httpserver, link

LIMITS = httpserver.Limits(
    max_header=2048,
    max_body=300_000,
    header_timeout_s=0.3,
    body_timeout_s=0.3,
    idle_timeout_s=0.5,
)


# Sends a head and then repeats one chunk until the server closes the connection.
ENDLESS_SENDER = """
import socket, sys
host, port = sys.argv[1].split(":")
head, chunk = (bytes.fromhex(text) for text in sys.argv[2:])
connection = socket.create_connection((host, int(port)))
connection.sendall(head)
while True:
    connection.sendall(chunk * 40_000)
"""


async def serve(handler, limits=LIMITS):
    """Start a server for a handler; return the server and its address."""
    server = httpserver.Server(handler, limits)
    address = helpers.free_address()
    await server.listen(address)
    return server, address


async def send_all(address, *chunks, pause_s=0.0):
    """Send chunks with a delay after each; return all bytes read until the close."""
    reader, writer = await asyncio.open_connection(*link.split_address(address))
    try:
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(pause_s)
        return await asyncio.wait_for(reader.read(), 3)
    except ConnectionError:
        return b""
    finally:
        writer.close()
        # Lets the server's event handlers process the close.
        await asyncio.sleep(0.05)


HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
MALFORMED = {
    "conflicting lengths": HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "list of lengths": HEAD + b"Content-Length: 1, 2\r\n\r\nab",
    "length and chunked": HEAD
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunked and length": HEAD
    + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "two encodings": HEAD
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "encoding list": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "unknown encoding": HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "space before colon": HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "vertical tab": HEAD + b"Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n",
    "signed length": HEAD + b"Content-Length: +2\r\n\r\nab",
    "negative length": HEAD + b"Content-Length: -2\r\n\r\nab",
    "hexadecimal length": HEAD + b"Content-Length: 0x2\r\n\r\nab",
    "empty length": HEAD + b"Content-Length: \r\n\r\n",
    "huge length": HEAD + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n",
    "chunked in HTTP/1.0": b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n",
    "bad chunk size": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
    "signed chunk size": HEAD + b"Transfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n",
    "chunk without its end": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "null byte": b"GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n",
    "line break in a value": b"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
    "no version": b"GET /\r\nHost: a\r\n\r\n",
    "HTTP/2 preface": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "absolute target": b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "connect": b"CONNECT b:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x00" * 64 + b"\n",
    "bytes above ASCII in the target": b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused_and_closes(name):
    """Guards against smuggling: bytes after a malformed head must not be a request."""

    async def scenario():
        target = fleetparts.Recorder()
        server, address = await serve(target)
        smuggled = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await send_all(address, MALFORMED[name] + smuggled)
        status = int(answer.split(b" ", 2)[1])
        assert status in (400, 413, 501)
        assert b"connection: close" in answer.lower()
        assert answer.count(b"HTTP/1.1 ") == 1
        assert "/smuggled" not in [request.path for request in target.requests]
        server.stop()

    helpers.run(scenario())


def test_each_size_limit_has_its_own_status():
    async def scenario():
        server, address = await serve(fleetparts.Recorder())
        get = b"GET / HTTP/1.1\r\nHost: a\r\n"
        chunk = b"%x\r\n" % 100_000 + b"x" * 100_000 + b"\r\n"
        cases = [
            (431, get + b"X: " + b"x" * 3000 + b"\r\n\r\n"),
            (431, get + b"X: a\r\n" * 1000),
            (413, HEAD + b"Content-Length: 300001\r\n\r\n"),
            (413, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 4),
        ]
        for status, data in cases:
            answer = await send_all(address, data)
            assert int(answer.split(b" ", 2)[1]) == status
        assert server.refused == len(cases)
        server.stop()

    helpers.run(scenario())


@pytest.mark.parametrize(
    "data",
    [b"", b"GET / HT", HEAD, HEAD + b"Content-Length: 9\r\n\r\nabc"],
    ids=["nothing", "part of a line", "part of a head", "part of a body"],
)
def test_connection_of_slow_sender_is_closed(data):
    """Guards against callers that occupy connections by sending slowly."""

    async def scenario():
        target = fleetparts.Recorder()
        server, address = await serve(target)
        answer = await send_all(address, data)
        assert answer.startswith(b"HTTP/1.1 408 ") if data else answer == b""
        assert target.requests == [] and len(server) == 0
        server.stop()

    helpers.run(scenario())


def test_single_bytes_do_not_extend_the_timeout():
    """Guards against heads and bodies sent byte by byte to evade the timeouts."""

    async def scenario():
        server, address = await serve(fleetparts.Recorder())
        for data in (b"GET / HTTP/1.1\r\n", HEAD + b"Content-Length: 99\r\n\r\n"):
            single_bytes = [bytes([byte]) for byte in (b"X: y" + b"z" * 20)]
            answer = await send_all(address, data, *single_bytes, pause_s=0.05)
            assert answer.startswith(b"HTTP/1.1 408 ") or answer == b""
            assert len(server) == 0
        server.stop()

    helpers.run(scenario())


def test_idle_connection_closes_after_the_idle_timeout():
    async def scenario():
        server, address = await serve(fleetparts.Recorder())
        answer = await send_all(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert len(server) == 0
        server.stop()

    helpers.run(scenario())


def test_connections_are_limited():
    async def scenario():
        limits = httpserver.Limits(max_connections=1)
        server, address = await serve(fleetparts.Recorder(), limits)
        first = await asyncio.open_connection(*link.split_address(address))
        await asyncio.sleep(0.05)
        assert await send_all(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n") == b""
        first[1].close()
        server.stop()

    helpers.run(scenario())


def test_expect_continue_is_answered_before_the_body():
    async def scenario():
        server, address = await serve(fleetparts.Recorder())
        reader, writer = await asyncio.open_connection(*link.split_address(address))
        writer.write(HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assert (await fleetparts.read_reply(reader)).status == 100
        writer.write(b"ab")
        reply = await fleetparts.read_reply(reader)
        assert (reply.status, reply.body) == (200, b"ab")
        writer.close()
        server.stop()

    helpers.run(scenario())


@pytest.mark.parametrize("status", [200, 204, 304])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_responses_without_body_keep_the_connection_in_sync(method, status):
    """Guards against a body that HTTP forbids, which would shift later responses."""

    async def scenario():
        async def answer(request):
            body = b"body" if (method, status) == ("GET", 200) else b""
            fields = [(b"content-length", b"4")] if status == 200 else []
            return httpserver.Response(status, fields, body)

        server, address = await serve(fleetparts.Recorder(answer))
        reader, writer = await asyncio.open_connection(*link.split_address(address))
        for _ in range(2):
            writer.write(f"{method} / HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            reply = await fleetparts.read_reply(reader, method)
            assert reply.status == status
            if status == 200:
                assert reply.headers["content-length"] == "4"
        writer.close()
        server.stop()

    helpers.run(scenario())


def test_large_request_body_waits_for_its_consumer():
    """Guards against buffering a large body in memory while nobody reads it."""

    async def scenario():
        buffered_sizes = []

        async def answer(request):
            await asyncio.sleep(0.2)
            buffered_sizes.append(request.body_stream.buffered_bytes)
            return httpserver.Response(200, [], b"")

        class Reader(fleetparts.Recorder):
            async def handle(self, request):
                return await answer(request)

        limits = httpserver.Limits(max_body=1 << 30)
        server, address = await serve(Reader(), limits)
        reader, writer = await asyncio.open_connection(*link.split_address(address))
        writer.write(HEAD + b"Content-Length: 100000000\r\n\r\n")

        async def feed():
            for _ in range(100):
                writer.write(b"x" * 1_000_000)
                await writer.drain()

        feeding = asyncio.ensure_future(feed())
        reply = await fleetparts.read_reply(reader)
        assert reply.headers["connection"] == "close"
        assert buffered_sizes[0] < 1 << 20
        feeding.cancel()
        writer.close()
        server.stop()

    helpers.run(scenario())


def test_field_with_a_line_break_is_not_sent():
    """Guards against response splitting through a header value."""

    async def scenario():
        async def answer(request):
            return httpserver.Response(200, [(b"x", b"a\r\nset-cookie: b")], b"")

        server, address = await serve(fleetparts.Recorder(answer))
        data = await send_all(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert data == b""
        server.stop()

    helpers.run(scenario())


class FakeTransport(asyncio.Transport):
    """Records the bytes written and whether the transport was closed."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False
        self._reading = True

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def can_write_eof(self):
        return False

    def is_reading(self):
        return self._reading

    def pause_reading(self):
        self._reading = False

    def resume_reading(self):
        self._reading = True


STREAM = (
    b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
    b"GET /2 HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n"
    b"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: t\r\n\r\n"
    b"POST /4 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    b"HEAD /5 HTTP/1.1\r\nHost: a\r\n\r\n"
    b"GET /6 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)


async def feed_in_chunks(split_points):
    """Feed STREAM split at these offsets.

    Returns the requests, their bodies, the bytes written and whether the
    connection was closed.
    """
    target = fleetparts.Recorder()
    server = httpserver.Server(target, httpserver.Limits())
    connection = httpserver.Connection(server)
    transport = FakeTransport()
    connection.connection_made(transport)
    offsets = [0, *sorted(split_points), len(STREAM)]
    for start, end in itertools.pairwise(offsets):
        if end > start:
            connection.data_received(STREAM[start:end])
        if start % 2:
            await asyncio.sleep(0)
    for _ in range(50):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    requests = [(item.method, item.path) for item in target.requests]
    return requests, target.bodies, transport.written, transport.closed


@hypothesis.given(
    strategies.lists(strategies.integers(1, len(STREAM) - 1), max_size=40)
)
def test_results_do_not_depend_on_read_boundaries(split_points):
    """Guards against results that depend on how the network splits the stream."""
    requests, bodies, written, closed = helpers.run(feed_in_chunks(split_points))
    assert [path for _, path in requests] == ["/1", "/2", "/3", "/4", "/5", "/6"]
    assert bodies == [b"hello", b"", b"abcdefg", b"", b"", b""]
    assert closed
    assert written.count(b"HTTP/1.1 200") == 6
    assert sorted(written.lower().split(b"\r\n")) == sorted(
        helpers.run(feed_in_chunks([]))[2].lower().split(b"\r\n")
    )


@pytest.mark.parametrize("chunk", [b"1\r\na\r\n", b"1;a=b\r\na\r\n"])
def test_endless_chunks_of_one_caller_delay_no_other(chunk):
    """Guards against one read whose tiny chunks occupy the event loop."""

    async def scenario():
        limits = httpserver.Limits(max_body=1 << 30)
        server, address = await serve(fleetparts.Recorder(), limits)
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        sending = asyncio.create_subprocess_exec(
            sys.executable, "-c", ENDLESS_SENDER, address, head.hex(), chunk.hex()
        )
        process = await sending
        longest_s = 0.0
        for _ in range(40):
            started_at = time.monotonic()
            assert (await fleetparts.fetch(address)).status == 200
            longest_s = max(longest_s, time.monotonic() - started_at)
            await asyncio.sleep(0.02)
        process.kill()
        await process.wait()
        server.stop()
        assert longest_s < 0.25

    helpers.run(scenario())


def test_many_pipelined_refused_requests_are_all_answered():
    """Guards against a recursion for each request of one read."""

    class Refusing(fleetparts.Recorder):
        def check_head(self, request):
            return httpserver.Response(404, [(b"content-length", b"0")])

    async def scenario():
        server, address = await serve(Refusing())
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        answers = await send_all(address, request * 2000)
        assert answers.count(b"HTTP/1.1 404") == 2000
        server.stop()

    helpers.run(scenario())


def test_slow_head_is_refused_also_while_other_connections_wait_for_their_turn():
    """Guards against a head that keeps the idle timeout because it was queued."""

    async def scenario():
        limits = httpserver.Limits(header_timeout_s=0.3, idle_timeout_s=30.0)
        server, address = await serve(fleetparts.Recorder(), limits)

        def keep_busy():
            server.turns.add(keep_busy)

        keep_busy()
        first = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        answers = await send_all(address, first, b"GET / HTTP/1.1\r\n", pause_s=0.1)
        assert b"HTTP/1.1 408 " in answers
        server.stop()

    helpers.run(scenario())
