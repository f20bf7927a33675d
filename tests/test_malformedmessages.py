"""Tests of malformed messages to the real processes of a fleet."""

import asyncio
import contextlib
import dataclasses
import random

import fleetparts
import helpers
import pytest

from toucanfold import (
    exceptions,
    link,
    localfleet,
    members,
    messages,
    processmanager,
)

MESSAGES_PER_LINK = 40
LINKS = 12
TEXTS = ("", "control-1", "daemon-1", "tickets", "nowhere", "x" * 300, "a/b", "\x00é")
NUMBERS = (0, 1, 2, 3, 1000, (1 << 16) - 1, (1 << 32) - 1, (1 << 63) - 1, (1 << 64) - 1)
FLOATS = (0.0, -1.0, 0.5, 1e300, float("inf"), float("-inf"), float("nan"))
RELAYS = ("command", "read", "in_force", "members", "join", "transfer", "pings", "none")
IDENTITIES = (("daemon", "intruder"), ("daemon", "daemon-1"), ("control", "control-9"))
ITEMS = (None, [], {}, {"name": 1}, {"name": "a", "rate": "x"}, {"name": "a" * 99})
RAW_REQUESTS = (
    b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /%zz?a=%ff HTTP/1.1\r\nHost: \xff\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 30 + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"PUT /v1/accounts/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n[[[[",
    b"\x16\x03\x01\x02\x00\x01\x00\x01",
)


def random_value(rng, nested, value):
    """Return a value of the type of a message's field."""
    if nested is not None and isinstance(value, list):
        return [random_message(rng, nested) for _ in range(rng.randrange(3))]
    if nested is not None:
        return random_message(rng, nested)
    if isinstance(value, bool):
        return rng.random() < 0.5
    if isinstance(value, int):
        return rng.choice(NUMBERS)
    if isinstance(value, float):
        return rng.choice(FLOATS)
    if isinstance(value, str):
        return rng.choice(TEXTS)
    if isinstance(value, bytes):
        return rng.choice((b"", b"{}", b"[1]", b"\x01x", rng.randbytes(20)))
    return [rng.randbytes(5)]


def random_message(rng, cls, identity=None):
    message = cls()
    for field in dataclasses.fields(cls):
        value = getattr(message, field.name)
        nested = cls.NESTED.get(field.name)
        setattr(message, field.name, random_value(rng, nested, value))
    if cls is messages.Relay:
        message.kind = rng.choice(RELAYS)
    if identity is None:
        return message
    # Messages in the name of others are dropped before they are read.
    if cls is messages.Raft:
        message.sender = members.member_key(identity.name, "1")
        message.kind = rng.randrange(16)
    if cls is messages.WatchPing:
        message.announcement.name = identity.name
        message.announcement.incarnation = identity.incarnation
    return message


def sendable_message(rng, classes, identity):
    """Return a frame of a random message, or of random bytes."""
    while True:
        if rng.random() < 0.05:
            size = rng.randrange(60)
            return size.to_bytes(messages.LENGTH_BYTES, "big") + rng.randbytes(size)
        with contextlib.suppress(Exception):
            # A number that is too large for its field cannot be encoded.
            return messages.encode(random_message(rng, rng.choice(classes), identity))


async def send_malformed(rng, address, identity, classes):
    """Send malformed messages on links; reopen those that the process closes."""
    for _ in range(LINKS):
        connected = await link.connect(address, identity, helpers.NullLinkHandler())
        opened = connected.unwrap()
        for _ in range(MESSAGES_PER_LINK):
            if not opened.is_open:
                break
            opened._transport.write(sendable_message(rng, classes, identity))
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)
        opened.close("end of the test")


async def send_raw(address, data):
    reader, writer = await asyncio.open_connection(*link.split_address(address))
    writer.write(data)
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(0.2):
            await reader.read()
    writer.close()


@pytest.mark.parametrize("seed", range(3))
def test_malformed_messages_stop_no_process(seed):
    """Guards against one message that ends a process or blocks a whole fleet."""
    rng = random.Random(seed)
    classes = [cls for cls in messages._FIELD_PLANS if cls.TAG]

    async def scenario():
        with processmanager.ProcessManager("malformed") as processes:
            fleet = localfleet.LocalFleet(processes)
            await fleet.start_control()
            listeners = ("caller", "egress", "link", "debug")
            addresses = dict(
                zip(listeners, processmanager.free_addresses(4), strict=True)
            )

            async def serve(reader, writer):
                with contextlib.suppress(ConnectionError, EOFError):
                    while await reader.readuntil(b"\r\n\r\n"):
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

            target = await asyncio.start_server(serve, "127.0.0.1")
            port = target.sockets[0].getsockname()[1]
            fleet.start_daemon(
                "daemon-1",
                {
                    "service": "tickets",
                    "region": "north",
                    "data_centre": "a",
                    "target_address": f"127.0.0.1:{port}",
                    **{f"{name}_listen": at for name, at in addresses.items()},
                },
            )
            await fleet.wait_targets(["daemon-1"])
            await fleet.operator.put("profiles", {"name": "p"})
            route = {"name": "r", "service": "tickets", "profile": "p"}
            revision = await fleet.operator.put("routes", route)
            await fleet.operator.put(
                "accounts", {"name": "tickets", "rate": 100.0, "burst": 100.0}
            )
            key, revision = await fleet.operator.issue_key("tickets")
            assert await fleet.operator.wait_in_force(revision)

            with open(processes.secret_file, "rb") as file:
                secret = file.read().strip()
            listening = [*fleet.links.values(), addresses["link"]]
            for address in listening:
                for role, name in IDENTITIES:
                    identity = link.Identity(
                        localfleet.FLEET_NAME, secret, role, name, rng.randrange(1, 99)
                    )
                    await send_malformed(rng, address, identity, classes)
            for address in (*listening, *fleet.admins.values(), *addresses.values()):
                for data in (*RAW_REQUESTS, rng.randbytes(200)):
                    await send_raw(address, data)

            for table in ("profiles", "routes", "accounts", "services", "keys"):
                for item in ITEMS:
                    with contextlib.suppress(exceptions.ToucanfoldError):
                        await fleet.operator.change(
                            "PUT", f"/v1/{table}/a", {"item": item}
                        )

            await asyncio.sleep(1.0)
            running = {
                name: process.is_running
                for name, process in processes.processes.items()
            }
            assert all(running.values()), running
            reply = await fleetparts.fetch(
                addresses["caller"], service="tickets", Toucanfold_Key=key
            )
            assert (reply.status, reply.body) == (200, b"ok")
            revision = await fleet.operator.put(
                "accounts", {"name": "new", "rate": 1.0, "burst": 1.0}
            )
            assert await fleet.operator.wait_in_force(revision)
            target.close()

    helpers.run(scenario(), 50)
