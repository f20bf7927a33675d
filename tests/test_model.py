import pytest
from returns import result

from toucanfold import model, registry


def test_unknown_and_missing_fields_are_errors():
    unknown = model.Profile.from_json({"name": "p", "speed": 1}).failure()
    assert "speed" in str(unknown)
    missing = model.Account.from_json({"name": "a", "rate": 1.0}).failure()
    assert "burst" in str(missing)


@pytest.mark.parametrize(
    "fields",
    [
        {"name": ""},
        {"name": "p", "importance": "high"},
        {"name": "p", "deadline_ms": 0},
        {"name": "p", "deadline_ms": True},
        {"name": "p", "attempts": 99},
        {"name": "p", "idempotent": False, "hedging": True},
        {"name": "p", "deadline_ms": "1"},
    ],
)
def test_invalid_profile_is_refused(fields):
    assert isinstance(model.Profile.from_json(fields), result.Failure)


def test_account_refuses_not_a_number():
    """Guards against a rate of NaN, which no comparison with a limit rejects."""
    fields = {"name": "a", "rate": float("nan"), "burst": 1.0}
    assert isinstance(model.Account.from_json(fields), result.Failure)


def test_longest_prefix_and_method_win():
    state = model.FleetState()
    for name, method, prefix in (
        ("all", "*", "/"),
        ("book", "POST", "/book"),
        ("book-any", "*", "/book"),
    ):
        state.routes[name] = model.Route(name, "s", "p", method, prefix)
    assert state.match_route("s", "POST", "/book/1").name == "book"
    assert state.match_route("s", "GET", "/book/1").name == "book-any"
    assert state.match_route("s", "GET", "/x").name == "all"
    assert state.match_route("t", "GET", "/x") is None


def test_key_authenticates_only_its_account():
    secret = b"fleet secret 1234"
    text = model.generate_api_key()
    key_id, key_secret = model.parse_api_key(text)
    state = model.FleetState()
    state.accounts["a"] = model.Account("a", 1, 1)
    state.keys[key_id] = model.Key(key_id, "a", model.key_digest(secret, key_secret))
    assert state.account_for_key(text, secret).name == "a"
    assert state.account_for_key(text[:-1] + "x", secret) is None
    assert state.account_for_key(text, b"another secret") is None
    assert model.KEY_PATTERN.search(text.encode())


def test_delta_applies_only_in_order():
    """Guards against a revision that is applied twice or skipped."""
    state = model.FleetState()
    delta = model.Delta(1, [("accounts", model.Account("a", 1, 1).to_json())], [])
    decoded = model.Delta.from_bytes(delta.to_bytes())
    assert decoded.apply(state)
    assert not decoded.apply(state)
    assert not model.Delta(3, [], [("accounts", "a")]).apply(state)
    assert model.Delta(2, [], [("accounts", "a")]).apply(state)
    assert state.accounts == {}
    copy = model.FleetState.from_json(state.to_json())
    assert copy.to_json() == state.to_json()


def test_unknown_plugin_lists_the_known_ones():
    error = registry.create("no-such-kind", "x").failure()
    assert "none" in error.remedy
