"""Measures the replicated log on this machine: ``python -m toucanfold.raftbench``."""

import asyncio
import contextlib
import json
import os
import pathlib
import platform
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

from absl import flags, logging
from returns import result

from toucanfold import clock, cmdline, files, link, messages, replica, storage
from toucanfold.rafttypes import BootstrapConfig

HOST = "127.0.0.1"
RECONNECT_DELAY_S = 0.05
POLL_INTERVAL_S = 0.001
CONCURRENT_COMMITS = 64
COMMAND_BYTES = 256
# More entries than any measurement writes, so that no snapshot is taken.
SNAPSHOT_THRESHOLD_ENTRIES = 1 << 30

Figures = dict[str, Any]


class _StateMachine:
    """Stores the last value of each key, decoded from JSON as in the fleet state."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}

    def apply(self, index: int, data: bytes) -> int:
        fields = json.loads(data)
        self.values[fields["key"]] = fields
        return index

    def snapshot(self) -> bytes:
        return json.dumps(self.values).encode()

    def restore(self, data: bytes) -> None:
        self.values = json.loads(data)


class Member:
    """One member with its data directory, listener and links to the others."""

    def __init__(self, folder: pathlib.Path, name: str, addresses: dict[str, str]):
        self.name = name
        self.is_partitioned = False
        self.started_at = time.monotonic()
        self._addresses = addresses
        self._identity = link.Identity("bench", b"secret", "control", name, 1)
        self._outgoing_links: dict[str, link.Link] = {}
        self._incoming_links: set[link.Link] = set()
        self._files = files.LocalFiles(str(folder / name))
        self.replica = replica.Replica(
            storage.RaftStorage(self._files, "bench", name),
            BootstrapConfig(addresses),
            _StateMachine(),
            self._send,
            random.Random(),
            SNAPSHOT_THRESHOLD_ENTRIES,
        )
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, connect to the other members and run the replica."""
        self._server = await link.listen(
            self._addresses[self.name], self._identity, self
        )
        others = [name for name in self._addresses if name != self.name]
        self._tasks = [asyncio.create_task(self._connect(name)) for name in others]
        self._tasks.append(asyncio.create_task(self.replica.run()))

    async def stop(self) -> None:
        """Stop the member and close its connections."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        if self._server is not None:
            self._server.close()
        for open_link in [*self._outgoing_links.values(), *self._incoming_links]:
            open_link.close("the member stops")
        self._files.close()

    def on_open(self, opened: link.Link) -> None:
        """Register the link, so that stop closes it."""
        self._incoming_links.add(opened)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Remove the link."""
        self._incoming_links.discard(closed)

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Pass a consensus message to the replica, unless the member is partitioned."""
        is_delivered = not self.is_partitioned and source.peer is not None
        if is_delivered and isinstance(message, messages.Raft):
            assert source.peer is not None
            self.replica.on_message(source.peer.name, message)

    def _send(self, peer: str, message: messages.Raft) -> bool:
        peer_link = self._outgoing_links.get(peer)
        return (
            not self.is_partitioned
            and peer_link is not None
            and peer_link.send(message)
        )

    async def _connect(self, peer: str) -> None:
        while True:
            peer_link = self._outgoing_links.get(peer)
            if peer_link is None or not peer_link.is_open:
                opened = await link.connect(self._addresses[peer], self._identity, self)
                if isinstance(opened, result.Success):
                    self._outgoing_links[peer] = opened.unwrap()
            await asyncio.sleep(RECONNECT_DELAY_S)


async def _wait_leader(group: list[Member], excluded: Member | None = None) -> Member:
    """Wait for a member whose leadership a quorum confirms, and return it."""
    while True:
        for member in group:
            if member is not excluded and member.replica.is_leader:
                confirmed = await member.replica.confirm_read()
                if isinstance(confirmed, result.Success):
                    return member
        await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def _fleet(folder: pathlib.Path, count: int, port: int) -> Any:
    names = [f"m{number}" for number in range(1, count + 1)]
    addresses = {name: f"{HOST}:{port + at}" for at, name in enumerate(names)}
    group = [Member(folder, name, addresses) for name in names]
    for member in group:
        await member.start()
    try:
        yield group
    finally:
        for member in group:
            await member.stop()


def _command(number: int) -> bytes:
    fields = {"key": f"account-{number % 500}", "number": number, "padding": ""}
    fields["padding"] = "x" * (COMMAND_BYTES - len(json.dumps(fields)))
    return json.dumps(fields).encode()


def _summarize_ms(seconds: list[float]) -> Figures:
    ordered = sorted(seconds)
    return {
        "count": len(ordered),
        "median_ms": round(statistics.median(ordered) * 1000, 2),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000, 2)
        if len(ordered) >= 100
        else None,
        "max_ms": round(ordered[-1] * 1000, 2),
    }


async def _time_actions(
    count: int, action: Callable[[int], Awaitable[Any]]
) -> list[float]:
    seconds = []
    for number in range(count):
        start = time.perf_counter()
        outcome = await action(number)
        seconds.append(time.perf_counter() - start)
        outcome.unwrap()
    return seconds


def measure_sync(folder: pathlib.Path, count: int) -> Figures:
    """Time a write of one record with its sync, without consensus."""
    local = files.LocalFiles(str(folder / "sync"))
    entry = messages.Entry(1, 1, 0, _command(1))
    seconds = []
    for _ in range(count):
        start = time.perf_counter()
        local.append("probe", storage.encode_record(entry))
        local.sync("probe")
        seconds.append(time.perf_counter() - start)
    local.close()
    return _summarize_ms(seconds)


async def measure_commits(folder: pathlib.Path, count: int, port: int) -> Figures:
    """Time commits and confirmed reads on three members."""
    async with _fleet(folder / "commits", 3, port) as group:
        leader = await _wait_leader(group)
        commits = await _time_actions(
            count, lambda number: leader.replica.propose(_command(number))
        )
        reads = await _time_actions(count, lambda _: leader.replica.confirm_read())
        start = time.perf_counter()
        cpu = time.process_time()
        for _ in range(count // CONCURRENT_COMMITS + 1):
            outcomes = await asyncio.gather(
                *(
                    leader.replica.propose(_command(n))
                    for n in range(CONCURRENT_COMMITS)
                )
            )
            assert all(isinstance(item, result.Success) for item in outcomes)
        commit_count = (count // CONCURRENT_COMMITS + 1) * CONCURRENT_COMMITS
        return {
            "commit, one at a time": _summarize_ms(commits),
            "confirmed read, one at a time": _summarize_ms(reads),
            f"commits/s, {CONCURRENT_COMMITS} at a time": round(
                commit_count / (time.perf_counter() - start)
            ),
            "cpu of all members per commit then, ms": round(
                (time.process_time() - cpu) / commit_count * 1000, 3
            ),
        }


async def measure_elections(folder: pathlib.Path, count: int, port: int) -> Figures:
    """Time from the partition of the leader to the confirmed leadership of another."""
    async with _fleet(folder / "elections", 3, port) as group:
        seconds = []
        for _ in range(count):
            lost = await _wait_leader(group)
            await asyncio.sleep(random.uniform(0.5, 0.7))
            lost.is_partitioned = True
            start = time.perf_counter()
            await _wait_leader(group, excluded=lost)
            seconds.append(time.perf_counter() - start)
            lost.is_partitioned = False
            await asyncio.sleep(0.3)
        return {"new confirmed leader": _summarize_ms(seconds)}


async def measure_restarts(folder: pathlib.Path, entries: int, port: int) -> Figures:
    """Time a restart until all log entries are applied again, without a snapshot."""
    figures: Figures = {}
    for members in (1, 3):
        directory = folder / f"restart-{members}"
        async with _fleet(directory, members, port) as group:
            leader = await _wait_leader(group)
            for start in range(0, entries, 100):
                await asyncio.gather(
                    *(leader.replica.propose(_command(start + n)) for n in range(100))
                )
            last_applied_index = leader.replica.applied_index
            member_index = next(
                at for at in range(members) if members == 1 or group[at] is not leader
            )
            old = group[member_index]
            await old.stop()
            new = Member(directory, old.name, old._addresses)
            group[member_index] = new
            await new.start()
            while new.replica.applied_index < last_applied_index:
                await asyncio.sleep(POLL_INTERVAL_S)
            seconds = time.monotonic() - new.started_at
            label = f"restart with {entries} entries, {members} member(s), ms"
            figures[label] = round(seconds * 1000, 1)
    return figures


async def measure(folder: pathlib.Path, count: int, port: int) -> Figures:
    """Run all measurements."""
    figures: Figures = {"sync alone": measure_sync(folder, count)}
    figures |= await measure_commits(folder, count, port)
    figures |= await measure_elections(folder, max(10, count // 50), port + 10)
    figures |= await measure_restarts(folder, 1000, port + 20)
    return figures


def main(arguments: list[str]) -> int:
    """Measure and print one JSON object."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        "folder",
        None,
        "Parent of the data directory; the system's default if unset.",
        flag_values=values,
    )
    flags.DEFINE_integer("count", 500, "Commits to time.", flag_values=values)
    flags.DEFINE_integer("port", 24100, "First port on loopback.", flag_values=values)
    cmdline.parse_flags(values, "raftbench", arguments, "Measures the replicated log.")
    logging.set_verbosity(logging.ERROR)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="raftbench-", dir=values.folder))
    try:
        figures = clock.run(measure(folder, values.count, values.port))
    finally:
        shutil.rmtree(folder)
    machine = {
        "system": platform.platform(),
        "cpus": os.cpu_count(),
        "python": platform.python_version(),
        "load": os.getloadavg()[0],
        "folder": str(folder.parent),
    }
    print(json.dumps({"machine": machine, "measured": figures}, indent=2))
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
