"""Stand-in targets for tests, demo and bench; several may share one process."""

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
TIMEOUT = b"toucanfold-timeout-ms"
ACCOUNT = b"toucanfold-account"
KEY = b"idempotency-key"
# Set by the load generator and passed on, so that all runs of one request are known.
BENCH_REQUEST = b"bench-request"
OWN_SECONDS = b"standin-seconds"
REFUSAL_BODY = b'{"error":"shed"}'

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "targets", "", "JSON file with a list of targets.", flag_values=FLAGS
)
flags.DEFINE_string(
    "control", "", "Address of the control path of the process.", flag_values=FLAGS
)
flags.DEFINE_string("name", "target", "Name of a single target.", flag_values=FLAGS)
flags.DEFINE_string("service", "service", "Its service.", flag_values=FLAGS)
flags.DEFINE_string("address", "127.0.0.1:8080", "Its listener.", flag_values=FLAGS)
flags.DEFINE_string(
    "egress", "", "Egress listener of its daemon, for nested calls.", flag_values=FLAGS
)
flags.DEFINE_integer("workers", 10, "Parallel workers.", flag_values=FLAGS)
flags.DEFINE_float("service_ms", 100.0, "Mean service time.", flag_values=FLAGS)
HELP_TEXT = "Runs one stand-in target from flags, or several from a JSON file."


@dataclasses.dataclass(slots=True)
class TargetSpec:
    """How one target behaves; times in milliseconds or seconds as named."""

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
    """What the targets of one process have run; tells double runs and leaks."""

    def __init__(self) -> None:
        self.by_key: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.by_request: collections.Counter[tuple[str, str]] = collections.Counter()
        self.by_account: collections.Counter[str] = collections.Counter()
        self.totals: collections.Counter[str] = collections.Counter()

    def started(self, service: str, request: plainhttp.Request) -> None:
        """Count a run and keep what it is known by."""
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
        """Forget all counts."""
        for counter in (self.by_key, self.by_request, self.by_account, self.totals):
            counter.clear()

    def double_runs(self) -> int:
        """Return the runs beyond the first of each idempotency key."""
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
    """Counts busy workers and queues calls for them in order of arrival."""

    def __init__(self, count: int, queue_length: int):
        self.busy = 0
        self.peak = 0
        self._count = count
        self._queue_length = queue_length
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def is_full(self) -> bool:
        """Whether the queue takes no more calls."""
        return self.busy >= self._count and len(self._waiting) >= self._queue_length

    async def acquire(self) -> None:
        """Wait for a worker."""
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
        """Give the worker to the next call that still waits."""
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
        """Listen; a cold start begins now."""
        self._started_at = asyncio.get_running_loop().time()
        self._server = plainhttp.Server(self.handle)
        await self._server.listen(self.spec.address)

    def crash(self) -> None:
        """Cut all connections and stop listening, as a crash does."""
        self._server.abort()

    async def stop(self) -> None:
        """Finish open requests and stop."""
        await self._server.close()

    def dump(self) -> dict[str, Any]:
        """Return the peaks and present state."""
        return {
            "busy_peak": self._workers.peak,
            "open_peak": self.open_peak,
            "open": self.open_requests,
            "factor": self.factor,
        }

    def reset_peaks(self) -> None:
        """Forget the peaks."""
        self._workers.peak = self._workers.busy
        self.open_peak = self.open_requests

    def service_seconds(self) -> float:
        """Draw the next service time."""
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
            return self._misleading(request.path)
        self._check_leak(request)
        if self.is_draining or (self.spec.shed and self._workers.is_full):
            self._counts.totals["shed"] += 1
            headers = [(b"toucanfold-not-run", b"1"), (b"retry-after", b"1")]
            return plainhttp.Response(503, headers, REFUSAL_BODY)
        self.open_requests += 1
        self.open_peak = max(self.open_peak, self.open_requests)
        try:
            return await self._serve(request)
        except asyncio.CancelledError:
            self._counts.totals["cancelled"] += 1
            raise
        finally:
            self.open_requests -= 1

    async def _serve(self, request: plainhttp.Request) -> plainhttp.Response:
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + _timeout_s(request)
        await self._workers.acquire()
        try:
            if loop.time() >= deadline:
                self._counts.totals["expired"] += 1
                return plainhttp.Response(504, [], b'{"error":"deadline"}')
            self._counts.started(self.spec.service, request)
            await asyncio.sleep(self.service_seconds())
        finally:
            self._workers.release()
        own_s = loop.time() - began
        response = await self._call_next(request, deadline)
        own_s += float(response.header(OWN_SECONDS) or 0)
        headers = [
            (b"content-type", b"application/json"),
            (OWN_SECONDS, f"{own_s:.6f}".encode()),
        ]
        return plainhttp.Response(response.status, headers, response.body)

    async def _call_next(
        self, request: plainhttp.Request, deadline: float
    ) -> plainhttp.Response:
        path, service, rest = split_chain(request.path)
        if not service or self._egress is None:
            body = json.dumps({"target": self.spec.name}).encode()
            return plainhttp.Response(200, [], body)
        left_s = deadline - asyncio.get_running_loop().time()
        nested = plainhttp.Request(
            request.method,
            path + (f"?next={rest}" if rest else ""),
            _nested_headers(request, service, left_s),
            request.body,
        )
        try:
            async with asyncio.timeout(max(0.0, left_s)):
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

    def _check_leak(self, request: plainhttp.Request) -> None:
        values = [value for _, value in request.headers]
        text = b"\n".join([*values, request.path.encode("latin-1")])
        if model.KEY_PATTERN.search(text):
            self._counts.totals["leaked_keys"] += 1

    def _misleading(self, path: str) -> plainhttp.Response:
        """Claim good health and little load whatever the truth is."""
        fields = {"status": "ok"} if path == "/health" else {"load": 0.1, "queue": 0}
        return plainhttp.Response(200, [], json.dumps(fields).encode())


