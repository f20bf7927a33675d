"""Which pending joins the control leader admits, and which members they replace.

An operator can change members by hand. Where the number of disk losses to tolerate is
set, the leader keeps as many voters as that takes: a member that returns without its
disk replaces its former member, and a new instance replaces an unreachable member. One
instance joins at a time; one that ends before it has caught up is abandoned.
"""

import dataclasses
from collections.abc import Collection, Mapping

from toucanfold import members

# A voter unreachable for this long may be replaced by a pending join, and a learner is
# abandoned. A restart takes about half of it.
REPLACE_AFTER_S = 2.0
# After a learner was abandoned, other instances join before its name for this long, as
# it may end each time.
ABANDONED_JOINS_LAST_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class PendingJoin:
    """An instance that waits to be added: the member id on its disk and its address."""

    member_id: str
    address: str


def required_voters(losses: int) -> int:
    """Return how many voters keep a majority after this number of disk losses."""
    return 2 * losses + 1


def tolerates_losses(membership: members.Membership, losses: int) -> bool:
    """Whether enough members are voters for acknowledged changes to survive."""
    return len(membership.voters) >= required_voters(losses)


class JoinPlanner:
    """Decides on the next membership change; the leader calls it at each tick."""

    __slots__ = ("_abandoned_at", "_tolerated_losses", "_unreachable_since")

    def __init__(self, losses: int):
        self._tolerated_losses = losses
        self._unreachable_since: dict[str, float] = {}
        # Times at which a learner of this name was abandoned.
        self._abandoned_at: dict[str, float] = {}

    def on_elected(self) -> None:
        """Forget the absences seen in an earlier term, which may have ended since."""
        self._unreachable_since.clear()

    def next_change(
        self,
        now: float,
        current: members.Membership,
        waiting: Mapping[str, PendingJoin],
        reachable: Collection[str],
    ) -> members.MemberChange | None:
        """Return the change to request now; None also while one is under way."""
        self._track_unreachable(now, current, reachable)
        if not self._tolerated_losses:
            return None
        learners = current.keys - current.voters
        if learners:
            return self._abandon_learner(now, current, learners)
        for name in sorted(waiting, key=self._join_order):
            change = self._change_for(now, current, name, waiting[name])
            if change is not None:
                return change
        return None

    def _join_order(self, name: str) -> tuple[float, str]:
        return self._abandoned_at.get(name, float("-inf")), name

    def _abandon_learner(
        self, now: float, current: members.Membership, learners: Collection[str]
    ) -> members.MemberChange | None:
        """Return the removal of a learner that has ended, so that others may join."""
        for key in sorted(learners):
            learner = current.get(key)
            if learner is not None and self._is_gone(now, key):
                self._abandoned_at = {
                    name: at
                    for name, at in self._abandoned_at.items()
                    if now - at < ABANDONED_JOINS_LAST_S
                }
                self._abandoned_at[learner.name] = now
                return members.MemberChange(
                    members.ChangeKind.REMOVE, learner.name, learner.member_id
                )
        return None

    def _is_gone(self, now: float, key: str) -> bool:
        since = self._unreachable_since.get(key)
        return since is not None and now - since >= REPLACE_AFTER_S

    def _track_unreachable(
        self, now: float, current: members.Membership, reachable: Collection[str]
    ) -> None:
        unreachable = current.keys.difference(reachable)
        self._unreachable_since = {
            key: self._unreachable_since.get(key, now) for key in sorted(unreachable)
        }

    def _change_for(
        self, now: float, current: members.Membership, name: str, pending: PendingJoin
    ) -> members.MemberChange | None:
        if members.member_key(name, pending.member_id) in current:
            return None
        if current.named(name):
            return _replace(name, pending, name)
        if len(current.voters) < required_voters(self._tolerated_losses):
            return members.MemberChange(
                members.ChangeKind.ADD, name, pending.member_id, pending.address
            )
        replaceable = [key for key in current.voters if self._is_gone(now, key)]
        if not replaceable:
            return None
        longest_unreachable = min(
            replaceable, key=lambda key: (self._unreachable_since[key], key)
        )
        return _replace(name, pending, members.name_of(longest_unreachable))


def _replace(name: str, pending: PendingJoin, old_name: str) -> members.MemberChange:
    return members.MemberChange(
        members.ChangeKind.REPLACE, name, pending.member_id, pending.address, old_name
    )
