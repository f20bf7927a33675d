"""Fleets under test in the bench: the common base and the naive-proxy baseline."""

import asyncio
import dataclasses
import json
from typing import Any

from toucanfold import deployments, model, plainhttp, processmanager, relay, scenarios

# Of each service with a concurrency above 2, the target in this data centre is the
# fault target: drains, crashes and dropped traffic are applied to it.
FAULT_TARGET_REGION, FAULT_TARGET_CENTRE = "north", "a"
WITHDRAWN_ACCOUNT = "account4"
STANDIN_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class ListenAddresses:
    """Listen addresses (host:port) of a target and of the proxy or daemon beside it."""

    target: str
    caller: str
    egress: str
    link: str
    debug: str


class BenchFleet:
    """Stand-in targets and the proxies beside them; base class of both policies."""

    policy = ""

    def __init__(
        self,
        deployment: deployments.Deployment,
        processes: processmanager.ProcessManager,
    ):
        self.deployment = deployment
        self.placements = deployment.placements
        self.addresses: dict[str, ListenAddresses] = {}
        self.keys = {
            account.name: model.generate_api_key() for account in deployment.accounts
        }
        self.withdrawn_account = ""
        self._process_manager = processes
        self._standin_addresses: dict[str, str] = {}
        self._relays: dict[str, relay.Relay] = {}
        for placement in self.placements:
            self.addresses[placement.name] = ListenAddresses(
                *processmanager.free_addresses(5)
            )

    @property
    def entries(self) -> list[str]:
        """Addresses for callers, in the order of the placements."""
        return [self.addresses[placement.name].caller for placement in self.placements]

    @property
    def fault_targets(self) -> list[deployments.Placement]:
        """Targets to which drains, crashes and dropped traffic are applied."""
        return [
            placement
            for placement in self.placements
            if (placement.region, placement.data_centre)
            == (FAULT_TARGET_REGION, FAULT_TARGET_CENTRE)
            and placement.service.workers > 2
        ]

    async def start(self) -> None:
        """Start all processes and wait until they serve."""
        await self._start_targets()
        await self.start_proxies()

    async def start_proxies(self) -> None:
        """Start the processes beside the targets."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Kill all processes; graceful stops are measured by scenarios."""
        self._process_manager.kill_all()
        for each in self._relays.values():
            await each.stop()

    async def prepare(self, scenario: scenarios.Scenario) -> None:
        """Set up the fleet for a scenario and reset the targets' counts."""
        if scenario.name == "silent_links":
            await self.add_relays()
        self.withdrawn_account = ""
        await self.command("/reset")

    async def add_relays(self) -> None:
        """Put relays in front of the fault targets."""
        raise NotImplementedError

    async def counts(self) -> dict[str, Any]:
        """Return the targets' counts, summed over the stand-in processes."""
        total: dict[str, Any] = {}
        for address in self._standin_addresses.values():
            answer = await self._exchange(address, "GET", "/stats", b"")
            for name, value in json.loads(answer).items():
                if isinstance(value, int):
                    total[name] = total.get(name, 0) + value
        return total

    async def command(self, path: str, services: str = "", **fields: Any) -> None:
        """Send a command to the stand-ins of one service, or of all."""
        body = json.dumps(fields).encode()
        for service, address in self._standin_addresses.items():
            if services in ("", service):
                await self._exchange(address, "POST", path, body)

    async def run_action(self, name: str) -> None:
        """Run the method that a scenario's action names."""
        await getattr(self, name)()

    async def slow(self) -> None:
        """Slow the downstream service down by SLOWDOWN_FACTOR."""
        await self.command(
            "/factor",
            self.deployment.downstream_service,
            factor=scenarios.SLOWDOWN_FACTOR,
        )

    async def restore_downstream(self) -> None:
        """Return the downstream service to its normal speed."""
        await self.command("/factor", self.deployment.downstream_service, factor=1.0)

    async def drain(self) -> None:
        """Stop the fault targets' proxies gracefully."""
        await asyncio.gather(
            *(self._stop_proxy(placement) for placement in self.fault_targets)
        )

    async def undrain(self) -> None:
        """Restart the fault targets' proxies after a drain."""
        await asyncio.gather(
            *(self._start_proxy(placement) for placement in self.fault_targets)
        )

    async def rolling_restart(self) -> None:
        """Restart the fault targets' proxies one after another."""
        for placement in self.fault_targets:
            await self._stop_proxy(placement)
            await self._start_proxy(placement)

    async def crash_targets(self) -> None:
        """Crash the fault targets' proxies and then the targets themselves."""
        for placement in self.fault_targets:
            self._process_manager.processes[placement.name].kill()
        await self.command(
            "/lose", names=[placement.name for placement in self.fault_targets]
        )

    async def restart_targets(self) -> None:
        """Start the crashed targets and their proxies."""
        await self.command(
            "/start", names=[placement.name for placement in self.fault_targets]
        )
        await self.undrain()

    async def cold_start(self) -> None:
        """Replace the fault targets by targets that warm up for TARGET_WARM_UP_S."""
        names = [placement.name for placement in self.fault_targets]
        await self.drain()
        await self.command("/lose", names=names)
        await self.command(
            "/start", names=names, cold_start_s=scenarios.TARGET_WARM_UP_S
        )
        await self.undrain()

    async def blackhole_links(self) -> None:
        """Permanently drop all traffic on the fault targets' current connections."""
        for each in self._relays.values():
            each.blackhole()

    async def withdraw_key(self) -> None:
        """Withdraw the key of a connected client account, if the policy supports it."""
        self.withdrawn_account = WITHDRAWN_ACCOUNT

    async def kill_leader(self) -> None:
        """Kill the leader of the control instances."""

    async def restore_leader(self) -> None:
        """Start the killed control instance again."""

    async def pause_follower(self) -> None:
        """Partition a follower: its connections stay open but carry no traffic."""

    async def resume_follower(self) -> None:
        """Reconnect the partitioned control instance."""

    async def change_settings(self) -> None:
        """Change profiles and client accounts under load."""

    async def _start_proxy(self, placement: deployments.Placement) -> None:
        process = self._process_manager.processes[placement.name]
        process.start()
        address = self.addresses[placement.name].caller
        await self._process_manager.wait_listening(placement.name, address)

    async def _stop_proxy(self, placement: deployments.Placement) -> None:
        await self._process_manager.processes[placement.name].stop()

    async def _start_targets(self) -> None:
        for service in self.deployment.services:
            specs = [
                {
                    "name": placement.name,
                    "service": service.name,
                    "address": self.addresses[placement.name].target,
                    "egress": self.addresses[placement.name].egress,
                    "workers": service.workers,
                    "service_ms": service.service_ms,
                }
                for placement in self.placements
                if placement.service is service
            ]
            name = f"target-{service.name}"
            control = processmanager.free_addresses(1)[0]
            self._standin_addresses[service.name] = control
            path = self._process_manager.write_json(f"{name}.json", specs)
            self._process_manager.start(
                name, "target", f"--targets={path}", f"--control={control}"
            )
        for name, control in self._standin_addresses.items():
            await self._process_manager.wait_listening(f"target-{name}", control)

    async def _exchange(
        self, address: str, method: str, path: str, body: bytes
    ) -> bytes:
        pool = plainhttp.Pool(address)
        request = plainhttp.Request(method, path, [(b"Host", b"control")], body)
        async with asyncio.timeout(STANDIN_TIMEOUT_S):
            response = await pool.exchange(request)
        pool.close()
        return response.body


