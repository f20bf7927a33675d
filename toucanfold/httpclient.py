"""HTTP/1.1 client on h11 for one target: a bounded pool of kept connections."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncIterator
from typing import Any, cast

import h11
from returns import result

from toucanfold import bodies, calls, exceptions, httpwriter, link

CONNECT_LIMIT_S = 2.0
# Shorter than the keep-alive time of common servers (5 s), so that a request is
# rarely sent on a connection which the target is about to close.
IDLE_LIMIT_S = 4.0
MAX_ANSWER_HEAD_BYTES = 64 << 10


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """A target's answer with its whole body, or with a stream of its parts."""

    status: int
    headers: calls.Headers
    body: bytes = b""
    body_stream: bodies.BodyStream | None = None


Exchanged = result.Result[TargetResponse, exceptions.TargetError]


class Connection(asyncio.Protocol):
    """A connection to the target that carries one exchange at a time."""

    __slots__ = (
        "_answer",
        "_bodiless",
        "_body",
        "_body_bytes",
        "_drained",
        "_http",
        "_is_prepared",
        "_loop",
        "_pool",
        "_pump",
        "_stream",
        "_transport",
        "_waiter",
        "idle_since",
    )

    def __init__(self, pool: "Pool"):
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._http = _new_parser()
        self._is_prepared = False
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Exchanged] | None = None
        self._answer: TargetResponse | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._stream: bodies.BodyStream | None = None
        self._pump: asyncio.Task[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._bodiless = False
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._prepare()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that runs, if any."""
        self._transport = None
        self._pool.discard(self)
        self.resume_writing()
        self._fail("the target closed the connection before its answer was complete")

    def eof_received(self) -> bool:
        """Close: an answer that only the end of the connection ends is refused."""
        return False

    def pause_writing(self) -> None:
        """Make the request's body wait until the target reads."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let the request's body go on."""
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    async def exchange(
        self,
        method: str,
        path: str,
        headers: calls.Headers,
        body: bytes,
        body_stream: AsyncIterator[bytes] | None,
    ) -> Exchanged:
        """Send a request and return the answer; cancelling closes the connection."""
        self._waiter = waiter = self._loop.create_future()
        self._answer, self._body, self._body_bytes = None, [], 0
        self._stream = None
        self._bodiless = method == "HEAD"
        try:
            self._send_head(method, path, headers, body, body_stream is not None)
        except h11.LocalProtocolError as error:
            self.abort()
            return result.Failure(exceptions.TargetError(str(error), sent=False))
        if body_stream is not None:
            self._pump = self._loop.create_task(self._send_body(body_stream))
        try:
            return await waiter
        except asyncio.CancelledError:
            self.abort()
            raise

    def _send_head(
        self,
        method: str,
        path: str,
        headers: calls.Headers,
        body: bytes,
        body_follows: bool,
    ) -> None:
        assert self._transport is not None
        if self._is_prepared and method != "HEAD" and not body_follows:
            self._is_prepared = False
            self._transport.write(httpwriter.request(method, path, headers, body))
            return
        self._http = _new_parser()
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._http.send(request) or b""
        if not body_follows:
            data += self._http.send(h11.Data(data=body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def _prepare(self) -> None:
        """Put a parser into the state after a request with a whole body."""
        self._http = _new_parser()
        self._http.send(_ANY_REQUEST)
        self._http.send(_ANY_END)
        self._is_prepared = True

    def abort(self) -> None:
        """Close at once; whatever runs on the connection ends."""
        if self._pump is not None:
            self._pump.cancel()
            self._pump = None
        transport = self._transport
        if transport is not None:
            transport.abort()
        self._pool.discard(self)
        self._fail("the exchange was cancelled")

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the target."""
        if self._waiter is None and self._stream is None:
            # Bytes that belong to no request must never answer the next one.
            self.abort()
            return
        self._http.receive_data(data)
        try:
            self._advance()
        except h11.RemoteProtocolError as error:
            self._fail(f"the target broke HTTP: {error}")
            self.abort()

    async def _send_body(self, stream: AsyncIterator[bytes]) -> None:
        try:
            async for part in stream:
                self._write(h11.Data(data=part))
                if self._drained is not None:
                    await self._drained
                if self._transport is None:
                    return
            self._write(h11.EndOfMessage())
        except (exceptions.BodyAbortedError, h11.LocalProtocolError) as error:
            self._pump = None
            self._fail(f"the request's body broke off: {error}")
            self.abort()
        finally:
            bodies.cancel(stream)

    def _write(self, event: Any) -> None:
        data = self._http.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def _advance(self) -> None:
        while self._transport is not None and self._http is not _UNUSED:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if type(event) is h11.Data:
                self._on_data(bytes(event.data))
            elif type(event) is h11.Response:
                self._on_head(event)
            elif type(event) is h11.EndOfMessage:
                self._on_end()
                return
            elif type(event) is h11.ConnectionClosed:
                return

    def _on_head(self, event: h11.Response) -> None:
        self._answer = TargetResponse(event.status_code, list(event.headers))
        if self._bodiless or event.status_code in (204, 304):
            return
        length, chunked = None, False
        for name, value in event.headers:
            if name == b"content-length":
                length = int(value)
            chunked = chunked or name == b"transfer-encoding"
        if (length is None) is not chunked:
            # Without one clear length, a cut answer cannot be told from a whole one.
            raise h11.RemoteProtocolError("the answer states no clear length")
        if length is None:
            return
        if length > bodies.MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()
        elif event.http_version == b"1.1" and self._http.our_state is h11.DONE:
            self._take_whole(length)

    def _take_whole(self, length: int) -> None:
        """End the exchange if the body, and nothing else, has arrived with the head."""
        assert self._answer is not None
        waiting = self._http.trailing_data[0]
        if len(waiting) != length or self._http.their_state is not h11.SEND_BODY:
            return
        if any(name == b"connection" for name, _ in self._answer.headers):
            return
        answer, self._answer = self._answer, None
        answer.body = waiting
        self._keep()
        self._resolve(result.Success(answer))

    def _on_data(self, data: bytes) -> None:
        if self._stream is not None:
            self._stream.put(data)
            if (
                self._stream.buffered_bytes > bodies.STREAM_WINDOW_BYTES
                and self._transport is not None
            ):
                self._transport.pause_reading()
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > bodies.MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()

    def _start_streaming(self) -> None:
        assert self._answer is not None
        self._stream = bodies.BodyStream(self._on_consumed)
        for part in self._body:
            self._stream.put(part)
        self._body = []
        self._answer.body_stream = self._stream
        self._stream.on_end(self._on_stream_end)
        self._resolve(result.Success(self._answer))

    def _on_stream_end(self, complete: bool) -> None:
        self._stream = None
        if not complete:
            self.abort()

    def _on_consumed(self, size: int) -> None:
        stream = self._stream
        if (
            stream is not None
            and self._transport is not None
            and stream.buffered_bytes <= bodies.STREAM_WINDOW_BYTES // 2
            and not self._transport.is_reading()
        ):
            self._transport.resume_reading()

    def _on_end(self) -> None:
        assert self._answer is not None
        if self._stream is None:
            self._answer.body = b"".join(self._body)
            self._body = []
        stream, self._stream = self._stream, None
        answer, self._answer = self._answer, None
        self._release()
        if stream is not None:
            stream.finish()
        else:
            self._resolve(result.Success(answer))

    def _release(self) -> None:
        """Keep the connection only if both sides are exactly at a message's end."""
        both_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        if not both_done or self._http.trailing_data[0]:
            if self._pump is not None:
                self._pump.cancel()
                self._pump = None
            if self._transport is not None:
                self._transport.abort()
            self._pool.discard(self)
            return
        self._pump = None
        self._keep()

    def _keep(self) -> None:
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        # Preparing later keeps it out of the time of the present answer.
        self._is_prepared = False
        self._http = _UNUSED
        self._loop.call_soon(self._prepare_if_idle)
        self._pool.release(self)

    def _prepare_if_idle(self) -> None:
        if self._http is _UNUSED:
            self._prepare()

    def _resolve(self, exchanged: Exchanged) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(exchanged)

    def _fail(self, reason: str) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort(reason)
        answered = self._answer is not None
        self._resolve(
            result.Failure(exceptions.TargetError(reason, sent=True, answered=answered))
        )


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)


