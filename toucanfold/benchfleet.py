"""The fleets that the bench measures: stand-in targets behind naive proxies."""

import asyncio
import dataclasses
import json
from typing import Any

from toucanfold import deployments, fleet, model, plainhttp, relay, scenarios

# One target of each wide service is the subject of drains, losses and silence.
SUBJECT_REGION, SUBJECT_CENTRE = "north", "a"
WITHDRAWN_ACCOUNT = "account4"
CONTROL_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class Addresses:
    """Listeners of one target and of the proxy or daemon beside it."""

    target: str
    caller: str
    egress: str
    link: str
    debug: str


class BenchFleet:
    """Stand-in targets and the proxies beside them; base of both policies."""

    policy = ""

    def __init__(self, deployment: deployments.Deployment, processes: fleet.Fleet):
        self.deployment = deployment
        self.places = deployment.places
        self.addresses: dict[str, Addresses] = {}
        self.keys = {
            account.name: model.generate_api_key() for account in deployment.accounts
        }
        self.withdrawn = ""
        self._fleet = processes
        self._controls: dict[str, str] = {}
        self._relays: dict[str, relay.Relay] = {}
        for place in self.places:
            self.addresses[place.name] = Addresses(*fleet.free_addresses(5))

    @property
    def entries(self) -> list[str]:
        """Addresses for callers, in the order of the places."""
        return [self.addresses[place.name].caller for place in self.places]

    @property
    def subjects(self) -> list[deployments.Place]:
        """The targets which drains, losses and silence concern."""
        return [
            place
            for place in self.places
            if (place.region, place.data_centre) == (SUBJECT_REGION, SUBJECT_CENTRE)
            and place.service.workers > 2
        ]

    async def start(self) -> None:
        """Start all processes and wait until they serve."""
        await self._start_targets()
        await self.start_proxies()

    async def start_proxies(self) -> None:
        """Start the processes beside the targets."""
        raise NotImplementedError

    async def stop(self) -> None:
        """End all processes at once; planned stops are measured by scenarios."""
        self._fleet.kill_all()
        for each in self._relays.values():
            await each.stop()

    async def prepare(self, scenario: scenarios.Scenario) -> None:
        """Change the fleet before a scenario that needs it, and reset the counts."""
        if scenario.name == "silent_links":
            await self.add_relays()
        self.withdrawn = ""
        await self.command("/reset")

    async def add_relays(self) -> None:
        """Put relays in front of the subjects."""
        raise NotImplementedError

    async def counts(self) -> dict[str, Any]:
        """Return the targets' counts, added over the processes."""
        total: dict[str, Any] = {}
        for address in self._controls.values():
            answer = await self._exchange(address, "GET", "/stats", b"")
            for name, value in json.loads(answer).items():
                if isinstance(value, int):
                    total[name] = total.get(name, 0) + value
        return total

    async def command(self, path: str, services: str = "", **fields: Any) -> None:
        """Send a command to the stand-ins of one service, or of all."""
        body = json.dumps(fields).encode()
        for service, address in self._controls.items():
            if services in ("", service):
                await self._exchange(address, "POST", path, body)

    async def act(self, name: str) -> None:
        """Do what a scenario's action names."""
        await getattr(self, name)()

    async def slow(self) -> None:
        """Slow the deep service down."""
        await self.command(
            "/factor", self.deployment.deep_service, factor=scenarios.SLOW_FACTOR
        )

    async def normal_speed(self) -> None:
        """Let the deep service run at its normal speed."""
        await self.command("/factor", self.deployment.deep_service, factor=1.0)

    async def drain(self) -> None:
        """Stop the subjects' proxies as planned."""
        await asyncio.gather(*(self._stop_proxy(place) for place in self.subjects))

    async def undrain(self) -> None:
        """Start the subjects' proxies again."""
        await asyncio.gather(*(self._start_proxy(place) for place in self.subjects))

    async def rolling_restart(self) -> None:
        """Restart the subjects' proxies one after another."""
        for place in self.subjects:
            await self._stop_proxy(place)
            await self._start_proxy(place)

    async def lose_target(self) -> None:
        """Lose the subjects' instances at once."""
        for place in self.subjects:
            self._fleet.processes[place.name].kill()
        await self.command("/lose", names=[place.name for place in self.subjects])

    async def restore_target(self) -> None:
        """Start what was lost."""
        await self.command("/start", names=[place.name for place in self.subjects])
        await self.undrain()

    async def cold_start(self) -> None:
        """Replace the subjects by cold targets."""
        names = [place.name for place in self.subjects]
        await self.drain()
        await self.command("/lose", names=names)
        await self.command("/start", names=names, cold_start_s=scenarios.COLD_START_S)
        await self.undrain()

    async def silence_links(self) -> None:
        """Stop passing bytes on the connections to the subjects for good."""
        for each in self._relays.values():
            each.silence()

    async def withdraw_key(self) -> None:
        """Withdraw the key of a connected client account, if the policy can."""
        self.withdrawn = WITHDRAWN_ACCOUNT

    async def kill_leader(self) -> None:
        """Kill the leader of control."""

    async def restore_leader(self) -> None:
        """Start the killed control instance again."""

    async def cut_control(self) -> None:
        """Cut a control instance off silently."""

    async def heal_control(self) -> None:
        """End the cut."""

    async def change_settings(self) -> None:
        """Change profiles and client accounts under load."""

    async def _start_proxy(self, place: deployments.Place) -> None:
        process = self._fleet.processes[place.name]
        process.start()
        address = self.addresses[place.name].caller
        await self._fleet.wait_listening(place.name, address)

    async def _stop_proxy(self, place: deployments.Place) -> None:
        await self._fleet.processes[place.name].stop()

    async def _start_targets(self) -> None:
        for service in self.deployment.services:
            specs = [
                {
                    "name": place.name,
                    "service": service.name,
                    "address": self.addresses[place.name].target,
                    "egress": self.addresses[place.name].egress,
                    "workers": service.workers,
                    "service_ms": service.service_ms,
                }
                for place in self.places
                if place.service is service
            ]
            name = f"target-{service.name}"
            control = fleet.free_addresses(1)[0]
            self._controls[service.name] = control
            path = self._fleet.write_json(f"{name}.json", specs)
            self._fleet.start(
                name, "target", f"--targets={path}", f"--control={control}"
            )
        for name, control in self._controls.items():
            await self._fleet.wait_listening(f"target-{name}", control)

    async def _exchange(
        self, address: str, method: str, path: str, body: bytes
    ) -> bytes:
        pool = plainhttp.Pool(address)
        request = plainhttp.Request(method, path, [(b"Host", b"control")], body)
        async with asyncio.timeout(CONTROL_TIMEOUT_S):
            response = await pool.exchange(request)
        pool.close()
        return response.body


