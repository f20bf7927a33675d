"""Runs the project's programs and small stand-ins on loopback addresses.

The stand-ins follow the users' pages: a back end, a client, an operator and the part of
the platform that renders settings files and starts, signals and ends processes.
"""

import asyncio
import contextlib
import http
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
PORTS = {"inbound": 8543, "outbound": 8548, "ready": 8546, "control": 8540}
APP_PORT = 8547
INTERNAL_PORTS = (7000, 7015)
HEARTBEAT_S = 1.5
CONTROLS = 5
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_period_ms": 2000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": "true",
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 47,
    "quota_window_s": 5,
    "quota_overage": 0.1,
    "quota_slack": 20,
    "recovery_s": 15,
}
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the users' page on deployment describes."""

    def value_of(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list | tuple):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = value_of(name)
        if kind == "^":
            return inner if value in (None, False) else ""
        if value in (None, False):
            return ""
        if not isinstance(value, list):
            return inner
        texts = [inner.replace("{{.}}", str(item)) for item in value]
        commas = [","] * (len(texts) - 1) + [""]
        return "".join(
            text.replace("{{,}}", comma)
            for text, comma in zip(texts, commas, strict=True)
        )

    def text(match: re.Match[str]) -> str:
        value = value_of(match[1])
        return "" if value is None else str(value)

    return _VALUE.sub(text, _SECTION.sub(section, template))


class Record:
    """The file record.txt: one line for each event, with seconds since the start."""

    def __init__(self, folder: pathlib.Path):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def __call__(self, kind: str, **fields: Any) -> None:
        """Write one event."""
        at = time.monotonic() - self._started_at
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:9.3f} {kind} {pairs}\n")
        self._file.flush()


