"""Interfaces that the leader of control requires: replica, grantor, slot planner."""

from collections.abc import Collection, Sequence
from typing import Any, Protocol

from returns import result

from toucanfold import exceptions, joinplanner, members, messages, model


class Replica(Protocol):
    """Interface of replica.Replica that the control plane uses."""

    name: str

    @property
    def leader(self) -> str | None:
        """Name of the leader, None if unknown."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads."""

    @property
    def term(self) -> int:
        """Current Raft term."""

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""

    async def propose(
        self, data: bytes
    ) -> result.Result[tuple[int, Any], exceptions.ToucanfoldError]:
        """Commit and apply an entry; return its index and outcome."""

    async def confirm_read(self) -> result.Result[int, exceptions.ToucanfoldError]:
        """Confirm leadership with a quorum and return the applied index."""

    def on_message(self, sender: str, message: messages.Raft) -> None:
        """Handle a message from another member."""

    async def change_members(
        self, change: members.MemberChange
    ) -> result.Result[int, exceptions.ToucanfoldError]:
        """Commit the first step of a membership change and return its index."""

    def forecast(self, change: members.MemberChange) -> members.Forecast:
        """Return how many further failures the voters tolerate after a change."""

    def membership(self) -> members.Membership:
        """Return the latest membership in the log."""

    def waiting(self) -> dict[str, joinplanner.PendingJoin]:
        """Return the instances with a pending join, by name."""

    def record_pending_join(self, name: str, member_id: str, address: str) -> None:
        """Record a pending join that another member received."""

    def reachable(self) -> set[str]:
        """Return the keys of recently responsive members (leader only)."""

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another member."""

    def status(self) -> dict[str, Any]:
        """Return the state dump of consensus."""


class Grantor(Protocol):
    """Interface of leases.Grantor that the leader uses."""

    def on_elected(self, now: float, raft_term: int, state: model.FleetState) -> None:
        """Start a term as leader."""

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply a new fleet state."""

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

    def starvations(self, now: float) -> Sequence[object]:
        """Return a printable item for each account with starved holders, worst first.

        A starved holder wants tokens and has capacity for none.
        """

    def on_incarnation_terminated(
        self, now: float, daemon: str, incarnation: int
    ) -> None:
        """Reclaim the shares of an incarnation that has terminated.

        Called before the termination is proposed: the next leader does not wait for
        this incarnation, so it must get no shares while the change is committed.
        """


# Service, number and epoch of a slot.
CompleteCopy = tuple[str, int, int]


class Planner(Protocol):
    """Signature of slots.plan."""

    def __call__(
        self, now: float, state: model.FleetState, complete: Collection[CompleteCopy]
    ) -> list[model.Slot]:
        """Return the slots to assign next."""
