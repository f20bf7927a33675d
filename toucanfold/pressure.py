"""Admission thresholds of a queue, and levels reported in answers."""

import dataclasses
import random

from toucanfold import calls, fairshare

RANK_COUNT = calls.MAX_LEVEL // calls.PRIORITY_LEVELS
# Fraction of the calls above the threshold that are sent anyway, as probes.
PROBE_FRACTION = 0.01
# Time in which a reported level increases to the highest one without a new report.
DECAY_S = 1.0
# The same for the levels of routes; the daemons that report them restore them slowly.
ROUTE_DECAY_S = 3.0
# Weight of an answer's level against the current one. It is below 1 since the targets
# of one service report different levels.
UPDATE_WEIGHT = 0.4
# With this many keys, expired levels are removed before a key is added.
MAX_KEYS = 10_000
# Weight of the last window in smoothed counts.
SMOOTHING_WEIGHT = 0.3
# Windows in which a queue above its target length should shrink to it.
DRAIN_WINDOWS = 4
# Lower bound of the budget during overload, as a fraction of the throughput.
MIN_BUDGET_FRACTION = 0.5
# Growth of the budget per window: starts at the minimum after an overload and
# doubles up to the maximum.
MIN_GROWTH_FRACTION = 0.02
MAX_GROWTH_FRACTION = 0.5
# An account's load is removed after more than this many windows without calls.
MAX_IDLE_WINDOWS = 100
# Admitted fraction of a rank below which too few calls arrive to estimate its load.
MIN_MEASURED_FRACTION = 0.1


def rank_of(level: int) -> int:
    """Return the rank of a call's level."""
    return level // calls.PRIORITY_LEVELS


@dataclasses.dataclass(slots=True)
class _Load:
    """Calls of one account and rank: admitted in this window, offered per window."""

    admitted_calls: int = 0
    offered: float = 0.0


