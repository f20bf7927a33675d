"""Consensus on the replicated log: replication, reads and membership."""

import random
from collections.abc import Callable, Collection
from typing import Any

from returns import result

from toucanfold import (
    bootstrap,
    election,
    exceptions,
    members,
    messages,
    raftlog,
    replication,
)
from toucanfold.rafttypes import (
    ANNOUNCE_INTERVAL_S,
    MAX_COMMAND_BYTES,
    PENDING_JOIN_TTL_S,
    REJOIN_AFTER_S,
    BootstrapConfig,
    Kind,
    Ready,
    Role,
)

_RESEND_REMEDY = "resend it with the same operation id to the leader"


class Raft(election.LeaderElection):
    """The Raft protocol of one member; it does no I/O.

    The driver calls on_tick and on_message, then take_immediate_messages, take_ready
    and on_stored. While it stores the contents of a Ready, it may call all but
    take_ready.
    """

    __slots__ = (
        "_bootstrapper",
        "_contacts",
        "_handlers",
        "_join_reported_at",
        "_next_announce_at",
        "_own_address",
        "_pending_snapshot",
        "_saved_vote",
        "_snapshot_receiver",
        "_stored_vote",
        "announced",
        "commit_index",
        "pending_join_addresses",
    )

    def __init__(
        self,
        key: str,
        plan: BootstrapConfig,
        vote: tuple[int, str],
        log: raftlog.RaftLog,
        rng: random.Random,
        now: float,
    ):
        super().__init__(key, vote, log, rng, now)
        self.commit_index = log.snapshot.index
        # Member ids and link addresses of instances with a pending join, by name.
        self.announced: dict[str, str] = {}
        self.pending_join_addresses: dict[str, str] = {}
        self._join_reported_at: dict[str, float] = {}
        self._own_address = plan.own_address
        self._bootstrapper = bootstrap.Bootstrapper(key, plan)
        # Names of instances that may admit this one when no member it knows is left.
        self._contacts = frozenset(plan.addresses)
        self._saved_vote = self._stored_vote = vote
        self._next_announce_at = now
        self._snapshot_receiver = replication.SnapshotReceiver()
        self._pending_snapshot: raftlog.Snapshot | None = None
        self._handlers: dict[int, Callable[[float, messages.Raft], None]] = {
            Kind.PRE_VOTE: self._on_pre_vote,
            Kind.PRE_VOTE_REPLY: self._on_pre_vote_reply,
            Kind.VOTE: self._on_vote,
            Kind.VOTE_REPLY: self._on_vote_reply,
            Kind.APPEND: self._on_append,
            Kind.APPEND_REPLY: self._on_append_reply,
            Kind.SNAPSHOT: self._on_snapshot,
            Kind.SNAPSHOT_REPLY: self._on_snapshot_reply,
            Kind.TIMEOUT_NOW: self._on_timeout_now,
        }

    def on_tick(self, now: float) -> None:
        """Run the timers that are due at this time, in seconds."""
        if not self.membership:
            self._tick_uninitialized(now)
        elif self._leader_state is not None:
            self._tick_leader(now, self._leader_state)
        elif now >= self._election_due_at:
            self.leader = ""
            if self.key in self.membership.voters:
                self._start_pre_vote(now)
            self._announce_to_members(now)

    def on_message(self, now: float, message: messages.Raft) -> None:
        """Handle a message; one addressed to another id of this name is dropped.

        An uninitialized member may vote: it has acknowledged nothing under its id.
        """
        if message.kind == Kind.ANNOUNCE:
            self._on_announce(now, message)
        elif message.receiver != self.key or message.kind not in self._handlers:
            self._on_bootstrap_entry(now, message)
        elif self._check_term(now, message):
            self._handlers[message.kind](now, message)

    def take_immediate_messages(self, now: float) -> list[messages.Raft]:
        """Return a leader's messages, which do not wait for its own disk."""
        if self._leader_state is None:
            return []
        outgoing = self._leader_state.due_messages(now, self.commit_index)
        transfer = self._leader_state.transfer_message(now)
        return outgoing if transfer is None else [*outgoing, transfer]

    def take_ready(self) -> Ready:
        """Return what to store and the messages to send after that."""
        vote = (self.term, self.vote)
        changed = vote != self._saved_vote
        self._saved_vote = vote
        late, self._deferred_messages = self._deferred_messages, []
        snapshot, self._pending_snapshot = self._pending_snapshot, None
        first = self.log.stable_index + 1
        entries = self.log.slice(first, self.log.last_index, 1 << 62)
        return Ready(late, snapshot, vote if changed else None, entries)

    def on_stored(self, now: float, ready: Ready) -> None:
        """Record that all contents of a Ready are on the disk."""
        if ready.entries:
            last = ready.entries[-1]
            self.log.mark_stable(last.index, last.term)
        if ready.vote is not None:
            self._stored_vote = ready.vote
        own_vote = (self.term, self.key)
        if self.role is Role.CANDIDATE and self._stored_vote == own_vote:
            self._count_vote(now, self.key)
        self._advance_commit()

    def on_store_failed(self, ready: Ready) -> None:
        """Roll back a Ready that could not be stored because the disk is full.

        A follower removes entries it did not acknowledge. A leader keeps its own, since
        others may hold them already, and returns them again with the next Ready.
        """
        if ready.vote is not None:
            self._saved_vote = self._stored_vote
        if ready.snapshot is not None and self._pending_snapshot is None:
            self._pending_snapshot = ready.snapshot
        if self._leader_state is None and ready.snapshot is None:
            self.log.truncate(self.log.stable_index + 1)
            self.commit_index = min(self.commit_index, self.log.last_index)
            if not self.membership:
                self.role = Role.UNINITIALIZED
        self._deferred_messages.clear()

    def committed_entries(self, applied: int) -> list[messages.Entry]:
        """Return the entries after `applied` that are committed and stored here."""
        last = min(self.commit_index, self.log.stable_index)
        return self.log.slice(applied + 1, last, 1 << 62) if last > applied else []

    def propose(self, data: bytes) -> result.Result[int, exceptions.ToucanfoldError]:
        """Append a command as leader and return its index."""
        if self._leader_state is None or self._leader_state.transfer_to:
            return result.Failure(self.not_leader())
        if len(data) > MAX_COMMAND_BYTES:
            return result.Failure(
                exceptions.ValidationError(
                    f"a command of {len(data)} bytes exceeds {MAX_COMMAND_BYTES}",
                    "split it into smaller changes",
                )
            )
        return result.Success(self._append(raftlog.KIND_COMMAND, data))

    def request_read(self) -> result.Result[int, exceptions.NotLeaderError]:
        """Start a confirmation of leadership for a read and return its number.

        take_confirmed_reads returns that number once a quorum has confirmed it.
        """
        if self._leader_state is None:
            return result.Failure(self.not_leader())
        self._leader_state.request_read(self.commit_index)
        return result.Success(self._leader_state.read_sequence)

    def take_confirmed_reads(self) -> list[tuple[int, int]]:
        """Return (number, index to apply first) of each confirmed read."""
        return (
            self._leader_state.take_confirmed_reads()
            if self._leader_state is not None
            else []
        )

    def set_contacts(self, names: Collection[str]) -> None:
        """Set the instances to which this one also announces itself, by name."""
        self._contacts = frozenset(names)

    def record_pending_join(
        self, now: float, name: str, member_id: str, address: str
    ) -> None:
        """Record an instance that announced its join to this or another member."""
        if members.member_key(name, member_id) not in self.membership:
            self.announced[name] = member_id
            self.pending_join_addresses[name] = address
            self._join_reported_at[name] = now

    def waiting(self, now: float) -> dict[str, tuple[str, str]]:
        """Return member id and link address of the pending joins, by name.

        A record older than PENDING_JOIN_TTL_S is left out: it may name a lost disk,
        which must not become a member.
        """
        return {
            name: (member_id, self.pending_join_addresses[name])
            for name, member_id in self.announced.items()
            if now - self._join_reported_at[name] <= PENDING_JOIN_TTL_S
            and members.member_key(name, member_id) not in self.membership
        }

    def change_members(
        self, now: float, change: members.MemberChange
    ) -> result.Result[int, exceptions.ToucanfoldError]:
        """Append the first step of a change and return its index."""
        if self._leader_state is None:
            return result.Failure(self.not_leader())
        if not self._may_change_members(self._leader_state):
            return _refused(
                "another membership change is under way", "repeat it in a second"
            )
        planned = members.apply_change(self.membership, change, self.announced)
        if not isinstance(planned, result.Success):
            return result.Failure(planned.failure())
        membership = planned.unwrap()
        if self.key not in membership.voters:
            return _refused(
                "the leader cannot remove itself", "transfer the leadership first"
            )
        expected = self.forecast(now, change)
        if expected.fault_tolerance < 0 and not change.force:
            return _refused(
                f"after this change {expected.text}",
                "bring members back first, or repeat it with force",
            )
        return result.Success(self._append_membership(now, membership))

    def forecast(self, now: float, change: members.MemberChange) -> members.Forecast:
        """Return the voter failures tolerated during and after a change."""
        reachable = self.reachable(now)
        planned = members.apply_change(self.membership, change, self.announced)
        membership = planned.value_or(self.membership)
        replaced = {item.replaces for item in membership.members if not item.voter}
        for key in replaced & self.membership.voters:
            return members.replacement_forecast(self.membership, reachable, key)
        return members.forecast(membership, reachable)

    def reachable(self, now: float) -> set[str]:
        """Return the keys of the members in recent contact (leader only)."""
        return (
            self._leader_state.reachable(now)
            if self._leader_state is not None
            else {self.key}
        )

    def progress(self, now: float) -> dict[str, Any]:
        """Return match index and contact age by member key (leader only)."""
        return (
            self._leader_state.progress(now) if self._leader_state is not None else {}
        )

    def transfer_leadership(self, now: float) -> bool:
        """Stop proposals and transfer to the most advanced voter; False without one."""
        return self._leader_state is not None and self._leader_state.start_transfer(
            now, self._rng
        )

    def hand_over(self, now: float) -> bool:
        """Transfer leadership if another voter could store what this one cannot."""
        state = self._leader_state
        if state is None or state.transfer_to or not state.has_voter_ahead(now):
            return False
        return self.transfer_leadership(now)

    def compact(self, snapshot: raftlog.Snapshot, keep_entries: int) -> None:
        """Adopt a stored snapshot of this member's state."""
        if snapshot.index > self.log.snapshot.index:
            self.log.compact(snapshot, keep_entries)

    def not_leader(self) -> exceptions.NotLeaderError:
        """Return the error for a request that only a leader can serve."""
        name = members.name_of(self.leader)
        return exceptions.NotLeaderError(
            f"{members.name_of(self.key)} is not the leader",
            _RESEND_REMEDY,
            name or None,
        )

    def _tick_uninitialized(self, now: float) -> None:
        # A leader may fail before it has added this member, so the announcements go on
        # until there is a membership.
        entry = self._bootstrapper.first_entry()
        if entry is not None and self.role is Role.UNINITIALIZED:
            self._bootstrap(now, entry)
        elif now >= self._next_announce_at:
            self._next_announce_at = now + ANNOUNCE_INTERVAL_S
            self._deferred_messages += self._bootstrapper.announcements(self._contacts)

    def _announce_to_members(self, now: float) -> None:
        """Announce this member to the others when no leader has contacted it.

        It may have been replaced while it was unreachable, and then has to join again.
        All members that it knows may have been replaced, too.
        """
        if now < max(self._leader_contact_at + REJOIN_AFTER_S, self._next_announce_at):
            return
        self._next_announce_at = now + ANNOUNCE_INTERVAL_S
        known = {member.name for member in self.membership.members}
        receivers = self.membership.keys - {self.key} | self._contacts - known
        for receiver in sorted(receivers - {members.name_of(self.key)}):
            self._deferred_messages.append(
                messages.Raft(
                    kind=int(Kind.ANNOUNCE),
                    sender=self.key,
                    receiver=receiver,
                    granted=True,
                    address=self._own_address,
                )
            )

    def _bootstrap(self, now: float, entry: messages.Entry) -> None:
        self.log.append([entry])
        self.role = Role.FOLLOWER
        self.term = max(self.term, entry.term)
        self._start_election_timer(now)

    def _on_announce(self, now: float, message: messages.Raft) -> None:
        if members.name_of(message.receiver) != members.name_of(self.key):
            return
        if self.role is Role.UNINITIALIZED:
            self._bootstrapper.on_announce(message)
            return
        name, _, member_id = message.sender.partition(members.SEPARATOR)
        if message.sender not in self.membership:
            self.record_pending_join(now, name, member_id, message.address)
        elif self.log.first_index == 1:
            reply = self._reply(Kind.BOOTSTRAP, message)
            reply.entries = self.log.slice(1, 1, 1)
            self._deferred_messages.append(reply)

    def _on_bootstrap_entry(self, now: float, message: messages.Raft) -> None:
        if message.kind != Kind.BOOTSTRAP or message.receiver != self.key:
            return
        if self.role is Role.UNINITIALIZED and self._bootstrapper.accepts_bootstrap(
            message
        ):
            self._bootstrap(now, message.entries[0])

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.key
        self._leader_state = replication.LeaderState(self.key, self.term, self.log, now)
        # Entries of earlier terms commit only together with one of this term.
        self._append(raftlog.KIND_NOOP, b"")

    def _on_append(self, now: float, message: messages.Raft) -> None:
        self._accept_leader(now, message)
        reply = self._reply(Kind.APPEND_REPLY, message)
        self._deferred_messages.append(reply)
        # Everything committed is known to match the leader's log.
        is_committed = message.last_index < self.commit_index
        if (
            not is_committed
            and self.log.term_at(message.last_index) != message.last_term
        ):
            is_log_short = message.last_index > self.log.last_index
            reply.match_index = (
                self.log.last_index if is_log_short else self.commit_index
            )
            return
        self.log.merge(message.entries)
        reply.granted = True
        match = message.last_index + len(message.entries)
        reply.match_index = max(match, self.commit_index)
        self.commit_index = max(self.commit_index, min(message.commit, match))

    def _on_append_reply(self, now: float, message: messages.Raft) -> None:
        if self._leader_state is not None:
            self._leader_state.on_append_reply(now, message)
            self._advance_commit()

    def _on_snapshot(self, now: float, message: messages.Raft) -> None:
        self._accept_leader(now, message)
        reply = self._reply(Kind.SNAPSHOT_REPLY, message)
        reply.last_index = message.last_index
        self._deferred_messages.append(reply)
        is_in_log = self.log.term_at(message.last_index) == message.last_term
        if message.last_index > self.commit_index and not is_in_log:
            snapshot = self._snapshot_receiver.add(message)
            reply.snapshot_offset = self._snapshot_receiver.size
            if snapshot is None:
                return
            self.log.install(snapshot)
            self._pending_snapshot = snapshot
        self.commit_index = max(self.commit_index, message.last_index)
        reply.granted = True
        reply.match_index = message.last_index

    def _on_snapshot_reply(self, now: float, message: messages.Raft) -> None:
        if self._leader_state is not None:
            self._leader_state.on_snapshot_reply(now, message)
            self._advance_commit()

    def _tick_leader(self, now: float, leader_state: replication.LeaderState) -> None:
        reachable = leader_state.reachable(now)
        if not self.membership.is_quorum(reachable):
            self._become_follower(now, self.term, "")
            return
        if not self._may_change_members(leader_state):
            return
        caught_up = leader_state.caught_up(now, self.commit_index)
        next_membership = members.next_step(self.membership, reachable, caught_up)
        if next_membership is None or not next_membership.is_quorum(reachable):
            return
        if self.key in next_membership.voters:
            self._append_membership(now, next_membership)
        elif not leader_state.transfer_to:
            leader_state.start_transfer(now, self._rng)

    def _may_change_members(self, leader_state: replication.LeaderState) -> bool:
        """Whether the latest membership and an entry of this term are committed."""
        latest = max(self.log.membership_index, leader_state.noop_index)
        return self.commit_index >= latest and not leader_state.transfer_to

    def _append_membership(self, now: float, membership: members.Membership) -> int:
        index = self._append(raftlog.KIND_MEMBERS, membership.to_bytes())
        if self._leader_state is not None:
            self._leader_state.update_members(now)
        for member in membership.members:
            if self.announced.get(member.name) == member.member_id:
                del self.announced[member.name]
        return index

    def _append(self, kind: int, data: bytes) -> int:
        index = self.log.last_index + 1
        self.log.append([messages.Entry(index, self.term, kind, data)])
        return index

    def _advance_commit(self) -> None:
        if self._leader_state is not None:
            self.commit_index = self._leader_state.quorum_commit_index(
                self.commit_index
            )


def _refused(message: str, remedy: str) -> result.Failure:
    return result.Failure(exceptions.ValidationError(message, remedy))