class Program:
    """One process of the project, started as the deploy file says."""

    def __init__(self, rig: "Rig", role: str, name: str, fields: dict[str, Any]):
        self.name = name
        self.fields = fields
        self._rig = rig
        self._role = role
        self._process: asyncio.subprocess.Process | None = None
        self.settings = rig.folder / f"{name}.ini"

    def write_settings(self) -> None:
        """Render the template of the role to the location of the settings file."""
        template = (ROOT / self._rig.roles[self._role]["template"]).read_text()
        self.settings.write_text(render(template, self.fields))

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        words = self._rig.roles[self._role]["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TOUCANFOLD_SETTINGS"] = str(self.settings)
        with open(self._rig.folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._rig.record("start", process=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self._process is not None
        self._rig.record("signal", process=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    def lose_disk(self) -> None:
        """Remove the content of the data folder of a process that has ended."""
        folder = pathlib.Path(self.fields["data_dir"])
        shutil.rmtree(folder)
        folder.mkdir()
        self.fields["bootstrap"] = False
        self._rig.record("disk-lost", process=self.name)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        assert self._process is not None
        status = await self._process.wait()
        self._rig.record("ended", process=self.name, status=status)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None


class Rig:
    """A small deployment: five control processes, and daemons beside back ends."""

    def __init__(self, folder: pathlib.Path):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self._prefix = _free_prefix()
        self.programs: list[Program] = []
        self.controls: list[Program] = []
        self.tasks: list[asyncio.Task[Any]] = []

    def host(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f"{self._prefix}{number}"

    @property
    def seeds(self) -> list[str]:
        """Addresses of the first three control processes."""
        return [f"{self.host(number)}:{PORTS['control']}" for number in (1, 2, 3)]

    def _fields(self, number: int) -> dict[str, Any]:
        own = self.host(number)
        return {
            "ip": own,
            "zone": f"zone-{number % 3}",
            "region": "region-a",
            "listen": {name: f"{own}:{port}" for name, port in PORTS.items()},
            "internal_port_range": list(INTERNAL_PORTS),
            "seeds": self.seeds,
            "bootstrap": True,
            "fault_tolerance": {"machines": 2},
            "bounds": BOUNDS,
        }

    def add_control(self, number: int, bootstrap: bool = True) -> Program:
        """Add a control process; number is 1 to 10."""
        data = self.folder / f"data-{number}"
        data.mkdir(exist_ok=True)
        fields = {**self._fields(number), "data_dir": str(data)}
        fields["bootstrap"] = bootstrap
        program = Program(self, "control", f"control-{number}", fields)
        self.programs.append(program)
        self.controls.append(program)
        return program

    def add_daemon(self, number: int, service: str) -> Program:
        """Add the daemon of a machine; number is above 5."""
        fields = {
            **self._fields(number),
            "node_id": f"sidecar-{number}",
            "service": service,
            "app_addr": f"{self.host(number)}:{APP_PORT}",
        }
        program = Program(self, "daemon", f"daemon-{number}", fields)
        self.programs.append(program)
        return program

    async def start_all(self) -> None:
        """Start all processes added so far."""
        for program in self.programs:
            await program.start()

    async def until(
        self, what: str, check: Callable[[], Awaitable[bool]], timeout_s: float = 40
    ) -> None:
        """Repeat a check until it holds; CannotRunError after the timeout."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if await check():
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{what} took longer than {timeout_s} s")

    async def put_config(
        self,
        manifest: dict[str, Any],
        numbers: tuple[int, ...] = (1, 2, 3, 4, 5),
        timeout_s: float = 40,
    ) -> None:
        """Send a manifest until it is accepted, as the operator does."""
        body = json.dumps(manifest).encode()
        turn = 0

        async def put() -> bool:
            nonlocal turn
            turn += 1
            number = numbers[turn % len(numbers)]
            address = f"{self.host(number)}:{PORTS['control']}"
            answer = await request(address, "PUT", "/config", {}, body, timeout_s=2)
            self.record("put-config", version=manifest["version"], status=answer.status)
            return answer.status == 200

        await self.until("the manifest's acceptance", put, timeout_s)

    async def get_config(self, numbers: list[int]) -> str:
        """Return the version that any of these control processes reads, or ""."""
        for number in numbers:
            address = f"{self.host(number)}:{PORTS['control']}"
            try:
                answer = await request(address, "GET", "/config", {}, timeout_s=2)
            except (TimeoutError, OSError) as error:
                self.record("get-config", machine=number, failed=type(error).__name__)
                continue
            version = ""
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
            self.record(
                "get-config", machine=number, status=answer.status, version=version
            )
            if version:
                return version
        return ""

    async def until_ready(self, number: int) -> None:
        """Wait until a daemon says that it is ready."""
        address = f"{self.host(number)}:{PORTS['ready']}"

        async def is_ready() -> bool:
            answer = await request(address, "GET", "/ready", {})
            return answer.status == 200

        await self.until(f"readiness of daemon {number}", is_ready)

    def spawn(self, awaitable: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the case ends."""
        task = asyncio.ensure_future(awaitable)
        self.tasks.append(task)
        return task

    async def close(self) -> None:
        """End all processes that this case started, and remove its folder."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for program in self.programs:
            if program.is_running:
                program.signal(signal.SIGKILL)
                await program.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_prefix() -> str:
    """Return three bytes of a loopback address whose ports nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
        with contextlib.ExitStack() as stack:
            try:
                for port in (*PORTS.values(), APP_PORT, *INTERNAL_PORTS):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((f"{prefix}1", port))
            except OSError:
                continue
            return prefix
    raise CannotRunError("no free loopback addresses")


class Answer:
    """A response: status, header fields by lower-case name, and body."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes):
        self.status = status
        self.fields = fields
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def request(
    address: str,
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection and return its response."""
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            sent = {"Host": address, **fields, "Connection": "close"}
            if body:
                sent["Content-Length"] = str(len(body))
                sent.setdefault("Content-Type", "application/json")
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            line, answered = await read_head(reader)
            if "content-length" in answered:
                content = await reader.readexactly(int(answered["content-length"]))
            else:
                content = await reader.read()
            return Answer(int(line.split()[1]), answered, content)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the response is incomplete") from error
        finally:
            writer.close()


class Backend:
    """A back end as the users' pages describe it, beside one daemon."""

    def __init__(
        self, rig: Rig, number: int, service: str, instance: str, work_s: float = 0.02
    ):
        self.rig = rig
        self.number = number
        self.service = service
        self.instance = instance
        self.work_s = work_s
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        # Request ids that ran here, with their paths and times.
        self.ran: list[tuple[str, str, float]] = []
        # Times at which a report of the state "draining" was acknowledged.
        self.drain_acked_at: float | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beating: asyncio.Task[Any] | None = None

    async def start(self) -> None:
        """Listen and begin to report."""
        self.born = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._serve, self.rig.host(self.number), APP_PORT
        )
        self.rig.record("backend-start", instance=self.instance, service=self.service)
        self._beating = self.rig.spawn(self._beat())

    def crash(self) -> None:
        """End without a word: the listener and all connections are gone."""
        self.rig.record("backend-crash", instance=self.instance, service=self.service)
        assert self._server is not None and self._beating is not None
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report(self, **changes: Any) -> int:
        """Send one status report; changes replace fields of it."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "state": self.state,
            "seq": self.sequence,
            "born": self.born,
            **changes,
        }
        body = {
            "address": f"{self.rig.host(self.number)}:{APP_PORT}",
            "born": fields["born"],
            "info": {
                "service": fields["service"],
                "version": "v1",
                "zone": f"zone-{self.number % 3}",
                "slots": 16,
            },
            "status": {
                "state": fields["state"],
                "seq": fields["seq"],
                "cold_remaining_ms": 0,
            },
        }
        address = f"{self.rig.host(self.number)}:{PORTS['control']}"
        answer = await request(
            address, "PUT", f"/instances/{self.instance}", {}, json.dumps(body).encode()
        )
        self.rig.record(
            "report",
            instance=self.instance,
            service=fields["service"],
            state=fields["state"],
            seq=fields["seq"],
            born=fields["born"],
            status=answer.status,
        )
        if fields["state"] == "draining" and answer.status == 200:
            self.drain_acked_at = self.drain_acked_at or time.monotonic()
        return answer.status

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                writer.write(await self._answer(line, fields, body))
                await writer.drain()
                if self.state == "draining":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line: str, fields: dict[str, str], body: bytes) -> bytes:
        method, path, _ = line.split(" ", 2)
        identity = fields.get("request-id", "")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return _response(status, {"Instance-Id": self.instance}, b"")
        if not identity:
            return _response(400, {"Not-Executed": "1"}, b"")
        expected = fields.get("expected-instance", self.instance)
        if expected != self.instance:
            self.rig.record("misdirected", id=identity, instance=self.instance)
            return _response(421, {"Instance-Id": self.instance}, b"")
        self.ran.append((identity, path, time.monotonic()))
        self.rig.record(
            "run",
            id=identity,
            method=method,
            path=path,
            instance=self.instance,
            service=self.service,
            state=self.state,
            caller=fields.get("caller-service", ""),
        )
        await asyncio.sleep(self.work_s)
        answered = {"Request-Id": identity, "Response-Seal": f"seal.{self.instance}"}
        if self.state == "draining":
            # A back end that is leaving closes its connections.
            answered["Connection"] = "close"
        return _response(200, answered, f"done {identity}".encode())


def _response(status: int, fields: dict[str, str], body: bytes) -> bytes:
    sent = {**fields, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Caller:
    """Clients of one machine: they send requests to its daemon at a steady rate."""

    def __init__(self, rig: Rig, number: int, key: str):
        self._rig = rig
        self._address = f"{rig.host(number)}:{PORTS['outbound']}"
        self._number = number
        self._key = key

    async def send(self, method: str, host: str, path: str) -> int:
        """Send one request and return its status, 0 without a response."""
        identity = f"{random.getrandbits(64):016x}"
        fields = {
            "Host": host,
            "Request-Id": identity,
            "Deadline-Ms": "2000",
            "Authorization": f"Bearer {self._key}",
        }
        body = b"x" * 200 if method != "GET" else b""
        self._rig.record(
            "send", id=identity, machine=self._number, method=method, host=host
        )
        try:
            answer = await request(self._address, method, path, fields, body)
            status = answer.status
        except (TimeoutError, OSError):
            status = 0
        self._rig.record("answered", id=identity, status=status)
        return status

    async def press(self, method: str, host: str, path: str, gap_s: float) -> None:
        """Send requests for ever."""
        while True:
            self._rig.spawn(self.send(method, host, path))
            await asyncio.sleep(gap_s)


def manifest(
    routes: list[tuple[str, str, str, str, str]], tenants: list[tuple[str, str, int]]
) -> dict[str, Any]:
    """Return a first manifest.

    Routes are (name, host, prefix, kind, service); tenants are (name, key, rate).
    """
    services = sorted({route[4] for route in routes})
    return {
        "version": "00000007",
        "base_version": "00000000",
        "routes": {
            "columns": [
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
            ],
            "rows": [
                [name, host, prefix, kind, 1000, 500, 0, service, 2, False, None]
                for name, host, prefix, kind, service in routes
            ],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
            "rows": [[name, "/health", 200, "h1", False] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": [[name, [key], 1, rate, rate] for name, key, rate in tenants],
        },
    }


def main(folder: pathlib.Path, case: Callable[[Rig], Awaitable[int]]) -> int:
    """Run a case within 110 seconds and return its exit status."""

    async def run() -> int:
        rig = Rig(folder)
        rig.record("case", trouble=os.environ.get("TROUBLE", "1"))
        try:
            async with asyncio.timeout(110):
                status = await case(rig)
        except Exception as error:
            # Whatever else goes wrong says nothing about the rule.
            rig.record("cannot-run", reason=repr(error))
            status = CANNOT_RUN
        finally:
            await rig.close()
        rig.record("result", status=status)
        return status

    try:
        return asyncio.run(run())
    except (CannotRunError, OSError) as error:
        print(f"cannot run: {error}", file=sys.stderr)
        return CANNOT_RUN
