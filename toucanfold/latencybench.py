"""Measures the latency that one and two daemons add to a call.

The target, each daemon and the load generator run in separate processes. Direct calls,
calls through one daemon and calls through two daemons alternate in the same run, each
kind at the same rate and on separate daemons. Results are JSON lines.
"""

import asyncio
import json
import os
import pathlib
import platform
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from absl import flags

from toucanfold import clock, cmdline, config, daemon, interfaces, link, model

FLAGS = flags.FlagValues()
flags.DEFINE_enum(
    "role", "run", ["run", "target", "daemon"], "Process.", flag_values=FLAGS
)
flags.DEFINE_float("rate", 215.0, "Calls/s of each kind.", flag_values=FLAGS)
flags.DEFINE_float("seconds", 20.0, "Measured time (s).", flag_values=FLAGS)
flags.DEFINE_float(
    "warm_up", 3.0, "Load before the measurement (s).", flag_values=FLAGS
)
flags.DEFINE_integer("body", 0, "Request body (bytes).", flag_values=FLAGS)
flags.DEFINE_string("settings", "", "Settings file of a daemon.", flag_values=FLAGS)
flags.DEFINE_string("state", "", "Fleet state file of a daemon.", flag_values=FLAGS)
flags.DEFINE_string("address", "", "Address of a target.", flag_values=FLAGS)
flags.DEFINE_string(
    "profile",
    "",
    "CPU profile file of a daemon, or prefix of the files of a run.",
    flag_values=FLAGS,
)
HELP_TEXT = "Measures the latency added by one daemon and by two."

KINDS = ("direct", "one", "two")
SECRET = b"latency bench secret"
START_TIMEOUT_S = 10.0


class Target(asyncio.Protocol):
    """Minimal HTTP target, so that the daemons dominate the measured latency."""

    __slots__ = ("_buffer", "_transport")

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        self._buffer += data
        while True:
            head, separator, rest = self._buffer.partition(b"\r\n\r\n")
            length = _content_length(head)
            if not separator or len(rest) < length:
                return
            self._buffer = rest[length:]
            self._transport.write(
                b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok" % _echoed_id(head)
            )


class Caller(asyncio.Protocol):
    """Persistent connection that times one call at a time."""

    __slots__ = ("_buffer", "_done", "_transport", "is_refused")

    def __init__(self) -> None:
        self.is_refused = False
        self._buffer = b""
        self._transport: Any = None
        self._done: asyncio.Future[float] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Resolve the call once its response is complete."""
        now = time.perf_counter()
        self._buffer += data
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator or len(rest) < _content_length(head) or not self._done:
            return
        self._buffer = b""
        self.is_refused = not head.startswith(b"HTTP/1.1 200")
        self._done.set_result(now)

    async def call(self, data: bytes) -> float:
        """Send a request; return the seconds until its response is complete."""
        self._done = asyncio.get_running_loop().create_future()
        started_at = time.perf_counter()
        self._transport.write(data)
        return await self._done - started_at


def _echoed_id(head: bytes) -> bytes:
    """Return the line with the request's id, without which no connection is kept."""
    for line in head.split(b"\r\n"):
        if line[:22].lower() == b"toucanfold-request-id:":
            return line + b"\r\n"
    return b""


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line[15:])
    return 0


