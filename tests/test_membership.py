"""Membership of control while its instances leave, are replaced and return."""

import membershipsim
import pytest

from toucanfold import members


def settled_fleet(seed):
    fleet = membershipsim.ManagedFleet(seed)
    fleet.run(membershipsim.CATCH_UP_S)
    fleet.check_settled()
    return fleet


def check_recovered(fleet):
    fleet.wait_until_present()
    fleet.check_settled()
    fleet.check_tolerates_disk_losses()


@pytest.mark.parametrize("returns_by", ["freeze", "cut_off", "kill"])
def test_member_that_was_replaced_joins_again_for_good(returns_by):
    """Guards against a completed replacement that removes the returned member anew.

    The successor of the second machine takes the place of the first, which was silent
    for longer. The first must then take the place of the second.
    """
    fleet = settled_fleet(1)
    getattr(fleet, returns_by)("m4", 5.5)
    fleet.run(0.6)
    fleet.remove_machine("m5", successor_after_s=1.0)
    check_recovered(fleet)


@pytest.mark.parametrize("returns_by", ["cut_off", "kill"])
def test_member_returns_after_all_that_it_knew_were_replaced(returns_by):
    """Guards against a member that finds nobody to admit it when it returns."""
    fleet = settled_fleet(3)
    getattr(fleet, returns_by)("m1", 32.0)
    for name in ("m2", "m3", "m4", "m5"):
        fleet.remove_machine(name, successor_after_s=0.5)
        fleet.run(6)
    check_recovered(fleet)


@pytest.mark.parametrize("name", ["m1", "m2", "m3"])
@pytest.mark.parametrize("loses_disk", [True, False])
def test_seed_that_ends_during_the_first_start_does_not_prevent_it(name, loses_disk):
    """Guards against a fleet that waits for ever for a seed that waits for the fleet.

    A restarted seed joins, as its settings no longer tell it to bootstrap.
    """
    fleet = membershipsim.ManagedFleet(4)
    fleet.run(0.01)
    fleet.nodes[name].joining = True
    fleet.kill(name, 0.8, loses_disk)
    fleet.run(membershipsim.START_DELAY_S + membershipsim.CATCH_UP_S)
    check_recovered(fleet)


def test_join_that_was_cut_short_blocks_no_later_one():
    """Guards against a new member that ends before it has caught up."""
    fleet = settled_fleet(2)
    fleet.remove_machine("m5", successor_after_s=0.0)
    fleet.run(2.2)
    # It ends while it waits, and is added all the same.
    assert "m6" in fleet.leader().raft.waiting(fleet.now)
    fleet.remove_machine("m6", successor_after_s=0.5)
    check_recovered(fleet)


@pytest.mark.parametrize("seed", range(6))
def test_members_are_the_machines_that_run_after_any_order_of_faults(seed):
    """Guards against a fleet that bears fewer losses than it has to, unnoticed."""
    membershipsim.disturb_and_check(seed)


def test_replacement_ends_with_the_removal_of_the_replaced_member():
    """Guards against a relation to a former member that outlives the replacement."""
    old, new = members.Member("a", "1"), members.Member("b", "1", replaces="a/1")
    current = members.Membership([old, new]).without(old.key)
    assert current.get(new.key).replaces == ""
    returned = current.put(old)
    assert members.next_step(returned, returned.keys, returned.keys) is None
    stored = members.Membership.from_bytes(
        b'[{"name":"b","member_id":"1","replaces":"a/1"}]'
    )
    assert stored.get(new.key).replaces == ""
