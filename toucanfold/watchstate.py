"""Fleet state of a daemon, and the time until which it counts as fresh."""

import json
import zlib

from absl import logging

from toucanfold import messages, model

# Maximum age of a state that counts as fresh. It is counted from the time at which the
# ping was sent, since the instance confirms leadership after it received the ping.
FRESHNESS_S = 3.0


_UNREADABLE = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
    zlib.error,
)


class WatchState:
    """Applies pongs in any order; revision and freshness never decrease."""

    __slots__ = ("_fresh_until", "_sent_at", "_sequence", "raft_term", "state")

    def __init__(self) -> None:
        self.state = model.FleetState()
        self.raft_term = 0
        self._fresh_until = float("-inf")
        self._sent_at: dict[int, float] = {}
        self._sequence = 0

    @property
    def revision(self) -> int:
        """Revision of the applied state."""
        return self.state.revision

    def is_fresh(self, now: float) -> bool:
        """Whether callers' requests may be accepted."""
        return now < self._fresh_until

    def fresh_seconds(self, now: float) -> float:
        """Seconds for which the state stays fresh without another pong."""
        return max(0.0, self._fresh_until - now)

    def on_ping_sent(self, now: float) -> int:
        """Record a ping that is sent now and return its sequence number."""
        self._sequence += 1
        self._sent_at[self._sequence] = now
        for sequence in [
            sequence for sequence, at in self._sent_at.items() if at < now - FRESHNESS_S
        ]:
            del self._sent_at[sequence]
        return self._sequence

    def on_link_opened(self) -> None:
        """Remove the pings of an earlier link, whose pongs can no longer arrive."""
        self._sent_at.clear()

    def is_behind(self, pong: messages.WatchPong) -> bool:
        """Whether the instance's confirmed revision is below the one applied here."""
        return pong.confirmed and pong.revision < self.revision

    def on_pong(self, now: float, pong: messages.WatchPong) -> float | None:
        """Apply a pong; return when its ping was sent, None if it is not accepted.

        A pong is accepted once, and only if a confirmed leader answered it. Deltas of
        the next revision and newer snapshots are applied in any case.
        """
        self._apply_updates(pong)
        sent_at = self._sent_at.get(pong.sequence)
        if not pong.confirmed or sent_at is None:
            return None
        del self._sent_at[pong.sequence]
        if self.revision < pong.revision or self.is_behind(pong):
            return None
        self._fresh_until = max(self._fresh_until, sent_at + FRESHNESS_S)
        self.raft_term = max(self.raft_term, pong.raft_term)
        return sent_at

    def _apply_updates(self, pong: messages.WatchPong) -> None:
        """Apply a snapshot and deltas; what cannot be read changes nothing."""
        try:
            if pong.snapshot:
                fields = json.loads(zlib.decompress(pong.snapshot))
                if fields["revision"] > self.revision:
                    self.state = model.FleetState.from_json(fields)
            deltas = pong.deltas
            if pong.packed_deltas:
                deltas = model.unpack_deltas(pong.packed_deltas)
            for data in deltas:
                model.Delta.from_bytes(data).apply(self.state)
        except _UNREADABLE as error:
            logging.warning("unreadable state of revision %d: %r", pong.revision, error)
