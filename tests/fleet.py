"""Raft replicas in one event loop, connected by an in-process network, for tests."""

import asyncio
import contextlib
import json
import random

from toucanfold import files, members, messages, replica, storage
from toucanfold.rafttypes import BootstrapConfig


class ListMachine:
    """State machine that appends every command to a list."""

    def __init__(self):
        self.items = []

    def apply(self, index, data):
        self.items.append((index, data.decode()))
        return len(self.items)

    def snapshot(self):
        return json.dumps(self.items).encode()

    def restore(self, data):
        self.items = [tuple(item) for item in json.loads(data)]


class Node:
    """One replica with its own data directory."""

    def __init__(self, fleet, name, folder, joining, entries):
        self.machine = ListMachine()
        self.files = files.LocalFiles(str(folder))
        self.store = storage.RaftStorage(self.files, "test", name)
        self.replica = replica.Replica(
            self.store,
            BootstrapConfig(fleet.addresses, joining),
            self.machine,
            lambda peer, message: fleet.send(name, peer, message),
            random.Random(name),
            entries,
        )
        self.task = asyncio.create_task(self.replica.run())

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        self.files.close()


class Fleet:
    """Replicas by name.

    Messages are encoded and decoded; members in cut are partitioned and neither send
    nor receive.
    """

    def __init__(self, root, names, entries=1000):
        self.root = root
        self.addresses = {name: f"127.0.0.1:{1 + at}" for at, name in enumerate(names)}
        self.nodes = {}
        self.cut = set()
        self.entries = entries

    def start(self, name, joining=False, folder=None):
        folder = self.root / (folder or name)
        self.nodes[name] = Node(self, name, folder, joining, self.entries)
        return self.nodes[name]

    def start_all(self):
        for name in self.addresses:
            self.start(name)

    async def stop(self, name):
        await self.nodes.pop(name).stop()

    async def stop_all(self):
        for name in list(self.nodes):
            await self.stop(name)

    def send(self, sender, receiver, message):
        if sender in self.cut or receiver in self.cut or receiver not in self.nodes:
            return False
        decoded = messages.decode(messages.encode(message)[messages.LENGTH_BYTES :])
        asyncio.get_running_loop().call_soon(self.deliver, sender, receiver, decoded)
        return True

    def deliver(self, sender, receiver, message):
        if receiver in self.nodes and not {sender, receiver} & self.cut:
            self.nodes[receiver].replica.on_message(sender, message)

    async def leader(self):
        """Return the node whose leadership a quorum confirms."""
        while True:
            for node in list(self.nodes.values()):
                if node.replica.is_leader:
                    confirmed = await node.replica.confirm_read()
                    if confirmed.value_or(None) is not None:
                        return node
            await asyncio.sleep(0.01)

    async def replace(self, name, **options):
        """Ask the leader to replace a member once its successor is a pending join."""
        change = members.MemberChange(members.ChangeKind.REPLACE, name, **options)
        while True:
            leader = await self.leader()
            if name in leader.replica.status()["waiting"]:
                return await leader.replica.change_members(change)
            await asyncio.sleep(0.01)


async def until(condition):
    """Wait for a condition; the test's timeout bounds the wait."""
    while not condition():
        await asyncio.sleep(0.01)
