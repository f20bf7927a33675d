"""Fleet under test of the product: three control instances, a daemon per target."""

import asyncio
import dataclasses

from toucanfold import (
    benchfleet,
    deployments,
    localfleet,
    model,
    processmanager,
    relay,
    scenarios,
)

CONFIG_CHANGES = 20
CONFIG_CHANGE_INTERVAL_S = 0.15
MAX_ATTEMPTS = 1


class ProductFleet(benchfleet.BenchFleet):
    """Control instances and daemons of the product."""

    policy = "toucanfold"

    def __init__(
        self,
        deployment: deployments.Deployment,
        processes: processmanager.ProcessManager,
    ):
        super().__init__(deployment, processes)
        self.local = localfleet.LocalFleet(processes)
        self._stopped_control = ""
        self._advertised_links: dict[str, str] = {}

    async def start_proxies(self) -> None:
        """Start control instances and daemons together, then configure the fleet."""
        for placement in self.placements:
            self._start_daemon(placement)
        await self.local.start_control()
        for placement in self.placements:
            address = self.addresses[placement.name].caller
            await self._process_manager.wait_listening(placement.name, address)
        await self.local.wait_targets([placement.name for placement in self.placements])
        revision = await self._configure()
        await self.local.operator.wait_in_force(revision)

    async def add_relays(self) -> None:
        """Restart the fault targets' daemons with relays in front of their links."""
        for placement in self.fault_targets:
            upstream = self.addresses[placement.name].link
            each = relay.Relay(processmanager.free_addresses(1)[0], upstream)
            await each.start()
            self._relays[placement.name] = each
            self._advertised_links[placement.name] = each.address
        await self.drain()
        await self.undrain()

    async def withdraw_key(self) -> None:
        """Withdraw a connected client account's key; prepare() issues the next one."""
        key = self.keys[benchfleet.WITHDRAWN_ACCOUNT]
        await self.local.operator.withdraw_key(key)
        await super().withdraw_key()

    async def prepare(self, scenario: scenarios.Scenario) -> None:
        """Set up a scenario; an account whose key was withdrawn gets a new one."""
        if self.withdrawn_account:
            operator = self.local.operator
            self.keys[self.withdrawn_account], revision = await operator.issue_key(
                self.withdrawn_account
            )
            await operator.wait_in_force(revision)
        await super().prepare(scenario)

    async def kill_leader(self) -> None:
        """Kill the leader of the control instances."""
        self._stopped_control = await self.local.leader()
        self._process_manager.processes[self._stopped_control].kill()

    async def restore_leader(self) -> None:
        """Restart the killed control instance with its data directory."""
        self._process_manager.processes[self._stopped_control].start()

    async def pause_follower(self) -> None:
        """Suspend a follower: its connections stay open but carry no more traffic."""
        leader = await self.local.leader()
        self._stopped_control = next(
            name for name in self.local.names if name != leader
        )
        self._process_manager.processes[self._stopped_control].pause()

    async def resume_follower(self) -> None:
        """Resume the suspended control instance with its stale state."""
        self._process_manager.processes[self._stopped_control].resume()

    async def change_settings(self) -> None:
        """Change a profile and a client account CONFIG_CHANGES times."""
        operator = self.local.operator
        account = self.deployment.accounts[-1]
        for number in range(CONFIG_CHANGES):
            profile = await operator.read("/v1/profiles/normal")
            item = {**profile["item"], "queue_length": 1000 + number}
            await operator.put("profiles", item, item["revision"])
            current_account = await operator.read(f"/v1/accounts/{account.name}")
            item = {**current_account["item"], "burst": account.burst + number}
            await operator.put("accounts", item, item["revision"])
            await asyncio.sleep(CONFIG_CHANGE_INTERVAL_S)

    async def _configure(self) -> int:
        operator = self.local.operator
        for importance in ("critical", "important", "normal"):
            profile = model.Profile(
                importance,
                importance,
                importance != "critical",
                deployments.DEADLINE_MS,
                MAX_ATTEMPTS,
            )
            await operator.put("profiles", profile.to_json())
        for kind in self.deployment.kinds:
            prefix = kind.path.partition("?")[0]
            for service in deployments.chain_services(kind):
                name = f"{service}.{kind.name}"
                route = model.Route(name, service, kind.importance, "*", prefix)
                await operator.put("routes", route.to_json())
        largest = max(account.base_rate for account in self.deployment.accounts)
        revision = 0
        for account in self.deployment.accounts:
            weight = max(0.001, account.base_rate / largest)
            item = model.Account(account.name, account.rate, account.burst, weight)
            await operator.put("accounts", dataclasses.asdict(item))
            self.keys[account.name], revision = await operator.issue_key(account.name)
        return revision

    def _start_daemon(self, placement: deployments.Placement) -> None:
        listeners = self.addresses[placement.name]
        values = {
            "service": placement.service.name,
            "region": placement.region,
            "data_centre": placement.data_centre,
            "caller_listen": listeners.caller,
            "egress_listen": listeners.egress,
            "link_listen": listeners.link,
            "debug_listen": listeners.debug,
            "target_address": listeners.target,
        }
        if placement.name in self._advertised_links:
            values["link_advertise"] = self._advertised_links[placement.name]
        self.local.start_daemon(placement.name, values)

    async def _start_proxy(self, placement: deployments.Placement) -> None:
        self._start_daemon(placement)
        address = self.addresses[placement.name].caller
        await self._process_manager.wait_listening(placement.name, address)
