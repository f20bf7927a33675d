"""Interfaces of other daemon components that the call path uses, with defaults."""

from collections.abc import Callable
from typing import Protocol

from toucanfold import model


class StateSource(Protocol):
    """The fleet state and whether it is fresh; implemented by watch.WatchClient."""

    @property
    def state(self) -> model.FleetState:
        """The last received fleet state."""

    def is_fresh(self, now: float) -> bool:
        """Whether callers' requests may be accepted under this state."""

    def subscribe(self, callback: Callable[[model.FleetState], None]) -> None:
        """Register a callback for each new state."""

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Use the control addresses of changed settings."""

    def set_ready(
        self, is_ready: bool, target_instance: str = "", departed: str = ""
    ) -> None:
        """Announce whether this daemon's target accepts calls, and its labels."""

    def set_service(self, service: str, configured_service: str = "") -> None:
        """Announce the target's service, and that of the settings if it differs."""

    def wake(self) -> None:
        """Report to control soon instead of at the next regular time."""

    async def drain(self) -> None:
        """Announce that this daemon accepts no new calls."""

    async def leave(self, timeout_s: float) -> None:
        """Announce that this daemon has left; wait at most timeout_s for control."""


class StaticStateSource:
    """A state source that stands in for control in tests and measurements."""

    def __init__(self, state: model.FleetState):
        self.state = state
        self.fresh = True
        self.events: list[str] = []
        self._callbacks: list[Callable[[model.FleetState], None]] = []

    def is_fresh(self, now: float) -> bool:
        """Return the attribute fresh."""
        return self.fresh

    def subscribe(self, callback: Callable[[model.FleetState], None]) -> None:
        """Register a callback for new states."""
        self._callbacks.append(callback)

    def publish(self) -> None:
        """Notify the subscribers that the state changed."""
        for callback in self._callbacks:
            callback(self.state)

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Record the addresses."""
        self.events.append(f"seeds {' '.join(addresses)}")

    def set_ready(
        self, is_ready: bool, target_instance: str = "", departed: str = ""
    ) -> None:
        """Record the announcement."""
        self.events.append("ready" if is_ready else "not ready")

    def set_service(self, service: str, configured_service: str = "") -> None:
        """Record the announcement."""
        self.events.append(f"service {service}")

    def wake(self) -> None:
        """Record the request."""
        self.events.append("wake")

    async def drain(self) -> None:
        """Record the announcement."""
        self.events.append("drain")

    async def leave(self, timeout_s: float = 0.0) -> None:
        """Record the announcement."""
        self.events.append("leave")


class StateIndex:
    """Index of the routes and keys of the newest state, to avoid linear searches.

    Entries are cached until the state's revision changes.
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

        Routes with a host match requests for that host; the others match by service.
        """
        self._refresh()
        for route in self._routes.get((host, "" if host else service), ()):
            if path.startswith(route.path_prefix) and route.method in ("*", method):
                profile = self._source.state.profiles.get(route.profile)
                return None if profile is None else (route, profile)
        return None

    def account(self, key: str) -> model.Account | None:
        """Return the account of a key that is valid now."""
        self._refresh()
        account = self._accounts.get(key)
        if account is None:
            account = self._source.state.account_for_key(key, self._secret)
            if account is not None:
                # Only valid keys are cached, so callers cannot make the cache grow.
                self._accounts[key] = account
        return account

    def _refresh(self) -> None:
        state = self._source.state
        if state.revision == self._revision:
            return
        self._revision = state.revision
        self._accounts = {}
        self._routes = {}
        # Same precedence as in model.FleetState.match_route.
        for route in sorted(
            state.routes.values(),
            key=lambda item: (-len(item.path_prefix), item.method == "*"),
        ):
            index_key = (route.host, "" if route.host else route.service)
            self._routes.setdefault(index_key, []).append(route)


class RateLimiter(Protocol):
    """Takes tokens of a client account, or returns the time until one is available."""

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0 when a token was taken, else the minimum seconds until one.

        remaining_s is the time until the call's deadline; the limiter waits for a
        token for at most a fraction of it.
        """

    def describe(self, account: str) -> str:
        """Return a description of the account's share, for a log line."""


class NoRateLimiter:
    """Does not limit client accounts."""

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0: no call waits for a token."""
        return 0.0

    def describe(self, account: str) -> str:
        """Return a fixed text."""
        return "no limit"
