"""The replicated log in memory: recent entries, snapshot and memberships."""

import dataclasses
import zlib

from toucanfold import members, messages

KIND_COMMAND = 0
KIND_NOOP = 1
KIND_MEMBERS = 2

_MAGIC = b"TFSNAP01"
_NUMBER_BYTES = 8
_CHECKSUM_BYTES = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """State of the state machine up to an index, with the membership at that index."""

    index: int
    term: int
    membership: members.Membership
    data: bytes

    def to_bytes(self) -> bytes:
        """Return the encoding with a checksum, for the disk and for followers."""
        membership = self.membership.to_bytes()
        numbers = (self.index, self.term, len(membership), len(self.data))
        body = _MAGIC + b"".join(
            number.to_bytes(_NUMBER_BYTES, "big") for number in numbers
        )
        body += membership + self.data
        return body + zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big")

    @classmethod
    def from_bytes(cls, encoded: bytes) -> "Snapshot":
        """Decode what to_bytes returned; ValueError if it is damaged."""
        body, checksum = encoded[:-_CHECKSUM_BYTES], encoded[-_CHECKSUM_BYTES:]
        start = len(_MAGIC) + 4 * _NUMBER_BYTES
        if len(body) < start or not body.startswith(_MAGIC):
            raise ValueError("the snapshot header is missing or truncated")
        if zlib.crc32(body) != int.from_bytes(checksum, "big"):
            raise ValueError("the snapshot checksum does not match")
        index, term, membership_bytes, data_bytes = (
            int.from_bytes(body[at : at + _NUMBER_BYTES], "big")
            for at in range(len(_MAGIC), start, _NUMBER_BYTES)
        )
        end = start + membership_bytes
        if len(body) != end + data_bytes:
            raise ValueError("the snapshot length does not match its header")
        membership = members.Membership.from_bytes(body[start:end])
        return cls(index, term, membership, body[end:])


EMPTY_SNAPSHOT = Snapshot(0, 0, members.Membership(), b"")


class RaftLog:
    """Entries after a base index, the latest snapshot and the memberships.

    stable_index is the last index that is synced to the disk.
    """

    __slots__ = (
        "_base",
        "_base_term",
        "_entries",
        "_memberships",
        "snapshot",
        "stable_index",
    )

    def __init__(self, snapshot: Snapshot, entries: list[messages.Entry]):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._base = entries[0].index - 1 if entries else snapshot.index
        self._base_term = snapshot.term if self._base == snapshot.index else 0
        self._memberships: list[tuple[int, members.Membership]] = []
        self.stable_index = self.last_index
        self._collect_memberships()

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory, if there is one."""
        return self._base + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry or of the snapshot."""
        return self._base + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry or of the snapshot."""
        return self.term_at(self.last_index) or 0

    @property
    def membership(self) -> members.Membership:
        """The latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that holds the latest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> members.Membership:
        """Return the membership in force at an index after the snapshot."""
        latest = self._memberships[0][1]
        for at, membership in self._memberships:
            if at <= index:
                latest = membership
        return latest

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index == self._base:
            return self._base_term or (0 if index == 0 else None)
        if self._base < index <= self.last_index:
            return self._entries[index - self._base - 1].term
        return None

    def slice(self, first: int, last: int, max_bytes: int) -> list[messages.Entry]:
        """Return the entries first to last that fit in max_bytes, at least one."""
        start = max(0, first - self._base - 1)
        chosen: list[messages.Entry] = []
        size = 0
        for entry in self._entries[start : max(start, last - self._base)]:
            size += len(entry.data) + 32
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entries: list[messages.Entry]) -> None:
        """Append entries after the last one."""
        for entry in entries:
            assert entry.index == self.last_index + 1
            self._entries.append(entry)
            if entry.kind == KIND_MEMBERS:
                membership = members.Membership.from_bytes(entry.data)
                self._memberships.append((entry.index, membership))

    def merge(self, entries: list[messages.Entry]) -> None:
        """Add a leader's entries; those that conflict with them are removed."""
        for position, entry in enumerate(entries):
            if entry.index <= max(self._base, self.snapshot.index):
                continue
            existing_term = self.term_at(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                self.truncate(entry.index)
            self.append(entries[position:])
            return

    def truncate(self, first: int) -> None:
        """Remove the entries from an index on."""
        del self._entries[max(0, first - self._base - 1) :]
        self.stable_index = min(self.stable_index, first - 1)
        while len(self._memberships) > 1 and self._memberships[-1][0] >= first:
            self._memberships.pop()

    def mark_stable(self, index: int, term: int) -> None:
        """Record that entries up to an index are on the disk, unless replaced since."""
        if index > self.stable_index and self.term_at(index) == term:
            self.stable_index = index

    def compact(self, snapshot: Snapshot, keep_entries: int) -> None:
        """Adopt this member's snapshot; keep only keep_entries entries before it."""
        self.snapshot = snapshot
        new_base = min(snapshot.index - keep_entries, self.last_index)
        if new_base > self._base:
            self._base_term = self.term_at(new_base) or 0
            del self._entries[: new_base - self._base]
            self._base = new_base
        self._collect_memberships()

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a leader's snapshot."""
        self.snapshot = snapshot
        self._entries = []
        self._base, self._base_term = snapshot.index, snapshot.term
        self.stable_index = snapshot.index
        self._collect_memberships()

    def _collect_memberships(self) -> None:
        self._memberships = [(self.snapshot.index, self.snapshot.membership)]
        for entry in self._entries:
            if entry.kind == KIND_MEMBERS and entry.index > self.snapshot.index:
                membership = members.Membership.from_bytes(entry.data)
                self._memberships.append((entry.index, membership))
