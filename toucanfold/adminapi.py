"""Operators' HTTP/JSON API, served by every control instance."""

import asyncio
import hashlib
import hmac
import re
import time
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from returns import result

from toucanfold import (
    cluster,
    commands,
    credentials,
    exceptions,
    httpapi,
    members,
    metrics,
    model,
    store,
)

REQUEST_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 1.0
MAX_WAIT_S = 60.0
POLL_INTERVAL_S = 0.1
SEED_PATTERN = re.compile(r"[A-Za-z0-9._-]{32,128}")

PUT_COMMANDS: dict[str, type[commands.Put]] = {
    "profiles": commands.PutProfile,
    "routes": commands.PutRoute,
    "accounts": commands.PutAccount,
}
DELETE_COMMANDS: dict[str, type[commands.Delete]] = {
    "profiles": commands.DeleteProfile,
    "routes": commands.DeleteRoute,
    "accounts": commands.DeleteAccount,
}
# The other states result from announcements, pings and confirmed terminations.
SETTABLE_STATES = ("up", "draining")
MEMBER_FIELDS = ("name", "member_id", "address", "old_name", "force")
STATUS_BY_ERROR_KIND = {"conflict": 409, "operation_reused": 409, "invalid": 422}

Response = httpapi.Response
Request = httpapi.Request
Endpoint = Callable[..., Awaitable[Response]]


