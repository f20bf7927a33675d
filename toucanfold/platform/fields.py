"""Header fields of requests and responses on the platform."""

from toucanfold import calls, headerformat, headers, httpclient, httpserver

REQUEST_ID = b"request-id"
# Remaining time (ms) that the client waits: a duration, not a point in time.
DEADLINE = b"deadline-ms"
CALLER_SERVICE = b"caller-service"
# Name of the client account.
TENANT = b"tenant"
# Id under which the target announced itself.
EXPECTED_INSTANCE = b"expected-instance"
NOT_EXECUTED = b"not-executed"
# Requests per second that the target accepts from all instances together.
SERVER_LIMIT = b"server-limit"
# The target that answers is leaving, not the instance that passes the answer on.
SERVER_LEAVING = b"server-leaving"
# Set by this product for the target; a caller's values are removed.
_SET_BY_PRODUCT = frozenset(
    (b"authorization", DEADLINE, CALLER_SERVICE, TENANT, EXPECTED_INSTANCE)
)
# Statuses that promise that the request has not run and will not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED_REQUEST = 421


class PlatformHeaderFormat:
    """The platform's header format."""

    egress_via_entry = True

    def read_head(
        self, request: httpserver.Request
    ) -> headerformat.RequestHead | calls.Refusal:
        """Return the content of a request's head, or why it cannot be served."""
        request_headers = request.headers
        host = headers.find(request_headers, b"host") or b""
        request_id = headers.find(request_headers, REQUEST_ID) or b""
        return headerformat.RequestHead(
            root_id=request_id.decode("latin-1") or calls.new_root_id(),
            host=host.partition(b":")[0].decode("latin-1").lower() or "-",
            keys=_bearer_keys(request_headers),
            timeout_ms=headerformat.parse_milliseconds(
                headers.find(request_headers, DEADLINE)
            ),
        )

    def fields_for_target(
        self, request: httpserver.Request, caller_service: str, account: str
    ) -> calls.Headers:
        """Return the fields to forward, without key and hop-by-hop, with the caller."""
        connection_fields = headers.named_by_connection(request.headers)
        keep_length = request.body_stream is not None
        kept = [
            item
            for item in request.headers
            if item[0] not in headers.HOP_BY_HOP
            and item[0] not in _SET_BY_PRODUCT
            and item[0] not in connection_fields
            and item[0] != b"expect"
            and (keep_length or item[0] != b"content-length")
        ]
        kept.append((CALLER_SERVICE, caller_service.encode()))
        if account:
            kept.append((TENANT, account.encode()))
        return kept

    def dispatch_fields(
        self, call: calls.Call, token: str, left_ms: int, instance: str
    ) -> calls.Headers:
        """Return the remaining time (ms) and the instance that is to run the call."""
        fields = [(DEADLINE, str(left_ms).encode())]
        if instance:
            fields.append((EXPECTED_INSTANCE, instance.encode("latin-1")))
        return fields

    def find_echoed_id(self, fields: calls.Headers) -> bytes | None:
        """Return the request id that a target's response echoes."""
        return headers.find(fields, REQUEST_ID)

    def check_response(
        self, answer: httpclient.TargetResponse
    ) -> headerformat.ResponseCheck:
        """Return what the response states; "not run" only where it says so."""
        if answer.status == _MISDIRECTED_REQUEST:
            return headerformat.ResponseCheck(
                refusal=calls.Refusal(
                    calls.RefusalKind.STOPPING,
                    message="another instance has the address",
                )
            )
        checked = headerformat.ResponseCheck(
            stated_rate=headerformat.parse_rate(
                headers.find(answer.headers, SERVER_LIMIT)
            ),
            is_leaving=headers.find(answer.headers, SERVER_LEAVING) == b"1",
        )
        if headers.find(answer.headers, NOT_EXECUTED) is not None:
            checked.refusal = calls.Refusal(
                calls.RefusalKind.OVERLOADED, message="the target refused the call"
            )
        return checked

    def fields_for_caller(self, fields: calls.Headers) -> calls.Headers:
        """Return a target's fields without hop-by-hop ones."""
        connection_fields = headers.named_by_connection(fields)
        return [
            item
            for item in fields
            if item[0] not in headers.HOP_BY_HOP and item[0] not in connection_fields
        ]

    def refusal(self, refused: calls.Refusal, root_id: str) -> httpserver.Response:
        """Return a refusal's response; it promises "not run" only if certain."""
        status = refused.status
        is_certain = refused.outcome is calls.Outcome.NOT_RUN
        if status in _NOT_RUN_STATUSES and not is_certain:
            status = 502
        elif refused.kind in _FAILURE_KINDS and is_certain:
            # Nothing ran, so the client may be told to resend later.
            status = 503
        fields = [(b"content-type", b"text/plain"), (REQUEST_ID, root_id.encode())]
        if status in (429, 503):
            seconds = refused.retry_after_ms / 1000
            fields.append((b"retry-after", f"{seconds:.3f}".encode()))
        body = f"{refused.kind}: {refused.message}\n".encode()
        return httpserver.Response(status, fields, body)

    def response(self, answer: calls.Answer, root_id: str) -> httpserver.Response:
        """Return the target's response, or that of the answer's refusal."""
        if answer.refusal is not None:
            return self.refusal(answer.refusal, root_id)
        return httpserver.Response(
            answer.status, answer.headers, answer.body, answer.body_stream
        )

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed, oversized or slow request."""
        return httpserver.Response(
            status, [(b"content-type", b"text/plain")], f"{message}\n".encode()
        )


_FAILURE_KINDS = frozenset(
    (calls.RefusalKind.DEADLINE_EXCEEDED, calls.RefusalKind.TARGET_FAILED)
)


def _bearer_keys(request_headers: calls.Headers) -> set[bytes]:
    keys = set()
    for name, value in request_headers:
        if name == b"authorization" and value[:7].lower() == headerformat.BEARER:
            keys.add(value[7:].strip())
    return keys
