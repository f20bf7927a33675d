"""Tests answers of targets that never end, beside calls of other callers."""

import asyncio
import contextlib
import multiprocessing
import pathlib
import resource
import socket
import threading
import time

import fleetparts
import helpers
import pytest

from toucanfold import link

DEADLINE_S = 1.0
# Time after the deadline in which the last bytes may still arrive.
DEADLINE_GRACE_S = 0.25
# Time that another call may take meanwhile; its target answers at once.
MAX_OTHER_CALL_S = 0.25
MAX_GROWTH_BYTES = 32 << 20
BLOCK_BYTES = 256 << 10
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# What the target sends first, and what it repeats until the connection closes.
HEADS = {
    "junk": (b"", b"x"),
    "informational-responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "header-lines": (OK, b"A: b\r\n"),
    "one-header-line": (OK + b"A: ", b"b"),
}
BODIES = {
    "one-chunk-extension": (CHUNKED + b"1;", b"a=b;"),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
    "chunks-of-one-byte": (CHUNKED, b"1\r\na\r\n"),
    "chunks-with-extensions": (CHUNKED, b"1;a=b\r\na\r\n"),
    "large-chunks": (CHUNKED, b"4000\r\n" + b"a" * 0x4000 + b"\r\n"),
    "length-of-terabytes": (OK + b"Content-Length: 9000000000000\r\n\r\n", b"a"),
    "no-length": (OK + b"\r\n", b"a"),
}


class EndlessTarget:
    """Answers requests for /endless without end, and others at once.

    It runs in its own process, since threads would contend with the daemon for the
    interpreter lock.
    """

    def __init__(self, first, repeated):
        self._first = first
        self._block = repeated * max(1, BLOCK_BYTES // len(repeated))
        host, port = link.split_address(helpers.free_address())
        self._listener = socket.create_server((host, port))
        self.address = f"{host}:{port}"
        self._process = multiprocessing.get_context("fork").Process(
            target=self._accept, daemon=True
        )
        self._process.start()
        self._listener.close()

    def close(self):
        self._process.kill()
        self._process.join()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            head = b""
            while data := connection.recv(65536):
                head += data
                if b"\r\n\r\n" not in head:
                    continue
                if b"/endless" not in head:
                    connection.sendall(OK + b"Content-Length: 2\r\n\r\nok")
                    head = b""
                    continue
                connection.sendall(self._first)
                while True:
                    connection.sendall(self._block)


def resident_bytes():
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


async def read_to_end(address):
    """Return the bytes of an answer and the time until its connection ended (s)."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(*link.split_address(address))
    writer.write(fleetparts.request_bytes(path="/endless", Connection="close"))
    head, size = b"", 0
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1 << 16):
            head = head or data
            size += len(data)
    writer.close()
    return head, time.monotonic() - started_at


async def never_read(address):
    """Send a request without reading; return the open connection after the deadline.

    The caller keeps it, since a connection that is not referenced is closed.
    """
    _, writer = await asyncio.open_connection(*link.split_address(address))
    writer.transport.pause_reading()
    writer.write(fleetparts.request_bytes(path="/endless", Connection="close"))
    await asyncio.sleep(DEADLINE_S + DEADLINE_GRACE_S)
    return writer, DEADLINE_S


def run_beside_other_calls(
    first, repeated, endless_calls=1, entry="t1", read=read_to_end
):
    """Return the endless answers' start and time and the longest other call (s).

    At the end, no daemon may still hold a call or a caller's connection.
    """

    target = EndlessTarget(first, repeated)

    async def scenario():
        state = fleetparts.fleet_state(
            ("shop", "parts"), deadline_ms=int(DEADLINE_S * 1000), attempts=0
        )
        async with fleetparts.Fleet(state) as fleet:
            await fleet.daemon("t1", "shop", target.address)
            await fleet.daemon("t2", "parts", target.address)
            address = fleet.address(entry)
            assert (await fleetparts.fetch(address)).status == 200
            before = resident_bytes()
            reading = asyncio.gather(*[read(address) for _ in range(endless_calls)])
            longest_s, growth = 0.0, 0
            while not reading.done():
                started_at = time.monotonic()
                assert (await fleetparts.fetch(address)).status == 200
                longest_s = max(longest_s, time.monotonic() - started_at)
                growth = max(growth, resident_bytes() - before)
                await asyncio.sleep(0.01)
            heads, times_s = zip(*await reading, strict=True)
            held = [
                (daemon.running, daemon.dispatcher.in_flight, len(daemon.callers))
                for daemon in fleet.daemons.values()
            ]
            assert held == [(0, 0, 0)] * len(held)
        assert growth < MAX_GROWTH_BYTES
        return heads, max(times_s), longest_s

    try:
        return helpers.run(scenario())
    finally:
        target.close()


@pytest.mark.parametrize("kind", HEADS)
def test_endless_head_ends_its_call_by_the_deadline_and_delays_no_other(kind):
    """Guards against a target that stops its daemon with bytes that are no answer."""
    [head], took_s, longest_s = run_beside_other_calls(*HEADS[kind])
    assert head.split()[1] in (b"502", b"504")
    assert took_s < DEADLINE_S + DEADLINE_GRACE_S
    assert longest_s < MAX_OTHER_CALL_S


@pytest.mark.parametrize("kind", BODIES)
def test_endless_body_ends_its_call_by_the_deadline_and_delays_no_other(kind):
    """Guards against a body that occupies the daemon until its caller leaves."""
    _, took_s, longest_s = run_beside_other_calls(*BODIES[kind])
    assert took_s < DEADLINE_S + DEADLINE_GRACE_S
    assert longest_s < MAX_OTHER_CALL_S


@pytest.mark.parametrize("kind", [*HEADS, *BODIES])
@pytest.mark.parametrize("entry", ["t1", "t2"])
def test_several_endless_answers_end_by_the_deadline_and_delay_no_other(kind, entry):
    """Guards against work that grows with the number of such answers, or over links."""
    answer = {**HEADS, **BODIES}[kind]
    _, took_s, longest_s = run_beside_other_calls(*answer, 8, entry)
    assert took_s < DEADLINE_S + DEADLINE_GRACE_S
    assert longest_s < MAX_OTHER_CALL_S


@pytest.mark.parametrize(
    "kind", ["chunks-of-one-byte", "large-chunks", "length-of-terabytes"]
)
@pytest.mark.parametrize("entry", ["t1", "t2"])
def test_endless_body_is_not_kept_for_a_caller_that_does_not_read(kind, entry):
    """Guards against a body that fills the memory of a daemon on its way."""
    _, _, longest_s = run_beside_other_calls(*BODIES[kind], 8, entry, never_read)
    assert longest_s < MAX_OTHER_CALL_S
