"""Class thresholds of a queue, and the levels learnt from answers."""

import dataclasses
import random

from toucanfold import calls, fairshare

RANKS = calls.MAX_LEVEL // calls.PRIORITY_LEVELS
PROBE_PART = 0.01
DECAY_S = 1.0
# Weight of an answer's level against what was learnt before; the targets of one
# service differ.
NEWS_WEIGHT = 0.4
MAX_KEYS = 10_000
# Weight of the last window in smoothed counts.
SMOOTHING = 0.3
# Windows in which a standing queue should drain to its target.
DRAIN_WINDOWS = 4
MIN_BUDGET_PART = 0.5
MIN_GROWTH = 0.02
MAX_GROWTH = 0.5
# An account's load is forgotten after so many windows without calls.
IDLE_WINDOWS = 100
# Part of a rank below which too few calls arrive to measure its offered load.
MIN_MEASURED_PART = 0.1


def rank_of(level: int) -> int:
    """Return the rank of a call's level."""
    return level // calls.PRIORITY_LEVELS


@dataclasses.dataclass(slots=True)
class _Load:
    """Calls of one account and rank: in this window, and smoothed per window."""

    seen: int = 0
    offered: float = 0.0


class _Client:
    """One account's weight, load by rank and threshold."""

    __slots__ = ("idle_windows", "level", "loads", "weight")

    def __init__(self) -> None:
        self.weight = 1.0
        self.level = calls.MAX_LEVEL
        self.loads = [_Load() for _ in range(RANKS)]
        self.idle_windows = 0

    def admitted_part(self, rank: int) -> float:
        """Return the part of a rank's priorities that the threshold admits."""
        admitted = self.level + 1 - rank * calls.PRIORITY_LEVELS
        return min(1.0, max(0.0, admitted / calls.PRIORITY_LEVELS))

    def close_window(self) -> None:
        """Estimate the load offered before callers applied the threshold.

        Calls below the threshold arrive in full and priorities are uniform, so their
        number tells how many there are in all.
        """
        is_idle = True
        for rank, load in enumerate(self.loads):
            part = 1.0 if rank == 0 else self.admitted_part(rank)
            if part >= MIN_MEASURED_PART:
                load.offered += SMOOTHING * (load.seen / part - load.offered)
            is_idle = is_idle and load.seen == 0
            load.seen = 0
        self.idle_windows = self.idle_windows + 1 if is_idle else 0


class AdmissionThreshold:
    """Level for each account, lowered until the queue no longer stands.

    The admitted load is divided by rank first, and within the first rank that does
    not fit by weight, so that an account below its fair share keeps all its calls.
    """

    __slots__ = ("_budget", "_clients", "_growth", "_taken", "_throughput", "level")

    def __init__(self) -> None:
        self._clients: dict[str, _Client] = {}
        # Calls admitted per window; None while the threshold is open.
        self._budget: float | None = None
        self._growth = MIN_GROWTH
        self._taken = 0
        self._throughput = 0.0
        self.level = calls.MAX_LEVEL

    def admits(self, account: str, weight: float, level: int) -> bool:
        """Count an offered call; rank 0 is always admitted."""
        client = self._clients.get(account)
        if client is None:
            client = self._clients[account] = _Client()
        client.weight = weight
        rank = rank_of(level)
        is_admitted = rank == 0 or level <= client.level
        if is_admitted:
            client.loads[rank].seen += 1
        return is_admitted

    def note_taken(self) -> None:
        """Count a dispatched call."""
        self._taken += 1

    def level_of(self, account: str) -> int:
        """Return the account's threshold."""
        client = self._clients.get(account)
        return calls.MAX_LEVEL if client is None else client.level

    def on_window(self, excess: float, is_empty: bool) -> int:
        """Close a window; return the lowest threshold of all accounts.

        excess is the number of calls that stood in the queue above its target, and
        is_empty tells whether the queue ran empty.
        """
        self._throughput += SMOOTHING * (self._taken - self._throughput)
        measured = max(float(self._taken), self._throughput)
        self._taken = 0
        for name, client in list(self._clients.items()):
            client.close_window()
            if client.idle_windows > IDLE_WINDOWS:
                del self._clients[name]
        self._adjust(excess, is_empty, measured)
        self._divide()
        return self.level

    def _adjust(self, excess: float, is_empty: bool, measured: float) -> None:
        if excess > 0:
            least = MIN_BUDGET_PART * measured
            self._budget = max(1.0, least, measured - excess / DRAIN_WINDOWS)
            self._growth = MIN_GROWTH
        elif self._budget is not None and is_empty:
            self._budget = self._budget * (1 + self._growth) + 0.1
            self._growth = min(MAX_GROWTH, 2 * self._growth)

    def _divide(self) -> None:
        left = self._budget
        if left is None:
            return
        open_clients = list(self._clients.values())
        for client in open_clients:
            client.level = calls.MAX_LEVEL
        for rank in range(RANKS):
            loads = [client.loads[rank].offered for client in open_clients]
            total = sum(loads)
            if rank > 0 and total > left:
                self._cut(rank, max(0.0, left), open_clients)
                break
            left -= total
        else:
            self._budget = None
        self.level = min(
            (client.level for client in open_clients), default=calls.MAX_LEVEL
        )

    @staticmethod
    def _cut(rank: int, left: float, clients: list[_Client]) -> None:
        """Divide what is left for a rank by weight."""
        loads = [client.loads[rank].offered / client.weight for client in clients]
        weights = [client.weight for client in clients]
        share = fairshare.weighted_level(left, loads, weights)
        base = rank * calls.PRIORITY_LEVELS - 1
        for client, load in zip(clients, loads, strict=True):
            part = 1.0 if load <= share else share / load
            client.level = base + round(part * calls.PRIORITY_LEVELS)


@dataclasses.dataclass(slots=True)
class _Learnt:
    level: float
    at: float


class DownstreamLevels:
    """Thresholds of called services, learnt from answers by key.

    A key names a route and an account. Levels open fully in 1 s without news.
    """

    __slots__ = ("_levels",)

    def __init__(self) -> None:
        self._levels: dict[str, _Learnt] = {}

    def on_answer(self, now: float, key: str, level: int) -> None:
        """Learn the level that an answer carried."""
        present = self._decayed(now, key)
        if level >= calls.MAX_LEVEL and present >= calls.MAX_LEVEL:
            self._levels.pop(key, None)
            return
        if len(self._levels) >= MAX_KEYS and key not in self._levels:
            self._forget(now)
        learnt = present + NEWS_WEIGHT * (level - present)
        self._levels[key] = _Learnt(learnt, now)

    def admits(self, now: float, key: str, level: int, rng: random.Random) -> bool:
        """Return whether a call may be sent; some above the level are probes."""
        if rank_of(level) == 0 or level <= self.level(now, key):
            return True
        return rng.random() < PROBE_PART

    def level(self, now: float, key: str) -> int:
        """Return the present level."""
        return round(self._decayed(now, key))

    def combined(self, now: float, key: str, own_level: int) -> int:
        """Return the level for an answer: the lowest of this daemon and its callees."""
        return min(own_level, self.level(now, key))

    def _decayed(self, now: float, key: str) -> float:
        learnt = self._levels.get(key)
        if learnt is None:
            return float(calls.MAX_LEVEL)
        age = min(1.0, max(0.0, now - learnt.at) / DECAY_S)
        return learnt.level + (calls.MAX_LEVEL - learnt.level) * age

    def _forget(self, now: float) -> None:
        self._levels = {
            key: learnt
            for key, learnt in self._levels.items()
            if now - learnt.at < DECAY_S
        }
