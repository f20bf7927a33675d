"""Starts a small deployment on loopback addresses, with stand-ins around it.

The programs are those of the deploy file, as separate processes, with settings made
from its templates. Backends, clients and the operator are stand-ins of this module,
which run in the process of the case. All times are seconds of one monotonic clock.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEPT = 0
BROKEN = 1
NOT_RUN = 2
ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
OUTBOUND, INBOUND, READY, CONTROL, APP = 8548, 8543, 8546, 8540, 8080
INTERNAL = (7000, 7015)
BOUNDS = {
    "contact_ms": 3000,
    "drain_period_ms": 2000,
    "grace_period_s": 6,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 47,
    "quota_window_s": 5,
    "quota_overage": 0.1,
    "quota_slack": 20,
}
HEARTBEAT_S = 1.5
ACK_S = 1.0
START_S = 40.0
# A case that takes longer could not run.
CASE_S = 105.0
# The fleets of this process, which are stopped however the case ends.
_fleets = []


class CannotRunError(Exception):
    """The case could not be brought to the point at which it checks the rule."""


class Record:
    """Writes what was sent, answered and run to a file, one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def write(self, event, **fields):
        """Write one event with its time (s since the start of the case)."""
        at = round(time.monotonic() - self._started_at, 4)
        self._file.write(json.dumps({"at": at, "event": event, **fields}) + "\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def render(template, fields):
    """Fill in a settings template as the users' page on the deploy file says."""
    section = re.compile(r"{{([#^])([^}]+)}}(.*?){{/\2}}", re.DOTALL)

    def fill(match):
        kind, name, inner = match.groups()
        value = look_up(fields, name)
        if kind == "^":
            return "" if value else render(inner, fields)
        if not value:
            return ""
        if not isinstance(value, list):
            return render(inner, fields)
        last = len(value) - 1
        return "".join(
            inner.replace("{{.}}", str(item)).replace("{{,}}", "," * (place < last))
            for place, item in enumerate(value)
        )

    text = section.sub(fill, template)
    return re.sub(r"{{([^}]+)}}", lambda match: show(fields, match[1]), text)


def look_up(fields, name):
    """Return the value that a dotted name has in nested tables and lists, or None."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def show(fields, name):
    """Return the text for a placeholder; lists are joined by commas."""
    value = look_up(fields, name)
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


class Machine:
    """One machine of the deployment: an address and at most one process."""

    def __init__(self, fleet, role, number, zone, service=""):
        self.fleet = fleet
        self.role = role
        self.ip = f"{fleet.network}.{number}"
        self.name = f"{role}-{number}"
        self.zone = zone
        self.service = service
        self.process = None
        self.started_at = 0.0
        self.is_first_start = True
        self.data = fleet.folder / f"data-{number}" if role == "control" else None

    def settings(self):
        """Return the fields that the platform fills into the role's template."""
        fields = {
            "node_id": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "listen": {
                "inbound": f"{self.ip}:{INBOUND}",
                "outbound": f"{self.ip}:{OUTBOUND}",
                "ready": f"{self.ip}:{READY}",
                "control": f"{self.ip}:{CONTROL}",
            },
            "internal_port_range": list(INTERNAL),
            "seeds": self.fleet.seeds,
            "bootstrap": self.is_first_start,
            "fault_tolerance": {"machines": 1},
            "bounds": BOUNDS,
            "data_dir": self.data,
            "service": self.service,
            "app_addr": f"{self.ip}:{APP}",
        }
        return fields

    def write_settings(self):
        """Write the settings file from the role's template; return its path."""
        template = (ROOT / self.fleet.roles[self.role]["template"]).read_text()
        path = self.fleet.folder / f"{self.name}.ini"
        path.write_text(render(template, self.settings()))
        return path

    def start(self):
        """Start the role's program with its settings file."""
        role = self.fleet.roles[self.role]
        if self.data is not None:
            self.data.mkdir(exist_ok=True)
        path = self.write_settings()
        self.is_first_start = False
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TOUCANFOLD_SETTINGS"] = str(path)
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()
        self.fleet.record.write("process started", machine=self.name)

    def send(self, number):
        """Send a signal to the process."""
        self.fleet.record.write(
            "signal", machine=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def wait_for_end(self, timeout_s=10.0):
        """Return when the process has ended."""
        end = time.monotonic() + timeout_s
        while self.process.poll() is None:
            if time.monotonic() > end:
                raise CannotRunError(f"{self.name} does not end")
            await asyncio.sleep(0.005)
        self.fleet.record.write(
            "process ended", machine=self.name, status=self.process.returncode
        )


class Fleet:
    """Control machines and daemons of one case, in a temporary folder."""

    def __init__(self, record, folder, services, controls=3, zones=()):
        _fleets.append(self)
        self.record = record
        self.folder = pathlib.Path(folder)
        self.controls, self.daemons = [], []
        self.network = free_network(controls + len(services))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        known = list(ZONES)
        self.controls = [
            Machine(self, "control", number + 1, known[number % len(known)])
            for number in range(controls)
        ]
        zones = zones or [known[number % len(known)] for number in range(len(services))]
        self.daemons = [
            Machine(self, "daemon", controls + number + 1, zone, service)
            for number, (service, zone) in enumerate(zip(services, zones, strict=True))
        ]
        self.seeds = [f"{item.ip}:{CONTROL}" for item in self.controls[:3]]

    def start(self):
        """Start all processes."""
        for machine in (*self.controls, *self.daemons):
            machine.start()

    def stop(self):
        """Kill all processes that still run."""
        for machine in (*self.controls, *self.daemons):
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in (*self.controls, *self.daemons):
            if machine.process is not None:
                machine.process.wait()

    def ended_processes(self):
        """Return the names of machines whose process has ended."""
        machines = (*self.controls, *self.daemons)
        return [item.name for item in machines if item.process.poll() is not None]

    async def put_manifest(self, manifest, timeout_s=START_S):
        """Send a manifest until it is acknowledged; return the time of that.

        Returns None if that does not happen in time.
        """
        body = json.dumps(manifest).encode()
        end = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < end:
            machine = self.controls[number % len(self.controls)]
            number += 1
            status, _, _ = await call(machine.ip, CONTROL, "PUT", "/config", body)
            self.record.write(
                "manifest sent",
                version=manifest["version"],
                to=machine.name,
                status=status,
            )
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(0.2)
        return None

    async def put_first_manifest(self, routes, services):
        """Send the first manifest until it is acknowledged."""
        if await self.put_manifest(make_manifest(1, 0, routes, services)) is None:
            raise CannotRunError("the manifest is not acknowledged")

    async def wait_until_ready(self, machine):
        """Return once a daemon answers 200 at its ready address."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            status, _, _ = await call(machine.ip, READY, "GET", "/ready")
            if status == 200:
                self.record.write("ready", machine=machine.name)
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{machine.name} does not become ready")


def free_network(count):
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"
        if all(_is_free(f"{network}.{number + 1}") for number in range(count)):
            return network
    raise CannotRunError("no free loopback addresses")


def _is_free(ip):
    with contextlib.ExitStack() as stack:
        for port in (OUTBOUND, INBOUND, READY, CONTROL, APP, *INTERNAL):
            opened = stack.enter_context(socket.socket())
            try:
                opened.bind((ip, port))
            except OSError:
                return False
    return True


async def call(ip, port, method, path, body=b"", headers=(), timeout_s=ACK_S):
    """Send one request on a new connection; status 0 if no whole answer arrives."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = list(headers)
            if not any(name == "Host" for name, _ in headers):
                fields.append(("Host", f"{ip}:{port}"))
            if body or method in ("PUT", "POST"):
                fields.append(("Content-Length", str(len(body))))
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields)
            writer.write(head.encode() + b"\r\n" + body)
            status, answer_headers, content = await read_answer(reader)
            return status, answer_headers, content
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    """Return status, header fields (names in lower case) and body of an answer."""
    line, fields = await read_head(reader)
    status = int(line.split()[1])
    body = await read_body(reader, fields)
    return status, fields, body


async def read_head(reader):
    """Return the first line and the header fields (names in lower case)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.strip().split("\r\n")
    fields = {}
    for item in rest:
        name, _, value = item.partition(":")
        fields[name.strip().lower()] = value.strip()
    return line, fields


async def read_body(reader, fields):
    """Return a body that is sent with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Backend:
    """A sound backend beside a daemon: runs requests and sends status reports."""

    def __init__(self, fleet, machine, service, instance, work_s=0.02, slots=16):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.id = instance
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs = []
        self._server = None
        self._heartbeats = None
        self._connections = set()

    async def start(self, announces=True):
        """Listen at the machine's backend address and send the first report."""
        self._server = await asyncio.start_server(self._serve, self.machine.ip, APP)
        self.fleet.record.write(
            "backend started", backend=self.id, service=self.service, born=self.born
        )
        if announces:
            self.start_heartbeats()

    def start_heartbeats(self):
        """Send a status report now and each HEARTBEAT_S."""
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    def stop_heartbeats(self):
        """Send no more status reports."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
            self._heartbeats = None

    async def stop(self):
        """End: close the listener and all connections."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        self.fleet.record.write("backend ended", backend=self.id)

    def make_report(self):
        """Return the body of the next status report."""
        self.seq += 1
        return {
            "address": f"{self.machine.ip}:{APP}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self.seq, "cold_remaining_ms": 0},
        }

    async def deliver(self, report, why="", instance=""):
        """Send a status report to the own machine's daemon; return whether acked."""
        instance = instance or self.id
        status, _, _ = await call(
            self.machine.ip,
            CONTROL,
            "PUT",
            f"/instances/{instance}",
            json.dumps(report).encode(),
            [("Content-Type", "application/json")],
        )
        self.fleet.record.write(
            "report", backend=instance, status=status, why=why, report=report
        )
        return status == 200

    async def leave(self):
        """Send DELETE; return the time of its acknowledgement, None without one."""
        path = f"/instances/{self.id}"
        status, _, _ = await call(self.machine.ip, CONTROL, "DELETE", path)
        self.fleet.record.write("DELETE", backend=self.id, status=status)
        return time.monotonic() if status // 100 == 2 else None

    async def _send_heartbeats(self):
        while True:
            await self.deliver(self.make_report())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, fields)
                answer = await self._answer(method, path, fields, body)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case ends; asyncio would report the cancelled handler.
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, method, path, fields, body):
        request_id = fields.get("request-id", "")
        expected = fields.get("expected-instance", self.id)
        if path == "/health":
            return make_answer(200, b"", [("Instance-Id", self.id)])
        if expected != self.id:
            self.fleet.record.write(
                "misdirected", backend=self.id, request=request_id, expected=expected
            )
            not_run = [("Request-Id", request_id), ("Not-Executed", "1")]
            return make_answer(421, b"", not_run)
        run = {
            "at": time.monotonic(),
            "request": request_id,
            "caller": fields.get("caller-service", ""),
            "tenant": fields.get("tenant", ""),
            "backend": self.id,
            "service": self.service,
            "method": method,
            "path": path,
        }
        self.runs.append(run)
        shown = {name: value for name, value in run.items() if name != "at"}
        self.fleet.record.write("run", **shown)
        await asyncio.sleep(self.work_s)
        sealed = [("Request-Id", request_id), ("Response-Seal", f"seal-{request_id}")]
        return make_answer(200, b"whole body of " + request_id.encode(), sealed)