class NaiveFleet(BenchFleet):
    """The baseline: a naive proxy beside each target."""

    policy = "naive"

    async def start_proxies(self) -> None:
        """Start all proxies together."""
        for place in self.places:
            path = self._fleet.write_json(f"{place.name}.json", self._settings(place))
            self._fleet.start(place.name, "naive", f"--settings={path}")
        for place in self.places:
            address = self.addresses[place.name].caller
            await self._fleet.wait_listening(place.name, address)

    async def add_relays(self) -> None:
        """Restart the proxies, which then reach the subjects through relays."""
        for place in self.subjects:
            upstream = self.addresses[place.name].target
            each = relay.Relay(fleet.free_addresses(1)[0], upstream)
            await each.start()
            self._relays[place.name] = each
        await asyncio.gather(*(self._stop_proxy(place) for place in self.places))
        await self.start_proxies()

    def _settings(self, place: deployments.Place) -> dict[str, Any]:
        targets: dict[str, list[str]] = {}
        for other in self.places:
            address = self.addresses[other.name].target
            if other.name in self._relays:
                address = self._relays[other.name].address
            targets.setdefault(other.service.name, []).append(address)
        own = self.addresses[place.name]
        return {
            "caller_listen": own.caller,
            "egress_listen": own.egress,
            "targets": targets,
            "keys": {
                self.keys[account.name]: {
                    "name": account.name,
                    "rate": account.rate,
                    "burst": account.burst,
                }
                for account in self.deployment.accounts
            },
            "proxies": len(self.places),
        }
