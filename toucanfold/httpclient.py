"""HTTP/1.1 client on h11 for one target: a bounded pool of keep-alive connections."""

import asyncio
import collections
import dataclasses
import re
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import h11
from returns import result

from toucanfold import (
    bodies,
    calls,
    eventturns,
    exceptions,
    headers,
    httpwriter,
    link,
)

CONNECT_TIMEOUT_S = 2.0
# Shorter than the keep-alive timeout of common servers (5 s), so that a request is
# rarely sent on a connection that the target is about to close.
IDLE_TIMEOUT_S = 4.0
MAX_RESPONSE_HEAD_BYTES = 64 << 10
# Time by which a connection is closed before the timeout that its target states, so
# that no request crosses the target's close.
KEEP_ALIVE_MARGIN_S = 0.5
_KEEP_ALIVE_PATTERN = re.compile(rb"(?:^|[ ,])timeout *= *([0-9]{1,9})", re.IGNORECASE)
# Status codes that HTTP defines are below this one; the parser accepts all of 3 digits.
STATUS_LIMIT = 600
# Most informational (1xx) responses before the response of one exchange.
MAX_INFORMATIONAL_RESPONSES = 16
# Most responses to earlier requests that are skipped in one exchange.
MAX_SKIPPED_RESPONSES = 16
# Exchanges of one connection, which bounds the ids that it keeps.
MAX_EXCHANGES = 256


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """A target's response with its complete body, or with a stream of its chunks."""

    status: int
    headers: calls.Headers
    body: bytes = b""
    body_stream: bodies.BodyStream | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ExchangeIdentity:
    """The id of an exchange, and how to find the id that a response echoes.

    A target may send a second copy of an earlier response. Where a response echoes no
    id, it cannot be told from such a copy, so its connection is not used again.
    """

    id: bytes
    find_echoed_id: Callable[[calls.Headers], bytes | None]


ExchangeResult = result.Result[TargetResponse, exceptions.TargetError]


