"""Measures the watch: time until a change is in force, bytes and CPU per watcher.

Run with ``python -m toucanfold.watchbench``. It starts control instances and a few
processes of watchers on loopback, and ends them.
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
flags.DEFINE_integer("processes", 2, "Processes of watchers.", flag_values=FLAGS)
flags.DEFINE_integer("changes", 20, "Number of changes.", flag_values=FLAGS)
flags.DEFINE_integer(
    "accounts", 8, "Client accounts, of which watchers hold shares.", flag_values=FLAGS
)
flags.DEFINE_float("quiet_s", 10.0, "Time without changes (s).", flag_values=FLAGS)
flags.DEFINE_integer(
    "restart_changes",
    0,
    "Measure the restart of a single instance after so many changes instead.",
    flag_values=FLAGS,
)
HELP_TEXT = "Measures the watch on loopback."

SECRET = "secret of the measurement"
CREDENTIAL = "op:secret of the operator"
START_LIMIT_S = 30.0
SETTLE_S = 3.0


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
    """Write the settings of control instances; return their options by name."""
    (folder / "secret").write_text(SECRET)
    (folder / "admin").write_text(CREDENTIAL)
    listens = {f"c{number}": free_address() for number in range(1, count + 1)}
    members = ", ".join(f"{name}={address}" for name, address in listens.items())
    found = {}
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
        found[name] = options
    return found


@contextlib.contextmanager
def running_control(folder: pathlib.Path, names: list[str]) -> Iterator[list[int]]:
    """Run control instances; yield their process ids."""
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


async def _watch_all(
    first: int, count: int, addresses: list[str], pipe: connection.Connection
) -> None:
    """Run watchers, spread over the instances, and answer requests of the parent."""
    applied: dict[int, list[float]] = {}
    watches = []
    for number in range(first, first + count):
        turn = number % len(addresses)
        item = _make_watch(f"t{number}", addresses[turn:] + addresses[:turn])

        def on_state(state: Any) -> None:
            applied.setdefault(state.revision, []).append(time.monotonic())

        item.subscribe(on_state)
        item.start()
        watches.append(item)
        # Watchers of a fleet do not ping in step.
        await asyncio.sleep(watch.PING_INTERVAL_S / count)
    loop = asyncio.get_running_loop()
    while True:
        question, argument = await asyncio.to_thread(pipe.recv)
        if question == "stop":
            return
        if question == "least":
            pipe.send(min(item.state.revision for item in watches))
        elif question == "fresh":
            pipe.send(all(item.is_fresh(loop.time()) for item in watches))
        elif question == "usage":
            used = resource.getrusage(resource.RUSAGE_SELF)
            pipe.send(
                {
                    "cpu_s": used.ru_utime + used.ru_stime,
                    "bytes": CountingLink.received + CountingLink.sent,
                    "resident_mb": used.ru_maxrss / 1024,
                }
            )
        else:
            reached = [times for rev, times in applied.items() if rev >= argument]
            pipe.send(max((max(times) for times in reached), default=0.0))


def _watch_process(
    first: int, count: int, addresses: list[str], pipe: connection.Connection
) -> None:
    setattr(link, "Link", CountingLink)  # noqa: B010
    clock.run(_watch_all(first, count, addresses, pipe))


class Group:
    """The processes of watchers."""

    def __init__(self, count: int, processes: int, addresses: list[str]):
        context = multiprocessing.get_context("spawn")
        self._pipes = []
        self._processes = []
        share = math.ceil(count / processes)
        for first in range(0, count, share):
            own, other = context.Pipe()
            process = context.Process(
                target=_watch_process,
                args=(first, min(share, count - first), addresses, other),
            )
            process.start()
            self._pipes.append(own)
            self._processes.append(process)

    def ask(self, question: str, argument: int = 0) -> list[Any]:
        """Return the answers of all processes."""
        for pipe in self._pipes:
            pipe.send((question, argument))
        return [pipe.recv() for pipe in self._pipes]

    def stop(self) -> None:
        """End the processes."""
        for pipe in self._pipes:
            with contextlib.suppress(OSError):
                pipe.send(("stop", 0))
        for process in self._processes:
            process.join(5)
            if process.is_alive():
                process.kill()


def _until(condition: Any, limit_s: float = START_LIMIT_S) -> None:
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("the measurement did not settle")
        time.sleep(0.05)


def _cpu_seconds(process: int) -> float:
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def put_accounts(client: adminclient.Client, count: int) -> None:
    """Create client accounts."""
    for number in range(count):
        item = {"name": f"a{number}", "rate": 1000.0, "burst": 4000.0}
        fields = {"expected_revision": 0, "item": item}
        client.submit("PUT", f"/v1/accounts/a{number}", fields).unwrap()


def put_profile(client: adminclient.Client, name: str) -> int:
    """Create a profile and return the revision."""
    fields = {"expected_revision": 0, "item": {"name": name}}
    answer = client.submit("PUT", f"/v1/profiles/{name}", fields)
    return answer.unwrap()["revision"]


def measure_changes(
    client: adminclient.Client, group: Group, changes: int
) -> dict[str, float]:
    """Time changes until all watchers applied them and until control knows it (s)."""
    applied, reported, accepted = [], [], []
    for number in range(changes):
        started_at = time.monotonic()
        revision = put_profile(client, f"p{number}")
        accepted.append(time.monotonic() - started_at)
        wait = client.read(f"/v1/revisions/{revision}?wait_ms=10000").unwrap()
        assert wait["in_force"], wait
        reported.append(time.monotonic() - started_at)
        _until(lambda revision=revision: min(group.ask("least")) >= revision)
        applied.append(max(group.ask("applied", revision)) - started_at)
        # Changes fall at any time between two pings.
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
    group: Group, control: list[int], watchers: int, seconds: float
) -> dict[str, float]:
    """Return bytes and CPU of the watch while nothing changes."""
    before, control_before = group.ask("usage"), [_cpu_seconds(pid) for pid in control]
    time.sleep(seconds)
    after, control_after = group.ask("usage"), [_cpu_seconds(pid) for pid in control]

    def rate(name: str) -> float:
        total = sum(item[name] for item in after) - sum(item[name] for item in before)
        return total / seconds / watchers

    spent = [
        end - start for start, end in zip(control_before, control_after, strict=True)
    ]
    return {
        "bytes_per_s_and_watcher": rate("bytes"),
        "core_share_per_watcher": rate("cpu_s"),
        "core_share_of_busiest_control": max(spent) / seconds,
        "core_share_of_idlest_control": min(spent) / seconds,
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
    """Run the whole measurement and return its figures."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        options = write_settings(folder, members)
        admins = [item["admin_listen"] for item in options.values()]
        client = adminclient.Client(admins, CREDENTIAL)
        with running_control(folder, list(options)) as control:
            addresses = [item["listen"] for item in options.values()]
            group = Group(watchers, processes, addresses)
            try:
                _until(lambda: all(group.ask("fresh")))
                put_accounts(client, accounts)
                time.sleep(SETTLE_S)
                return {
                    "watchers": watchers,
                    "members": members,
                    **measure_quiet(group, control, watchers, quiet_s),
                    **measure_changes(client, group, changes),
                }
            finally:
                group.stop()


def run_restart(changes: int) -> dict[str, float]:
    """Return the time until an instance that was ended answers again (s)."""
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
            return value["confirmed"] and value["revision"] == done

        done = 0
        with running_control(folder, ["c1"]):
            _until(is_confirmed)
            while done < changes:
                done = put_profile(client, f"p{done}")
        started_at = time.monotonic()
        with running_control(folder, ["c1"]):
            _until(is_confirmed)
            return {"changes": done, "restart_s": time.monotonic() - started_at}


def main(arguments: list[str]) -> int:
    """Print the figures as JSON."""
    cmdline.parse_flags(FLAGS, "watchbench", arguments, HELP_TEXT)
    figures = (
        run_restart(FLAGS.restart_changes) if FLAGS.restart_changes else run_watch()
    )
    rounded = {key: round(value, 6) for key, value in figures.items()}
    print(json.dumps(rounded, indent=2))
    return 0


def run_watch() -> dict[str, float]:
    """Run the measurement that the flags describe."""
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
