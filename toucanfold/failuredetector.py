"""Leader's view of daemons: who pinged when, and which targets are lost."""

import collections
import dataclasses

from toucanfold import model

# A daemon's share of rates and its freshness end 3 s after its last ping was sent;
# the margin covers the drift of clocks over that time.
FAILURE_TIMEOUT_S = 3.3
# A partition must not empty the directory, so marking is spread over time.
LOSS_WINDOW_S = 10.0
MAX_LOSS_DIVISOR = 3
# A longer pause between two checks means that this process was stopped or starved,
# so silence during the pause proves nothing about daemons.
STALL_THRESHOLD_S = 1.0
PRESENT_STATES = ("up", "draining")


@dataclasses.dataclass(slots=True)
class Seen:
    """Last ping of a daemon."""

    incarnation: int
    sequence: int
    applied_revision: int
    at: float


class FailureDetector:
    """Decides which targets the leader marks lost; kept only while leading."""

    __slots__ = ("_checked_at", "_losses", "_seen", "_since")

    def __init__(self) -> None:
        self._seen: dict[str, Seen] = {}
        self._losses: dict[str, collections.deque[float]] = {}
        self._since = 0.0
        self._checked_at = 0.0

    def on_elected(self, now: float) -> None:
        """Start a lead: every daemon gets the whole time to ping."""
        self._seen.clear()
        self._losses.clear()
        self._since = now
        self._checked_at = now

    def on_ping(
        self,
        now: float,
        name: str,
        incarnation: int,
        sequence: int,
        applied_revision: int,
    ) -> bool:
        """Note a ping; False if it is older than one that was handled.

        A ping can come late, since instances send it again when they lost the leader.
        """
        seen = self._seen.get(name)
        if seen is not None and seen.incarnation == incarnation:
            is_late = sequence <= seen.sequence
        else:
            # After a silence the older one counts: its host's clock was set back.
            is_late = (
                seen is not None
                and seen.incarnation > incarnation
                and now - seen.at <= FAILURE_TIMEOUT_S
            )
        if is_late:
            return False
        self._seen[name] = Seen(incarnation, sequence, applied_revision, now)
        return True

    def lost(self, now: float, state: model.FleetState) -> list[model.Target]:
        """Return the targets to mark lost now, within the limit per service."""
        if now - self._checked_at > STALL_THRESHOLD_S:
            self._forgive(now)
        self._checked_at = now
        services: dict[str, list[model.Target]] = {}
        for target in state.targets.values():
            if target.state != "left":
                services.setdefault(target.service, []).append(target)
        found: list[model.Target] = []
        for service, targets in services.items():
            found += self._lost_of(now, service, targets)
        return found

    def laggards(self, state: model.FleetState, revision: int) -> list[str]:
        """Return names of present targets that have not confirmed a revision."""
        return sorted(
            target.name
            for target in state.targets.values()
            if target.state in PRESENT_STATES
            and self.applied_revision(target) < revision
        )

    def applied_revision(self, target: model.Target) -> int:
        """Return what the target's daemon confirmed under this lead, else 0."""
        seen = self._seen.get(target.name)
        if seen is None or seen.incarnation != target.incarnation:
            return 0
        return seen.applied_revision

    def silence_s(self, now: float, target: model.Target) -> float:
        """Return the seconds since the target's last ping or the start of the lead."""
        seen = self._seen.get(target.name)
        if seen is None or seen.incarnation != target.incarnation:
            return now - self._since
        return now - seen.at

    def _forgive(self, now: float) -> None:
        self._since = now
        for seen in self._seen.values():
            seen.at = now

    def _lost_of(
        self, now: float, service: str, targets: list[model.Target]
    ) -> list[model.Target]:
        present = [target for target in targets if target.state in PRESENT_STATES]
        silent = [
            target
            for target in present
            if self.silence_s(now, target) > FAILURE_TIMEOUT_S
        ]
        if not silent:
            return []
        losses = self._losses.setdefault(service, collections.deque())
        while losses and losses[0] <= now - LOSS_WINDOW_S:
            losses.popleft()
        room = max(1, len(targets) // MAX_LOSS_DIVISOR) - len(losses)
        room = min(room, len(present) - 1)
        silent.sort(key=lambda target: (-self.silence_s(now, target), target.name))
        chosen = silent[: max(0, room)]
        losses.extend(now for _ in chosen)
        return chosen
