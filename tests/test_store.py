import hypothesis
import pytest
from hypothesis import stateful, strategies

from toucanfold import commands, messages, model, store, watchers

NAMES = strategies.sampled_from(["a", "b"])
OPERATIONS = strategies.integers(0, 12).map("operation-{}".format)
REVISIONS = strategies.integers(0, 12)


def apply(fleet, command):
    return fleet.apply(fleet.index + 1, commands.encode(command))


def profile(name, attempts=1):
    return model.Profile(name, attempts=attempts).to_json()


def route(name, used):
    return model.Route(name, "s", used, path_prefix=f"/{name}").to_json()


def target(name="t", incarnation=1, state="up", service="s"):
    fields = (name, incarnation, service, "r", "d", "127.0.0.1:1", state)
    return commands.AnnounceTarget(target=model.Target(*fields).to_json())


class ReferenceStore:
    """Reference model: dicts of (revision, item), and of outcomes by operation id."""

    def __init__(self):
        self.revision = 0
        self.tables = {"profiles": {}, "routes": {}}
        self.first_outcomes = {}

    def expected(self, command):
        """Return the object's name and the kind of refusal, empty if accepted."""
        table = self.tables[command.TABLE]
        is_put = isinstance(command, commands.Put)
        name = command.item["name"] if is_put else command.name
        current_revision = table.get(name, (0, None))[0]
        if current_revision != command.expected_revision or (
            not is_put and not current_revision
        ):
            return name, "conflict"
        if isinstance(command, commands.PutRoute):
            profile_exists = command.item["profile"] in self.tables["profiles"]
            return name, "" if profile_exists else "invalid"
        if not is_put and command.TABLE == "profiles":
            routes = self.tables["routes"].values()
            if any(item["profile"] == name for _, item in routes):
                return name, "invalid"
        return name, ""

    def apply(self, command):
        recorded = self.first_outcomes.get(command.operation)
        if recorded is not None:
            content = (type(command), *content_of(command))
            return recorded[1] if recorded[0] == content else "operation_reused"
        name, kind = self.expected(command)
        if not kind:
            self.revision += 1
            table = self.tables[command.TABLE]
            if isinstance(command, commands.Put):
                table[name] = (self.revision, command.item)
            else:
                del table[name]
        answer = (kind, self.revision)
        self.first_outcomes[command.operation] = (
            (type(command), *content_of(command)),
            answer,
        )
        return answer


def content_of(command):
    last = command.item if isinstance(command, commands.Put) else command.name
    return command.expected_revision, repr(last)


class StoreMachine(stateful.RuleBasedStateMachine):
    """Compares the store with dicts, with restored replicas and a delta watcher."""

    def __init__(self):
        super().__init__()
        self.fleet = store.FleetStore()
        self.naive = ReferenceStore()
        self.follower = model.FleetState()

    def apply_to_both(self, command):
        outcome = apply(self.fleet, command)
        expected = self.naive.apply(command)
        kind = outcome.get("kind", "")
        if expected == "operation_reused":
            assert kind == expected
        else:
            assert (kind, outcome["revision"]) == expected

    @stateful.rule(
        operation=OPERATIONS, name=NAMES, revision=REVISIONS, attempts=REVISIONS
    )
    def put_profile(self, operation, name, revision, attempts):
        item = profile(name, attempts % 3)
        self.apply_to_both(commands.PutProfile(operation, 0, revision, item))

    @stateful.rule(operation=OPERATIONS, name=NAMES, revision=REVISIONS, used=NAMES)
    def put_route(self, operation, name, revision, used):
        self.apply_to_both(commands.PutRoute(operation, 0, revision, route(name, used)))

    @stateful.rule(
        operation=OPERATIONS,
        name=NAMES,
        revision=REVISIONS,
        profiles=strategies.booleans(),
    )
    def delete(self, operation, name, revision, profiles):
        cls = commands.DeleteProfile if profiles else commands.DeleteRoute
        self.apply_to_both(cls(operation, 0, revision, name))

    @stateful.rule()
    def restore(self):
        """A replica restored from a snapshot must behave exactly like the others."""
        restored = store.FleetStore()
        restored.restore(self.fleet.snapshot())
        assert restored.snapshot() == self.fleet.snapshot()
        self.fleet = restored

    @stateful.rule()
    def follow(self):
        deltas = self.fleet.deltas_since(self.follower.revision, 300)
        if deltas is None:
            self.follower = model.FleetState.from_json(self.fleet.state.to_json())
        for data in deltas or ():
            assert model.Delta.from_bytes(data).apply(self.follower)
        if self.follower.revision == self.fleet.revision:
            assert self.follower.to_json() == self.fleet.state.to_json()

    @stateful.invariant()
    def same_state(self):
        assert self.fleet.revision == self.naive.revision
        for table, expected in self.naive.tables.items():
            items = getattr(self.fleet.state, table)
            assert {
                name: (item.revision, {**item.to_json(), "revision": 0})
                for name, item in items.items()
            } == expected


