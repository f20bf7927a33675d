"""HTTP/1.1 server on h11: keep-alive, streamed bodies, size limits and timeouts."""

import asyncio
import dataclasses
import math
import socket
import ssl
import struct
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Protocol, cast

import h11
from absl import logging

from toucanfold import (
    bodies,
    calls,
    eagertask,
    eventturns,
    exceptions,
    httpwriter,
    link,
)

# While a request is handled, reading stops above this number of buffered bytes.
MAX_PIPELINED_BYTES = 64 << 10
# After a refusal the rest of the request is read and discarded for this time: closing
# with unread data would send a reset, and the caller could lose the refusal.
LINGER_TIMEOUT_S = 1.0
# After listening has stopped, connections without a request stay open for this time:
# a caller may just have sent one.
SHUTDOWN_GRACE_S = 0.2
SHUTDOWN_POLL_INTERVAL_S = 0.02
# Lowest mean rate of a request body after the body timeout has passed.
MIN_BODY_BYTES_PER_S = 1024
# Bodies of requests with one of these fields are parsed by h11.
_CONNECTION_CONTROL_FIELDS = frozenset(
    (b"connection", b"expect", b"transfer-encoding", b"upgrade")
)


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of a server and its connections; sizes in bytes, times in seconds."""

    max_header: int = 32 << 10
    max_body: int = 16 << 20
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4000


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its complete body, or with a stream of its chunks.

    received_at is the event loop's monotonic time at which the head was complete.
    """

    method: str
    path: str
    headers: calls.Headers
    received_at: float
    body: bytes = b""
    body_stream: bodies.BodyStream | None = None
    context: Any = None


@dataclasses.dataclass(slots=True)
class Response:
    """A response with its complete body, or with a stream of its chunks."""

    status: int
    headers: calls.Headers
    body: bytes = b""
    body_stream: AsyncIterator[bytes] | None = None
    close: bool = False


