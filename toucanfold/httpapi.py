"""Small HTTP/1.1 server for JSON requests of operators and for state dumps."""

import asyncio
import dataclasses
import json
import ssl
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

import h11
from absl import logging

from toucanfold import exceptions, httpserver, link

MAX_BODY_BYTES = 1 << 20
READ_BYTES = 65536
# A client that sends nothing must not hold a connection indefinitely.
IDLE_TIMEOUT_S = 75.0
MAX_CONNECTIONS = 200


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raises HttpError otherwise."""
        try:
            value = json.loads(self.body or b"{}")
        except (ValueError, RecursionError) as error:
            raise exceptions.HttpError(
                400, "bad_request", f"the body is not JSON: {error}", "send JSON"
            ) from error
        if not isinstance(value, dict):
            raise exceptions.HttpError(
                400, "bad_request", "the body is not a JSON object", "send an object"
            )
        return value


@dataclasses.dataclass(slots=True)
class Response:
    """A response with a status and a JSON value."""

    status: int
    value: Any
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)


Handler = Callable[[Request], Awaitable[Response]]


def error_response(status: int, kind: str, message: str, remedy: str) -> Response:
    """Return a response with the error as a JSON object."""
    fields = {"kind": kind, "message": message, "remedy": remedy}
    return Response(status, {"error": fields})


class Server:
    """Listener that passes each request to one handler."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_requests = 0
        self._stopping = False

    async def start(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        """Listen; OSError if the address cannot be bound."""
        host, port = link.split_address(address)
        self._server = await asyncio.start_server(
            self._serve, host, port, ssl=tls, limit=READ_BYTES
        )
        logging.info("listening for requests of operators on %s", address)

    async def stop(self, timeout_s: float = 5.0) -> None:
        """Stop accepting, wait up to timeout_s for open requests, then close."""
        self._stopping = True
        if self._server is not None:
            self._server.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        grace_ends_at = loop.time() + min(httpserver.SHUTDOWN_GRACE_S, timeout_s)
        while self._open_requests or (self._tasks and loop.time() < grace_ends_at):
            if loop.time() >= end:
                break
            await asyncio.sleep(httpserver.SHUTDOWN_POLL_INTERVAL_S)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if len(self._tasks) <= MAX_CONNECTIONS:
                await self._serve_requests(reader, writer)
        except (OSError, TimeoutError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            try:
                request = await _read_request(connection, reader)
            except (exceptions.HttpError, h11.RemoteProtocolError) as error:
                response = _protocol_error(error)
                await _write(connection, writer, response, close=True)
                return
            if request is None:
                return
            self._open_requests += 1
            try:
                response = await self._respond(request)
                await _write(connection, writer, response, close=self._stopping)
            finally:
                self._open_requests -= 1
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _respond(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except exceptions.HttpError as error:
            return error_response(error.status, error.kind, error.message, error.remedy)
        except Exception:
            logging.exception("request %s %s failed", request.method, request.path)
            return error_response(500, "internal", "the request failed", "see the log")


def _protocol_error(error: Exception) -> Response:
    if isinstance(error, exceptions.HttpError):
        return error_response(error.status, error.kind, error.message, error.remedy)
    return error_response(400, "bad_request", str(error), "send valid HTTP/1.1")


async def _next_event(connection: h11.Connection, reader: asyncio.StreamReader) -> Any:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            connection.receive_data(await reader.read(READ_BYTES))


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Request | None:
    head = await _next_event(connection, reader)
    if not isinstance(head, h11.Request):
        return None
    body = bytearray()
    while True:
        event = await _next_event(connection, reader)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            return None
        body += event.data
        if len(body) > MAX_BODY_BYTES:
            message = f"the body is longer than {MAX_BODY_BYTES} bytes"
            raise exceptions.HttpError(413, "too_large", message, "send less")
    try:
        split = urllib.parse.urlsplit(head.target.decode("ascii", "replace"))
    except ValueError as error:
        raise exceptions.HttpError(
            400, "bad_request", f"malformed target: {error}", "send a valid path"
        ) from error
    headers = {
        name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
    }
    return Request(
        head.method.decode("ascii"),
        split.path,
        dict(urllib.parse.parse_qsl(split.query)),
        headers,
        bytes(body),
    )


async def _write(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    response: Response,
    close: bool,
) -> None:
    body = json.dumps(response.value).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *response.headers,
    ]
    if close:
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=response.status, headers=headers)
    chunks = [connection.send(head), connection.send(h11.Data(data=body))]
    chunks.append(connection.send(h11.EndOfMessage()))
    writer.write(b"".join(chunk or b"" for chunk in chunks))
    await writer.drain()
