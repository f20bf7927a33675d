"""Slot plan: which daemons own and back up the records of a service."""

import collections
import dataclasses
import hashlib
import math
from collections.abc import Collection, Iterator

from toucanfold import model

# Slots of one service that are moved for balance at the same time; the next ones
# wait until the copies of these are complete.
MOVES_AT_ONCE = 4

CompleteCopy = tuple[str, int, int]


class _Service:
    """The targets of a service and how many slots each one owns and backs up."""

    __slots__ = ("_best", "by_name", "owned", "service", "up", "weight")

    def __init__(self, service: str, targets: list[model.Target]):
        self.service = service
        self.by_name = {item.name: item for item in targets}
        self._best: dict[str, int] = {}
        self.up = [item for item in self.by_name.values() if item.state == "up"]
        self.owned: collections.Counter[str] = collections.Counter()
        self.weight: collections.Counter[str] = collections.Counter()

    def count(self, slot: model.Slot, amount: int = 1) -> None:
        """Count the roles of a slot."""
        if slot.owner:
            self.owned[slot.owner] += amount
            self.weight[slot.owner] += amount
        if slot.backup:
            self.weight[slot.backup] += amount

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Whether the incarnation is reachable, perhaps on its way out."""
        target = self.by_name.get(name)
        if target is None or target.incarnation != incarnation:
            return False
        return target.state in model.ALIVE_STATES

    def is_up(self, name: str, incarnation: int) -> bool:
        """Whether the incarnation may keep its role."""
        return self.is_alive(name, incarnation) and self.by_name[name].state == "up"

    def has_ended(self, name: str, incarnation: int) -> bool:
        """Whether the incarnation is proven to have ended.

        Silence is no proof. A successor with the same name, a planned stop and an
        operator's confirmation are; the last two set the state ``left``.
        """
        target = self.by_name.get(name)
        if target is None:
            return False
        return target.incarnation != incarnation or target.state == "left"

    def best_distance(self, owner: model.Target) -> int:
        """Return how near a place for a copy can be to an owner."""
        found = self._best.get(owner.name)
        if found is None:
            others = (item for item in self.up if item.name != owner.name)
            found = min((_distance(owner, item) for item in others), default=0)
            self._best[owner.name] = found
        return found

    def new_owner(self, number: int) -> model.Target | None:
        """Return the target with the fewest slots."""
        return min(
            self.up,
            key=lambda item: (
                self.owned[item.name],
                self.weight[item.name],
                self._hash(number, item.name),
            ),
            default=None,
        )

    def new_backup(self, number: int, owner: str) -> model.Target | None:
        """Return the best place for a copy, among equals the one with fewest slots."""
        owning = self.by_name.get(owner)
        return min(
            (item for item in self.up if item.name != owner),
            key=lambda item: (
                _distance(owning, item),
                self.weight[item.name],
                self._hash(number, item.name),
            ),
            default=None,
        )

    def _hash(self, number: int, name: str) -> bytes:
        text = f"{self.service}\0{number}\0{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()


def plan(
    now: float, state: model.FleetState, complete: Collection[CompleteCopy] = ()
) -> list[model.Slot]:
    """Return the slots to assign next, each with the epoch after its present one.

    complete holds (service, slot, epoch) of the backups that reported a whole copy.
    Only those are promoted; a copy of the first epoch is always whole. A promotion
    without the report would let a pair that was cut off run calls as well.
    """
    changes: list[model.Slot] = []
    targets: dict[str, list[model.Target]] = {}
    for name in sorted(state.targets):
        target = state.targets[name]
        targets.setdefault(target.service, []).append(target)
    for service in sorted(_services(state)):
        view = _Service(service, targets.get(service, []))
        changes += _plan_service(view, state, complete)
    return changes


def _services(state: model.FleetState) -> set[str]:
    """Return the services with recorded calls, now or earlier."""
    found = {service for service, _ in state.slots}
    for route in state.routes.values():
        profile = state.profiles.get(route.profile)
        if profile is not None and not profile.idempotent:
            found.add(route.service)
    return found


def _plan_service(
    targets: _Service, state: model.FleetState, complete: Collection[CompleteCopy]
) -> list[model.Slot]:
    slots = [
        state.slots.get((targets.service, number))
        for number in range(model.SLOTS_PER_SERVICE)
    ]
    for slot in slots:
        if slot is not None:
            targets.count(slot)
    changes = []
    is_settled = True
    for number, slot in enumerate(slots):
        if slot is None:
            changed = _first(targets, number)
        else:
            is_whole = _is_whole(slot, complete)
            is_settled = is_settled and (is_whole or not slot.backup)
            changed = _repair(targets, slot, is_whole)
            if changed is not None:
                targets.count(slot, -1)
        if changed is not None:
            targets.count(changed)
            changes.append(changed)
    if changes or not is_settled:
        return changes
    present = [slot for slot in slots if slot is not None]
    return list(_balance(targets, present))[:MOVES_AT_ONCE]


def _is_whole(slot: model.Slot, complete: Collection[CompleteCopy]) -> bool:
    if not slot.backup:
        return False
    if slot.epoch == 1:
        return True
    return (slot.service, slot.number, slot.epoch) in complete


def _first(targets: _Service, number: int) -> model.Slot | None:
    owner = targets.new_owner(number)
    if owner is None:
        return None
    return _with_backup(
        targets,
        model.Slot(targets.service, number, 1, owner.name, owner.incarnation),
    )


def _repair(targets: _Service, slot: model.Slot, is_whole: bool) -> model.Slot | None:
    """Return the slot after a loss or for a planned stop, None if all is well."""
    owner = (slot.owner, slot.owner_incarnation)
    backup = (slot.backup, slot.backup_incarnation)
    if targets.is_up(*owner):
        return None if targets.is_up(*backup) else _replace_backup(targets, slot)
    if targets.is_alive(*owner) and not targets.is_up(*backup):
        # The owner stops: its records go to a daemon that stays, if there is one.
        changed = _replace_backup(targets, slot)
        if changed is not None:
            return changed
    if targets.is_alive(*backup) and is_whole:
        return _promote(targets, slot)
    if not targets.is_alive(*owner) and _may_reassign(targets, slot, is_whole):
        return _reassign(targets, slot)
    return None


def _may_reassign(targets: _Service, slot: model.Slot, is_whole: bool) -> bool:
    """Whether neither the owner nor its backup can ever run a call of this slot.

    An owner that was only cut off goes on with a backup that it can reach. Proof of
    the backup's end is enough only if its copy was whole, because the owner then
    knows this epoch and cannot run anything without that backup.
    """
    if targets.has_ended(slot.owner, slot.owner_incarnation):
        return True
    is_backup_gone = targets.has_ended(slot.backup, slot.backup_incarnation)
    return bool(slot.backup) and is_whole and is_backup_gone


def _replace_backup(targets: _Service, slot: model.Slot) -> model.Slot | None:
    changed = _with_backup(
        targets,
        dataclasses.replace(
            slot, epoch=slot.epoch + 1, backup="", backup_incarnation=0, revision=0
        ),
    )
    if changed.backup:
        return changed
    if not slot.backup or targets.is_alive(slot.backup, slot.backup_incarnation):
        return None
    return changed


def _promote(targets: _Service, slot: model.Slot) -> model.Slot:
    return _with_backup(
        targets,
        model.Slot(
            slot.service,
            slot.number,
            slot.epoch + 1,
            slot.backup,
            slot.backup_incarnation,
        ),
    )


def _reassign(targets: _Service, slot: model.Slot) -> model.Slot | None:
    """Give the slot to a new owner that knows nothing, or only a part, of before."""
    owner = targets.new_owner(slot.number)
    if targets.is_up(slot.backup, slot.backup_incarnation):
        owner = targets.by_name[slot.backup]
    if owner is None:
        return None
    return _with_backup(
        targets,
        model.Slot(
            slot.service,
            slot.number,
            slot.epoch + 1,
            owner.name,
            owner.incarnation,
            gap=True,
        ),
    )


def _with_backup(targets: _Service, slot: model.Slot) -> model.Slot:
    backup = targets.new_backup(slot.number, slot.owner)
    if backup is not None:
        slot.backup, slot.backup_incarnation = backup.name, backup.incarnation
    return slot


def _balance(targets: _Service, slots: list[model.Slot]) -> Iterator[model.Slot]:
    """Move single slots towards an even spread, through complete backups only."""
    if not targets.up or len(slots) < model.SLOTS_PER_SERVICE:
        return
    most_owned = math.ceil(len(slots) / len(targets.up)) + 1
    most_roles = 2 * most_owned
    for slot in slots:
        changed = None
        if targets.owned[slot.owner] > most_owned:
            changed = _move_owner(targets, slot, most_owned)
        elif slot.backup:
            changed = _move_backup(targets, slot, most_roles)
        if changed is not None:
            targets.count(slot, -1)
            targets.count(changed)
            yield changed


def _move_owner(
    targets: _Service, slot: model.Slot, most_owned: int
) -> model.Slot | None:
    """Promote a backup that owns few slots, or make such a one the backup first."""
    if slot.backup and targets.owned[slot.backup] < most_owned - 1:
        return _promote(targets, slot)
    few = min(targets.up, key=lambda item: (targets.owned[item.name], item.name))
    if targets.owned[few.name] >= most_owned - 1 or few.name == slot.owner:
        return None
    return _move(slot, few)


def _move_backup(
    targets: _Service, slot: model.Slot, most_roles: int
) -> model.Slot | None:
    owner = targets.by_name.get(slot.owner)
    present = targets.by_name.get(slot.backup)
    if owner is None or present is None:
        return None
    is_far = _distance(owner, present) > targets.best_distance(owner)
    is_loaded = targets.weight[slot.backup] > most_roles
    if not is_far and not is_loaded:
        return None
    better = targets.new_backup(slot.number, slot.owner)
    if better is None or better.name == slot.backup:
        return None
    if is_far or targets.weight[better.name] < most_roles - 1:
        return _move(slot, better)
    return None


def _move(slot: model.Slot, backup: model.Target) -> model.Slot:
    return dataclasses.replace(
        slot,
        epoch=slot.epoch + 1,
        backup=backup.name,
        backup_incarnation=backup.incarnation,
        revision=0,
    )


def _distance(owner: model.Target | None, other: model.Target) -> int:
    """Rank places for a copy: data centre next door, same one, another region."""
    if owner is None:
        return 0
    if owner.region != other.region:
        return 2
    return 1 if owner.data_centre == other.data_centre else 0
