"""A fleet that replaces its own members, as control instances on their hosts do.

Two disk losses at once have to be tolerated. Machines end, freeze, return with or
without their disks, or are removed for good and succeeded by others.
"""

import simulation

from toucanfold import joinplanner, raftlog

LOSSES = 2
MACHINES = joinplanner.required_voters(LOSSES)
SEED_COUNT = 3
# The list from which seeds are chosen lags by this time.
SEED_LAG_S = 3.0
CHECK_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 0.5
START_DELAY_S = 0.5
PROPOSAL_INTERVAL_S = 0.2
# A machine counts as lost for this long after its start or its return.
CATCH_UP_S = 4.0
# Time in which control must lead again once all machines are back.
RECOVERY_S = 15.0


class ManagedNode(simulation.Node):
    """A member whose process can freeze; it holds the planner of its process."""

    def __init__(self, fleet, name, joining=False):
        self.frozen_messages = None
        super().__init__(fleet, name, joining)

    def start(self):
        # The base class bootstraps or joins with these names.
        self.fleet.names = self.fleet.seeds
        self.planner = joinplanner.JoinPlanner(LOSSES)
        self.frozen_messages = None
        super().start()

    def tick(self, generation):
        if self.frozen_messages is None:
            super().tick(generation)
        elif generation == self.generation:
            self.fleet.after(simulation.TICK_S, self.tick, generation)

    def store_ready(self, generation):
        if self.frozen_messages is None:
            super().store_ready(generation)
        elif generation == self.generation:
            self.fleet.after(simulation.TICK_S, self.store_ready, generation)

    def receive(self, message):
        if self.frozen_messages is None:
            super().receive(message)
        else:
            self.frozen_messages.append(message)

    def thaw(self):
        waiting, self.frozen_messages = self.frozen_messages or (), None
        for message in waiting:
            self.receive(message)


