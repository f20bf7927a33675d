"""Tests of numbers out of range and malformed entries that arrive from outside."""

import itertools
import json
import math

import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import (
    calls,
    commands,
    fairshare,
    linkcalls,
    messages,
    model,
    store,
    targetstatus,
    watchstate,
)
from toucanfold.platform import announcements, manifests

TOO_BIG = ("1e400", "-1e400", "9" * 400, "NaN", "Infinity", str(1 << 63), str(1 << 70))
BIG_NUMBERS = (*TOO_BIG, str(1 << 40), "-1", "0")
ANNOUNCEMENT = {
    "address": "10.0.0.1:80",
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 20},
    "status": {"state": "ready", "seq": 4, "cold_remaining_ms": 0},
    "born": 1_750_000_000_000,
}
MANIFEST = {
    "version": "00000007",
    "base_version": "00000000",
    "routes": {
        "columns": [
            "name",
            "host",
            "prefix",
            "kind",
            "timeout_ms",
            "priority",
            "service",
            "max_attempts",
            "target_latency_ms",
            "weighted_services",
        ],
        "rows": [
            ["r1", "h1", "/a/", "safe", 800, 2, "s", 2, 500, None],
            ["r2", "h2", "/a/", "safe", 800, 2, None, 2, 500, [{"service": "s"}]],
        ],
    },
    "services": {"columns": ["name", "max_connections"], "rows": [["s", 100]]},
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": {
        "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
        "rows": [["t", ["k1"], 1, 100, 100]],
    },
}
MANIFEST["routes"]["rows"][1][-1][0]["weight"] = 90
DEEP = b"[" * 100_000

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.sampled_from([10**400, -(10**400), 1 << 70, 1 << 63, 99_999]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def paths_of(value, path=()):
    """Return the paths of all values inside a JSON value."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    found = [path] if path else []
    for key, inner in items:
        found += paths_of(inner, (*path, key))
    return found


def replaced(value, path, text):
    """Return the JSON text of a value with one inner value replaced by a text."""
    copied = json.loads(json.dumps(value))
    inner = copied
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = "<replaced>"
    return json.dumps(copied).replace('"<replaced>"', text).encode()


def to_command(body):
    bound = fairshare.OverageBound(5.0, 0.1, 20.0)
    return manifests.to_command(body, b"fleet secret", bound)


@pytest.mark.parametrize(
    ("path", "number"),
    [
        *itertools.product([("status", "cold_remaining_ms")], TOO_BIG),
        *itertools.product([("info", "slots")], [*TOO_BIG, str(1 << 40), "-1"]),
        *itertools.product([("born",), ("status", "seq")], [*TOO_BIG, "-1"]),
    ],
)
def test_announcement_with_a_number_out_of_range_is_refused(path, number):
    """Guards against a limit that no answer can carry, and against an announcement
    after which every true one counts as older.
    """
    assert announcements.read("i1", replaced(ANNOUNCEMENT, path, number)) is None


def test_true_announcements_count_after_an_odd_one():
    """Guards against an odd entry that hides the announcements of the target."""
    status = targetstatus.TargetStatus(True)
    for path in (("born",), ("status", "seq")):
        odd = announcements.read("i1", replaced(ANNOUNCEMENT, path, str(1 << 63)))
        if odd is not None:
            status.on_announcement(0.0, odd)
    true = announcements.read("i1", json.dumps(ANNOUNCEMENT).encode())
    assert status.on_announcement(0.1, true)
    assert status.accepts_calls


@hypothesis.given(strategies.sampled_from(paths_of(ANNOUNCEMENT)), json_values)
def test_any_announcement_is_read_or_refused(path, value):
    """Guards against an announcement that raises past its decoder."""
    body = replaced(ANNOUNCEMENT, path, json.dumps(value))
    read = announcements.read("i1", body)
    if read is not None:
        assert 0 <= read.concurrency_limit <= targetstatus.MAX_CONCURRENCY_LIMIT
        assert 0 <= read.sequence <= targetstatus.MAX_SEQUENCE
        assert 0 <= read.started_at_ms <= targetstatus.MAX_START_MS
        assert 0 <= read.warmup_s <= targetstatus.MAX_WARMUP_S


@pytest.mark.parametrize("number", BIG_NUMBERS)
@pytest.mark.parametrize("path", [p for p in paths_of(MANIFEST) if len(p) > 1])
def test_configuration_with_an_odd_number_is_answered(path, number):
    """Guards against a configuration that raises past its decoder, or whose numbers
    no instance can apply.
    """
    command = to_command(replaced(MANIFEST, path, number)).value_or(None)
    if command is not None:
        text = commands.encode(command)
        assert store.FleetStore().apply(1, text)["ok"]
        for accounts in command.tables["accounts"]:
            assert math.isfinite(accounts["rate"]) and math.isfinite(accounts["burst"])


@hypothesis.given(strategies.sampled_from(paths_of(MANIFEST)), json_values)
def test_any_configuration_is_accepted_or_refused(path, value):
    """Guards against a configuration that raises past its decoder."""
    command = to_command(replaced(MANIFEST, path, json.dumps(value))).value_or(None)
    if command is not None:
        assert 0 < command.version <= manifests.MAX_VERSION
        store.FleetStore().apply(1, commands.encode(command))


def test_deeply_nested_documents_are_refused():
    """Guards against entries whose nesting ends the process that reads them."""
    assert announcements.read("i1", DEEP) is None
    assert to_command(DEEP).value_or(None) is None
    assert commands.decode(DEEP).value_or(None) is None
    assert store.FleetStore().apply(1, DEEP)["ok"] is False


def test_configuration_that_does_not_follow_json_is_refused():
    """Guards against numbers that the next reader of the document cannot read."""
    body = replaced(MANIFEST, ("tenants", "rows", 0, 3), "NaN")
    assert to_command(body).value_or(None) is None


@pytest.mark.parametrize("port", ["0", "65536", "99999"])
def test_target_with_a_port_out_of_range_is_not_listed(port):
    """Guards against an address in the directory that nobody can connect to."""
    fields = {"incarnation": 1, "service": "s", "region": "r", "data_centre": "d"}
    item = {"name": "t", "link_address": f"127.0.0.1:{port}", **fields}
    outcome = store.FleetStore().apply(
        1, commands.encode(commands.AnnounceTarget(target=item))
    )
    assert not outcome["ok"]


def watched(fleet, change):
    """Return a daemon's state after a pong with changed deltas or snapshot."""
    watching = watchstate.WatchState()
    watching.on_pong(0.0, change(messages.WatchPong(revision=fleet.revision)))
    return watching


def fleet_with_routes():
    fleet = store.FleetStore()
    command = to_command(json.dumps(MANIFEST).encode()).unwrap()
    assert fleet.apply(1, commands.encode(command))["ok"]
    return fleet


ODD_ITEMS = (
    {"name": "odd"},
    {"name": "odd", "unknown": 1},
    {"name": ["odd"]},
    "odd",
    None,
    7,
)


@pytest.mark.parametrize("item", ODD_ITEMS)
@pytest.mark.parametrize("table", ["routes", "targets", "slots", "quarantines", "new"])
def test_unreadable_entry_of_a_snapshot_is_skipped(table, item):
    """Guards against a daemon that stops following the fleet at an odd entry."""
    fields = fleet_with_routes().state.to_json()
    fields[table] = [*fields.get(table, ()), item]
    state = model.FleetState.from_json(json.loads(json.dumps(fields)))
    assert set(state.routes) - {"odd"} == {"r1", "r2"}
    assert state.revision == 1


@pytest.mark.parametrize("item", ODD_ITEMS)
@pytest.mark.parametrize("table", ["routes", "targets", "slots", "quarantines", "new"])
def test_unreadable_entry_of_a_delta_is_skipped(table, item):
    """Guards against a daemon that stops following the fleet at an odd entry."""
    fleet = fleet_with_routes()
    service = {"name": "later", "max_connections": 5, "revision": 2}
    delta = model.Delta(2, [(table, item), ("services", service)], [(table, "x")])
    assert model.Delta.from_bytes(delta.to_bytes()).apply(fleet.state)
    assert fleet.state.revision == 2
    assert "later" in fleet.state.services


def test_fields_of_a_later_version_are_left_out():
    """Guards against daemons that lose an entry because of a field they do not know."""
    fields = fleet_with_routes().state.to_json()
    fields["services"][0]["colour"] = "green"
    state = model.FleetState.from_json(fields)
    assert set(state.services) == {"s"}


@pytest.mark.parametrize("payload", [b"", b"{", DEEP, b"[1]", b"\xff", b"7"])
def test_unreadable_snapshot_or_delta_leaves_the_state_as_it_was(payload):
    """Guards against a watch that ends at an odd message."""
    watching = watchstate.WatchState()
    pong = messages.WatchPong(revision=3, snapshot=payload, deltas=[payload])
    watching.on_pong(0.0, pong)
    assert watching.revision == 0


def test_frames_with_odd_numbers_become_calls_and_answers():
    """Guards against numbers of another instance that spoil queues or end a link."""
    call = linkcalls.from_message(messages.Call(weight=math.nan, priority=255), 0.0)
    assert call.weight == 1.0
    assert call.priority < calls.PRIORITY_LEVELS
    answer = linkcalls.from_answer(
        messages.Answer(outcome=9, kind="of a later version")
    )
    assert answer.outcome is calls.Outcome.UNKNOWN
    assert answer.refusal.kind is calls.RefusalKind.TARGET_FAILED
    huge = calls.Answer(limit=1 << 70, in_flight=1 << 40)
    assert (
        messages.decode(messages.encode(linkcalls.to_answer(huge, 1))[4:]) is not None
    )
