"""Tests of what a daemon confirms to its target, and whose announcements count."""

import asyncio
import dataclasses

import helpers
import pytest

from toucanfold import model, registration, targetstatus

ADDRESS = "10.0.0.1:80"
RECORDED = registration.Confirmation.RECORDED
NOT_RECORDED = registration.Confirmation.NOT_RECORDED
REJECTED = registration.Confirmation.REJECTED


def announcement(instance="i-1", started_at_ms=1000, sequence=1, **changes):
    fields = {
        "is_ready": True,
        "concurrency_limit": 9,
        "service": "s1",
        "address": ADDRESS,
        "data_centre": "z",
        **changes,
    }
    return targetstatus.Announcement(instance, started_at_ms, sequence, **fields)


def rig_of(record=None):
    return helpers.RegistrationRig(ADDRESS, "z", "s1", record=record)


def recorded_target(service="s1", **fields):
    """Return the directory's record of an earlier incarnation of the daemon."""
    return model.Target("t", 1, service, "r", "z", "127.0.0.1:1", **fields)


async def announce(rig, item, unix_s=helpers.EPOCH_S):
    now = asyncio.get_running_loop().time()
    return await rig.registration.announce(now, unix_s, item)


async def withdraw(rig, instance="i-1", unix_s=helpers.EPOCH_S):
    now = asyncio.get_running_loop().time()
    return await rig.registration.withdraw(now, unix_s, instance)


async def drain(rig):
    return await announce(rig, announcement(sequence=2, is_ready=False))


def scenario(check):
    def run():
        helpers.run_in_virtual_time(check())

    run.__name__, run.__doc__ = check.__name__, check.__doc__
    return run


@pytest.mark.parametrize("depart", [drain, withdraw])
def test_departure_is_confirmed_only_once_control_has_recorded_it(depart):
    """Guards against a confirmed departure that a restarted daemon does not know."""

    async def check():
        rig = rig_of()
        assert await announce(rig, announcement()) is RECORDED
        rig.is_recording = False
        departing = asyncio.create_task(depart(rig))
        await asyncio.sleep(0.5)
        assert not departing.done()
        assert not rig.status.accepts_calls
        rig.record()
        assert await departing is RECORDED

    helpers.run_in_virtual_time(check())


@pytest.mark.parametrize("depart", [drain, withdraw])
def test_departure_that_control_cannot_record_is_not_confirmed(depart):
    """Guards against a promise that is given while control has no leader."""

    async def check():
        rig = rig_of()
        await announce(rig, announcement())
        rig.is_recording = False
        for _ in range(2):
            assert await depart(rig) is NOT_RECORDED
        assert not rig.status.accepts_calls
        rig.record()
        assert await depart(rig) is RECORDED

    helpers.run_in_virtual_time(check())


@scenario
async def test_draining_counts_whatever_its_sequence_is():
    """Guards against a confirmed departure that counts as stale and has no effect."""
    rig = rig_of()
    await announce(rig, announcement(sequence=1000))
    assert await drain(rig) is RECORDED
    assert not rig.status.accepts_calls
    assert await announce(rig, announcement(sequence=1001)) is RECORDED
    assert not rig.status.accepts_calls


@scenario
async def test_departure_of_a_start_whose_id_is_used_is_not_confirmed():
    """Guards against a promise about an instance to which calls are sent."""
    rig = rig_of()
    await announce(rig, announcement(started_at_ms=2000))
    assert await drain(rig) is NOT_RECORDED
    assert rig.status.accepts_calls


@scenario
async def test_restarted_daemon_remembers_the_instance_that_withdraws():
    """Guards against a late announcement that revives an instance which left while
    its restarted daemon did not know it.
    """
    rig = rig_of(recorded_target(target_instance="1000/i-1"))
    rig.confirm_state()
    assert await withdraw(rig) is RECORDED
    assert rig.recorded.departed.endswith("/i-1")
    await announce(rig, announcement(sequence=9))
    assert not rig.status.accepts_calls
    successor = announcement("i-2", int(helpers.EPOCH_S * 1000) + 5000)
    assert await announce(rig, successor) is RECORDED
    assert rig.status.accepts_calls


@scenario
async def test_nothing_is_confirmed_before_the_directory_is_known():
    """Guards against a daemon that confirms what its former incarnation knew."""
    rig = rig_of(recorded_target(target_instance="1000/i-1", departed="1000/i-1"))
    assert await withdraw(rig) is NOT_RECORDED
    assert await announce(rig, announcement()) is NOT_RECORDED
    assert not rig.status.accepts_calls
    rig.confirm_state()
    assert await announce(rig, announcement(sequence=2)) is RECORDED
    assert not rig.status.accepts_calls


