"""Small HTTP/1.1 server and client on asyncio and h11 for tools and callers."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import cast

import h11
from absl import logging

from toucanfold import link

MAX_HEAD_BYTES = 32 << 10
MAX_BODY_BYTES = 16 << 20
CONNECT_TIMEOUT_S = 2.0
BACKLOG = 512

Headers = list[tuple[bytes, bytes]]


class ConnectError(Exception):
    """The connection could not be opened, so nothing was sent."""


class DisconnectedError(Exception):
    """The connection ended or the response was malformed after the request was sent."""


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request; header names are in lower case on the server side."""

    method: str
    path: str
    headers: Headers
    body: bytes = b""

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return first_value(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response; header names are in lower case on the client side."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return first_value(self.headers, name)


Handler = Callable[[Request], Awaitable[Response]]


def first_value(headers: Headers, name: bytes) -> str:
    """Return the first value of a lower-case header name, or an empty string."""
    for field_name, value in headers:
        if field_name == name:
            return value.decode("latin-1")
    return ""


class _ServerConnection(asyncio.Protocol):
    """An accepted connection; its requests are handled one at a time, in order."""

    def __init__(self, server: "Server"):
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled."""
        return self._task is not None

    def abort(self) -> None:
        """Close at once; the handler of a current request is cancelled."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        self._http.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler, as the caller no longer waits."""
        self._transport = None
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def _process_events(self) -> None:
        while self._task is None and self._transport is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._transport.close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_parser_event(event)

    def _on_parser_event(self, event: object) -> None:
        assert self._transport is not None
        if isinstance(event, h11.Request):
            self._head = event
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_BODY_BYTES:
                self._transport.close()
        elif isinstance(event, h11.EndOfMessage):
            assert self._head is not None
            request = Request(
                self._head.method.decode("ascii"),
                self._head.target.decode("latin-1"),
                list(self._head.headers),
                bytes(self._body),
            )
            self._body.clear()
            self._task = asyncio.get_running_loop().create_task(self._run(request))
        else:
            self._transport.close()
            self._transport = None

    async def _run(self, request: Request) -> None:
        try:
            response = await self._server.handler(request)
        except Exception as error:
            logging.exception(
                "unhandled exception in a request handler; responding 500"
            )
            response = Response(500, [], str(error).encode())
        self._task = None
        if self._transport is None:
            return
        headers = [
            *response.headers,
            (b"content-length", str(len(response.body)).encode()),
        ]
        if self._server.is_closing:
            headers.append((b"connection", b"close"))
        self._write(response, headers)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._process_events()
        else:
            self._transport.close()

    def _write(self, response: Response, headers: Headers) -> None:
        head = h11.Response(status_code=response.status, headers=headers)
        chunks = [self._http.send(head) or b""]
        if response.body:
            chunks.append(self._http.send(h11.Data(data=response.body)) or b"")
        chunks.append(self._http.send(h11.EndOfMessage()) or b"")
        assert self._transport is not None
        self._transport.write(b"".join(chunks))


class Server:
    """HTTP listener that passes complete requests to one handler."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.connections: set[_ServerConnection] = set()
        self.is_closing = False
        self._listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen on an address; OSError if it cannot be bound."""
        host, port = link.split_address(address)
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: _ServerConnection(self), host, port, backlog=BACKLOG
        )

    def abort(self) -> None:
        """Stop listening and abort every connection."""
        self._stop_listening()
        for connection in list(self.connections):
            connection.abort()

    async def close(self, timeout_s: float = 5.0) -> None:
        """Stop listening, wait up to timeout_s for open requests, abort the rest."""
        self._stop_listening()
        end = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < end:
            if not any(connection.is_busy for connection in self.connections):
                break
            await asyncio.sleep(0.01)
        self.abort()

    def _stop_listening(self) -> None:
        self.is_closing = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None


class ClientConnection(asyncio.Protocol):
    """A connection to a server that carries one exchange at a time."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Response] | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()

    @property
    def is_idle(self) -> bool:
        """Whether another exchange can start."""
        return self._transport is not None and self._http.our_state is h11.IDLE

    def close(self) -> None:
        """Close at once; the connection cannot be used for another exchange."""
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        self._http.receive_data(data)
        self._process_events()

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish a response that the close ends, or fail the exchange."""
        self._transport = None
        if self._waiter is not None and not self._waiter.done():
            self._http.receive_data(b"")
            self._process_events()
        self._fail("the connection ended before the response")

    async def exchange(self, request: Request) -> Response:
        """Send a request and return its response.

        ConnectError if the connection was closed before; DisconnectedError if it ends
        or the response is malformed.
        """
        if not self.is_idle or self._transport is None:
            raise ConnectError("the connection was closed while idle")
        self._waiter = asyncio.get_running_loop().create_future()
        headers = [*request.headers]
        if request.body or request.method not in ("GET", "HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        chunks = [self._http.send(head) or b""]
        if request.body:
            chunks.append(self._http.send(h11.Data(data=request.body)) or b"")
        chunks.append(self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(b"".join(chunks))
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise

    def _process_events(self) -> None:
        while self._waiter is not None and not self._waiter.done():
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(str(error))
                self.close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_parser_event(event)

    def _on_parser_event(self, event: object) -> None:
        assert self._waiter is not None
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._body += event.data
        elif isinstance(event, h11.EndOfMessage) and self._head is not None:
            response = Response(
                self._head.status_code, list(self._head.headers), bytes(self._body)
            )
            self._body.clear()
            if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                self._http.start_next_cycle()
            else:
                self.close()
            self._waiter.set_result(response)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("the connection ended before the response")

    def _fail(self, message: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(DisconnectedError(message))


class Pool:
    """Keep-alive connections to one address, most recently used first."""

    def __init__(self, address: str, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self.address = address
        self._host, self._port = link.split_address(address)
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[ClientConnection] = []

    async def exchange(self, request: Request) -> Response:
        """Send a request on an idle or new connection.

        ConnectError if nothing was sent, DisconnectedError if the exchange fails later.
        """
        connection = await self._connection()
        try:
            return await connection.exchange(request)
        finally:
            if connection.is_idle:
                self._idle.append(connection)
            else:
                connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    ClientConnection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            message = f"no connection to {self.address}: {error or 'timeout'}"
            raise ConnectError(message) from error
        return connection
