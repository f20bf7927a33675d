"""Typed commands that change the fleet state, and their JSON encoding."""

import dataclasses
import json
import re
from typing import Any, ClassVar

from returns import result

from toucanfold import exceptions, model

OPERATION_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{8,64}")


@dataclasses.dataclass(slots=True)
class Command:
    """Base of all commands; at is the proposer's Unix time (s).

    An empty operation marks a command that control itself proposes. Such commands are
    idempotent, so their outcome is not kept.
    """

    operation: str = ""
    at: float = 0.0


@dataclasses.dataclass(slots=True)
class Put(Command):
    """Creates (expected revision 0) or replaces an object."""

    TABLE: ClassVar[str] = ""
    ENTITY_TYPE: ClassVar[type[model.Entity]] = model.Entity
    expected_revision: int = 0
    item: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class PutProfile(Put):
    """Creates or replaces a profile."""

    TABLE = "profiles"
    ENTITY_TYPE = model.Profile


@dataclasses.dataclass(slots=True)
class PutRoute(Put):
    """Creates or replaces a route."""

    TABLE = "routes"
    ENTITY_TYPE = model.Route


@dataclasses.dataclass(slots=True)
class PutAccount(Put):
    """Creates or replaces a client account."""

    TABLE = "accounts"
    ENTITY_TYPE = model.Account


@dataclasses.dataclass(slots=True)
class Delete(Command):
    """Removes an object that has the expected revision."""

    TABLE: ClassVar[str] = ""
    expected_revision: int = 0
    name: str = ""


@dataclasses.dataclass(slots=True)
class DeleteProfile(Delete):
    """Removes a profile that no route uses."""

    TABLE = "profiles"


@dataclasses.dataclass(slots=True)
class DeleteRoute(Delete):
    """Removes a route."""

    TABLE = "routes"


@dataclasses.dataclass(slots=True)
class DeleteAccount(Delete):
    """Removes a client account without keys."""

    TABLE = "accounts"


@dataclasses.dataclass(slots=True)
class IssueKey(Command):
    """Adds a key to a client account; digest is the keyed hash of its secret."""

    account: str = ""
    id: str = ""
    digest: str = ""


@dataclasses.dataclass(slots=True)
class WithdrawKey(Command):
    """Removes a key."""

    id: str = ""


@dataclasses.dataclass(slots=True)
class AnnounceTarget(Command):
    """A daemon's description of its target."""

    target: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class SetTargetState(Command):
    """Changes the state of one incarnation of a target."""

    name: str = ""
    incarnation: int = 0
    state: str = ""


@dataclasses.dataclass(slots=True)
class AssignSlots(Command):
    """Replaces slots; each must have a higher epoch than the current one."""

    slots: list[dict[str, Any]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ConfirmEnded(Command):
    """Confirms that an incarnation of a target has terminated."""

    name: str = ""
    incarnation: int = 0


@dataclasses.dataclass(slots=True)
class ReplaceConfiguration(Command):
    """Replaces all profiles, routes, accounts, keys, services and limits at once.

    It applies only if `base` is the current version. The operation id is derived from
    the content, so the same document sent again has the same id. The document is the
    operator's text, kept so that it can be returned as it was sent; tables holds the
    entities read from it, by table.
    """

    version: int = 0
    base: int = 0
    digest: str = ""
    document: str = ""
    tables: dict[str, list[dict[str, Any]]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class AddQuarantine(Command):
    """Quarantines a request under which targets ended; digest is hex."""

    digest: str = ""
    reporter: str = ""


@dataclasses.dataclass(slots=True)
class LiftQuarantine(Command):
    """Ends the quarantine of a request; digest is hex."""

    digest: str = ""


COMMAND_TYPES: dict[str, type[Command]] = {
    cls.__name__: cls
    for cls in (
        PutProfile,
        DeleteProfile,
        PutRoute,
        DeleteRoute,
        PutAccount,
        DeleteAccount,
        IssueKey,
        WithdrawKey,
        AnnounceTarget,
        SetTargetState,
        AssignSlots,
        ConfirmEnded,
        ReplaceConfiguration,
        AddQuarantine,
        LiftQuarantine,
    )
}


def encode(command: Command) -> bytes:
    """Return the JSON encoding of a command, compressed when it is long."""
    fields = {"kind": type(command).__name__}
    for field in dataclasses.fields(command):
        fields[field.name] = getattr(command, field.name)
    text = json.dumps(fields, separators=(",", ":"), sort_keys=True)
    return model.compress_json(text.encode())


def decode(data: bytes) -> result.Result[Command, exceptions.ValidationError]:
    """Decode a command; ValidationError if its kind or fields are invalid."""
    try:
        fields = json.loads(model.decompress_json(data))
        return result.Success(COMMAND_TYPES[fields.pop("kind")](**fields))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        return result.Failure(
            exceptions.ValidationError(
                f"unknown command: {error}",
                "run the same version on all control instances",
            )
        )


def check(command: Command) -> result.Result[Command, exceptions.ValidationError]:
    """Check the fields of an operator's command before it is proposed.

    This does not depend on the fleet state. Replicas do not repeat the check
    when they apply the command, since its rules may differ between versions.
    """
    if command.operation and not OPERATION_ID_PATTERN.fullmatch(command.operation):
        return result.Failure(
            exceptions.ValidationError(
                f"operation id {command.operation!r} is not valid",
                "use 8 to 64 letters, digits, dots, dashes or underscores",
            )
        )
    if isinstance(command, Put):
        return _check_put(command)
    if isinstance(command, SetTargetState) and (
        command.state not in model.TARGET_STATES
    ):
        return result.Failure(
            exceptions.ValidationError(
                f"unknown target state {command.state!r}",
                f"use one of: {', '.join(model.TARGET_STATES)}",
            )
        )
    return result.Success(command)


def _check_put(command: Put) -> result.Result[Command, exceptions.ValidationError]:
    item = {name: value for name, value in command.item.items() if name != "revision"}
    return command.ENTITY_TYPE.from_json(item).map(
        lambda entity: type(command)(
            operation=command.operation,
            at=command.at,
            expected_revision=command.expected_revision,
            item=entity.to_json(),
        )
    )