class NaiveFleet(BenchFleet):
    """The baseline: a naive proxy beside each target."""

    policy = "naive"

    async def start_proxies(self) -> None:
        """Start all proxies together."""
        for placement in self.placements:
            path = self._process_manager.write_json(
                f"{placement.name}.json", self._settings(placement)
            )
            self._process_manager.start(placement.name, "naive", f"--settings={path}")
        for placement in self.placements:
            address = self.addresses[placement.name].caller
            await self._process_manager.wait_listening(placement.name, address)

    async def add_relays(self) -> None:
        """Restart the proxies so that they reach the fault targets through relays."""
        for placement in self.fault_targets:
            upstream = self.addresses[placement.name].target
            each = relay.Relay(processmanager.free_addresses(1)[0], upstream)
            await each.start()
            self._relays[placement.name] = each
        await asyncio.gather(
            *(self._stop_proxy(placement) for placement in self.placements)
        )
        await self.start_proxies()

    def _settings(self, placement: deployments.Placement) -> dict[str, Any]:
        targets: dict[str, list[str]] = {}
        for other in self.placements:
            address = self.addresses[other.name].target
            if other.name in self._relays:
                address = self._relays[other.name].address
            targets.setdefault(other.service.name, []).append(address)
        listeners = self.addresses[placement.name]
        return {
            "caller_listen": listeners.caller,
            "egress_listen": listeners.egress,
            "targets": targets,
            "keys": {
                self.keys[account.name]: {
                    "name": account.name,
                    "rate": account.rate,
                    "burst": account.burst,
                }
                for account in self.deployment.accounts
            },
            "proxies": len(self.placements),
        }
