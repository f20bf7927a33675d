"""The product in the bench: three control instances and a daemon per target."""

import asyncio
import dataclasses

from toucanfold import (
    benchfleet,
    deployments,
    fleet,
    localfleet,
    model,
    relay,
    scenarios,
)

CONFIG_CHANGES = 20
CONFIG_PAUSE_S = 0.15
ATTEMPTS = 1


class ProductFleet(benchfleet.BenchFleet):
    """Control instances and daemons of the product."""

    policy = "toucanfold"

    def __init__(self, deployment: deployments.Deployment, processes: fleet.Fleet):
        super().__init__(deployment, processes)
        self.local = localfleet.LocalFleet(processes)
        self._stopped_control = ""
        self._advertised: dict[str, str] = {}

    async def start_proxies(self) -> None:
        """Start control and the daemons together, then configure the fleet."""
        for place in self.places:
            self._start_daemon(place)
        await self.local.start_control()
        for place in self.places:
            address = self.addresses[place.name].caller
            await self._fleet.wait_listening(place.name, address)
        await self.local.wait_targets([place.name for place in self.places])
        revision = await self._configure()
        await self.local.operator.wait_in_force(revision)

    async def add_relays(self) -> None:
        """Restart the subjects' daemons with relays in front of their links."""
        for place in self.subjects:
            upstream = self.addresses[place.name].link
            each = relay.Relay(fleet.free_addresses(1)[0], upstream)
            await each.start()
            self._relays[place.name] = each
            self._advertised[place.name] = each.address
        await self.drain()
        await self.undrain()

    async def withdraw_key(self) -> None:
        """Withdraw the key of one connected client account; it gets a new one later."""
        key = self.keys[benchfleet.WITHDRAWN_ACCOUNT]
        await self.local.operator.withdraw_key(key)
        await super().withdraw_key()

    async def prepare(self, scenario: scenarios.Scenario) -> None:
        """Give an account whose key was withdrawn a new one."""
        if self.withdrawn:
            operator = self.local.operator
            self.keys[self.withdrawn], revision = await operator.issue_key(
                self.withdrawn
            )
            await operator.wait_in_force(revision)
        await super().prepare(scenario)

    async def kill_leader(self) -> None:
        """Kill the leader of control."""
        self._stopped_control = await self.local.leader()
        self._fleet.processes[self._stopped_control].kill()

    async def restore_leader(self) -> None:
        """Start the killed control instance with its data folder."""
        self._fleet.processes[self._stopped_control].start()

    async def cut_control(self) -> None:
        """Pause a follower: its connections stay open and nothing comes any more."""
        leader = await self.local.leader()
        self._stopped_control = next(
            name for name in self.local.names if name != leader
        )
        self._fleet.processes[self._stopped_control].pause()

    async def heal_control(self) -> None:
        """Let the paused instance go on with its old state."""
        self._fleet.processes[self._stopped_control].resume()

    async def change_settings(self) -> None:
        """Change a profile and a client account again and again."""
        operator = self.local.operator
        account = self.deployment.accounts[-1]
        for number in range(CONFIG_CHANGES):
            profile = await operator.read("/v1/profiles/normal")
            item = {**profile["item"], "queue_length": 1000 + number}
            await operator.put("profiles", item, item["revision"])
            found = await operator.read(f"/v1/accounts/{account.name}")
            item = {**found["item"], "burst": account.burst + number}
            await operator.put("accounts", item, item["revision"])
            await asyncio.sleep(CONFIG_PAUSE_S)

    async def _configure(self) -> int:
        operator = self.local.operator
        for importance in ("critical", "important", "normal"):
            profile = model.Profile(
                importance,
                importance,
                importance != "critical",
                deployments.DEADLINE_MS,
                ATTEMPTS,
            )
            await operator.put("profiles", profile.to_json())
        for kind in self.deployment.kinds:
            prefix = kind.path.partition("?")[0]
            for service in deployments.services_of(kind):
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

    def _start_daemon(self, place: deployments.Place) -> None:
        own = self.addresses[place.name]
        values = {
            "service": place.service.name,
            "region": place.region,
            "data_centre": place.data_centre,
            "caller_listen": own.caller,
            "egress_listen": own.egress,
            "link_listen": own.link,
            "debug_listen": own.debug,
            "target_address": own.target,
        }
        if place.name in self._advertised:
            values["link_advertise"] = self._advertised[place.name]
        self.local.start_daemon(place.name, values)

    async def _start_proxy(self, place: deployments.Place) -> None:
        self._start_daemon(place)
        address = self.addresses[place.name].caller
        await self._fleet.wait_listening(place.name, address)
