"""Control instances and daemons of a local fleet, and an operators' API client."""

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import Any

from returns import result

from toucanfold import adminclient, exceptions, processmanager

CONTROL_COUNT = 3
READY_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1
FLEET_NAME = "local"


class OperatorClient:
    """Calls the operators' API in a thread; raises the client's errors."""

    def __init__(self, addresses: list[str], credential: str):
        self._client = adminclient.Client(addresses, credential)
        self._credential = credential

    async def read(self, path: str) -> dict[str, Any]:
        """Get a resource."""
        return await self._run_in_thread(self._client.read, path)

    async def change(
        self, method: str, path: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        """Send a change and return the response."""
        return await self._run_in_thread(self._client.submit, method, path, fields)

    async def put(
        self, table: str, item: dict[str, Any], expected_revision: int = 0
    ) -> int:
        """Create or change an object and return the revision."""
        fields = {"item": item, "expected_revision": expected_revision}
        answer = await self.change("PUT", f"/v1/{table}/{item['name']}", fields)
        return answer["revision"]

    async def issue_key(self, account: str) -> tuple[str, int]:
        """Issue a key; return its text and the revision."""
        fields = {"account": account, "seed": secrets.token_hex(24)}
        answer = await self.change("POST", "/v1/keys", fields)
        return answer["key"], answer["revision"]

    async def withdraw_key(self, key: str) -> int:
        """Withdraw a key, given by its text, and return the revision."""
        key_id = key.split("_")[1]
        answer = await self.change("DELETE", f"/v1/keys/{key_id}", {})
        return answer["revision"]

    async def wait_in_force(self, revision: int) -> bool:
        """Wait until a revision is in force on all daemons; return whether it is.

        The wait lasts at most half of IN_FORCE_TIMEOUT_S.
        """
        wait_ms = int(IN_FORCE_TIMEOUT_S * 500)
        answer = await self.read(f"/v1/revisions/{revision}?wait_ms={wait_ms}")
        return bool(answer["in_force"])

    async def _run_in_thread(
        self, function: Callable[..., adminclient.Answer], *args: Any
    ):
        answered = await asyncio.to_thread(function, *args)
        if isinstance(answered, result.Failure):
            raise answered.failure()
        return answered.unwrap()


class LocalFleet:
    """A fleet of control instances and daemons as processes on loopback."""

    def __init__(self, processes: processmanager.ProcessManager):
        self.names = [f"control-{number}" for number in range(1, CONTROL_COUNT + 1)]
        addresses = processmanager.free_addresses(2 * CONTROL_COUNT)
        self.links = dict(zip(self.names, addresses, strict=False))
        self.admins = dict(zip(self.names, addresses[CONTROL_COUNT:], strict=True))
        credential = f"operator:{secrets.token_hex(16)}"
        self.credential_file = processes.write("operators", f"{credential}\n")
        self.operator = OperatorClient(list(self.admins.values()), credential)
        self._processes = processes
        self._credential = credential

    async def start_control(self) -> None:
        """Start all control instances and wait for a leader."""
        for name in self.names:
            path = self._processes.write_settings(
                name, "control", self._control_settings(name)
            )
            self._processes.start(name, "control", f"--settings={path}")
        for name in self.names:
            await self._processes.wait_listening(name, self.admins[name])
        await self._wait_until(
            self._has_leader, "no control instance became the leader"
        )

    def start_daemon(self, name: str, values: dict[str, Any]) -> None:
        """Start a daemon, or restart a stopped one with new settings."""
        all_values = {
            "fleet": FLEET_NAME,
            "name": name,
            "secret_file": self._processes.secret_file,
            "control": " ".join(self.links.values()),
            **values,
        }
        path = self._processes.write_settings(name, "daemon", all_values)
        self._processes.start(name, "daemon", f"--settings={path}", "--log_level=info")

    async def wait_targets(self, names: list[str]) -> None:
        """Wait until the control instances list these targets as up."""
        expected = set(names)

        async def are_up() -> bool:
            listed = await self.operator.read("/v1/targets?state=up")
            return expected <= {item["name"] for item in listed["targets"]}

        await self._wait_until(are_up, f"not all of these targets are up: {names}")

    async def leader(self) -> str:
        """Return the name of the leader, empty if none is known."""
        for name, address in self.admins.items():
            if not self._processes.processes[name].is_running:
                continue
            try:
                _, value = await asyncio.to_thread(
                    adminclient.send_request,
                    address,
                    "GET",
                    "/v1/status",
                    None,
                    self._credential,
                    timeout_s=2.0,
                )
            except OSError:
                continue
            leader = value.get("replica", {}).get("leader")
            if leader:
                return leader
        return ""

    async def _has_leader(self) -> bool:
        return bool(await self.leader())

    def _control_settings(self, name: str) -> dict[str, Any]:
        folder = self._processes.folder / f"{name}-data"
        members = " ".join(f"{other}={link}" for other, link in self.links.items())
        return {
            "fleet": FLEET_NAME,
            "name": name,
            "region": "north",
            "data_centre": "a",
            "secret_file": self._processes.secret_file,
            "listen": self.links[name],
            "admin_listen": self.admins[name],
            "admin_file": self.credential_file,
            "data_folder": folder,
            "members": members,
        }

    async def _wait_until(self, condition: Callable[[], Any], message: str) -> None:
        timeout_at = time.monotonic() + READY_TIMEOUT_S
        while not await condition():
            if time.monotonic() > timeout_at:
                log_tails = [
                    process.log_tail(2)
                    for process in self._processes.processes.values()
                    if not process.is_running
                ]
                raise exceptions.ToucanfoldError(
                    f"{message}; log tails of terminated processes: {log_tails}",
                    "see the log lines in this message",
                )
            await asyncio.sleep(POLL_INTERVAL_S)