class _ClientAccount:
    """One account's weight, load by rank and threshold."""

    __slots__ = ("idle_windows", "level", "loads", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self.level = calls.MAX_LEVEL
        self.loads = [_Load() for _ in range(RANK_COUNT)]
        self.idle_windows = 0

    def admitted_fraction(self, rank: int) -> float:
        """Return the fraction of a rank's priorities that the threshold admits."""
        admitted = self.level + 1 - rank * calls.PRIORITY_LEVELS
        return min(1.0, max(0.0, admitted / calls.PRIORITY_LEVELS))

    def close_window(self) -> None:
        """Estimate the load offered before callers applied the threshold.

        All calls up to the threshold arrive and priorities are uniform, so the total
        is their number divided by the admitted fraction.
        """
        is_idle = True
        for rank, load in enumerate(self.loads):
            fraction = 1.0 if rank == 0 else self.admitted_fraction(rank)
            if fraction >= MIN_MEASURED_FRACTION:
                load.offered += SMOOTHING_WEIGHT * (
                    load.admitted_calls / fraction - load.offered
                )
            is_idle = is_idle and load.admitted_calls == 0
            load.admitted_calls = 0
        self.idle_windows = self.idle_windows + 1 if is_idle else 0


class AdmissionThreshold:
    """Level for each account, lowered until the queue has no standing queue delay.

    The budget goes to the ranks in order of importance. Within the first rank that
    exceeds it, accounts share by weight, so that an account below its fair share
    keeps all its calls.
    """

    __slots__ = (
        "_budget",
        "_clients",
        "_dispatched",
        "_growth",
        "_throughput",
        "level",
    )

    def __init__(self) -> None:
        self._clients: dict[str, _ClientAccount] = {}
        # Calls to admit per window; None while all calls are admitted.
        self._budget: float | None = None
        self._growth = MIN_GROWTH_FRACTION
        self._dispatched = 0
        self._throughput = 0.0
        self.level = calls.MAX_LEVEL

    def admits(self, account: str, weight: float, level: int) -> bool:
        """Return whether a call is admitted, and count it if so; rank 0 always is."""
        client = self._clients.get(account)
        if client is None:
            client = self._clients[account] = _ClientAccount()
        client.weight = weight
        rank = rank_of(level)
        is_admitted = rank == 0 or level <= client.level
        if is_admitted:
            client.loads[rank].admitted_calls += 1
        return is_admitted

    def record_dispatch(self) -> None:
        """Count a dispatched call."""
        self._dispatched += 1

    def level_of(self, account: str) -> int:
        """Return the account's threshold."""
        client = self._clients.get(account)
        return calls.MAX_LEVEL if client is None else client.level

    def on_window(self, excess: float, is_empty: bool) -> int:
        """Close a window; return the lowest threshold of all accounts.

        excess is the number of queued calls above the target length, and is_empty tells
        whether the queue was empty at some time in the window.
        """
        self._throughput += SMOOTHING_WEIGHT * (self._dispatched - self._throughput)
        measured = max(float(self._dispatched), self._throughput)
        self._dispatched = 0
        for name, client in list(self._clients.items()):
            client.close_window()
            if client.idle_windows > MAX_IDLE_WINDOWS:
                del self._clients[name]
        self._adjust_budget(excess, is_empty, measured)
        self._set_levels()
        return self.level

    def _adjust_budget(self, excess: float, is_empty: bool, measured: float) -> None:
        if excess > 0:
            least = MIN_BUDGET_FRACTION * measured
            self._budget = max(1.0, least, measured - excess / DRAIN_WINDOWS)
            self._growth = MIN_GROWTH_FRACTION
        elif self._budget is not None and is_empty:
            self._budget = self._budget * (1 + self._growth) + 0.1
            self._growth = min(MAX_GROWTH_FRACTION, 2 * self._growth)

    def _set_levels(self) -> None:
        remaining = self._budget
        if remaining is None:
            return
        clients = list(self._clients.values())
        for client in clients:
            client.level = calls.MAX_LEVEL
        for rank in range(RANK_COUNT):
            loads = [client.loads[rank].offered for client in clients]
            total = sum(loads)
            if rank > 0 and total > remaining:
                self._reduce_rank(rank, max(0.0, remaining), clients)
                break
            remaining -= total
        else:
            self._budget = None
        self.level = min((client.level for client in clients), default=calls.MAX_LEVEL)

    @staticmethod
    def _reduce_rank(
        rank: int, remaining: float, clients: list[_ClientAccount]
    ) -> None:
        """Divide the remaining budget among a rank's accounts by weight."""
        loads = [client.loads[rank].offered / client.weight for client in clients]
        weights = [client.weight for client in clients]
        share = fairshare.weighted_level(remaining, loads, weights)
        base = rank * calls.PRIORITY_LEVELS - 1
        for client, load in zip(clients, loads, strict=True):
            fraction = 1.0 if load <= share else share / load
            client.level = base + round(fraction * calls.PRIORITY_LEVELS)


@dataclasses.dataclass(slots=True)
class _ReportedLevel:
    level: float
    at: float


class DownstreamLevels:
    """Thresholds of called services, as reported in answers, by key.

    A key names a route and an account, or a route and a rank. Without a new report a
    level increases to the highest within decay_s.
    """

    __slots__ = ("_decay_s", "_levels")

    def __init__(self, decay_s: float = DECAY_S) -> None:
        self._decay_s = decay_s
        self._levels: dict[str, _ReportedLevel] = {}

    def on_answer(self, now: float, key: str, level: int) -> None:
        """Record the level that an answer reported."""
        current = self._decayed(now, key)
        if level >= calls.MAX_LEVEL and current >= calls.MAX_LEVEL:
            self._levels.pop(key, None)
            return
        if len(self._levels) >= MAX_KEYS and key not in self._levels:
            self._remove_expired(now)
        smoothed = current + UPDATE_WEIGHT * (level - current)
        self._levels[key] = _ReportedLevel(smoothed, now)

    def admits(self, now: float, key: str, level: int, rng: random.Random) -> bool:
        """Return whether a call may be sent; a few above the level pass as probes."""
        if rank_of(level) == 0 or level <= self.level(now, key):
            return True
        return rng.random() < PROBE_FRACTION

    def level(self, now: float, key: str) -> int:
        """Return the current level."""
        return round(self._decayed(now, key))

    def combined(self, now: float, key: str, own_level: int) -> int:
        """Return the level for an answer: the lower of own_level and this key's."""
        return min(own_level, self.level(now, key))

    def _decayed(self, now: float, key: str) -> float:
        reported = self._levels.get(key)
        if reported is None:
            return float(calls.MAX_LEVEL)
        elapsed_fraction = min(1.0, max(0.0, now - reported.at) / self._decay_s)
        return reported.level + (calls.MAX_LEVEL - reported.level) * elapsed_fraction

    def _remove_expired(self, now: float) -> None:
        self._levels = {
            key: reported
            for key, reported in self._levels.items()
            if now - reported.at < self._decay_s
        }


class EntryLevels:
    """Levels reported in answers by which an entry refuses callers' requests.

    Those of routes do not depend on the account: at each of many entries an account
    has too few calls to learn a level before it has decayed.
    """

    __slots__ = ("_by_account", "_by_rank")

    def __init__(self) -> None:
        self._by_account = DownstreamLevels()
        self._by_rank = DownstreamLevels(ROUTE_DECAY_S)

    def admits(self, now: float, call: calls.Call, rng: random.Random) -> bool:
        """Return whether a call may be sent."""
        return self._by_account.admits(
            now, call.pressure_key, call.level, rng
        ) and self._by_rank.admits(now, call.route_pressure_key, call.level, rng)

    def on_answer(self, now: float, call: calls.Call, answer: calls.Answer) -> None:
        """Record the levels that the answer of a call reported."""
        self._by_account.on_answer(now, call.pressure_key, answer.level)
        self._by_rank.on_answer(now, call.route_pressure_key, answer.route_level)
