"""Control's side of the watch: sessions of daemons and their batched pings."""

import asyncio
import dataclasses
import operator
from typing import Any

from absl import logging
from returns import result

from toucanfold import cluster, leadership, link, messages, model, store

# Minimum time between two requests to the leader. Pings that arrive in between share
# one confirmation of leadership.
BATCH_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 0.8
# Most batches that wait for the leader. A slow leader gets fewer and larger batches
# instead of a queue of pings whose daemons have already failed over.
MAX_PENDING_BATCHES = 2
# Keeps a pong below the maximum frame size (1 MiB).
MAX_DELTA_BYTES = 256 << 10

# Used instead of dataclasses.astuple and asdict, whose deep copies took a third of the
# leader's time.
ANNOUNCEMENT_FIELDS = tuple(
    field.name for field in dataclasses.fields(messages.Announcement)
)
OPTIONAL_FIELDS = ("target_instance", "departed", "configured_service")
announcement_values = operator.attrgetter(*ANNOUNCEMENT_FIELDS)
demand_values = operator.attrgetter(
    *(field.name for field in dataclasses.fields(messages.Demand))
)


def announced_fields(announcement: messages.Announcement) -> dict[str, Any]:
    """Return an announcement as the target of a command.

    Optional fields are left out where they are empty: members of an earlier build
    refuse fields that they do not know, and apply the same command while control is
    upgraded.
    """
    values = zip(ANNOUNCEMENT_FIELDS, announcement_values(announcement), strict=True)
    return {
        field: value for field, value in values if value or field not in OPTIONAL_FIELDS
    }


@dataclasses.dataclass(slots=True)
class Session:
    """The link of one daemon, with the revision of its last ping and its ping count."""

    link: link.Link
    name: str
    incarnation: int
    applied_revision: int = 0
    pings: int = 0
    # The members of control last sent to the daemon.
    instances: list[messages.Instance] = dataclasses.field(default_factory=list)