def percentile(values: list[float], share: float) -> float:
    """Return a quantile of the values; share is its fraction (0 to 1)."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class LoadGenerator:
    """Sends the kinds of calls in turn at a fixed rate (calls/s of each kind)."""

    def __init__(self, requests: dict[str, tuple[str, bytes]], rate: float):
        self._requests = requests
        self._interval_s = 1.0 / (rate * len(requests))
        self._idle_callers: dict[str, list[Caller]] = {}
        self.times: dict[str, list[float]] = {kind: [] for kind in requests}
        self.refused = dict.fromkeys(requests, 0)

    async def run(self, seconds: float) -> None:
        """Send calls for the given seconds and store their durations."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        count = 0
        tasks = set()
        while (due := started_at + count * self._interval_s) < started_at + seconds:
            await asyncio.sleep(max(0.0, due - loop.time()))
            kind = KINDS[count % len(KINDS)]
            task = loop.create_task(self._call(kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
        if tasks:
            await asyncio.wait(tasks)

    async def _call(self, kind: str) -> None:
        address, data = self._requests[kind]
        idle_callers = self._idle_callers.setdefault(kind, [])
        if idle_callers:
            caller = idle_callers.pop()
        else:
            host, port = link.split_address(address)
            loop = asyncio.get_running_loop()
            _, caller = await loop.create_connection(Caller, host, port)
        seconds = await caller.call(data)
        if caller.is_refused:
            self.refused[kind] += 1
        else:
            self.times[kind].append(seconds)
        idle_callers.append(caller)


class BenchFleet:
    """Starts and stops the processes of one measurement."""

    def __init__(self, folder: str):
        self._directory = pathlib.Path(folder)
        self._processes: list[subprocess.Popen[bytes]] = []
        self.key = model.generate_api_key()
        self.target = _free_address()
        self._state = _fleet_state(self.key)
        self._settings = {
            name: self._write_settings(name, service)
            for name, service in (("d1", "one"), ("d2", "two"), ("d3", "three"))
        }

    def start(self) -> None:
        """Start the target and the daemons and wait until they listen."""
        self._spawn("--role=target", f"--address={self.target}")
        path = self._directory / "state.json"
        path.write_text(json.dumps(self._state.to_json()))
        for name in self._settings:
            options = ["--role=daemon", f"--settings={self._directory / name}"]
            options.append(f"--state={path}")
            if FLAGS.profile and name != "d3":
                options.append(f"--profile={FLAGS.profile}.{name}")
            self._spawn(*options)
        for address in (self.target, *map(self.caller_address, self._settings)):
            _wait_listening(address)

    def stop(self) -> None:
        """Terminate the started processes and wait for them."""
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait()

    def caller_address(self, name: str) -> str:
        """Return the address at which a daemon listens for callers."""
        return self._settings[name].get("daemon", "caller_listen")

    def cpu_seconds(self) -> dict[str, float]:
        """Return the CPU time of each process so far (s)."""
        names = ("target", *self._settings)
        processes = zip(names, self._processes, strict=True)
        return {name: _cpu_seconds(process.pid) for name, process in processes}

    def _spawn(self, *options: str) -> None:
        command = [sys.executable, "-m", "toucanfold.latencybench", *options]
        self._processes.append(subprocess.Popen(command))

    def _write_settings(self, name: str, service: str) -> config.Settings:
        secret = self._directory / "secret"
        secret.write_bytes(SECRET)
        values: dict[str, Any] = {
            "fleet": "bench",
            "name": name,
            "service": service,
            "region": "r1",
            "data_centre": "c1",
            "secret_file": secret,
            "target_address": self.target,
            "control": "127.0.0.1:1",
            "drain_timeout": 1,
        }
        for listener in ("caller", "egress", "link", "debug"):
            values[f"{listener}_listen"] = _free_address()
        lines = ["[daemon]", *(f"{key} = {value}" for key, value in values.items())]
        path = self._directory / name
        path.write_text("\n".join(lines))
        self._state.targets[name] = model.Target(
            name, 1, service, "r1", "c1", values["link_listen"]
        )
        return config.read(str(path), "daemon").unwrap()


def _fleet_state(key: str) -> model.FleetState:
    state = model.FleetState()
    state.profiles["p"] = model.Profile("p")
    for service in ("one", "two", "three"):
        state.routes[service] = model.Route(service, service, "p")
    state.accounts["a"] = model.Account("a", 1e6, 1e6)
    key_id, secret = model.parse_api_key(key) or ("", "")
    state.keys[key_id] = model.Key(key_id, "a", model.key_digest(SECRET, secret))
    return state


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _wait_listening(address: str) -> None:
    limit = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < limit:
        try:
            socket.create_connection(link.split_address(address)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise SystemExit(f"no process listened within the start timeout on {address}")


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _encode_request(service: str, key: str, body: bytes) -> bytes:
    lines = [
        "POST /items/7?view=short HTTP/1.1",
        f"Host: {service}.example",
        f"Toucanfold-Key: {key}",
        "Accept: application/json",
        "User-Agent: latencybench",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _measure(run: BenchFleet) -> tuple[LoadGenerator, dict[str, float]]:
    body = b"x" * FLAGS.body
    requests = {
        "direct": (run.target, _encode_request("one", run.key, body)),
        "one": (run.caller_address("d1"), _encode_request("one", run.key, body)),
        "two": (run.caller_address("d2"), _encode_request("three", run.key, body)),
    }
    await LoadGenerator(requests, FLAGS.rate).run(FLAGS.warm_up)
    load = LoadGenerator(requests, FLAGS.rate)
    before = run.cpu_seconds()
    await load.run(FLAGS.seconds)
    after = run.cpu_seconds()
    return load, {name: after[name] - before[name] for name in after}


def _print_report(load: LoadGenerator, cpu: dict[str, float]) -> None:
    shares = {"p50": 0.5, "p99": 0.99, "p999": 0.999}
    table = {
        kind: {name: percentile(times, share) for name, share in shares.items()}
        for kind, times in load.times.items()
    }
    for kind, values in table.items():
        line: dict[str, Any] = {"kind": kind, "calls": len(load.times[kind])}
        line["refused"] = load.refused[kind]
        for name, value in values.items():
            line[f"{name}_ms"] = round(value * 1e3, 3)
            added = value - table["direct"][name]
            line[f"{name}_added_ms"] = round(added * 1e3, 3)
        print(json.dumps(line))
    per_call = {
        name: round(seconds * 1e6 / max(1, len(load.times["one"])))
        for name, seconds in cpu.items()
    }
    print(json.dumps({"cpu_us_per_call": per_call}))
    machine = f"{platform.machine()}, {os.cpu_count()} cores"
    python = platform.python_version()
    loads = [round(value, 1) for value in os.getloadavg()]
    print(json.dumps({"machine": machine, "python": python, "load_average": loads}))


async def _serve_target() -> None:
    host, port = link.split_address(FLAGS.address)
    server = await asyncio.get_running_loop().create_server(Target, host, port)
    await server.serve_forever()


async def _serve_daemon() -> None:
    settings, secret, contexts = daemon.load(FLAGS.settings).unwrap()
    state = model.FleetState.from_json(
        json.loads(pathlib.Path(FLAGS.state).read_text())
    )
    identity = daemon.identity_of(settings, secret)
    source = interfaces.StaticStateSource(state)
    await daemon.serve(daemon.Daemon(settings, identity, source, contexts))


def _serve_profiled_daemon(path: str) -> None:
    import cProfile

    profiler = cProfile.Profile()
    profiler.runcall(clock.run, _serve_daemon())
    profiler.dump_stats(path)


def main(arguments: list[str]) -> int:
    """Run the measurement, or one of its processes."""
    cmdline.parse_flags(FLAGS, "latencybench", arguments, HELP_TEXT)
    if FLAGS.role == "target":
        clock.run(_serve_target())
    elif FLAGS.role == "daemon":
        if FLAGS.profile:
            _serve_profiled_daemon(FLAGS.profile)
        else:
            clock.run(_serve_daemon())
    else:
        with tempfile.TemporaryDirectory() as folder:
            run = BenchFleet(folder)
            try:
                run.start()
                _print_report(*clock.run(_measure(run)))
            finally:
                run.stop()
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
