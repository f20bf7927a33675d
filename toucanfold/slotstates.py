"""Roles of one daemon in slots, and their changes with the slot table."""

import enum

from toucanfold import model, records, watchstate

# A key whose timestamp is later than a gap's start by more than this cannot have run at
# the former owner: its process may still run and use its last confirmed state, and the
# entry accepts timestamps 1 s ahead of its clock, which may be 1 s ahead of this
# daemon's.
GAP_MARGIN_S = watchstate.FRESHNESS_S + 2 * records.CLOCK_TOLERANCE_S

DaemonKey = tuple[str, int]
NO_DAEMON: DaemonKey = ("", 0)


class Role(enum.Enum):
    """Role of this daemon in a slot."""

    OWNER = 1
    BACKUP = 2


class SlotState:
    """A slot in which this daemon has a role, at the epoch it has applied."""

    __slots__ = (
        "backup",
        "began_with_gap",
        "blocked_on",
        "epoch",
        "gap_start_unix_time",
        "gap_until",
        "is_complete",
        "is_synced",
        "last_intent",
        "owner",
        "role",
        "slot",
        "sync_id",
        "sync_index",
    )

    def __init__(self, slot: model.Slot, role: Role):
        self.slot = (slot.service, slot.number)
        self.epoch = slot.epoch
        self.role = role
        self.owner: DaemonKey = (slot.owner, slot.owner_incarnation)
        self.backup: DaemonKey = (slot.backup, slot.backup_incarnation)
        # As backup: whether this copy holds all records of the owner. Nothing can
        # have run before the first epoch.
        self.is_complete = slot.epoch == 1
        # As owner: whether the backup has acknowledged a complete copy.
        self.is_synced = slot.epoch == 1 or not slot.backup
        # The gap flag of the slot table, which stays set until the owner changes.
        self.began_with_gap = slot.gap
        self.last_intent = 0
        self.sync_id = 0
        self.sync_index = 0
        self.gap_until = float("-inf")
        self.gap_start_unix_time = 0.0
        # As owner promoted without a complete copy: the former owner, which may still
        # run calls with another backup until its incarnation is proven terminated.
        self.blocked_on: DaemonKey = NO_DAEMON

    @property
    def is_owner(self) -> bool:
        """Whether this daemon owns the slot."""
        return self.role is Role.OWNER

    def inherit_gap(self, former: "SlotState") -> None:
        """Copy the gap of an earlier epoch."""
        self.gap_until = former.gap_until
        self.gap_start_unix_time = former.gap_start_unix_time

    def start_gap(self, now: float, unix_time: float) -> None:
        """Treat earlier calls as possibly run until their records would expire."""
        self.gap_until = now + records.RETENTION_S + records.MAX_EXECUTION_S
        self.gap_start_unix_time = unix_time

    def is_in_gap(self, now: float, key: str) -> bool:
        """Whether a call without a record may have run before the gap began."""
        if now >= self.gap_until:
            return False
        timestamp = records.key_timestamp(key)
        return timestamp is None or timestamp <= self.gap_start_unix_time + GAP_MARGIN_S


class SlotStates:
    """The slots in which one daemon incarnation has a role."""

    __slots__ = ("_by_slot", "_daemon", "_state", "_store", "alive")

    def __init__(self, name: str, incarnation: int, store: records.RecordStore):
        self.alive: set[int] = {incarnation}
        self._daemon: DaemonKey = (name, incarnation)
        self._store = store
        self._by_slot: dict[records.SlotKey, SlotState] = {}
        self._state = model.FleetState()

    def find(self, slot: records.SlotKey) -> SlotState | None:
        """Return the state of a slot, None if this daemon has no role in it."""
        return self._by_slot.get(slot)

    def of_role(self, role: Role) -> list[SlotState]:
        """Return the slots in which this daemon has the role."""
        return [
            slot_state
            for slot_state in self._by_slot.values()
            if slot_state.role is role
        ]

    def epoch_of(self, slot: records.SlotKey) -> int:
        """Return the epoch of any slot in the applied table, 0 if it is not there."""
        assigned = self._state.slots.get(slot)
        return assigned.epoch if assigned else 0

    def owner_of(self, slot: records.SlotKey) -> str:
        """Return the name of the owner, empty if it is this daemon or unknown."""
        assigned = self._state.slots.get(slot)
        if (
            assigned is None
            or (assigned.owner, assigned.owner_incarnation) == self._daemon
        ):
            return ""
        return assigned.owner

    def apply(self, now: float, unix_time: float, state: model.FleetState) -> None:
        """Apply a new state; slots whose epoch has not increased are ignored."""
        self._state = state
        self.alive = {
            target.incarnation
            for target in state.targets.values()
            if target.state in model.ALIVE_STATES
        }
        self.alive.add(self._daemon[1])
        for key, slot in state.slots.items():
            slot_state = self._by_slot.get(key)
            if slot_state is None or slot.epoch > slot_state.epoch:
                self._apply_slot(now, unix_time, slot, slot_state)
        for key in [key for key in self._by_slot if key not in state.slots]:
            self._remove_slot(key)
        for slot_state in self._by_slot.values():
            self._unblock_if_terminated(now, unix_time, slot_state)

    def _apply_slot(
        self, now: float, unix_time: float, slot: model.Slot, former: SlotState | None
    ) -> None:
        key = (slot.service, slot.number)
        if (slot.owner, slot.owner_incarnation) == self._daemon:
            slot_state = SlotState(slot, Role.OWNER)
            self._become_owner(now, unix_time, slot, slot_state, former)
            self._by_slot[key] = slot_state
        elif (slot.backup, slot.backup_incarnation) == self._daemon:
            self._store.clear(key)
            self._by_slot[key] = SlotState(slot, Role.BACKUP)
        elif former is not None:
            self._remove_slot(key)

    def _become_owner(
        self,
        now: float,
        unix_time: float,
        slot: model.Slot,
        slot_state: SlotState,
        former: SlotState | None,
    ) -> None:
        """Set the gap and blocked_on of a slot that this daemon owns at a new epoch.

        Control promotes only backups that reported a complete copy; otherwise it
        waits for proof that the former owner or its backup has terminated and sets
        the gap flag. The block guards against a control instance that promotes
        without the report.
        """
        if former is None:
            if slot.gap:
                slot_state.start_gap(now, unix_time)
            return
        slot_state.inherit_gap(former)
        if former.is_owner:
            slot_state.blocked_on = former.blocked_on
            is_same_gap = former.began_with_gap and slot.epoch == former.epoch + 1
            if slot.gap and not is_same_gap:
                slot_state.start_gap(now, unix_time)
        elif slot.gap:
            slot_state.start_gap(now, unix_time)
        elif not former.is_complete:
            slot_state.blocked_on = former.owner

    def _unblock_if_terminated(
        self, now: float, unix_time: float, slot_state: SlotState
    ) -> None:
        if slot_state.blocked_on == NO_DAEMON:
            return
        name, incarnation = slot_state.blocked_on
        target = self._state.targets.get(name)
        if target is None:
            return
        if target.incarnation != incarnation or target.state == "left":
            slot_state.blocked_on = NO_DAEMON
            slot_state.start_gap(now, unix_time)

    def _remove_slot(self, key: records.SlotKey) -> None:
        self._by_slot.pop(key, None)
        self._store.clear(key)
