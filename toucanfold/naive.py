"""Naive proxy: the baseline of the bench, with one proxy per target like a daemon."""

import asyncio
import json
import signal
from typing import Any

from absl import flags

from toucanfold import cmdline, plainhttp

ATTEMPT_TIMEOUT_S = 2.0
RETRIES = 3
_REMOVED_REQUEST_HEADERS = frozenset(
    (b"authorization", b"connection", b"content-length", b"transfer-encoding")
)

FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "settings",
    "",
    "JSON file: listeners, targets of each service, account, rate and burst of each "
    "key, number of proxies.",
    flag_values=FLAGS,
)
HELP_TEXT = "Runs the naive proxy: round robin, fixed timeout, three retries per hop."


class TokenBucket:
    """Token bucket of one client account, local to this proxy."""

    def __init__(self, rate: float, burst: float, now: float):
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Take one token if available, and return whether it was; now in seconds."""
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Proxy:
    """Forwards calls from callers and the local target, without overload control."""

    def __init__(self, settings: dict[str, Any]):
        self._settings = settings
        self._targets = {
            service: [plainhttp.Pool(address) for address in addresses]
            for service, addresses in settings["targets"].items()
        }
        self._attempt_counts = dict.fromkeys(self._targets, 0)
        self._buckets: dict[str, TokenBucket] = {}
        self._callers = plainhttp.Server(self._handle_caller)
        self._egress = plainhttp.Server(self._handle_target)

    async def start(self) -> None:
        """Listen for callers and for the local target."""
        await self._callers.listen(self._settings["caller_listen"])
        await self._egress.listen(self._settings["egress_listen"])

    async def stop(self) -> None:
        """Finish open requests and stop."""
        await asyncio.gather(self._callers.close(), self._egress.close())

    async def _handle_caller(self, request: plainhttp.Request) -> plainhttp.Response:
        key = request.header(b"authorization").removeprefix("Bearer ")
        account = self._settings["keys"].get(key)
        if account is None:
            return _refusal(401, "key_refused")
        if not self._bucket(account).try_acquire(asyncio.get_running_loop().time()):
            return _refusal(429, "rate_exceeded")
        return await self._forward(request, account["name"])

    async def _handle_target(self, request: plainhttp.Request) -> plainhttp.Response:
        return await self._forward(request, request.header(b"toucanfold-token"))

    def _bucket(self, account: dict[str, Any]) -> TokenBucket:
        bucket = self._buckets.get(account["name"])
        if bucket is None:
            proxies = self._settings["proxies"]
            now = asyncio.get_running_loop().time()
            bucket = TokenBucket(
                account["rate"] / proxies, account["burst"] / proxies, now
            )
            self._buckets[account["name"]] = bucket
        return bucket

    async def _forward(
        self, request: plainhttp.Request, account: str
    ) -> plainhttp.Response:
        service = request.header(b"host").split(".")[0]
        if service not in self._targets:
            return _refusal(404, "no_route")
        headers = [
            pair for pair in request.headers if pair[0] not in _REMOVED_REQUEST_HEADERS
        ]
        headers += [
            (b"toucanfold-token", account.encode()),
            (b"toucanfold-account", account.encode()),
        ]
        sent = plainhttp.Request(request.method, request.path, headers, request.body)
        response = _refusal(502, "target_failed")
        for _ in range(1 + RETRIES):
            response = await self._attempt(service, sent)
            if response.status < 500:
                return response
        return response

    async def _attempt(
        self, service: str, request: plainhttp.Request
    ) -> plainhttp.Response:
        pools = self._targets[service]
        pool = pools[self._attempt_counts[service] % len(pools)]
        self._attempt_counts[service] += 1
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                response = await pool.exchange(request)
        except (plainhttp.ConnectError, plainhttp.DisconnectedError):
            return _refusal(502, "target_failed")
        except TimeoutError:
            return _refusal(504, "target_failed")
        removed = (b"content-length", b"transfer-encoding", b"connection")
        response.headers = [pair for pair in response.headers if pair[0] not in removed]
        return response


def _refusal(status: int, kind: str) -> plainhttp.Response:
    headers = [(b"toucanfold-outcome", b"unknown")]
    return plainhttp.Response(status, headers, json.dumps({"kind": kind}).encode())


async def _run(settings: dict[str, Any]) -> None:
    proxy = Proxy(settings)
    await proxy.start()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
    await proxy.stop()


def main(arguments: list[str]) -> int:
    """Run the proxy until a signal ends the process."""
    cmdline.parse_flags(FLAGS, "naive", arguments, HELP_TEXT)
    with open(FLAGS.settings, encoding="utf-8") as file:
        settings = json.load(file)
    asyncio.run(_run(settings))
    return 0
