import asyncio
import base64

import helpers

from toucanfold import (
    adminclient,
    control,
    credentials,
    exceptions,
    limits,
    members,
    tls,
)


class Fleet:
    """One control instance in this process, and a client of its operators' API."""

    def __init__(self, folder):
        self.settings = helpers.control_settings(folder)
        self.address = self.settings.get("control", "listen")
        self.admin = self.settings.get("control", "admin_listen")
        operators = credentials.read(str(folder / "admin")).unwrap()
        self.control = control.Control(
            self.settings,
            helpers.SECRET,
            operators,
            tls.Contexts(),
            lambda fleet, send: helpers.FakeReplica(fleet),
        )

    async def fetch(self, method, path, fields=None, credential=None):
        credential = credential or ":".join(helpers.OPERATOR)
        return await asyncio.to_thread(
            adminclient.send_request, self.admin, method, path, fields, credential
        )

    async def change(self, method, path, operation, **fields):
        return await self.fetch(method, path, {"operation": operation, **fields})

    async def put(self, table, operation, expected, **item):
        path = f"/v1/{table}/{item['name']}"
        return await self.change(
            "PUT", path, operation, expected_revision=expected, item=item
        )


def scenario(tmp_path, test, timeout_s=20):
    async def body():
        fleet = Fleet(tmp_path)
        await fleet.control.start()
        try:
            await test(fleet)
        finally:
            await fleet.control.abort()

    helpers.run(body(), timeout_s)


def test_change_reaches_the_daemon_and_is_in_force(tmp_path):
    async def test(fleet):
        watch = helpers.make_watch("t1", [fleet.address])
        watch.start()
        loop = asyncio.get_running_loop()
        await helpers.eventually(lambda: watch.is_fresh(loop.time()))
        await helpers.eventually(lambda: "t1" in watch.state.targets)
        status, value = await fleet.put(
            "profiles", "operation-1", 0, **helpers.plain_profile("p")
        )
        assert (status, value["accepted"]) == (200, True)
        path = f"/v1/revisions/{value['revision']}?wait_ms=5000"
        status, value = await fleet.fetch("GET", path)
        assert (status, value["in_force"], value["laggards"]) == (200, True, [])
        assert "p" in watch.state.profiles
        await watch.drain()
        assert watch.state.targets["t1"].state == "draining"
        await watch.leave()
        assert fleet.control.store.state.targets["t1"].state == "left"

    scenario(tmp_path, test)


def test_change_right_after_an_election_is_not_in_force_at_once(tmp_path):
    """Guards against keys served by daemons that pinged only the former leader."""

    async def test(fleet):
        _, value = await fleet.put(
            "profiles", "operation-1", 0, **helpers.plain_profile("p")
        )
        path = f"/v1/revisions/{value['revision']}?wait_ms="
        _, at_once = await fleet.fetch("GET", f"{path}0")
        _, awaited = await fleet.fetch("GET", f"{path}5000")
        assert (at_once["in_force"], awaited["in_force"]) == (False, True)

    scenario(tmp_path, test)


def test_laggard_is_named_until_its_freshness_expired(tmp_path):
    """Guards against reporting "in force" while a daemon uses a stale one."""

    async def test(fleet):
        watch = helpers.make_watch("t1", [fleet.address])
        watch.start()
        await helpers.eventually(lambda: "t1" in watch.state.targets)
        await watch.stop()
        _, value = await fleet.put(
            "profiles", "operation-1", 0, **helpers.plain_profile("p")
        )
        path = f"/v1/revisions/{value['revision']}"
        _, value = await fleet.fetch("GET", path)
        assert (value["accepted"], value["in_force"]) == (True, False)
        assert [item["name"] for item in value["laggards"]] == ["t1"]
        _, value = await fleet.fetch("GET", f"{path}?wait_ms=5000")
        assert value["in_force"]
        _, value = await fleet.fetch("GET", "/v1/revisions/99")
        assert not value["accepted"]

    scenario(tmp_path, test)