class WatchServer:
    """Answers pings of daemons with a confirmed revision, deltas and grants."""

    def __init__(self, fleet: store.FleetStore, members: cluster.ControlPeers):
        self._store = fleet
        self._control_peers = members
        self._sessions: dict[link.Link, Session] = {}
        # The last ping of each session that waits for the next batch.
        self._pending_pings: dict[link.Link, tuple[Session, messages.WatchPing]] = {}
        self._batch_timer: asyncio.TimerHandle | None = None
        self._batch_started_at = float("-inf")
        # Packed deltas up to one revision, by the revision that they follow.
        self._packed_revision = -1
        self._packed_deltas: dict[int, bytes] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._sessions)

    def on_open(self, opened: link.Link) -> None:
        """Start the session of a daemon."""
        assert opened.peer is not None
        peer = opened.peer
        self._sessions[opened] = Session(opened, peer.name, peer.incarnation)

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Queue a ping for the next batch."""
        session = self._sessions.get(source)
        if session is None or not isinstance(message, messages.WatchPing):
            return
        session.applied_revision = message.applied_revision
        session.pings += 1
        self._pending_pings[source] = session, message
        self._schedule_batch()

    def on_close(self, closed: link.Link, reason: str) -> None:
        """End the session of a daemon."""
        self._pending_pings.pop(closed, None)
        session = self._sessions.pop(closed, None)
        if session is not None:
            logging.info("watch of %s closed: %s", session.name, reason)

    async def stop(self) -> None:
        """Close all sessions, so that daemons fail over at once."""
        if self._batch_timer is not None:
            self._batch_timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for opened in list(self._sessions):
            opened.close("the control instance stops")

    def dump(self) -> list[dict[str, Any]]:
        """Return the sessions for the state dump."""
        return [
            {
                "name": session.name,
                "incarnation": session.incarnation,
                "applied_revision": session.applied_revision,
                "pings": session.pings,
            }
            for session in self._sessions.values()
        ]

    def _schedule_batch(self) -> None:
        """Schedule the next batch, at least BATCH_INTERVAL_S after the last one."""
        is_due = self._batch_timer is None and len(self._tasks) < MAX_PENDING_BATCHES
        if is_due and self._pending_pings:
            at = self._batch_started_at + BATCH_INTERVAL_S
            self._batch_timer = asyncio.get_running_loop().call_at(
                at, self._start_batch
            )

    def _start_batch(self) -> None:
        self._batch_timer = None
        self._batch_started_at = asyncio.get_running_loop().time()
        batch, self._pending_pings = list(self._pending_pings.values()), {}
        task = asyncio.get_running_loop().create_task(self._answer_batch(batch))
        self._tasks.add(task)
        task.add_done_callback(self._end_batch)

    def _end_batch(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._schedule_batch()

    async def _answer_batch(
        self, batch: list[tuple[Session, messages.WatchPing]]
    ) -> None:
        payload = {"pings": [self._pack_ping(*pair) for pair in batch]}
        answered = await self._control_peers.request(
            "pings", payload, REQUEST_TIMEOUT_S
        )
        if isinstance(answered, result.Failure):
            # Without a pong the daemons fail over to another instance.
            logging.log_every_n_seconds(
                logging.WARNING, "pings not confirmed: %s", 1, answered.failure()
            )
            return
        reply = answered.unwrap()
        if not await self._control_peers.wait_for_revision(reply["revision"]):
            logging.warning(
                "pings not answered: revision %d is not applied here yet",
                reply["revision"],
            )
            return
        for (session, ping), grants in zip(batch, reply["grants"], strict=True):
            if grants is not None:
                session.link.send(self._make_pong(session, ping, reply["term"], grants))

    def _pack_ping(self, session: Session, ping: messages.WatchPing) -> dict[str, Any]:
        packed: dict[str, Any] = {
            "daemon": session.name,
            "incarnation": session.incarnation,
            "sequence": ping.sequence,
            "applied": ping.applied_revision,
            "raft_term": ping.raft_term,
        }
        if ping.complete:
            packed["complete"] = [dataclasses.astuple(item) for item in ping.complete]
        if ping.quarantined:
            packed["quarantined"] = [item.hex() for item in ping.quarantined]
        if ping.demands:
            packed["demands"] = [demand_values(item) for item in ping.demands]
        if ping.shares:
            packed["shares"] = [leadership.share_values(item) for item in ping.shares]
        announcement = ping.announcement
        own = (announcement.name, announcement.incarnation)
        if own == (session.name, session.incarnation) and not self._is_applied(
            announcement
        ):
            packed["announcement"] = announced_fields(announcement)
        return packed

    def _is_applied(self, announcement: messages.Announcement) -> bool:
        current = self._store.state.targets.get(announcement.name)
        if current is None:
            return False
        return announcement_values(current) == announcement_values(announcement)

    def _make_pong(
        self, session: Session, ping: messages.WatchPing, term: int, grants: Any
    ) -> messages.WatchPong:
        pong = messages.WatchPong(
            sequence=ping.sequence,
            confirmed=True,
            revision=self._store.revision,
            raft_term=term,
            shares=[messages.Share(*fields) for fields in grants],
        )
        instances = self._control_peers.instances()
        if instances != session.instances:
            session.instances = pong.instances = instances
        deltas = self._store.deltas_since(ping.applied_revision, MAX_DELTA_BYTES)
        if deltas is not None and ping.accepts_packed_deltas:
            self._add_packed_deltas(pong, ping.applied_revision, deltas)
        elif deltas is not None:
            pong.deltas = deltas
        elif ping.applied_revision < self._store.revision:
            pong.snapshot = self._store.watch_snapshot()
        return pong

    def _add_packed_deltas(
        self, pong: messages.WatchPong, applied_revision: int, deltas: list[bytes]
    ) -> None:
        if sum(map(len, deltas)) < model.MIN_COMPRESSED_INPUT_BYTES:
            pong.deltas = deltas
            return
        if self._packed_revision != pong.revision:
            self._packed_revision = pong.revision
            self._packed_deltas = {}
        packed = self._packed_deltas.get(applied_revision)
        if packed is None:
            packed = self._packed_deltas[applied_revision] = model.pack_deltas(deltas)
        pong.packed_deltas = packed
