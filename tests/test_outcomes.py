import collections
import dataclasses
import random

import helpers
import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from test_router import call

from toucanfold import calls, messages, model, outcomes, records, slots

NAMES = ("a", "b", "c", "d")
START = 1_700_000_000.0


def uuid7(timestamp, number):
    millis = f"{int(timestamp * 1000):012x}"
    return f"{millis[:8]}-{millis[8:]}-7000-8000-{number:012x}"


def recorded_call(key, body=b"", epoch=1):
    return call(
        service="s", idempotent=False, idempotency_key=key, slot=0, slot_epoch=epoch,
        body=body,
    )  # fmt: skip


class Node:
    """One daemon incarnation with its table, executions and pending intents."""

    def __init__(self, name, incarnation, skew):
        self.daemon_key = (name, incarnation)
        self.skew = skew
        self.table = outcomes.RecordTable(name, incarnation)
        self.applied = 0
        self.pending = {}
        self.runs = []


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Guards against a second dispatch of a recorded call.

    Daemons are killed, restarted and partitioned; messages are lost, repeated, delayed
    and reordered; each daemon applies fleet states with a delay and may skip some.
    """

    def __init__(self):
        super().__init__()
        self.saved_slots = model.SLOTS_PER_SERVICE
        model.SLOTS_PER_SERVICE = 1
        self.now, self.incarnations, self.key_count = 0.0, 0, 0
        self.state = model.FleetState()
        self.state.profiles["p"] = model.Profile("p", idempotent=False)
        self.state.routes["r"] = model.Route("r", "s", "p")
        self.history, self.nodes, self.in_transit = [], {}, []
        self.complete_copies, self.cut, self.ended = set(), set(), set()
        self.keys = ["plain1", "plain2"]
        self.dispatches = collections.Counter()
        self.last_end, self.bodies = {}, {}
        for name in NAMES[:3]:
            self.start(name)
        self.control(1)

    def teardown(self):
        model.SLOTS_PER_SERVICE = self.saved_slots

    def start(self, name):
        self.incarnations += 1
        skew = (-0.5, 0.0, 0.5)[self.incarnations % 3]
        self.nodes[name] = Node(name, self.incarnations, skew)
        data_centre = "x" if name in "ac" else "y"
        self.state.targets[name] = model.Target(
            name, self.incarnations, "s", "r1", data_centre, "-"
        )
        self.publish()

    def publish(self):
        self.history.append(model.FleetState.from_json(self.state.to_json()))

    def unix_time(self, node):
        return START + self.now + node.skew

    def post(self, node, name, message):
        if name in self.nodes:
            self.in_transit.append((node, self.nodes[name].daemon_key, message))

    # Control

    @stateful.rule(times=st.integers(1, 3))
    def control(self, times):
        for _ in range(times):
            changed = slots.plan(self.now, self.state, self.complete_copies)
            for slot in changed:
                self.check_change(self.state.slots.get(("s", slot.number)), slot)
                self.state.slots["s", slot.number] = slot
            self.publish()
            for name in set(self.nodes) - self.cut:
                self.apply(name, True)

    def check_change(self, old, slot):
        assert slot.epoch == (old.epoch if old else 0) + 1
        owner = (slot.owner, slot.owner_incarnation)
        if old is None or owner == (old.owner, old.owner_incarnation):
            return
        if slot.gap:
            former_pair = (
                (old.owner, old.owner_incarnation),
                (
                    old.backup,
                    old.backup_incarnation,
                ),
            )
            assert any(daemon in self.ended for daemon in former_pair)
        else:
            assert owner == (old.backup, old.backup_incarnation)

    @stateful.rule(reset=st.booleans())
    def collect_complete_copies(self, reset):
        if reset:
            self.complete_copies = set()
        for node in self.nodes.values():
            self.complete_copies |= set(node.table.complete_copies())

    @stateful.rule(name=st.sampled_from(NAMES), is_lost=st.booleans())
    def infer_target_state(self, name, is_lost):
        """Set a target to lost or up; control may be wrong about a loss."""
        target = self.state.targets.get(name)
        if target is not None and target.state != "left":
            target.state = "lost" if is_lost or name not in self.nodes else "up"
            self.control(1)

    @stateful.rule(role=st.sampled_from(["owner", "backup"]), drains=st.booleans())
    def lose_role_holder(self, role, drains):
        slot = self.state.slots["s", 0]
        target = self.state.targets.get(getattr(slot, role))
        if target is not None and target.state == "up":
            target.state = "draining" if drains else "lost"
            self.control(1)

    @stateful.rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        """End a planned stop once the daemon has no running or pending calls."""
        node, target = self.nodes.get(name), self.state.targets.get(name)
        if node and target.state == "draining" and not node.runs and not node.pending:
            self.end(name)
            target.state = "left"
            self.control(1)

    @stateful.rule(
        role=st.sampled_from(["owner", "backup", "any"]),
        name=st.sampled_from(NAMES),
        again=st.booleans(),
    )
    def kill(self, role, name, again):
        if role != "any":
            name = getattr(self.state.slots["s", 0], role)
        self.end(name)
        if again and name:
            self.start(name)
            self.apply(name, True)

    @stateful.rule(name=st.sampled_from(NAMES))
    def begin_new_incarnation(self, name):
        if name not in self.nodes:
            self.start(name)
            self.control(1)

    def end(self, name):
        node = self.nodes.pop(name, None)
        if node is not None:
            self.ended.add(node.daemon_key)

    @stateful.rule(name=st.sampled_from(NAMES))
    def partition(self, name):
        """Partition a daemon from control, or reconnect it."""
        self.cut ^= {name}

    @stateful.rule(name=st.sampled_from(NAMES), skip=st.booleans())
    def apply(self, name, skip):
        node = self.nodes.get(name)
        if node is not None and node.applied < len(self.history):
            node.applied = len(self.history) if skip else node.applied + 1
            state = self.history[node.applied - 1]
            node.table.on_state(self.now, self.unix_time(node), state)

    @stateful.rule()
    def settle(self):
        """Copy all records and deliver the messages, so that calls can run."""
        self.control(1)
        for name in list(self.nodes):
            self.copy(name)
        self.flush()
        self.collect_complete_copies(False)

    def flush(self):
        for _ in range(len(self.in_transit) * 3):
            if self.in_transit:
                self.deliver(0, False)

    # Calls

    @stateful.rule(ahead=st.sampled_from([0.0, 1.0, 1.5]))
    def new_key(self, ahead):
        self.key_count += 1
        self.keys.append(uuid7(START + self.now + ahead, self.key_count))

    @stateful.rule(
        index=st.integers(0, 4),
        other=st.integers(0, 9),
        back=st.sampled_from([0, 0, 1, 2, 5, 9]),
        undelayed=st.booleans(),
    )
    def send(self, index, other, back, undelayed):
        key = self.keys[-1 - index % len(self.keys)]
        view = self.history[max(0, len(self.history) - 1 - back)]
        slot = view.slots.get(("s", 0))
        node = self.nodes.get(slot.owner) if slot else None
        if node is None or node.daemon_key[1] != slot.owner_incarnation:
            return
        body = b"other" if other == 0 else b""
        request = recorded_call(key, body, slot.epoch)
        digest = outcomes.digest_of(request)
        decision = node.table.begin(self.now, self.unix_time(node), request, digest)
        record = decision.record
        if decision.step is outcomes.Step.ANSWER:
            if decision.answer.refusal is None:
                assert decision.answer.body in self.bodies[key]
        elif decision.step is outcomes.Step.ASK_BACKUP:
            node.pending[record.id] = (self.now, record)
            slot_state = node.table.slot_states.find(("s", 0))
            self.in_transit.append((node, slot_state.backup, decision.intent))
            if undelayed:
                self.deliver(len(self.in_transit) - 1, False)
                if self.in_transit and isinstance(
                    self.in_transit[-1][2], messages.IntentAck
                ):
                    self.deliver(len(self.in_transit) - 1, False)
        elif decision.step is outcomes.Step.RUN:
            self.dispatch(node, record)

    @stateful.rule(ahead=st.sampled_from([0.0, 1.5]))
    def send_new(self, ahead):
        self.new_key(ahead)
        self.send(0, 1, 0, True)

    @stateful.rule()
    def resend_everywhere(self):
        """Resend after lost answers, through entries with different fleet states."""
        for index in range(min(5, len(self.keys))):
            for back in (0, 1, 2, 4, 8):
                self.send(index, 1, back, True)

    def dispatch(self, node, record):
        key = record.key[1]
        ended = self.last_end.get(key)
        is_plain = records.key_timestamp(key) is None and ended is not None
        if is_plain and self.now > ended + records.RETENTION_S:
            self.dispatches[key] = 0
        self.dispatches[key] += 1
        self.last_end[key] = self.now + records.MAX_EXECUTION_S
        node.runs.append((self.now, record))
        assert self.dispatches[key] == 1, f"{key} was dispatched twice"

    @stateful.precondition(lambda self: any(n.runs for n in self.nodes.values()))
    @stateful.rule(index=st.integers(0, 9), kind=st.sampled_from(calls.Outcome))
    def finish(self, index, kind):
        nodes = [node for node in self.nodes.values() if node.runs]
        self.end_run(nodes[index % len(nodes)], 0, kind)

    def end_run(self, node, index, kind):
        _, record = node.runs.pop(index)
        key = record.key[1]
        answer = calls.refuse(calls.RefusalKind.TARGET_FAILED, "", kind)
        if kind is calls.Outcome.RAN:
            body = f"{key} {record.origin} {record.id}".encode()
            self.bodies.setdefault(key, set()).add(body)
            answer = calls.Answer(status=201, body=body)
        if kind is calls.Outcome.NOT_RUN:
            self.dispatches[key] -= 1
        self.last_end[key] = self.now
        for name, message in node.table.finish(self.now, record, answer):
            self.post(node, name, message)

    # Messages

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=st.integers(0, 99), keep=st.booleans())
    def deliver(self, index, keep):
        index %= len(self.in_transit)
        source, receiver, message = self.in_transit[index]
        if not keep:
            del self.in_transit[index]
        node = self.nodes.get(receiver[0])
        if node is None or node.daemon_key != receiver:
            return
        table, peer = node.table, source.daemon_key
        if isinstance(message, messages.Intent):
            self.acknowledge(node, source, table.on_intent(self.now, peer, message))
        elif isinstance(message, messages.RecordSync):
            ack = table.on_sync(self.now, peer, message)
            self.acknowledge(node, source, ack)
        elif isinstance(message, messages.Record):
            for name, copy in table.on_record(self.now, message):
                self.post(node, name, dataclasses.replace(copy))
        elif message.id in node.pending:
            _, record = node.pending.pop(message.id)
            if table.confirm(record, message):
                self.dispatch(node, record)
            else:
                self.withdraw(node, record)
        elif message.accepted:
            table.on_synced(("s", 0), message.epoch)

    def acknowledge(self, node, source, ack):
        if ack is not None:
            self.in_transit.append((node, source.daemon_key, ack))

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(index=st.integers(0, 99))
    def lose_message(self, index):
        del self.in_transit[index % len(self.in_transit)]

    @stateful.rule(name=st.sampled_from(NAMES))
    def copy(self, name):
        node = self.nodes.get(name)
        for slot_state in node.table.unsynced() if node else ():
            number = node.table.next_id()
            for chunk in node.table.sync_chunks(self.now, slot_state, number):
                self.in_transit.append((node, slot_state.backup, chunk))

    def withdraw(self, node, record):
        for name, message in node.table.withdraw(self.now, record):
            self.post(node, name, message)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 3.0, 700.0, 3700.0]))
    def wait(self, seconds):
        while seconds > 0:
            step = min(seconds, 100.0)
            seconds -= step
            self.now += step
            for node in self.nodes.values():
                self.pass_deadlines(node)

    def pass_deadlines(self, node):
        for number, (since, record) in list(node.pending.items()):
            if self.now - since >= 0.3:
                del node.pending[number]
                self.withdraw(node, record)
        while node.runs and self.now - node.runs[0][0] > records.MAX_EXECUTION_S - 100:
            self.end_run(node, 0, calls.Outcome.UNKNOWN)
        node.table.store.expire(self.now)


AtMostOnce.TestCase.settings = helpers.hypothesis.settings(
    max_examples=100, stateful_step_count=50
)
TestAtMostOnce = AtMostOnce.TestCase

# Weight of each rule in a random walk, and the arguments that it draws. Hypothesis
# rarely generates deep histories, and faults in fencing and gaps show only there.
WALK_RULES = {
    "send": (
        10,
        lambda rng: (
            rng.randrange(5),
            rng.randrange(10),
            random_lag(rng),
            random_flag(rng),
        ),
    ),
    "send_new": (10, lambda rng: (rng.choice([0.0, 1.5]),)),
    "resend_everywhere": (6, lambda rng: ()),
    "settle": (8, lambda rng: ()),
    "control": (3, lambda rng: (rng.randint(1, 3),)),
    "collect_complete_copies": (2, lambda rng: (rng.random() < 0.2,)),
    "infer_target_state": (3, lambda rng: (rng.choice(NAMES), rng.random() < 0.3)),
    "lose_role_holder": (
        6,
        lambda rng: (rng.choice(["owner", "backup"]), random_flag(rng)),
    ),
    "leave": (3, lambda rng: (rng.choice(NAMES),)),
    "kill": (
        3,
        lambda rng: (
            rng.choice(["owner", "backup", "any"]),
            rng.choice(NAMES),
            random_flag(rng),
        ),
    ),
    "begin_new_incarnation": (3, lambda rng: (rng.choice(NAMES),)),
    "partition": (4, lambda rng: (rng.choice(NAMES),)),
    "apply": (6, lambda rng: (rng.choice(NAMES), random_flag(rng))),
    "copy": (3, lambda rng: (rng.choice(NAMES),)),
    "deliver": (12, lambda rng: (rng.randrange(100), rng.random() < 0.2)),
    "lose_message": (2, lambda rng: (rng.randrange(100),)),
    "finish": (5, lambda rng: (rng.randrange(10), rng.choice(list(calls.Outcome)))),
    "wait": (4, lambda rng: (rng.choice([0.1, 0.1, 0.5, 3.0, 3.0, 700.0, 3700.0]),)),
}


def random_lag(rng):
    return rng.choice([0, 0, 1, 2, 5, 9])


def random_flag(rng):
    return rng.random() < 0.5


def random_walk(seed, steps):
    """Take random steps of the state machine."""
    rng = random.Random(seed)
    machine = AtMostOnce()
    names, weights = list(WALK_RULES), [weight for weight, _ in WALK_RULES.values()]
    try:
        for _ in range(steps):
            name = rng.choices(names, weights)[0]
            arguments = WALK_RULES[name][1](rng)
            if name in ("deliver", "lose_message") and not machine.in_transit:
                continue
            if name == "finish" and not any(n.runs for n in machine.nodes.values()):
                continue
            getattr(machine, name)(*arguments)
    finally:
        machine.teardown()
    return machine


@pytest.mark.parametrize("block", range(5))
def test_long_histories_run_each_call_at_most_once(block):
    """Guards against a second dispatch late in a history of losses and moves."""
    dispatched = 0
    for seed in range(200):
        dispatched += sum(random_walk(block * 1000 + seed, 100).dispatches.values())
    assert dispatched > 500
