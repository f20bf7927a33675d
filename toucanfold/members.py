"""Membership of the replicated log, and the effect of changes on its quorum."""

import dataclasses
import enum
import json
import math
from collections.abc import Collection, Iterable

from returns import result

from toucanfold import exceptions

SEPARATOR = "/"


def member_key(name: str, member_id: str) -> str:
    """Return the key that identifies a member in messages: its name and its id."""
    return f"{name}{SEPARATOR}{member_id}"


def name_of(key: str) -> str:
    """Return the name in a member key or in a plain name."""
    return key.partition(SEPARATOR)[0]


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One member; replaces is the key of the member that it replaces, or empty.

    A membership keeps replaces only as long as the replaced member is in it.
    """

    name: str
    member_id: str
    address: str = ""
    voter: bool = True
    replaces: str = ""

    @property
    def key(self) -> str:
        """Name and id."""
        return member_key(self.name, self.member_id)


class ChangeKind(enum.StrEnum):
    """Kinds of membership changes."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"


@dataclasses.dataclass(slots=True, frozen=True)
class MemberChange:
    """A membership change requested by an operator or the join planner.

    An empty member_id stands for the id that the named member announced (ADD, REPLACE)
    or has in the membership (PROMOTE, REMOVE). REPLACE adds a member that replaces
    old_name, or the member with the same name when old_name is empty. force allows a
    change after which the reachable voters are no quorum.
    """

    kind: ChangeKind
    name: str
    member_id: str = ""
    address: str = ""
    old_name: str = ""
    force: bool = False


class Membership:
    """An immutable set of members by key."""

    __slots__ = ("_members", "quorum", "voters")

    def __init__(self, members: Iterable[Member] = ()):
        by_key = {member.key: member for member in members}
        # A replacement ends with the removal of the replaced member, which may join
        # again under its key.
        self._members = {
            key: member
            if not member.replaces or member.replaces in by_key
            else dataclasses.replace(member, replaces="")
            for key, member in by_key.items()
        }
        self.voters = frozenset(
            key for key, member in self._members.items() if member.voter
        )
        self.quorum = len(self.voters) // 2 + 1

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Membership) and self._members == other._members

    def __hash__(self) -> int:
        return hash(tuple(sorted(self._members)))

    def __contains__(self, key: str) -> bool:
        return key in self._members

    def __bool__(self) -> bool:
        return bool(self._members)

    @property
    def members(self) -> tuple[Member, ...]:
        """All members in order of their keys."""
        return tuple(self._members[key] for key in sorted(self._members))

    @property
    def keys(self) -> frozenset[str]:
        """Keys of voters and learners."""
        return frozenset(self._members)

    def get(self, key: str) -> Member | None:
        """Return the member with a key."""
        return self._members.get(key)

    def named(self, name: str) -> list[Member]:
        """Return the members with a name; two while one replaces the other."""
        return [member for member in self.members if member.name == name]

    def is_quorum(self, keys: Collection[str]) -> bool:
        """Whether the voters among the keys are a quorum."""
        return len(self.voters.intersection(keys)) >= self.quorum

    def put(self, member: Member) -> "Membership":
        """Return a membership with the member added or replaced under its key."""
        return Membership((self._members | {member.key: member}).values())

    def without(self, key: str) -> "Membership":
        """Return a membership without the member."""
        return Membership(item for item in self.members if item.key != key)

    def to_bytes(self) -> bytes:
        """Return the JSON encoding."""
        fields = [dataclasses.asdict(member) for member in self.members]
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Membership":
        """Decode what to_bytes returned; ValueError for anything else."""
        try:
            return cls(Member(**fields) for fields in json.loads(data))
        except TypeError as error:
            raise ValueError(f"not a membership: {error}") from error


