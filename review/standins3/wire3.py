"""Stand-ins of a client, a backend and an operator, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import hashlib
import json
import os
import time
import urllib.parse
from typing import Any

import fleet3

Fields = dict[str, str]
Answer = tuple[int, Fields, bytes]


class NoAnswerError(Exception):
    """The connection ended before a complete answer."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    """Return the first line and the fields of a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise NoAnswerError(f"the connection ended: {error}") from error
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_answer(reader: asyncio.StreamReader, method: str) -> Answer:
    """Return status, fields and body of an answer with a length or in chunks."""
    first, fields = await read_head(reader)
    status = int(first.split(" ")[1])
    if method == "HEAD" or status in (204, 304):
        return status, fields, b""
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise NoAnswerError(f"the answer ended early: {error}") from error
    return status, fields, body


class ClientConnection:
    """A kept connection of a client; requests follow one another on it."""

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        fields: Fields,
        body: bytes = b"",
        chunked: bool = False,
    ) -> Answer:
        """Send a request and return its answer; NoAnswerError without one."""
        if self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address
                )
            except OSError as error:
                raise NoAnswerError(f"no connection: {error}") from error
        assert self._reader is not None
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if chunked:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif body or method in ("PUT", "POST"):
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        try:
            answer = await read_answer(self._reader, method)
        except NoAnswerError:
            self.close()
            raise
        if answer[1].get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def request_once(
    address: tuple[str, int], method: str, path: str, fields: Fields, body: bytes = b""
) -> Answer:
    """Send one request on a connection of its own, with a second for the answer."""
    connection = ClientConnection(address)
    try:
        async with asyncio.timeout(1.0):
            return await connection.request(method, path, fields, body)
    except TimeoutError as error:
        raise NoAnswerError("no answer within a second") from error
    finally:
        connection.close()


async def _skip_body(reader: asyncio.StreamReader, fields: Fields) -> None:
    if "transfer-encoding" in fields:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            await reader.readexactly(size + 2)
        await reader.readuntil(b"\r\n")
    else:
        await reader.readexactly(int(fields.get("content-length", "0")))


def new_id() -> str:
    """Return the id of one client attempt."""
    return os.urandom(8).hex()


ROUTE_COLUMNS = (
    "name",
    "host",
    "prefix",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "service",
    "max_attempts",
    "no_auth",
    "weighted_services",
)


def manifest(routes: list[dict[str, Any]], services: list[str]) -> bytes:
    """Return a first manifest; routes are open and have PROTOCOL.md's fields."""
    defaults = {"host": "shop.example", "priority": 1, "no_auth": True}
    columns = ("name", "health_path", "max_connections", "protocol", "tls")
    content = {
        "version": "00000001",
        "base_version": "00000000",
        "routes": {
            "columns": ROUTE_COLUMNS,
            "rows": [
                [{**defaults, **route}.get(name) for name in ROUTE_COLUMNS]
                for route in routes
            ],
        },
        "services": {
            "columns": columns,
            "rows": [[name, "/health", 200, "h1", False] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": {"columns": ["name", "api_keys"], "rows": []},
    }
    return json.dumps(content).encode()


async def put_manifest(fleet: fleet3.Fleet, record: fleet3.Record, body: bytes) -> None:
    """Send the first manifest until it is accepted."""
    ends_at = time.monotonic() + 30
    fields = {"Host": "control", "Content-Type": "application/json"}
    while time.monotonic() < ends_at:
        for control in fleet.controls:
            address = fleet3.address_of(control, "control")
            with contextlib.suppress(NoAnswerError):
                status, _, _ = await request_once(
                    address, "PUT", "/config", fields, body
                )
                if status == 200:
                    record("operator: the manifest is acknowledged")
                    return
        await asyncio.sleep(0.2)
    raise fleet3.CannotRunError("the manifest was not acknowledged")


async def wait_until_ready(fleet: fleet3.Fleet) -> None:
    """Wait until every daemon answers 200 to the platform's question."""
    ends_at = time.monotonic() + 30
    for daemon in fleet.daemons:
        address = fleet3.address_of(daemon, "ready")
        while True:
            with contextlib.suppress(NoAnswerError):
                answer = await request_once(address, "GET", "/ready", {"Host": "x"})
                if answer[0] == 200:
                    break
            if time.monotonic() > ends_at:
                raise fleet3.CannotRunError("a daemon did not become ready")
            await asyncio.sleep(0.1)


class Backend:
    """A sound backend: it works for the time in the query ``t`` and then answers."""

    def __init__(self, daemon: fleet3.Program, record: fleet3.Record, slots: int = 40):
        self.daemon = daemon
        self.ran: list[str] = []
        self.running: dict[str, str] = {}
        self._record = record
        self._slots = slots
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.id = ""

    async def start(self) -> None:
        """Start with a new id, and report the status from now on."""
        self.id = f"i-{os.urandom(4).hex()}"
        born = int(time.time() * 1000)
        host, port = fleet3.address_of(self.daemon, "app")
        self._server = await asyncio.start_server(self._serve, host, port)
        self._beats = asyncio.create_task(self._send_beats(born))

    def crash(self) -> None:
        """End at once: nothing listens any more, and all connections are reset."""
        assert self._server is not None and self._beats is not None
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_beats(self, born: int) -> None:
        path = f"/instances/{self.id}"
        fields = {"Host": "control", "Content-Type": "application/json"}
        content: dict[str, Any] = {
            "address": self.daemon.fields["app_addr"],
            "born": born,
            "info": {
                "service": self.daemon.fields["service"],
                "version": "v1",
                "zone": self.daemon.fields["zone"],
                "slots": self._slots,
            },
            "status": {"state": "ready", "seq": 0, "cold_remaining_ms": 0},
        }
        while True:
            content["status"]["seq"] += 1
            status = 0
            with contextlib.suppress(NoAnswerError):
                status, _, _ = await request_once(
                    fleet3.address_of(self.daemon, "control"),
                    "PUT",
                    path,
                    fields,
                    json.dumps(content).encode(),
                )
            await asyncio.sleep(1.5 if status == 200 else 0.3)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            NoAnswerError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, fields = await read_head(reader)
                method, path, _ = first.split(" ")
                await _skip_body(reader, fields)
                await self._answer(writer, method, path, fields)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, method: str, path: str, fields: Fields
    ) -> None:
        request_id = fields.get("request-id", "")
        if path == "/health":
            head = f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        if fields.get("expected-instance", self.id) != self.id:
            refusal = f"421 Misdirected Request\r\nRequest-Id: {request_id}"
        elif len(self.running) >= self._slots:
            refusal = f"503 Full\r\nRequest-Id: {request_id}"
        else:
            await self._run(writer, method, path, request_id, fields)
            return
        head = f"HTTP/1.1 {refusal}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        request_id: str,
        fields: Fields,
    ) -> None:
        query = dict(urllib.parse.parse_qsl(path.partition("?")[2]))
        self._record(f"backend {self.daemon.fields['node_id']} runs {request_id}")
        self.ran.append(request_id)
        self.running[request_id] = path
        try:
            await asyncio.sleep(float(query.get("t", "0")))
        finally:
            del self.running[request_id]
        body = request_id.encode() * 4
        seal = f"{hashlib.sha256(body).hexdigest()}.{self.id}"
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: {seal}"
        head += f"\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + (b"" if method == "HEAD" else body))
        await writer.drain()
