import asyncio
import collections
import dataclasses
import random
import time

import helpers
import pytest
from test_forward import Script, soon
from test_router import FAILED, OVERLOADED

from toucanfold import calls, messages, model, outcomes, owner, slots


class Network:
    """Links between owners in one process; pairs of daemons in cut are partitioned."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.owners = {}
        self.cut = []
        self.dropped = ()
        self.rng = None
        self.links = {}

    def add(self, name, incarnation, sender):
        new_owner = owner.Owner(
            name, incarnation, sender, Links(self, name, incarnation), self.clock
        )
        self.owners[name] = new_owner
        return new_owner

    def apply(self, state):
        for slot_owner in self.owners.values():
            slot_owner.on_state(self.clock(), state)


class Links:
    def __init__(self, net, name, incarnation):
        self.net, self.daemon_key = net, (name, incarnation)

    async def link_to(self, target):
        return Wire(self.net, self.daemon_key, (target.name, target.incarnation))


class Wire:
    """One direction of a link."""

    buffered_bytes = 0

    def __init__(self, net, source, receiver):
        self.net, self.source, self.receiver = net, source, receiver
        self.peer = messages.Hello(name=receiver[0], incarnation=receiver[1])

    def send(self, message):
        frame = messages.encode(message)
        loop, rng = asyncio.get_running_loop(), self.net.rng
        if rng is None:
            loop.call_soon(self.deliver, frame)
        elif rng.random() < 0.9:
            loop.call_later(rng.choice([0.0, 0.0, 0.02, 0.2]), self.deliver, frame)
        return True

    def deliver(self, frame):
        pair = {self.source[0], self.receiver[0]}
        receiver = self.net.owners.get(self.receiver[0])
        is_same = receiver and receiver.table._incarnation == self.receiver[1]
        if is_same and pair not in self.net.cut:
            back = Wire(self.net, self.receiver, self.source)
            message = messages.decode(frame[4:])
            if not isinstance(message, self.net.dropped):
                self.net.owners[self.receiver[0]].on_message(back, message)


def booking(key="k", seconds=2.0, body=b"", epoch=1):
    return dataclasses.replace(
        soon(seconds, idempotent=False, idempotency_key=key, slot=3, slot_epoch=epoch),
        body=body,
    )


def fleet_state(owner_name="a", backup="b", epoch=1, gap=False, dead=()):
    state = model.FleetState()
    for number, name in enumerate("abc"):
        if name not in dead:
            state.targets[name] = model.Target(name, number + 1, "s", "r", "d", "x")
    state.slots["s", 3] = model.Slot(
        "s", 3, epoch, owner_name, "abc".index(owner_name) + 1, backup,
        "abc".index(backup) + 1 if backup else 0, gap,
    )  # fmt: skip
    return state


def network(script, backup="b"):
    net = Network()
    for number, name in enumerate("abc"):
        net.add(name, number + 1, script)
    net.apply(fleet_state(backup=backup))
    return net


def test_resends_get_the_recorded_answer_also_from_the_backup():
    """Guards against a booking that runs again after its owner is lost."""

    async def scenario():
        booked = calls.Answer(status=201, headers=[(b"X-Id", b"7")], body=b"booked")
        script = Script(t0=booked)
        net = network(script)
        answers = [await net.owners["a"].run(booking()) for _ in range(3)]
        await asyncio.sleep(0.05)
        del net.owners["a"]
        net.apply(fleet_state("b", "c", epoch=2, dead="a"))
        await asyncio.sleep(0.1)
        answers.append(await net.owners["b"].run(booking(epoch=2)))
        del net.owners["b"]
        net.apply(fleet_state("c", "", epoch=3, dead="ab"))
        answers.append(await net.owners["c"].run(booking(epoch=3)))
        conflict = await net.owners["c"].run(booking(epoch=3, body=b"other"))
        return script, answers, conflict

    script, answers, conflict = helpers.run(scenario())
    assert len(script.seen) == 1
    distinct_answers = {
        (answer.status, tuple(answer.headers), answer.body) for answer in answers
    }
    assert distinct_answers == {(201, ((b"X-Id", b"7"),), b"booked")}
    assert conflict.refusal.kind is calls.RefusalKind.CONFLICT


def test_resend_waits_for_execution_whose_caller_disconnected():
    """Guards against a disconnect that aborts a booking and loses its outcome."""

    async def scenario():
        script = Script(t0=0.2)
        net = network(script)
        first = asyncio.create_task(net.owners["a"].run(booking()))
        await asyncio.sleep(0.05)
        timed_out = await net.owners["a"].run(booking(seconds=0.02))
        first.cancel()
        return script, timed_out, await net.owners["a"].run(booking())

    script, timed_out, awaited = helpers.run(scenario())
    assert len(script.seen) == 1 and awaited.body == b"t0"
    assert timed_out.refusal.kind is calls.RefusalKind.STILL_RUNNING
    assert timed_out.outcome is not calls.Outcome.NOT_RUN


def test_unacknowledged_intent_is_not_run_and_does_not_block_a_resend():
    """Guards against a resend answered wrongly from an intent left at the backup."""

    async def scenario():
        script = Script()
        net = network(script)
        net.dropped = (messages.IntentAck,)
        refused = await net.owners["a"].run(booking())
        assert not script.seen and refused.outcome is calls.Outcome.NOT_RUN
        net.dropped = ()
        again = await net.owners["a"].run(booking())
        return script, refused, again

    script, refused, again = helpers.run(scenario())
    assert refused.refusal.kind is calls.RefusalKind.OVERLOADED
    assert again.status == 200 and len(script.seen) == 1


def test_withdrawn_intent_does_not_block_after_a_promotion():
    async def scenario():
        script = Script()
        net = network(script)
        net.dropped = (messages.IntentAck,)
        await net.owners["a"].run(booking())
        await asyncio.sleep(0.05)
        net.apply(fleet_state("b", "", epoch=2, dead="a"))
        answer = await net.owners["b"].run(booking(epoch=2))
        return script, answer

    script, answer = helpers.run(scenario())
    assert answer.status == 200 and len(script.seen) == 1


def test_unreachable_backup_means_overloaded():
    async def scenario():
        script = Script()
        net = network(script)
        net.cut = [{"a", "b"}]
        started = time.monotonic()
        answer = await net.owners["a"].run(booking())
        return script, answer, time.monotonic() - started

    script, answer, seconds = helpers.run(scenario())
    assert not script.seen and seconds < 1.0
    assert answer.refusal.kind is calls.RefusalKind.OVERLOADED
    assert answer.outcome is calls.Outcome.NOT_RUN


def test_fenced_owner_runs_nothing():
    """Guards against calls run by a former owner that has not applied its successor."""

    async def scenario():
        script = Script()
        net = network(script)
        net.owners["b"].on_state(time.monotonic(), fleet_state("b", "c", epoch=2))
        return script, await net.owners["a"].run(booking())

    script, answer = helpers.run(scenario())
    assert not script.seen and answer.refusal.kind is calls.RefusalKind.NO_TARGET


def test_intent_is_sent_again_to_backup_with_older_epoch():
    async def scenario():
        script = Script()
        net = network(script)
        late = fleet_state("a", "c", epoch=2)
        net.owners["a"].on_state(time.monotonic(), late)
        running = asyncio.create_task(net.owners["a"].run(booking(epoch=2)))
        await asyncio.sleep(0.1)
        assert not script.seen
        net.owners["c"].on_state(time.monotonic(), late)
        return await running

    assert helpers.run(scenario()).status == 200


def test_only_calls_refused_before_execution_run_again():
    """Guards against blocking a call that did not run or repeating one that may run."""

    async def scenario(first):
        script = Script(t0=[first, calls.Answer(status=200)])
        net = network(script)
        answers = [await net.owners["a"].run(booking()) for _ in range(2)]
        return len(script.seen), answers

    runs, answers = helpers.run(scenario(OVERLOADED))
    assert runs == 2 and answers[1].status == 200
    runs, answers = helpers.run(scenario(FAILED))
    assert runs == 1 and answers[1].refusal.kind is calls.RefusalKind.OUTCOME_UNKNOWN


def test_outcome_of_a_former_owner_reaches_its_successor():
    """Guards against losing the outcomes of running calls in a planned stop."""

    async def scenario():
        script = Script(t0=0.2)
        net = network(script)
        running = asyncio.create_task(net.owners["a"].run(booking()))
        await asyncio.sleep(0.05)
        net.apply(fleet_state("b", "c", epoch=2))
        during = await net.owners["b"].run(booking(epoch=2))
        await running
        await asyncio.sleep(0.05)
        return during, await net.owners["b"].run(booking(epoch=2)), len(script.seen)

    during, after, runs = helpers.run(scenario())
    assert during.refusal.kind is calls.RefusalKind.STILL_RUNNING
    assert (after.body, runs) == (b"t0", 1)


def test_streamed_bodies_are_digested_completely():
    async def stream(*chunks):
        for chunk in chunks:
            yield chunk

    async def scenario():
        script = Script()
        net = network(script, backup="")
        answers = []
        for text in (b"same", b"same", b"else"):
            streamed = booking()
            streamed.body_stream = stream(b"12", text)
            answers.append(await net.owners["a"].run(streamed))
        huge = booking("k2")
        huge.body_stream = stream(*[b"x" * (1 << 20)] * 17)
        answers.append(await net.owners["a"].run(huge))
        return script, answers, net.owners["a"]._buffered_bytes

    script, answers, buffered = helpers.run(scenario())
    assert script.seen[0][1].body == b"12same" and len(script.seen) == 1
    assert answers[2].refusal.kind is calls.RefusalKind.CONFLICT
    assert answers[3].refusal.kind is calls.RefusalKind.TOO_LARGE
    assert buffered == 0


def test_long_answers_reach_the_caller_but_are_not_kept():
    async def scenario():
        script = Script(t0=calls.Answer(status=200, body=b"x" * 70_000))
        net = network(script)
        return [await net.owners["a"].run(booking()) for _ in range(2)]

    first, second = helpers.run(scenario())
    assert len(first.body) == 70_000
    assert second.outcome is calls.Outcome.RAN and second.refusal is not None


def test_copy_is_repeated_after_lost_chunks():
    """Guards against a copy that counts as complete after a chunk was lost."""

    async def scenario():
        script = Script()
        net = network(script, backup="")
        for number in range(30):
            await net.owners["a"].run(booking(f"k{number}"))
        net.cut = [{"a", "c"}]
        later = fleet_state("a", "c", epoch=2)
        net.apply(later)
        await asyncio.sleep(0.05)
        assert net.owners["c"].complete_copies() == []
        net.cut = []
        for _ in range(100):
            await asyncio.sleep(0.05)
            if net.owners["c"].complete_copies():
                break
        return net.owners["c"].complete_copies(), net.owners["c"].table.store.count

    outcomes.SYNC_CHUNK_BYTES, saved = 1000, outcomes.SYNC_CHUNK_BYTES
    owner.SYNC_TIMEOUT_S, saved_timeout = 0.2, owner.SYNC_TIMEOUT_S
    try:
        assert helpers.run(scenario()) == ([("s", 3, 2)], 30)
    finally:
        outcomes.SYNC_CHUNK_BYTES, owner.SYNC_TIMEOUT_S = saved, saved_timeout


class Targets:
    """Runs bookings with random results and counts those that were not refused."""

    def __init__(self, rng):
        self.rng = rng
        self.ran = collections.Counter()

    async def run(self, call):
        if self.rng.random() < 0.2:
            return dataclasses.replace(OVERLOADED, refusal=OVERLOADED.refusal)
        self.ran[call.idempotency_key] += 1
        await asyncio.sleep(self.rng.choice([0, 0.01, 0.1]))
        return calls.Answer(status=200, body=call.idempotency_key.encode())


class Chaos:
    """Owners that are lost, restarted and replaced while callers resend bookings."""

    def __init__(self, seed):
        self.net = Network(lambda: asyncio.get_running_loop().time())
        self.rng = random.Random(seed)
        self.net.rng = self.rng
        self.targets = Targets(self.rng)
        self.state = model.FleetState()
        self.state.profiles["p"] = model.Profile("p", idempotent=False)
        self.state.routes["r"] = model.Route("r", "s", "p")
        self.answered = {}
        # Keys whose outcome their last response calls unknown.
        self.unknown = set()
        for number, name in enumerate("abc"):
            self.start(name, number + 1)

    def start(self, name, incarnation):
        self.net.add(name, incarnation, self.targets)
        self.state.targets[name] = model.Target(name, incarnation, "s", "r", "d", "x")

    async def control(self, rounds, has_faults=True):
        for number in range(rounds):
            if has_faults and number % 8 == 5:
                await self.inject_fault()
            complete_copies = set()
            for slot_owner in self.net.owners.values():
                complete_copies |= set(slot_owner.complete_copies())
            for slot in slots.plan(0.0, self.state, complete_copies):
                self.state.slots[slot.service, slot.number] = slot
            late = model.FleetState.from_json(self.state.to_json())
            for slot_owner in self.net.owners.values():
                delay = self.rng.choice([0.0, 0.0, 0.05, 0.3])
                loop = asyncio.get_running_loop()
                loop.call_later(delay, slot_owner.on_state, loop.time(), late)
            await asyncio.sleep(0.03)

    async def inject_fault(self):
        name = self.rng.choice("abc")
        target = self.state.targets[name]
        action = self.rng.choice(["lost", "up", "restart", "restart"])
        if action == "restart":
            await self.net.owners.pop(name).close()
            self.start(name, target.incarnation + 10)
        else:
            target.state = action

    async def caller(self, key):
        number = model.slot_of("acc", key)
        for _ in range(12):
            slot = self.state.slots.get(("s", number))
            slot_owner = self.net.owners.get(slot.owner) if slot else None
            if slot_owner is not None:
                call = dataclasses.replace(
                    booking(key, epoch=slot.epoch),
                    slot=number,
                    deadline=self.net.clock() + 0.15,
                )
                try:
                    answer = await slot_owner.run(call)
                except asyncio.CancelledError:
                    answer = OVERLOADED
                self.unknown.discard(key)
                if answer.refusal is None:
                    assert answer.body == key.encode()
                    self.answered[key] = True
                elif answer.refusal.kind is calls.RefusalKind.OUTCOME_UNKNOWN:
                    self.unknown.add(key)
            await asyncio.sleep(self.rng.random() * 0.1)

    async def run(self):
        keys = [f"key{number}" for number in range(40)]
        await asyncio.gather(self.control(40), *map(self.caller, keys))
        for target in self.state.targets.values():
            target.state = "up"
        await self.control(40, has_faults=False)
        unresolved = [key for key in keys if key not in self.answered]
        await asyncio.gather(*map(self.caller, unresolved))
        return self


@pytest.mark.parametrize("first_seed", range(0, 60, 6))
def test_owners_under_losses_run_each_booking_at_most_once(first_seed):
    """Guards against races between acknowledgements, new epochs and resends."""
    answered = 0
    for seed in range(first_seed, first_seed + 6):
        chaos = helpers.run_in_virtual_time(Chaos(seed).run())
        assert max(chaos.targets.ran.values()) == 1, seed
        # Once nothing is lost any more, no booking stays without a final response.
        assert len(set(chaos.answered) | chaos.unknown) == 40, seed
        answered += len(chaos.answered)
    assert answered > 6 * 20
