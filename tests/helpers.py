"""Helpers shared by the tests."""

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Coroutine
from typing import Any

import hypothesis
from returns import result

from toucanfold import (
    clock,
    config,
    exceptions,
    interfaces,
    link,
    members,
    messages,
    model,
    registration,
    registry,
    targetstatus,
    watch,
)

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, print_blob=True
)
hypothesis.settings.load_profile("ci")


# Unix time (s) of the tests' announcements.
EPOCH_S = 1_700_000_000.0

_ports = itertools.cycle(range(10_000 + os.getpid() * 61 % 20_000, 32_000))


def run(coroutine: Coroutine[Any, Any, Any], timeout_s: float = 20) -> Any:
    """Run a coroutine in a new event loop; TimeoutError after timeout_s."""
    return clock.run(asyncio.wait_for(coroutine, timeout_s))


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets whose time passes only while all tasks wait."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._selector.select = self._advance

    def time(self) -> float:
        return self._now

    def _advance(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "all tasks wait for nothing"
        self._now += timeout
        return []


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine whose schedule does not depend on the machine's speed."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)


def free_address() -> str:
    """Return a free address on 127.0.0.1, the host in the tests' certificates.

    Ephemeral ports are avoided, since an outgoing connection could take one before
    its listener starts.
    """
    for port in itertools.islice(_ports, 1000):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise RuntimeError("no free port")


class FakeReplica:
    """Single-member stand-in for replica.Replica that commits immediately."""

    def __init__(self, fleet, name="c1"):
        self.name = name
        self.leader: str | None = name
        self.is_leader = True
        self.term = 1
        self.commit_index = 0
        self.contacts: set[str] = set()
        self.failure: exceptions.ToucanfoldError | None = None
        self._store = fleet

    async def propose(self, data):
        if self.failure is not None:
            return result.Failure(self.failure)
        self.commit_index += 1
        return result.Success(
            (self.commit_index, self._store.apply(self.commit_index, data))
        )

    async def confirm_read(self):
        return result.Success(self.commit_index)

    def on_message(self, sender, message):
        pass

    async def run(self):
        await asyncio.Event().wait()

    async def change_members(self, change):
        return result.Success(self.commit_index)

    def forecast(self, change):
        return members.Forecast(1, 1, 1)

    async def transfer_leadership(self):
        pass

    def membership(self):
        return members.Membership()

    def waiting(self):
        return {}

    def record_pending_join(self, name, member_id, address):
        pass

    def set_contacts(self, names):
        self.contacts = set(names)

    def reachable(self):
        return set()

    def status(self):
        return {"name": self.name, "leader": self.leader, "members": []}


class RegistrationRig:
    """A registration whose changes are recorded at once, unless is_recording is off."""

    def __init__(self, address, data_centre, service, *, record=None):
        self.status = targetstatus.TargetStatus(require_announcement=True)
        self.changes = []
        self.is_recording = True
        self.source = interfaces.StaticStateSource(model.FleetState())
        self.source.fresh = False
        self.recorded = record or model.Target(
            "t", 0, service, "r", data_centre, "127.0.0.1:1"
        )
        self.source.state.targets["t"] = self.recorded
        self.registration = registration.Registration(
            ("t", 2),
            (address, data_centre),
            service,
            self.status,
            self.source,
            lambda item: item in ("s1", "s2"),
            self._on_change,
        )
        self.source.subscribe(self._on_state)
        if record is None:
            self.confirm_state()

    def confirm_state(self):
        """Deliver the directory's record to the daemon as a confirmed state."""
        self.source.fresh = True
        self.source.publish()

    def record(self):
        """Record in the directory what the daemon knows of its target."""
        self.recorded.incarnation = 2
        self.recorded.service = self.status.service or self.recorded.service
        self.recorded.target_instance = self.status.label
        self.recorded.departed = self.status.departed
        self.source.publish()

    def _on_change(self):
        self.changes.append(self.status.accepts_calls)
        if self.is_recording:
            self.record()

    def _on_state(self, state):
        if self.registration.on_state(0.0, EPOCH_S) and self.is_recording:
            self.record()


SECRET = b"fleet secret of the tests"
OPERATOR = ("op", "an operator's secret")


def plain_profile(name):
    """Return a profile whose plug-ins are registered in this process."""
    kinds = ("limiter", "admission", "balancer")
    names = {kind: registry.names(kind)[:1] for kind in kinds}
    return {
        "name": name,
        **{kind: registered[0] for kind, registered in names.items() if registered},
    }


def control_settings(folder, name="c1", members=None):
    """Return settings of a control instance with free ports."""
    address = members[name] if members else free_address()
    (folder / "admin").write_text(":".join(OPERATOR) + "\n")
    (folder / "secret").write_bytes(SECRET)
    file = folder / f"{name}.ini"
    listed = members or {name: address}
    lines = {
        "fleet": "f",
        "name": name,
        "region": "r1",
        "data_centre": "d1",
        "secret_file": folder / "secret",
        "listen": address,
        "admin_listen": free_address(),
        "admin_file": folder / "admin",
        "data_folder": folder / f"data-{name}",
        "members": ", ".join(f"{key}={value}" for key, value in listed.items()),
    }
    file.write_text(
        "[control]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())
    )
    return config.read(str(file), "control").unwrap()


def make_watch(name, addresses, holder=None, service="s"):
    """Return a daemon's watch that announces a target of the same name."""
    incarnation = watch.new_incarnation()
    identity = link.Identity("f", SECRET, "daemon", name, incarnation)
    announcement = messages.Announcement(
        name, incarnation, service, "r1", "d1", "127.0.0.1:1"
    )
    return watch.WatchClient(identity, addresses, announcement, holder)


async def eventually(condition, timeout_s=5.0):
    """Wait until a condition holds; TimeoutError after timeout_s."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class ControlProcess:
    """A control instance in its own process."""

    def __init__(self, folder, name, members):
        self.settings = control_settings(folder, name, members)
        self.admin = self.settings.get("control", "admin_listen")
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None

    def start(self):
        command = [sys.executable, "-m", "toucanfold", "control"]
        command.append(f"--settings={self.settings.file}")
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(command, stderr=log, stdout=log)

    def send_signal(self, number):
        self._process.send_signal(number)

    def end(self, number=signal.SIGKILL):
        """Send a signal, wait for termination and return the exit status."""
        if self._process is None:
            return None
        self._process.send_signal(number)
        status = self._process.wait(10)
        self._process = None
        return status


class NullLinkHandler:
    """A link handler that does nothing."""

    def on_open(self, opened):
        pass

    def on_message(self, source, message):
        pass

    def on_close(self, closed, reason):
        pass
