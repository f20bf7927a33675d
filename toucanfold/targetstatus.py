"""What a daemon knows of the instance of its own target.

Where targets announce themselves, calls go only to the newest instance that said it is
ready. Where they do not, the target is taken to be there.
"""

import dataclasses

from toucanfold import calls

RETRY_AFTER_MS = 200
# Ended instances that are remembered, to refuse their late announcements.
KEPT_ENDED = 64


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """One announcement of a target.

    Started_at_ms is the instance's start in milliseconds since 1970; sequence rises
    with each announcement. Warmup_s is how much longer the target stays slow after
    its start.
    """

    instance: str
    started_at_ms: int
    sequence: int
    is_ready: bool
    concurrency_limit: int
    warmup_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """What tells a newer announcement from a late one."""
        return self.started_at_ms, self.sequence


class TargetStatus:
    """The newest instance of the daemon's target and whether it takes calls."""

    __slots__ = ("_ended", "_newest", "_require_announcement")

    def __init__(self, require_announcement: bool = False):
        self._require_announcement = require_announcement
        self._newest: Announcement | None = None
        self._ended: dict[str, int] = {}

    @property
    def instance(self) -> str:
        """Id of the newest instance, empty if none is known."""
        return "" if self._newest is None else self._newest.instance

    @property
    def concurrency_limit(self) -> int:
        """Calls that the target works on at a time, 0 if it has not said."""
        return 0 if self._newest is None else self._newest.concurrency_limit

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to the target."""
        if self._newest is None:
            return not self._require_announcement
        return self._newest.is_ready and not self._has_ended(self._newest)

    def on_announcement(self, now: float, heard: Announcement) -> bool:
        """Take an announcement; False if a newer one is known."""
        if self._newest is not None and heard.order <= self._newest.order:
            return False
        if self._has_ended(heard):
            return False
        self._newest = heard
        return True

    def on_left(self, now: float, instance: str) -> bool:
        """Note that an instance takes no more calls; False if it is not the newest."""
        newest = self._newest
        if newest is None or newest.instance != instance:
            return False
        self._ended.pop(instance, None)
        self._ended[instance] = newest.started_at_ms
        while len(self._ended) > KEPT_ENDED:
            del self._ended[next(iter(self._ended))]
        return True

    def refuse(self) -> calls.Answer:
        """Return the refusal of a call while the target takes none."""
        kind, message = (
            calls.RefusalKind.NO_TARGET,
            "the target has not announced itself",
        )
        if self._newest is not None:
            kind, message = (
                calls.RefusalKind.STOPPING,
                f"target {self.instance} is leaving",
            )
        return calls.refuse(kind, message, retry_after_ms=RETRY_AFTER_MS)

    def _has_ended(self, heard: Announcement) -> bool:
        # An id may start again later; what was said of its earlier start stays ended.
        return heard.started_at_ms <= self._ended.get(heard.instance, -1)
