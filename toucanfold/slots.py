"""Slot plan: which daemons own and back up the records of a service."""

import collections
import dataclasses
import hashlib
import math
from collections.abc import Collection, Iterator

from toucanfold import model

# Slots of one service that are moved for balance at a time; further moves wait until
# the copies of these are complete.
MAX_CONCURRENT_MOVES = 4

CompleteCopy = tuple[str, int, int]


class _Service:
    """The targets of a service and how many slots each one owns and backs up."""

    __slots__ = ("_best_distances", "by_name", "owned", "service", "up", "weight")

    def __init__(self, service: str, targets: list[model.Target]):
        self.service = service
        self.by_name = {item.name: item for item in targets}
        self._best_distances: dict[str, int] = {}
        self.up = [item for item in self.by_name.values() if item.state == "up"]
        self.owned: collections.Counter[str] = collections.Counter()
        self.weight: collections.Counter[str] = collections.Counter()

    def count(self, slot: model.Slot, amount: int = 1) -> None:
        """Add the roles of a slot to the counts, or subtract them (amount -1)."""
        if slot.owner:
            self.owned[slot.owner] += amount
            self.weight[slot.owner] += amount
        if slot.backup:
            self.weight[slot.backup] += amount

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Whether the incarnation is alive, possibly draining."""
        target = self.by_name.get(name)
        if target is None or target.incarnation != incarnation:
            return False
        return target.state in model.ALIVE_STATES

    def is_up(self, name: str, incarnation: int) -> bool:
        """Whether the incarnation may keep its role."""
        return self.is_alive(name, incarnation) and self.by_name[name].state == "up"

    def has_terminated(self, name: str, incarnation: int) -> bool:
        """Whether the incarnation is proven to have terminated.

        Missing messages are no proof. A new incarnation with the same name, a planned
        stop and an operator's confirmation are; the last two set the state ``left``.
        """
        target = self.by_name.get(name)
        if target is None:
            return False
        return target.incarnation != incarnation or target.state == "left"

    def best_distance(self, owner: model.Target) -> int:
        """Return the lowest distance of any possible backup from an owner."""
        distance = self._best_distances.get(owner.name)
        if distance is None:
            others = (item for item in self.up if item.name != owner.name)
            distance = min((_distance(owner, item) for item in others), default=0)
            self._best_distances[owner.name] = distance
        return distance

    def new_owner(self, number: int) -> model.Target | None:
        """Return the target that owns the fewest slots."""
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
        """Return the nearest backup, among equals the one with the fewest roles."""
        owner_target = self.by_name.get(owner)
        return min(
            (item for item in self.up if item.name != owner),
            key=lambda item: (
                _distance(owner_target, item),
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
    """Return the slots to assign next, each with its current epoch plus one.

    complete holds (service, slot, epoch) of the backups that reported a complete copy.
    Only those are promoted; a copy of the first epoch is always complete. A promotion
    without the report would let a partitioned owner and backup run calls as well.
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
    """Return the services that have recorded calls or had them before."""
    services = {service for service, _ in state.slots}
    for route in state.routes.values():
        profile = state.profiles.get(route.profile)
        if profile is not None and not profile.idempotent:
            services.add(route.service)
    return services


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
            changed = _first_assignment(targets, number)
        else:
            is_complete = _has_complete_copy(slot, complete)
            is_settled = is_settled and (is_complete or not slot.backup)
            changed = _repair(targets, slot, is_complete)
            if changed is not None:
                targets.count(slot, -1)
        if changed is not None:
            targets.count(changed)
            changes.append(changed)
    if changes or not is_settled:
        return changes
    assigned = [slot for slot in slots if slot is not None]
    return list(_balance(targets, assigned))[:MAX_CONCURRENT_MOVES]


def _has_complete_copy(slot: model.Slot, complete: Collection[CompleteCopy]) -> bool:
    if not slot.backup:
        return False
    if slot.epoch == 1:
        return True
    return (slot.service, slot.number, slot.epoch) in complete


