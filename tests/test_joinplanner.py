from toucanfold import joinplanner, members


def membership(*names, learner=""):
    return members.Membership(
        members.Member(name, "id", f"{name}:1", voter=name != learner) for name in names
    )


def keys(*names):
    return {members.member_key(name, "id") for name in names}


WAITING = {"d": joinplanner.PendingJoin("id", "d:1")}


def test_no_change_when_no_loss_is_to_be_tolerated():
    planner = joinplanner.JoinPlanner(0)
    assert (
        planner.next_change(0.0, membership("a", "b", "c"), WAITING, keys("a")) is None
    )


def test_instances_are_added_until_the_losses_are_tolerated():
    """Guards against the loss of an acknowledged change with two disks."""
    planner = joinplanner.JoinPlanner(2)
    current = membership("a", "b", "c")
    assert not joinplanner.tolerates_losses(current, 2)
    change = planner.next_change(0.0, current, WAITING, keys("a", "b", "c"))
    assert change == members.MemberChange(members.ChangeKind.ADD, "d", "id", "d:1")
    assert joinplanner.tolerates_losses(membership("a", "b", "c", "d", "e"), 2)


def test_one_change_at_a_time():
    current = membership("a", "b", "c", "e", learner="e")
    planner = joinplanner.JoinPlanner(2)
    assert planner.next_change(0.0, current, WAITING, keys("a", "b", "c")) is None


def test_instance_with_a_new_disk_replaces_its_former_member():
    """Guards against an instance with an empty disk that votes under its former id."""
    planner = joinplanner.JoinPlanner(1)
    waiting = {"a": joinplanner.PendingJoin("new", "a:1")}
    change = planner.next_change(
        0.0, membership("a", "b", "c"), waiting, keys("b", "c")
    )
    assert change.kind is members.ChangeKind.REPLACE
    assert (change.name, change.member_id, change.old_name) == ("a", "new", "a")


def test_new_instance_replaces_only_a_long_unreachable_member():
    planner = joinplanner.JoinPlanner(1)
    current = membership("a", "b", "c")
    reachable = keys("a", "b")
    assert planner.next_change(0.0, current, WAITING, reachable) is None
    assert (
        planner.next_change(
            joinplanner.REPLACE_AFTER_S - 0.1, current, WAITING, reachable
        )
        is None
    )
    change = planner.next_change(
        joinplanner.REPLACE_AFTER_S, current, WAITING, reachable
    )
    assert (change.kind, change.old_name) == (members.ChangeKind.REPLACE, "c")


def test_absence_restarts_after_contact():
    planner = joinplanner.JoinPlanner(1)
    current = membership("a", "b", "c")
    planner.next_change(0.0, current, WAITING, keys("a", "b"))
    planner.next_change(1.0, current, WAITING, keys("a", "b", "c"))
    late = joinplanner.REPLACE_AFTER_S + 0.5
    assert planner.next_change(late, current, WAITING, keys("a", "b")) is None