# Framing of answers depends only on whether the method is HEAD, so one request that
# was checked before brings the parser of every other method into the right state.
_ANY_REQUEST = h11.Request(method="GET", target="/", headers=[("host", "target")])
_ANY_END = h11.EndOfMessage()
# Stands for the parser of a connection between two exchanges.
_UNUSED = _new_parser()


class Pool:
    """Connections to one target, at most limit; the last used is used next."""

    __slots__ = ("_address", "_all", "_connecting", "_idle", "_waiters", "limit")

    def __init__(self, address: str, limit: int):
        self._address = link.split_address(address)
        self.limit = limit
        self._all: set[Connection] = set()
        self._idle: collections.deque[Connection] = collections.deque()
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._connecting = 0

    def __len__(self) -> int:
        return len(self._all) + self._connecting

    @property
    def idle(self) -> int:
        """Number of kept connections without an exchange."""
        return len(self._idle)

    async def acquire(self) -> result.Result[Connection, exceptions.TargetError]:
        """Return a connection for one exchange, waiting while all are in use."""
        while True:
            connection = self.take_idle()
            if connection is not None:
                return result.Success(connection)
            if len(self) < self.limit:
                return await self._connect()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake()
                raise

    def release(self, connection: Connection) -> None:
        """Keep a connection whose exchange is complete."""
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)
        self._wake()

    def discard(self, connection: Connection) -> None:
        """Forget a closed connection."""
        if connection in self._all:
            self._all.remove(connection)
            if connection in self._idle:
                self._idle.remove(connection)
            self._wake()

    def close_idle(self, now: float, limit_s: float = IDLE_LIMIT_S) -> None:
        """Close the connections which were idle for longer than the limit."""
        while self._idle and now - self._idle[0].idle_since >= limit_s:
            self._idle[0].abort()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._all):
            connection.abort()

    def take_idle(self) -> Connection | None:
        """Return a kept connection that is open, None if there is none."""
        now = asyncio.get_running_loop().time()
        self.close_idle(now)
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        return None

    async def _connect(self) -> result.Result[Connection, exceptions.TargetError]:
        host, port = self._address
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                _, made = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), host, port
                )
            self._all.add(made)
            return result.Success(made)
        except (OSError, TimeoutError) as error:
            message = f"no connection to the target: {error or 'timeout'}"
            return result.Failure(exceptions.TargetError(message, sent=False))
        finally:
            self._connecting -= 1
            # Without a connection the place is free, also after a cancellation.
            if len(self) < self.limit:
                self._wake()

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
