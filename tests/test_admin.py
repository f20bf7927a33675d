import asyncio
import json

import helpers
import pytest
from test_control import Fleet, scenario

from toucanfold import admin, adminclient, cmdline, debug, link


async def run(fleet, capsys, *words, addresses=None):
    """Run the subcommand in a thread; return its exit status, JSON value and stderr."""
    credentials_path = fleet.settings.get("control", "admin_file")
    flags = [
        f"--address={','.join(addresses or [fleet.admin])}",
        f"--credential_file={credentials_path}",
    ]
    for name in ("operation", "seed"):
        admin.FLAGS[name].value = ""
    admin.FLAGS["expected_revision"].value = None
    status = await asyncio.to_thread(cmdline.main, ["admin", *flags, *words])
    captured = capsys.readouterr()
    return status, json.loads(captured.out) if captured.out else None, captured.err


async def forward(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)


async def response_dropping_proxy(address, lost):
    """Forward requests; drop one response for each item of lost."""

    async def serve(reader, writer):
        upstream = await asyncio.open_connection(*link.split_address(address))
        # A request may arrive in pieces.
        forwarding = asyncio.ensure_future(forward(reader, upstream[1]))
        answer = await upstream[0].read(65536)
        forwarding.cancel()
        if lost:
            lost.pop()
        else:
            writer.write(answer)
        writer.close()
        upstream[1].close()

    listen_address = helpers.free_address()
    server = await asyncio.start_server(serve, *link.split_address(listen_address))
    return listen_address, server


def test_commands_end_to_end(tmp_path, capsys):
    async def test(fleet):
        profile = helpers.plain_profile("p")
        steps = [
            ["profile", "put", json.dumps(profile)],
            ["profile", "put", json.dumps({**profile, "attempts": 2})],
            ["route", "put", '{"name": "r", "service": "s", "profile": "p"}'],
            ["account", "put", '{"name": "a", "rate": 5, "burst": 5}'],
        ]
        for words in steps:
            status, value, _ = await run(fleet, capsys, *words)
            assert (status, value["accepted"]) == (0, True)
        _, value, _ = await run(fleet, capsys, "profile", "get", "p")
        assert value["item"]["attempts"] == 2
        _, issued, _ = await run(fleet, capsys, "key", "issue", "a")
        assert issued["key"].startswith("tfk_")
        status, _, errors = await run(fleet, capsys, "account", "delete", "a")
        assert (status, "withdraw its keys" in errors) == (1, True)
        await run(fleet, capsys, "key", "withdraw", issued["key_id"])
        _, value, _ = await run(fleet, capsys, "key", "list", "a")
        assert value["keys"] == []
        assert (await run(fleet, capsys, "account", "delete", "a"))[0] == 0
        status, value, _ = await run(fleet, capsys, "wait", str(value["revision"]))
        assert (status, value["in_force"]) == (0, True)
        assert (await run(fleet, capsys, "wait", "999", "--wait_ms=0"))[0] == 1
        _, value, _ = await run(fleet, capsys, "status")
        assert value["counts"]["routes"] == 1

    scenario(tmp_path, test)


def test_drain_by_an_operator_reaches_the_daemon(tmp_path, capsys):
    async def test(fleet):
        watch = helpers.make_watch("t1", [fleet.address])
        watch.start()
        await helpers.eventually(lambda: "t1" in watch.state.targets)
        for action, state in (("drain", "draining"), ("undrain", "up")):
            assert (await run(fleet, capsys, "target", action, "t1"))[0] == 0
            await helpers.eventually(
                lambda state=state: watch.state.targets["t1"].state == state, 2
            )
        await watch.stop()
        assert (await run(fleet, capsys, "target", "ended", "t1"))[0] == 0
        assert fleet.control.store.state.targets["t1"].state == "left"

    scenario(tmp_path, test)


def test_change_is_applied_once_when_its_response_is_lost(tmp_path, capsys):
    """Guards against a change applied twice and a key lost with its response."""

    async def test(fleet):
        lost = [1]
        address, server = await response_dropping_proxy(fleet.admin, lost)
        either_address = [address, fleet.admin]
        await run(
            fleet,
            capsys,
            *("account", "put", '{"name": "a", "rate": 5, "burst": 5}'),
            addresses=either_address,
        )
        lost.extend([1, 1])
        status, value, _ = await run(
            fleet, capsys, "key", "issue", "a", addresses=[address]
        )
        assert (status, lost) == (0, [])
        state = fleet.control.store.state
        assert state.account_for_key(value["key"], helpers.SECRET).name == "a"
        assert (len(state.keys), state.revision) == (1, 2)
        server.close()

    scenario(tmp_path, test)


def test_unreachable_control_names_the_operation_to_resend(
    tmp_path, capsys, monkeypatch
):
    monkeypatch.setattr(adminclient, "RETRY_DELAY_S", 0.0)

    async def test(fleet):
        unreachable = [helpers.free_address()]
        status, _, errors = await run(
            fleet, capsys, "key", "issue", "a", addresses=unreachable
        )
        assert status == 1
        assert "--operation=" in errors
        assert "--seed=" in errors

    scenario(tmp_path, test)


@pytest.mark.parametrize("words", [["what"], ["key", "lose"], ["profile", "put", "{"]])
def test_wrong_usage_is_explained(tmp_path, capsys, words):
    async def test(fleet):
        status, _, errors = await run(fleet, capsys, *words)
        assert (status, "Remedy" in errors) == (2, True)

    scenario(tmp_path, test)


def test_debug_prints_the_state(tmp_path, capsys):
    async def test(fleet: Fleet):
        file = fleet.settings.get("control", "admin_file")
        flags = [f"--address={fleet.admin}", f"--credential_file={file}"]
        assert await asyncio.to_thread(debug.main, flags) == 0
        dump = json.loads(capsys.readouterr().out)
        assert (dump["name"], dump["role"]) == ("c1", "control")

    scenario(tmp_path, test)