def split_chain(path: str) -> tuple[str, str, str]:
    """Return (path without query, next service, services after it)."""
    bare, _, query = path.partition("?")
    chain = urllib.parse.parse_qs(query).get("next", [""])[0]
    service, _, rest = chain.partition(",")
    return bare, service, rest


def _timeout_s(request: plainhttp.Request) -> float:
    text = request.header(TIMEOUT)
    return int(text) / 1000 if text.isdigit() else MAX_NESTED_TIMEOUT_S


def _nested_headers(
    request: plainhttp.Request, service: str, left_s: float
) -> plainhttp.Headers:
    headers = [
        (b"Host", service.encode()),
        (b"Toucanfold-Timeout-Ms", str(max(1, int(left_s * 1000))).encode()),
    ]
    for name in (TOKEN, KEY, BENCH_REQUEST):
        value = request.header(name)
        if value:
            headers.append((name, value.encode("latin-1")))
    return headers


class StandinProcess:
    """The targets of one process and their control path."""

    def __init__(self, specs: list[TargetSpec]):
        self.counts = Counts()
        self.targets = {spec.name: Target(spec, self.counts) for spec in specs}
        self._control = plainhttp.Server(self._handle_control)

    async def start(self, control_address: str) -> None:
        """Start the targets and the control path when it has an address."""
        for target in self.targets.values():
            await target.start()
        if control_address:
            await self._control.listen(control_address)

    async def stop(self) -> None:
        """Stop after the open requests."""
        await asyncio.gather(*(target.stop() for target in self.targets.values()))
        await self._control.close()

    def dump(self) -> dict[str, Any]:
        """Return all counts."""
        targets = {name: target.dump() for name, target in self.targets.items()}
        return {**self.counts.dump(), "targets": targets}

    async def _handle_control(self, request: plainhttp.Request) -> plainhttp.Response:
        if request.method == "GET":
            return plainhttp.Response(200, [], json.dumps(self.dump()).encode())
        command = json.loads(request.body or b"{}")
        chosen = [
            target
            for name, target in self.targets.items()
            if name in command.get("names", [name])
        ]
        await self._command(request.path, command, chosen)
        return plainhttp.Response(200, [], b"{}")

    async def _command(
        self, path: str, command: dict[str, Any], chosen: list[Target]
    ) -> None:
        if path == "/reset":
            self.counts.clear()
        for target in chosen:
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
    """Return the targets that the flags describe."""
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
