"""Conversion between HTTP header fields and the types of the call path.

The call path works with the types of this module. A HeaderFormat converts header fields
to them and back, so that one call path serves interfaces with different field names.
"""

import dataclasses
import re
from typing import Protocol

from toucanfold import calls, headers, httpclient, httpresponses, httpserver

BEARER = b"bearer "
_RATE_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The content of a request's head that the call path uses.

    host is empty if the request names a service instead. timeout_ms is 0 if unset and
    None if it is invalid. misplaced_keys are texts in other fields that match the key
    pattern.
    """

    root_id: str
    host: str = ""
    service: str = ""
    keys: set[bytes] = dataclasses.field(default_factory=set)
    misplaced_keys: set[bytes] = dataclasses.field(default_factory=set)
    timeout_ms: int | None = 0
    attempt: int = 0
    idempotency_key: bytes = b""


@dataclasses.dataclass(slots=True)
class ResponseCheck:
    """What a target's response states about its call.

    A refusal states that the target did not run the call. stated_rate is the number
    of calls per second that the target accepts from the whole fleet, None if it states
    none. is_leaving states that the target stops and must get no further calls.
    """

    refusal: calls.Refusal | None = None
    stated_rate: float | None = None
    is_leaving: bool = False


class HeaderFormat(Protocol):
    """Reads and writes the header fields of one interface.

    egress_via_entry tells whether targets send nested calls to the address of callers,
    with nothing that identifies the call that caused them.
    """

    egress_via_entry: bool

    def read_head(self, request: httpserver.Request) -> RequestHead | calls.Refusal:
        """Return the content of a request's head, or why it cannot be served."""

    def fields_for_target(
        self, request: httpserver.Request, caller_service: str, account: str
    ) -> calls.Headers:
        """Return a request's fields without hop-by-hop fields and keys.

        account is empty for calls of open routes.
        """

    def dispatch_fields(
        self, call: calls.Call, token: str, left_ms: int, instance: str
    ) -> calls.Headers:
        """Return the fields that the target's daemon adds when it sends a call.

        left_ms is the remaining time until the call's deadline; instance is the id by
        which the target was announced (empty if none).
        """

    def find_echoed_id(self, fields: calls.Headers) -> bytes | None:
        """Return the request id that a target's response echoes, None if it has none.

        The target receives Call.root_id as the id of the request.
        """

    def check_response(self, answer: httpclient.TargetResponse) -> ResponseCheck:
        """Return what a target's response states about its call."""

    def fields_for_caller(self, fields: calls.Headers) -> calls.Headers:
        """Return a target's fields without hop-by-hop fields."""

    def refusal(self, refused: calls.Refusal, root_id: str) -> httpserver.Response:
        """Return the response that carries a refusal."""

    def response(self, answer: calls.Answer, root_id: str) -> httpserver.Response:
        """Return the response that carries an answer."""

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request or one above a limit."""


class NativeHeaderFormat:
    """The product's own interface, described in docs/messages.md."""

    egress_via_entry = False

    def read_head(self, request: httpserver.Request) -> RequestHead | calls.Refusal:
        """Return the content of a request's head, or why it cannot be served."""
        if headers.line_has_key(request.method, request.path):
            return calls.Refusal(
                calls.RefusalKind.BAD_REQUEST,
                message="the request line holds a key; send it as a header",
            )
        fields = request.headers
        presented = presented_keys(fields)
        return RequestHead(
            root_id=calls.new_root_id(),
            service=service_of(fields),
            keys=presented,
            misplaced_keys=headers.keys_in(fields) - presented,
            timeout_ms=read_timeout_ms(fields),
            attempt=read_attempt(fields),
            idempotency_key=headers.find(fields, b"idempotency-key") or b"",
        )

    def fields_for_target(
        self, request: httpserver.Request, caller_service: str, account: str
    ) -> calls.Headers:
        """Return a request's fields without hop-by-hop fields and keys."""
        return headers.for_target(request.headers, request.body_stream is not None)

    def dispatch_fields(
        self, call: calls.Call, token: str, left_ms: int, instance: str
    ) -> calls.Headers:
        """Return the token, remaining time, account, request id and idempotency key."""
        fields = [
            (b"toucanfold-token", token.encode()),
            (b"toucanfold-timeout-ms", str(left_ms).encode()),
            (b"toucanfold-account", call.account.encode()),
            (b"toucanfold-request-id", call.root_id.encode()),
        ]
        if call.idempotency_key:
            fields.append((b"idempotency-key", call.idempotency_key.encode("latin-1")))
        return fields

    def find_echoed_id(self, fields: calls.Headers) -> bytes | None:
        """Return the value of Toucanfold-Request-Id."""
        return headers.find(fields, b"toucanfold-request-id")

    def check_response(self, answer: httpclient.TargetResponse) -> ResponseCheck:
        """Return a refusal if the response is 503 with Toucanfold-Not-Run: 1."""
        checked = ResponseCheck(
            stated_rate=parse_rate(
                headers.find(answer.headers, b"toucanfold-max-rate")
            ),
            is_leaving=headers.find(answer.headers, b"toucanfold-leaving") == b"1",
        )
        is_refused = headers.find(answer.headers, b"toucanfold-not-run") == b"1"
        if answer.status == 503 and is_refused:
            text = headers.find(answer.headers, b"retry-after") or b""
            checked.refusal = calls.Refusal(
                calls.RefusalKind.OVERLOADED,
                message="the target refused the call",
                retry_after_ms=_parse_seconds(text) * 1000,
            )
        return checked

    def fields_for_caller(self, fields: calls.Headers) -> calls.Headers:
        """Return a target's fields without hop-by-hop fields."""
        return headers.for_caller(fields)

    def refusal(self, refused: calls.Refusal, root_id: str) -> httpserver.Response:
        """Return the response that carries a refusal and its outcome."""
        return httpresponses.refusal(refused, root_id)

    def response(self, answer: calls.Answer, root_id: str) -> httpserver.Response:
        """Return the response for an answer: passed through, or its refusal."""
        return httpresponses.response(answer, root_id)

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request or one above a limit."""
        return httpresponses.protocol_error(status, message)


def service_of(fields: calls.Headers) -> str:
    """Return the service from Toucanfold-Service, else the first label of Host."""
    named = headers.find(fields, b"toucanfold-service")
    if named is None:
        host = headers.find(fields, b"host") or b""
        named = host.partition(b":")[0].partition(b".")[0]
    return named.decode("latin-1")


def presented_keys(fields: calls.Headers) -> set[bytes]:
    """Return the distinct keys in Toucanfold-Key and Authorization: Bearer."""
    keys = set()
    for name, value in fields:
        if name == b"toucanfold-key":
            keys.add(value.strip())
        elif name == b"authorization" and value[:7].lower() == BEARER:
            keys.add(value[7:].strip())
    return keys


def read_timeout_ms(fields: calls.Headers) -> int | None:
    """Return the caller's timeout in milliseconds: 0 if unset, None if invalid."""
    return parse_milliseconds(headers.find(fields, b"toucanfold-timeout-ms"))


def parse_milliseconds(text: bytes | None) -> int | None:
    """Return a positive number of milliseconds: 0 if unset, None if invalid."""
    if text is None:
        return 0
    if not text.isdigit() or len(text) > 9 or int(text) == 0:
        return None
    return int(text)


def parse_rate(text: bytes | None) -> float | None:
    """Return a decimal number of calls per second; None if unset or invalid."""
    if text is None or not _RATE_PATTERN.fullmatch(text):
        return None
    return float(text)


def read_attempt(fields: calls.Headers) -> int:
    """Return how many earlier sends the caller reports; 0 if unset or invalid."""
    text = headers.find(fields, b"toucanfold-attempt") or b""
    return int(text) if text.isdigit() and len(text) <= 9 else 0


def _parse_seconds(text: bytes) -> int:
    return int(text) if text.isdigit() and len(text) <= 6 else 0