class Connection(asyncio.Protocol):
    """A connection to the target that carries one exchange at a time."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_body_task",
        "_drained",
        "_exchange_ids",
        "_has_unprocessed_events",
        "_http",
        "_identity",
        "_idle_timeout_s",
        "_informational_responses",
        "_is_head_request",
        "_is_parser_prepared",
        "_is_skipping",
        "_loop",
        "_may_be_reused",
        "_pool",
        "_response",
        "_skipped_responses",
        "_stream",
        "_transport",
        "_waiter",
        "idle_until",
    )

    def __init__(self, pool: "Pool"):
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._http = _new_parser()
        self._is_parser_prepared = False
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ExchangeResult] | None = None
        self._response: TargetResponse | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._stream: bodies.BodyStream | None = None
        self._body_task: asyncio.Task[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_head_request = False
        self._has_unprocessed_events = False
        self._informational_responses = 0
        self._identity: ExchangeIdentity | None = None
        self._exchange_ids: set[bytes] = set()
        self._is_skipping = False
        self._skipped_responses = 0
        self._may_be_reused = True
        self._idle_timeout_s = IDLE_TIMEOUT_S
        # Time (s of the loop) from which the idle connection is not used again.
        self.idle_until = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def has_carried(self, exchange_id: bytes) -> bool:
        """Whether an exchange with this id was started on the connection."""
        return exchange_id in self._exchange_ids

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and prepare the parser."""
        self._transport = cast(asyncio.Transport, transport)
        self._prepare_parser()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current exchange, if any."""
        self._transport = None
        self._pool.discard(self)
        self.resume_writing()
        self._fail("the target closed the connection before its answer was complete")

    def eof_received(self) -> bool:
        """Close: a response delimited only by the close is rejected."""
        return False

    def pause_writing(self) -> None:
        """Suspend the request's body until the target reads."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Resume the request's body."""
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
        identity: ExchangeIdentity | None = None,
    ) -> ExchangeResult:
        """Send a request and return its response; cancelling closes the connection.

        With an identity, responses that echo another id are skipped.
        """
        self._waiter = waiter = self._loop.create_future()
        self._response, self._body, self._body_bytes = None, [], 0
        self._stream = None
        self._informational_responses = self._skipped_responses = 0
        self._is_skipping = False
        self._is_head_request = method == "HEAD"
        self._begin_identity(identity)
        try:
            self._send_head(method, path, headers, body, body_stream is not None)
        except h11.LocalProtocolError as error:
            self.abort()
            return result.Failure(exceptions.TargetError(str(error), sent=False))
        if body_stream is not None:
            self._body_task = self._loop.create_task(self._send_body(body_stream))
        try:
            return await waiter
        except asyncio.CancelledError:
            self.abort()
            raise

    def _begin_identity(self, identity: ExchangeIdentity | None) -> None:
        self._identity = identity
        if identity is None:
            return
        self._exchange_ids.add(identity.id)
        # A copy of a response to HEAD has no body where later parsing expects one.
        if self._is_head_request or len(self._exchange_ids) >= MAX_EXCHANGES:
            self._may_be_reused = False

    def _send_head(
        self,
        method: str,
        path: str,
        headers: calls.Headers,
        body: bytes,
        streams_body: bool,
    ) -> None:
        assert self._transport is not None
        if self._is_parser_prepared and method != "HEAD" and not streams_body:
            self._is_parser_prepared = False
            self._transport.write(httpwriter.request(method, path, headers, body))
            return
        self._http = _new_parser()
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._http.send(request) or b""
        if not streams_body:
            data += self._http.send(h11.Data(data=body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def _prepare_parser(self) -> None:
        """Create a parser in the state after a request with a complete body."""
        self._http = _new_parser()
        self._http.send(_PLACEHOLDER_REQUEST)
        self._http.send(_PLACEHOLDER_END)
        self._is_parser_prepared = True

    def abort(self) -> None:
        """Close at once and fail the current exchange, if any."""
        if self._body_task is not None:
            self._body_task.cancel()
            self._body_task = None
        transport = self._transport
        if transport is not None:
            transport.abort()
        self._pool.discard(self)
        self._fail("the exchange was cancelled")

    def data_received(self, data: bytes) -> None:
        """Parse bytes received from the target."""
        if self._waiter is None and self._stream is None:
            # Bytes that belong to no request must never be read as the next response.
            self.abort()
            return
        self._http.receive_data(data)
        if self._has_unprocessed_events:
            return
        if self._pool.turns.is_busy:
            self._process_later()
        else:
            self.process_events()

    def process_events(self) -> None:
        """Handle the next events, and those that remain in later turns."""
        self._has_unprocessed_events = False
        if not self.is_open:
            return
        try:
            self._has_unprocessed_events = eventturns.handle_turn(self)
        except h11.RemoteProtocolError as error:
            self._fail(f"the target broke HTTP: {error}")
            self.abort()
        if self._has_unprocessed_events:
            self._process_later()
        else:
            self._resume_reading()

    def _process_later(self) -> None:
        self._has_unprocessed_events = True
        if self._transport is not None:
            self._transport.pause_reading()
        self._pool.turns.add(self.process_events)

    async def _send_body(self, stream: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in stream:
                self._write(h11.Data(data=chunk))
                if self._drained is not None:
                    await self._drained
                if self._transport is None:
                    return
            self._write(h11.EndOfMessage())
        except (exceptions.BodyAbortedError, h11.LocalProtocolError) as error:
            self._body_task = None
            self._fail(f"the request's body broke off: {error}")
            self.abort()
        finally:
            bodies.cancel(stream)

    def _write(self, event: Any) -> None:
        data = self._http.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def can_handle_events(self) -> bool:
        """Whether the connection is open and an exchange is under way."""
        return self.is_open and self._http is not _IDLE_PARSER

    def next_event(self) -> Any:
        """Return the parser's next event."""
        return self._http.next_event()

    def on_event(self, event: Any) -> None:
        """Handle an event other than a chunk of a body."""
        if type(event) is h11.Response:
            _check_status_line(event)
            self._on_response_head(event)
        elif type(event) is h11.InformationalResponse:
            _check_status_line(event)
            self._on_informational_response()
        elif type(event) is h11.EndOfMessage:
            self._on_response_end()
        else:
            self.abort()

    def _on_informational_response(self) -> None:
        self._informational_responses += 1
        if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
            raise h11.RemoteProtocolError("too many informational responses")

    def _is_own_response(self, event: h11.Response) -> bool:
        """Whether the response belongs to the current exchange; raises if unclear."""
        if self._identity is None:
            return True
        echoed = self._identity.find_echoed_id(list(event.headers))
        if echoed == self._identity.id:
            return True
        self._may_be_reused = False
        if echoed is not None:
            return False
        if len(self._exchange_ids) > 1:
            raise h11.RemoteProtocolError("the answer names no request")
        return True

    def _skip_response(self) -> None:
        """Skip a response to an earlier request; the own one may follow."""
        self._skipped_responses += 1
        can_skip = self._http.our_state is h11.DONE and not self._is_head_request
        if not can_skip or self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise h11.RemoteProtocolError("the answer is another request's")
        self._is_skipping = True

    def _on_skipped_response_end(self) -> None:
        received = self._http.trailing_data[0]
        self._is_skipping = False
        self._prepare_parser()
        if received:
            self._http.receive_data(received)

    def _on_response_head(self, event: h11.Response) -> None:
        if not self._is_own_response(event):
            self._skip_response()
            return
        self._response = TargetResponse(event.status_code, list(event.headers))
        self._idle_timeout_s = _idle_timeout_s(self._response.headers)
        if self._is_head_request or event.status_code in (204, 304):
            return
        length, chunked = None, False
        for name, value in event.headers:
            if name == b"content-length":
                length = int(value)
            chunked = chunked or name == b"transfer-encoding"
        if (length is None) is not chunked:
            # Without an unambiguous length, a truncated response looks complete.
            raise h11.RemoteProtocolError("the answer states no clear length")
        if length is None:
            return
        if length > bodies.MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()
        elif event.http_version == b"1.1" and self._http.our_state is h11.DONE:
            self._finish_if_buffered(length)

    def _finish_if_buffered(self, length: int) -> None:
        """Finish the exchange if exactly the body has arrived with the head."""
        assert self._response is not None
        waiting = self._http.trailing_data[0]
        if len(waiting) != length or self._http.their_state is not h11.SEND_BODY:
            return
        if any(name == b"connection" for name, _ in self._response.headers):
            return
        answer, self._response = self._response, None
        answer.body = waiting
        self._return_to_pool()
        self._resolve(result.Success(answer))

    def on_body_data(self, data: bytes) -> None:
        """Buffer or stream consecutive chunks of the response's body."""
        if self._is_skipping:
            return
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
        assert self._response is not None
        self._stream = bodies.BodyStream(self._on_chunk_consumed)
        for chunk in self._body:
            self._stream.put(chunk)
        self._body = []
        self._response.body_stream = self._stream
        self._stream.on_end(self._on_stream_end)
        self._resolve(result.Success(self._response))

    def _on_stream_end(self, complete: bool) -> None:
        self._stream = None
        if not complete:
            self.abort()

    def _on_chunk_consumed(self, size: int) -> None:
        stream = self._stream
        if (
            stream is not None
            and stream.buffered_bytes <= bodies.STREAM_WINDOW_BYTES // 2
        ):
            self._resume_reading()

    def _resume_reading(self) -> None:
        """Resume reading once all received events are handled and the stream drains."""
        stream = self._stream
        if (
            self._transport is not None
            and not self._transport.is_reading()
            and not self._has_unprocessed_events
            and (stream is None or stream.buffered_bytes <= bodies.STREAM_WINDOW_BYTES)
        ):
            self._transport.resume_reading()

    def _on_response_end(self) -> None:
        if self._is_skipping:
            self._on_skipped_response_end()
            return
        assert self._response is not None
        if self._stream is None:
            self._response.body = b"".join(self._body)
            self._body = []
        stream, self._stream = self._stream, None
        answer, self._response = self._response, None
        self._return_or_close()
        if stream is not None:
            stream.finish()
        else:
            self._resolve(result.Success(answer))

    def _return_or_close(self) -> None:
        """Reuse the connection only if both sides are exactly at a message's end."""
        both_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        if not both_done or self._http.trailing_data[0]:
            if self._body_task is not None:
                self._body_task.cancel()
                self._body_task = None
            if self._transport is not None:
                self._transport.abort()
            self._pool.discard(self)
            return
        self._body_task = None
        self._return_to_pool()

    def _return_to_pool(self) -> None:
        if not self._may_be_reused:
            self._close_after_exchange()
            return
        self._resume_reading()
        # Deferred, so that it does not delay the current response.
        self._is_parser_prepared = False
        self._http = _IDLE_PARSER
        self._loop.call_soon(self._prepare_parser_if_idle)
        self.idle_until = self._loop.time() + self._idle_timeout_s
        self._pool.release(self)

    def _close_after_exchange(self) -> None:
        self._http = _IDLE_PARSER
        if self._transport is not None:
            self._transport.close()
        self._pool.discard(self)

    def _prepare_parser_if_idle(self) -> None:
        if self._http is _IDLE_PARSER:
            self._prepare_parser()

    def _resolve(self, exchange_result: ExchangeResult) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(exchange_result)

    def _fail(self, reason: str) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort(reason)
        answered = self._response is not None
        self._resolve(
            result.Failure(exceptions.TargetError(reason, sent=True, answered=answered))
        )


