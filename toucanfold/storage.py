"""Durable state of one member: meta, segmented log and snapshot in a data directory."""

import dataclasses
import json
import re
import secrets
import zlib
from collections.abc import Callable

from absl import logging

from toucanfold import exceptions, files, messages, raftlog

META = "meta"
TEMPORARY_SUFFIX = ".tmp"
SEGMENT_BYTES = 1 << 20
MAX_RECORD_BYTES = 1 << 20
# Kept free so that term and vote can still be written when changes are refused.
RESERVED_BYTES = 8 << 20
# After a power loss, unwritten ranges of a file read as zeros in complete sectors.
SECTOR_BYTES = 512

_LOG_PATTERN = re.compile(r"log-(\d{20})")
_SNAPSHOT_PATTERN = re.compile(r"snapshot-(\d{20})")
_NUMBER_BYTES = 8
_CHECKSUM_BYTES = 4
# Length, checksum of the payload, checksum of these two. Without the last one a
# damaged length of the last record would look like a torn write and be truncated.
HEADER_BYTES = 12
_PAYLOAD_FIXED_BYTES = 2 * _NUMBER_BYTES + 1

_RESTORE_REMEDY = (
    "start this member with an empty data directory and join = yes, "
    "and replace it through the operators' API"
)


@dataclasses.dataclass(slots=True, frozen=True)
class Meta:
    """Identity, term and vote of a member, which must survive restarts."""

    fleet: str
    name: str
    member_id: str
    term: int = 0
    vote: str = ""


class _Segment:
    __slots__ = ("first", "is_torn", "name", "record_ends")

    def __init__(self, first: int, record_ends: list[int]):
        self.first = first
        self.name = log_name(first)
        # End offset of each record, so that the segment can be truncated at a conflict.
        self.record_ends = record_ends
        # Whether the file may hold bytes behind the last record.
        self.is_torn = False

    @property
    def last(self) -> int:
        return self.first + len(self.record_ends) - 1

    @property
    def size(self) -> int:
        return self.record_ends[-1] if self.record_ends else 0


def new_member_id() -> str:
    """Return a random id for a member whose data directory is new."""
    return secrets.token_hex(8)


def log_name(first: int) -> str:
    """Return the name of the segment that starts with an index."""
    return f"log-{first:020d}"


def snapshot_name(index: int) -> str:
    """Return the name of the snapshot up to an index."""
    return f"snapshot-{index:020d}"


def encode_record(entry: messages.Entry) -> bytes:
    """Return a record: header and payload."""
    payload = b"".join(
        (
            entry.index.to_bytes(_NUMBER_BYTES, "big"),
            entry.term.to_bytes(_NUMBER_BYTES, "big"),
            bytes((entry.kind,)),
            entry.data,
        )
    )
    head = len(payload).to_bytes(4, "big") + _checksum(payload)
    return head + _checksum(head) + payload


def _checksum(data: bytes) -> bytes:
    return zlib.crc32(data).to_bytes(_CHECKSUM_BYTES, "big")


def _decode_payload(payload: bytes) -> messages.Entry:
    return messages.Entry(
        int.from_bytes(payload[:_NUMBER_BYTES], "big"),
        int.from_bytes(payload[_NUMBER_BYTES : 2 * _NUMBER_BYTES], "big"),
        payload[2 * _NUMBER_BYTES],
        payload[_PAYLOAD_FIXED_BYTES:],
    )


