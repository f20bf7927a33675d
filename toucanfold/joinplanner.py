"""Which waiting instances the leader of control takes in, and in whose place.

An operator can change members by hand. Where the number of losses to be borne is set,
the leader keeps as many voters as that takes: a member that came back without its disk
takes its own place, and a new instance that of a member which is gone.
"""

import dataclasses
from collections.abc import Collection, Mapping

from toucanfold import members

# A voter that was silent for this long may be replaced by an instance that waits. A
# restart takes about half of it.
REPLACE_AFTER_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class PendingJoin:
    """An instance that waits to be added: the id of its disk and its link address."""

    member_id: str
    address: str


def required_voters(losses: int) -> int:
    """Return the voters of which a majority is left after some lost their disks."""
    return 2 * losses + 1


def tolerates_losses(membership: members.Membership, losses: int) -> bool:
    """Whether enough members have a vote for an acknowledged change to be safe."""
    return len(membership.voters) >= required_voters(losses)


class JoinPlanner:
    """Decides on the next change of members; the leader asks it at each tick."""

    __slots__ = ("_absent_since", "_losses")

    def __init__(self, losses: int):
        self._losses = losses
        self._absent_since: dict[str, float] = {}

    def next_change(
        self,
        now: float,
        present: members.Membership,
        waiting: Mapping[str, PendingJoin],
        reachable: Collection[str],
    ) -> members.MemberChange | None:
        """Return the change to ask for now; None while one is under way."""
        self._note_absent(now, present, reachable)
        if not self._losses or len(present.voters) != len(present.members):
            return None
        for name in sorted(waiting):
            change = self._change_for(now, present, name, waiting[name])
            if change is not None:
                return change
        return None

    def _note_absent(
        self, now: float, present: members.Membership, reachable: Collection[str]
    ) -> None:
        absent = present.keys.difference(reachable)
        self._absent_since = {
            key: self._absent_since.get(key, now) for key in sorted(absent)
        }

    def _change_for(
        self, now: float, present: members.Membership, name: str, found: PendingJoin
    ) -> members.MemberChange | None:
        if members.member_key(name, found.member_id) in present:
            return None
        if present.named(name):
            return _replace(name, found, name)
        if len(present.voters) < required_voters(self._losses):
            return members.MemberChange(
                members.ChangeKind.ADD, name, found.member_id, found.address
            )
        gone = [
            key
            for key, since in self._absent_since.items()
            if now - since >= REPLACE_AFTER_S and key in present.voters
        ]
        if not gone:
            return None
        longest = min(gone, key=lambda key: (self._absent_since[key], key))
        return _replace(name, found, members.name_of(longest))


def _replace(name: str, found: PendingJoin, old_name: str) -> members.MemberChange:
    return members.MemberChange(
        members.ChangeKind.REPLACE, name, found.member_id, found.address, old_name
    )
