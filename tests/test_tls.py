import asyncio
import pathlib
import ssl

import fleetparts
import helpers
import pytest
from returns import result

from toucanfold import link, tls

CERTIFICATE_DIRECTORY = pathlib.Path(__file__).parent / "certificates"
OPTIONS = {
    "certificate": CERTIFICATE_DIRECTORY / "certificate.pem",
    "private_key": CERTIFICATE_DIRECTORY / "private_key.pem",
    "authority": CERTIFICATE_DIRECTORY / "authority.pem",
    "callers": "yes",
    "links": "yes",
}


async def start_daemons(fleet):
    """Start two daemons with TLS for callers and links."""
    for name, service in (("a", "shop"), ("b", "parts")):
        settings = fleetparts.make_settings(
            fleet.folder.name, name, service, "127.0.0.1:1", tls=OPTIONS
        )
        contexts = tls.load(settings).unwrap()
        target = await fleet.target(fleetparts.Recorder())
        await fleet.daemon(name, service, target, contexts)


def test_calls_through_two_daemons_with_tls():
    async def scenario():
        state = fleetparts.fleet_state(("shop", "parts"), deadline_ms=9000)
        async with fleetparts.Fleet(state) as fleet:
            await start_daemons(fleet)
            client_context = ssl.create_default_context(
                cafile=str(OPTIONS["authority"])
            )
            for service in ("shop", "parts"):
                for body in (b"hello", b"x" * 1_000_000):
                    reply = await fleetparts.fetch(
                        fleet.address("a"),
                        "POST",
                        service=service,
                        body=body,
                        tls=client_context,
                    )
                    assert (reply.status, reply.body) == (200, body)

    helpers.run(scenario())


def test_plain_caller_gets_nothing_from_a_tls_listener():
    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            await start_daemons(fleet)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await fleetparts.fetch(fleet.address("a"))

    helpers.run(scenario())


def test_link_without_a_client_certificate_is_refused():
    """Guards against a process with the fleet secret but no client certificate."""

    async def scenario():
        async with fleetparts.Fleet(fleetparts.fleet_state()) as fleet:
            await start_daemons(fleet)
            client_context = ssl.create_default_context(
                cafile=str(OPTIONS["authority"])
            )
            identity = link.Identity("f", fleetparts.SECRET, "daemon", "x", 1)
            address = fleet.address("a", "link")
            peers = fleet.daemons["a"].peers
            for context in (client_context, None):
                connected = await link.connect(address, identity, peers, context)
                assert isinstance(connected, result.Failure)

    helpers.run(scenario())


def test_missing_file_names_the_remedy(tmp_path):
    options = {**OPTIONS, "certificate": tmp_path / "none.pem"}
    settings = fleetparts.make_settings(
        tmp_path, "a", "shop", "127.0.0.1:1", tls=options
    )
    failure = tls.load(settings).failure()
    assert "[tls] callers" in str(failure) and "Remedy" in str(failure)
