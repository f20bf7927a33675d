"""Duties of the leading control instance: pings, grants, target states and slots."""

import asyncio
import base64
import collections
import dataclasses
import operator
import time
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from returns import result

from toucanfold import (
    clock,
    commands,
    crashes,
    exceptions,
    failuredetector,
    joinplanner,
    leaderinterfaces,
    members,
    messages,
    store,
)

CHECK_INTERVAL_S = 0.2
STARVATION_LOG_INTERVAL_S = 1.0
# A daemon that has not confirmed a revision within this time of its being applied
# refuses callers' requests.
STATE_EXPIRY_S = 3.0
RETAINED_REVISION_COUNT = 5_000
# Keeps a log entry well below the maximum frame size (1 MiB).
MAX_SLOTS_PER_COMMAND = 512

# Used instead of dataclasses.astuple, whose deep copies took a third of the leader's
# time.
share_values = operator.attrgetter(
    *(field.name for field in dataclasses.fields(messages.Share))
)

Payload = dict[str, Any]
Reply = result.Result[Payload, exceptions.ToucanfoldError]


class LeaderService:
    """Handles requests that only a confirmed leader may answer."""

    def __init__(
        self,
        replica: leaderinterfaces.Replica,
        fleet: store.FleetStore,
        grantor: leaderinterfaces.Grantor | None = None,
        planner: leaderinterfaces.Planner | None = None,
        tolerated_losses: int = 0,
    ):
        self._tolerated_losses = tolerated_losses
        self._join_planner = joinplanner.JoinPlanner(tolerated_losses)
        self._replica = replica
        self._store = fleet
        self._grantor = grantor
        self._planner = planner
        self._failure_detector = failuredetector.FailureDetector()
        self._leader_term = -1
        self._applied_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._proposing: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._planned_revision = -1
        self._starvations_logged_at = float("-inf")
        self._refused_announcement = ""
        # Times at which quarantines were first seen in this term, by digest.
        self._quarantined_at: dict[str, float] = {}
        # Complete backup copies by daemon and incarnation, as reported in this term.
        self._copies_by_incarnation: dict[
            tuple[str, int], frozenset[leaderinterfaces.CompleteCopy]
        ] = {}
        self._handlers: dict[str, Callable[[Payload], Awaitable[Reply]]] = {
            "command": self._on_command,
            "pings": self._on_pings,
            "read": self._on_read,
            "in_force": self._on_in_force,
            "members": self._on_members,
            "join": self._on_join,
            "transfer": self._on_transfer,
        }
        fleet.listeners.append(self._on_state_changed)

    async def handle(self, kind: str, payload: Payload) -> Reply:
        """Answer one request; NotLeaderError if this instance does not lead."""
        if not await self._confirm_leadership():
            return _not_leader(self._replica.leader)
        handler = self._handlers.get(kind)
        if handler is None:
            return result.Failure(
                exceptions.ValidationError(
                    f"unknown request kind {kind!r}",
                    "run the same version on all control instances",
                )
            )
        return await handler(payload)

    async def run(self) -> None:
        """Maintain target states, slots and members while this instance leads."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                if await self._confirm_leadership():
                    self._mark_lost()
                    self._plan_slots()
                    self._admit_pending_join()
                    self._log_starvations()
                    self._end_quarantines()
            except Exception:
                logging.exception("a periodic check of the leader failed")

    def dump(self, now: float) -> Payload:
        """Return what a state dump shows."""
        targets = [
            {
                "name": target.name,
                "state": target.state,
                "applied_revision": self._failure_detector.applied_revision(target),
                "silence_s": round(self._failure_detector.silence_s(now, target), 3),
            }
            for target in self._store.state.targets.values()
        ]
        return {"led_term": self._leader_term, "targets": targets}

    async def _on_command(self, payload: Payload) -> Reply:
        decoded = commands.decode(base64.b64decode(payload["command"]))
        if isinstance(decoded, result.Failure):
            return decoded
        command = decoded.unwrap()
        command.at = time.time()
        if (
            isinstance(command, commands.ReplaceConfiguration)
            and not self._tolerates_required_losses()
        ):
            return _not_leader(None)
        if isinstance(command, commands.ConfirmEnded):
            self._end_incarnation(command.name, command.incarnation)
        proposed = await self._replica.propose(commands.encode(command))
        return proposed.map(lambda pair: {"outcome": pair[1], "index": pair[0]})

    def _tolerates_required_losses(self) -> bool:
        """Whether the first configuration would survive the failures to tolerate."""
        if not self._tolerated_losses or self._store.state.configuration is not None:
            return True
        return joinplanner.tolerates_losses(
            self._replica.membership(), self._tolerated_losses
        )

    async def _on_join(self, payload: Payload) -> Reply:
        self._replica.record_pending_join(
            payload["name"], payload["member_id"], payload["address"]
        )
        return result.Success({})

    async def _on_read(self, payload: Payload) -> Reply:
        confirmed = await self._replica.confirm_read()
        return confirmed.map(lambda _: {"revision": self._store.revision})

    async def _on_members(self, payload: Payload) -> Reply:
        change = members.MemberChange(
            **{**payload, "kind": members.ChangeKind(payload["kind"])}
        )
        expected = self._replica.forecast(change)
        changed = await self._replica.change_members(change)
        fields = {"forecast": expected.text, "further_losses": expected.fault_tolerance}
        return changed.map(lambda index: {"index": index, **fields})

    async def _on_transfer(self, payload: Payload) -> Reply:
        await self._replica.transfer_leadership()
        return result.Success({"transferred": not self._replica.is_leader})

    async def _on_in_force(self, payload: Payload) -> Reply:
        confirmed = await self._replica.confirm_read()
        if isinstance(confirmed, result.Failure):
            return confirmed
        now = asyncio.get_running_loop().time()
        return result.Success(self._in_force(now, payload["revision"]))

    def _in_force(self, now: float, revision: int) -> Payload:
        accepted = revision <= self._store.revision
        laggards = self._failure_detector.laggards(now, self._store.state, revision)
        confirmed = not laggards and self._failure_detector.has_heard_all(now)
        expired = now - self._applied_since(revision) >= STATE_EXPIRY_S
        return {
            "revision": revision,
            "accepted": accepted,
            "in_force": accepted and (confirmed or expired),
            "laggards": [
                {
                    "name": laggard.name,
                    "applied_revision": laggard.applied_revision,
                    "silence_s": round(laggard.silence_s, 3),
                }
                for laggard in laggards
            ],
        }

    def _applied_since(self, revision: int) -> float:
        """Return when a revision was applied here, -inf if that was before the start.

        One that arrived within a snapshot was applied with a later revision.
        """
        exact = self._applied_at.get(revision)
        if exact is not None:
            return exact
        later = [at for number, at in self._applied_at.items() if number > revision]
        return min(later, default=float("-inf"))

    async def _on_pings(self, payload: Payload) -> Reply:
        now = asyncio.get_running_loop().time()
        # Grants for each ping; None for a ping that is not answered.
        grants: list[list[Any] | None] = []
        for ping in payload["pings"]:
            try:
                grants.append(self._grants_for(now, ping))
            except Exception:
                # The pings of other daemons in the batch are answered all the same.
                logging.exception("a ping could not be handled; it is not answered")
                grants.append(None)
        term = self._replica.term
        # Grants are sent only if leadership is confirmed after they were made.
        confirmed = await self._replica.confirm_read()
        if isinstance(confirmed, result.Failure):
            return confirmed
        if self._replica.term != term:
            return _not_leader(self._replica.leader)
        return result.Success(
            {"revision": self._store.revision, "term": term, "grants": grants}
        )

    def _grants_for(self, now: float, ping: Payload) -> list[Any] | None:
        """Handle one ping; return the values of its grants, None if it is stale."""
        name, incarnation = ping["daemon"], ping["incarnation"]
        if not self._failure_detector.on_ping(
            now, name, incarnation, ping["sequence"], ping["applied"]
        ):
            return None
        if ping.get("announcement"):
            self._propose_announcement(ping["announcement"])
        self._record_complete_copies(ping)
        self._propose_quarantines(ping)
        return [share_values(share) for share in self._renew_shares(now, ping)]

    def _renew_shares(self, now: float, ping: Payload) -> list[messages.Share]:
        if self._grantor is None:
            return []
        return self._grantor.on_ping(
            now,
            ping["daemon"],
            ping["incarnation"],
            ping["raft_term"],
            [messages.Demand(*fields) for fields in ping.get("demands", ())],
            [messages.Share(*fields) for fields in ping.get("shares", ())],
        )

    def _record_complete_copies(self, ping: Payload) -> None:
        """Record a daemon's complete copies; a change triggers a new slot plan."""
        target = self._store.state.targets.get(ping["daemon"])
        if target is None or target.incarnation != ping["incarnation"]:
            return
        key = (target.name, target.incarnation)
        complete_copies = frozenset(
            (target.service, number, epoch)
            for number, epoch in ping.get("complete", ())
        )
        if complete_copies != self._copies_by_incarnation.get(key, frozenset()):
            self._copies_by_incarnation[key] = complete_copies
            self._planned_revision = -1

    def _current_complete_copies(self) -> set[leaderinterfaces.CompleteCopy]:
        """Return the complete copies of the incarnations in the target directory."""
        listed = {
            (target.name, target.incarnation)
            for target in self._store.state.targets.values()
        }
        kept = self._copies_by_incarnation.items()
        self._copies_by_incarnation = {
            key: complete_copies for key, complete_copies in kept if key in listed
        }
        return set().union(*self._copies_by_incarnation.values())

    def _propose_announcement(self, target: Payload) -> None:
        command = commands.AnnounceTarget(target=target)
        planned = store.plan(self._store.state, command)
        if isinstance(planned, result.Failure):
            self._log_refused_announcement(target["name"], planned.failure())
            self._end_silent_incarnation(target)
            return
        if planned.unwrap() == store.EMPTY_CHANGE:
            return
        current = self._store.state.targets.get(target["name"])
        has_terminated = target["state"] == "left"
        if current and (has_terminated or current.incarnation != target["incarnation"]):
            self._end_incarnation(current.name, current.incarnation)
        self._propose(f"announce {target['name']}", command)

    def _end_silent_incarnation(self, successor: Payload) -> None:
        """End a silent incarnation whose successor has a lower number.

        The successor's machine has set its clock back meanwhile.
        """
        current = self._store.state.targets.get(successor["name"])
        if current is None or current.incarnation <= successor["incarnation"]:
            return
        now = asyncio.get_running_loop().time()
        silence_s = self._failure_detector.silence_s(now, current)
        if silence_s > failuredetector.FAILURE_TIMEOUT_S:
            self._end_incarnation(current.name, current.incarnation)
            command = commands.SetTargetState(
                name=current.name, incarnation=current.incarnation, state="left"
            )
            self._propose(f"end {current.name}", command)

    def _propose_quarantines(self, ping: Payload) -> None:
        known = self._store.state.quarantines
        for digest in ping.get("quarantined", ()):
            if digest not in known:
                command = commands.AddQuarantine(digest=digest, reporter=ping["daemon"])
                self._propose(f"quarantine {digest}", command)

    def _end_quarantines(self) -> None:
        """Lift quarantines that have been in force for their whole time.

        Their age is counted since this instance leads, so a change of leader prolongs
        them.
        """
        now = asyncio.get_running_loop().time()
        known = self._store.state.quarantines
        self._quarantined_at = {
            digest: self._quarantined_at.get(digest, now) for digest in known
        }
        for digest, since in self._quarantined_at.items():
            if now - since >= crashes.QUARANTINE_S:
                command = commands.LiftQuarantine(digest=digest)
                self._propose(f"lift quarantine {digest}", command)

    def _log_refused_announcement(
        self, name: str, error: exceptions.ToucanfoldError
    ) -> None:
        """Log a refused announcement, which each ping repeats, once."""
        if error.message == self._refused_announcement:
            return
        self._refused_announcement = error.message
        logging.warning("announcement of target %s refused: %s", name, error)

    def _mark_lost(self) -> None:
        now = asyncio.get_running_loop().time()
        for target in self._failure_detector.lost(now, self._store.state):
            logging.warning("target %s marked lost: no ping received", target.name)
            self._end_incarnation(target.name, target.incarnation)
            command = commands.SetTargetState(
                name=target.name, incarnation=target.incarnation, state="lost"
            )
            self._propose(f"lost {target.name}", command)

    def _log_starvations(self) -> None:
        """Log the account with most starved holders, at most one line a second."""
        if self._grantor is None:
            return
        now = asyncio.get_running_loop().time()
        if now - self._starvations_logged_at < STARVATION_LOG_INTERVAL_S:
            return
        self._starvations_logged_at = now
        starvations = self._grantor.starvations(now)
        if starvations:
            logging.warning(
                "shares of %d accounts do not reach their holders; %s",
                len(starvations),
                starvations[0],
            )

    def _plan_slots(self) -> None:
        if self._planner is None or self._planned_revision == self._store.revision:
            return
        if "slots" in self._proposing:
            return
        now = asyncio.get_running_loop().time()
        revision = self._store.revision
        slots = self._planner(now, self._store.state, self._current_complete_copies())
        if not slots:
            self._planned_revision = revision
            return
        items = [slot.to_json() for slot in slots[:MAX_SLOTS_PER_COMMAND]]
        self._propose("slots", commands.AssignSlots(slots=items))

    def _admit_pending_join(self) -> None:
        """Admit an instance with a pending join, one membership change at a time."""
        change = self._join_planner.next_change(
            clock.now(),
            self._replica.membership(),
            self._replica.waiting(),
            self._replica.reachable(),
        )
        if change is None or "members" in self._proposing:
            return
        self._proposing.add("members")
        task = asyncio.get_running_loop().create_task(self._change_members(change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change_members(self, change: members.MemberChange) -> None:
        try:
            changed = await self._replica.change_members(change)
        finally:
            self._proposing.discard("members")
        replacement_text = f" in place of {change.old_name}" if change.old_name else ""
        if isinstance(changed, result.Failure):
            logging.warning(
                "membership change %s %s%s failed: %s",
                change.kind,
                change.name,
                replacement_text,
                changed.failure(),
            )
        else:
            logging.info(
                "membership change %s %s%s committed",
                change.kind,
                change.name,
                replacement_text,
            )

    def _propose(self, label: str, command: commands.Command) -> None:
        """Propose in the background unless a proposal with this label is pending."""
        if label in self._proposing:
            return
        self._proposing.add(label)
        command.at = time.time()
        task = asyncio.get_running_loop().create_task(
            self._propose_and_log(label, command)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _propose_and_log(self, label: str, command: commands.Command) -> None:
        try:
            proposed = await self._replica.propose(commands.encode(command))
        finally:
            self._proposing.discard(label)
        if isinstance(proposed, result.Failure):
            logging.warning(
                "proposal '%s' not committed: %s", label, proposed.failure()
            )
        elif not proposed.unwrap()[1]["ok"]:
            logging.warning(
                "proposal '%s' refused: %s", label, proposed.unwrap()[1]["message"]
            )

    async def _confirm_leadership(self) -> bool:
        """Whether this instance leads; starts a new term once leadership is confirmed.

        Before that, the state may lack changes which an earlier leader committed.
        """
        term = self._replica.term
        if not self._replica.is_leader:
            self._leader_term = -1
            return False
        if self._leader_term == term:
            return True
        confirmed = await self._replica.confirm_read()
        if isinstance(confirmed, result.Failure) or self._replica.term != term:
            return False
        if self._leader_term != term:
            self._start_term(term)
        return True

    def _start_term(self, term: int) -> None:
        self._leader_term = term
        self._planned_revision = -1
        self._copies_by_incarnation = {}
        self._quarantined_at = {}
        now = asyncio.get_running_loop().time()
        logging.info("leading control in term %d", term)
        self._failure_detector.on_elected(now)
        self._join_planner.on_elected()
        if self._grantor is not None:
            self._grantor.on_elected(now, term, self._store.state)

    def _on_state_changed(self) -> None:
        # Time of the loop's clock; no loop is running when a snapshot is restored at
        # start.
        now = clock.now()
        self._applied_at[self._store.revision] = now
        while len(self._applied_at) > RETAINED_REVISION_COUNT:
            self._applied_at.popitem(last=False)
        if self._grantor is not None and self._leader_term != -1:
            self._grantor.on_state(now, self._store.state)

    def _end_incarnation(self, name: str, incarnation: int) -> None:
        if self._grantor is not None:
            self._grantor.on_incarnation_terminated(clock.now(), name, incarnation)


def _not_leader(leader: str | None) -> result.Failure:
    return result.Failure(
        exceptions.NotLeaderError(
            "this control instance does not lead",
            "send the same operation again",
            leader,
        )
    )
