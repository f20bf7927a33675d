"""Starts and stops the processes of a small fleet for the demo, bench and tests."""

import asyncio
import configparser
import ctypes
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from typing import Any

from toucanfold import exceptions, link

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
PR_SET_PDEATHSIG = 1
# Below the ephemeral port range: otherwise an outgoing connection could take the port
# of a process that has not started yet.
LISTEN_PORT_RANGE = (15_000, 32_000)

# A loopback address derived from the process id, so that two fleets on one machine
# cannot take each other's ports.
_PID = os.getpid()
HOST = f"127.{1 + (_PID >> 16) % 250}.{(_PID >> 8) % 256}.{_PID % 256}"
# A port is allocated only once, since its process may bind it much later.
_allocated_ports: set[int] = set()
_libc = ctypes.CDLL(None, use_errno=True)


def _set_parent_death_signal() -> None:
    """Have the kernel kill the child when this process dies, even by SIGKILL."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports that were not allocated before."""
    probes: list[socket.socket] = []
    while len(probes) < count:
        port = random.randrange(*LISTEN_PORT_RANGE)
        if port in _allocated_ports:
            continue
        probe = socket.socket()
        try:
            probe.bind((HOST, port))
        except OSError:
            probe.close()
            continue
        _allocated_ports.add(port)
        probes.append(probe)
    addresses = [f"{HOST}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


class Process:
    """One child process with its log and output files."""

    def __init__(self, name: str, arguments: Sequence[str], folder: pathlib.Path):
        self.name = name
        self.arguments = list(arguments)
        self.log = folder / f"{name}.log"
        self.output = folder / f"{name}.out"
        self._child: subprocess.Popen[bytes] | None = None
        self._is_paused = False

    @property
    def id(self) -> int:
        """Process id of the last start, 0 if it was never started."""
        return self._child.pid if self._child is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not terminated."""
        return self._child is not None and self._child.poll() is None

    @property
    def status(self) -> int | None:
        """Exit status, None while it runs or if it was never started."""
        return self._child.poll() if self._child is not None else None

    def cpu_s(self) -> float:
        """Return the CPU seconds used so far, 0 if the process does not exist."""
        try:
            text = pathlib.Path(f"/proc/{self.id}/stat").read_text("ascii")
        except OSError:
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def start(self) -> None:
        """Start the process; a restart appends to its log."""
        with open(self.log, "ab") as log, open(self.output, "ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "toucanfold", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                preexec_fn=_set_parent_death_signal,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def pause(self) -> None:
        """Suspend the process; its connections stay open."""
        self._is_paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._is_paused = False
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self._child is not None:
            self.send_signal(signal.SIGKILL)
            self._child.wait()

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait until the process exits; return its status, None if it still runs."""
        timeout_at = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < timeout_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.status

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Send SIGTERM, then SIGKILL on timeout; return whether SIGTERM sufficed."""
        if self._is_paused:
            self.resume()
        self.send_signal(signal.SIGTERM)
        await self.wait(timeout_s)
        is_clean = not self.is_running
        self.kill()
        return is_clean

    def log_tail(self, lines: int = 5) -> str:
        """Return the last lines of the log."""
        if not self.log.exists():
            return ""
        return "\n".join(self.log.read_text("utf-8", "replace").splitlines()[-lines:])


class ProcessManager:
    """Processes with one temporary directory; leaving the context kills all of them."""

    def __init__(self, name: str = "fleet", keep: str = ""):
        self.name = name
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"toucanfold-{name}-"))
        self.processes: dict[str, Process] = {}
        self._keep = keep
        self.secret_file = self.write("secret", secrets.token_hex(32))

    def __enter__(self) -> "ProcessManager":
        return self

    def __exit__(self, *details: object) -> None:
        self.kill_all()
        if self._keep:
            shutil.copytree(self.folder, self._keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def write(self, name: str, text: str) -> str:
        """Write a file that only this user can read and return its path."""
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_text(text, "utf-8")
        return str(path)

    def write_json(self, name: str, data: Any) -> str:
        """Write a JSON file and return its path."""
        return self.write(name, json.dumps(data))

    def write_settings(self, name: str, section: str, values: dict[str, Any]) -> str:
        """Write an INI file with one section and return its path."""
        parser = configparser.ConfigParser(interpolation=None)
        parser[section] = {option: str(value) for option, value in values.items()}
        path = self.folder / f"{name}.ini"
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        return str(path)

    def start(self, name: str, *arguments: str) -> Process:
        """Start ``toucanfold ARGUMENTS``; no process of this name may be running."""
        process = Process(name, arguments, self.folder)
        self.processes[name] = process
        process.start()
        return process

    async def wait_listening(self, name: str, address: str) -> None:
        """Wait until a process accepts connections on an address.

        Raises ToucanfoldError if it terminates or does not listen in time.
        """
        host, port = link.split_address(address)
        process = self.processes[name]
        timeout_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < timeout_at and process.is_running:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            writer.close()
            return
        raise exceptions.ToucanfoldError(
            f"process {name} does not listen on {address}: {process.log_tail()}",
            "see the log lines in this message",
        )

    def cpu_s(self) -> dict[str, float]:
        """Return the CPU seconds of each process by name."""
        return {name: each.cpu_s() for name, each in self.processes.items()}

    async def stop_all(
        self, last: Sequence[str] = (), timeout_s: float = STOP_TIMEOUT_S
    ) -> list[str]:
        """Stop all processes, those in last after the others; return those killed.

        Callers name control instances and targets as last, since daemons need them to
        drain. A process is killed if it does not exit within timeout_s after SIGTERM.
        """
        killed = []
        first = [name for name in self.processes if name not in last]
        for names in (first, last):
            clean = await asyncio.gather(
                *(self.processes[name].stop(timeout_s) for name in names)
            )
            ended = zip(names, clean, strict=True)
            killed += [name for name, is_clean in ended if not is_clean]
        return killed

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
