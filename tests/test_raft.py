"""Consensus over a fake clock, network and disk."""

import random

import hypothesis
import pytest
import simulation
from hypothesis import stateful
from hypothesis import strategies as st

from toucanfold import (
    exceptions,
    members,
    messages,
    raft,
    raftlog,
    rafttypes,
    replication,
)

NAMES = ("a", "b", "c")
names = st.sampled_from(NAMES)


class ConsensusMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; simulation.Fleet checks the invariants."""

    @stateful.initialize(seed=st.integers(0, 1 << 32), entries=st.sampled_from((5, 40)))
    def start(self, seed, entries):
        self.fleet = simulation.Fleet(seed, NAMES, entries)
        self.fleet.run(2)
        self.count = 0

    @stateful.rule(seconds=st.sampled_from((0.05, 0.3, 1.5)))
    def run_for(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(count=st.integers(1, 8), seconds=st.sampled_from((0, 0.01, 0.1)))
    def propose(self, count, seconds):
        for _ in range(count):
            self.count += 1
            self.fleet.propose(b"%d" % self.count)
        self.fleet.run(seconds)

    @stateful.rule(count=st.integers(1, 5))
    def isolated_leader_steps_down(self, count):
        leader = self.fleet.leader()
        if leader is None:
            return
        self.fleet.isolate(leader.name)
        for _ in range(count):
            leader.raft.propose(b"cut off")
        leader.step()
        term = leader.raft.term
        self.fleet.run(0.7)
        assert not (leader.raft.is_leader and leader.raft.term == term)
        self.fleet.run(1.5)

    @stateful.rule(name=names, other=names)
    def partition_one_way(self, name, other):
        self.fleet.cut.add((name, other))

    @stateful.rule(
        loss=st.sampled_from((0, 0.1, 0.3)),
        duplication=st.sampled_from((0, 0.3)),
        delay=st.sampled_from((0.004, 0.1, 0.4)),
    )
    def impair_network(self, loss, duplication, delay):
        self.fleet.loss, self.fleet.duplication = loss, duplication
        self.fleet.delay = delay

    @stateful.rule(seconds=st.sampled_from((0.3, 2.0)))
    def heal(self, seconds):
        self.fleet.heal()
        self.fleet.run(seconds)

    @stateful.rule(name=names, operations=st.integers(0, 8))
    def crash_at_write(self, name, operations):
        self.fleet.nodes[name].files.crash_in = operations

    @stateful.rule(name=names)
    def restart(self, name):
        node = self.fleet.nodes[name]
        if node.is_up:
            node.crash()
        node.start()

    @stateful.rule(name=names)
    def fill_disk(self, name):
        self.fleet.nodes[name].files.is_full = True

    @stateful.rule(name=names)
    def lose_disk(self, name):
        if self.fleet.can_lose_disk():
            self.fleet.lose_disk(name)

    @stateful.rule(name=names)
    def repair_and_lose_another(self, name):
        self.fleet.heal()
        self.fleet.repair()
        if self.fleet.can_lose_disk():
            self.fleet.lose_disk(name)

    @stateful.rule()
    def read_everywhere(self):
        for node in self.fleet.nodes.values():
            if node.is_up:
                node.read()

    @stateful.rule()
    def transfer(self):
        leader = self.fleet.leader()
        if leader:
            leader.raft.transfer_leadership(self.fleet.now)

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.check_converged()


ConsensusMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30
)
TestConsensus = ConsensusMachine.TestCase


@pytest.mark.parametrize("seed", range(5))
def test_returning_member_does_not_depose_the_leader(seed):
    """A member isolated for long must not depose the leader when it returns."""
    fleet = simulation.Fleet(seed)
    leader = fleet.wait_leader()
    isolated = next(name for name in NAMES if name != leader.name)
    fleet.isolate(isolated)
    fleet.run(10)
    fleet.heal()
    fleet.run(3)
    assert fleet.leader() is leader and set(fleet.leaders.values()) == {leader.key}
    assert fleet.nodes[isolated].raft.term == leader.raft.term


@pytest.mark.parametrize("reaches_other", [True, False])
def test_member_without_leader_contact_does_not_depose_the_leader(reaches_other):
    """Members in contact with the leader must refuse to vote for one that is not."""
    fleet = simulation.Fleet(8)
    leader = fleet.wait_leader()
    partitioned = next(name for name in NAMES if name != leader.name)
    fleet.cut = {
        (name, partitioned)
        for name in NAMES
        if name == leader.name or not reaches_other
    }
    fleet.run(10)
    assert fleet.leader() is leader and len(fleet.leaders) == 1


@pytest.mark.parametrize("seed", range(5))
def test_removed_member_does_not_depose_the_leader(seed):
    """A member that missed its removal must not depose the leader."""
    fleet = simulation.Fleet(seed)
    leader = fleet.wait_leader()
    removed = next(name for name in NAMES if name != leader.name)
    fleet.isolate(removed)
    fleet.run(1)
    change = members.MemberChange(members.ChangeKind.REMOVE, removed)
    assert leader.raft.change_members(fleet.now, change).unwrap()
    fleet.run(1)
    fleet.heal()
    fleet.run(5)
    assert fleet.leader() is leader and len(leader.raft.membership.voters) == 2
    assert set(fleet.leaders.values()) == {leader.key}


def test_change_that_loses_the_quorum_needs_force():
    """A removal that leaves no reachable quorum must be refused unless forced."""
    fleet = simulation.Fleet(1)
    leader = fleet.wait_leader()
    first, second = (name for name in NAMES if name != leader.name)
    fleet.nodes[first].crash()
    fleet.run(1)
    lost = members.MemberChange(members.ChangeKind.REPLACE, first, "new")
    forecast = leader.raft.forecast(fleet.now, lost)
    assert (forecast.fault_tolerance, forecast.reachable) == (0, 2)
    working = members.MemberChange(members.ChangeKind.REMOVE, second)
    refused = leader.raft.change_members(fleet.now, working).failure()
    assert isinstance(refused, exceptions.ValidationError) and "force" in str(refused)
    forced = members.MemberChange(members.ChangeKind.REMOVE, second, force=True)
    assert leader.raft.change_members(fleet.now, forced).unwrap()


def test_disk_loss_right_after_a_repair_keeps_committed_entries():
    """After each repair the fleet must tolerate the next disk loss."""
    fleet = simulation.Fleet(2)
    fleet.wait_leader()
    for number, name in enumerate(NAMES * 2):
        fleet.propose(b"%d" % number)
        fleet.run(0.1)
        fleet.lose_disk(name)
        fleet.repair()
    fleet.check_converged()
    assert sum(kind == 0 for _, kind, _ in fleet.committed.values()) == 7


def test_empty_disk_does_not_bootstrap_a_second_fleet():
    """The first member must not bootstrap again after a disk loss without join set."""
    fleet = simulation.Fleet(3)
    fleet.wait_leader()
    fleet.lost.add(fleet.nodes["a"].key)
    fleet.nodes["a"].crash()
    fleet.nodes["a"] = simulation.Node(fleet, "a", joining=False)
    fleet.run(5)
    assert not fleet.nodes["a"].raft.membership
    fleet.check_converged()


def test_uninitialized_member_may_vote():
    """A voter that never stored anything must vote when another disk is lost."""
    fleet = simulation.Fleet(5)
    while not fleet.nodes["a"].raft.membership:
        fleet.run(0.001)
    fleet.nodes["c"].crash()
    fleet.wait_leader()
    for number in range(40):
        fleet.propose(b"%d" % number)
        fleet.run(0.1)
    fleet.lose_disk("b")
    fleet.run(2)
    assert fleet.leader() is None
    fleet.nodes["c"].start()
    assert not fleet.nodes["c"].raft.membership
    fleet.check_converged()


def test_new_member_announces_itself_until_it_is_added():
    """A new member must not wait forever for a leader that crashed before adding it."""
    fleet = simulation.Fleet(6)
    leader = fleet.wait_leader()
    lost, other = (name for name in NAMES if name != leader.name)
    fleet.lose_disk(lost)
    fleet.run(1)
    fleet.cut |= {(leader.name, other), (lost, leader.name)}
    leader.files.crash_in = 0
    fleet.replace(lost)
    leader.step()
    fleet.run(1)
    assert not leader.is_up and not fleet.nodes[lost].raft.membership
    # A restart discards the announcements received before.
    fleet.nodes[other].crash()
    fleet.check_converged()


@pytest.mark.parametrize("seed", range(20))
def test_crashed_leader_is_replaced_without_a_split_vote(seed):
    """Two concurrent candidates must not cost a second election timeout."""
    fleet = simulation.Fleet(seed)
    fleet.delay = 0.0005
    fleet.wait_leader().crash()
    fleet.run(rafttypes.ELECTION_TIMEOUT_MAX_S + 0.15)
    assert fleet.leader() is not None


def test_full_disks_do_not_end_leadership():
    """With full disks changes stop, but the leader must remain for reads."""
    fleet = simulation.Fleet(4)
    leader = fleet.wait_leader()
    for node in fleet.nodes.values():
        node.files.is_full = True
    fleet.propose(b"stuck")
    fleet.run(3)
    assert fleet.leader() is leader and len(fleet.leaders) == 1
    before = fleet.highest
    leader.read()
    fleet.run(0.5)
    assert not leader.reads and fleet.highest == before
    fleet.check_converged()


merge_steps = st.lists(
    st.tuples(st.integers(1, 12), st.integers(1, 3), st.integers(1, 4)), max_size=20
)


@hypothesis.given(merge_steps)
def test_log_matches_a_list_model(steps):
    """Differential test of merge, truncate and slice against a list of terms."""
    log = raftlog.RaftLog(raftlog.EMPTY_SNAPSHOT, [])
    model = []
    for first, term, count in steps:
        first = min(first, len(model) + 1)
        sent = [messages.Entry(first + at, term) for at in range(count)]
        log.merge(sent)
        for entry in sent:
            if entry.index > len(model):
                model.append(entry.term)
            elif model[entry.index - 1] != entry.term:
                model[entry.index - 1 :] = [entry.term]
        assert log.last_index == len(model)
        assert [log.term_at(at + 1) for at in range(len(model))] == model
        sliced = log.slice(2, len(model) - 1, 1 << 20)
        assert [entry.term for entry in sliced] == model[1:-1]
        assert log.stable_index <= log.last_index


def test_entry_of_an_earlier_term_commits_only_with_a_later_one():
    """An entry committed by counting its copies could be replaced by a later leader."""
    membership = members.Membership(members.Member(name, name) for name in NAMES)
    log = raftlog.RaftLog(raftlog.Snapshot(1, 1, membership, b""), [])
    log.append([messages.Entry(2, 2)])
    leader_state = replication.LeaderState("a/a", 4, log, 0.0)
    log.append([messages.Entry(3, 4)])
    reply = messages.Raft(sender="b/b", granted=True, match_index=2)
    log.mark_stable(3, 4)
    leader_state.on_append_reply(0.0, reply)
    assert leader_state.quorum_commit_index(1) == 1
    reply.match_index = 3
    leader_state.on_append_reply(0.0, reply)
    assert leader_state.quorum_commit_index(1) == 3


class ReadingLeader:
    """A leader of three members; the replies of the others are made by hand."""

    def __init__(self):
        membership = members.Membership(members.Member(name, name) for name in NAMES)
        self.log = raftlog.RaftLog(raftlog.Snapshot(1, 1, membership, b""), [])
        self.state = replication.LeaderState("a/a", 4, self.log, 0.0)
        self.send(0.0)

    def send(self, now):
        """Return the read sequences of the messages due."""
        return {item.read_sequence for item in self.state.due_messages(now, 1)}

    def reply(self, now, read_sequence):
        reply = messages.Raft(sender="b/b", granted=True, read_sequence=read_sequence)
        self.state.on_append_reply(now, reply)


def test_reads_requested_during_a_round_share_the_next_one():
    """Guards against a round of messages for each read, most of which are paid for."""
    leader = ReadingLeader()
    leader.state.request_read(1)
    assert leader.send(0.01) == {1}
    for number in range(20):
        leader.state.request_read(1)
        assert leader.send(0.011 + number / 1000) == set()
    leader.reply(0.035, 1)
    assert [number for number, _ in leader.state.take_confirmed_reads()] == [1]
    next_round_at = 0.01 + replication.READ_ROUND_INTERVAL_S
    assert leader.send(next_round_at - 0.001) == set()
    assert leader.send(next_round_at) == {21}
    leader.reply(next_round_at + 0.025, 21)
    assert len(leader.state.take_confirmed_reads()) == 20
    assert leader.send(next_round_at + 0.025) == set()


def test_reply_to_an_earlier_round_confirms_no_later_read():
    """Guards against a read that a leader already deposed would answer."""
    leader = ReadingLeader()
    leader.state.request_read(1)
    leader.send(0.01)
    leader.state.request_read(1)
    leader.send(0.02)
    leader.reply(0.03, 1)
    assert [number for number, _ in leader.state.take_confirmed_reads()] == [1]


def test_lost_round_delays_reads_by_no_more_than_a_heartbeat_interval():
    leader = ReadingLeader()
    leader.state.request_read(1)
    leader.send(0.01)
    leader.state.request_read(1)
    assert leader.send(0.02) == set()
    assert leader.send(0.011 + rafttypes.HEARTBEAT_INTERVAL_S) == {2}


def test_member_votes_once_per_term_over_a_restart():
    """A vote lost in a restart would allow two leaders in one term."""
    fleet = simulation.Fleet(7)
    voter = fleet.nodes[fleet.wait_leader().name]
    last = {"last_index": 1 << 20, "last_term": 1 << 20, "term": 50}
    granted = []
    for candidate in ("b/x", "c/y"):
        for name in NAMES:
            fleet.isolate(name)
        request = messages.Raft(kind=5, sender=candidate, receiver=voter.key, **last)
        request.granted = True
        voter.receive(request)
        fleet.run(0.1)
        granted.append(voter.raft.vote)
        voter.crash()
        voter.start()
    assert granted == ["b/x", "b/x"]


def test_stale_pending_join_expires():
    """Guards against a new leader that adds a lost disk because of a stale report.

    A follower may have received an announcement long before the instance was added
    elsewhere, or before it lost its disk.
    """
    first = members.Membership([members.Member("a", "1"), members.Member("b", "1")])
    log = raftlog.RaftLog(raftlog.Snapshot(1, 1, first, b""), [])
    plan = rafttypes.BootstrapConfig({})
    member = raft.Raft("a/1", plan, (1, ""), log, random.Random(1), 0.0)
    member.record_pending_join(10.0, "c", "old", "c:1")
    member.record_pending_join(10.0, "b", "1", "b:1")
    assert member.waiting(10.0 + rafttypes.PENDING_JOIN_TTL_S) == {"c": ("old", "c:1")}
    assert member.waiting(10.1 + rafttypes.PENDING_JOIN_TTL_S) == {}
