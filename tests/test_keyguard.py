import itertools

import fleetparts
import helpers
import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import bodies, exceptions, keyguard

KEY = fleetparts.KEY.encode()
TEXT = b"some text tfk_ before " + KEY + b" and after"


async def pass_through(parts):
    """Return what a guard passes on, and whether the body was whole."""
    stream = bodies.BodyStream()
    for part in parts:
        stream.put(part)
    stream.finish()
    passed = b""
    try:
        async for part in keyguard.KeyFilter(stream):
            passed += part
    except exceptions.BodyAbortedError:
        return passed, False
    return passed, True


def split(data, cuts):
    places = sorted({0, *(cut % len(data) for cut in cuts), len(data)})
    return [data[start:end] for start, end in itertools.pairwise(places)]


CUTS = strategies.lists(strategies.integers(0, 200), max_size=12)


@hypothesis.given(CUTS)
def test_split_key_never_passes_whole(cuts):
    """Guards against a key that is cut between two parts of a body."""
    passed, whole = helpers.run(pass_through(split(TEXT, cuts)))
    assert not whole
    assert TEXT.startswith(passed) and KEY not in passed


@hypothesis.given(CUTS)
def test_body_without_a_key_passes_unchanged(cuts):
    text = TEXT.replace(KEY, KEY[:-1])
    assert helpers.run(pass_through(split(text, cuts))) == (text, True)


@pytest.mark.parametrize("size", [100, 300_000])
@pytest.mark.parametrize("service", ["shop", "parts"])
def test_target_never_sees_a_key_in_a_body(size, service):
    async def scenario():
        seen = b""

        async def talk(reader, writer):
            nonlocal seen
            while data := await reader.read(65536):
                seen += data

        state = fleetparts.fleet_state(("shop", "parts"), attempts=0)
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.raw_target(talk)
            await fleet.daemon("a", "shop", target)
            await fleet.daemon("b", "parts", target)
            body = b"x" * size + KEY + b"y" * size
            reply = await fleetparts.fetch(
                fleet.address("a"), "POST", service=service, body=body
            )
            assert reply.status == (400 if size == 100 else 502)
            assert KEY not in seen

    helpers.run(scenario())
