"""Replicas over real files and an in-process network."""

import asyncio
import itertools
import time

import fleet
import helpers

from toucanfold import exceptions, storage


def test_one_member_commits_and_restarts(tmp_path):
    """A single member must bootstrap its fleet, and keep entries over a restart."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a"])
        node = group.start("a")
        await group.leader()
        outcomes = await asyncio.gather(
            *(node.replica.propose(f"{number}".encode()) for number in range(20))
        )
        assert [outcome.unwrap()[1] for outcome in outcomes] == list(range(1, 21))
        await group.stop("a")
        again = group.start("a")
        await group.leader()
        assert [data for _, data in again.machine.items] == [str(n) for n in range(20)]
        await group.stop_all()

    helpers.run(scenario())


def test_three_members_elect_commit_and_survive_leader_loss(tmp_path):
    """Committed entries must survive the loss of the leader."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a", "b", "c"])
        group.start_all()
        leader = await group.leader()
        assert (await leader.replica.propose(b"x")).unwrap()[1] == 1
        others = [node for node in group.nodes.values() if node is not leader]
        refused = await others[0].replica.propose(b"y")
        assert isinstance(refused.failure(), exceptions.NotLeaderError)
        await group.stop(leader.replica.name)
        second = await group.leader()
        assert (await second.replica.propose(b"z")).unwrap()[1] == 2
        first = group.start(leader.replica.name)
        await fleet.until(lambda: first.machine.items == second.machine.items)
        assert [data for _, data in first.machine.items] == ["x", "z"]
        await group.stop_all()

    helpers.run(scenario())


def test_isolated_leader_refuses_reads_and_changes(tmp_path):
    """A leader that reaches no other member must not answer from stale state."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a", "b", "c"])
        group.start_all()
        old = await group.leader()
        group.cut.add(old.replica.name)
        read, change = await asyncio.gather(
            old.replica.confirm_read(), old.replica.propose(b"lost")
        )
        assert isinstance(read.failure(), exceptions.NotLeaderError)
        assert isinstance(change.failure(), exceptions.NotLeaderError)
        assert not old.replica.is_leader
        new = await group.leader()
        assert new is not old
        term = new.replica.term
        await new.replica.propose(b"kept")
        group.cut.clear()
        await fleet.until(lambda: old.machine.items == new.machine.items)
        assert [data for _, data in old.machine.items] == ["kept"]
        assert new.replica.is_leader and new.replica.term == term
        await group.stop_all()

    helpers.run(scenario())


def test_lost_disk_is_replaced_by_a_new_member_through_a_snapshot(tmp_path):
    """A new member far behind must get a snapshot and become a voter."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a", "b", "c"], entries=600)
        group.start_all()
        leader = await group.leader()
        for _ in range(15):
            await asyncio.gather(*(leader.replica.propose(b"x") for _ in range(100)))
        await fleet.until(lambda: leader.replica.status()["snapshot_index"] > 600)
        lost = next(name for name in group.nodes if name != leader.replica.name)
        old_id = group.nodes[lost].store.meta.member_id
        await group.stop(lost)
        new = group.start(lost, joining=True, folder="new")
        (await group.replace(lost)).unwrap()
        await fleet.until(lambda: new.machine.items == leader.machine.items)

        def is_done():
            listed = leader.replica.status()["members"]
            voters = {item["member_id"] for item in listed if item["voter"]}
            return len(listed) == len(voters) == 3 and old_id not in voters

        await fleet.until(is_done)
        # A slow disk may have moved the leadership, and only a leader has a forecast.
        leader = await group.leader()
        await fleet.until(
            lambda: "1 more may be lost" in leader.replica.status()["forecast"]
        )
        await group.stop_all()

    helpers.run(scenario())


def test_transfer_and_restart_from_snapshot_keep_all_entries(tmp_path):
    """A planned stop transfers leadership; a restart starts from the snapshot."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a", "b", "c"], entries=50)
        group.start_all()
        leader = await group.leader()
        for number in range(120):
            (await leader.replica.propose(b"%d" % number)).unwrap()
        start = asyncio.get_running_loop().time()
        await leader.replica.transfer_leadership()
        second = await group.leader()
        assert second is not leader
        assert asyncio.get_running_loop().time() - start < 0.5
        await group.stop(leader.replica.name)
        again = group.start(leader.replica.name)
        assert again.store.snapshot.index >= 50
        await fleet.until(lambda: again.machine.items == second.machine.items)
        assert len(again.machine.items) == 120
        await group.stop_all()

    helpers.run(scenario())


def test_full_disk_refuses_changes_and_serves_reads(tmp_path):
    """Without space, reads must go on and changes resume when space is freed."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a"])
        node = group.start("a")
        await group.leader()
        free = node.files.free_bytes
        type(node.files).free_bytes = lambda _: 0
        try:
            node.replica._is_disk_full = node.store.is_disk_low
            refused = await node.replica.propose(b"x")
            assert isinstance(refused.failure(), exceptions.DiskFullError)
            (await node.replica.confirm_read()).unwrap()
        finally:
            type(node.files).free_bytes = free.__func__
        await fleet.until(lambda: not node.replica.status()["disk_full"])
        (await node.replica.propose(b"x")).unwrap()
        await group.stop_all()

    helpers.run(scenario())