class Handler(Protocol):
    """Responds to the requests that a server receives."""

    def check_head(self, request: Request) -> Response | None:
        """Refuse a request before its body is read, or return None."""

    async def handle(self, request: Request) -> Response:
        """Return the response; cancelled when the caller disconnects."""

    def protocol_error(self, status: int, message: str) -> Response:
        """Return the response to a malformed, oversized or slow request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Listener:
    """An additional HTTP listener: its handler and the option with its address."""

    option: str
    handler: Handler


class Connection(asyncio.Protocol):
    """A caller's connection; its requests are handled one at a time, in order."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_body_started_at",
        "_deadline",
        "_drained",
        "_handler",
        "_has_unprocessed_events",
        "_http",
        "_is_handling_events",
        "_lingering",
        "_loop",
        "_request",
        "_server",
        "_stream",
        "_task",
        "_timer",
        "_timer_at",
        "_transport",
        "_unparsed_body_bytes",
    )

    def __init__(self, server: "Server"):
        self._server = server
        self._handler = server.handler
        self._loop = server.loop
        self._http = server.new_parser()
        self._has_unprocessed_events = False
        self._is_handling_events = False
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._request: Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._body_started_at = 0.0
        self._stream: bodies.BodyStream | None = None
        self._drained: asyncio.Future[None] | None = None
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        # Loop time at which the timer fires; TimerHandle.when() may use another clock.
        self._timer_at = math.inf
        self._lingering = False
        # Length of a complete body in h11's buffer, -1 if h11 parses the body.
        self._unparsed_body_bytes = -1

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun."""
        return self._request is None and not self._http.trailing_data[0]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the header timeout, or abort above the connection limit."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._server.add(self):
            self._transport.abort()
            return
        self._set_timeout(self._server.limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the request body and cancel the handler."""
        self._server.discard(self)
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        if self._stream is not None:
            self._stream.abort("the caller disconnected")
        self.resume_writing()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close and cancel the handler: a half-closed connection counts as closed."""
        return False

    def pause_writing(self) -> None:
        """Suspend the response stream until the caller reads."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Resume the response stream."""
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parse bytes received from the caller."""
        if self._lingering:
            return
        self._http.receive_data(data)
        if self._has_unprocessed_events:
            return
        if self._server.turns.is_busy:
            self._process_later()
        else:
            self._process_received()

    def _process_received(self) -> None:
        """Handle received events, then limit what waits behind them."""
        self._process_events()
        if self._transport is None or self._task is not None:
            self._limit_pipeline()
        elif self._request is None and self._http.trailing_data[0]:
            self._start_head_timeout()

    def close_when_idle(self) -> None:
        """Close now if no request has begun; draining closes it after a response."""
        if self.is_idle and self._transport is not None and not self._lingering:
            self._transport.close()

    def _start_head_timeout(self) -> None:
        """Start the header timeout; later bytes of the head do not extend it."""
        limit = self._loop.time() + self._server.limits.header_timeout_s
        if self._deadline > limit:
            self._set_deadline(limit)

    def _limit_pipeline(self) -> None:
        if self._transport is not None and self._has_full_pipeline():
            self._transport.pause_reading()

    def _has_full_pipeline(self) -> bool:
        """Whether too many bytes wait behind the request that is handled."""
        if self._task is None or self._stream is not None:
            return False
        return len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES

    def _is_stream_above(self, size: int) -> bool:
        stream = self._stream
        return (
            stream is not None and not stream.is_ended and stream.buffered_bytes > size
        )

    def _process_events(self) -> None:
        """Handle the next events, and those that remain in later turns."""
        self._has_unprocessed_events = False
        if self._transport is None:
            return
        self._is_handling_events = True
        try:
            self._has_unprocessed_events = eventturns.handle_turn(self)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
        finally:
            self._is_handling_events = False
        if self._transport is None:
            return
        if self._has_unprocessed_events:
            self._process_later()
        elif not self._has_full_pipeline() and not self._is_stream_above(
            bodies.STREAM_WINDOW_BYTES // 2
        ):
            self._resume_reading()

    def _process_later(self) -> None:
        self._has_unprocessed_events = True
        if self._transport is not None:
            self._transport.pause_reading()
        self._server.turns.add(self._process_received)

    def can_handle_events(self) -> bool:
        """Whether the connection is open and no buffered request is running."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not self._lingering and self._unparsed_body_bytes < 0

    def next_event(self) -> Any:
        """Return the parser's next event."""
        return self._http.next_event()

    def on_event(self, event: Any) -> None:
        """Handle an event other than a chunk of a body."""
        if type(event) is h11.Request:
            self._on_request_head(event)
        elif type(event) is h11.EndOfMessage:
            self._on_body_end()
        elif self._transport is not None:
            self._transport.close()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    def _on_request_head(self, event: h11.Request) -> None:
        now = self._loop.time()
        headers = list(event.headers)
        problem, length = _check_framing(event, headers)
        if problem:
            self._refuse(400, problem)
            return
        if _head_bytes(event, headers) > self._server.limits.max_header:
            # h11 checks its size limit only if the head arrives in several reads.
            self._refuse(431, "the request head is too large")
            return
        if length > self._server.limits.max_body:
            self._refuse(413, f"a body of {length} bytes is too large")
            return
        request = Request(
            event.method.decode("ascii"), event.target.decode("ascii"), headers, now
        )
        self._request = request
        self._body, self._body_bytes, self._body_started_at = [], 0, now
        self._stream = None
        self._deadline = now + self._server.limits.body_timeout_s
        refusal = self._handler.check_head(request)
        waiting = b""
        is_buffered = _has_simple_framing(event, headers, length)
        if is_buffered:
            waiting = self._http.trailing_data[0]
            is_buffered = len(waiting) >= length
        if is_buffered:
            request.body = waiting[:length]
            self._unparsed_body_bytes = length
            self._deadline = math.inf
        if refusal is not None:
            self._respond_now(refusal)
        elif is_buffered:
            self._start(self._run(request))
        else:
            self._expect_body(length)

    def _expect_body(self, length: int) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        if length > bodies.MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()

    def on_body_data(self, data: bytes) -> None:
        """Count, limit and buffer or stream consecutive chunks of a request's body."""
        if self._request is None:
            return
        self._body_bytes += len(data)
        limits = self._server.limits
        if self._body_bytes > limits.max_body:
            self._refuse(413, f"a body of more than {limits.max_body} bytes")
            return
        self._extend_body_deadline()
        if self._stream is not None:
            self._stream.put(data)
            if self._is_stream_above(bodies.STREAM_WINDOW_BYTES):
                self._pause_body()
            return
        self._body.append(data)
        if self._body_bytes > bodies.MAX_BUFFERED_BODY_BYTES and self._task is None:
            self._start_streaming()

    def _extend_body_deadline(self) -> None:
        limits = self._server.limits
        now = self._loop.time()
        rate_deadline = (
            self._body_started_at
            + limits.body_timeout_s
            + self._body_bytes / MIN_BODY_BYTES_PER_S
        )
        self._set_deadline(min(now + limits.body_timeout_s, rate_deadline))

    def _start_streaming(self) -> None:
        assert self._request is not None
        self._stream = bodies.BodyStream(self._on_chunk_consumed)
        for chunk in self._body:
            self._stream.put(chunk)
        self._body = []
        self._request.body_stream = self._stream
        self._start(self._run(self._request))

    def _pause_body(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()
            self._deadline = math.inf

    def _on_chunk_consumed(self, size: int) -> None:
        stream = self._stream
        if stream is None or stream.is_ended or self._transport is None:
            return
        if stream.buffered_bytes <= bodies.STREAM_WINDOW_BYTES // 2 and (
            not self._transport.is_reading()
        ):
            # This server suspended reading, so the body timeout starts again.
            self._body_started_at = self._loop.time() - (
                self._body_bytes / MIN_BODY_BYTES_PER_S
            )
            self._extend_body_deadline()
            if not self._has_unprocessed_events:
                self._transport.resume_reading()

    def _on_body_end(self) -> None:
        self._deadline = math.inf
        if self._stream is not None:
            self._stream.finish()
        elif self._request is not None and self._task is None:
            self._request.body = b"".join(self._body)
            self._body = []
            self._start(self._run(self._request))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = eagertask.start_eager_task(self._loop, coroutine)
        if task is not None:
            self._task = task

    async def _run(self, request: Request) -> None:
        try:
            response = await self._handler.handle(request)
        except asyncio.CancelledError:
            if self._task is not None:
                # Cancelled by this process: no response follows, so do not keep the
                # caller waiting.
                self._abort()
            raise
        except Exception:
            logging.exception("unhandled exception in an HTTP handler; responding 500")
            response = self._handler.protocol_error(500, "internal error")
            response.close = True
        await self._respond(response)

    async def _respond(self, response: Response) -> None:
        stream = response.body_stream
        if self._transport is None:
            bodies.cancel(stream)
            return
        if stream is None:
            self._task = None
            self._respond_now(response)
            return
        self._parse_buffered_request()
        try:
            await self._send_stream(self._head(response), stream)
        except (h11.LocalProtocolError, exceptions.BodyAbortedError) as error:
            logging.warning(
                "reset a caller's connection while sending a response: %s", error
            )
            self._abort()
            return
        finally:
            bodies.cancel(stream)
        self._task = None
        self._after_response()

    def _respond_now(self, response: Response) -> None:
        """Send a response with a complete body."""
        try:
            if self._unparsed_body_bytes >= 0:
                self._write_without_parser(response)
                return
            self._write_complete(self._head(response), response.body)
        except h11.LocalProtocolError as error:
            logging.warning(
                "reset a caller's connection while sending a response: %s", error
            )
            self._abort()
            return
        self._after_response()

    def _write_without_parser(self, response: Response) -> None:
        """Respond to a request whose body h11 has not parsed."""
        assert self._request is not None and self._transport is not None
        close = response.close or self._server.draining
        headers = response.headers
        if close:
            headers = [*headers, (b"connection", b"close")]
        is_head = self._request.method == "HEAD"
        self._transport.write(
            httpwriter.response(response.status, headers, response.body, is_head)
        )
        pipelined = self._http.trailing_data[0][self._unparsed_body_bytes :]
        self._http = self._server.new_parser()
        self._unparsed_body_bytes = -1
        if pipelined:
            self._http.receive_data(pipelined)
        self._request = None
        if close:
            self._transport.close()
        else:
            self._wait_for_next()

    def _parse_buffered_request(self) -> None:
        """Let h11 parse the body of a buffered request, before it frames a response."""
        if self._unparsed_body_bytes >= 0:
            self._unparsed_body_bytes = -1
            while type(self._http.next_event()) is not h11.EndOfMessage:
                pass

    def _head(self, response: Response) -> h11.Response:
        assert self._request is not None
        headers = response.headers
        unread = self._http.their_state is h11.SEND_BODY
        if response.close or unread or self._server.draining:
            headers = [*headers, (b"connection", b"close")]
        if response.body_stream is None and self._request.method != "HEAD":
            has_body = response.status not in (204, 304)
            if has_body and not any(name == b"content-length" for name, _ in headers):
                length = str(len(response.body)).encode()
                headers = [*headers, (b"content-length", length)]
        reason = httpwriter.REASONS.get(response.status, b"")
        return h11.Response(status_code=response.status, headers=headers, reason=reason)

    def _write_complete(self, head: h11.Response, body: bytes) -> None:
        assert self._transport is not None
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    async def _send_stream(
        self, head: h11.Response, stream: AsyncIterator[bytes]
    ) -> None:
        self._write(head)
        if isinstance(stream, bodies.BodyStream):
            stream.on_end(self._on_response_body_end)
        async for chunk in stream:
            self._write(h11.Data(data=chunk))
            if self._drained is not None:
                await self._wait_for_reader()
        self._write(h11.EndOfMessage())

    def _on_response_body_end(self, complete: bool) -> None:
        if not complete:
            # What follows is a reset, which need not wait for the caller to read.
            self.resume_writing()

    async def _wait_for_reader(self) -> None:
        saved = self._deadline
        self._set_deadline(self._loop.time() + self._server.limits.body_timeout_s)
        if self._drained is not None:
            await self._drained
        self._deadline = saved

    def _write(self, event: Any) -> None:
        data = self._http.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def _after_response(self) -> None:
        self._request = None
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.cancel()
        if self._transport is None:
            return
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            self._linger()
            return
        self._http.start_next_cycle()
        if self._server.draining:
            self._transport.close()
        else:
            self._wait_for_next()

    def _wait_for_next(self) -> None:
        assert self._transport is not None
        self._set_deadline(self._loop.time() + self._server.limits.idle_timeout_s)
        if self._has_unprocessed_events:
            return
        self._resume_reading()
        # While events are handled, those of the next request follow anyway.
        if self._http.trailing_data[0] and not self._is_handling_events:
            self._process_events()

    def _refuse(self, status: int, message: str) -> None:
        """Refuse a malformed, oversized or slow request and close.

        If a response has begun already, the connection is reset instead.
        """
        self._server.refused += 1
        if self._stream is not None:
            self._stream.abort(message)
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._abort()
            return
        response = self._handler.protocol_error(status, message)
        fields = [*response.headers, (b"connection", b"close")]
        fields.append((b"content-length", str(len(response.body)).encode()))
        reason = httpwriter.REASONS.get(status, b"")
        self._write_complete(
            h11.Response(status_code=status, headers=fields, reason=reason),
            response.body,
        )
        self._linger()

    def _linger(self) -> None:
        """Flush the response, discard what still arrives, then close."""
        if self._transport is None:
            return
        self._lingering = True
        if self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            self._transport.close()
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._resume_reading()
        self._set_deadline(self._loop.time() + LINGER_TIMEOUT_S)

    def _abort(self) -> None:
        """Reset the connection, so that a truncated response cannot look complete."""
        transport = self._transport
        if transport is None:
            return
        raw = transport.get_extra_info("socket")
        if raw is not None:
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()

    def _set_timeout(self, seconds: float) -> None:
        self._set_deadline(self._loop.time() + seconds)

    def _set_deadline(self, when: float) -> None:
        """Set the deadline; the timer is replaced only if it would fire too late."""
        self._deadline = when
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._loop.call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._transport is None:
            return
        if self._loop.time() < self._deadline:
            if self._deadline != math.inf:
                self._set_deadline(self._deadline)
            return
        self._deadline = math.inf
        if self._lingering or self.is_idle or self._drained is not None:
            self._transport.abort()
        elif self._stream is not None:
            self._stream.abort("the caller sends its body too slowly")
        else:
            self._refuse(408, "the request took too long to arrive")


