"""A fleet of members on a fake clock, network and disk, with invariant checks."""

import heapq
import json
import random

from toucanfold import exceptions, members, messages, raft, raftlog, storage
from toucanfold.rafttypes import BootstrapConfig, Role

TICK_S = 0.025
RETAINED_ENTRY_COUNT = 5


class Crash(Exception):
    """The process crashes at a file operation."""


class FakeFile:
    """Current content of a file, and the synced content that survives a crash."""

    def __init__(self, data=b""):
        self.data = self.synced = data


class FakeFiles:
    """Files whose unsynced changes may be lost when their process crashes."""

    path = "/fake"

    def __init__(self, rng):
        self.rng = rng
        self.folder = {}
        self.synced_directory = {}
        self.directory_changes = []
        self.crash_in = None
        self.is_full = False
        # Whether a full disk also refuses truncations, renames and directory syncs, and
        # writes a part of what is appended.
        self.refuses_all_when_full = False

    def names(self):
        return sorted(self.folder)

    def read(self, name):
        return self.folder[name].data

    def append(self, name, data):
        if self.is_full and not self.refuses_all_when_full:
            raise exceptions.DiskFullError("no space", "free some")
        if name not in self.folder:
            self._put_file(name, FakeFile())
        file = self.folder[name]
        if self.is_full and data:
            file.data += data[: len(data) // 2]
            raise exceptions.DiskFullError("no space", "free some")
        if self._crash_is_due():
            file.data += data[: self.rng.randint(0, len(data))]
            raise Crash
        file.data += data

    def truncate(self, name, size):
        self._refuse_if_full()
        self._count_operation()
        self.folder[name].data = self.folder[name].data[:size]

    def sync(self, name):
        self._count_operation()
        self.folder[name].synced = self.folder[name].data

    def rename(self, old, new):
        self._refuse_if_full()
        self._count_operation()
        file = self.folder[old]
        self.folder = {name: item for name, item in self.folder.items() if name != old}
        self._put_file(new, file)

    def remove(self, name):
        self._count_operation()
        self.folder = {key: item for key, item in self.folder.items() if key != name}
        self.directory_changes.append(self.folder)

    def sync_directory(self):
        self._refuse_if_full()
        self._count_operation()
        self.synced_directory = self.folder
        self.directory_changes.clear()

    def free_bytes(self):
        return 0 if self.is_full else 1 << 30

    def discard_unsynced(self):
        """Keep the synced state and a random prefix of the later changes."""
        states = [self.synced_directory, *self.directory_changes]
        self.folder = self.synced_directory = dict(self.rng.choice(states))
        self.directory_changes.clear()
        self.crash_in = None
        for file in self.folder.values():
            common_bytes = 0
            while common_bytes < min(len(file.data), len(file.synced)) and (
                file.data[common_bytes] == file.synced[common_bytes]
            ):
                common_bytes += 1
            if self.rng.random() < 0.5:
                file.data = file.data[: self.rng.randint(common_bytes, len(file.data))]
            else:
                file.data = file.synced
            file.synced = file.data

    def _put_file(self, name, file):
        self.folder = self.folder | {name: file}
        self.directory_changes.append(self.folder)

    def _crash_is_due(self):
        if self.crash_in is None:
            return False
        self.crash_in -= 1
        return self.crash_in < 0

    def _refuse_if_full(self):
        if self.is_full and self.refuses_all_when_full:
            raise exceptions.DiskFullError("no space", "free some")

    def _count_operation(self):
        if self._crash_is_due():
            raise Crash


class Node:
    """One member, driven as replica.Replica drives it."""

    def __init__(self, fleet, name, joining=False):
        self.fleet, self.name, self.joining = fleet, name, joining
        self.files = FakeFiles(fleet.rng)
        self.generation = 0
        self.is_up = False
        self.start()

    def start(self):
        self.generation += 1
        self.is_up = True
        self.ready = None
        try:
            self.store = storage.RaftStorage(
                self.files, "sim", self.name, self.fleet.new_id
            )
        except Crash:
            self.crash()
            return
        meta = self.store.meta
        self.key = members.member_key(self.name, meta.member_id)
        self.raft = raft.Raft(
            self.key,
            BootstrapConfig(dict.fromkeys(self.fleet.names, ""), self.joining),
            (meta.term, meta.vote),
            raftlog.RaftLog(self.store.snapshot, self.store.entries),
            self.fleet.rng,
            self.fleet.now,
        )
        self.applied = 0
        self.reads = {}
        if self.store.snapshot.index:
            self.restore(self.store.snapshot)
        self.fleet.after(0, self.tick, self.generation)

    def crash(self):
        self.is_up = False
        self.generation += 1
        self.files.discard_unsynced()

    def tick(self, generation):
        if generation == self.generation:
            self.step()
            self.fleet.after(TICK_S, self.tick, generation)

    def receive(self, message):
        if self.is_up:
            self.raft.on_message(self.fleet.now, message)
            self.step()

    def step(self):
        now = self.fleet.now
        self.raft.on_tick(now)
        self.send(self.raft.take_immediate_messages(now))
        if self.ready is None:
            self.ready = self.raft.take_ready()
            if self.ready.is_durable:
                delay = self.fleet.rng.choice((0.001, 0.001, 0.005, 0.04))
                self.fleet.after(delay, self.store_ready, self.generation)
            else:
                self.finish(now)
        self.apply()
        self.fleet.check_leader(self)

    def store_ready(self, generation):
        if generation != self.generation:
            return
        ready = self.ready
        try:
            if ready.snapshot is not None:
                self.store.install_snapshot(ready.snapshot)
            if ready.vote is not None:
                self.store.save_vote(*ready.vote)
            if ready.entries:
                self.store.append(ready.entries)
        except Crash:
            self.crash()
            return
        except exceptions.DiskFullError:
            self.raft.on_store_failed(ready)
            self.ready = None
            return
        self.finish(self.fleet.now)
        self.step()

    def finish(self, now):
        ready, self.ready = self.ready, None
        if ready.snapshot is not None:
            self.restore(ready.snapshot)
        self.raft.on_stored(now, ready)
        self.send(ready.late)

    def apply(self):
        for entry in self.raft.committed_entries(self.applied):
            self.fleet.check_applied(entry)
            assert entry.index == self.applied + 1
            self.applied = entry.index
        for number, index in self.raft.take_confirmed_reads():
            # A confirmed read must cover all entries committed before it was requested.
            assert index >= self.reads.pop(number)
        log = self.raft.log
        due = self.applied - log.snapshot.index >= self.fleet.snapshot_entries
        if due and self.ready is None:
            self.save_snapshot(log)

    def save_snapshot(self, log):
        data = json.dumps(self.applied).encode() + b" " * self.fleet.snapshot_padding
        snapshot = raftlog.Snapshot(
            self.applied,
            log.term_at(self.applied),
            log.membership_at(self.applied),
            data,
        )
        try:
            self.store.save_snapshot(snapshot, RETAINED_ENTRY_COUNT)
        except Crash:
            self.crash()
        except exceptions.DiskFullError:
            pass
        else:
            self.raft.compact(snapshot, RETAINED_ENTRY_COUNT)

    def restore(self, snapshot):
        assert json.loads(snapshot.data) == snapshot.index
        assert self.fleet.committed[snapshot.index][0] == snapshot.term
        assert snapshot.index >= self.applied
        self.applied = snapshot.index

    def read(self):
        number = self.raft.request_read().value_or(None)
        if number is not None:
            self.reads[number] = self.fleet.highest

    def send(self, outgoing):
        for message in outgoing:
            self.fleet.send(message)


class Fleet:
    """Nodes by name, the network between them, and the invariants."""

    def __init__(self, seed, names=("a", "b", "c"), snapshot_entries=20):
        self.rng = random.Random(seed)
        self.names = names
        self.snapshot_entries = snapshot_entries
        self.snapshot_padding = 300_000
        self.now = 0.0
        self.events = []
        self.sequence = 0
        self.cut = set()
        self.loss = self.duplication = 0.0
        self.delay = 0.004
        self.leaders = {}
        self.committed = {}
        self.highest = 0
        self.lost = set()
        self.nodes = {}
        for name in names:
            self.nodes[name] = Node(self, name)

    def new_id(self):
        return f"{self.rng.getrandbits(64):016x}"

    def after(self, delay, function, *arguments):
        self.sequence += 1
        event = (self.now + delay, self.sequence, function, arguments)
        heapq.heappush(self.events, event)

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = until

    def send(self, message):
        encoded = messages.encode(message)[messages.LENGTH_BYTES :]
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                # Random delays reorder messages.
                delay = self.rng.uniform(0.0005, self.delay)
                self.after(delay, self.deliver, messages.decode(encoded))

    def deliver(self, message):
        sender = members.name_of(message.sender)
        receiver = members.name_of(message.receiver)
        if (sender, receiver) not in self.cut and receiver in self.nodes:
            self.nodes[receiver].receive(message)

    def isolate(self, name):
        self.cut |= {(name, other) for other in self.nodes}
        self.cut |= {(other, name) for other in self.nodes}

    def heal(self):
        self.cut.clear()
        self.loss = self.duplication = 0.0
        self.delay = 0.004
        for node in self.nodes.values():
            node.files.is_full = False
            node.files.crash_in = None
            if not node.is_up:
                node.start()

    def leader(self):
        """Return the leader with the highest term, if there is one."""
        leaders = [n for n in self.nodes.values() if n.is_up and n.raft.is_leader]
        return max(leaders, key=lambda node: node.raft.term, default=None)

    def wait_leader(self, limit=10):
        """Run until a leader has committed an entry of its term."""
        until = self.now + limit
        while self.now < until:
            self.run(0.05)
            leader = self.leader()
            if leader and leader.raft.log.term_at(leader.applied) == leader.raft.term:
                return leader
        raise AssertionError("no leader committed an entry of its term in time")

    def propose(self, data):
        leader = self.leader()
        if leader:
            leader.raft.propose(data)
            leader.step()

    def can_lose_disk(self):
        """Whether the fleet has to tolerate the loss of one more disk."""
        memberships = [
            members.Membership.from_bytes(data)
            for _, kind, data in self.committed.values()
            if kind == raftlog.KIND_MEMBERS
        ]
        if not memberships or len(memberships[-1].voters) < 3:
            return False
        return not memberships[-1].keys & self.lost

    def lose_disk(self, name):
        """Restart a member with an empty disk, as a new one with a pending join."""
        node = self.nodes[name]
        if node.is_up:
            node.crash()
        self.lost.add(node.key)
        self.nodes[name] = Node(self, name, joining=True)

    def replace(self, name):
        leader = self.leader()
        if leader is None:
            return
        change = members.MemberChange(members.ChangeKind.REPLACE, name)
        leader.raft.change_members(self.now, change)

    def repair(self, limit=20):
        """Replace all members that lost their disk and wait until that is committed."""
        until = self.now + limit
        while self.now < until:
            self.run(0.1)
            leader = self.leader()
            if leader is None:
                continue
            membership = leader.raft.membership
            lost_members = [
                item for item in membership.members if item.key in self.lost
            ]
            is_done = leader.raft.log.membership_index <= leader.applied
            if (
                not lost_members
                and is_done
                and len(membership.voters) == len(self.names)
            ):
                return
            for member in lost_members:
                self.replace(member.name)
        raise AssertionError("members that lost their disk were not replaced in time")

    def check_leader(self, node):
        if not node.is_up or not node.raft.is_leader:
            return
        term = node.raft.term
        if term in self.leaders:
            assert self.leaders[term] == node.key, "two leaders in one term"
            return
        self.leaders[term] = node.key
        log = node.raft.log
        for index in range(max(1, log.first_index), self.highest + 1):
            assert log.term_at(index) == self.committed[index][0], (
                "leader lacks a committed entry"
            )

    def check_applied(self, entry):
        record = (entry.term, entry.kind, entry.data)
        assert self.committed.setdefault(entry.index, record) == record
        self.highest = max(self.highest, entry.index)

    def check_converged(self):
        """All members must reach the same state and accept changes."""
        self.heal()
        self.repair()
        self.wait_leader()
        before = self.highest
        self.propose(b"last")
        self.run(3)
        assert self.highest > before
        assert [node.applied for node in self.nodes.values()] == (
            [self.highest] * len(self.nodes)
        )
        assert all(
            node.raft.role is not Role.UNINITIALIZED for node in self.nodes.values()
        )
