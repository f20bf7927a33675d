"""Status of the instance of a daemon's local target.

Where targets announce themselves, calls go only to the newest instance, until it
announces that it is not ready. Where they do not, the target is assumed to be ready.
"""

import dataclasses

from toucanfold import calls

RETRY_AFTER_MS = 200
# Bounds of the numbers in an announcement. A number beyond them would count as newer
# than all true announcements, or could not be sent to other daemons.
MAX_START_MS = 1 << 43
MAX_SEQUENCE = 1 << 53
MAX_CONCURRENCY_LIMIT = 1_000_000
MAX_WARMUP_S = 86_400.0
# Sequence of an instance that only the directory of targets knows.
RESTORED_SEQUENCE = -1
# Number of terminated instances kept, to reject their delayed announcements.
MAX_TERMINATED_INSTANCES = 64
# Announcements arrive seconds late. For this time after an instance was withdrawn,
# starts of the same instance from before the withdrawal are taken for that one.
WITHDRAWAL_S = 10.0
# Id in the recorded departure of a target that does not announce itself. Its label
# holds the time of the statement, since its start is not known.
UNANNOUNCED = "unannounced"
# A target that does not announce itself and still accepts connections after this time
# is used again; its next response tells whether it is still leaving.
MAX_LEAVING_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Announcement:
    """One announcement of a target.

    started_at_ms is the start of the instance in Unix time, in milliseconds; sequence
    increases with each announcement. warmup_s is the remaining warm-up time in
    seconds. service is the service of the instance, empty if it states none, and so
    are its address (host:port) and its data centre.
    """

    instance: str
    started_at_ms: int
    sequence: int
    is_ready: bool
    concurrency_limit: int
    warmup_s: float = 0.0
    service: str = ""
    address: str = ""
    data_centre: str = ""

    @property
    def order(self) -> tuple[int, int]:
        """Sort key by which a newer announcement supersedes an older one."""
        return self.started_at_ms, self.sequence