def _check_framing(event: h11.Request, headers: calls.Headers) -> tuple[str, int]:
    """Return the error in a request head (or ""), and its Content-Length or 0."""
    length, chunked = 0, False
    has_length = False
    for name, value in headers:
        if name == b"content-length":
            has_length, length = True, int(value)
        elif name == b"transfer-encoding":
            chunked = True
    if has_length and chunked:
        return "Content-Length and Transfer-Encoding together", 0
    if chunked and event.http_version < b"1.1":
        return "Transfer-Encoding needs HTTP/1.1", 0
    if not event.target.startswith(b"/"):
        return "the request target must be a path", 0
    return "", length


def _head_bytes(event: h11.Request, headers: calls.Headers) -> int:
    size = len(event.method) + len(event.target) + 12
    return size + sum([len(name) + len(value) + 4 for name, value in headers])


def _has_simple_framing(
    event: h11.Request, headers: calls.Headers, length: int
) -> bool:
    """Whether framing and keep-alive of a small request follow from its length."""
    if event.http_version != b"1.1" or length > bodies.MAX_BUFFERED_BODY_BYTES:
        return False
    return all(name not in _CONNECTION_CONTROL_FIELDS for name, _ in headers)


class Server:
    """Listens on an address and limits the number of connections."""

    __slots__ = (
        "_connections",
        "_server",
        "draining",
        "handler",
        "limits",
        "loop",
        "refused",
        "turns",
    )

    def __init__(self, handler: Handler, limits: Limits):
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.refused = 0
        self.turns = eventturns.EventTurns()
        self.loop = asyncio.get_running_loop()
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def busy(self) -> int:
        """Number of connections with a request whose response is not complete."""
        return sum(not connection.is_idle for connection in self._connections)

    def new_parser(self) -> h11.Connection:
        """Return an h11 parser with this server's header limit."""
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header
        )

    async def listen(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        """Accept connections on an address; OSError if it cannot be bound."""
        host, port = link.split_address(address)
        self._server = await self.loop.create_server(
            lambda: Connection(self), host, port, ssl=tls, backlog=1024
        )

    def add(self, connection: Connection) -> bool:
        """Register a connection; False if the maximum is reached."""
        if len(self._connections) >= self.limits.max_connections:
            return False
        self._connections.add(connection)
        return True

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    async def shut_down(self, timeout_s: float) -> None:
        """Stop listening, respond to the requests of open connections, then stop.

        Requests that are not answered within timeout_s are aborted.
        """
        self.drain()
        self._stop_listening()
        started_at = self.loop.time()
        grace_ends_at = started_at + min(SHUTDOWN_GRACE_S, timeout_s)
        while self._connections and self.loop.time() < started_at + timeout_s:
            if self.loop.time() >= grace_ends_at:
                self._close_idle()
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        self.stop()

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close_when_idle()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._stop_listening()
        for connection in list(self._connections):
            if connection._transport is not None:
                connection._transport.abort()
