"""Starts the programs of the deploy file on loopback addresses, as a platform would."""

import asyncio
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the pages' smallest site, as the platform passes them to a process.
BOUNDS = {
    "grace_period_s": 6,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 47,
    "quota_window_s": 5,
    "quota_overage": 0.1,
    "quota_slack": 20,
}
CASE_TIMEOUT_S = 105
_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        print(
            f"{time.monotonic() - self._started_at:8.3f} {text}",
            file=self._file,
            flush=True,
        )


def _find(scopes: list[Any], name: str) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def _section_end(text: str, start: int, name: str) -> tuple[int, int]:
    depth = 1
    for match in _TAG.finditer(text, start):
        if match[2] != name:
            continue
        depth += -1 if match[1] == "/" else 1 if match[1] else 0
        if depth == 0:
            return match.start(), match.end()
    raise CannotRunError(f"the section {name} of a template has no end")


def render(text: str, scopes: list[Any], comma: str = "") -> str:
    """Fill in a template of the deploy file as DEPLOY.md describes it."""
    out, position = [], 0
    while (match := _TAG.search(text, position)) is not None:
        out.append(text[position : match.start()])
        sign, name = match[1], match[2]
        position = match.end()
        if name == ",":
            out.append(comma)
            continue
        value = _find(scopes, name)
        if not sign:
            out.append("" if value is None else str(value))
            continue
        end, position = _section_end(text, match.end(), name)
        inner = text[match.end() : end]
        out.append(_render_section(inner, sign, value, scopes))
    return "".join(out) + text[position:]


def _render_section(inner: str, sign: str, value: Any, scopes: list[Any]) -> str:
    if sign == "^":
        return render(inner, scopes) if value is None or value is False else ""
    if isinstance(value, list):
        last = len(value) - 1
        return "".join(
            render(inner, [*scopes, item], "," if number < last else "")
            for number, item in enumerate(value)
        )
    return render(inner, scopes) if value else ""


class Program:
    """A process of the deploy file, which can be started again."""

    def __init__(self, role: str, ip: str, fields: dict[str, Any], folder: str):
        self.ip, self.fields = ip, fields
        self.process: subprocess.Popen[bytes] | None = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split()
        self._template = (ROOT / deploy["roles"][role]["template"]).read_text()
        self._settings = pathlib.Path(folder) / f"{fields['node_id']}.ini"
        self.write_settings()
        self.log = self._settings.with_suffix(".log")

    def write_settings(self) -> None:
        """Place the rendered settings at their location."""
        self._settings.write_text(render(self._template, [self.fields]))

    def start(self) -> None:
        """Start the process with the environment that the platform gives it."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TOUCANFOLD_SETTINGS"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Fleet:
    """Control instances and any number of daemons, each with its own address."""

    def __init__(self, controls: int = 3) -> None:
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self._net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.controls: list[Program] = []
        self.daemons: list[Program] = []
        self._tolerated_losses = (controls - 1) // 2
        ips = [f"{self._net}.{number}" for number in range(1, controls + 1)]
        ports = _free_ports(ips[0], 5)
        self._listen = dict(
            zip(("control", "outbound", "ready", "app"), ports[:4], strict=True)
        )
        self._internal = [ports[4], ports[4] + 1]
        self.seeds = [f"{ip}:{self._listen['control']}" for ip in ips[:3]]
        for ip in ips:
            self.controls.append(self._control(ip))

    def _control(self, ip: str) -> Program:
        disk = pathlib.Path(self.folder) / f"disk-{ip}"
        disk.mkdir()
        fields = {**self._fields(f"core-{ip}", ip), "data_dir": str(disk)}
        return Program("control", ip, fields, self.folder)

    def disk_of(self, control: Program) -> pathlib.Path:
        """Return the folder that is a control machine's disk."""
        return pathlib.Path(control.fields["data_dir"])

    def lose_disk(self, control: Program) -> None:
        """End a control process and empty its disk; it can start again."""
        control.kill()
        shutil.rmtree(self.disk_of(control))
        self.disk_of(control).mkdir()
        control.fields["bootstrap"] = False
        control.write_settings()

    def remove_control(self, number: int) -> None:
        """Remove a control machine for good; it never answers again."""
        self.controls.pop(number).kill()

    def add_control(self, number: int) -> Program:
        """Add an empty control machine at a new address, and change the seeds.

        The settings of all machines change, and their processes get SIGHUP.
        """
        ip = f"{self._net}.9"
        self.seeds[number] = f"{ip}:{self._listen['control']}"
        added = self._control(ip)
        added.fields["bootstrap"] = False
        added.write_settings()
        for program in (*self.controls, *self.daemons):
            program.fields["seeds"] = list(self.seeds)
            program.fields["bootstrap"] = False
            program.write_settings()
            program.send_signal(signal.SIGHUP)
        self.controls.insert(number, added)
        added.start()
        return added

    def _fields(self, name: str, ip: str) -> dict[str, Any]:
        listen = {key: f"{ip}:{port}" for key, port in self._listen.items()}
        return {
            "node_id": name,
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "listen": listen,
            "app_addr": listen["app"],
            "internal_port_range": self._internal,
            "seeds": list(self.seeds),
            "bootstrap": True,
            "fault_tolerance": {"machines": self._tolerated_losses},
            "bounds": BOUNDS,
        }

    def add_daemon(self, service: str) -> Program:
        """Add the daemon of a machine whose backend belongs to a service."""
        number = len(self.daemons) + 1
        ip = f"{self._net}.{number + 10}"
        fields = {**self._fields(f"side-{number}", ip), "service": service}
        program = Program("daemon", ip, fields, self.folder)
        self.daemons.append(program)
        return program

    def start(self) -> None:
        """Start all processes."""
        for program in (*self.controls, *self.daemons):
            program.start()

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for program in (*self.daemons, *self.controls):
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(ip: str, count: int) -> list[int]:
    """Return free ports; the port after the last one is free, too."""
    while True:
        first = random.randint(20000, 30000)
        wanted = range(first, first + count + 1)
        sockets = [socket.socket() for _ in wanted]
        try:
            for opened, port in zip(sockets, wanted, strict=True):
                opened.bind((ip, port))
            return list(wanted[:count])
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()


def address_of(program: Program, name: str) -> tuple[str, int]:
    """Return an address of a process's settings as host and port."""
    host, _, port = program.fields["listen"][name].rpartition(":")
    return host, int(port)


async def _with_timeout(case: Coroutine[Any, Any, bool]) -> bool:
    # asyncio.wait_for of Python 3.11 can lose a cancellation.
    async with asyncio.timeout(CASE_TIMEOUT_S):
        return await case


def run_case(main: Any, record_folder: str, trouble: bool, controls: int = 3) -> int:
    """Run main(fleet, record, trouble) and return the exit status of the case."""
    record = Record(pathlib.Path(record_folder) / "record.txt")
    record(f"trouble={int(trouble)}")
    fleet = None
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet = Fleet(controls)
        broken = asyncio.run(_with_timeout(main(fleet, record, trouble)))
    except BaseException as error:
        record(f"the case could not run: {error!r}")
        return 2
    finally:
        if fleet is not None:
            fleet.stop()
    record(f"result: {'rule broken' if broken else 'rule held'}")
    return 1 if broken else 0