def test_requests_without_a_credential_are_refused(tmp_path):
    async def test(fleet):
        for credential in ("op:wrong", "other:an operator's secret", "op"):
            status, value = await fleet.fetch("GET", "/v1/keys", credential=credential)
            assert (status, value["error"]["kind"]) == (401, "credential_refused")
        assert (await fleet.fetch("GET", "/v1/nothing"))[0] == 404
        assert (await fleet.fetch("POST", "/v1/profiles"))[0] == 405

    scenario(tmp_path, test)


def test_credentials_refuse_malformed_headers():
    operators = credentials.Credentials({"op": "a secret of 16 bytes"})
    good = base64.b64encode(b"op:a secret of 16 bytes").decode()
    assert operators.authenticate(f"Basic {good}") == "op"
    for header in ("", "Basic", "Basic !!", f"Bearer {good}", f"Basic {good[:-4]}"):
        assert operators.authenticate(header) is None


def test_operators_race_and_resend(tmp_path):
    """Guards against a lost update, and against a resend that is applied twice."""

    async def test(fleet):
        await fleet.put("accounts", "operation-1", 0, name="a", rate=5.0, burst=5.0)
        changes = [
            fleet.put("accounts", f"operation-r{rate}", 1, name="a", rate=rate, burst=1)
            for rate in (10.0, 20.0)
        ]
        responses = await asyncio.gather(*changes)
        assert sorted(status for status, _ in responses) == [200, 409]
        loser = next(value for status, value in responses if status == 409)
        assert loser["error"]["kind"] == "conflict"
        assert loser["error"]["present_revision"] == 2
        again = [
            await fleet.put(
                "accounts", f"operation-r{rate}", 1, name="a", rate=rate, burst=1
            )
            for rate in (10.0, 20.0)
        ]
        assert again == responses
        assert fleet.control.store.revision == 2
        status, value = await fleet.put(
            "accounts", "operation-1", 0, name="a", rate=6.0, burst=5.0
        )
        assert (status, value["error"]["kind"]) == (409, "operation_reused")

    scenario(tmp_path, test)


def test_key_is_shown_to_resends_with_the_seed_only(tmp_path):
    """Guards against a key lost with its response, and against storing its text."""

    async def test(fleet):
        await fleet.put("accounts", "operation-1", 0, name="a", rate=5.0, burst=5.0)
        issue = {"account": "a", "seed": "5" * 32}
        status, first = await fleet.change("POST", "/v1/keys", "operation-2", **issue)
        assert status == 200
        assert fleet.control.store.state.account_for_key(first["key"], helpers.SECRET)
        _, again = await fleet.change("POST", "/v1/keys", "operation-2", **issue)
        assert again == first
        _, other = await fleet.change("POST", "/v1/keys", "operation-2", account="a")
        assert "key" not in other
        _, second = await fleet.change("POST", "/v1/keys", "operation-3", account="a")
        _, listed = await fleet.fetch("GET", "/v1/keys?account=a")
        assert len(listed["keys"]) == 2
        assert first["key"].encode() not in fleet.control.store.snapshot()
        path = f"/v1/keys/{first['key_id']}"
        await fleet.change("DELETE", path, "operation-4")
        state = fleet.control.store.state
        assert state.account_for_key(first["key"], helpers.SECRET) is None
        assert state.account_for_key(second["key"], helpers.SECRET).name == "a"

    scenario(tmp_path, test)


def test_invalid_changes_are_refused_completely(tmp_path):
    async def test(fleet):
        status, value = await fleet.put(
            "routes", "operation-1", 0, name="r", service="s", profile="none"
        )
        assert (status, value["error"]["kind"]) == (422, "invalid")
        assert fleet.control.store.revision == 0
        status, _ = await fleet.put("profiles", "operation-2", 0, name="p", speed=1)
        assert status == 422
        status, _ = await fleet.change("PUT", "/v1/profiles/p", "operation-3", item=3)
        assert status == 400

    scenario(tmp_path, test)


