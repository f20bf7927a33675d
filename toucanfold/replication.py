"""Leader state: progress of the others, confirmed reads, quorum contact."""

import random

from toucanfold import messages, raftlog
from toucanfold.rafttypes import ELECTION_TIMEOUT_MIN_S, HEARTBEAT_INTERVAL_S, Kind

# Appends and snapshot chunks stay well below messages.MAX_FRAME_BYTES.
MAX_APPEND_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 128 * 1024
# Entries sent to a follower beyond the last that it acknowledged.
MAX_INFLIGHT_ENTRIES = 2048
CHUNK_RESEND_DELAY_S = 0.3
# Reads that wait share a round of messages; rounds start at least this far apart.
READ_ROUND_INTERVAL_S = 0.05


class _Progress:
    __slots__ = (
        "acked_read_sequence",
        "chunk_offset",
        "chunk_sent_at",
        "heartbeat_due_at",
        "last_contact_at",
        "match",
        "next",
        "probing",
        "sent_commit_index",
        "snapshot",
        "snapshot_bytes",
    )

    def __init__(self, next_index: int, now: float):
        self.next = next_index
        self.match = 0
        self.last_contact_at = now
        self.heartbeat_due_at = now
        self.probing = False
        self.acked_read_sequence = 0
        self.sent_commit_index = 0
        self.snapshot: raftlog.Snapshot | None = None
        self.snapshot_bytes = b""
        self.chunk_offset = 0
        self.chunk_sent_at = 0.0


class SnapshotReceiver:
    """The chunks of a leader's snapshot that a follower has received."""

    __slots__ = ("_data", "_source")

    def __init__(self) -> None:
        self._source: tuple[str, int, int] = ("", 0, 0)
        self._data = bytearray()

    @property
    def size(self) -> int:
        """Bytes received so far."""
        return len(self._data)

    def add(self, message: messages.Raft) -> raftlog.Snapshot | None:
        """Add a chunk; return the snapshot when it is complete and undamaged."""
        source = (message.sender, message.term, message.last_index)
        if source != self._source:
            self._source = source
            self._data.clear()
        if message.snapshot_offset != len(self._data) or not message.snapshot:
            return None
        self._data += message.snapshot
        if not message.snapshot_done:
            return None
        encoded = bytes(self._data)
        self._data.clear()
        try:
            return raftlog.Snapshot.from_bytes(encoded)
        except ValueError:
            return None


