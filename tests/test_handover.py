"""Tests of two daemons that overlap: the former one and its successor."""

import asyncio
import collections
import itertools
import time

import fleetparts
import helpers
from test_outcomes import uuid7

from toucanfold import httpserver, localfleet, processmanager

# Longer than the former daemon may use its last confirmed state.
OVERLAP_S = 5.0


class OverlappingDaemons:
    """Two processes with one name and one target, which counts the runs of each key."""

    def __init__(self, processes):
        self.fleet = localfleet.LocalFleet(processes)
        self.caller_addresses = []
        self.runs = collections.Counter()
        self._processes = processes
        self._target_address = processmanager.free_addresses(1)[0]
        self._server = None

    async def start(self):
        server = httpserver.Server(
            fleetparts.Recorder(self._respond), httpserver.Limits()
        )
        await server.listen(self._target_address)
        self._server = server
        await self.fleet.start_control()
        self.start_process("daemon-1")
        await self.fleet.wait_targets(["daemon-1"])

    def stop(self):
        self._server.stop()

    async def _respond(self, request):
        fields = dict(request.headers)
        self.runs[fields[b"idempotency-key"].decode()] += 1
        return httpserver.Response(200, [], b"booked")

    def start_process(self, process_name):
        listeners = ("caller", "egress", "link", "debug")
        addresses = processmanager.free_addresses(len(listeners))
        self.caller_addresses.append(addresses[0])
        values = {
            "fleet": localfleet.FLEET_NAME,
            "name": "daemon-1",
            "secret_file": self._processes.secret_file,
            "control": " ".join(self.fleet.links.values()),
            "service": "tickets",
            "region": "north",
            "data_centre": "a",
            "target_address": self._target_address,
            **{
                f"{listener}_listen": address
                for listener, address in zip(listeners, addresses, strict=True)
            },
        }
        path = self._processes.write_settings(process_name, "daemon", values)
        self._processes.start(process_name, "daemon", f"--settings={path}")

    async def configure(self):
        put = self.fleet.operator.put
        await put("profiles", {"name": "book", "idempotent": False})
        route = {"name": "book", "service": "tickets", "profile": "book"}
        await put("routes", route)
        await put("accounts", {"name": "a", "rate": 1000.0, "burst": 1000.0})
        key, revision = await self.fleet.operator.issue_key("a")
        assert await self.fleet.operator.wait_in_force(revision)
        return key

    async def book(self, api_key, number):
        """Send one booking to the former daemon, then to its successor."""
        key = uuid7(time.time(), number)
        for address in self.caller_addresses:
            await fleetparts.fetch(
                address, "POST", "/book", "tickets", b"slot",
                Toucanfold_Key=api_key, Idempotency_Key=key,
            )  # fmt: skip


def test_booking_resent_to_the_successor_of_a_running_daemon_runs_once():
    """Guards against two daemons of one name that both run a booking."""

    async def scenario():
        with processmanager.ProcessManager("overlap") as processes:
            overlap = OverlappingDaemons(processes)
            await overlap.start()
            api_key = await overlap.configure()
            overlap.start_process("daemon-1-successor")
            await processes.wait_listening(
                "daemon-1-successor", overlap.caller_addresses[1]
            )
            ends_at = time.monotonic() + OVERLAP_S
            for number in itertools.count():
                await overlap.book(api_key, number)
                await asyncio.sleep(0.05)
                if time.monotonic() > ends_at:
                    break
            overlap.stop()
        return overlap.runs

    runs = helpers.run(scenario(), 40)
    assert runs and not [key for key, count in runs.items() if count > 1]
