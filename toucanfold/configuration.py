"""Complete configurations: their command, and checks between their entities."""

import hashlib
import json
from collections.abc import Iterable
from typing import Any

from returns import result

from toucanfold import commands, exceptions, model

CommandResult = result.Result[commands.ReplaceConfiguration, exceptions.ValidationError]
REMEDY = "correct the configuration and send it again"


def content_digest(content: Any) -> str:
    """Return the digest of a configuration's JSON (hex), whatever its formatting."""
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=20).hexdigest()


def command(
    version: int, base: int, content: Any, document: str, items: list[model.Entity]
) -> CommandResult:
    """Return the command that puts the entities in force, or a ValidationError.

    Content is the document's parsed JSON. Items are its entities, each checked on its
    own.
    """
    if version <= 0:
        return invalid("the version must be above 0")
    digest = content_digest(content)
    for item in items:
        if isinstance(item, model.Configuration):
            item.version, item.digest = version, digest
    problem = _find_inconsistency(items)
    if problem:
        return invalid(problem)
    tables: dict[str, list[dict[str, Any]]] = {}
    for item in items:
        tables.setdefault(_TABLES[type(item)], []).append(item.to_json())
    return result.Success(
        commands.ReplaceConfiguration(
            operation=f"config-{digest}",
            version=version,
            base=base,
            digest=digest,
            document=document,
            tables=tables,
        )
    )


def invalid(message: str) -> result.Failure:
    """Return the failure for a configuration that is refused."""
    return result.Failure(exceptions.ValidationError(message, REMEDY))


_TABLES: dict[type[model.Entity], str] = {
    model.Profile: "profiles",
    model.Route: "routes",
    model.Account: "accounts",
    model.Key: "keys",
    model.Service: "services",
    model.Configuration: "configurations",
}


def _name_of(item: Any) -> str:
    return item.id if isinstance(item, model.Key) else item.name


def _find_inconsistency(items: list[model.Entity]) -> str:
    """Return the first conflict between the entities, or an empty string."""
    names: set[tuple[type[model.Entity], str]] = set()
    for item in items:
        name = _name_of(item)
        if (type(item), name) in names:
            if isinstance(item, model.Key):
                return "two accounts share a key"
            return f"two {_TABLES[type(item)]} are named {name!r}"
        names.add((type(item), name))
    routes = [item for item in items if isinstance(item, model.Route)]
    return _find_route_inconsistency(routes, names)


def _find_route_inconsistency(
    routes: Iterable[model.Route], names: set[tuple[type[model.Entity], str]]
) -> str:
    matchers: set[tuple[str, str, str]] = set()
    for route in routes:
        if (model.Profile, route.profile) not in names:
            return f"route {route.name!r} names the unknown profile {route.profile!r}"
        for service in route.services:
            if (model.Service, service) not in names:
                return f"route {route.name!r} names the unknown service {service!r}"
        matcher = (route.host or route.service, route.method, route.path_prefix)
        if matcher in matchers:
            return f"route {route.name!r} serves the same requests as another"
        matchers.add(matcher)
    return ""
