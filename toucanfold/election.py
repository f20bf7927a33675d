"""Elections: terms, votes and timers of one member."""

import random

from toucanfold import members, messages, raftlog, replication
from toucanfold.rafttypes import (
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    Kind,
    Role,
)


class LeaderElection:
    """Election logic of one member, as voter and as candidate.

    A member asks whether it could win (pre-vote) before it raises the term, and refuses
    its vote while in contact with a leader, so that a returning member does not depose
    a working leader.
    """

    __slots__ = (
        "_deferred_messages",
        "_election_due_at",
        "_leader_contact_at",
        "_leader_state",
        "_rng",
        "_votes",
        "key",
        "leader",
        "log",
        "role",
        "term",
        "vote",
    )

    def __init__(
        self,
        key: str,
        vote: tuple[int, str],
        log: raftlog.RaftLog,
        rng: random.Random,
        now: float,
    ):
        self.key = key
        self.term, self.vote = vote
        self.log = log
        self.leader = ""
        self.role = Role.FOLLOWER if log.membership else Role.UNINITIALIZED
        self._rng = rng
        self._votes: set[str] = set()
        self._leader_state: replication.LeaderState | None = None
        self._leader_contact_at = float("-inf")
        self._election_due_at = 0.0
        self._deferred_messages: list[messages.Raft] = []
        self._start_election_timer(now)

    @property
    def membership(self) -> members.Membership:
        """The latest membership in the log, committed or not."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role is Role.LEADER

    def _become_leader(self, now: float) -> None:
        raise NotImplementedError

    def _start_election_timer(self, now: float) -> None:
        self._reset_election_timer(now)
        if self.membership.voters == {self.key}:
            # A single voter needs no other votes, so it starts its election at once.
            self._election_due_at = now

    def _check_term(self, now: float, message: messages.Raft) -> bool:
        """Adopt a newer term; False if the message must not be handled further."""
        if message.kind == Kind.PRE_VOTE:
            return True
        if message.term > self.term:
            if message.kind == Kind.PRE_VOTE_REPLY and message.granted:
                return True
            if (
                message.kind == Kind.VOTE
                and self._has_recent_leader_contact(now)
                and not message.granted
            ):
                return False
            self._become_follower(now, message.term, "")
        elif message.term < self.term:
            if message.kind in (Kind.APPEND, Kind.SNAPSHOT):
                self._deferred_messages.append(self._reply(Kind.APPEND_REPLY, message))
            elif message.kind == Kind.VOTE:
                self._deferred_messages.append(self._reply(Kind.VOTE_REPLY, message))
            return False
        return True

    def _has_recent_leader_contact(self, now: float) -> bool:
        """Whether contact with a leader is so recent that no election is needed."""
        if self._leader_state is not None:
            return self.membership.is_quorum(self._leader_state.reachable(now))
        return (
            bool(self.leader) and now < self._leader_contact_at + ELECTION_TIMEOUT_MIN_S
        )

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        self.role = Role.FOLLOWER
        self.leader = leader
        self._leader_state = None
        self._votes.clear()
        self._reset_election_timer(now)

    def _reset_election_timer(self, now: float) -> None:
        self._election_due_at = now + self._rng.uniform(
            ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S
        )

    def _start_pre_vote(self, now: float) -> None:
        self._become_follower(now, self.term, "")
        self.role = Role.PRE_CANDIDATE
        self._request_votes(Kind.PRE_VOTE, self.term + 1, False)
        self._count_vote(now, self.key)

    def _start_election(self, now: float, is_transfer: bool) -> None:
        self._become_follower(now, self.term + 1, "")
        self.role = Role.CANDIDATE
        self.vote = self.key
        self._request_votes(Kind.VOTE, self.term, is_transfer)

    def _request_votes(self, kind: Kind, term: int, is_transfer: bool) -> None:
        for key in sorted(self.membership.voters - {self.key}):
            self._deferred_messages.append(
                messages.Raft(
                    kind=int(kind),
                    sender=self.key,
                    receiver=key,
                    term=term,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    granted=is_transfer,
                )
            )

    def _count_vote(self, now: float, key: str) -> None:
        self._votes.add(key)
        if not self.membership.is_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now, False)
        else:
            self._become_leader(now)

    def _on_pre_vote(self, now: float, message: messages.Raft) -> None:
        reply = self._reply(Kind.PRE_VOTE_REPLY, message)
        reply.granted = (
            message.term > self.term
            and not self._has_recent_leader_contact(now)
            and self._is_up_to_date(message)
        )
        reply.term = message.term if reply.granted else self.term
        self._deferred_messages.append(reply)
        if reply.granted and self.role is Role.PRE_CANDIDATE:
            self._yield_to_better(now, message)

    def _yield_to_better(self, now: float, message: messages.Raft) -> None:
        """Become a follower if the other candidate is better, to avoid a split vote.

        Links keep the order, so the request arrives before a grant of the same sender.
        """
        own = (self.log.last_term, self.log.last_index, self.key)
        if (message.last_term, message.last_index, message.sender) > own:
            self._become_follower(now, self.term, "")

    def _on_pre_vote_reply(self, now: float, message: messages.Raft) -> None:
        is_current = message.granted and message.term == self.term + 1
        if self.role is Role.PRE_CANDIDATE and is_current:
            self._count_vote(now, message.sender)

    def _on_vote(self, now: float, message: messages.Raft) -> None:
        reply = self._reply(Kind.VOTE_REPLY, message)
        may_vote = self.vote in ("", message.sender) and self._leader_state is None
        if may_vote and self._is_up_to_date(message):
            reply.granted = True
            self.vote = message.sender
            self._reset_election_timer(now)
        self._deferred_messages.append(reply)

    def _on_vote_reply(self, now: float, message: messages.Raft) -> None:
        if self.role is Role.CANDIDATE and message.granted:
            self._count_vote(now, message.sender)

    def _is_up_to_date(self, message: messages.Raft) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (message.last_term, message.last_index) >= own

    def _on_timeout_now(self, now: float, message: messages.Raft) -> None:
        if self.key in self.membership.voters and self._leader_state is None:
            self._start_election(now, True)

    def _accept_leader(self, now: float, message: messages.Raft) -> None:
        if self.role is not Role.FOLLOWER or self.leader != message.sender:
            self._become_follower(now, message.term, message.sender)
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _reply(self, kind: Kind, message: messages.Raft) -> messages.Raft:
        return messages.Raft(
            kind=int(kind),
            sender=self.key,
            receiver=message.sender,
            term=self.term,
            read_sequence=message.read_sequence,
        )