class TargetStatus:
    """The newest instance of the daemon's target and whether it accepts calls."""

    __slots__ = (
        "_departed",
        "_is_listening",
        "_is_unannounced_leaving",
        "_newest",
        "_require_announcement",
        "_service_change",
        "_terminated",
        "_unannounced_departure_ms",
        "_withdrawn",
    )

    def __init__(self, require_announcement: bool = False):
        self._require_announcement = require_announcement
        self._is_listening = True
        self._newest: Announcement | None = None
        # Start times (Unix ms) of instances that left, are leaving or have a
        # successor, by id.
        self._terminated: dict[str, int] = {}
        # Service that replaced another one, and Unix time (ms) of the change.
        self._service_change = ("", 0)
        # Id of the last withdrawn instance, and Unix time (ms) of the withdrawal.
        self._withdrawn = ("", 0)
        # Label of the last one that stated its departure.
        self._departed = ""
        self._is_unannounced_leaving = False
        # Unix time (ms) of the newest known departure of an unannounced target.
        self._unannounced_departure_ms = 0

    @property
    def instance(self) -> str:
        """Id of the newest instance, empty if none is known."""
        return "" if self._newest is None else self._newest.instance

    @property
    def start(self) -> tuple[str, int]:
        """Id and start time (Unix ms) of the newest instance, empty if unknown."""
        newest = self._newest
        return ("", 0) if newest is None else (newest.instance, newest.started_at_ms)

    @property
    def service(self) -> str:
        """Service that the newest instance stated, empty if it stated none.

        An address may be used again by a target of another service.
        """
        return "" if self._newest is None else self._newest.service

    @property
    def label(self) -> str:
        """Text that identifies the newest instance in the directory of targets."""
        return "" if self._newest is None else _label(self._newest)

    @property
    def departed(self) -> str:
        """Label of the last instance that left or is leaving, empty if none."""
        return self._departed

    @property
    def concurrency_limit(self) -> int:
        """Announced number of calls that run at a time, 0 if none was announced."""
        return 0 if self._newest is None else self._newest.concurrency_limit

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to the target."""
        is_known = self._newest is not None or not self._require_announcement
        return self._is_listening and is_known and not self.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether the target stated that it is leaving or not ready."""
        if self._newest is None:
            return self._is_unannounced_leaving
        return not self._newest.is_ready or self._is_terminated(self._newest)

    @property
    def awaits_restart(self) -> bool:
        """Whether a target without announcements is leaving."""
        return self._is_unannounced_leaving

    @property
    def _has_announced_itself(self) -> bool:
        return self._newest is not None and self._newest.sequence != RESTORED_SEQUENCE

    def serves(self, service: str) -> bool:
        """Whether the newest instance is one of this service, as far as it is known."""
        return self.service in ("", service)

    def on_announcement(self, unix_s: float, announcement: Announcement) -> bool:
        """Apply an announcement; False if it is stale or its instance terminated.

        A start that once stated that it is not ready is never used again, in whichever
        order its announcements arrive. unix_s is the Unix time (s).
        """
        newest = self._newest
        if self.contradicts(announcement) or self._is_terminated(announcement):
            return False
        if self._is_withdrawn(unix_s, announcement) or self._is_replaced(announcement):
            return False
        if newest is not None and announcement.started_at_ms < newest.started_at_ms:
            return False
        if newest is None or announcement.order > newest.order:
            self._replace_newest(announcement)
        elif announcement.is_ready:
            return False
        if not announcement.is_ready:
            self._depart(announcement.instance, announcement.started_at_ms)
        return True

    def on_instance_left(self, unix_s: float, instance: str) -> bool:
        """Record that an instance has left; False if it is not the newest.

        unix_s is the Unix time (s). The withdrawal may be that of a later start, whose
        announcements are still on their way, so the departure holds the present time.
        """
        newest = self._newest
        if newest is None or newest.instance != instance:
            return False
        left_ms = max(newest.started_at_ms, int(unix_s * 1000))
        self._depart(instance, left_ms)
        return True

    def has_left(self, instance: str) -> bool:
        """Whether all known starts of an instance have left, are leaving or ended."""
        newest = self._newest
        if newest is not None and newest.instance == instance:
            return self._is_terminated(newest)
        return instance in self._terminated

    def uses(self, instance: str) -> bool:
        """Whether calls are sent to this instance."""
        return self.accepts_calls and self.instance == instance

    def contradicts(self, announcement: Announcement) -> bool:
        """Whether the same start, which has not left, has stated another service."""
        newest = self._newest
        return (
            newest is not None
            and self.start == (announcement.instance, announcement.started_at_ms)
            and not self.serves(announcement.service)
            and not self._is_terminated(newest)
        )

    def restore(self, label: str, service: str) -> None:
        """Apply the newest start that the directory of targets records.

        No call goes to it until it announces itself again; earlier starts are stale.
        """
        text, _, instance = label.partition("/")
        if not instance or not self._require_announcement:
            return
        if self._newest is None or int(text) > self.start[1]:
            self._newest = Announcement(
                instance,
                int(text),
                RESTORED_SEQUENCE,
                is_ready=False,
                concurrency_limit=0,
                service=service,
            )

    def on_service_changed(self, unix_s: float, service: str) -> None:
        """Await a target of another service; earlier starts of others have left.

        unix_s is the Unix time (s).
        """
        newest = self._newest
        self._service_change = service, int(unix_s * 1000)
        if newest is not None and newest.service != service:
            self._depart(newest.instance, newest.started_at_ms)
            self._newest = dataclasses.replace(newest, service=service)

    def on_leaving(self, unix_s: float, label: str) -> bool:
        """Apply a response that states that its instance is leaving.

        label is that of the instance to which the call was sent, empty if it had not
        announced itself; unix_s is the Unix time (s). Returns False if the status does
        not change.
        """
        if label != self.label or not self.accepts_calls:
            return False
        if self._newest is None:
            self._start_unannounced_departure(int(unix_s * 1000))
        else:
            self._depart(self._newest.instance, self._newest.started_at_ms)
        return True

    def on_recorded_departure(self, unix_s: float, label: str) -> bool:
        """Apply the departure that the directory of targets has recorded.

        unix_s is the Unix time (s). Returns whether the target accepts no calls any
        more because of it.
        """
        text, _, instance = label.partition("/")
        if not instance or label == self._departed:
            return False
        did_accept, since_ms = self.accepts_calls, int(text)
        if instance != UNANNOUNCED:
            # A departure that is known here is a later one, and not recorded yet.
            if not self._departed:
                self._depart(instance, since_ms)
        elif since_ms > max(
            self._unannounced_departure_ms, (unix_s - MAX_LEAVING_S) * 1000
        ):
            self._start_unannounced_departure(since_ms)
        return did_accept and not self.accepts_calls

    def on_connection_refused(self) -> bool:
        """Accept no calls while nothing listens; False if that was known."""
        was_listening, self._is_listening = self._is_listening, False
        return was_listening

    def on_listening(self) -> None:
        """Accept calls again, since the target's address accepts connections."""
        self._is_listening = True

    def on_restarted(self) -> None:
        """Accept calls again for a target without announcements that has restarted."""
        self._is_unannounced_leaving = False
        # Replaces the recorded departure.
        self._departed = f"0/{UNANNOUNCED}"

    def _start_unannounced_departure(self, since_ms: int) -> None:
        self._is_unannounced_leaving = True
        self._unannounced_departure_ms = since_ms
        self._departed = f"{since_ms}/{UNANNOUNCED}"

    def _replace_newest(self, announcement: Announcement) -> None:
        former = self._newest
        if former is not None and former.instance != announcement.instance:
            self._terminate(former.instance, former.started_at_ms)
        self._newest = announcement
        if self._departed == _label(announcement):
            # An earlier start was withdrawn at a time that is the start of this one.
            since_ms = announcement.started_at_ms - 1
            self._departed = f"{since_ms}/{announcement.instance}"

    def _depart(self, instance: str, since_ms: int) -> None:
        """Record the departure of an instance.

        since_ms is the start that departs, or the time (Unix ms) of a withdrawal, which
        does not tell its start.
        """
        newest = self._newest
        is_later = newest is not None and newest.started_at_ms < since_ms
        if newest is not None and newest.instance == instance and is_later:
            self._terminate(instance, newest.started_at_ms)
            self._withdrawn = instance, since_ms
        else:
            self._terminate(instance, since_ms)
        self._departed = f"{since_ms}/{instance}"

    def _terminate(self, instance: str, started_at_ms: int) -> None:
        last_ms = self._terminated.pop(instance, started_at_ms)
        self._terminated[instance] = max(last_ms, started_at_ms)
        while len(self._terminated) > MAX_TERMINATED_INSTANCES:
            del self._terminated[next(iter(self._terminated))]

    def refuse(self, service: str = "") -> calls.Answer:
        """Return the refusal of a call to a service that the target does not accept."""
        if self.accepts_calls:
            return calls.refuse(
                calls.RefusalKind.NO_TARGET,
                f"no target of {service} is here",
                retry_after_ms=RETRY_AFTER_MS,
            )
        kind, message = (
            calls.RefusalKind.NO_TARGET,
            "the target has not announced itself"
            if self._is_listening
            else "the target has ended",
        )
        is_leaving = self._has_announced_itself or self._is_unannounced_leaving
        if is_leaving and self._is_listening:
            kind, message = (
                calls.RefusalKind.STOPPING,
                f"target {self.instance} is leaving",
            )
        return calls.refuse(kind, message, retry_after_ms=RETRY_AFTER_MS)

    def _is_withdrawn(self, unix_s: float, announcement: Announcement) -> bool:
        instance, left_ms = self._withdrawn
        return (
            announcement.instance == instance
            and announcement.started_at_ms <= left_ms
            and unix_s * 1000 < left_ms + WITHDRAWAL_S * 1000
        )

    def _is_replaced(self, announcement: Announcement) -> bool:
        service, changed_ms = self._service_change
        return (
            announcement.started_at_ms < changed_ms and announcement.service != service
        )

    def _is_terminated(self, announcement: Announcement) -> bool:
        # An id may be reused by a later start; earlier starts remain terminated.
        return announcement.started_at_ms <= self._terminated.get(
            announcement.instance, -1
        )


def _label(announcement: Announcement) -> str:
    return f"{announcement.started_at_ms}/{announcement.instance}"
