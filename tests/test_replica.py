"""Replicas over real files and an in-process network."""

import asyncio

import fleet
import helpers

from toucanfold import exceptions


def test_one_member_commits_and_restarts(tmp_path):
    """A single member must found its fleet, and keep entries over a restart."""

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


def test_three_members_elect_commit_and_survive_the_leader(tmp_path):
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


def test_cut_off_leader_refuses_reads_and_changes(tmp_path):
    """A leader that nobody hears must not answer from old state."""

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