def apply_change(
    current: Membership, change: MemberChange, announced: dict[str, str]
) -> result.Result[Membership, exceptions.ValidationError]:
    """Return the membership after the first step of a change.

    announced maps names to the ids of instances with a pending join.
    """
    if change.kind in (ChangeKind.ADD, ChangeKind.REPLACE):
        return _add_member(current, change, announced)
    member = _find_member(current, change)
    if member is None:
        return _refuse(
            f"no single member is named {change.name!r} with the given id",
            "see the membership in the status",
        )
    if change.kind is ChangeKind.PROMOTE:
        return result.Success(current.put(dataclasses.replace(member, voter=True)))
    if current.voters == {member.key}:
        return _refuse("the last voter cannot be removed", "add another member first")
    return result.Success(current.without(member.key))


def _add_member(
    current: Membership, change: MemberChange, announced: dict[str, str]
) -> result.Result[Membership, exceptions.ValidationError]:
    member_id = change.member_id or announced.get(change.name, "")
    if not member_id:
        return _refuse(
            f"no instance {change.name!r} waits to be added",
            "start it with an empty data folder and join = yes, or give its member id",
        )
    replaces = ""
    if change.kind is ChangeKind.REPLACE:
        old = [
            member
            for member in current.named(change.old_name or change.name)
            if member.member_id != member_id
        ]
        if len(old) != 1:
            return _refuse(
                f"no single member {change.old_name or change.name!r} can be replaced",
                "see the membership in the status",
            )
        replaces = old[0].key
    elif current.named(change.name):
        return _refuse(f"{change.name!r} is a member already", "replace it instead")
    member = Member(change.name, member_id, change.address, False, replaces)
    if member.key in current:
        return _refuse(f"{member.key} is a member already", "nothing is to be done")
    return result.Success(current.put(member))


def _find_member(current: Membership, change: MemberChange) -> Member | None:
    matching = [
        member
        for member in current.named(change.name)
        if change.member_id in ("", member.member_id)
    ]
    return matching[0] if len(matching) == 1 else None


def _refuse(message: str, remedy: str) -> result.Failure:
    return result.Failure(exceptions.ValidationError(message, remedy))


def next_step(
    current: Membership, reachable: Collection[str], caught_up: Collection[str]
) -> Membership | None:
    """Return the next step of additions and replacements under way, None if none.

    A failed voter is removed before its replacement is promoted: with both in the
    membership, four voters would need three, and one more failure would stop them.
    """
    for member in current.members:
        old = current.get(member.replaces)
        if member.voter:
            if old is not None:
                return current.without(old.key)
            continue
        if member.key not in caught_up:
            continue
        if old is not None and old.key not in reachable:
            return current.without(old.key)
        return current.put(dataclasses.replace(member, voter=True))
    return None


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """Voter failures tolerated; fault_tolerance is negative without a quorum."""

    voters: int
    reachable: int
    quorum: int

    @property
    def fault_tolerance(self) -> int:
        """How many more voters may fail before changes stop."""
        return self.reachable - self.quorum

    @property
    def text(self) -> str:
        """One sentence for the operator."""
        prefix = (
            f"{self.reachable} of {self.voters} voters reachable, {self.quorum} needed"
        )
        if self.fault_tolerance < 0:
            return f"{prefix}: no quorum, so changes and reads stop"
        if self.fault_tolerance == 0:
            return f"{prefix}: the loss of one more voter stops changes and reads"
        return f"{prefix}: {self.fault_tolerance} more may be lost"


def forecast(membership: Membership, reachable: Collection[str]) -> Forecast:
    """Return how many further failures the reachable voters tolerate."""
    reachable_voters = len(membership.voters.intersection(reachable))
    return Forecast(len(membership.voters), reachable_voters, membership.quorum)


def replacement_forecast(
    current: Membership, reachable: Collection[str], old_key: str
) -> Forecast:
    """Return the lowest fault tolerance while a member is replaced."""
    remaining = current.without(old_key)
    with_old = forecast(current, set(reachable) - {old_key})
    without_old = forecast(remaining, reachable)
    return min(
        with_old, without_old, key=lambda item: (item.fault_tolerance, -math.inf)
    )
