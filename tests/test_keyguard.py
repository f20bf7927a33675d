import itertools

import fleetparts
import helpers
import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import bodies, exceptions, keyguard

KEY = fleetparts.KEY.encode()
TEXT = b"some text tfk_ before " + KEY + b" and after"


async def filter_body(chunks):
    """Return the bytes that a filter passes on, and whether the body completed."""
    stream = bodies.BodyStream()
    for chunk in chunks:
        stream.put(chunk)
    stream.finish()
    passed = b""
    try:
        async for chunk in keyguard.KeyFilter(stream):
            passed += chunk
    except exceptions.BodyAbortedError:
        return passed, False
    return passed, True


def split(data, split_points):
    offsets = sorted({0, *(cut % len(data) for cut in split_points), len(data)})
    return [data[start:end] for start, end in itertools.pairwise(offsets)]


SPLIT_POINTS = strategies.lists(strategies.integers(0, 200), max_size=12)


@hypothesis.given(SPLIT_POINTS)
def test_key_split_across_chunks_never_passes_completely(split_points):
    """Guards against a key split across chunks of a body."""
    passed, is_complete = helpers.run(filter_body(split(TEXT, split_points)))
    assert not is_complete
    assert TEXT.startswith(passed) and KEY not in passed


@hypothesis.given(SPLIT_POINTS)
def test_body_without_a_key_passes_unchanged(split_points):
    text = TEXT.replace(KEY, KEY[:-1])
    assert helpers.run(filter_body(split(text, split_points))) == (text, True)


@pytest.mark.parametrize("size", [100, 300_000])
@pytest.mark.parametrize("service", ["shop", "parts"])
def test_target_never_sees_a_key_in_a_body(size, service):
    async def scenario():
        received = b""

        async def serve_connection(reader, writer):
            nonlocal received
            while data := await reader.read(65536):
                received += data

        state = fleetparts.fleet_state(("shop", "parts"), attempts=0)
        async with fleetparts.Fleet(state) as fleet:
            target = await fleet.raw_target(serve_connection)
            await fleet.daemon("a", "shop", target)
            await fleet.daemon("b", "parts", target)
            body = b"x" * size + KEY + b"y" * size
            reply = await fleetparts.fetch(
                fleet.address("a"), "POST", service=service, body=body
            )
            assert reply.status == (400 if size == 100 else 502)
            assert KEY not in received

    helpers.run(scenario())
