"""Ping-based failure detector of the leader: decides which targets are lost."""

import collections
import dataclasses

from toucanfold import model

# A daemon's rate shares and its freshness expire 3 s after its last ping was sent;
# the margin covers clock drift over that time.
FAILURE_TIMEOUT_S = 3.3
# A partition must not empty the target directory, so at most 1/3 of a service's targets
# (and at least one) may be marked lost within this window.
LOSS_WINDOW_S = 10.0
MAX_LOSS_DIVISOR = 3
# A longer time between two checks means that this process was stopped or starved, so
# pings missing during the stall do not show that daemons failed.
STALL_THRESHOLD_S = 1.0
LIVE_STATES = ("up", "draining")


@dataclasses.dataclass(slots=True)
class LastPing:
    """Last ping of a daemon."""

    incarnation: int
    sequence: int
    applied_revision: int
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Laggard:
    """A daemon that may still use a state before a revision."""

    name: str
    applied_revision: int
    silence_s: float


class FailureDetector:
    """Decides which targets the leader marks lost; its state is valid for one term."""

    __slots__ = (
        "_checked_at",
        "_last_pings",
        "_loss_times",
        "_monitored_since",
        "_superseded",
    )

    def __init__(self) -> None:
        self._last_pings: dict[str, LastPing] = {}
        # Last pings of incarnations with a successor: their processes may still run.
        # Their pings are not answered any more, so their states expire.
        self._superseded: list[tuple[str, LastPing]] = []
        self._loss_times: dict[str, collections.deque[float]] = {}
        self._monitored_since = 0.0
        self._checked_at = 0.0

    def on_elected(self, now: float) -> None:
        """Start a term: every daemon gets the full timeout to ping."""
        self._last_pings.clear()
        self._superseded.clear()
        self._loss_times.clear()
        self._monitored_since = now
        self._checked_at = now

    def on_ping(
        self,
        now: float,
        name: str,
        incarnation: int,
        sequence: int,
        applied_revision: int,
    ) -> bool:
        """Record a ping; False if it is older than one already handled.

        A ping can be delayed, since instances send it again when they lose the leader.
        """
        last_ping = self._last_pings.get(name)
        if last_ping is not None and last_ping.incarnation == incarnation:
            is_stale = sequence <= last_ping.sequence
        else:
            # After the timeout a lower incarnation is valid: the clock was set back.
            is_stale = (
                last_ping is not None
                and last_ping.incarnation > incarnation
                and now - last_ping.at <= FAILURE_TIMEOUT_S
            )
        if is_stale:
            return False
        if last_ping is not None and last_ping.incarnation != incarnation:
            self._superseded.append((name, last_ping))
            self._expire_superseded(now)
        self._last_pings[name] = LastPing(incarnation, sequence, applied_revision, now)
        return True

    def lost(self, now: float, state: model.FleetState) -> list[model.Target]:
        """Return the targets to mark lost now, limited per service and window."""
        if now - self._checked_at > STALL_THRESHOLD_S:
            self._restart_timeouts(now)
        self._checked_at = now
        services: dict[str, list[model.Target]] = {}
        for target in state.targets.values():
            if target.state != "left":
                services.setdefault(target.service, []).append(target)
        lost_targets: list[model.Target] = []
        for service, targets in services.items():
            lost_targets += self._lost_of_service(now, service, targets)
        return lost_targets

    def laggards(
        self, now: float, state: model.FleetState, revision: int
    ) -> list[Laggard]:
        """Return the daemons that may still use a state before a revision.

        These are the alive ones that have not confirmed it in this term, and those with
        a recent ping whose incarnation is not in the directory yet or not any more.
        Daemons that pinged only an earlier leader are unknown; see has_heard_all.
        """
        found = {
            target.name: Laggard(
                target.name, self.applied_revision(target), self.silence_s(now, target)
            )
            for target in state.targets.values()
            if target.state in model.ALIVE_STATES
            and self.applied_revision(target) < revision
        }
        self._expire_superseded(now)
        for name, last_ping in (*self._superseded, *self._last_pings.items()):
            silence_s = now - last_ping.at
            is_behind = last_ping.applied_revision < revision
            if not is_behind or silence_s > FAILURE_TIMEOUT_S:
                continue
            if not _has_left(state, name, last_ping):
                found[name] = Laggard(name, last_ping.applied_revision, silence_s)
        return [found[name] for name in sorted(found)]

    def has_heard_all(self, now: float) -> bool:
        """Whether each daemon with a fresh state has pinged since monitoring began."""
        return now - self._monitored_since > FAILURE_TIMEOUT_S

    def applied_revision(self, target: model.Target) -> int:
        """Return the revision the target's daemon confirmed in this term, else 0."""
        last_ping = self._last_ping_of(target)
        return 0 if last_ping is None else last_ping.applied_revision

    def silence_s(self, now: float, target: model.Target) -> float:
        """Return the seconds since the last ping, or since monitoring (re)started."""
        last_ping = self._last_ping_of(target)
        since = self._monitored_since if last_ping is None else last_ping.at
        return now - since

    def _last_ping_of(self, target: model.Target) -> LastPing | None:
        """Return the last ping of the target's incarnation, None without one."""
        last_ping = self._last_pings.get(target.name)
        if last_ping is None or last_ping.incarnation != target.incarnation:
            return None
        return last_ping

    def _expire_superseded(self, now: float) -> None:
        self._superseded = [
            (name, last_ping)
            for name, last_ping in self._superseded
            if now - last_ping.at <= FAILURE_TIMEOUT_S
        ]

    def _restart_timeouts(self, now: float) -> None:
        self._monitored_since = now
        superseded = (last_ping for _, last_ping in self._superseded)
        for last_ping in (*superseded, *self._last_pings.values()):
            last_ping.at = now

    def _lost_of_service(
        self, now: float, service: str, targets: list[model.Target]
    ) -> list[model.Target]:
        live = [target for target in targets if target.state in LIVE_STATES]
        timed_out = [
            target for target in live if self.silence_s(now, target) > FAILURE_TIMEOUT_S
        ]
        if not timed_out:
            return []
        loss_times = self._loss_times.setdefault(service, collections.deque())
        while loss_times and loss_times[0] <= now - LOSS_WINDOW_S:
            loss_times.popleft()
        max_losses = max(1, len(targets) // MAX_LOSS_DIVISOR) - len(loss_times)
        max_losses = min(max_losses, len(live) - 1)
        timed_out.sort(key=lambda target: (-self.silence_s(now, target), target.name))
        chosen = timed_out[: max(0, max_losses)]
        loss_times.extend(now for _ in chosen)
        return chosen


def _has_left(state: model.FleetState, name: str, last_ping: LastPing) -> bool:
    """Whether the pinging incarnation has announced that it terminated."""
    target = state.targets.get(name)
    if target is None or target.incarnation != last_ping.incarnation:
        return False
    return target.state == "left"
