"""Configurations in the format of the platform's operators."""

import json
from typing import Any

from absl import logging
from returns import result

from toucanfold import (
    bodies,
    commands,
    configuration,
    control,
    exceptions,
    fairshare,
    httpserver,
    model,
)

PATH = "/config"
_IMPORTANCE_BY_PRIORITY = ("critical", "important", "normal", "background")
_IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False}
# Versions have eight hexadecimal digits.
MAX_VERSION = 0xFFFFFFFF
_INVALID = "the configuration cannot be read"
_MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)


class ManifestHandler:
    """HTTP handler with which operators read and replace the configuration."""

    def __init__(self, control_instance: control.Control):
        self._control = control_instance

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request."""
        return _text_response(status, message)

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept reads and changes of the configuration only."""
        if request.path == PATH and request.method in ("GET", "PUT"):
            return None
        # Announcements of targets go to their local daemon.
        return _text_response(
            503, "this instance answers GET and PUT of the configuration"
        )

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Return the newest configuration, or replace it."""
        if request.method == "GET":
            return await self._get_configuration()
        try:
            body = await bodies.read_all(request.body, request.body_stream)
        except exceptions.BodyAbortedError as error:
            logging.warning("aborted request body of a configuration: %s", error)
            return _text_response(400, "the body broke off")
        read = to_command(body, self._control.secret, self._control.rate_bound)
        if isinstance(read, result.Failure):
            logging.info("configuration refused: %s", read.failure().message)
            return _text_response(400, read.failure().message)
        return await self._put_configuration(read.unwrap())

    async def _get_configuration(self) -> httpserver.Response:
        document = await self._control.read_document()
        if not document:
            return _text_response(503, "the newest configuration is not known here")
        fields = [(b"content-type", b"application/json")]
        return httpserver.Response(200, fields, document.encode())

    async def _put_configuration(
        self, command: commands.ReplaceConfiguration
    ) -> httpserver.Response:
        outcome = await self._control.replace_configuration(command)
        if isinstance(outcome, result.Success):
            return _text_response(200, "accepted")
        error = outcome.failure()
        if isinstance(error, exceptions.ConflictError):
            return _text_response(412, error.message)
        if isinstance(error, exceptions.ValidationError):
            return _text_response(400, error.message)
        return _text_response(503, error.message)


def to_command(
    body: bytes, fleet_secret: bytes, rate_bound: fairshare.OverageBound
) -> configuration.CommandResult:
    """Return the command for a configuration (JSON), or why it is invalid."""
    try:
        text = body.decode("utf-8")
        content = json.loads(text, parse_constant=_refuse_constant)
        version = _version(content["version"])
        base = _version(content.get("base_version") or "0")
        entities = _entities(content, fleet_secret, rate_bound)
    except _MALFORMED as error:
        return configuration.invalid(f"{_INVALID}: {error!r}")
    except exceptions.ValidationError as error:
        return result.Failure(error)
    return configuration.command(version, base, content, text, entities)


def _version(text: str) -> int:
    version = int(text, 16)
    if not 0 <= version <= MAX_VERSION:
        raise ValueError(f"version {text} is out of range")
    return version


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is not JSON")


def _entities(
    content: dict[str, Any], fleet_secret: bytes, rate_bound: fairshare.OverageBound
) -> list[model.Entity]:
    entities: list[model.Entity] = [_configuration(content.get("limits") or {})]
    profiles: dict[str, model.Entity] = {}
    for row in _rows(content["routes"]):
        profile = _profile(row)
        profiles.setdefault(profile.name, profile)
        entities.append(_route(row, profile.name))
    entities += profiles.values()
    for row in _rows(content["services"]):
        entities.append(_make_entity(model.Service, _service(row)))
    for row in _rows(content.get("tenants") or {"columns": [], "rows": []}):
        entities += _account(row, fleet_secret, rate_bound)
    return entities


def _rows(table: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the rows of a table with named fields; null fields are left out."""
    columns = table["columns"]
    rows = []
    for values in table["rows"]:
        pairs = zip(columns, values, strict=True)
        rows.append({name: value for name, value in pairs if value is not None})
    return rows


def _configuration(limits: dict[str, Any]) -> model.Configuration:
    return _make_entity(
        model.Configuration,
        {
            "name": model.CONFIGURATION_NAME,
            "max_header": limits.get("max_header_bytes", 0),
            "max_body": limits.get("max_body_bytes", 0),
            "header_timeout_ms": limits.get("header_timeout_ms", 0),
            "idle_timeout_ms": limits.get("idle_timeout_ms", 0),
        },
    )


def _profile(row: dict[str, Any]) -> model.Profile:
    """Return the profile of a route; routes with the same behaviour share one."""
    kind, priority = row["kind"], int(row.get("priority", 0))
    attempts, timeout_ms = row["max_attempts"], row["timeout_ms"]
    goal_ms = row.get("target_latency_ms", 0)
    if attempts < 1:
        raise ValueError("max_attempts must be at least 1")
    return _make_entity(
        model.Profile,
        {
            "name": f"{kind}-{priority}-{timeout_ms}-{goal_ms}-{attempts}",
            "importance": _IMPORTANCE_BY_PRIORITY[
                min(priority, len(_IMPORTANCE_BY_PRIORITY) - 1)
            ],
            "idempotent": _IDEMPOTENT_BY_KIND[kind],
            "deadline_ms": timeout_ms,
            # The platform counts the first attempt too.
            "attempts": min(attempts - 1, model.MAX_ATTEMPTS),
            "goal_ms": goal_ms,
            "limiter": "places",
        },
    )


def _route(row: dict[str, Any], profile: str) -> model.Route:
    split: dict[str, Any] = {}
    for weighted_service in row.get("weighted_services") or ():
        split[weighted_service["service"]] = (
            split.get(weighted_service["service"], 0) + weighted_service["weight"]
        )
    service = row.get("service") or next(iter(split), "")
    if not service:
        raise ValueError("a route names no service")
    return _make_entity(
        model.Route,
        {
            "name": row["name"],
            "service": service,
            "profile": profile,
            "path_prefix": row["prefix"],
            "open": bool(row.get("no_auth", False)),
            "host": row["host"].lower(),
            "split": split,
        },
    )


def _service(row: dict[str, Any]) -> dict[str, Any]:
    fields = {"name": row["name"]}
    if row.get("max_connections"):
        fields["max_connections"] = row["max_connections"]
    return fields


def _account(
    row: dict[str, Any], fleet_secret: bytes, rate_bound: fairshare.OverageBound
) -> list[model.Entity]:
    rate, burst = row.get("rate_per_s", 0), row.get("burst", 0)
    account = _make_entity(
        model.Account,
        {
            "name": row["name"],
            "rate": rate,
            "burst": burst,
            "tolerance": rate_bound.tolerance(rate, burst),
            "surplus": rate_bound.surplus(rate, burst),
            "unlimited": not rate,
            "urgency": min(row.get("priority", 0), model.MAX_URGENCY),
        },
    )
    keys = [
        model.imported_key(fleet_secret, text, account.name)
        for text in row.get("api_keys", ())
    ]
    return [account, *keys]


def _make_entity(kind: type[model.Item], fields: dict[str, Any]) -> model.Item:
    parsed = kind.from_json(fields)
    if isinstance(parsed, result.Failure):
        raise parsed.failure()
    return parsed.unwrap()


def _text_response(status: int, message: str) -> httpserver.Response:
    fields = [(b"content-type", b"text/plain")]
    return httpserver.Response(status, fields, f"{message}\n".encode())
