"""What the call path needs of other parts of a daemon, with simple defaults."""

from collections.abc import Callable
from typing import Protocol

from toucanfold import model


class StateSource(Protocol):
    """The fleet state and whether it is fresh; watch.WatchClient is one."""

    @property
    def state(self) -> model.FleetState:
        """The last known fleet state."""

    def is_fresh(self, now: float) -> bool:
        """Whether callers' requests may be accepted under this state."""

    def subscribe(self, callback: Callable[[model.FleetState], None]) -> None:
        """Call back with each new state."""

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Take other addresses of control from changed settings."""

    async def set_ready(self, is_ready: bool) -> None:
        """Announce whether this daemon's target takes calls."""

    async def drain(self) -> None:
        """Announce that this daemon takes no new calls."""

    async def leave(self, limit_s: float) -> None:
        """Announce that this daemon is gone; wait for control within a limit."""


class StaticStateSource:
    """A state source that stands in for control in tests and measurements."""

    def __init__(self, state: model.FleetState):
        self.state = state
        self.fresh = True
        self.events: list[str] = []
        self._callbacks: list[Callable[[model.FleetState], None]] = []

    def is_fresh(self, now: float) -> bool:
        """Return what the attribute fresh says."""
        return self.fresh

    def subscribe(self, callback: Callable[[model.FleetState], None]) -> None:
        """Keep a callback for new states."""
        self._callbacks.append(callback)

    def publish(self) -> None:
        """Tell the subscribers that the state changed."""
        for callback in self._callbacks:
            callback(self.state)

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Record the addresses."""
        self.events.append(f"seeds {' '.join(addresses)}")

    async def set_ready(self, is_ready: bool) -> None:
        """Record the announcement."""
        self.events.append("ready" if is_ready else "not ready")

    async def drain(self) -> None:
        """Record the announcement."""
        self.events.append("drain")

    async def leave(self, limit_s: float = 0.0) -> None:
        """Record the announcement."""
        self.events.append("leave")


class StateIndex:
    """Routes and keys of the newest state, found without walking all of them.

    What was found is kept until the state's revision changes.
    """

    __slots__ = ("_accounts", "_revision", "_routes", "_secret", "_source")

    def __init__(self, source: StateSource, fleet_secret: bytes):
        self._source = source
        self._secret = fleet_secret
        self._revision = -1
        self._routes: dict[tuple[str, str], list[model.Route]] = {}
        self._accounts: dict[str, model.Account] = {}

    def route(
        self, host: str, service: str, method: str, path: str
    ) -> tuple[model.Route, model.Profile] | None:
        """Return the route of a request and its profile.

        Routes of a host serve requests that name it, the others those that name a
        service.
        """
        self._follow()
        for route in self._routes.get((host, "" if host else service), ()):
            if path.startswith(route.path_prefix) and route.method in ("*", method):
                profile = self._source.state.profiles.get(route.profile)
                return None if profile is None else (route, profile)
        return None

    def account(self, key: str) -> model.Account | None:
        """Return the account of a key that is valid now."""
        self._follow()
        found = self._accounts.get(key)
        if found is None:
            found = self._source.state.account_for_key(key, self._secret)
            if found is not None:
                # Only valid keys are kept, so callers cannot make this grow.
                self._accounts[key] = found
        return found

    def _follow(self) -> None:
        state = self._source.state
        if state.revision == self._revision:
            return
        self._revision = state.revision
        self._accounts = {}
        self._routes = {}
        # The order in which model.FleetState.match_route prefers routes.
        for route in sorted(
            state.routes.values(),
            key=lambda item: (-len(item.path_prefix), item.method == "*"),
        ):
            named = (route.host, "" if route.host else route.service)
            self._routes.setdefault(named, []).append(route)


class RateLimiter(Protocol):
    """Waits for a token of a client account or says how long until there is one."""

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0 when a token was spent, else the seconds until one (at least).

        Left_s is the time until the call's deadline, of which it waits a part.
        """

    def describe(self, account: str) -> str:
        """Return what is held of an account, for a log line."""


class NoRateLimiter:
    """Does not limit client accounts."""

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0."""
        return 0.0

    def describe(self, account: str) -> str:
        """Return that nothing is limited."""
        return "no limit"