async def propose_anywhere(group, data, timeout_s):
    """Propose at whichever member leads; return the seconds until it is committed."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(timeout_s):
        while True:
            for node in list(group.nodes.values()):
                if node.replica.is_leader:
                    proposed = await node.replica.propose(data)
                    if proposed.value_or(None) is not None:
                        return loop.time() - started_at
            await asyncio.sleep(0.02)


# Time within which operators expect a change to be answered.
ACK_TIMEOUT_S = 4.0


def full_files(node):
    """Replace the files of a member by ones that can refuse all writes."""
    wrapped = FillableFiles(node.files)
    node.files = node.store._files = wrapped
    return wrapped


class FillableFiles:
    """Files of a disk that is full for some time and then has room again."""

    def __init__(self, inner):
        self._inner = inner
        self.is_full = False

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def append(self, name, data):
        if self.is_full:
            self._inner.append(name, data[: len(data) // 2])
            raise exceptions.DiskFullError("no space", "free some")
        self._inner.append(name, data)

    def truncate(self, name, size):
        if self.is_full:
            raise exceptions.DiskFullError("no space", "free some")
        self._inner.truncate(name, size)


def test_leader_with_a_full_disk_hands_over(tmp_path):
    """Guards against changes that are refused while only the leader's disk is full."""

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a", "b", "c"])
        group.start_all()
        leader = await group.leader()
        disk = full_files(leader)
        disk.is_full = True
        assert await propose_anywhere(group, b"x", 10.0) <= ACK_TIMEOUT_S
        assert not leader.replica.is_leader
        disk.is_full = False
        await fleet.until(lambda: "x" in dict(leader.machine.items).values())
        await group.stop_all()

    helpers.run(scenario(), 40)


def test_changes_are_committed_after_disks_were_full_in_turn(tmp_path):
    """Guards against changes that are refused long after all disks have room again."""

    async def play(order, root):
        group = fleet.Fleet(root, ["a", "b", "c"], entries=25)
        group.start_all()
        await group.leader()
        disks = {name: full_files(node) for name, node in group.nodes.items()}
        for name in order:
            disks[name].is_full = True
            ends_at = asyncio.get_running_loop().time() + 0.8
            while asyncio.get_running_loop().time() < ends_at:
                for node in group.nodes.values():
                    if node.replica.is_leader:
                        for _ in range(10):
                            asyncio.ensure_future(node.replica.propose(b"x"))
                await asyncio.sleep(0.1)
            disks[name].is_full = False
        assert await propose_anywhere(group, b"last", 10.0) <= ACK_TIMEOUT_S
        nodes = list(group.nodes.values())

        def ended_equally():
            # A proposal whose outcome was unknown may be committed twice.
            newest = {node.machine.items[-1] for node in nodes}
            return len(newest) == 1 and newest.pop()[1] == "last"

        await fleet.until(ended_equally)
        assert len({str(node.machine.items) for node in nodes}) == 1
        await group.stop_all()
        for name in order:
            group.start(name)
        again = await group.leader()
        assert again.machine.items[-1][1] == "last"
        await group.stop_all()

    async def scenario():
        await asyncio.gather(
            *(
                play(order, tmp_path / "".join(order))
                for order in itertools.permutations("abc")
            )
        )

    helpers.run(scenario(), 55)


def test_slow_disk_sync_does_not_block_the_event_loop(tmp_path):
    """A slow disk must not stop heartbeats, reads and ticks."""
    append_now = storage.RaftStorage.append

    async def scenario():
        group = fleet.Fleet(tmp_path, ["a", "b", "c"])
        group.start_all()
        leader = await group.leader()
        storage.RaftStorage.append = slow
        try:
            asyncio.create_task(leader.replica.propose(b"x"))
            stalls = []
            for _ in range(20):
                start = time.perf_counter()
                await asyncio.sleep(0.01)
                stalls.append(time.perf_counter() - start)
        finally:
            storage.RaftStorage.append = append_now
        assert max(stalls) < 0.3 and leader.replica.is_leader
        await group.stop_all()

    def slow(store, entries):
        time.sleep(0.4)
        append_now(store, entries)

    helpers.run(scenario())