class ManagedFleet(simulation.Fleet):
    """Five machines, of which three are seeds; the others join."""

    def __init__(self, seed):
        # Names of the machines in the operator's list, with the times of its changes.
        self.listings = [(float("-inf"), ("m1", "m2", "m3"))]
        super().__init__(seed, ("m1", "m2", "m3"), snapshot_entries=40)
        self.snapshot_padding = 0
        for name in self.names:
            self.nodes[name].crash()
            self.nodes[name] = ManagedNode(self, name)
        self.machine_count = len(self.names)
        # Machines and the times from which they count as present again.
        self.present_at = dict.fromkeys(self.names, 0.0)
        for _ in range(MACHINES - self.machine_count):
            self.add_machine()
        self.after(0, self.check_members)
        self.after(0, self.report_joins)
        self.after(0, self.propose_steadily)
        self.after(0, self.reload_settings)

    @property
    def seeds(self):
        """Three machines of the list that a process gets at its start."""
        listed = [names for at, names in self.listings if at <= self.now - SEED_LAG_S]
        return tuple(self.rng.sample(listed[-1], SEED_COUNT))

    @property
    def keys(self):
        """Keys of the members that the machines of the fleet are now."""
        return {node.key for node in self.nodes.values()}

    @property
    def lost_count(self):
        """Machines that are down, frozen, or back for less than CATCH_UP_S."""
        return sum(at > self.now for at in self.present_at.values())

    @property
    def change_count(self):
        """Membership changes committed so far."""
        return sum(
            kind == raftlog.KIND_MEMBERS for _, kind, _ in self.committed.values()
        )

    def add_machine(self):
        """Start a machine with a new name and an empty disk."""
        self.machine_count += 1
        name = f"m{self.machine_count}"
        self.nodes[name] = ManagedNode(self, name, joining=True)
        self.present_at[name] = self.now + CATCH_UP_S
        self.listings.append((self.now, tuple(self.nodes)))

    def kill(self, name, down_s, loses_disk=False):
        """End a process, which starts again with its disk or with an empty one."""
        node = self.nodes[name]
        if node.is_up:
            node.crash()
        self.present_at[name] = self.now + down_s + START_DELAY_S + CATCH_UP_S
        self.after(down_s + START_DELAY_S, self.restart, node, loses_disk)

    def restart(self, node, loses_disk):
        if self.nodes.get(node.name) is not node or node.is_up:
            return
        if loses_disk:
            self.nodes[node.name] = ManagedNode(self, node.name, joining=True)
        else:
            node.start()

    def freeze(self, name, for_s):
        node = self.nodes[name]
        node.frozen_messages = []
        self.present_at[name] = self.now + for_s + CATCH_UP_S
        self.after(for_s, node.thaw)

    def cut_off(self, name, for_s):
        """Cut the links of a machine; what is sent meanwhile is lost."""
        self.isolate(name)
        self.present_at[name] = self.now + for_s + CATCH_UP_S
        self.after(for_s, self.reconnect, name)

    def reconnect(self, name):
        self.cut = {pair for pair in self.cut if name not in pair}

    def kill_all(self, down_s):
        """End all processes at the same moment; their disks are preserved."""
        for name in self.nodes:
            self.kill(name, down_s)

    def remove_machine(self, name, successor_after_s):
        """Remove a machine for good; another one comes in its place."""
        node = self.nodes.pop(name)
        self.listings.append((self.now, tuple(self.nodes)))
        if node.is_up:
            node.crash()
        # It counts as lost until its successor has caught up.
        self.present_at[name] = self.now + successor_after_s + START_DELAY_S
        self.after(successor_after_s + START_DELAY_S, self.add_machine)

    def check_members(self):
        """Let the leader decide on a membership change, as its process does."""
        self.after(CHECK_INTERVAL_S, self.check_members)
        leader = self.leader()
        if leader is None or leader.frozen_messages is not None:
            return
        raft = leader.raft
        waiting = {
            name: joinplanner.PendingJoin(*pending)
            for name, pending in raft.waiting(self.now).items()
        }
        change = leader.planner.next_change(
            self.now, raft.membership, waiting, raft.reachable(self.now)
        )
        if change is not None:
            raft.change_members(self.now, change)
            leader.step()

    def report_joins(self):
        """Report the pending joins that followers know to the leader."""
        self.after(REPORT_INTERVAL_S, self.report_joins)
        leader = self.leader()
        if leader is None or leader.frozen_messages is not None:
            return
        for node in self.nodes.values():
            if node.is_up and node is not leader and node.frozen_messages is None:
                for name, pending in node.raft.waiting(self.now).items():
                    leader.raft.record_pending_join(self.now, name, *pending)

    def wait_until_present(self):
        """Run until all machines have been there for CATCH_UP_S."""
        while self.lost_count or len(self.nodes) < MACHINES:
            self.run(0.1)

    def reload_settings(self):
        """Let each process read the seeds anew, as its settings file changes."""
        self.after(SEED_LAG_S, self.reload_settings)
        for node in self.nodes.values():
            if node.is_up and node.frozen_messages is None:
                node.raft.set_contacts(self.seeds)

    def propose_steadily(self):
        self.after(PROPOSAL_INTERVAL_S, self.propose_steadily)
        self.propose(b"load")

    def check_settled(self):
        """All machines must be voters, and no membership change may be under way."""
        leader = self.wait_leader()
        membership = leader.raft.membership
        assert membership.voters == membership.keys == self.keys, (
            f"voters {sorted(membership.voters)}, members {sorted(membership.keys)}, "
            f"machines {sorted(self.keys)}"
        )
        changes = self.change_count
        self.run(3)
        assert self.change_count == changes, "membership changes go on"

    def check_tolerates_disk_losses(self):
        """An acknowledged change must survive the loss of two disks at once."""
        before = self.highest
        self.propose(b"acknowledged")
        self.run(0.3)
        assert self.highest > before
        for name in self.rng.sample(sorted(self.nodes), LOSSES):
            self.kill(name, 0.8, loses_disk=True)
        acknowledged = self.highest
        self.run(0.8 + START_DELAY_S)
        leader = self.wait_leader(RECOVERY_S)
        assert leader.raft.log.last_index >= acknowledged
        self.run(CATCH_UP_S)
        self.check_settled()


def disturb(fleet, name):
    """Let a random fault happen to a machine."""
    rng = fleet.rng
    fault = rng.choice(("kill", "lose disk", "freeze", "cut off", "remove", "remove"))
    duration_s = rng.choice((0.1, 0.8, 1.6, 2.4, 3.5, 6.0, 20.0))
    if fault == "freeze":
        fleet.freeze(name, duration_s)
    elif fault == "cut off":
        fleet.cut_off(name, duration_s)
    elif fault == "remove":
        fleet.remove_machine(name, duration_s)
    else:
        fleet.kill(name, duration_s, fault == "lose disk")


def disturb_and_check(seed, rounds=6):
    """Play overlapping faults of at most two machines at once; check the outcome."""
    fleet = ManagedFleet(seed)
    fleet.run(CATCH_UP_S)
    fleet.check_settled()
    for _ in range(rounds):
        for _ in range(fleet.rng.randint(1, 4)):
            fleet.run(fleet.rng.choice((0.1, 0.5, 1.0, 2.0, 3.0)))
            present = [
                name for name in fleet.nodes if fleet.present_at[name] <= fleet.now
            ]
            # A machine that has just returned may be hit again: it is lost already.
            back = [
                name
                for name, node in fleet.nodes.items()
                if name not in present
                and node.is_up
                and node.frozen_messages is None
                and (name, name) not in fleet.cut
            ]
            may_lose_more = fleet.lost_count < LOSSES
            choices = back + (present if may_lose_more else [])
            if choices:
                disturb(fleet, fleet.rng.choice(sorted(choices)))
            if not fleet.lost_count and fleet.rng.random() < 0.1:
                fleet.kill_all(0.5)
        fleet.wait_until_present()
        fleet.check_settled()
        fleet.check_tolerates_disk_losses()