def make_answer(status, body, fields):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Clients:
    """Clients of one machine that send requests at a steady rate."""

    def __init__(self, fleet, machine, host, prefix, per_s=20.0, method="GET", key=""):
        self.fleet = fleet
        self.machine = machine
        self.host = host
        self.prefix = prefix
        self.method = method
        self.key = key
        self.sent = {}
        self.statuses = {}
        self._pause_s = 1.0 / per_s
        self._task = None
        self._pending = set()

    def start(self):
        """Start to send."""
        self._task = asyncio.ensure_future(self._send_all())

    async def stop(self):
        """Stop to send and wait for the last answers."""
        self._task.cancel()
        if self._pending:
            await asyncio.wait(self._pending, timeout=6)

    async def send_one(self, deadline_ms=2000):
        """Send one request and record its answer; return the id and the status."""
        request_id = f"{random.getrandbits(64):016x}"
        fields = [
            ("Host", self.host),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(deadline_ms)),
        ]
        if self.key:
            fields.append(("Authorization", f"Bearer {self.key}"))
        self.sent[request_id] = time.monotonic()
        self.fleet.record.write(
            "sent", request=request_id, at_machine=self.machine.name
        )
        path = f"{self.prefix}{request_id}"
        status, _, body = await call(
            self.machine.ip,
            OUTBOUND,
            self.method,
            path,
            b"",
            fields,
            deadline_ms / 1000 + 1,
        )
        self.statuses[request_id] = status
        self.fleet.record.write(
            "answered", request=request_id, status=status, body=body[:60].decode()
        )
        return request_id, status

    async def _send_all(self):
        while True:
            task = asyncio.ensure_future(self.send_one())
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            await asyncio.sleep(self._pause_s)


