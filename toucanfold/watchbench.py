"""Measures the watch: time until changes are in force, bytes and CPU per watcher.

Run with ``python -m toucanfold.watchbench``. It starts control instances and processes
of watchers on loopback, and stops them at the end.
"""

import asyncio
import contextlib
import json
import math
import multiprocessing
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from multiprocessing import connection
from typing import Any

from absl import flags

from toucanfold import adminclient, clock, cmdline, limits, link, messages, watch

FLAGS = flags.FlagValues()
flags.DEFINE_integer("watchers", 24, "Number of watchers.", flag_values=FLAGS)
flags.DEFINE_integer("members", 3, "Number of control instances.", flag_values=FLAGS)
flags.DEFINE_integer("processes", 2, "Number of watcher processes.", flag_values=FLAGS)
flags.DEFINE_integer("changes", 20, "Number of changes.", flag_values=FLAGS)
flags.DEFINE_integer(
    "accounts", 8, "Client accounts whose shares watchers hold.", flag_values=FLAGS
)
flags.DEFINE_float(
    "quiet_s", 10.0, "Length of the measurement without changes (s).", flag_values=FLAGS
)
flags.DEFINE_integer(
    "restart_changes",
    0,
    "Measure instead the restart of a single instance after this many changes.",
    flag_values=FLAGS,
)
HELP_TEXT = "Measures the watch on loopback."

SECRET = "secret of the measurement"
CREDENTIAL = "op:secret of the operator"
START_TIMEOUT_S = 30.0
SETTLE_TIME_S = 3.0


class CountingLink(link.Link):
    """Link that counts the bytes of all links of its process."""

    received = 0
    sent = 0

    def data_received(self, data: bytes) -> None:
        """Count and handle received bytes."""
        CountingLink.received += len(data)
        super().data_received(data)

    def _write(self, message: messages.Message) -> None:
        if self._transport is not None:
            frame = messages.encode(message)
            CountingLink.sent += len(frame)
            self._transport.write(frame)


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def write_settings(folder: pathlib.Path, count: int) -> dict[str, dict[str, str]]:
    """Write settings files of control instances; return their options by name."""
    (folder / "secret").write_text(SECRET)
    (folder / "admin").write_text(CREDENTIAL)
    listens = {f"c{number}": free_address() for number in range(1, count + 1)}
    members = ", ".join(f"{name}={address}" for name, address in listens.items())
    options_by_name = {}
    for name, address in listens.items():
        options = {
            "fleet": "bench",
            "name": name,
            "region": "r1",
            "data_centre": "d1",
            "secret_file": str(folder / "secret"),
            "listen": address,
            "admin_listen": free_address(),
            "admin_file": str(folder / "admin"),
            "data_folder": str(folder / f"data-{name}"),
            "members": members,
        }
        lines = [f"{key} = {value}" for key, value in options.items()]
        text = "\n".join(["[control]", *lines, ""])
        (folder / f"{name}.ini").write_text(text)
        options_by_name[name] = options
    return options_by_name


@contextlib.contextmanager
def running_control(folder: pathlib.Path, names: list[str]) -> Iterator[list[int]]:
    """Run control instances; yield their process ids; stop the instances at the end."""
    processes = []
    for name in names:
        with open(folder / f"{name}.log", "wb") as log:
            command = [sys.executable, "-m", "toucanfold", "control"]
            command.append(f"--settings={folder / f'{name}.ini'}")
            processes.append(subprocess.Popen(command, stderr=log, stdout=log))
    try:
        yield [process.pid for process in processes]
    finally:
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _make_watch(name: str, addresses: list[str]) -> watch.WatchClient:
    incarnation = watch.new_incarnation()
    identity = link.Identity("bench", SECRET.encode(), "daemon", name, incarnation)
    announcement = messages.Announcement(
        name, incarnation, "s", "r1", "d1", "127.0.0.1:1"
    )
    return watch.WatchClient(identity, addresses, announcement, limits.ShareHolder())


