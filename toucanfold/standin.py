"""Simulated targets for tests, demo and bench; several can share one process."""

import asyncio
import collections
import dataclasses
import json
import math
import random
import signal
import urllib.parse
from typing import Any

from absl import flags

from toucanfold import cmdline, model, plainhttp

LOGNORMAL_SIGMA = 0.25
MAX_NESTED_TIMEOUT_S = 30.0
TOKEN = b"toucanfold-token"
REQUEST_ID = b"toucanfold-request-id"
TIMEOUT = b"toucanfold-timeout-ms"
ACCOUNT = b"toucanfold-account"
KEY = b"idempotency-key"
# The load generator sets this header and targets forward it, so that all executions of
# one request can be counted.
BENCH_REQUEST = b"bench-request"
SELF_TIME_HEADER = b"standin-seconds"
REFUSAL_BODY = b'{"error":"shed"}'

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "targets", "", "JSON file with a list of target specifications.", flag_values=FLAGS
)
flags.DEFINE_string(
    "control", "", "Address of the control interface of the process.", flag_values=FLAGS
)
flags.DEFINE_string("name", "target", "Name of a single target.", flag_values=FLAGS)
flags.DEFINE_string(
    "service", "service", "Service of the single target.", flag_values=FLAGS
)
flags.DEFINE_string(
    "address", "127.0.0.1:8080", "Listener of the single target.", flag_values=FLAGS
)
flags.DEFINE_string(
    "egress", "", "Egress listener of its daemon, for nested calls.", flag_values=FLAGS
)
flags.DEFINE_integer("workers", 10, "Parallel workers.", flag_values=FLAGS)
flags.DEFINE_float("service_ms", 100.0, "Mean service time (ms).", flag_values=FLAGS)
HELP_TEXT = "Runs one stand-in target from flags, or several from a JSON file."


@dataclasses.dataclass(slots=True)
class TargetSpec:
    """Behaviour of one target; times in ms or seconds, as the field names say."""

    name: str
    service: str
    address: str
    egress: str = ""
    workers: int = 10
    service_ms: float = 100.0
    distribution: str = "lognormal"
    queue_length: int = 500
    shed: bool = False
    cold_start_s: float = 0.0
    cold_factor: float = 5.0
    seed: int = 1


class Counts:
    """Executions by the targets of one process; detects double runs and leaked keys."""

    def __init__(self) -> None:
        self.by_key: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.by_request: collections.Counter[tuple[str, str]] = collections.Counter()
        self.by_account: collections.Counter[str] = collections.Counter()
        self.totals: collections.Counter[str] = collections.Counter()

    def record_execution(self, service: str, request: plainhttp.Request) -> None:
        """Count an execution by account, idempotency key and bench request."""
        account = request.header(ACCOUNT)
        self.totals["runs"] += 1
        self.by_account[account] += 1
        key = request.header(KEY)
        if key and request.method != "GET":
            self.by_key[service, account, key] += 1
        bench_request = request.header(BENCH_REQUEST)
        if bench_request:
            self.by_request[service, bench_request] += 1

    def clear(self) -> None:
        """Reset all counts."""
        for counter in (self.by_key, self.by_request, self.by_account, self.totals):
            counter.clear()

    def double_runs(self) -> int:
        """Return the number of executions beyond the first of each idempotency key."""
        return sum(count - 1 for count in self.by_key.values())

    def dump(self) -> dict[str, Any]:
        """Return the counts as a JSON object."""
        return {
            **self.totals,
            "accounts": dict(self.by_account),
            "keys": len(self.by_key),
            "double_runs": self.double_runs(),
            "request_runs": sum(self.by_request.values()),
            "distinct_requests": len(self.by_request),
        }


class Workers:
    """Limits calls to a number of workers; further calls queue first in, first out."""

    def __init__(self, count: int, queue_length: int):
        self.busy = 0
        self.peak = 0
        self._count = count
        self._queue_length = queue_length
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def is_full(self) -> bool:
        """Whether all workers are busy and the queue is at capacity."""
        return self.busy >= self._count and len(self._waiting) >= self._queue_length

    async def acquire(self) -> None:
        """Wait for a free worker and occupy it."""
        if self.busy < self._count:
            self.busy += 1
            self.peak = max(self.peak, self.busy)
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the worker to the next call that still waits, or free it."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.busy -= 1


