"""Starts and ends the processes of a small fleet for demo, bench and tests."""

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
POLL_S = 0.02
PR_SET_PDEATHSIG = 1
# Below the range from which the system takes ports of outgoing connections: one of
# those could take the port of a process that has not started yet.
PORT_RANGE = (15_000, 32_000)

# An address of the loopback network for this process, so that two fleets on one
# machine cannot take each other's ports.
_PID = os.getpid()
HOST = f"127.{1 + (_PID >> 16) % 250}.{(_PID >> 8) % 256}.{_PID % 256}"
# A port is given once, since its process may bind it only much later.
_given_ports: set[int] = set()
_libc = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """Have the system end the child even if this process is killed."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports that were not given before."""
    probes: list[socket.socket] = []
    while len(probes) < count:
        port = random.randrange(*PORT_RANGE)
        if port in _given_ports:
            continue
        probe = socket.socket()
        try:
            probe.bind((HOST, port))
        except OSError:
            probe.close()
            continue
        _given_ports.add(port)
        probes.append(probe)
    addresses = [f"{HOST}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


class Process:
    """One child process with its log file."""

    def __init__(self, name: str, arguments: Sequence[str], folder: pathlib.Path):
        self.name = name
        self.arguments = list(arguments)
        self.log = folder / f"{name}.log"
        self.output = folder / f"{name}.out"
        self._child: subprocess.Popen[bytes] | None = None
        self._is_paused = False

    @property
    def id(self) -> int:
        """Process id, 0 when it does not run."""
        return self._child.pid if self._child is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def status(self) -> int | None:
        """Exit status, None while it runs."""
        return self._child.poll() if self._child is not None else None

    def cpu_s(self) -> float:
        """Return the CPU seconds used so far, 0 if it does not run."""
        try:
            text = pathlib.Path(f"/proc/{self.id}/stat").read_text("ascii")
        except OSError:
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def start(self) -> None:
        """Start the process; its log grows over restarts."""
        with open(self.log, "ab") as log, open(self.output, "ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "toucanfold", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                preexec_fn=_die_with_parent,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def pause(self) -> None:
        """Stop the process from running, while its connections stay open."""
        self._is_paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._is_paused = False
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once and collect it."""
        if self._child is not None:
            self.send_signal(signal.SIGKILL)
            self._child.wait()

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the end; None if it still runs after the time."""
        end = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
        return self.status

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """End with SIGTERM, then SIGKILL; return whether SIGTERM was enough."""
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
    """Processes in one temporary folder; leaving the context ends all of them."""

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
        """Start ``toucanfold ARGUMENTS`` under a name that is not running."""
        process = Process(name, arguments, self.folder)
        self.processes[name] = process
        process.start()
        return process

    async def wait_listening(self, name: str, address: str) -> None:
        """Wait until a process accepts connections on an address."""
        host, port = link.split_address(address)
        process = self.processes[name]
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and process.is_running:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return
        raise exceptions.ToucanfoldError(
            f"process {name} does not listen on {address}: {process.log_tail()}",
            "see the log lines in this message",
        )

    def cpu_s(self) -> dict[str, float]:
        """Return the CPU seconds of each process."""
        return {name: each.cpu_s() for name, each in self.processes.items()}

    async def stop_all(
        self, last: Sequence[str] = (), timeout_s: float = STOP_TIMEOUT_S
    ) -> list[str]:
        """End all processes, some after the others; return those that needed SIGKILL.

        Control instances and targets stop last, since daemons need them to drain.
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
        """End what still runs at once."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
