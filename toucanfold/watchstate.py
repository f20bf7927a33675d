"""What a daemon knows of the fleet, and until when it may act on it."""

import json
import zlib

from toucanfold import messages, model

# The instance confirms its lead after it got the ping, so the state is at most this
# old (s) when it is counted from the time at which the ping was sent.
FRESH_S = 3.0


class WatchState:
    """Applies pongs in any order; revisions and freshness never go back."""

    __slots__ = ("_fresh_until", "_sent", "_sequence", "raft_term", "state")

    def __init__(self) -> None:
        self.state = model.FleetState()
        self.raft_term = 0
        self._fresh_until = float("-inf")
        self._sent: dict[int, float] = {}
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

    def on_send(self, now: float) -> int:
        """Note a ping that is sent now and return its sequence."""
        self._sequence += 1
        self._sent[self._sequence] = now
        for sequence in [
            sequence for sequence, at in self._sent.items() if at < now - FRESH_S
        ]:
            del self._sent[sequence]
        return self._sequence

    def on_link(self) -> None:
        """Forget pings of an earlier link, whose pongs cannot come any more."""
        self._sent.clear()

    def is_behind(self, pong: messages.WatchPong) -> bool:
        """Whether the instance knows less than was applied here already."""
        return pong.confirmed and pong.revision < self.revision

    def on_pong(self, now: float, pong: messages.WatchPong) -> float | None:
        """Apply a pong; return when its ping was sent, None if it does not count.

        A pong counts once, and only if a confirmed lead answered it. Deltas and
        snapshots are applied in any case if their revision is the next.
        """
        self._apply(pong)
        sent_at = self._sent.get(pong.sequence)
        if not pong.confirmed or sent_at is None:
            return None
        del self._sent[pong.sequence]
        if self.revision < pong.revision or self.is_behind(pong):
            return None
        self._fresh_until = max(self._fresh_until, sent_at + FRESH_S)
        self.raft_term = max(self.raft_term, pong.raft_term)
        return sent_at

    def _apply(self, pong: messages.WatchPong) -> None:
        if pong.snapshot:
            fields = json.loads(zlib.decompress(pong.snapshot))
            if fields["revision"] > self.revision:
                self.state = model.FleetState.from_json(fields)
        for data in pong.deltas:
            model.Delta.from_bytes(data).apply(self.state)