class AdminApi:
    """Checks credentials, turns requests into commands and serves reads."""

    def __init__(
        self,
        fleet: store.FleetStore,
        control: cluster.ControlPeers,
        operator_credentials: credentials.Credentials,
        fleet_secret: bytes,
        measured: metrics.Metrics,
        dump: Callable[[], dict[str, Any]],
    ):
        self._store = fleet
        self._control_peers = control
        self._credentials = operator_credentials
        self._fleet_secret = fleet_secret
        self._metrics = measured
        self._dump = dump
        self._endpoints: list[tuple[str, re.Pattern[str], Endpoint]] = [
            (method, re.compile(pattern), endpoint)
            for method, pattern, endpoint in (
                (
                    "GET",
                    r"/v1/(profiles|routes|accounts|targets|slots|quarantines)",
                    self._list_objects,
                ),
                (
                    "GET",
                    r"/v1/(profiles|routes|accounts|targets)/([^/]+)",
                    self._get_object,
                ),
                ("PUT", r"/v1/(profiles|routes|accounts)/([^/]+)", self._put_object),
                (
                    "DELETE",
                    r"/v1/(profiles|routes|accounts)/([^/]+)",
                    self._delete_object,
                ),
                ("GET", r"/v1/keys", self._list_keys),
                ("POST", r"/v1/keys", self._issue_key),
                ("DELETE", r"/v1/keys/([^/]+)", self._withdraw_key),
                ("POST", r"/v1/targets/([^/]+)/state", self._set_target_state),
                ("POST", r"/v1/targets/([^/]+)/ended", self._confirm_ended),
                ("DELETE", r"/v1/quarantines/([^/]+)", self._lift_quarantine),
                ("GET", r"/v1/members", self._list_members),
                ("POST", r"/v1/members", self._change_members),
                ("POST", r"/v1/transfer", self._transfer_leadership),
                ("GET", r"/v1/revisions/([0-9]{1,18})", self._wait_in_force),
                ("GET", r"/v1/status", self._status),
                ("GET", r"/v1/histograms", self._histograms),
                ("GET", r"/debug", self._debug),
            )
        ]

    async def handle(self, request: Request) -> Response:
        """Answer one request; HttpError if it is invalid."""
        operator = self._credentials.authenticate(
            request.headers.get("authorization", "")
        )
        if operator is None:
            response = httpapi.error_response(
                401,
                "credential_refused",
                "no valid operator credential",
                "send a credential of the admin file (HTTP Basic)",
            )
            response.headers.append(("WWW-Authenticate", 'Basic realm="toucanfold"'))
            return response
        allowed = []
        for method, pattern, endpoint in self._endpoints:
            match = pattern.fullmatch(request.path)
            if match is not None and method == request.method:
                response = await self._measure_request(endpoint, request, match)
                if request.method != "GET":
                    _log_change(operator, request, response.status)
                return response
            if match is not None:
                allowed.append(method)
        if allowed:
            message = f"{request.method} is not possible here"
            remedy = f"use {', '.join(allowed)}"
            return httpapi.error_response(405, "bad_method", message, remedy)
        message = f"no endpoint {request.path!r}"
        return httpapi.error_response(404, "no_endpoint", message, "see admin-api.md")

    async def _measure_request(
        self, endpoint: Endpoint, request: Request, match: re.Match[str]
    ) -> Response:
        started_at = time.monotonic()
        response = await endpoint(request, *match.groups())
        seconds = time.monotonic() - started_at
        self._metrics.observe(f"admin_{request.method.lower()}", "-", "-", seconds)
        self._metrics.count(f"admin_status_{response.status}")
        return response

    async def _submit(self, command: commands.Command) -> Response:
        checked = commands.check(command)
        if isinstance(checked, result.Failure):
            return _error_response(checked.failure())
        answered = await self._control_peers.submit(checked.unwrap(), REQUEST_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            return _error_response(answered.failure())
        outcome = answered.unwrap()["outcome"]
        if outcome["ok"]:
            fields = {key: value for key, value in outcome.items() if key != "ok"}
            return Response(200, {"accepted": True, **fields})
        fields = {key: value for key, value in outcome.items() if key != "ok"}
        return Response(STATUS_BY_ERROR_KIND[outcome["kind"]], {"error": fields})

    async def _wait_for_latest_revision(self) -> bool:
        """Wait for all changes accepted before the request; False if unconfirmed."""
        answered = await self._control_peers.request("read", {}, READ_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            return False
        return await self._control_peers.wait_for_revision(
            answered.unwrap()["revision"]
        )

    async def _list_objects(self, request: Request, table: str) -> Response:
        confirmed = await self._wait_for_latest_revision()
        items = [item.to_json() for item in getattr(self._store.state, table).values()]
        for name, value in request.query.items():
            items = [item for item in items if str(item.get(name)) == value]
        return self._read_response(confirmed, {table: items})

    async def _get_object(self, request: Request, table: str, name: str) -> Response:
        confirmed = await self._wait_for_latest_revision()
        item = getattr(self._store.state, table).get(name)
        if item is None:
            message = f"{table[:-1]} {name!r} does not exist"
            remedy = f"list the {table}"
            return httpapi.error_response(404, "not_found", message, remedy)
        return self._read_response(confirmed, {"item": item.to_json()})

    async def _put_object(self, request: Request, table: str, name: str) -> Response:
        fields = request.json()
        item = _required_field(fields, "item", dict)
        if item.setdefault("name", name) != name:
            raise _bad_request(f"the item's name is not {name!r}")
        return await self._submit(
            PUT_COMMANDS[table](
                operation=_operation(fields),
                expected_revision=_required_field(fields, "expected_revision", int),
                item=item,
            )
        )

    async def _delete_object(self, request: Request, table: str, name: str) -> Response:
        fields = request.json()
        return await self._submit(
            DELETE_COMMANDS[table](
                operation=_operation(fields),
                expected_revision=_required_field(fields, "expected_revision", int),
                name=name,
            )
        )

    async def _list_keys(self, request: Request) -> Response:
        confirmed = await self._wait_for_latest_revision()
        account = request.query.get("account")
        keys = [
            {"id": key.id, "account": key.account, "revision": key.revision}
            for key in self._store.state.keys.values()
            if account in (None, key.account)
        ]
        return self._read_response(confirmed, {"keys": keys})

    async def _issue_key(self, request: Request) -> Response:
        fields = request.json()
        operation, seed = _operation(fields), fields.get("seed")
        if seed is None:
            text = model.generate_api_key()
        elif isinstance(seed, str) and SEED_PATTERN.fullmatch(seed):
            text = derive_key(self._fleet_secret, operation, seed)
        else:
            raise _bad_request("seed must be 32 to 128 letters, digits or . _ -")
        _, key_id, secret = text.split("_")
        response = await self._submit(
            commands.IssueKey(
                operation=operation,
                account=_required_field(fields, "account", str),
                id=key_id,
                digest=model.key_digest(self._fleet_secret, secret),
            )
        )
        # A resend without the original seed gets no key text, since the text of the
        # issued key is not stored.
        if response.status == 200 and response.value["key_id"] == key_id:
            response.value["key"] = text
        return response

    async def _withdraw_key(self, request: Request, key_id: str) -> Response:
        operation = _operation(request.json())
        return await self._submit(commands.WithdrawKey(operation=operation, id=key_id))

    async def _lift_quarantine(self, request: Request, digest: str) -> Response:
        operation = _operation(request.json())
        return await self._submit(
            commands.LiftQuarantine(operation=operation, digest=digest)
        )

    async def _set_target_state(self, request: Request, name: str) -> Response:
        fields = request.json()
        state = _required_field(fields, "state", str)
        if state not in SETTABLE_STATES:
            raise _bad_request(f"state must be {' or '.join(SETTABLE_STATES)}")
        return await self._submit(
            commands.SetTargetState(
                operation=_operation(fields),
                name=name,
                incarnation=_required_field(fields, "incarnation", int),
                state=state,
            )
        )

    async def _confirm_ended(self, request: Request, name: str) -> Response:
        fields = request.json()
        return await self._submit(
            commands.ConfirmEnded(
                operation=_operation(fields),
                name=name,
                incarnation=_required_field(fields, "incarnation", int),
            )
        )

    async def _list_members(self, request: Request) -> Response:
        return Response(200, self._dump()["replica"])

    async def _change_members(self, request: Request) -> Response:
        fields = request.json()
        change = {
            name: value for name, value in fields.items() if name in MEMBER_FIELDS
        }
        change["kind"] = _required_field(fields, "action", str)
        if change["kind"] not in list(members.ChangeKind):
            raise _bad_request(f"action must be {', '.join(members.ChangeKind)}")
        _required_field(fields, "name", str)
        answered = await self._control_peers.request(
            "members", change, REQUEST_TIMEOUT_S
        )
        if isinstance(answered, result.Failure):
            return _error_response(answered.failure())
        value = {"accepted": True, **answered.unwrap()}
        if value["further_losses"] <= 0:
            value["warning"] = "the remaining voters cannot bear the loss of another"
        return Response(200, value)

    async def _transfer_leadership(self, request: Request) -> Response:
        answered = await self._control_peers.request("transfer", {}, REQUEST_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            return _error_response(answered.failure())
        return Response(200, answered.unwrap())

    async def _wait_in_force(self, request: Request, text: str) -> Response:
        try:
            wait_s = float(request.query.get("wait_ms", "0")) / 1000
        except ValueError as error:
            raise _bad_request("wait_ms must be a number") from error
        if not wait_s >= 0:
            raise _bad_request("wait_ms must be at least 0")
        max_wait_s = min(MAX_WAIT_S, wait_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max_wait_s
        while True:
            answered = await self._control_peers.request(
                "in_force", {"revision": int(text)}, REQUEST_TIMEOUT_S
            )
            if isinstance(answered, result.Failure):
                return _error_response(answered.failure())
            value = answered.unwrap()
            if value["in_force"] or loop.time() + POLL_INTERVAL_S > deadline:
                return Response(200, value)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _status(self, request: Request) -> Response:
        confirmed = await self._wait_for_latest_revision()
        dump = self._dump()
        state = self._store.state
        fields = {
            "name": dump["name"],
            "replica": dump["replica"],
            "watchers": len(dump["watchers"]),
            "counts": {
                table: len(getattr(state, table))
                for table in ("profiles", "routes", "accounts", "keys", "targets")
            },
        }
        return self._read_response(confirmed, fields)

    async def _histograms(self, request: Request) -> Response:
        return Response(200, self._metrics.dump())

    async def _debug(self, request: Request) -> Response:
        return Response(200, self._dump())

    def _read_response(self, confirmed: bool, fields: dict[str, Any]) -> Response:
        """Add the revision, and whether the leader confirmed that it is the latest."""
        head = {"revision": self._store.revision, "confirmed": confirmed}
        return Response(200, {**head, **fields})


def derive_key(fleet_secret: bytes, operation: str, seed: str) -> str:
    """Return the key text of an operation and its operator's random seed.

    A resend with the same seed yields the same key, although neither the seed nor
    the key's secret is stored. Another operation never recreates a withdrawn key.
    """
    digests = []
    for purpose in ("id", "secret"):
        text = f"key {purpose} {operation} {seed}"
        digests.append(
            hmac.new(fleet_secret, text.encode(), hashlib.sha256).hexdigest()
        )
    return f"tfk_{digests[0][:12]}_{digests[1][:40]}"


def _log_change(operator: str, request: Request, status: int) -> None:
    """Log who changed what; bodies are omitted because they may hold key seeds."""
    logging.info(
        "operator %s: %s %s: status %d", operator, request.method, request.path, status
    )


def _bad_request(message: str) -> exceptions.HttpError:
    return exceptions.HttpError(400, "bad_request", message, "see admin-api.md")


def _required_field(fields: dict[str, Any], name: str, kind: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise _bad_request(f"field {name!r} of type {kind.__name__} is needed")
    return value


def _operation(fields: dict[str, Any]) -> str:
    operation = _required_field(fields, "operation", str)
    if not operation:
        raise _bad_request("operation must not be empty")
    return operation


def _error_response(error: exceptions.ToucanfoldError) -> Response:
    if isinstance(error, exceptions.NotLeaderError):
        status, kind = 503, "no_leader"
    elif isinstance(error, exceptions.DiskFullError):
        status, kind = 507, "disk_full"
    elif isinstance(error, exceptions.ValidationError):
        status, kind = 422, "invalid"
    else:
        status, kind = 500, "internal"
    return httpapi.error_response(status, kind, error.message, error.remedy)