class Target:
    """One stand-in target: workers, a queue, nested calls and counts."""

    def __init__(self, spec: TargetSpec, counts: Counts):
        self.spec = spec
        self.factor = 1.0
        self.is_draining = False
        self.open_requests = 0
        self.open_peak = 0
        self._counts = counts
        self._workers = Workers(spec.workers, spec.queue_length)
        self._random = random.Random(f"{spec.seed}/{spec.name}")
        self._server = plainhttp.Server(self.handle)
        self._egress = plainhttp.Pool(spec.egress) if spec.egress else None
        self._started_at = 0.0

    async def start(self) -> None:
        """Listen; the warm-up time starts now."""
        self._started_at = asyncio.get_running_loop().time()
        self._server = plainhttp.Server(self.handle)
        await self._server.listen(self.spec.address)

    def crash(self) -> None:
        """Abort all connections and stop listening, as a crash does."""
        self._server.abort()

    async def stop(self) -> None:
        """Finish open requests and stop."""
        await self._server.close()

    def dump(self) -> dict[str, Any]:
        """Return the peaks and the current state."""
        return {
            "busy_peak": self._workers.peak,
            "open_peak": self.open_peak,
            "open": self.open_requests,
            "factor": self.factor,
        }

    def reset_peaks(self) -> None:
        """Reset the peaks to the current values."""
        self._workers.peak = self._workers.busy
        self.open_peak = self.open_requests

    def draw_service_time_s(self) -> float:
        """Draw the next service time (s), including slowdown and warm-up."""
        mean = self.spec.service_ms / 1000
        if self.spec.distribution == "fixed":
            drawn = mean
        elif self.spec.distribution == "exponential":
            drawn = self._random.expovariate(1 / mean)
        else:
            mu = math.log(mean) - LOGNORMAL_SIGMA**2 / 2
            drawn = self._random.lognormvariate(mu, LOGNORMAL_SIGMA)
        age = asyncio.get_running_loop().time() - self._started_at
        cold = self.spec.cold_factor if age < self.spec.cold_start_s else 1.0
        return drawn * self.factor * cold

    async def handle(self, request: plainhttp.Request) -> plainhttp.Response:
        """Answer one request."""
        if request.path in ("/health", "/load"):
            return self._misleading_health_response(request.path)
        self._count_leaked_key(request)
        if self.is_draining or (self.spec.shed and self._workers.is_full):
            self._counts.totals["shed"] += 1
            headers = [(b"toucanfold-not-run", b"1"), (b"retry-after", b"1")]
            refusal = plainhttp.Response(503, headers, REFUSAL_BODY)
            return _echo_request_id(request, refusal)
        self.open_requests += 1
        self.open_peak = max(self.open_peak, self.open_requests)
        try:
            response = await self._serve(request)
            return _echo_request_id(request, response)
        except asyncio.CancelledError:
            self._counts.totals["cancelled"] += 1
            raise
        finally:
            self.open_requests -= 1

    async def _serve(self, request: plainhttp.Request) -> plainhttp.Response:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + _timeout_s(request)
        await self._workers.acquire()
        try:
            if loop.time() >= deadline:
                self._counts.totals["expired"] += 1
                return plainhttp.Response(504, [], b'{"error":"deadline"}')
            self._counts.record_execution(self.spec.service, request)
            await asyncio.sleep(self.draw_service_time_s())
        finally:
            self._workers.release()
        self_time_s = loop.time() - started_at
        response = await self._call_next(request, deadline)
        self_time_s += float(response.header(SELF_TIME_HEADER) or 0)
        headers = [
            (b"content-type", b"application/json"),
            (SELF_TIME_HEADER, f"{self_time_s:.6f}".encode()),
        ]
        return plainhttp.Response(response.status, headers, response.body)

    async def _call_next(
        self, request: plainhttp.Request, deadline: float
    ) -> plainhttp.Response:
        path, service, rest = split_chain(request.path)
        if not service or self._egress is None:
            body = json.dumps({"target": self.spec.name}).encode()
            return plainhttp.Response(200, [], body)
        remaining_s = deadline - asyncio.get_running_loop().time()
        nested = plainhttp.Request(
            request.method,
            path + (f"?next={rest}" if rest else ""),
            _nested_headers(request, service, remaining_s),
            request.body,
        )
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                response = await self._egress.exchange(nested)
        except (
            plainhttp.ConnectError,
            plainhttp.DisconnectedError,
            TimeoutError,
        ) as error:
            self._counts.totals["nested_failed"] += 1
            return plainhttp.Response(
                502, [], json.dumps({"error": str(error)}).encode()
            )
        if response.status < 400:
            return response
        self._counts.totals["nested_refused"] += 1
        return plainhttp.Response(502, [], response.body)

    def _count_leaked_key(self, request: plainhttp.Request) -> None:
        values = [value for _, value in request.headers]
        text = b"\n".join([*values, request.path.encode("latin-1")])
        if model.KEY_PATTERN.search(text):
            self._counts.totals["leaked_keys"] += 1

    def _misleading_health_response(self, path: str) -> plainhttp.Response:
        """Report good health and low load regardless of the actual state."""
        fields = {"status": "ok"} if path == "/health" else {"load": 0.1, "queue": 0}
        return plainhttp.Response(200, [], json.dumps(fields).encode())