class LeaderState:
    """The state of a leader in one term."""

    __slots__ = (
        "_key",
        "_log",
        "_progress",
        "_read_round_started_at",
        "_reads",
        "_sent_read_sequence",
        "_term",
        "_transfer_deadline",
        "noop_index",
        "read_sequence",
        "transfer_to",
    )

    def __init__(self, key: str, term: int, log: raftlog.RaftLog, now: float):
        self._key = key
        self._term = term
        self._log = log
        self._progress: dict[str, _Progress] = {}
        self._reads: list[tuple[int, int]] = []
        self._sent_read_sequence = 0
        self._read_round_started_at = now - READ_ROUND_INTERVAL_S
        self._transfer_deadline = 0.0
        self.read_sequence = 0
        self.transfer_to = ""
        self.noop_index = log.last_index + 1
        self.update_members(now)

    def update_members(self, now: float) -> None:
        """Track exactly the other members of the latest membership."""
        others = self._log.membership.keys - {self._key}
        for key in set(self._progress) - others:
            del self._progress[key]
        for key in others - set(self._progress):
            self._progress[key] = _Progress(self._log.last_index + 1, now)

    def due_messages(self, now: float, commit: int) -> list[messages.Raft]:
        """Return the messages due: entries, heartbeats, commits and read rounds."""
        starts_read_round = self._is_read_round_due(now)
        if starts_read_round:
            self._sent_read_sequence = self.read_sequence
            self._read_round_started_at = now
        out: list[messages.Raft] = []
        for key in sorted(self._progress):
            peer = self._progress[key]
            due = now >= peer.heartbeat_due_at
            if due or starts_read_round:
                # The reply to this heartbeat shows whether the last append was lost.
                peer.probing = False
            if peer.snapshot is None and self._log.term_at(peer.next - 1) is None:
                self._start_snapshot(peer)
            if peer.snapshot is not None:
                self._flush_snapshot(key, peer, now, due or starts_read_round, out)
            else:
                force = due or starts_read_round or peer.sent_commit_index < commit
                self._flush_entries(key, peer, now, commit, force, out)
            if due:
                peer.heartbeat_due_at = now + HEARTBEAT_INTERVAL_S
        return out

    def on_append_reply(self, now: float, message: messages.Raft) -> None:
        """Update a follower's progress."""
        peer = self._progress.get(message.sender)
        if peer is None:
            return
        peer.last_contact_at = now
        peer.acked_read_sequence = max(peer.acked_read_sequence, message.read_sequence)
        if peer.snapshot is not None:
            return
        peer.probing = False
        hint = min(message.match_index, self._log.last_index)
        if message.granted:
            peer.match = max(peer.match, hint)
            peer.next = max(peer.next, peer.match + 1)
        else:
            peer.next = max(peer.match, min(hint, peer.next - 1)) + 1

    def on_snapshot_reply(self, now: float, message: messages.Raft) -> None:
        """Continue with the next chunk, or with entries when the snapshot is stored."""
        peer = self._progress.get(message.sender)
        if peer is None:
            return
        peer.last_contact_at = now
        peer.acked_read_sequence = max(peer.acked_read_sequence, message.read_sequence)
        if message.granted:
            peer.match = max(peer.match, min(message.match_index, self._log.last_index))
            peer.next = max(peer.next, peer.match + 1)
            if peer.snapshot is not None and peer.match >= peer.snapshot.index:
                peer.snapshot, peer.snapshot_bytes = None, b""
                peer.next = peer.match + 1
            return
        is_current = peer.snapshot and message.last_index == peer.snapshot.index
        if is_current and message.snapshot_offset != peer.chunk_offset:
            peer.chunk_offset = message.snapshot_offset
            peer.chunk_sent_at = 0.0

    def quorum_commit_index(self, commit: int) -> int:
        """Return the highest index of this term that a quorum has synced."""
        membership = self._log.membership
        synced_indexes = [
            self._log.stable_index if key == self._key else self._progress[key].match
            for key in membership.voters
        ]
        if not synced_indexes:
            return commit
        index = sorted(synced_indexes, reverse=True)[membership.quorum - 1]
        if index > commit and self._log.term_at(index) == self._term:
            return index
        return commit

    def reachable(self, now: float) -> set[str]:
        """Return this member and those in contact within the election timeout."""
        oldest_contact_at = now - ELECTION_TIMEOUT_MIN_S
        in_contact = {
            key
            for key, peer in self._progress.items()
            if peer.last_contact_at > oldest_contact_at
        }
        return in_contact | {self._key}

    def caught_up(self, now: float, commit: int) -> set[str]:
        """Return the reachable members that hold everything committed."""
        reachable = self.reachable(now)
        return {
            key
            for key, peer in self._progress.items()
            if key in reachable and peer.match >= commit
        }

    def request_read(self, commit: int) -> None:
        """Start a confirmation of leadership with a new read sequence."""
        self.read_sequence += 1
        self._reads.append((self.read_sequence, max(commit, self.noop_index)))

    def take_confirmed_reads(self) -> list[tuple[int, int]]:
        """Return (sequence, index) of reads that a quorum has confirmed."""
        if not self._reads:
            return []
        confirmed = self._confirmed_read_sequence()
        done = [read for read in self._reads if read[0] <= confirmed]
        self._reads = self._reads[len(done) :]
        return done

    def _is_read_round_due(self, now: float) -> bool:
        """Whether reads wait for a round, and none is under way.

        A round confirms all reads requested before it. Its messages may be lost, so it
        is not waited for longer than a heartbeat interval.
        """
        if self.read_sequence == self._sent_read_sequence:
            return False
        if self._confirmed_read_sequence() >= self._sent_read_sequence:
            return now >= self._read_round_started_at + READ_ROUND_INTERVAL_S
        return now >= self._read_round_started_at + HEARTBEAT_INTERVAL_S

    def _confirmed_read_sequence(self) -> int:
        """Return the highest read sequence that a quorum has confirmed."""
        membership = self._log.membership
        acked = [
            self._sent_read_sequence
            if key == self._key
            else self._progress[key].acked_read_sequence
            for key in membership.voters
        ]
        if not acked:
            return 0
        return sorted(acked, reverse=True)[membership.quorum - 1]

    def has_voter_ahead(self, now: float) -> bool:
        """Whether a reachable voter has stored entries that this member has not."""
        voters = self._log.membership.voters & self.reachable(now) - {self._key}
        return any(self._progress[key].match > self._log.stable_index for key in voters)

    def start_transfer(self, now: float, rng: random.Random) -> bool:
        """Choose the most advanced reachable voter as leader; False without one."""
        voters = self._log.membership.voters & self.reachable(now)
        candidates = sorted(voters - {self._key})
        rng.shuffle(candidates)
        candidates.sort(key=lambda key: -self._progress[key].match)
        if not candidates:
            return False
        self.transfer_to = candidates[0]
        self._transfer_deadline = now + ELECTION_TIMEOUT_MIN_S
        return True

    def transfer_message(self, now: float) -> messages.Raft | None:
        """Return the request for an election once the chosen voter has all entries."""
        if not self.transfer_to:
            return None
        peer = self._progress.get(self.transfer_to)
        if peer is None or now > self._transfer_deadline:
            self.transfer_to = ""
        elif peer.match == self._log.last_index:
            return self._message(Kind.TIMEOUT_NOW, self.transfer_to)
        return None

    def progress(self, now: float) -> dict[str, dict[str, float]]:
        """Return match index and seconds since contact of each other member."""
        return {
            key: {"match": peer.match, "silent_s": round(now - peer.last_contact_at, 3)}
            for key, peer in sorted(self._progress.items())
        }

    def _flush_entries(
        self,
        key: str,
        peer: _Progress,
        now: float,
        commit: int,
        force: bool,
        out: list[messages.Raft],
    ) -> None:
        while True:
            last = min(self._log.last_index, peer.match + MAX_INFLIGHT_ENTRIES)
            entries: list[messages.Entry] = []
            if peer.next <= last and not peer.probing:
                entries = self._log.slice(peer.next, last, MAX_APPEND_BYTES)
            if not entries and not force:
                return
            force = False
            message = self._message(Kind.APPEND, key)
            message.last_index = peer.next - 1
            message.last_term = self._log.term_at(peer.next - 1) or 0
            message.commit = commit
            message.entries = entries
            out.append(message)
            peer.sent_commit_index = commit
            peer.next += len(entries)
            if entries and peer.match == 0:
                # Nothing is known of the follower's log: wait for its first reply.
                peer.probing = True

    def _start_snapshot(self, peer: _Progress) -> None:
        peer.snapshot = self._log.snapshot
        peer.snapshot_bytes = peer.snapshot.to_bytes()
        peer.chunk_offset, peer.chunk_sent_at = 0, 0.0

    def _flush_snapshot(
        self,
        key: str,
        peer: _Progress,
        now: float,
        force: bool,
        out: list[messages.Raft],
    ) -> None:
        assert peer.snapshot is not None
        message = self._message(Kind.SNAPSHOT, key)
        message.last_index = peer.snapshot.index
        message.last_term = peer.snapshot.term
        message.snapshot_offset = peer.chunk_offset
        if (
            peer.chunk_sent_at == 0.0
            or now >= peer.chunk_sent_at + CHUNK_RESEND_DELAY_S
        ):
            end = peer.chunk_offset + SNAPSHOT_CHUNK_BYTES
            message.snapshot = peer.snapshot_bytes[peer.chunk_offset : end]
            message.snapshot_done = end >= len(peer.snapshot_bytes)
            peer.chunk_sent_at = now
        elif not force:
            return
        out.append(message)

    def _message(self, kind: Kind, receiver: str) -> messages.Raft:
        return messages.Raft(
            kind=int(kind),
            sender=self._key,
            receiver=receiver,
            term=self._term,
            read_sequence=self._sent_read_sequence,
        )
