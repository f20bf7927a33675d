import fleetparts
import hypothesis
from hypothesis import strategies

from toucanfold import headers, httpwriter

TOKENS = strategies.text("abcXYZ-", min_size=1, max_size=8).map(str.encode)
FRAGMENTS = strategies.sampled_from(
    [
        fleetparts.KEY,
        fleetparts.KEY.upper(),
        fleetparts.OTHER_KEY,
        "tfk_",
        "x",
        " ",
        "=",
        "Bearer ",
        "%",
    ]
)
VALUES = strategies.lists(FRAGMENTS, max_size=6).map(
    lambda fragments: "".join(fragments).encode()
)
FIELDS = strategies.lists(
    strategies.tuples(
        strategies.one_of(
            TOKENS.map(bytes.lower),
            strategies.sampled_from(
                [b"authorization", b"toucanfold-key", b"connection", b"cookie"]
            ),
            strategies.just(fleetparts.KEY.encode()),
        ),
        VALUES,
    ),
    max_size=8,
)


@hypothesis.given(FIELDS)
def test_no_field_for_a_target_holds_a_key(fields):
    """Guards against keys in header fields that are sent to a target."""
    kept = headers.for_target(fields, keep_length=False)
    head = httpwriter.request("GET", "/", kept, b"").lower()
    assert fleetparts.KEY.encode() not in head
    assert fleetparts.OTHER_KEY.encode() not in head
    assert all(item in fields for item in kept)
    clean = [
        item
        for item in fields
        if b"tfk_" not in (item[0] + item[1]).lower()
        and item[0] not in headers.NEVER_TO_TARGET
        and item[0] not in headers.named_by_connection(fields)
    ]
    assert [item for item in kept if item in clean] == clean


@hypothesis.given(FIELDS)
def test_keys_are_found_in_any_name_or_value(fields):
    text = b"\n".join(name + b"\n" + value for name, value in fields).lower()
    keys = {key.lower() for key in headers.keys_in(fields)}
    for key in (fleetparts.KEY, fleetparts.OTHER_KEY):
        assert (key.encode() in keys) == (key.encode() in text)