def make_manifest(version, base, routes, services, tenants=()):
    """Return a manifest; routes and tenants are given as named fields."""
    route_columns = (
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
    tenant_columns = ("name", "api_keys", "priority", "rate_per_s", "burst")
    service_rows = [[name, "/health", 100, "h1", False] for name in services]
    return {
        "version": f"{version:08x}",
        "base_version": f"{base:08x}",
        "routes": _table(route_columns, routes),
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
            "rows": service_rows,
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": _table(tenant_columns, tenants),
    }


def make_route(name, host, service, kind="safe", **changes):
    """Return the fields of a route that needs no key."""
    fields = {
        "name": name,
        "host": host,
        "prefix": "/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "no_auth": True,
    }
    return fields | changes


def _table(columns, rows):
    values = [[row.get(name) for name in columns] for row in rows]
    return {"columns": list(columns), "rows": values}


def run_case(folder, play):
    """Play a case with a record in its folder, and exit with its result.

    play gets the record, a temporary folder and whether the disruption is played. It
    returns the texts of the breaks that it saw. Whatever else goes wrong means that the
    case could not run.
    """
    signal.signal(signal.SIGTERM, _end)
    record = Record(pathlib.Path(folder) / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                breaks = asyncio.run(_play(play, record, temporary, with_trouble))
            finally:
                for fleet in _fleets:
                    fleet.stop()
        for text in breaks[:20]:
            print(text)
        status = BROKEN if breaks else KEPT
        record.write("result", breaks=len(breaks), with_trouble=with_trouble)
        print(f"breaks: {len(breaks)}")
    except Exception as error:
        record.write("result", cannot_run=repr(error))
        print(f"the case could not run: {error!r}")
    record.close()
    sys.exit(status)


async def _play(play, record, folder, with_trouble):
    async with asyncio.timeout(CASE_S):
        return await play(record, folder, with_trouble)


def _end(number, frame):
    sys.exit(NOT_RUN)