def test_daemon_uses_granted_shares_until_the_account_is_deleted(tmp_path):
    """Guards against grants that do not reach the daemon or outlive the account."""

    async def test(fleet):
        holder = limits.ShareHolder()
        watch = helpers.make_watch("t1", [fleet.address], holder)
        watch.start()
        await fleet.put("accounts", "operation-1", 0, name="a", rate=50.0, burst=10.0)
        loop = asyncio.get_running_loop()

        def acquires_token():
            acquired = holder.try_acquire(loop.time(), "a")
            return acquired.kind is limits.AcquireStatus.ACQUIRED

        async with asyncio.timeout(3):
            while not acquires_token():
                await asyncio.sleep(0.1)
        revision = fleet.control.store.state.accounts["a"].revision
        await fleet.change(
            "DELETE", "/v1/accounts/a", "operation-2", expected_revision=revision
        )
        await helpers.eventually(lambda: "a" not in watch.state.accounts)
        assert not acquires_token()
        await watch.stop()

    scenario(tmp_path, test)


def test_full_disk_refuses_changes_and_serves_reads(tmp_path):
    async def test(fleet):
        await fleet.put("accounts", "operation-1", 0, name="a", rate=5.0, burst=5.0)
        full = exceptions.DiskFullError("the disk is full", "free space")
        fleet.control.replica.failure = full
        status, value = await fleet.put(
            "accounts", "operation-2", 1, name="a", rate=6.0, burst=5.0
        )
        assert (status, value["error"]["kind"]) == (507, "disk_full")
        status, value = await fleet.fetch("GET", "/v1/accounts/a")
        assert (status, value["item"]["rate"]) == (200, 5.0)

    scenario(tmp_path, test)


def test_ping_that_cannot_be_handled_leaves_the_others_answered(tmp_path):
    """Guards against one daemon's ping that ends the freshness of all others."""

    async def test(fleet):
        ping = {"incarnation": 1, "sequence": 1, "applied": 0, "raft_term": 1}
        pings = [ping | {"daemon": name} for name in ("a", "b")]
        del pings[0]["daemon"]
        answered = await fleet.control.leadership.handle("pings", {"pings": pings})
        assert answered.unwrap()["grants"] == [None, []]

    scenario(tmp_path, test)


def test_revision_of_a_restored_snapshot_is_not_in_force_at_once(tmp_path):
    """Guards against a new leader that confirms a change before daemons apply it."""

    async def test(fleet):
        watch = helpers.make_watch("t1", [fleet.address])
        watch.start()
        loop = asyncio.get_running_loop()
        await helpers.eventually(lambda: watch.is_fresh(loop.time()))
        await watch.stop()
        _, value = await fleet.put(
            "profiles", "operation-1", 0, **helpers.plain_profile("p")
        )
        _, later = await fleet.put(
            "profiles", "operation-2", 0, **helpers.plain_profile("q")
        )
        leader = fleet.control.leadership
        # As after a snapshot, which holds only the last revision.
        del leader._applied_at[value["revision"]]
        path = f"/v1/revisions/{value['revision']}?wait_ms=0"
        _, value = await fleet.fetch("GET", path)
        assert (value["in_force"], later["accepted"]) == (False, True)

    scenario(tmp_path, test)


def test_instance_links_to_its_settings_members_until_a_known_member_leads(tmp_path):
    """Guards against an instance whose known members were all replaced meanwhile."""
    listed = {"c1": helpers.free_address(), "c9": helpers.free_address()}
    settings = helpers.control_settings(tmp_path, "c1", listed)
    known = members.Membership([members.Member("c2", "1", "c2:1")])
    assert control.link_addresses(settings, known, "c2") == {"c2": "c2:1"}
    for leader in (None, "c9"):
        linked = control.link_addresses(settings, known, leader)
        assert linked == listed | {"c2": "c2:1"}


def test_changed_seeds_are_contacts_of_an_instance_that_was_replaced(tmp_path):
    """Guards against an instance that announces itself to former seeds only."""

    async def check(fleet):
        listed = {"c1": fleet.address, "c9": helpers.free_address()}
        changed = helpers.control_settings(tmp_path, "c1", listed)
        fleet.control.reload(changed)
        assert fleet.control.replica.contacts == {"c1", "c9"}

    scenario(tmp_path, check)
