"""The task that drives consensus and storage, and applies committed entries."""

import asyncio
import concurrent.futures
import random
from collections.abc import Callable, Collection
from typing import Any, Protocol

from absl import logging
from returns import result

from toucanfold import clock as clocks
from toucanfold import (
    exceptions,
    joinplanner,
    members,
    messages,
    raft,
    raftlog,
    storage,
)
from toucanfold.rafttypes import RETAINED_ENTRY_COUNT, BootstrapConfig, Ready

TICK_S = 0.02
# Between attempts to store on a full disk.
DISK_RETRY_DELAY_S = 0.5
TRANSFER_TIMEOUT_S = 1.0
SNAPSHOT_INTERVAL_ENTRIES = 1000

ProposeResult = result.Result[tuple[int, Any], exceptions.ToucanfoldError]
IndexResult = result.Result[int, exceptions.ToucanfoldError]


class StateMachine(Protocol):
    """The state machine to which committed commands are applied."""

    def apply(self, index: int, data: bytes) -> Any:
        """Apply a command and return its outcome for the proposer."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by one that snapshot returned."""


class Replica:
    """One member of the replicated log; its methods belong to one event loop."""

    def __init__(
        self,
        store: storage.RaftStorage,
        plan: BootstrapConfig,
        machine: StateMachine,
        send: Callable[[str, messages.Raft], bool],
        rng: random.Random,
        snapshot_entries: int = SNAPSHOT_INTERVAL_ENTRIES,
        clock: Callable[[], float] = clocks.now,
    ):
        self.applied_index = store.snapshot.index
        self._store = store
        self._machine = machine
        self._send = send
        self._clock = clock
        self._snapshot_entries = snapshot_entries
        self._raft = raft.Raft(
            members.member_key(store.meta.name, store.meta.member_id),
            plan,
            (store.meta.term, store.meta.vote),
            raftlog.RaftLog(store.snapshot, store.entries),
            rng,
            clock(),
        )
        if store.snapshot.index:
            machine.restore(store.snapshot.data)
        self._wake = asyncio.Event()
        self._store_future: asyncio.Future[None] | None = None
        # The Ready that is being stored, or None for a snapshot of this member's state.
        self._ready_in_store: Ready | None = None
        self._executor = concurrent.futures.ThreadPoolExecutor(1, "storage")
        self._proposals: dict[int, asyncio.Future[ProposeResult]] = {}
        self._reads: dict[int, asyncio.Future[IndexResult]] = {}
        self._confirmed_reads: list[tuple[int, int]] = []
        self._is_disk_full = store.is_disk_low
        self._store_retry_at = 0.0
        self._leader_term = 0

    @property
    def name(self) -> str:
        """Name of this member."""
        return members.name_of(self._raft.key)

    @property
    def leader(self) -> str | None:
        """Name of the leader, None while it is not known."""
        return members.name_of(self._raft.leader) or None

    @property
    def is_leader(self) -> bool:
        """Whether this member considers itself the leader; confirm_read verifies it."""
        return self._raft.is_leader

    @property
    def term(self) -> int:
        """Current term."""
        return self._raft.term

    @property
    def commit_index(self) -> int:
        """Highest index known to be committed."""
        return self._raft.commit_index

    async def run(self) -> None:
        """Drive the member until cancelled; raises StorageError if its disk fails."""
        try:
            while True:
                self._wake.clear()
                self._step()
                try:
                    async with asyncio.timeout(TICK_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass
        finally:
            self._fail_proposals(self._raft.not_leader())
            self._fail_reads(self._raft.not_leader())
            self._executor.shutdown(wait=True)

    async def propose(self, data: bytes) -> ProposeResult:
        """Commit a command; return its index and what apply returned.

        After NotLeaderError or DiskFullError the command may still be committed, unless
        this member was not the leader, or was short of space, when it was called.
        """
        refusal = self._refusal()
        if refusal is not None:
            return result.Failure(refusal)
        return await self._wait_applied(self._raft.propose(data))

    async def confirm_read(self) -> IndexResult:
        """Return the applied index after a quorum confirmed the leadership."""
        number = self._raft.request_read()
        if not isinstance(number, result.Success):
            return result.Failure(number.failure())
        future: asyncio.Future[IndexResult] = asyncio.get_running_loop().create_future()
        self._reads[number.unwrap()] = future
        self._wake.set()
        return await future

    def on_message(self, sender: str, message: messages.Raft) -> None:
        """Handle a message; drop it if it came over the link of another member."""
        if members.name_of(message.sender) == sender:
            self._raft.on_message(self._clock(), message)
            self._wake.set()

    async def change_members(self, change: members.MemberChange) -> IndexResult:
        """Commit the first step of a change; later steps follow automatically."""
        refusal = self._refusal()
        if refusal is not None:
            return result.Failure(refusal)
        done = await self._wait_applied(
            self._raft.change_members(self._clock(), change)
        )
        return done.map(lambda applied: applied[0])

    def forecast(self, change: members.MemberChange) -> members.Forecast:
        """Return the further voter failures tolerated with a change (leader only)."""
        return self._raft.forecast(self._clock(), change)

    def membership(self) -> members.Membership:
        """Return the latest membership in the log, committed or not."""
        return self._raft.membership

    def waiting(self) -> dict[str, joinplanner.PendingJoin]:
        """Return the pending joins by instance name."""
        pending_joins = self._raft.waiting(self._clock())
        return {
            name: joinplanner.PendingJoin(*item) for name, item in pending_joins.items()
        }

    def set_contacts(self, names: Collection[str]) -> None:
        """Set the names of instances that may admit this one if it was replaced."""
        self._raft.set_contacts(names)

    def record_pending_join(self, name: str, member_id: str, address: str) -> None:
        """Record a pending join that another member reported."""
        self._raft.record_pending_join(self._clock(), name, member_id, address)

    def reachable(self) -> set[str]:
        """Return the keys of the members in recent contact (leader only)."""
        return self._raft.reachable(self._clock())

    async def transfer_leadership(self) -> None:
        """Transfer the leadership; return when this member no longer leads.

        It returns at once if no voter can take over, and after TRANSFER_TIMEOUT_S at
        the latest.
        """
        if not self._raft.transfer_leadership(self._clock()):
            return
        self._wake.set()
        limit = self._clock() + TRANSFER_TIMEOUT_S
        while self._raft.is_leader and self._clock() < limit:
            await asyncio.sleep(TICK_S / 4)

    def status(self) -> dict[str, Any]:
        """Return the state for operators."""
        now = self._clock()
        membership = self._raft.membership
        reachable = self._raft.reachable(now)
        return {
            "name": self.name,
            "member_id": self._store.meta.member_id,
            "role": str(self._raft.role),
            "leader": self.leader,
            "term": self.term,
            "commit_index": self.commit_index,
            "applied_index": self.applied_index,
            "last_index": self._raft.log.last_index,
            "snapshot_index": self._raft.log.snapshot.index,
            "disk_full": self._is_disk_full,
            "members": [
                {
                    "name": member.name,
                    "member_id": member.member_id,
                    "address": member.address,
                    "voter": member.voter,
                    "replaces": member.replaces,
                }
                for member in membership.members
            ],
            "waiting": dict(self._raft.announced),
            "progress": self._raft.progress(now),
            "forecast": members.forecast(membership, reachable).text
            if self.is_leader
            else "",
        }

    def _step(self) -> None:
        """Send, store and apply what is due."""
        now = self._clock()
        self._raft.on_tick(now)
        self._send_all(self._raft.take_immediate_messages(now))
        if self._store_future is not None and self._store_future.done():
            storing, self._store_future = self._store_future, None
            self._finish_store(now, storing)
        if self._store_future is None and now >= self._store_retry_at:
            self._start_store(now)
        self._check_leadership()
        self._apply()
        self._confirm_reads()

    def _refusal(self) -> exceptions.ToucanfoldError | None:
        if not self._raft.is_leader:
            return self._raft.not_leader()
        if self._is_disk_full:
            return exceptions.DiskFullError(
                f"the disk of the data folder of {self.name} is full",
                "free space there, or transfer the leadership",
            )
        return None

    async def _wait_applied(
        self, index: result.Result[int, exceptions.ToucanfoldError]
    ) -> ProposeResult:
        if not isinstance(index, result.Success):
            return result.Failure(index.failure())
        future: asyncio.Future[ProposeResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._proposals[index.unwrap()] = future
        self._wake.set()
        return await future

    def _send_all(self, outgoing: list[messages.Raft]) -> None:
        for message in outgoing:
            self._send(members.name_of(message.receiver), message)

    def _start_store(self, now: float) -> None:
        if self._is_disk_full:
            self._is_disk_full = self._store.is_disk_low
        log = self._raft.log
        if self.applied_index - log.snapshot.index >= self._snapshot_entries:
            snapshot = raftlog.Snapshot(
                self.applied_index,
                log.term_at(self.applied_index) or 0,
                log.membership_at(self.applied_index),
                self._machine.snapshot(),
            )
            self._ready_in_store = None
            self._run_in_executor(
                self._store.save_snapshot, snapshot, RETAINED_ENTRY_COUNT
            )
            return
        ready = self._raft.take_ready()
        if ready.is_durable:
            self._ready_in_store = ready
            self._run_in_executor(self._store_ready, ready)
        else:
            self._raft.on_stored(now, ready)
            self._send_all(ready.late)

    def _run_in_executor(self, function: Callable[..., None], *arguments: Any) -> None:
        loop = asyncio.get_running_loop()
        self._store_future = loop.run_in_executor(self._executor, function, *arguments)
        self._store_future.add_done_callback(lambda _: self._wake.set())

    def _store_ready(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self._store.install_snapshot(ready.snapshot)
        if ready.vote is not None:
            self._store.save_vote(*ready.vote)
        if ready.entries:
            self._store.append(ready.entries)

    def _finish_store(self, now: float, storing: asyncio.Future[None]) -> None:
        ready = self._ready_in_store
        try:
            storing.result()
        except exceptions.DiskFullError as error:
            self._on_disk_full(now, ready, error)
            return
        if ready is None:
            self._raft.compact(self._store.snapshot, RETAINED_ENTRY_COUNT)
            return
        if ready.snapshot is not None:
            self._machine.restore(ready.snapshot.data)
            self.applied_index = ready.snapshot.index
        self._raft.on_stored(now, ready)
        self._send_all(ready.late)
        self._wake.set()

    def _on_disk_full(
        self, now: float, ready: Ready | None, error: exceptions.DiskFullError
    ) -> None:
        logging.error("Raft state not stored, proposals are refused: %s", error)
        self._is_disk_full = True
        self._store_retry_at = now + DISK_RETRY_DELAY_S
        if ready is not None:
            self._raft.on_store_failed(ready)
        if self._raft.hand_over(now):
            logging.info("member %s hands the leadership over", self.name)
            self._fail_proposals(self._raft.not_leader())
            return
        self._fail_proposals(error)

    def _check_leadership(self) -> None:
        """Fail pending proposals and reads when their leadership term has ended."""
        leader_term = self.term if self._raft.is_leader else 0
        if leader_term != self._leader_term:
            logging.info(
                "member %s is now %s in term %d", self.name, self._raft.role, self.term
            )
            self._leader_term = leader_term
        if leader_term == 0 and (self._proposals or self._reads):
            self._fail_proposals(self._raft.not_leader())
            self._fail_reads(self._raft.not_leader())

    def _apply(self) -> None:
        for entry in self._raft.committed_entries(self.applied_index):
            outcome = None
            if entry.kind == raftlog.KIND_COMMAND:
                outcome = self._machine.apply(entry.index, entry.data)
            self.applied_index = entry.index
            waiting = self._proposals.pop(entry.index, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(result.Success((entry.index, outcome)))

    def _confirm_reads(self) -> None:
        self._confirmed_reads += self._raft.take_confirmed_reads()
        while (
            self._confirmed_reads and self._confirmed_reads[0][1] <= self.applied_index
        ):
            future = self._reads.pop(self._confirmed_reads.pop(0)[0], None)
            if future is not None and not future.done():
                future.set_result(result.Success(self.applied_index))

    def _fail_proposals(self, error: exceptions.ToucanfoldError) -> None:
        waiting, self._proposals = self._proposals, {}
        for future in waiting.values():
            if not future.done():
                future.set_result(result.Failure(error))

    def _fail_reads(self, error: exceptions.ToucanfoldError) -> None:
        waiting, self._reads, self._confirmed_reads = self._reads, {}, []
        for future in waiting.values():
            if not future.done():
                future.set_result(result.Failure(error))
