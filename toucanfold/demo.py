"""Runs a small fleet on loopback and shows what it does."""

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
flags.DEFINE_string("keep", "", "Copy the logs to this folder.", flag_values=FLAGS)
HELP_TEXT = "Shows a fleet of two chained services in two data centres; takes seconds."

LOOKUPS = 20
ACCOUNT = "garage"
SERVICES = ("tickets", "parts")
CENTRES = ("a", "b")
WITHDRAWAL_LIMIT_S = 5.0


class Demo:
    """The steps of the demonstration, in order."""

    def __init__(self, processes: processmanager.ProcessManager):
        self._processes = processes
        self._local = localfleet.LocalFleet(processes)
        self._targets: list[str] = []
        self._entries: list[str] = []
        self._control = processmanager.free_addresses(1)[0]
        self._key = ""
        self._began = time.monotonic()

    async def run(self) -> None:
        """Run all steps; DemoError at the first that fails."""
        await self._start()
        await self._configure()
        caller = client.Client(self._entries, self._key)
        await self._lookups(caller)
        await self._booking(caller)
        await self._withdraw(caller)
        caller.close()
        await self._summarise()
        left = await self._processes.stop_all([*self._local.names, "targets"])
        _check(not left, f"processes had to be killed: {left}")
        self._say(f"{len(self._processes.processes)} processes stopped as planned")

    def _say(self, text: str) -> None:
        print(f"[{time.monotonic() - self._began:5.1f} s] {text}", flush=True)

    async def _start(self) -> None:
        specs = []
        for service in SERVICES:
            for centre in CENTRES:
                specs.append(self._start_daemon(service, centre))
        path = self._processes.write_json("targets.json", specs)
        self._processes.start(
            "targets", "target", f"--targets={path}", f"--control={self._control}"
        )
        await self._local.start_control()
        leader = await self._local.leader()
        self._say(f"three control instances run, {leader} leads")
        await self._processes.wait_listening("targets", self._control)
        await self._local.wait_targets(self._targets)
        self._say(f"targets announced themselves: {', '.join(self._targets)}")

    def _start_daemon(self, service: str, centre: str) -> dict[str, Any]:
        name = f"{service}-{centre}"
        target, caller, egress, link, debug = processmanager.free_addresses(5)
        self._targets.append(name)
        self._entries.append(caller)
        values = {
            "service": service,
            "region": "north",
            "data_centre": centre,
            "caller_listen": caller,
            "egress_listen": egress,
            "link_listen": link,
            "debug_listen": debug,
            "target_address": target,
        }
        self._local.start_daemon(name, values)
        return {
            "name": name,
            "service": service,
            "address": target,
            "egress": egress,
            "service_ms": 20,
        }

    async def _configure(self) -> None:
        operator = self._local.operator
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
            await operator.wait_in_force(revision), f"revision {revision} not in force"
        )
        self._say(
            "two profiles, four routes, a client account and its key are in force on "
            f"all daemons (revision {revision})"
        )

    async def _lookups(self, caller: client.Client) -> None:
        answers = await asyncio.gather(
            *(
                caller.call("tickets", "GET", "/lookups/7?next=parts")
                for _ in range(LOOKUPS)
            )
        )
        replies = [_value(answer, "a lookup failed") for answer in answers]
        self._say(
            f"{len(replies)} idempotent lookups went through tickets to parts, "
            f"for example request {replies[0].request_id}"
        )

    async def _booking(self, caller: client.Client) -> None:
        key = client.new_idempotency_key()
        path = "/bookings?next=parts"
        first = _value(
            await caller.call("tickets", "POST", path, b"{}", idempotency_key=key),
            "the booking failed",
        )
        again = _value(
            await caller.call("tickets", "POST", path, b"{}", idempotency_key=key),
            "the resend failed",
        )
        _check(first.body == again.body, "the resend got another answer")
        other = await caller.call(
            "tickets", "POST", path, b'{"other": 1}', idempotency_key=key
        )
        _check(
            isinstance(other, result.Failure) and other.failure().kind == "conflict",
            "another booking under the same idempotency key was not refused",
        )
        counts = await self._counts()
        _check(counts["double_runs"] == 0, "a booking ran twice")
        self._say(
            "a booking ran once; its resend with the same idempotency key got the "
            "recorded answer, another booking under that key was refused (conflict)"
        )

    async def _withdraw(self, caller: client.Client) -> None:
        await self._local.operator.withdraw_key(self._key)
        began = time.monotonic()
        while True:
            answer = await caller.call("tickets", "GET", "/lookups/7")
            took_s = time.monotonic() - began
            if isinstance(answer, result.Failure):
                break
            _check(took_s < WITHDRAWAL_LIMIT_S, "the withdrawn key still works")
            await asyncio.sleep(0.02)
        error = answer.failure()
        _check(isinstance(error, exceptions.KeyRefusedError), f"unexpected: {error}")
        self._say(f"the key was withdrawn and refused {took_s:.2f} s later: {error}")

    async def _summarise(self) -> None:
        counts = await self._counts()
        _check(not counts.get("leaked_keys"), "a target saw a key")
        self._say(
            f"targets ran {counts['runs']} calls, none of them twice, and saw no key"
        )

    async def _counts(self) -> dict[str, Any]:
        pool = plainhttp.Pool(self._control)
        request = plainhttp.Request("GET", "/stats", [(b"Host", b"control")])
        answer = await pool.exchange(request)
        pool.close()
        return json.loads(answer.body)


def _check(holds: bool, message: str) -> None:
    if not holds:
        raise exceptions.DemoError(
            message, "run again with --keep=FOLDER and see the logs"
        )


def _value(
    answer: result.Result[client.Reply, exceptions.CallError], message: str
) -> client.Reply:
    if isinstance(answer, result.Failure):
        raise exceptions.DemoError(
            f"{message}: {answer.failure()}", "see the logs with --keep"
        )
    return answer.unwrap()


async def _run() -> None:
    with processmanager.ProcessManager("demo", FLAGS.keep) as processes:
        await Demo(processes).run()


def main(arguments: list[str]) -> int:
    """Run the demonstration; 0 if every step showed what it should."""
    cmdline.parse_flags(FLAGS, "demo", arguments, HELP_TEXT)
    asyncio.run(_run())
    return 0
