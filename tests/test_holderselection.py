import hypothesis
from hypothesis import strategies

from toucanfold import fairshare, holderselection, model

PLACES = [(f"r{number // 2}", f"d{number}") for number in range(6)]


def state_with(entries, capacity, places=PLACES):
    state = model.FleetState()
    state.accounts["a"] = model.Account("a", 1.0, capacity)
    for number in range(entries):
        region, data_centre = places[number % len(places)]
        name = f"t{number}"
        state.targets[name] = model.Target(
            name, 1, "s", region, data_centre, f"127.0.0.1:{number}"
        )
    return state


def holders_of(state, account="a"):
    """Return the holder that each entry in state up uses first, by entry."""
    result = {}
    for target in state.targets.values():
        if target.state != "up":
            continue
        selector = holderselection.HolderSelector(
            target.region, target.data_centre, target.name
        )
        selector.on_state(state)
        candidates = selector.candidates(account)
        result[target.name] = candidates[0].name if candidates else target.name
    return result


@hypothesis.given(strategies.integers(1, 100), strategies.floats(0, 500))
def test_holders_are_few_enough_for_the_capacity(entries, capacity):
    """Guards against shares too small for a whole token."""
    holders = set(holders_of(state_with(entries, capacity)).values())
    assert len(holders) <= max(1, capacity / fairshare.MIN_TOKENS_PER_HOLDER)


def test_entries_hold_large_accounts_themselves():
    """Guards against a message for each call where every entry can hold tokens."""
    state = state_with(24, 24 * fairshare.MIN_TOKENS_PER_HOLDER)
    assert all(entry == holder for entry, holder in holders_of(state).items())


def test_holder_is_in_the_data_centre_where_capacity_allows():
    """Guards against tokens taken across data centres or regions without need."""
    state = state_with(24, 6 * fairshare.MIN_TOKENS_PER_HOLDER)
    for entry, holder in holders_of(state).items():
        places = [state.targets[name].data_centre for name in (entry, holder)]
        assert places[0] == places[1]


def test_loss_of_a_holder_moves_only_its_accounts():
    """Guards against shares that all move when one daemon leaves."""
    state = state_with(24, 18.0)
    for number in range(30):
        state.accounts[f"a{number}"] = model.Account(f"a{number}", 1.0, 18.0)
    before = {name: holders_of(state, name) for name in state.accounts}
    state.targets["t0"].state = "lost"
    for name in state.accounts:
        for entry, holder in holders_of(state, name).items():
            assert holder != "t0"
            assert before[name][entry] in ("t0", holder)


def test_accounts_are_spread_over_the_daemons_of_a_group():
    """Guards against one daemon that holds the shares of all accounts."""
    state = state_with(24, 18.0)
    for number in range(60):
        state.accounts[f"a{number}"] = model.Account(f"a{number}", 1.0, 18.0)
    used = {holders_of(state, name)["t0"] for name in state.accounts}
    assert used == {"t0", "t6", "t12", "t18"}