async def _run_watchers(
    first: int, count: int, addresses: list[str], pipe: connection.Connection
) -> None:
    """Run watchers, spread over the instances, and answer queries of the parent."""
    applied: dict[int, list[float]] = {}
    watches = []
    for number in range(first, first + count):
        address_offset = number % len(addresses)
        item = _make_watch(
            f"t{number}", addresses[address_offset:] + addresses[:address_offset]
        )

        def on_state(state: Any) -> None:
            applied.setdefault(state.revision, []).append(time.monotonic())

        item.subscribe(on_state)
        item.start()
        watches.append(item)
        # The pings of a fleet's watchers are not synchronized.
        await asyncio.sleep(watch.PING_INTERVAL_S / count)
    loop = asyncio.get_running_loop()
    while True:
        query_name, argument = await asyncio.to_thread(pipe.recv)
        if query_name == "stop":
            return
        if query_name == "least":
            pipe.send(min(item.state.revision for item in watches))
        elif query_name == "fresh":
            pipe.send(all(item.is_fresh(loop.time()) for item in watches))
        elif query_name == "usage":
            used = resource.getrusage(resource.RUSAGE_SELF)
            pipe.send(
                {
                    "cpu_s": used.ru_utime + used.ru_stime,
                    "bytes": CountingLink.received + CountingLink.sent,
                    "resident_mb": used.ru_maxrss / 1024,
                }
            )
        else:
            apply_times = [times for rev, times in applied.items() if rev >= argument]
            pipe.send(max((max(times) for times in apply_times), default=0.0))


def _run_watcher_process(
    first: int, count: int, addresses: list[str], pipe: connection.Connection
) -> None:
    setattr(link, "Link", CountingLink)  # noqa: B010
    clock.run(_run_watchers(first, count, addresses, pipe))


class WatcherProcesses:
    """Starts, queries and stops the processes of watchers."""

    def __init__(self, count: int, processes: int, addresses: list[str]):
        context = multiprocessing.get_context("spawn")
        self._pipes = []
        self._processes = []
        share = math.ceil(count / processes)
        for first in range(0, count, share):
            own_pipe, other = context.Pipe()
            process = context.Process(
                target=_run_watcher_process,
                args=(first, min(share, count - first), addresses, other),
            )
            process.start()
            self._pipes.append(own_pipe)
            self._processes.append(process)

    def query(self, query_name: str, argument: int = 0) -> list[Any]:
        """Send a query to all processes and return their answers."""
        for pipe in self._pipes:
            pipe.send((query_name, argument))
        return [pipe.recv() for pipe in self._pipes]

    def stop(self) -> None:
        """Stop the processes; kill those that run on after 5 s."""
        for pipe in self._pipes:
            with contextlib.suppress(OSError):
                pipe.send(("stop", 0))
        for process in self._processes:
            process.join(5)
            if process.is_alive():
                process.kill()


def _wait_until(condition: Any, timeout_s: float = START_TIMEOUT_S) -> None:
    timeout_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > timeout_at:
            raise TimeoutError("the expected state was not reached within the timeout")
        time.sleep(0.05)


def _cpu_seconds(process: int) -> float:
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def put_accounts(client: adminclient.Client, count: int) -> None:
    """Create the given number of client accounts."""
    for number in range(count):
        item = {"name": f"a{number}", "rate": 1000.0, "burst": 4000.0}
        fields = {"expected_revision": 0, "item": item}
        client.submit("PUT", f"/v1/accounts/a{number}", fields).unwrap()


def put_profile(client: adminclient.Client, name: str) -> int:
    """Create a profile and return its revision."""
    fields = {"expected_revision": 0, "item": {"name": name}}
    answer = client.submit("PUT", f"/v1/profiles/{name}", fields)
    return answer.unwrap()["revision"]