def _first_assignment(targets: _Service, number: int) -> model.Slot | None:
    owner = targets.new_owner(number)
    if owner is None:
        return None
    return _with_backup(
        targets,
        model.Slot(targets.service, number, 1, owner.name, owner.incarnation),
    )


def _repair(
    targets: _Service, slot: model.Slot, is_complete: bool
) -> model.Slot | None:
    """Return the slot changed for a lost or draining daemon, None if unchanged."""
    owner = (slot.owner, slot.owner_incarnation)
    backup = (slot.backup, slot.backup_incarnation)
    if targets.is_up(*owner):
        return None if targets.is_up(*backup) else _replace_backup(targets, slot)
    if targets.is_alive(*owner) and not targets.is_up(*backup):
        # The owner is draining: copy its records to a daemon that stays up, if any.
        changed = _replace_backup(targets, slot)
        if changed is not None:
            return changed
    if targets.is_alive(*backup) and is_complete:
        return _promote(targets, slot)
    if not targets.is_alive(*owner) and _may_reassign(targets, slot, is_complete):
        return _reassign(targets, slot)
    return None


def _may_reassign(targets: _Service, slot: model.Slot, is_complete: bool) -> bool:
    """Whether neither the owner nor its backup can ever run a call of this slot.

    An owner that is only partitioned continues with a backup that it can reach. Proof
    that the backup terminated suffices only if its copy was complete, because the
    owner then knows this epoch and cannot run anything without that backup.
    """
    if targets.has_terminated(slot.owner, slot.owner_incarnation):
        return True
    is_backup_terminated = targets.has_terminated(slot.backup, slot.backup_incarnation)
    return bool(slot.backup) and is_complete and is_backup_terminated


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
    """Assign a new owner with no or incomplete records, and set the gap flag."""
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
    """Yield single moves towards an even spread; only complete backups are promoted."""
    if not targets.up or len(slots) < model.SLOTS_PER_SERVICE:
        return
    max_owned = math.ceil(len(slots) / len(targets.up)) + 1
    max_roles = 2 * max_owned
    for slot in slots:
        changed = None
        if targets.owned[slot.owner] > max_owned:
            changed = _move_owner(targets, slot, max_owned)
        elif slot.backup:
            changed = _move_backup(targets, slot, max_roles)
        if changed is not None:
            targets.count(slot, -1)
            targets.count(changed)
            yield changed


def _move_owner(
    targets: _Service, slot: model.Slot, max_owned: int
) -> model.Slot | None:
    """Promote a backup that owns few slots, or first make such a target the backup."""
    if slot.backup and targets.owned[slot.backup] < max_owned - 1:
        return _promote(targets, slot)
    least_loaded = min(
        targets.up, key=lambda item: (targets.owned[item.name], item.name)
    )
    if (
        targets.owned[least_loaded.name] >= max_owned - 1
        or least_loaded.name == slot.owner
    ):
        return None
    return _move(slot, least_loaded)


def _move_backup(
    targets: _Service, slot: model.Slot, max_roles: int
) -> model.Slot | None:
    owner = targets.by_name.get(slot.owner)
    current = targets.by_name.get(slot.backup)
    if owner is None or current is None:
        return None
    is_far = _distance(owner, current) > targets.best_distance(owner)
    is_loaded = targets.weight[slot.backup] > max_roles
    if not is_far and not is_loaded:
        return None
    better = targets.new_backup(slot.number, slot.owner)
    if better is None or better.name == slot.backup:
        return None
    if is_far or targets.weight[better.name] < max_roles - 1:
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
    """Rank backups: another data centre of the region, the same one, another region."""
    if owner is None:
        return 0
    if owner.region != other.region:
        return 2
    return 1 if owner.data_centre == other.data_centre else 0