TestStore = StoreMachine.TestCase
TestStore.settings = hypothesis.settings(max_examples=60, stateful_step_count=30)


def test_operations_are_kept_for_a_day(monkeypatch):
    """Guards against a resend that is applied twice because its outcome was removed."""
    monkeypatch.setattr(store, "RETAINED_OPERATION_COUNT", 2)
    fleet = store.FleetStore()
    for number in range(4):
        apply(fleet, commands.PutProfile(f"operation-{number}", 0, 0, profile("a")))
    assert fleet.find_operation("operation-0") is not None
    late = commands.PutProfile("operation-4", 25 * 3600, 0, profile("b"))
    apply(fleet, late)
    assert fleet.find_operation("operation-0") is None
    assert fleet.find_operation("operation-4")["ok"]


def test_undecodable_command_changes_nothing():
    fleet = store.FleetStore()
    assert not fleet.apply(1, b'{"kind":"Later"}')["ok"]
    assert not fleet.apply(2, b"[]")["ok"]
    assert (fleet.revision, fleet.index) == (0, 2)


def test_older_incarnation_is_refused():
    """Guards against a stopped daemon's delayed announcement that hides the new one."""
    fleet = store.FleetStore()
    assert apply(fleet, target(incarnation=2))["ok"]
    assert apply(fleet, target(incarnation=1))["kind"] == "conflict"
    assert apply(fleet, target(incarnation=3))["revision"] == 2
    ended = commands.ConfirmEnded(name="t", incarnation=3)
    assert apply(fleet, ended)["ok"]
    assert apply(fleet, target(incarnation=3))["kind"] == "conflict"
    # Once its end is confirmed, a host whose clock was set back can announce itself.
    assert apply(fleet, target(incarnation=1))["ok"]


def test_operators_drain_survives_announcements():
    fleet = store.FleetStore()
    apply(fleet, target())
    drain = commands.SetTargetState(name="t", incarnation=1, state="draining")
    assert apply(fleet, drain)["revision"] == 2
    assert apply(fleet, target())["revision"] == 2
    assert fleet.state.targets["t"].state == "draining"


def test_lost_target_is_up_again_after_its_announcement():
    fleet = store.FleetStore()
    apply(fleet, target())
    lost = commands.SetTargetState(name="t", incarnation=1, state="lost")
    apply(fleet, lost)
    apply(fleet, target())
    assert fleet.state.targets["t"].state == "up"


@pytest.mark.parametrize("epoch", [1, 2])
def test_stale_slot_plan_is_refused_completely(epoch):
    """Guards against a former leader's plan that reinstates a former owner."""
    fleet = store.FleetStore()
    apply(fleet, commands.AssignSlots(slots=[model.Slot("s", 0, 2, "t", 1).to_json()]))
    plan = [model.Slot("s", 1, 1).to_json(), model.Slot("s", 0, epoch).to_json()]
    assert apply(fleet, commands.AssignSlots(slots=plan))["kind"] == "conflict"
    assert list(fleet.state.slots) == [("s", 0)]


MALFORMED_TARGETS = {
    "no name": {"name": ""},
    "state": {"state": "gone"},
    "state of another type": {"state": 5},
    "service": {"service": "no service"},
    "address": {"link_address": "nowhere"},
    "port": {"link_address": "127.0.0.1:none"},
    "instance": {"target_instance": "i-1"},
    "departure": {"departed": "never/i-1"},
    "unknown field": {"colour": "red"},
}


@pytest.mark.parametrize("kind", MALFORMED_TARGETS)
def test_malformed_announcement_changes_nothing(kind):
    """Guards against one daemon's values that stop the calls of all others."""
    fleet = store.FleetStore()
    values = {**target().target, **MALFORMED_TARGETS[kind]}
    outcome = apply(fleet, commands.AnnounceTarget(target=values))
    assert outcome["kind"] == "invalid"
    assert not fleet.state.targets


@pytest.mark.parametrize(
    "data",
    [
        b'{"kind":"AnnounceTarget","target":5}',
        b'{"kind":"AnnounceTarget","target":{}}',
        b'{"kind":"AssignSlots","slots":[{}]}',
        b'{"kind":"AssignSlots","slots":[1]}',
        b'{"kind":"PutRoute"}',
    ],
)
def test_malformed_command_stops_no_member(data):
    """Guards against a committed command at which each member ends at each start."""
    fleet = store.FleetStore()
    assert fleet.apply(1, data)["kind"] == "invalid"
    assert fleet.revision == 0
    assert apply(fleet, target())["ok"]


def test_announcement_without_labels_has_no_field_that_earlier_builds_refuse():
    announcement = messages.Announcement("t", 1, "s", "r", "d", "127.0.0.1:1")
    fields = "data_centre incarnation link_address name region service state"
    assert sorted(watchers.announced_fields(announcement)) == fields.split()
