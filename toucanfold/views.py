"""Roles of one daemon in slots, and how they change with the slot table."""

import enum

from toucanfold import model, records

# A key stamped later than a gap's start by this much cannot have run before it: the
# entry accepts stamps 1 s ahead of its clock, which may be 1 s ahead of ours.
GAP_MARGIN_S = 2 * records.CLOCK_TOLERANCE_S

Daemon = tuple[str, int]
NOBODY: Daemon = ("", 0)


class Role(enum.Enum):
    """What this daemon is for a slot."""

    OWNER = 1
    BACKUP = 2


class View:
    """A slot in which this daemon has a role, at the epoch it has applied."""

    __slots__ = (
        "backup",
        "began_with_gap",
        "blocked_on",
        "epoch",
        "gap_stamp",
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
        self.owner: Daemon = (slot.owner, slot.owner_incarnation)
        self.backup: Daemon = (slot.backup, slot.backup_incarnation)
        # As backup: whether this copy holds all records of the owner. Nothing can
        # have run before the first epoch.
        self.is_complete = slot.epoch == 1
        # As owner: whether the backup has acknowledged a whole copy.
        self.is_synced = slot.epoch == 1 or not slot.backup
        # The flag of the slot table, which stays set while this owner is the owner.
        self.began_with_gap = slot.gap
        self.last_intent = 0
        self.sync_id = 0
        self.sync_index = 0
        self.gap_until = float("-inf")
        self.gap_stamp = 0.0
        # As owner promoted without a whole copy: the former owner, which may still
        # run calls with another backup until its incarnation is proven to have ended.
        self.blocked_on: Daemon = NOBODY

    @property
    def is_owner(self) -> bool:
        """Whether this daemon owns the slot."""
        return self.role is Role.OWNER

    def keep_gap(self, former: "View") -> None:
        """Take over the gap of an earlier epoch."""
        self.gap_until = former.gap_until
        self.gap_stamp = former.gap_stamp

    def start_gap(self, now: float, wall: float) -> None:
        """Treat calls from before now as perhaps run, until their records end."""
        self.gap_until = now + records.RETENTION_S + records.MAX_RUN_S
        self.gap_stamp = wall

    def is_in_gap(self, now: float, key: str) -> bool:
        """Whether a call without a record may have run before the gap began."""
        if now >= self.gap_until:
            return False
        stamp = records.stamp_of(key)
        return stamp is None or stamp <= self.gap_stamp + GAP_MARGIN_S


class Views:
    """The slots in which one daemon incarnation has a role."""

    __slots__ = ("_by_slot", "_me", "_state", "_store", "alive")

    def __init__(self, name: str, incarnation: int, store: records.Store):
        self.alive: set[int] = {incarnation}
        self._me: Daemon = (name, incarnation)
        self._store = store
        self._by_slot: dict[records.SlotKey, View] = {}
        self._state = model.FleetState()

    def find(self, slot: records.SlotKey) -> View | None:
        """Return the view of a slot, None without a role in it."""
        return self._by_slot.get(slot)

    def of_role(self, role: Role) -> list[View]:
        """Return the views with a role."""
        return [view for view in self._by_slot.values() if view.role is role]

    def epoch_of(self, slot: records.SlotKey) -> int:
        """Return the epoch of any slot in the applied table, 0 if it has none."""
        found = self._state.slots.get(slot)
        return found.epoch if found else 0

    def owner_of(self, slot: records.SlotKey) -> str:
        """Return the name of the owner, empty if it is this daemon or unknown."""
        found = self._state.slots.get(slot)
        if found is None or (found.owner, found.owner_incarnation) == self._me:
            return ""
        return found.owner

    def apply(self, now: float, wall: float, state: model.FleetState) -> None:
        """Take a new state; epochs that do not rise are ignored."""
        self._state = state
        self.alive = {
            target.incarnation
            for target in state.targets.values()
            if target.state in model.ALIVE_STATES
        }
        self.alive.add(self._me[1])
        for key, slot in state.slots.items():
            view = self._by_slot.get(key)
            if view is None or slot.epoch > view.epoch:
                self._apply_slot(now, wall, slot, view)
        for key in [key for key in self._by_slot if key not in state.slots]:
            self._leave(key)
        for view in self._by_slot.values():
            self._check_block(now, wall, view)

    def _apply_slot(
        self, now: float, wall: float, slot: model.Slot, former: View | None
    ) -> None:
        key = (slot.service, slot.number)
        if (slot.owner, slot.owner_incarnation) == self._me:
            view = View(slot, Role.OWNER)
            self._become_owner(now, wall, slot, view, former)
            self._by_slot[key] = view
        elif (slot.backup, slot.backup_incarnation) == self._me:
            self._store.clear(key)
            self._by_slot[key] = View(slot, Role.BACKUP)
        elif former is not None:
            self._leave(key)

    def _become_owner(
        self,
        now: float,
        wall: float,
        slot: model.Slot,
        view: View,
        former: View | None,
    ) -> None:
        """Decide what a new owner knows about calls of earlier epochs.

        Control promotes only backups that reported a complete copy; otherwise it
        waits for proof that the former owner has ended and sets the gap flag. The
        block guards against a control instance that promotes without the report.
        """
        if former is None:
            if slot.gap:
                view.start_gap(now, wall)
            return
        view.keep_gap(former)
        if former.is_owner:
            view.blocked_on = former.blocked_on
            is_same_tenure = former.began_with_gap and slot.epoch == former.epoch + 1
            if slot.gap and not is_same_tenure:
                view.start_gap(now, wall)
        elif slot.gap:
            view.start_gap(now, wall)
        elif not former.is_complete:
            view.blocked_on = former.owner

    def _check_block(self, now: float, wall: float, view: View) -> None:
        if view.blocked_on == NOBODY:
            return
        name, incarnation = view.blocked_on
        target = self._state.targets.get(name)
        if target is None:
            return
        if target.incarnation != incarnation or target.state == "left":
            view.blocked_on = NOBODY
            view.start_gap(now, wall)

    def _leave(self, key: records.SlotKey) -> None:
        self._by_slot.pop(key, None)
        self._store.clear(key)
