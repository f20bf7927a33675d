"""What the leader of control needs of consensus, rate grants and the slot plan."""

from collections.abc import Collection
from typing import Any, Protocol

from returns import result

from toucanfold import exceptions, joinplanner, members, messages, model


class Replica(Protocol):
    """What the control plane needs of replica.Replica."""

    name: str

    @property
    def leader(self) -> str | None:
        """Name of the leader as far as known."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads."""

    @property
    def term(self) -> int:
        """Present term."""

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""

    async def propose(
        self, data: bytes
    ) -> result.Result[tuple[int, Any], exceptions.ToucanfoldError]:
        """Commit and apply an entry."""

    async def confirm_read(self) -> result.Result[int, exceptions.ToucanfoldError]:
        """Return the applied index of a confirmed lead."""

    def on_message(self, sender: str, message: messages.Raft) -> None:
        """Handle a message of another member."""

    async def change_members(
        self, change: members.MemberChange
    ) -> result.Result[int, exceptions.ToucanfoldError]:
        """Commit the first step of a change of members."""

    def forecast(self, change: members.MemberChange) -> members.Forecast:
        """Tell how many further losses the voters can bear with a change."""

    def membership(self) -> members.Membership:
        """Return the latest membership in the log."""

    def waiting(self) -> dict[str, joinplanner.PendingJoin]:
        """Return the instances that wait to be added, by name."""

    def record_pending_join(self, name: str, member_id: str, address: str) -> None:
        """Note an instance that another member heard waiting."""

    def reachable(self) -> set[str]:
        """Return the keys of the members heard lately (leader only)."""

    async def transfer_leadership(self) -> None:
        """Hand the lead to another member."""

    def status(self) -> dict[str, Any]:
        """Return what a state dump shows."""


class Grantor(Protocol):
    """What the leader needs of leases.Grantor."""

    def on_elected(self, now: float, raft_term: int, state: model.FleetState) -> None:
        """Start a lead."""

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Take a new fleet state."""

    def on_ping(
        self,
        now: float,
        daemon: str,
        incarnation: int,
        raft_term: int,
        demands: list[messages.Demand],
        shares: list[messages.Share],
    ) -> list[messages.Share]:
        """Renew a daemon's shares and return its grants."""

    def on_incarnation_ended(self, now: float, daemon: str, incarnation: int) -> None:
        """Take back the shares of an incarnation that has ended.

        Called before its end is proposed: the next leader does not wait for it, so it
        must get no shares while the change is committed.
        """


# Service, number and epoch of a slot.
CompleteCopy = tuple[str, int, int]


class Planner(Protocol):
    """What the leader needs of slots.plan."""

    def __call__(
        self, now: float, state: model.FleetState, complete: Collection[CompleteCopy]
    ) -> list[model.Slot]:
        """Return the slots to assign next."""
