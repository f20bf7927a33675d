import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from toucanfold import model, slots


def fleet(locations, idempotent=False):
    state = model.FleetState()
    state.profiles["p"] = model.Profile("p", idempotent=idempotent)
    state.routes["r"] = model.Route("r", "s", "p")
    for number, (region, data_centre) in enumerate(locations):
        join(state, f"t{number}", 1, region, data_centre)
    return state


def join(state, name, incarnation, region="r1", data_centre="a"):
    state.targets[name] = model.Target(name, incarnation, "s", region, data_centre, "x")


def all_complete(state):
    return {(slot.service, slot.number, slot.epoch) for slot in state.slots.values()}


def step(state, complete=None):
    complete = all_complete(state) if complete is None else complete
    changed = slots.plan(0.0, state, complete)
    for slot in changed:
        state.slots[slot.service, slot.number] = slot
    return len(changed)


def settle(state, limit=200):
    moves = 0
    for _ in range(limit):
        changed = step(state)
        if not changed:
            return moves
        moves += changed
    raise AssertionError("slot plan did not converge")


def owned(state, role="owner"):
    return collections.Counter(getattr(slot, role) for slot in state.slots.values())


TWO_REGIONS = [(f"r{n // 4}", f"d{n // 2}") for n in range(8)]


def test_backup_is_in_another_data_centre_of_the_region():
    state = fleet(TWO_REGIONS)
    settle(state)
    for slot in state.slots.values():
        owner, backup = state.targets[slot.owner], state.targets[slot.backup]
        assert owner.region == backup.region
        assert owner.data_centre != backup.data_centre
    assert max(owned(state).values()) <= 9 and max(owned(state, "backup").values()) <= 9


def test_idempotent_services_have_no_slots():
    assert slots.plan(0.0, fleet(TWO_REGIONS, idempotent=True)) == []


def test_daemons_that_join_one_by_one_share_the_slots():
    """Guards against a plan that leaves all slots with the first daemon."""
    state = fleet([])
    for number, (region, data_centre) in enumerate(TWO_REGIONS):
        join(state, f"t{number}", 1, region, data_centre)
        settle(state)
    counts = owned(state)
    assert len(counts) == 8 and max(counts.values()) <= 10
    assert all(slot.backup for slot in state.slots.values())


def test_loss_moves_only_the_slots_of_the_lost_daemon():
    state = fleet(TWO_REGIONS)
    settle(state)
    before = {number: (slot.owner, slot.backup) for number, slot in state.slots.items()}
    state.targets["t3"].state = "lost"
    step(state)
    for number, slot in state.slots.items():
        if "t3" not in before[number]:
            assert (slot.owner, slot.backup) == before[number]
        assert "t3" not in (slot.owner, slot.backup)


def test_second_loss_before_the_copy_is_complete_waits_for_proof():
    """Guards against a new owner while the former pair may still run calls."""
    state = fleet(TWO_REGIONS)
    step(state)
    slot = state.slots["s", 0]
    state.targets[slot.backup].state = "lost"
    step(state, complete=())
    second = state.slots["s", 0]
    assert second.backup != slot.backup and second.epoch == 2
    state.targets[slot.owner].state = "lost"
    step(state, complete=())
    assert state.slots["s", 0].owner == slot.owner
    join(state, second.backup, 2)
    step(state, complete=())
    # The owner may not have applied this backup and continue with the first one.
    assert state.slots["s", 0].owner == slot.owner
    join(state, slot.owner, 2)
    step(state, complete=())
    third = state.slots["s", 0]
    assert third.gap and third.epoch == 3


def test_planned_stop_hands_all_slots_over():
    state = fleet(TWO_REGIONS)
    settle(state)
    state.targets["t0"].state = "draining"
    settle(state)
    assert "t0" not in owned(state) and "t0" not in owned(state, "backup")
    assert not any(slot.gap for slot in state.slots.values())


def test_single_daemon_is_replaced_only_after_proof():
    state = fleet([("r1", "a")])
    step(state)
    state.targets["t0"].state = "lost"
    join(state, "t1", 1)
    assert step(state) == 0
    state.targets["t0"].state = "left"
    step(state)
    assert owned(state) == {"t1": 64}
    assert all(slot.gap for slot in state.slots.values())


@given(st.integers(0, 10**6))
def test_random_history_keeps_plan_invariants(seed):
    """Guards against skipped epochs, new owners without proof and endless plans."""
    rng = random.Random(seed)
    state = fleet(rng.sample(TWO_REGIONS, 4))
    for _ in range(30):
        name = f"t{rng.randrange(4)}"
        target = state.targets[name]
        action = rng.choice(["up", "lost", "draining", "left", "again", "none"])
        if action == "again":
            target.incarnation, target.state = target.incarnation + 1, "up"
        elif action != "none" and target.state != "left":
            target.state = action
        complete_copies = {
            (slot.service, slot.number, slot.epoch)
            for slot in state.slots.values()
            if rng.random() < 0.7
        }
        before = dict(state.slots)
        step(state, complete_copies)
        for key, slot in state.slots.items():
            if key in before and slot is not before[key]:
                check_change(state, before[key], slot, complete_copies)
    for target in state.targets.values():
        target.incarnation, target.state = target.incarnation + 1, "up"
    settle(state)
    assert max(owned(state).values()) <= 18


def check_change(state, old, new, complete_copies):
    assert new.epoch == old.epoch + 1
    assert new.owner and new.owner != new.backup
    owner = (old.owner, old.owner_incarnation)
    if (new.owner, new.owner_incarnation) == owner:
        return
    is_complete = (
        old.epoch == 1 or (old.service, old.number, old.epoch) in complete_copies
    )
    if not new.gap:
        assert is_complete and new.owner == old.backup
        assert new.owner_incarnation == old.backup_incarnation
    else:
        owner_target = state.targets[old.owner]
        has_terminated = (
            owner_target.incarnation != owner[1] or owner_target.state == "left"
        )
        assert has_terminated or (is_complete and old.backup)