def split_chain(path: str) -> tuple[str, str, str]:
    """Return (path without query, next service, services after it)."""
    bare, _, query = path.partition("?")
    chain = urllib.parse.parse_qs(query).get("next", [""])[0]
    service, _, rest = chain.partition(",")
    return bare, service, rest


def _echo_request_id(
    request: plainhttp.Request, response: plainhttp.Response
) -> plainhttp.Response:
    """Add the id by which the daemon keeps the connection open."""
    request_id = request.header(REQUEST_ID)
    if request_id:
        response.headers.append((REQUEST_ID, request_id.encode("latin-1")))
    return response


def _timeout_s(request: plainhttp.Request) -> float:
    text = request.header(TIMEOUT)
    return int(text) / 1000 if text.isdigit() else MAX_NESTED_TIMEOUT_S


def _nested_headers(
    request: plainhttp.Request, service: str, remaining_s: float
) -> plainhttp.Headers:
    headers = [
        (b"Host", service.encode()),
        (b"Toucanfold-Timeout-Ms", str(max(1, int(remaining_s * 1000))).encode()),
    ]
    for name in (TOKEN, KEY, BENCH_REQUEST):
        value = request.header(name)
        if value:
            headers.append((name, value.encode("latin-1")))
    return headers


class StandinProcess:
    """The targets of one process and their control interface."""

    def __init__(self, specs: list[TargetSpec]):
        self.counts = Counts()
        self.targets = {spec.name: Target(spec, self.counts) for spec in specs}
        self._control = plainhttp.Server(self._handle_control)

    async def start(self, control_address: str) -> None:
        """Start the targets, and the control interface if it has an address."""
        for target in self.targets.values():
            await target.start()
        if control_address:
            await self._control.listen(control_address)

    async def stop(self) -> None:
        """Finish open requests and stop."""
        await asyncio.gather(*(target.stop() for target in self.targets.values()))
        await self._control.close()

    def dump(self) -> dict[str, Any]:
        """Return all counts and the state of each target."""
        targets = {name: target.dump() for name, target in self.targets.items()}
        return {**self.counts.dump(), "targets": targets}

    async def _handle_control(self, request: plainhttp.Request) -> plainhttp.Response:
        if request.method == "GET":
            return plainhttp.Response(200, [], json.dumps(self.dump()).encode())
        command = json.loads(request.body or b"{}")
        selected = [
            target
            for name, target in self.targets.items()
            if name in command.get("names", [name])
        ]
        await self._apply_command(request.path, command, selected)
        return plainhttp.Response(200, [], b"{}")

    async def _apply_command(
        self, path: str, command: dict[str, Any], selected: list[Target]
    ) -> None:
        if path == "/reset":
            self.counts.clear()
        for target in selected:
            if path == "/reset":
                target.reset_peaks()
            elif path == "/factor":
                target.factor = float(command["factor"])
            elif path == "/drain":
                target.is_draining = bool(command.get("on", True))
            elif path == "/lose":
                target.crash()
            elif path == "/start":
                target.spec.cold_start_s = float(command.get("cold_start_s", 0))
                await target.start()


def load_specs() -> list[TargetSpec]:
    """Return the specifications of the targets that the flags describe."""
    if FLAGS.targets:
        with open(FLAGS.targets, encoding="utf-8") as file:
            return [TargetSpec(**fields) for fields in json.load(file)]
    return [
        TargetSpec(
            FLAGS.name,
            FLAGS.service,
            FLAGS.address,
            FLAGS.egress,
            FLAGS.workers,
            FLAGS.service_ms,
        )
    ]


async def _run() -> None:
    process = StandinProcess(load_specs())
    await process.start(FLAGS.control)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
    await process.stop()


def main(arguments: list[str]) -> int:
    """Run stand-in targets until a signal ends the process."""
    cmdline.parse_flags(FLAGS, "target", arguments, HELP_TEXT)
    asyncio.run(_run())
    return 0