class RaftStorage:
    """Reads a data directory when created and writes to it afterwards.

    Raises StorageError; DiskFullError leaves the files as they were, and the call can
    be repeated. Calls may come from any thread, one at a time.
    """

    __slots__ = (
        "_files",
        "_is_directory_synced",
        "_segments",
        "entries",
        "meta",
        "snapshot",
    )

    def __init__(
        self,
        folder: files.Files,
        fleet: str,
        name: str,
        new_id: Callable[[], str] = new_member_id,
    ):
        self._files = folder
        self._is_directory_synced = True
        self._segments: list[_Segment] = []
        self.snapshot = raftlog.EMPTY_SNAPSHOT
        self.entries: list[messages.Entry] = []
        self.meta = self._open_meta(fleet, name, new_id)
        self._read_snapshot()
        self._read_log()

    @property
    def is_disk_low(self) -> bool:
        """Whether so little space is left that changes must be refused."""
        return self._files.free_bytes() < RESERVED_BYTES

    def save_vote(self, term: int, vote: str) -> None:
        """Store the term and the vote in it."""
        meta = dataclasses.replace(self.meta, term=term, vote=vote)
        self._write_meta(meta)
        self.meta = meta

    def append(self, entries: list[messages.Entry]) -> None:
        """Store entries; stored ones from the first index on are replaced."""
        first = entries[0].index
        if self._segments and first <= self._segments[-1].last:
            self._truncate_log(first)
        if not self._segments or self._segments[-1].size >= SEGMENT_BYTES:
            self._add_segment(first)
        segment = self._segments[-1]
        assert first == segment.last + 1
        self._sync_directory()
        self._remove_torn_end(segment)
        size = segment.size
        records = [encode_record(entry) for entry in entries]
        segment.is_torn = True
        try:
            self._files.append(segment.name, b"".join(records))
            self._files.sync(segment.name)
        except exceptions.DiskFullError:
            # If this fails too, the next call repeats it before it writes.
            self._remove_torn_end(segment)
            raise
        segment.is_torn = False
        for record in records:
            size += len(record)
            segment.record_ends.append(size)

    def _remove_torn_end(self, segment: _Segment) -> None:
        if segment.is_torn:
            self._files.truncate(segment.name, segment.size)
            segment.is_torn = False

    def _sync_directory(self) -> None:
        if not self._is_directory_synced:
            self._files.sync_directory()
            self._is_directory_synced = True

    def save_snapshot(self, snapshot: raftlog.Snapshot, keep_entries: int) -> None:
        """Store this member's snapshot; remove segments older than keep_entries."""
        previous = self.snapshot
        self._write_snapshot(snapshot)
        self._remove_snapshot(previous)
        if self._segments and self._segments[-1].record_ends:
            self._add_segment(self._segments[-1].last + 1)
        oldest_kept = snapshot.index - keep_entries + 1
        while len(self._segments) > 1 and self._segments[0].last < oldest_kept:
            self._files.remove(self._segments.pop(0).name)
        self._files.sync_directory()

    def install_snapshot(self, snapshot: raftlog.Snapshot) -> None:
        """Store a leader's snapshot, which replaces the log."""
        previous = self.snapshot
        self._write_snapshot(snapshot)
        self._remove_log()
        self._remove_snapshot(previous)
        self._files.sync_directory()

    def _open_meta(self, fleet: str, name: str, new_id: Callable[[], str]) -> Meta:
        names = self._files.names()
        for temporary in names:
            if temporary.endswith(TEMPORARY_SUFFIX):
                self._files.remove(temporary)
        if META in names:
            meta = self._read_meta()
            if (meta.fleet, meta.name) != (fleet, name):
                raise exceptions.StorageError(
                    f"{self._files.path} belongs to member {meta.name!r} of fleet "
                    f"{meta.fleet!r}, not to {name!r} of {fleet!r}",
                    "correct data_folder, fleet or name in the settings",
                )
            return meta
        if any(_LOG_PATTERN.fullmatch(item) for item in names) or any(
            _SNAPSHOT_PATTERN.fullmatch(item) for item in names
        ):
            raise self._corruption_error(
                META, 0, "the file is missing, but there are log or snapshot files"
            )
        meta = Meta(fleet, name, new_id())
        self._write_meta(meta)
        return meta

    def _read_meta(self) -> Meta:
        content = self._files.read(META)
        checksum, _, body = content.partition(b"\n")
        if checksum != f"{zlib.crc32(body):08x}".encode():
            raise self._corruption_error(META, 0, "the checksum does not match")
        return Meta(**json.loads(body))

    def _write_meta(self, meta: Meta) -> None:
        body = json.dumps(dataclasses.asdict(meta)).encode()
        self._replace(META, f"{zlib.crc32(body):08x}\n".encode() + body)

    def _replace(self, name: str, content: bytes) -> None:
        temporary = name + TEMPORARY_SUFFIX
        if temporary in self._files.names():
            # Left by a rename that a full disk refused.
            self._files.remove(temporary)
        try:
            self._files.append(temporary, content)
            self._files.sync(temporary)
        except exceptions.DiskFullError:
            if temporary in self._files.names():
                self._files.remove(temporary)
            raise
        self._files.rename(temporary, name)
        self._files.sync_directory()

    def _write_snapshot(self, snapshot: raftlog.Snapshot) -> None:
        self._replace(snapshot_name(snapshot.index), snapshot.to_bytes())
        self.snapshot = snapshot

    def _remove_snapshot(self, previous: raftlog.Snapshot) -> None:
        if 0 < previous.index != self.snapshot.index:
            self._files.remove(snapshot_name(previous.index))

    def _read_snapshot(self) -> None:
        snapshot_names = [
            name for name in self._files.names() if _SNAPSHOT_PATTERN.fullmatch(name)
        ]
        if not snapshot_names:
            return
        try:
            self.snapshot = raftlog.Snapshot.from_bytes(
                self._files.read(snapshot_names[-1])
            )
        except ValueError as error:
            raise self._corruption_error(snapshot_names[-1], 0, str(error)) from error
        if snapshot_name(self.snapshot.index) != snapshot_names[-1]:
            raise self._corruption_error(
                snapshot_names[-1], 0, "the snapshot index differs from the file name"
            )
        # A crash between writing a snapshot and removing the previous one leaves two.
        for name in snapshot_names[:-1]:
            self._files.remove(name)

    def _read_log(self) -> None:
        names = [name for name in self._files.names() if _LOG_PATTERN.fullmatch(name)]
        for position, name in enumerate(names):
            self._read_segment(name, position == len(names) - 1)
        if self.entries and self._is_superseded():
            self._remove_log()
            self._files.sync_directory()
            self.entries = []
        snapshot_index = self.snapshot.index
        if self._segments and self._segments[0].first > snapshot_index + 1:
            name = self._segments[0].name
            raise self._corruption_error(
                name, 0, f"entries from {snapshot_index + 1} on are missing"
            )

    def _is_superseded(self) -> bool:
        """Whether an installed snapshot replaced this log before a crash."""
        index = self.snapshot.index
        first, last = self.entries[0].index, self.entries[-1].index
        if last < index:
            return True
        return first <= index and self.entries[index - first].term != self.snapshot.term

    def _read_segment(self, name: str, is_last: bool) -> None:
        first = int(name.removeprefix("log-"))
        if self._segments and first != self._segments[-1].last + 1:
            missing = self._segments[-1].last + 1
            raise self._corruption_error(
                name, 0, f"entries from {missing} on are missing"
            )
        segment = _Segment(first, [])
        self._segments.append(segment)
        content = self._files.read(name)
        while segment.size < len(content):
            entry = self._read_record(segment, content, is_last)
            if entry is None:
                logging.warning(
                    "truncated a torn record at the end of %s at offset %d",
                    name,
                    segment.size,
                )
                self._files.truncate(name, segment.size)
                self._files.sync(name)
                return
            self.entries.append(entry)

    def _read_record(
        self, segment: _Segment, content: bytes, is_last: bool
    ) -> messages.Entry | None:
        """Return the next record, or None for a torn one at the end of the log."""
        offset = segment.size
        head = content[offset : offset + HEADER_BYTES]
        length = int.from_bytes(head[:4], "big")
        end = offset + HEADER_BYTES + length
        payload = content[offset + HEADER_BYTES : end]
        problem = ""
        if len(head) == HEADER_BYTES and head[8:] != _checksum(head[:8]):
            problem = "the record header checksum does not match"
        elif len(head) == HEADER_BYTES and end <= len(content):
            if head[4:8] == _checksum(payload):
                return self._decode_record(segment, payload, end)
            problem = "the record payload checksum does not match"
        if is_last and (not problem or _ends_in_unwritten_sectors(content, offset)):
            return None
        raise self._corruption_error(
            segment.name, offset, problem or "the record is truncated"
        )

    def _decode_record(
        self, segment: _Segment, payload: bytes, end: int
    ) -> messages.Entry:
        expected = segment.last + 1
        if len(payload) < _PAYLOAD_FIXED_BYTES:
            raise self._corruption_error(
                segment.name, segment.size, "the record payload is too short"
            )
        entry = _decode_payload(payload)
        if entry.index != expected:
            raise self._corruption_error(
                segment.name,
                segment.size,
                f"it holds entry {entry.index} instead of {expected}",
            )
        segment.record_ends.append(end)
        return entry

    def _add_segment(self, first: int) -> None:
        segment = _Segment(first, [])
        self._files.append(segment.name, b"")
        self._segments.append(segment)
        self._is_directory_synced = False
        self._sync_directory()

    def _truncate_log(self, first: int) -> None:
        """Remove the stored entries from an index on, the newest files first."""
        while len(self._segments) > 1 and self._segments[-1].first >= first:
            self._files.remove(self._segments[-1].name)
            self._segments.pop()
            self._is_directory_synced = False
            self._sync_directory()
        segment = self._segments[-1]
        del segment.record_ends[max(0, first - segment.first) :]
        segment.is_torn = True
        self._remove_torn_end(segment)

    def _remove_log(self) -> None:
        # Newest first: a log left by a crash ends before the snapshot, so that the next
        # start recognizes it as superseded.
        while self._segments:
            self._files.remove(self._segments[-1].name)
            self._segments.pop()

    def _corruption_error(
        self, name: str, offset: int, message: str
    ) -> exceptions.CorruptionError:
        path = f"{self._files.path}/{name}"
        return exceptions.CorruptionError(path, offset, message, _RESTORE_REMEDY)


def _ends_in_unwritten_sectors(content: bytes, offset: int) -> bool:
    """Whether the end of the file, from a sector in the record on, is all zeros."""
    written = len(content.rstrip(b"\0"))
    first_sector = -(-max(written, offset) // SECTOR_BYTES) * SECTOR_BYTES
    return written <= offset or first_sector < len(content)