def measure_changes(
    client: adminclient.Client, group: WatcherProcesses, changes: int
) -> dict[str, float]:
    """Time changes until all watchers apply them and until control reports it (s)."""
    applied, reported, accepted = [], [], []
    for number in range(changes):
        started_at = time.monotonic()
        revision = put_profile(client, f"p{number}")
        accepted.append(time.monotonic() - started_at)
        wait = client.read(f"/v1/revisions/{revision}?wait_ms=10000").unwrap()
        assert wait["in_force"], wait
        reported.append(time.monotonic() - started_at)
        _wait_until(lambda revision=revision: min(group.query("least")) >= revision)
        applied.append(max(group.query("applied", revision)) - started_at)
        # Spreads the changes over the time between two pings.
        time.sleep(0.137 * (number % 4))
    return {
        "accepted_p50_s": _percentile(accepted, 0.5),
        "accepted_max_s": max(accepted),
        "applied_everywhere_p50_s": _percentile(applied, 0.5),
        "applied_everywhere_max_s": max(applied),
        "reported_in_force_p50_s": _percentile(reported, 0.5),
        "reported_in_force_max_s": max(reported),
    }


def measure_quiet(
    group: WatcherProcesses, control: list[int], watchers: int, seconds: float
) -> dict[str, float]:
    """Return bytes/s and CPU use of the watch while the fleet state does not change."""
    before, control_before = (
        group.query("usage"),
        [_cpu_seconds(pid) for pid in control],
    )
    time.sleep(seconds)
    after, control_after = group.query("usage"), [_cpu_seconds(pid) for pid in control]

    def rate(name: str) -> float:
        total = sum(item[name] for item in after) - sum(item[name] for item in before)
        return total / seconds / watchers

    control_cpu_s = [
        end - start for start, end in zip(control_before, control_after, strict=True)
    ]
    return {
        "bytes_per_s_and_watcher": rate("bytes"),
        "core_share_per_watcher": rate("cpu_s"),
        "core_share_of_busiest_control": max(control_cpu_s) / seconds,
        "core_share_of_idlest_control": min(control_cpu_s) / seconds,
        "resident_mb_per_process": max(item["resident_mb"] for item in after),
    }


def run(
    watchers: int,
    members: int,
    processes: int,
    accounts: int,
    changes: int,
    quiet_s: float,
) -> Any:
    """Run the complete measurement and return its figures."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        options = write_settings(folder, members)
        admins = [item["admin_listen"] for item in options.values()]
        client = adminclient.Client(admins, CREDENTIAL)
        with running_control(folder, list(options)) as control:
            addresses = [item["listen"] for item in options.values()]
            group = WatcherProcesses(watchers, processes, addresses)
            try:
                _wait_until(lambda: all(group.query("fresh")))
                put_accounts(client, accounts)
                time.sleep(SETTLE_TIME_S)
                return {
                    "watchers": watchers,
                    "members": members,
                    **measure_quiet(group, control, watchers, quiet_s),
                    **measure_changes(client, group, changes),
                }
            finally:
                group.stop()


def run_restart(changes: int) -> dict[str, float]:
    """Return the time until a terminated instance is up to date after a restart (s)."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        options = write_settings(folder, 1)
        address = options["c1"]["admin_listen"]
        client = adminclient.Client([address], CREDENTIAL)

        def is_confirmed() -> bool:
            try:
                _, value = adminclient.send_request(
                    address, "GET", "/v1/status", None, CREDENTIAL
                )
            except OSError:
                return False
            return value["confirmed"] and value["revision"] == last_revision

        last_revision = 0
        with running_control(folder, ["c1"]):
            _wait_until(is_confirmed)
            while last_revision < changes:
                last_revision = put_profile(client, f"p{last_revision}")
        started_at = time.monotonic()
        with running_control(folder, ["c1"]):
            _wait_until(is_confirmed)
            return {
                "changes": last_revision,
                "restart_s": time.monotonic() - started_at,
            }


def main(arguments: list[str]) -> int:
    """Run the measurement and print its figures as JSON."""
    cmdline.parse_flags(FLAGS, "watchbench", arguments, HELP_TEXT)
    figures = (
        run_restart(FLAGS.restart_changes) if FLAGS.restart_changes else run_watch()
    )
    rounded = {key: round(value, 6) for key, value in figures.items()}
    print(json.dumps(rounded, indent=2))
    return 0


def run_watch() -> dict[str, float]:
    """Run the measurement with the values of the flags."""
    return run(
        FLAGS.watchers,
        FLAGS.members,
        FLAGS.processes,
        FLAGS.accounts,
        FLAGS.changes,
        FLAGS.quiet_s,
    )


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
