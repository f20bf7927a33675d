"""Replicated state machine of the fleet: applies commands and stores their outcomes.

The state depends only on the Raft log, so all control instances compute the same state.
"""

import collections
import dataclasses
import hashlib
import json
import zlib
from collections.abc import Callable
from typing import Any

from absl import logging
from returns import result

from toucanfold import commands, crashes, exceptions, model

# Outcomes are kept for a day, in which an operator resends a command whose response
# was lost. The newest 10,000 outcomes are kept longer.
RETAINED_OPERATION_COUNT = 10_000
OPERATION_RETENTION_S = 24 * 3600
# Watchers that lag by more revisions get a snapshot instead of deltas.
RETAINED_DELTA_COUNT = 2_000

Puts = list[tuple[str, dict[str, Any]]]
Removes = list[tuple[str, str]]
Change = tuple[Puts, Removes]
Error = exceptions.ConflictError | exceptions.ValidationError
Planned = result.Result[Change, Error]

EMPTY_CHANGE: Change = ([], [])


@dataclasses.dataclass(slots=True)
class Operation:
    """The first outcome of an operation id and the digest of its command."""

    at: float
    digest: str
    outcome: dict[str, Any]


class FleetStore:
    """Fleet state with revisions, operation outcomes and deltas for watchers.

    An outcome is a JSON object: ``ok`` and ``revision``, and for a refused command
    also ``kind``, ``message`` and ``remedy``.
    """

    __slots__ = (
        "_cached_snapshot",
        "_deltas",
        "_document",
        "_latest_at",
        "_operations",
        "index",
        "listeners",
        "state",
    )

    def __init__(self) -> None:
        self.state = model.FleetState()
        self.index = 0
        self.listeners: list[Callable[[], None]] = []
        self._document = ""
        self._operations: collections.OrderedDict[str, Operation] = (
            collections.OrderedDict()
        )
        self._deltas: collections.deque[tuple[int, bytes]] = collections.deque(
            maxlen=RETAINED_DELTA_COUNT
        )
        self._latest_at = 0.0
        self._cached_snapshot: tuple[int, bytes] = (-1, b"")

    @property
    def revision(self) -> int:
        """Number of commands that changed the state."""
        return self.state.revision

    @property
    def document(self) -> str:
        """The text of the configuration in force, empty if there is none yet.

        Daemons do not need it, so it is not part of the watched state.
        """
        return self._document

    def apply(self, index: int, data: bytes) -> dict[str, Any]:
        """Apply one committed command and return its outcome."""
        self.index = index
        decoded = commands.decode(data)
        if isinstance(decoded, result.Failure):
            return self._refused_outcome(decoded.failure())
        command = decoded.unwrap()
        self._latest_at = max(self._latest_at, command.at)
        if not command.operation:
            return self._run_command(command)
        digest = command_digest(command)
        recorded = self._operations.get(command.operation)
        if recorded is not None:
            return (
                recorded.outcome
                if recorded.digest == digest
                else self._operation_reused()
            )
        outcome = self._run_command(command)
        # A refused configuration is not recorded: it may be sent again and applied once
        # another version is in force.
        if outcome["ok"] or not isinstance(command, commands.ReplaceConfiguration):
            self._retain_operation(
                command.operation, Operation(self._latest_at, digest, outcome)
            )
        return outcome

    def find_operation(self, operation: str) -> dict[str, Any] | None:
        """Return the outcome of an operation id, None if it is unknown or expired."""
        recorded = self._operations.get(operation)
        return recorded.outcome if recorded else None

    def deltas_since(self, revision: int, max_bytes: int) -> list[bytes] | None:
        """Return the deltas that follow a revision, None if they are no longer kept.

        The list is limited to max_bytes but holds at least one delta if any exists.
        """
        behind = self.revision - revision
        if behind == 0:
            return []
        if behind < 0 or behind > len(self._deltas):
            return None
        deltas: list[bytes] = []
        size = 0
        for position in range(len(self._deltas) - behind, len(self._deltas)):
            size += len(self._deltas[position][1])
            if deltas and size > max_bytes:
                break
            deltas.append(self._deltas[position][1])
        return deltas

    def watch_snapshot(self) -> bytes:
        """Return the compressed state for watchers, cached per revision."""
        if self._cached_snapshot[0] != self.revision:
            text = json.dumps(self.state.to_json(), separators=(",", ":"))
            self._cached_snapshot = (self.revision, zlib.compress(text.encode(), 1))
        return self._cached_snapshot[1]

    def snapshot(self) -> bytes:
        """Return the complete state that apply depends on, as JSON."""
        operations = [
            [name, item.at, item.digest, item.outcome]
            for name, item in self._operations.items()
        ]
        fields = {
            "index": self.index,
            "latest_at": self._latest_at,
            "state": self.state.to_json(),
            "operations": operations,
            "document": self._document,
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Replace the complete state by a snapshot and clear the deltas."""
        fields = json.loads(data)
        self.index = fields["index"]
        self._latest_at = fields["latest_at"]
        self.state = model.FleetState.from_json(fields["state"])
        self._document = fields["document"]
        self._operations.clear()
        for name, at, digest, outcome in fields["operations"]:
            self._operations[name] = Operation(at, digest, outcome)
        self._deltas.clear()
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def _retain_operation(self, name: str, operation: Operation) -> None:
        self._operations[name] = operation
        oldest_kept = self._latest_at - OPERATION_RETENTION_S
        while len(self._operations) > RETAINED_OPERATION_COUNT:
            first = next(iter(self._operations))
            if self._operations[first].at >= oldest_kept:
                return
            del self._operations[first]

    def _run_command(self, command: commands.Command) -> dict[str, Any]:
        try:
            planned = plan(self.state, command)
        except Exception:
            # Every member applies the command and would stop at it, at each start.
            logging.exception("a command could not be applied; it is refused")
            planned = _validation_failure("malformed command", "report a fault")
        if isinstance(planned, result.Failure):
            return self._refused_outcome(planned.failure())
        puts, removes = planned.unwrap()
        if isinstance(command, commands.ReplaceConfiguration):
            self._document = command.document
        if puts or removes:
            self._apply_change(puts, removes)
        outcome: dict[str, Any] = {"ok": True, "revision": self.revision}
        if isinstance(command, commands.IssueKey):
            outcome["key_id"] = command.id
        return outcome

    def _apply_change(self, puts: Puts, removes: Removes) -> None:
        revision = self.revision + 1
        puts_with_revision = [
            (table, {**item, "revision": revision}) for table, item in puts
        ]
        delta = model.Delta(revision, puts_with_revision, removes)
        delta.apply(self.state)
        self._deltas.append((revision, delta.to_bytes()))
        self._notify_listeners()

    def _refused_outcome(self, error: exceptions.ToucanfoldError) -> dict[str, Any]:
        outcome: dict[str, Any] = {
            "ok": False,
            "kind": "invalid",
            "message": error.message,
            "remedy": error.remedy,
            "revision": self.revision,
        }
        if isinstance(error, exceptions.ConflictError):
            outcome["kind"] = "conflict"
            outcome["present_revision"] = error.present_revision
        return outcome

    def _operation_reused(self) -> dict[str, Any]:
        message = "the operation id was used for another command"
        error = exceptions.ValidationError(message, "use a new operation id")
        return {**self._refused_outcome(error), "kind": "operation_reused"}


def command_digest(command: commands.Command) -> str:
    """Return the digest that distinguishes a resend from another command.

    The time is left out since it differs between sends, and so are the id and digest
    that control generates for a new key.
    """
    fields = json.loads(model.decompress_json(commands.encode(command)))
    for name in ("operation", "at"):
        del fields[name]
    if isinstance(command, commands.IssueKey):
        del fields["id"], fields["digest"]
    text = json.dumps(fields, sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def plan(state: model.FleetState, command: commands.Command) -> Planned:
    """Return the change that a command makes, or the error that refuses all of it."""
    for kind, planner in _PLANNER_BY_COMMAND:
        if isinstance(command, kind):
            return planner(state, command)
    raise AssertionError(f"no planner for {command!r}")


def _conflict_failure(message: str, current_revision: int) -> result.Failure:
    remedy = "read the object again and repeat the change with its revision"
    return result.Failure(exceptions.ConflictError(message, remedy, current_revision))


def _validation_failure(message: str, remedy: str) -> result.Failure:
    return result.Failure(exceptions.ValidationError(message, remedy))


def _revision_problem(
    state: model.FleetState, table: str, name: str, expected: int
) -> result.Failure | None:
    current = getattr(state, table).get(name)
    revision = current.revision if current else 0
    if revision == expected:
        return None
    return _conflict_failure(
        f"{table[:-1]} {name!r} has revision {revision}, not {expected}", revision
    )


def _plan_put(state: model.FleetState, command: commands.Put) -> Planned:
    item = command.item
    problem = _revision_problem(
        state, command.TABLE, item["name"], command.expected_revision
    )
    if problem is not None:
        return problem
    if isinstance(command, commands.PutRoute):
        problem = _route_problem(state, item)
        if problem is not None:
            return problem
    return result.Success(([(command.TABLE, item)], []))


def _route_problem(
    state: model.FleetState, item: dict[str, Any]
) -> result.Failure | None:
    if item["profile"] not in state.profiles:
        message = f"route {item['name']!r} names a missing profile {item['profile']!r}"
        return _validation_failure(message, "put the profile first")
    for other in state.routes.values():
        same = (
            (other.host or other.service) == (item["host"] or item["service"])
            and bool(other.host) == bool(item["host"])
            and other.method == item["method"]
            and other.path_prefix == item["path_prefix"]
        )
        if same and other.name != item["name"]:
            message = (
                f"route {other.name!r} has the same service or host, method and prefix"
            )
            return _validation_failure(message, "change that route or delete it first")
    return None


def _plan_delete(state: model.FleetState, command: commands.Delete) -> Planned:
    table, name = command.TABLE, command.name
    if name not in getattr(state, table):
        return _conflict_failure(f"{table[:-1]} {name!r} does not exist", 0)
    problem = _revision_problem(state, table, name, command.expected_revision)
    if problem is not None:
        return problem
    if table == "profiles":
        using_routes = [
            item.name for item in state.routes.values() if item.profile == name
        ]
        if using_routes:
            message = f"profile {name!r} is used by route {using_routes[0]!r}"
            return _validation_failure(message, "change or delete its routes first")
    if table == "accounts" and any(
        item.account == name for item in state.keys.values()
    ):
        message = f"account {name!r} still has keys"
        return _validation_failure(message, "withdraw its keys first")
    return result.Success(([], [(table, name)]))


def _plan_issue_key(state: model.FleetState, command: commands.IssueKey) -> Planned:
    if command.account not in state.accounts:
        message = f"account {command.account!r} does not exist"
        return _validation_failure(message, "put the account first")
    if command.id in state.keys:
        return _validation_failure(f"key {command.id!r} exists", "send another seed")
    key = model.Key(command.id, command.account, command.digest)
    return result.Success(([("keys", key.to_json())], []))


def _plan_withdraw_key(
    state: model.FleetState, command: commands.WithdrawKey
) -> Planned:
    if command.id not in state.keys:
        return _validation_failure(
            f"key {command.id!r} does not exist", "list the keys"
        )
    return result.Success(([], [("keys", command.id)]))


def _plan_announce_target(
    state: model.FleetState, command: commands.AnnounceTarget
) -> Planned:
    checked = model.Target.from_json(command.target)
    if isinstance(checked, result.Failure):
        return checked
    announced = checked.unwrap()
    current = state.targets.get(announced.name)
    _keep_departure(current, announced)
    if current is None or current.incarnation != announced.incarnation:
        return _plan_new_incarnation(current, announced)
    if current.state == "left":
        message = f"this incarnation of target {announced.name!r} has ended"
        return _conflict_failure(message, current.revision)
    # An operator's drain stays in force while the daemon still announces itself as up.
    if current.state == "draining" and announced.state == "up":
        announced.state = "draining"
    announced.revision = current.revision
    if announced == current:
        return result.Success(EMPTY_CHANGE)
    return result.Success(([("targets", announced.to_json())], []))


def _keep_departure(current: model.Target | None, announced: model.Target) -> None:
    """Keep a recorded departure; a daemon that restarted does not know it."""
    if current is not None and not announced.departed:
        announced.departed = current.departed
    has_departed = (
        announced.departed and announced.departed == announced.target_instance
    )
    if has_departed and announced.state == "up":
        announced.state = "waiting"


def _plan_new_incarnation(
    current: model.Target | None, announced: model.Target
) -> Planned:
    if (
        current is not None
        and current.state != "left"
        and announced.incarnation < current.incarnation
    ):
        message = f"a newer incarnation of target {announced.name!r} is known"
        return _conflict_failure(message, current.revision)
    return result.Success(([("targets", announced.to_json())], []))


def _plan_target_state(
    state: model.FleetState, command: commands.SetTargetState
) -> Planned:
    current = state.targets.get(command.name)
    if current is None or current.incarnation != command.incarnation:
        revision = current.revision if current else 0
        return _conflict_failure(
            f"target {command.name!r} has another incarnation", revision
        )
    if current.state == command.state:
        return result.Success(EMPTY_CHANGE)
    if current.state == "left":
        message = f"this incarnation of target {command.name!r} has ended"
        return _conflict_failure(message, current.revision)
    item = {**current.to_json(), "state": command.state}
    return result.Success(([("targets", item)], []))


def _plan_confirm_ended(
    state: model.FleetState, command: commands.ConfirmEnded
) -> Planned:
    ended = commands.SetTargetState(
        name=command.name, incarnation=command.incarnation, state="left"
    )
    return _plan_target_state(state, ended)


def _plan_assign_slots(
    state: model.FleetState, command: commands.AssignSlots
) -> Planned:
    for item in command.slots:
        current = state.slots.get((item["service"], item["number"]))
        if current is not None and item["epoch"] <= current.epoch:
            message = f"slot {item['number']} of {item['service']!r} has a later epoch"
            return _conflict_failure(message, current.revision)
    return result.Success(([("slots", item) for item in command.slots], []))


# Tables whose complete content a configuration replaces.
CONFIGURED_TABLES = (
    "profiles",
    "routes",
    "accounts",
    "keys",
    "services",
    "configurations",
)


def _plan_replace_configuration(
    state: model.FleetState, command: commands.ReplaceConfiguration
) -> Planned:
    """Return the differences between the current configuration and the new one."""
    current = state.configuration
    version = current.version if current else 0
    revision = current.revision if current else 0
    if command.base != version:
        message = f"version {version} is in force, not {command.base}"
        return _conflict_failure(message, revision)
    if command.version <= version:
        return _validation_failure(
            f"version {command.version} is not above {version}",
            "choose a higher version",
        )
    puts: Puts = []
    removes: Removes = []
    for table in CONFIGURED_TABLES:
        configured = getattr(state, table)
        wanted = {
            item["id" if table == "keys" else "name"]: item
            for item in command.tables.get(table, ())
        }
        removes += [(table, name) for name in configured if name not in wanted]
        for name, item in wanted.items():
            old = configured.get(name)
            if old is None or {**old.to_json(), "revision": 0} != item:
                puts.append((table, item))
    return result.Success((puts, removes))


def _plan_add_quarantine(
    state: model.FleetState, command: commands.AddQuarantine
) -> Planned:
    if command.digest in state.quarantines:
        return result.Success(EMPTY_CHANGE)
    quarantine = model.Quarantine(command.digest, command.reporter)
    problem = quarantine.validation_error()
    if problem:
        return _validation_failure(problem, "report a fault")
    oldest = sorted(state.quarantines.values(), key=lambda item: item.revision)
    surplus = oldest[: max(0, len(oldest) + 1 - crashes.MAX_QUARANTINED)]
    removes = [("quarantines", item.digest) for item in surplus]
    return result.Success(([("quarantines", quarantine.to_json())], removes))


def _plan_lift_quarantine(
    state: model.FleetState, command: commands.LiftQuarantine
) -> Planned:
    if command.digest not in state.quarantines:
        message = f"no request {command.digest!r} is quarantined"
        return _validation_failure(message, "list the quarantines")
    return result.Success(([], [("quarantines", command.digest)]))


_PLANNER_BY_COMMAND: tuple[
    tuple[type[commands.Command], Callable[[Any, Any], Planned]], ...
] = (
    (commands.Put, _plan_put),
    (commands.Delete, _plan_delete),
    (commands.IssueKey, _plan_issue_key),
    (commands.WithdrawKey, _plan_withdraw_key),
    (commands.AnnounceTarget, _plan_announce_target),
    (commands.SetTargetState, _plan_target_state),
    (commands.AssignSlots, _plan_assign_slots),
    (commands.ConfirmEnded, _plan_confirm_ended),
    (commands.ReplaceConfiguration, _plan_replace_configuration),
    (commands.AddQuarantine, _plan_add_quarantine),
    (commands.LiftQuarantine, _plan_lift_quarantine),
)
