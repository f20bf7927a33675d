"""Tests of the platform's protocol within one process."""

import asyncio
import json
import pathlib
import subprocess
import sys

import pytest
from helpers import SECRET, FakeReplica, RegistrationRig, run
from returns import result

from toucanfold import (
    calls,
    cluster,
    commands,
    configuration,
    fairshare,
    headerformat,
    headers,
    httpclient,
    httpserver,
    interfaces,
    leadership,
    link,
    model,
    store,
    targetstatus,
)
from toucanfold.platform import announcements, fields, manifests

ZERO_OVERAGE = fairshare.OverageBound(5, 0, 0)
COLUMNS = {
    "routes": [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "service",
        "max_attempts",
        "no_auth",
        "weighted_services",
    ],
    "services": ["name", "health_path", "max_connections", "protocol", "tls"],
    "tenants": ["name", "api_keys", "priority", "rate_per_s", "burst"],
}


def table(name, *rows):
    return {"columns": COLUMNS[name], "rows": [list(row) for row in rows]}


def manifest(version=1, base=0, **changes):
    """Return a valid configuration in the format of the platform's operators."""
    content = {
        "version": f"{version:08x}",
        "routes": table(
            "routes",
            ("r1", "a.example", "/x/", "unsafe", 800, 1500, 0, "s1", 2, False, None),
            (
                "r2",
                "b.example",
                "/",
                "safe",
                6000,
                1500,
                2,
                None,
                2,
                True,
                [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            ),
        ),
        "services": table(
            "services",
            ("s1", "/health", 532, "h1", False),
            ("s2", "/health", 196, "h1", False),
        ),
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": table("tenants", ("t1", ["key-of-t1", "other-key"], 1, 102, 102)),
        "base_version": f"{base:08x}",
    }
    content.update(changes)
    return content


def read(content):
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    return manifests.to_command(body, SECRET, ZERO_OVERAGE)


def with_route(**changes):
    values = dict(zip(COLUMNS["routes"], manifest()["routes"]["rows"][0], strict=True))
    values.update(changes)
    row = [values[name] for name in COLUMNS["routes"]]
    return manifest(routes=table("routes", row))


INVALID = {
    "truncated": json.dumps(manifest()).encode()[:-20],
    "unknown service": with_route(service="s9"),
    "no attempts": with_route(max_attempts=0),
    "unknown kind": with_route(kind="perhaps"),
    "no timeout": with_route(timeout_ms=0),
    "no weight": with_route(
        service=None, weighted_services=[{"service": "s1", "weight": 0}]
    ),
    "negative weight": with_route(
        service=None, weighted_services=[{"service": "s1", "weight": -1}]
    ),
    "shared key": manifest(
        tenants=table(
            "tenants", ("t1", ["same"], 1, 10, 10), ("t2", ["same"], 1, 10, 10)
        )
    ),
    "same host and prefix": manifest(
        routes=table(
            "routes",
            ("r1", "a.example", "/x/", "safe", 800, 0, 0, "s1", 2, False, None),
            ("r2", "a.example", "/x/", "safe", 800, 0, 0, "s2", 2, False, None),
        )
    ),
    "version zero": manifest(version=0),
    "version not a number": manifest(version=1) | {"version": "soon"},
    "no routes": {"version": "00000001"},
    "not an object": b"[1, 2]",
    "nested too deeply": b"[" * 200_000,
    "row too short": manifest(routes={"columns": ["name", "host"], "rows": [["r"]]}),
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_configuration_is_refused(name):
    """Guards against accepting an invalid configuration."""
    assert isinstance(read(INVALID[name]), result.Failure)


def test_configuration_is_translated_to_entities():
    state = applied(read(manifest()).unwrap()).state
    split = state.routes["r2"]
    assert split.split == {"s1": 90, "s2": 10} and split.open
    profile = state.profiles[state.routes["r1"].profile]
    assert not profile.idempotent
    assert (profile.importance, profile.deadline_ms, profile.goal_ms) == (
        "critical",
        800,
        1500,
    )
    assert profile.attempts == 1
    assert state.account_for_key("key-of-t1", SECRET).name == "t1"
    assert state.account_for_key("key-of-t2", SECRET) is None
    assert state.services["s2"].max_connections == 196
    assert state.configuration.idle_timeout_ms == 15000


def test_text_of_a_key_is_not_stored():
    assert "key-of-t1" not in json.dumps(
        applied(read(manifest()).unwrap()).state.to_json()
    )


def applied(*sent):
    fleet = store.FleetStore()
    for index, command in enumerate(sent, 1):
        fleet.apply(index, commands.encode(command))
    return fleet


def test_same_configuration_again_is_acknowledged_also_after_later_ones():
    """Guards against the refusal of a resend whose acknowledgement was lost."""
    first, second = read(manifest(5)).unwrap(), read(manifest(9, base=5)).unwrap()
    fleet = applied(first, second)
    assert fleet.apply(3, commands.encode(first))["ok"]
    assert fleet.state.configuration.version == 9
    assert json.loads(fleet.document) == manifest(9, base=5)


def test_only_one_of_two_changes_to_a_version_is_accepted():
    fleet = applied(read(manifest(5)).unwrap())
    rival = manifest(7, base=5, tenants=table("tenants"))
    assert fleet.apply(2, commands.encode(read(manifest(7, base=5)).unwrap()))["ok"]
    lost = fleet.apply(3, commands.encode(read(rival).unwrap()))
    assert not lost["ok"] and lost["kind"] == "conflict"
    assert fleet.state.accounts


def test_refused_configuration_may_be_applied_once_its_base_is_in_force():
    fleet = store.FleetStore()
    later = commands.encode(read(manifest(7, base=5)).unwrap())
    assert not fleet.apply(1, later)["ok"]
    assert fleet.apply(2, commands.encode(read(manifest(5)).unwrap()))["ok"]
    assert fleet.apply(3, later)["ok"]


def test_version_that_does_not_increase_is_invalid():
    fleet = applied(read(manifest(5)).unwrap())
    same = fleet.apply(2, commands.encode(read(manifest(5, base=5)).unwrap()))
    assert not same["ok"] and same["kind"] == "invalid"


def test_document_survives_a_snapshot():
    fleet = applied(read(manifest(5)).unwrap())
    other = store.FleetStore()
    other.restore(fleet.snapshot())
    assert other.document == fleet.document
    assert other.state.to_json() == fleet.state.to_json()


def test_change_of_one_route_sends_only_that_route():
    """Guards against deltas that carry the complete configuration to each daemon."""
    fleet = applied(read(manifest(5)).unwrap())
    before = fleet.revision
    changed = manifest(6, base=5)
    changed["routes"]["rows"][0][4] = 900
    fleet.apply(2, commands.encode(read(changed).unwrap()))
    (delta,) = fleet.deltas_since(before, 1 << 20)
    puts = model.Delta.from_bytes(delta).puts
    assert {kind for kind, _ in puts} == {"routes", "profiles", "configurations"}
    assert len(puts) == 3


def test_big_configuration_fits_into_a_log_entry():
    rows = [
        (f"r{n}", f"h{n}.example", f"/p{n}/", "safe", 800, 1500, 2, "s1", 2, 0, None)
        for n in range(1500)
    ]
    command = read(manifest(routes=table("routes", *rows))).unwrap()
    assert len(commands.encode(command)) < 256 * 1024
    assert applied(command).state.routes["r1499"].host == "h1499.example"


def test_overage_bound_raises_the_account_capacity():
    body = json.dumps(manifest()).encode()
    bound = fairshare.OverageBound(5, 0.1, 20)
    command = manifests.to_command(body, SECRET, bound).unwrap()
    account = applied(command).state.accounts["t1"]
    allowed = 0.1 * (102 * 5 + 102) + 20
    assert 102 < account.capacity <= 102 + allowed


def test_weighted_split_follows_the_weights():
    route = model.Route("r", "s1", "p", split={"s1": 90, "s2": 0, "s3": 10})
    selected = [
        route.select_service(calls.split_fraction(f"id-{n}")) for n in range(4000)
    ]
    assert selected.count("s2") == 0
    assert abs(selected.count("s3") / 4000 - 0.1) < 0.03


def test_host_routes_match_by_longest_prefix():
    fleet = applied(
        read(
            manifest(
                routes=table(
                    "routes",
                    ("r1", "a.example", "/", "safe", 8, 1, 0, "s1", 1, 0, None),
                    ("r2", "a.example", "/x/", "safe", 8, 1, 0, "s2", 1, 0, None),
                )
            )
        ).unwrap()
    )
    lookup = interfaces.StateIndex(interfaces.StaticStateSource(fleet.state), SECRET)
    assert lookup.route("a.example", "", "GET", "/x/1")[0].name == "r2"
    assert lookup.route("a.example", "", "GET", "/y")[0].name == "r1"
    assert lookup.route("c.example", "", "GET", "/y") is None


def request(*pairs, method="GET", path="/x/1", body=b""):
    return httpserver.Request(method, path, list(pairs), 0.0, body)


def test_request_head_is_parsed():
    head = fields.PlatformHeaderFormat().read_head(
        request(
            (b"host", b"A.example:80"),
            (b"request-id", b"9c41"),
            (b"deadline-ms", b"5000"),
            (b"authorization", b"Bearer secret"),
        )
    )
    assert head == headerformat.RequestHead(
        "9c41", "a.example", keys={b"secret"}, timeout_ms=5000
    )


def test_target_receives_no_key_and_no_forged_caller():
    """Guards against a forwarded key, or a caller that claims another account."""
    sent = fields.PlatformHeaderFormat().fields_for_target(
        request(
            (b"host", b"a.example"),
            (b"authorization", b"Bearer secret"),
            (b"tenant", b"other"),
            (b"caller-service", b"other"),
            (b"expected-instance", b"other"),
            (b"x-kept", b"1"),
            (b"connection", b"x-dropped"),
            (b"x-dropped", b"1"),
        ),
        "s1",
        "t1",
    )
    assert sorted(sent) == [
        (b"caller-service", b"s1"),
        (b"host", b"a.example"),
        (b"tenant", b"t1"),
        (b"x-kept", b"1"),
    ]


def call(root_id="9c41"):
    return calls.Call(root_id, "s1", "GET", "/", [], b"", "t1", 0, False, 10.0, 0.0)


@pytest.mark.parametrize(
    ("status", "sent", "matches_call", "kind"),
    [
        (200, [(b"request-id", b"9c41")], True, None),
        (200, [(b"request-id", b"other")], False, None),
        (503, [(b"not-executed", b"1")], True, calls.RefusalKind.OVERLOADED),
        (503, [], True, None),
        (421, [], True, calls.RefusalKind.STOPPING),
    ],
)
def test_target_response_is_checked(status, sent, matches_call, kind):
    """Guards against responses to other requests, and a wrong outcome "not run"."""
    answer = httpclient.TargetResponse(status, sent)
    header_format = fields.PlatformHeaderFormat()
    echoed = header_format.find_echoed_id(answer.headers)
    assert (echoed in (None, b"9c41")) is matches_call
    response_check = header_format.check_response(answer)
    assert (response_check.refusal.kind if response_check.refusal else None) is kind
    if response_check.refusal:
        assert response_check.refusal.outcome is calls.Outcome.NOT_RUN


@pytest.mark.parametrize("kind", list(calls.RefusalKind))
@pytest.mark.parametrize("outcome", list(calls.Outcome))
def test_status_promises_not_run_only_if_it_is_certain(kind, outcome):
    """Guards against 408, 421, 429 or 503 for a request that may have run."""
    refused = calls.Refusal(kind, outcome, retry_after_ms=1500)
    response = fields.PlatformHeaderFormat().refusal(refused, "9c41")
    if outcome is not calls.Outcome.NOT_RUN:
        assert response.status not in (408, 421, 429, 503)
    if response.status in (429, 503):
        assert headers.find(response.headers, b"retry-after") == b"1.500"


ANNOUNCEMENT = {
    "address": "10.128.0.9:8080",
    "info": {"service": "s1", "version": "v1", "zone": "z", "slots": 72},
    "status": {"state": "ready", "seq": 4, "cold_remaining_ms": 500},
    "born": 1700000000000,
}


STATUS, INFO = ANNOUNCEMENT["status"], ANNOUNCEMENT["info"]


def test_announcement_is_parsed():
    announcement = announcements.read("i-1", json.dumps(ANNOUNCEMENT).encode())
    assert announcement == targetstatus.Announcement(
        "i-1", 1700000000000, 4, True, 72, 0.5, "s1", "10.128.0.9:8080", "z"
    )


@pytest.mark.parametrize(
    "change",
    [
        {"status": STATUS | {"state": "asleep"}},
        {"status": STATUS | {"seq": "4"}},
        {"status": STATUS | {"cold_remaining_ms": "x"}},
        {"status": None},
        {"info": INFO | {"slots": "many"}},
        {"info": INFO | {"service": 1}},
        {"info": {"slots": 72}},
        {"born": 1.5},
        {"born": True},
    ],
)
def test_invalid_announcement_is_rejected(change):
    assert announcements.read("i-1", json.dumps(ANNOUNCEMENT | change).encode()) is None
    for body in (b"\xff", b"[" * 200_000):
        assert announcements.read("i-1", body) is None


@pytest.mark.parametrize("value", [None, [], {}, True, "", "<missing>"])
@pytest.mark.parametrize(
    ("part", "field"),
    [
        (None, "address"),
        *(("info", field) for field in INFO),
        *(("status", field) for field in STATUS),
    ],
)
def test_announcement_needs_each_field_with_its_type(part, field, value):
    """Guards against another writer's announcement that counts as the target's own."""
    content = json.loads(json.dumps(ANNOUNCEMENT))
    fields = content if part is None else content[part]
    fields[field] = value
    if value == "<missing>":
        del fields[field]
    assert announcements.read("i-1", json.dumps(content).encode()) is None


def test_announcements_update_the_target_status():
    async def check():
        rig = RegistrationRig("10.128.0.9:8080", "z", "s1")
        handler = announcements.AnnouncementHandler(rig.registration)
        for method, body in (
            ("PUT", json.dumps(ANNOUNCEMENT).encode()),
            ("PUT", json.dumps(ANNOUNCEMENT).encode()),
            ("DELETE", b""),
        ):
            sent = request(method=method, path="/instances/i-1", body=body)
            assert handler.check_head(sent) is None
            assert (await handler.handle(sent)).status == 200
        assert rig.changes == [True, False]
        assert handler.check_head(request(method="PUT", path="/other")).status == 404

    run(check())


class _FakeControl:
    """Control instance with its own log, for the operators' calls."""

    secret = SECRET
    rate_bound = ZERO_OVERAGE

    def __init__(self):
        self.store = store.FleetStore()
        identity = link.Identity("f", SECRET, "control", "c1", 1)
        self.control_peers = cluster.ControlPeers(identity, self.store)
        replica = FakeReplica(self.store)
        self.control_peers.attach(
            replica, leadership.LeaderService(replica, self.store)
        )

    async def replace_configuration(self, command):
        from toucanfold import control

        return await control.Control.replace_configuration(self, command)

    async def read_document(self):
        from toucanfold import control

        return await control.Control.read_document(self)


def test_operators_put_and_read_configurations():
    async def check():
        handler = manifests.ManifestHandler(_FakeControl())
        get = request(path="/config")
        assert (await handler.handle(get)).status == 503

        async def put(content):
            body = (
                content if isinstance(content, bytes) else json.dumps(content).encode()
            )
            sent = request(method="PUT", path="/config", body=body)
            assert handler.check_head(sent) is None
            return (await handler.handle(sent)).status

        assert await put(manifest(5)) == 200
        assert await put(manifest(5)) == 200
        assert await put(manifest(6, base=4)) == 412
        assert await put(manifest(5, base=5)) == 400
        assert await put(INVALID["truncated"]) == 400
        assert await put(manifest(6, base=5)) == 200
        shown = await handler.handle(get)
        assert json.loads(shown.body) == manifest(6, base=5)

    run(check())


def test_programs_refuse_wrong_arguments():
    process = subprocess.run(
        [sys.executable, "-m", "toucanfold.platform", "other"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 2 and "name a program" in process.stderr


def test_package_includes_the_platform_and_shadows_no_standard_module():
    """Guards against a wheel without the subpackage."""
    root = pathlib.Path(__file__).parent.parent
    text = (root / "pyproject.toml").read_text()
    assert '"toucanfold.platform"' in text
    code = "import platform, toucanfold.platform.fields; print(platform.system())"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "Linux"


@pytest.mark.parametrize(
    ("fields_of_target", "rate", "is_leaving"),
    [
        ([(b"server-limit", b"12.5")], 12.5, False),
        ([(b"server-limit", b"many")], None, False),
        ([(b"server-leaving", b"1")], None, True),
        ([(b"server-leaving", b"0")], None, False),
    ],
)
@pytest.mark.parametrize("status", [200, 500, 503])
def test_statements_of_a_target_are_read_from_every_response(
    fields_of_target, rate, is_leaving, status
):
    if status == 503:
        fields_of_target = [*fields_of_target, (b"not-executed", b"1")]
    response = httpclient.TargetResponse(status, fields_of_target)
    checked = fields.PlatformHeaderFormat().check_response(response)
    assert checked.stated_rate == rate
    assert checked.is_leaving is is_leaving
    assert (checked.refusal is not None) is (status == 503)


def test_platform_names_stay_in_their_package():
    """Guards against the platform's names in modules outside its package."""
    root = pathlib.Path(__file__).parent.parent / "toucanfold"
    for path in root.glob("*.py"):
        text = path.read_text().lower()
        for name in (
            "deadline-ms",
            "not-executed",
            "server-limit",
            "server-leaving",
            "api_keys",
            "tenants",
            "no_auth",
        ):
            assert name not in text, (path, name)


def test_configuration_digest_is_independent_of_layout():
    spaced = json.loads(json.dumps(manifest(), indent=2))
    assert configuration.content_digest(spaced) == configuration.content_digest(
        manifest()
    )


def test_readiness_needs_a_fresh_state():
    from toucanfold.platform import readiness

    class _FakeDaemon:
        ready = True

        def is_ready(self, now):
            return self.ready

    async def check():
        fake_daemon = _FakeDaemon()
        handler = readiness.ReadinessHandler(fake_daemon)
        assert (await handler.handle(request(path="/ready"))).status == 200
        fake_daemon.ready = False
        assert (await handler.handle(request(path="/ready"))).status == 503

    run(check())
    assert asyncio.iscoroutinefunction(readiness.ReadinessHandler.handle)
