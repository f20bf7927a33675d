from toucanfold import joinplanner, members


def membership(*names, learner=""):
    return members.Membership(
        members.Member(name, "id", f"{name}:1", voter=name != learner) for name in names
    )


def keys(*names):
    return {members.member_key(name, "id") for name in names}


WAITING = {"d": joinplanner.PendingJoin("id", "d:1")}


def test_nothing_changes_where_operators_keep_the_members():
    decider = joinplanner.JoinPlanner(0)
    assert (
        decider.next_change(0.0, membership("a", "b", "c"), WAITING, keys("a")) is None
    )


def test_instances_are_added_until_the_losses_can_be_borne():
    """Guards against an acknowledged change that two lost disks take away."""
    decider = joinplanner.JoinPlanner(2)
    present = membership("a", "b", "c")
    assert not joinplanner.tolerates_losses(present, 2)
    change = decider.next_change(0.0, present, WAITING, keys("a", "b", "c"))
    assert change == members.MemberChange(members.ChangeKind.ADD, "d", "id", "d:1")
    assert joinplanner.tolerates_losses(membership("a", "b", "c", "d", "e"), 2)


def test_one_change_at_a_time():
    present = membership("a", "b", "c", "e", learner="e")
    decider = joinplanner.JoinPlanner(2)
    assert decider.next_change(0.0, present, WAITING, keys("a", "b", "c")) is None


def test_lost_disk_takes_the_place_of_its_former_member():
    """Guards against a wiped instance that votes as the one it was."""
    decider = joinplanner.JoinPlanner(1)
    waiting = {"a": joinplanner.PendingJoin("new", "a:1")}
    change = decider.next_change(
        0.0, membership("a", "b", "c"), waiting, keys("b", "c")
    )
    assert change.kind is members.ChangeKind.REPLACE
    assert (change.name, change.member_id, change.old_name) == ("a", "new", "a")


def test_new_instance_replaces_only_a_member_that_stays_away():
    decider = joinplanner.JoinPlanner(1)
    present = membership("a", "b", "c")
    here = keys("a", "b")
    assert decider.next_change(0.0, present, WAITING, here) is None
    assert (
        decider.next_change(joinplanner.REPLACE_AFTER_S - 0.1, present, WAITING, here)
        is None
    )
    change = decider.next_change(joinplanner.REPLACE_AFTER_S, present, WAITING, here)
    assert (change.kind, change.old_name) == (members.ChangeKind.REPLACE, "c")


def test_absence_is_counted_anew_after_a_return():
    decider = joinplanner.JoinPlanner(1)
    present = membership("a", "b", "c")
    decider.next_change(0.0, present, WAITING, keys("a", "b"))
    decider.next_change(1.0, present, WAITING, keys("a", "b", "c"))
    late = joinplanner.REPLACE_AFTER_S + 0.5
    assert decider.next_change(late, present, WAITING, keys("a", "b")) is None
