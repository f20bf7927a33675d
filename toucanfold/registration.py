"""Registration of a daemon's target: its announcements and their confirmation.

A confirmation is a promise that outlasts this daemon: it is given only once control has
recorded what the target stated, so that a restarted daemon reads it from the directory.
"""

import asyncio
import enum
from collections.abc import Callable

from absl import logging

from toucanfold import interfaces, model, targetstatus

# Time in which control should record what a target stated. A target waits a second for
# the confirmation and then sends its announcement again.
CONFIRMATION_TIMEOUT_S = 0.8
# Most by which the clocks of a target and its daemon differ.
MAX_CLOCK_DIFFERENCE_S = 60.0
# Announcements that are kept until the directory's record is known.
MAX_PENDING_ANNOUNCEMENTS = 16


class Confirmation(enum.Enum):
    """Result of an announcement or a withdrawal."""

    RECORDED = "recorded"
    # In effect here, if it is known which instance it concerns, but not recorded.
    NOT_RECORDED = "not recorded"
    # Not from the target beside this daemon.
    REJECTED = "rejected"


class Registration:
    """Applies what the target states of itself, and confirms what control recorded."""

    __slots__ = (
        "_address",
        "_changed",
        "_data_centre",
        "_incarnation",
        "_knows_service",
        "_name",
        "_on_change",
        "_pending",
        "_source",
        "_status",
        "configured_service",
        "is_restored",
    )

    def __init__(
        self,
        identity: tuple[str, int],
        location: tuple[str, str],
        service: str,
        status: targetstatus.TargetStatus,
        source: interfaces.StateSource,
        knows_service: Callable[[str], bool],
        on_change: Callable[[], None],
    ):
        """Create a registration.

        identity is the daemon's name and incarnation, location the target's address and
        data centre, service that of the settings. on_change is called when the status
        has changed.
        """
        self._name, self._incarnation = identity
        self._address, self._data_centre = location
        self.configured_service = service
        self._status = status
        self._source = source
        self._knows_service = knows_service
        self._on_change = on_change
        # Whether it is known what earlier incarnations of this daemon have recorded.
        self.is_restored = False
        self._pending: list[targetstatus.Announcement] = []
        self._changed = asyncio.Event()

    @property
    def _recorded(self) -> model.Target | None:
        return self._source.state.targets.get(self._name)

    async def announce(
        self, now: float, unix_s: float, announcement: targetstatus.Announcement
    ) -> Confirmation:
        """Apply an announcement; return once it is recorded or the time is up.

        now is the loop's time at which it arrived, and unix_s the Unix time (s).
        """
        if not self.is_restored:
            self._pending.append(announcement)
            del self._pending[:-MAX_PENDING_ANNOUNCEMENTS]
            if not await self._wait_until(now, lambda: self.is_restored):
                return Confirmation.NOT_RECORDED
        if not self._is_own(unix_s, announcement):
            return Confirmation.REJECTED
        if self._status.on_announcement(unix_s, announcement):
            self._on_change()
        if not announcement.is_ready and self._status.uses(announcement.instance):
            logging.warning(
                "departure of an earlier start of %s, which is used",
                announcement.instance,
            )
            return Confirmation.NOT_RECORDED
        return await self._wait_until_recorded(now)

    async def withdraw(self, now: float, unix_s: float, instance: str) -> Confirmation:
        """Record that an instance has left; return as announce does.

        The withdrawal of an instance that is not known is not confirmed: a delayed
        announcement could not be told from one of a new start.
        """
        if not await self._wait_until(now, lambda: self.is_restored):
            return Confirmation.NOT_RECORDED
        if self._status.on_instance_left(unix_s, instance):
            self._on_change()
        if not self._status.has_left(instance):
            logging.warning("withdrawal of the unknown instance %s", instance)
            return Confirmation.NOT_RECORDED
        return await self._wait_until_recorded(now)

    def on_settings(self, unix_s: float, service: str) -> None:
        """Apply the service of changed settings, which are newer than the target.

        unix_s is the Unix time (s).
        """
        self.configured_service = service
        self._status.on_service_changed(unix_s, service)

    def on_state(self, now: float, unix_s: float) -> bool:
        """Apply the directory's record of the target; False if nothing changes.

        The first confirmed state holds what earlier incarnations of this daemon have
        recorded. unix_s is the Unix time (s).
        """
        recorded = self._recorded
        is_update = False
        if not self.is_restored and self._source.is_fresh(now):
            self._restore(unix_s, recorded)
            is_update = True
        if recorded is not None and self._status.on_recorded_departure(
            unix_s, recorded.departed
        ):
            logging.info("target %s is recorded as leaving", recorded.departed)
            is_update = True
        self._changed.set()
        return is_update

    def _restore(self, unix_s: float, recorded: model.Target | None) -> None:
        self.is_restored = True
        if recorded is not None:
            self._restore_newest(unix_s, recorded)
        for announcement in self._pending:
            if self._is_own(unix_s, announcement):
                self._status.on_announcement(unix_s, announcement)
        self._pending.clear()

    def _restore_newest(self, unix_s: float, recorded: model.Target) -> None:
        configured = recorded.configured_service or recorded.service
        self._status.restore(recorded.target_instance, recorded.service)
        if configured != self.configured_service:
            # The settings have changed since the start was recorded.
            self._status.on_service_changed(unix_s, self.configured_service)

    def _is_own(self, unix_s: float, announcement: targetstatus.Announcement) -> bool:
        """Whether an announcement agrees with what is known of the target."""
        latest_start_ms = (unix_s + MAX_CLOCK_DIFFERENCE_S) * 1000
        return (
            announcement.address == self._address
            and announcement.data_centre == self._data_centre
            and announcement.started_at_ms <= latest_start_ms
            and self._knows_service(announcement.service)
            and not self._status.contradicts(announcement)
        )

    def _is_recorded(self) -> bool:
        recorded, status = self._recorded, self._status
        return (
            recorded is not None
            and recorded.incarnation == self._incarnation
            and recorded.target_instance == status.label
            and recorded.departed == status.departed
            and status.serves(recorded.service)
        )

    async def _wait_until_recorded(self, now: float) -> Confirmation:
        if await self._wait_until(now, self._is_recorded):
            return Confirmation.RECORDED
        logging.warning(
            "control has not recorded target %s in time", self._status.label
        )
        return Confirmation.NOT_RECORDED

    async def _wait_until(self, now: float, condition: Callable[[], bool]) -> bool:
        """Wait for a condition on the fleet state; False once the time is up."""
        try:
            async with asyncio.timeout_at(now + CONFIRMATION_TIMEOUT_S):
                while not condition():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