@scenario
async def test_announcement_that_waited_for_the_directory_counts():
    """Guards against a target that waits for its next announcement."""
    rig = rig_of(recorded_target())
    assert await announce(rig, announcement()) is NOT_RECORDED
    rig.confirm_state()
    assert rig.status.accepts_calls


@scenario
async def test_earlier_start_than_the_recorded_one_is_stale():
    """Guards against a late announcement of the former target at the address."""
    recorded = recorded_target(
        "s2", target_instance="2000/i-2", configured_service="s1"
    )
    rig = rig_of(recorded)
    rig.confirm_state()
    await announce(rig, announcement("i-1", 1000))
    assert not rig.status.accepts_calls
    assert rig.status.service == "s2"


@scenario
async def test_withdrawal_of_an_unknown_instance_is_not_confirmed():
    """Guards against a promise about an instance whose start is not known."""
    rig = rig_of()
    assert await withdraw(rig, "i-9") is NOT_RECORDED
    await announce(rig, announcement())
    assert await withdraw(rig, "i-9") is NOT_RECORDED
    assert rig.status.accepts_calls


@scenario
async def test_withdrawal_is_confirmed_again():
    """Guards against a target that waits for a confirmation which was lost."""
    rig = rig_of()
    await announce(rig, announcement())
    assert await withdraw(rig) is RECORDED
    assert await withdraw(rig) is RECORDED
    await announce(rig, announcement("i-2", int(helpers.EPOCH_S * 1000) + 1))
    assert await withdraw(rig) is RECORDED
    assert rig.status.accepts_calls


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.2:80"},
        {"address": "10.0.0.1:81"},
        {"address": "10.0.0.1"},
        {"data_centre": "elsewhere"},
        {"service": "unknown"},
        {"started_at_ms": int((helpers.EPOCH_S + 61) * 1000)},
    ],
)
def test_announcement_of_another_target_is_rejected(change):
    """Guards against another writer that changes the caller which is named."""

    async def check():
        rig = rig_of()
        await announce(rig, announcement())
        other = announcement("i-other", 2000, service="s2")
        assert await announce(rig, dataclasses.replace(other, **change)) is REJECTED
        assert (rig.status.instance, rig.status.service) == ("i-1", "s1")
        assert await drain(rig) is RECORDED

    helpers.run_in_virtual_time(check())


@scenario
async def test_start_that_changes_its_service_is_rejected():
    """Guards against a service that another writer gives to the target's own start."""
    rig = rig_of()
    await announce(rig, announcement())
    assert await announce(rig, announcement(sequence=2, service="s2")) is REJECTED
    assert rig.status.service == "s1"


@pytest.mark.parametrize(
    ("recorded", "settings", "expected"),
    [
        # The settings never named the target's service.
        (recorded_target("s2", configured_service="s1"), "s1", "s2"),
        # They have changed since the target announced itself.
        (recorded_target("s2"), "s1", "s1"),
        (recorded_target("s2", configured_service="s3"), "s1", "s1"),
        (recorded_target("s1"), "s1", "s1"),
    ],
)
def test_restarted_daemon_knows_the_service_at_a_reused_address(
    recorded, settings, expected
):
    """Guards against a restarted daemon that names another service as the caller."""

    async def check():
        recorded.target_instance = "1000/i-1"
        rig = helpers.RegistrationRig(ADDRESS, "z", settings, record=recorded)
        rig.confirm_state()
        assert rig.status.service == expected
        late = announcement("i-1", 1000, 9, service="s2")
        await announce(rig, late)
        assert rig.status.service == expected

    helpers.run_in_virtual_time(check())


@scenario
async def test_changed_settings_name_the_service_before_the_first_announcement():
    """Guards against calls under the service of the former target at the address."""
    rig = rig_of()
    await announce(rig, announcement())
    rig.registration.on_settings(helpers.EPOCH_S, "s2")
    rig.record()
    assert rig.status.service == "s2" and not rig.status.accepts_calls
    assert await announce(rig, announcement(sequence=9)) is RECORDED
    assert rig.status.service == "s2" and not rig.status.accepts_calls
    assert await announce(rig, announcement("i-2", 2000, service="s2")) is RECORDED
    assert rig.status.accepts_calls


@scenario
async def test_late_first_announcement_of_the_former_target_changes_no_service():
    """Guards against a target that ended before its first announcement arrived."""
    rig = rig_of()
    rig.registration.on_settings(helpers.EPOCH_S, "s2")
    await announce(rig, announcement())
    assert rig.status.service == "" and not rig.status.accepts_calls
