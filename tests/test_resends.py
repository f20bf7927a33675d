"""Tests the bound on callers' resends."""

import helpers
import pytest
from fleetparts import Fleet, Recorder, fetch, fleet_state

from toucanfold import calls, httpserver, model, resends, retries

MAX_TOKENS = int(retries.MAX_TOKENS)
SHED = httpserver.Response(503, [(b"toucanfold-not-run", b"1")], b"")


async def start(fleet, answer=None):
    target = Recorder(answer)
    await fleet.daemon("a", "shop", await fleet.target(target))
    return target


async def send(fleet, count=1, **fields):
    """Send requests in sequence; return the kind of refusal or ok for each."""
    kinds = []
    for _ in range(count):
        reply = await fetch(fleet.address("a"), **fields)
        if reply.status == 200:
            kinds.append("ok")
            continue
        kinds.append(reply.body.decode().partition('"kind": "')[2].partition('"')[0])
        if kinds[-1] == "retries_exhausted":
            assert reply.headers["toucanfold-outcome"] == "not-run"
            assert int(reply.headers["retry-after"]) >= 1
    return kinds


async def shed(request):
    return SHED


@pytest.mark.parametrize("fields", [{"Toucanfold_Attempt": "1"}, {}])
def test_resends_are_bounded_by_the_budget(fields):
    """Guards against clients whose many resends prolong an overload."""

    async def scenario():
        async with Fleet(fleet_state(attempts=0)) as fleet:
            target = await start(fleet, shed)
            if not fields:
                fields["Idempotency_Key"] = "k"
                assert await send(fleet, **fields) == ["overloaded"]
            target.requests.clear()
            kinds = await send(fleet, MAX_TOKENS + 3, **fields)
            assert kinds[:MAX_TOKENS] == ["overloaded"] * MAX_TOKENS
            assert kinds[MAX_TOKENS:] == ["retries_exhausted"] * 3
            assert len(target.requests) == MAX_TOKENS
            # First sends and other keys are not resends.
            assert await send(fleet, Idempotency_Key="other") == ["overloaded"]

    helpers.run(scenario())


def test_occasional_resends_are_not_refused():
    """Guards against refusing a client that resends one request in ten."""

    async def scenario():
        async with Fleet(fleet_state(attempts=0)) as fleet:
            await start(fleet)
            for _ in range(2 * MAX_TOKENS):
                assert await send(fleet, 10) == ["ok"] * 10
                assert await send(fleet, Toucanfold_Attempt="1") == ["ok"]

    helpers.run(scenario())


def test_recorded_answers_need_no_budget():
    """Guards against hiding the outcome of a booking from its caller."""

    async def scenario():
        async with Fleet(fleet_state(attempts=0, idempotent=False)) as fleet:
            target = await start(fleet)
            me = fleet.state.targets["a"]
            for number in range(model.SLOTS_PER_SERVICE):
                fleet.state.slots["shop", number] = model.Slot(
                    "shop", number, 1, "a", me.incarnation
                )
            fleet.source.publish()
            assert await send(fleet, Idempotency_Key="booking") == ["ok"]
            await send(fleet, 2 * MAX_TOKENS, Toucanfold_Attempt="1")
            kinds = await send(fleet, Toucanfold_Attempt="1")
            assert kinds == ["retries_exhausted"]
            count = len(target.requests)
            fields = {"Idempotency_Key": "booking", "Toucanfold_Attempt": "1"}
            assert await send(fleet, 3, **fields) == ["ok"] * 3
            assert len(target.requests) == count

    helpers.run(scenario())


def test_refused_keys_are_kept_for_a_minute_in_bounds(monkeypatch):
    monkeypatch.setattr(resends, "MAX_REMEMBERED_KEYS", 5)
    refused_keys = resends.Resends()
    refused = calls.refuse(calls.RefusalKind.OVERLOADED, "")

    def call(key, account="acme"):
        return calls.Call(
            "r", "s", "GET", "/", [], b"", account, 2, True, 9, 0, idempotency_key=key
        )

    refused_keys.on_answer(0.0, call("k"), refused)
    assert refused_keys.is_resend(59.0, call("k"), 0)
    assert not refused_keys.is_resend(59.0, call("k", "other"), 0)
    assert not refused_keys.is_resend(61.0, call("k"), 0)
    refused_keys.on_answer(0.0, call(""), refused)
    assert not refused_keys.is_resend(1.0, call(""), 0)
    refused_keys.on_answer(1.0, call("done"), calls.Answer(200))
    assert not refused_keys.is_resend(1.0, call("done"), 0)
    for at in range(9):
        refused_keys.on_answer(2.0 + at, call(str(at)), refused)
    assert len(refused_keys) == 5 and refused_keys.is_resend(11.0, call("8"), 0)
    refused_keys.on_answer(100.0, call("new"), refused)
    assert len(refused_keys) == 1
