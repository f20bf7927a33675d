import asyncio

import helpers
import pytest
from returns import result

from toucanfold import exceptions, link, messages

SECRET = b"0123456789abcdef"


class Recorder:
    """LinkHandler that records its calls."""

    def __init__(self):
        self.opened = []
        self.received = []
        self.closed = []

    def on_open(self, opened):
        self.opened.append(opened)

    def on_message(self, source, message):
        self.received.append(message)

    def on_close(self, closed, reason):
        self.closed.append(reason)


def identity(name, secret=SECRET, fleet="f"):
    return link.Identity(fleet, secret, "daemon", name, 1)


async def pair(opener, acceptor):
    address = helpers.free_address()
    handlers = Recorder(), Recorder()
    server = await link.listen(address, acceptor, handlers[1])
    connected = await link.connect(address, opener, handlers[0])
    return server, connected, handlers


def test_messages_arrive_in_order():
    async def scenario():
        server, connected, handlers = await pair(identity("a"), identity("b"))
        opened = connected.unwrap()
        for number in range(100):
            opened.send(messages.Cancel(number))
        await asyncio.sleep(0.1)
        assert [item.id for item in handlers[1].received] == list(range(100))
        assert handlers[1].opened[0].peer.name == "a"
        opened.close("done")
        await asyncio.sleep(0.05)
        assert handlers[0].closed == ["done"]
        assert len(handlers[1].closed) == 1
        server.close()

    helpers.run(scenario())


def test_peer_without_the_secret_is_refused():
    """Guards against an unauthenticated process that joins the fleet."""

    async def scenario():
        other = identity("a", secret=b"another secret of 16")
        server, connected, handlers = await pair(other, identity("b"))
        assert isinstance(connected, result.Failure)
        assert handlers[1].opened == []
        server.close()

    helpers.run(scenario())


def test_message_before_the_handshake_closes():
    async def scenario():
        address = helpers.free_address()
        owner = Recorder()
        server = await link.listen(address, identity("b"), owner)
        reader, writer = await asyncio.open_connection(*link.split_address(address))
        writer.write(messages.encode(messages.Cancel(1)))
        assert await reader.read() == b""
        assert owner.received == []
        writer.close()
        server.close()

    helpers.run(scenario())


def test_link_without_frames_is_closed():
    """Guards against a connection that stays open although no frame arrives."""

    async def scenario():
        server, connected, handlers = await pair(identity("a"), identity("b"))
        opened = connected.unwrap()
        handlers[1].opened[0]._transport.pause_reading()
        await asyncio.sleep(link.FRAME_TIMEOUT_S + 2 * link.HEARTBEAT_INTERVAL_S)
        assert not opened.is_open
        assert len(handlers[0].closed) == 1
        server.close()

    helpers.run(scenario())


def test_heartbeats_of_all_links_share_one_wake_up():
    """Guards against a daemon that wakes up for each of its many links."""

    async def check():
        loop = asyncio.get_running_loop()
        identity = link.Identity("f", b"secret of the test", "daemon", "a", 1234)
        links = [link.Link(identity, None, opener=True) for _ in range(5)]
        times = set()
        for opened in links:
            opened._schedule_heartbeat()
            times.add(round(opened._timer.when(), 6))
            opened._timer.cancel()
            await asyncio.sleep(0.002)
        assert len(times) <= 2
        assert all(0 < when - loop.time() + 0.1 <= 0.6 for when in times)

    helpers.run(check())


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:99999", ":", "a\x00b:1"])
def test_malformed_address_is_a_failed_connect(address):
    """Guards against an exception that ends the task that keeps a link open."""

    async def scenario():
        connected = await link.connect(address, identity("a"), Recorder())
        assert isinstance(connected.failure(), exceptions.LinkError)

    helpers.run(scenario())


@pytest.mark.parametrize(
    ("location", "scope"),
    [
        (("r1", "d1"), "data_centre"),
        (("r1", "d2"), "region"),
        (("r2", "d3"), "other_region"),
    ],
)
def test_sent_bytes_are_counted_by_message_and_distance(location, scope):
    """Guards against traffic between regions that nobody can attribute."""

    async def scenario():
        opener, acceptor = identity("a"), identity("b")
        opener.region, opener.data_centre = "r1", "d1"
        acceptor.region, acceptor.data_centre = location
        server, connected, _ = await pair(opener, acceptor)
        before = opener.sent.sent_bytes(scope)
        message = messages.Cancel(7)
        connected.unwrap().send(message)
        counted = {(row["message"], row["scope"]): row for row in opener.sent.dump()}
        assert counted["cancel", scope]["messages"] == 1
        assert counted["cancel", scope]["bytes"] == len(messages.encode(message))
        assert opener.sent.sent_bytes(scope) - before == len(messages.encode(message))
        connected.unwrap().close("end of the test")
        server.close()

    helpers.run(scenario())
