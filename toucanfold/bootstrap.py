"""How uninitialized instances become the first members of a fleet.

Each announces itself with its random id. The one whose name sorts first collects the
ids of all others and writes the first membership, which the others adopt. So a member
that lost its disk never starts a second fleet: a member that has state sends no
bootstrap announcement, and an instance with a new id is not in the first membership.

One of the others may have restarted as a joining instance before the first membership
was written. It is included all the same: only the instance whose name sorts first can
have written a membership, and that one has no state.
"""

from collections.abc import Iterable

from toucanfold import members, messages, raftlog
from toucanfold.rafttypes import BootstrapConfig, Kind

FIRST_TERM = 1


class Bootstrapper:
    """Collects the ids of the first members while this instance is uninitialized."""

    __slots__ = (
        "_addresses",
        "_confirmed_keys",
        "_joining",
        "_key",
        "_last_keys",
        "_own_address",
    )

    def __init__(self, key: str, plan: BootstrapConfig):
        self._key = key
        self._addresses = dict(plan.addresses)
        self._joining = plan.joining
        self._own_address = plan.own_address
        # Keys last received, by name, and those of senders that have addressed this
        # instance's id since it started: only these are certainly uninitialized now.
        self._last_keys: dict[str, str] = {}
        self._confirmed_keys: dict[str, str] = {}

    def announcements(self, contacts: Iterable[str]) -> list[messages.Raft]:
        """Return an announcement for each other instance and each further contact."""
        own = members.name_of(self._key)
        return [
            messages.Raft(
                kind=int(Kind.ANNOUNCE),
                sender=self._key,
                receiver=self._last_keys.get(name, name),
                granted=self._joining,
                address=self._own_address,
            )
            for name in sorted(self._addresses.keys() | contacts)
            if name != own
        ]

    def on_announce(self, message: messages.Raft) -> None:
        """Record the id of another uninitialized instance."""
        name = members.name_of(message.sender)
        if name not in self._addresses:
            return
        self._last_keys[name] = message.sender
        if message.receiver == self._key:
            self._confirmed_keys[name] = message.sender
        elif self._confirmed_keys.get(name) != message.sender:
            self._confirmed_keys.pop(name, None)

    def first_entry(self) -> messages.Entry | None:
        """Return the first membership as an entry once this instance may write it."""
        own = members.name_of(self._key)
        others = set(self._addresses) - {own}
        if self._joining or own != min(self._addresses, default=""):
            return None
        if set(self._confirmed_keys) != others:
            return None
        keys = [self._key, *self._confirmed_keys.values()]
        first = members.Membership(
            members.Member(name, member_id, self._addresses[name])
            for name, _, member_id in (key.partition(members.SEPARATOR) for key in keys)
        )
        return messages.Entry(1, FIRST_TERM, raftlog.KIND_MEMBERS, first.to_bytes())

    def accepts_bootstrap(self, message: messages.Raft) -> bool:
        """Whether the first membership that another member sent includes this one."""
        if len(message.entries) != 1:
            return False
        entry = message.entries[0]
        if entry.index != 1 or entry.kind != raftlog.KIND_MEMBERS:
            return False
        return self._key in members.Membership.from_bytes(entry.data)
