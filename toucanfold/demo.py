"""Runs a small fleet on loopback and demonstrates its main features."""

import asyncio
import json
import time
from typing import Any

from absl import flags
from returns import result

from toucanfold import (
    client,
    cmdline,
    exceptions,
    localfleet,
    model,
    plainhttp,
    processmanager,
)

FLAGS = flags.FlagValues()
flags.DEFINE_string("keep", "", "Copy the logs to this directory.", flag_values=FLAGS)
HELP_TEXT = "Shows a fleet of two chained services in two data centres; takes seconds."

LOOKUPS = 20
ACCOUNT = "garage"
SERVICES = ("tickets", "parts")
DATA_CENTRES = ("a", "b")
WITHDRAWAL_TIMEOUT_S = 5.0


class Demo:
    """Runs the steps of the demonstration in order."""

    def __init__(self, processes: processmanager.ProcessManager):
        self._processes = processes
        self._local_fleet = localfleet.LocalFleet(processes)
        self._targets: list[str] = []
        self._entries: list[str] = []
        self._control_address = processmanager.free_addresses(1)[0]
        self._key = ""
        self._started_at = time.monotonic()

    async def run(self) -> None:
        """Run all steps; raise DemoError at the first that fails."""
        await self._start()
        await self._configure()
        caller = client.Client(self._entries, self._key)
        await self._run_lookups(caller)
        await self._run_booking(caller)
        await self._withdraw_key(caller)
        caller.close()
        await self._print_summary()
        killed = await self._processes.stop_all([*self._local_fleet.names, "targets"])
        _check(not killed, f"processes did not stop and were killed: {killed}")
        self._print_step(
            f"{len(self._processes.processes)} processes stopped as planned"
        )

    def _print_step(self, text: str) -> None:
        print(f"[{time.monotonic() - self._started_at:5.1f} s] {text}", flush=True)

    async def _start(self) -> None:
        specs = []
        for service in SERVICES:
            for data_centre in DATA_CENTRES:
                specs.append(self._start_daemon(service, data_centre))
        path = self._processes.write_json("targets.json", specs)
        self._processes.start(
            "targets",
            "target",
            f"--targets={path}",
            f"--control={self._control_address}",
        )
        await self._local_fleet.start_control()
        leader = await self._local_fleet.leader()
        self._print_step(f"three control instances run, {leader} is the leader")
        await self._processes.wait_listening("targets", self._control_address)
        await self._local_fleet.wait_targets(self._targets)
        self._print_step(f"targets announced themselves: {', '.join(self._targets)}")

    def _start_daemon(self, service: str, data_centre: str) -> dict[str, Any]:
        name = f"{service}-{data_centre}"
        target, caller, egress, link, debug = processmanager.free_addresses(5)
        self._targets.append(name)
        self._entries.append(caller)
        values = {
            "service": service,
            "region": "north",
            "data_centre": data_centre,
            "caller_listen": caller,
            "egress_listen": egress,
            "link_listen": link,
            "debug_listen": debug,
            "target_address": target,
        }
        self._local_fleet.start_daemon(name, values)
        return {
            "name": name,
            "service": service,
            "address": target,
            "egress": egress,
            "service_ms": 20,
        }

    async def _configure(self) -> None:
        operator = self._local_fleet.operator
        lookup = model.Profile("lookup", "normal", True, 2000, 1)
        booking = model.Profile("booking", "critical", False, 2000, 1)
        for profile in (lookup, booking):
            await operator.put("profiles", profile.to_json())
        for service in SERVICES:
            for prefix, name in (("/lookups", "lookup"), ("/bookings", "booking")):
                route = model.Route(f"{service}.{name}", service, name, "*", prefix)
                await operator.put("routes", route.to_json())
        account = model.Account(ACCOUNT, 200.0, 100.0)
        await operator.put("accounts", account.to_json())
        self._key, revision = await operator.issue_key(ACCOUNT)
        _check(
            await operator.wait_in_force(revision),
            f"revision {revision} is not in force",
        )
        self._print_step(
            "two profiles, four routes, a client account and its key are in force on "
            f"all daemons (revision {revision})"
        )

    async def _run_lookups(self, caller: client.Client) -> None:
        answers = await asyncio.gather(
            *(
                caller.call("tickets", "GET", "/lookups/7?next=parts")
                for _ in range(LOOKUPS)
            )
        )
        replies = [_unwrap(answer, "a lookup failed") for answer in answers]
        self._print_step(
            f"{len(replies)} idempotent lookups went through tickets to parts, "
            f"for example request {replies[0].request_id}"
        )

    async def _run_booking(self, caller: client.Client) -> None:
        key = client.new_idempotency_key()
        path = "/bookings?next=parts"
        first = _unwrap(
            await caller.call("tickets", "POST", path, b"{}", idempotency_key=key),
            "the booking failed",
        )
        resent = _unwrap(
            await caller.call("tickets", "POST", path, b"{}", idempotency_key=key),
            "the resend failed",
        )
        _check(first.body == resent.body, "the resend got a different answer")
        other = await caller.call(
            "tickets", "POST", path, b'{"other": 1}', idempotency_key=key
        )
        _check(
            isinstance(other, result.Failure) and other.failure().kind == "conflict",
            "another booking under the same idempotency key was not refused",
        )
        counts = await self._fetch_counts()
        _check(counts["double_runs"] == 0, "a booking ran twice")
        self._print_step(
            "a booking ran once; its resend with the same idempotency key got the "
            "recorded answer, another booking under that key was refused (conflict)"
        )

    async def _withdraw_key(self, caller: client.Client) -> None:
        await self._local_fleet.operator.withdraw_key(self._key)
        started_at = time.monotonic()
        while True:
            answer = await caller.call("tickets", "GET", "/lookups/7")
            took_s = time.monotonic() - started_at
            if isinstance(answer, result.Failure):
                break
            _check(took_s < WITHDRAWAL_TIMEOUT_S, "the withdrawn key is still accepted")
            await asyncio.sleep(0.02)
        error = answer.failure()
        _check(
            isinstance(error, exceptions.KeyRefusedError),
            f"unexpected error for the withdrawn key: {error}",
        )
        self._print_step(
            f"the key was withdrawn and refused {took_s:.2f} s later: {error}"
        )

    async def _print_summary(self) -> None:
        counts = await self._fetch_counts()
        _check(not counts.get("leaked_keys"), "a key reached a target")
        self._print_step(
            f"targets ran {counts['runs']} calls, none of them twice, and got no key"
        )

    async def _fetch_counts(self) -> dict[str, Any]:
        pool = plainhttp.Pool(self._control_address)
        request = plainhttp.Request("GET", "/stats", [(b"Host", b"control")])
        answer = await pool.exchange(request)
        pool.close()
        return json.loads(answer.body)


def _check(holds: bool, message: str) -> None:
    if not holds:
        raise exceptions.DemoError(
            message, "run again with --keep=DIRECTORY and read the logs"
        )


def _unwrap(
    answer: result.Result[client.Reply, exceptions.CallError], message: str
) -> client.Reply:
    if isinstance(answer, result.Failure):
        raise exceptions.DemoError(
            f"{message}: {answer.failure()}",
            "run again with --keep=DIRECTORY and read the logs",
        )
    return answer.unwrap()


async def _run() -> None:
    with processmanager.ProcessManager("demo", FLAGS.keep) as processes:
        await Demo(processes).run()


def main(arguments: list[str]) -> int:
    """Run the demonstration; return 0 if every step succeeded."""
    cmdline.parse_flags(FLAGS, "demo", arguments, HELP_TEXT)
    asyncio.run(_run())
    return 0
