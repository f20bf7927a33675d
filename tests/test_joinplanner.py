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


def test_learner_that_has_ended_blocks_no_other_join():
    """Guards against a fleet that admits nobody because a new instance ended."""
    planner = joinplanner.JoinPlanner(2)
    current = membership("a", "b", "c", "e", learner="e")
    reachable = keys("a", "b", "c")
    for now in (0.0, joinplanner.REPLACE_AFTER_S - 0.1):
        assert planner.next_change(now, current, WAITING, reachable) is None
    change = planner.next_change(
        joinplanner.REPLACE_AFTER_S, current, WAITING, reachable
    )
    assert change == members.MemberChange(members.ChangeKind.REMOVE, "e", "id")


def test_learner_in_contact_is_not_abandoned():
    """Guards against a new instance that never joins because its state is large."""
    planner = joinplanner.JoinPlanner(2)
    current = membership("a", "b", "c", "e", learner="e")
    for now in range(10):
        assert planner.next_change(now, current, WAITING, current.keys) is None


def test_instance_that_ends_each_time_joins_after_the_others():
    """Guards against an instance that restarts for ever and keeps others out."""
    planner = joinplanner.JoinPlanner(2)
    waiting = WAITING | {"b": joinplanner.PendingJoin("id", "b:1")}
    first = planner.next_change(0.0, membership("a", "c"), waiting, keys("a", "c"))
    assert first.name == "b"
    with_learner = membership("a", "b", "c", learner="b")
    planner.next_change(1.0, with_learner, waiting, keys("a", "c"))
    now = 1.0 + joinplanner.REPLACE_AFTER_S
    removal = planner.next_change(now, with_learner, waiting, keys("a", "c"))
    assert (removal.kind, removal.name) == (members.ChangeKind.REMOVE, "b")
    second = planner.next_change(now, membership("a", "c"), waiting, keys("a", "c"))
    assert second.name == "d"


def test_absence_in_an_earlier_term_does_not_count():
    """Guards against a member that is replaced because it was away long ago."""
    planner = joinplanner.JoinPlanner(1)
    current = membership("a", "b", "c")
    planner.next_change(0.0, current, WAITING, keys("a", "b"))
    planner.on_elected()
    assert planner.next_change(100.0, current, WAITING, keys("a", "b")) is None