def _check_status_line(event: h11.Response | h11.InformationalResponse) -> None:
    """Raise unless the status line is one of HTTP/1 with a status that HTTP defines."""
    if not event.http_version.startswith(b"1.") or event.status_code >= STATUS_LIMIT:
        raise h11.RemoteProtocolError(
            f"the status line names HTTP/{event.http_version.decode('latin-1')} "
            f"and status {event.status_code}"
        )


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)


# The framing of a response depends only on whether the method is HEAD, so this one
# checked request brings the parser into the right state for every other method.
_PLACEHOLDER_REQUEST = h11.Request(
    method="GET", target="/", headers=[("host", "target")]
)
_PLACEHOLDER_END = h11.EndOfMessage()
# Placeholder for the parser of a connection between two exchanges.
_IDLE_PARSER = _new_parser()


def _idle_timeout_s(fields: calls.Headers) -> float:
    """Return how long (s) a connection may stay idle after a response."""
    stated = _KEEP_ALIVE_PATTERN.search(headers.find(fields, b"keep-alive") or b"")
    if stated is None:
        return IDLE_TIMEOUT_S
    return min(IDLE_TIMEOUT_S, int(stated[1]) - KEEP_ALIVE_MARGIN_S)


class Pool:
    """Up to limit connections to one target; the most recent one is reused first."""

    __slots__ = (
        "_address",
        "_all",
        "_connecting",
        "_idle",
        "_waiters",
        "limit",
        "turns",
    )

    def __init__(self, address: str, limit: int):
        self._address = link.split_address(address)
        self.limit = limit
        self.turns = eventturns.EventTurns()
        self._all: set[Connection] = set()
        self._idle: collections.deque[Connection] = collections.deque()
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._connecting = 0

    def __len__(self) -> int:
        return len(self._all) + self._connecting

    @property
    def address(self) -> str:
        """Address (host:port) of the target."""
        return "{}:{}".format(*self._address)

    @property
    def idle(self) -> int:
        """Number of idle keep-alive connections."""
        return len(self._idle)

    async def acquire(
        self, exchange_id: bytes = b""
    ) -> result.Result[Connection, exceptions.TargetError]:
        """Return a connection for one exchange; waits while all are in use.

        The connection has not carried an exchange with this id. Failure if a new
        connection cannot be opened within CONNECT_TIMEOUT_S.
        """
        while True:
            connection = self.take_idle(exchange_id)
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
                    self._wake_waiter()
                raise

    def release(self, connection: Connection) -> None:
        """Make a connection idle after a complete exchange."""
        self._idle.append(connection)
        self._wake_waiter()

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection."""
        if connection in self._all:
            self._all.remove(connection)
            if connection in self._idle:
                self._idle.remove(connection)
            self._wake_waiter()

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for their timeout or longer."""
        for connection in [each for each in self._idle if now >= each.idle_until]:
            connection.abort()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._all):
            connection.abort()

    def take_idle(self, exchange_id: bytes = b"") -> Connection | None:
        """Return the most recently used idle connection, None if there is none.

        A connection that has carried an exchange with this id is closed instead.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_open:
                continue
            if now < connection.idle_until and not connection.has_carried(exchange_id):
                return connection
            connection.abort()
        return None

    async def _connect(self) -> result.Result[Connection, exceptions.TargetError]:
        host, port = self._address
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), host, port
                )
            self._all.add(opened)
            return result.Success(opened)
        except (OSError, TimeoutError) as error:
            message = f"no connection to the target: {error or 'timeout'}"
            refused = isinstance(error, ConnectionRefusedError)
            return result.Failure(
                exceptions.TargetError(message, sent=False, refused=refused)
            )
        finally:
            self._connecting -= 1
            # If connecting failed or was cancelled, another waiter may connect.
            if len(self) < self.limit:
                self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
