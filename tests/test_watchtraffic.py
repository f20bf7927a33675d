"""Tests of what the watch sends, where many daemons start or little changes."""

import asyncio

import helpers
import hypothesis
from hypothesis import strategies

from toucanfold import commands, link, messages, model, store, watchers, watchstate


class FakeLink:
    """Records the messages sent over it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


class FakePeers:
    """Control's peers that know no other instance."""

    def instances(self):
        return []


def announce(fleet, number):
    item = {
        "name": f"sidecar-{number}",
        "incarnation": 1 << 60 | number,
        "service": "tickets",
        "region": "r1",
        "data_centre": "d1",
        "link_address": f"10.1.0.{number}:7000",
    }
    outcome = fleet.apply(
        fleet.index + 1, commands.encode(commands.AnnounceTarget(target=item))
    )
    assert outcome["ok"]


def fleet_of(size):
    fleet = store.FleetStore()
    for number in range(1, size + 1):
        announce(fleet, number)
    return fleet


def pong_for(fleet, applied_revision, accepts_packed_deltas):
    server = watchers.WatchServer(fleet, FakePeers())
    session = watchers.Session(FakeLink(), "d", 1)
    ping = messages.WatchPing(
        1, applied_revision, accepts_packed_deltas=accepts_packed_deltas
    )
    return server._make_pong(session, ping, 1, [])


def test_packed_deltas_take_a_fraction_of_the_bytes():
    """Guards against a start of many daemons that fills the paths between regions."""
    fleet = fleet_of(100)
    plain, packed = (
        len(messages.encode(pong_for(fleet, 1, accepts))) for accepts in (False, True)
    )
    assert packed < plain / 5
    watched = watchstate.WatchState()
    watched.on_pong(0.0, pong_for(fleet, 0, True))
    assert watched.state.to_json() == fleet.state.to_json()


def test_daemons_of_an_earlier_version_get_plain_deltas():
    """Guards against daemons that lose control while the fleet is upgraded."""
    pong = pong_for(fleet_of(100), 1, False)
    assert len(pong.deltas) == 99 and not pong.packed_deltas


@hypothesis.given(strategies.lists(strategies.binary(max_size=50), max_size=20))
def test_packed_deltas_are_unpacked_unchanged(deltas):
    assert model.unpack_deltas(model.pack_deltas(deltas)) == deltas


def test_recorded_announcement_is_not_sent_again():
    """Guards against pings that repeat what control knows."""

    async def scenario():
        watched = helpers.make_watch("sidecar-1", ["127.0.0.1:1"])
        watched._link = FakeLink()
        announcement = watched._announcement
        watched._send_ping(0.0)
        assert watched._link.sent[-1].announcement == announcement
        fields = {
            field: getattr(announcement, field)
            for field in watchers.ANNOUNCEMENT_FIELDS
        }
        target = watched.state.targets["sidecar-1"] = model.Target(**fields)
        watched._send_ping(0.1)
        assert watched._link.sent[-1].announcement == messages.Announcement()
        target.state = "lost"
        watched._send_ping(0.2)
        assert watched._link.sent[-1].announcement == announcement

    helpers.run(scenario())


def test_daemon_moves_at_once_to_a_near_instance_that_joins_later():
    """Guards against daemons that stay at an instance of another region after their
    start because their own region's instance joined control a little later.
    """

    async def scenario():
        watched = helpers.make_watch("d", ["seed:1"])
        watched._identity = link.Identity("f", b"", "daemon", "d", 1, "r1", "d1")
        far = messages.Instance("far:1", "r2", "d2")
        near = messages.Instance("near:1", "r1", "d1")
        watched._address = "far:1"
        watched._update_addresses([far])
        assert not watched._should_fail_back(1.0, 0.0)
        watched._update_addresses([far, near])
        assert watched._should_fail_back(1.5, 0.0)
        # Only once: a failed move waits as any other.
        assert not watched._should_fail_back(1.6, 0.0)
        await asyncio.sleep(0)

    helpers.run(scenario())


def test_changed_seeds_leave_a_daemon_at_its_nearest_instance():
    """Guards against daemons that move to another region when their seeds change."""

    async def scenario():
        watched = helpers.make_watch("d", ["near:1", "far:1"])
        watched._identity = link.Identity("f", b"", "daemon", "d", 1, "r1", "d1")
        near = messages.Instance("near:1", "r1", "d1")
        far = [messages.Instance(f"far:{number}", "r2", "d2") for number in (1, 2)]
        watched._update_addresses([*far, near])
        watched._address = "near:1"
        watched.set_control_addresses(["far:2", "new:1"])
        assert not watched._should_fail_back(60.0, 0.0)
        assert watched._addresses[0] == "near:1"
        assert watched._addresses[-1] == "new:1"

    helpers.run(scenario())


def test_daemon_that_starts_watches_the_nearest_seed():
    """Guards against a start of many daemons that all watch another region."""

    async def scenario():
        servers, addresses = [], []
        for region, data_centre in (("r2", "d3"), ("r1", "d2"), ("r1", "d1")):
            identity = link.Identity(
                "f", helpers.SECRET, "control", data_centre, 1, region, data_centre
            )
            addresses.append(helpers.free_address())
            servers.append(
                await link.listen(addresses[-1], identity, helpers.NullLinkHandler())
            )
        addresses.append(helpers.free_address())
        watched = helpers.make_watch("d", addresses)
        watched._identity.region, watched._identity.data_centre = "r1", "d1"
        assert await watched._connect()
        assert watched.dump(0.0)["control"] == addresses[2]
        watched._link.close("end of the test")
        for server in servers:
            server.close()

    helpers.run(scenario())
