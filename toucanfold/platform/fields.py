"""Header fields of requests and answers on the platform."""

from toucanfold import calls, headerformat, headers, httpclient, httpserver

REQUEST_ID = b"request-id"
# Milliseconds that the client still waits: a duration, not a point in time.
DEADLINE = b"deadline-ms"
CALLER_SERVICE = b"caller-service"
# Name of the client account.
TENANT = b"tenant"
# Id under which the target announced itself.
EXPECTED_INSTANCE = b"expected-instance"
NOT_EXECUTED = b"not-executed"
# Set by this product for the target, whatever the caller sent.
_OWN = frozenset(
    (b"authorization", DEADLINE, CALLER_SERVICE, TENANT, EXPECTED_INSTANCE)
)
# Statuses that promise the request never runs.
_PROMISES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421


class PlatformHeaderFormat:
    """The platform's dialect of header fields."""

    egress_via_entry = True

    def read_head(
        self, request: httpserver.Request
    ) -> headerformat.RequestHead | calls.Refusal:
        """Return what a request's head says, or why it cannot be served."""
        found = request.headers
        host = headers.find(found, b"host") or b""
        request_id = headers.find(found, REQUEST_ID) or b""
        return headerformat.RequestHead(
            root_id=request_id.decode("latin-1") or calls.new_root_id(),
            host=host.partition(b":")[0].decode("latin-1").lower() or "-",
            keys=_keys(found),
            timeout_ms=headerformat.parse_milliseconds(headers.find(found, DEADLINE)),
        )

    def fields_for_target(
        self, request: httpserver.Request, caller_service: str, account: str
    ) -> calls.Headers:
        """Return a request's fields and who sent it, without key and hop-by-hop."""
        named = headers.named_by_connection(request.headers)
        keep_length = request.body_stream is not None
        kept = [
            item
            for item in request.headers
            if item[0] not in headers.HOP_BY_HOP
            and item[0] not in _OWN
            and item[0] not in named
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
        """Return the time left and the instance that is to run the call."""
        fields = [(DEADLINE, str(left_ms).encode())]
        if instance:
            fields.append((EXPECTED_INSTANCE, instance.encode("latin-1")))
        return fields

    def check_response(
        self, call: calls.Call, answer: httpclient.TargetResponse
    ) -> headerformat.ResponseCheck:
        """Return whether the target refused the call, or answered another one."""
        echoed = headers.find(answer.headers, REQUEST_ID)
        if echoed is not None and echoed.decode("latin-1") != call.root_id:
            return headerformat.ResponseCheck(matches_call=False)
        if answer.status == _MISDIRECTED:
            return _refused(
                calls.RefusalKind.STOPPING, "another instance has the address"
            )
        if headers.find(answer.headers, NOT_EXECUTED) is not None:
            return _refused(calls.RefusalKind.OVERLOADED, "the target refused the call")
        return headerformat.ResponseCheck()

    def fields_for_caller(self, fields: calls.Headers) -> calls.Headers:
        """Return a target's fields without those of its connection."""
        named = headers.named_by_connection(fields)
        return [
            item
            for item in fields
            if item[0] not in headers.HOP_BY_HOP and item[0] not in named
        ]

    def refusal(self, refused: calls.Refusal, root_id: str) -> httpserver.Response:
        """Return the response of a refusal; its status is true to the outcome."""
        status = refused.status
        is_certain = refused.outcome is calls.Outcome.NOT_RUN
        if status in _PROMISES and not is_certain:
            status = 502
        elif refused.kind in _FAILURES and is_certain:
            # Nothing ran, so the client may be told to come back.
            status = 503
        fields = [(b"content-type", b"text/plain"), (REQUEST_ID, root_id.encode())]
        if status in (429, 503):
            seconds = refused.retry_after_ms / 1000
            fields.append((b"retry-after", f"{seconds:.3f}".encode()))
        body = f"{refused.kind}: {refused.message}\n".encode()
        return httpserver.Response(status, fields, body)

    def response(self, answer: calls.Answer, root_id: str) -> httpserver.Response:
        """Return the response of an answer: passed through, or its refusal."""
        if answer.refusal is not None:
            return self.refusal(answer.refusal, root_id)
        return httpserver.Response(
            answer.status, answer.headers, answer.body, answer.body_stream
        )

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a request that broke HTTP or a limit."""
        return httpserver.Response(
            status, [(b"content-type", b"text/plain")], f"{message}\n".encode()
        )


_FAILURES = frozenset(
    (calls.RefusalKind.DEADLINE_EXCEEDED, calls.RefusalKind.TARGET_FAILED)
)


def _keys(found: calls.Headers) -> set[bytes]:
    keys = set()
    for name, value in found:
        if name == b"authorization" and value[:7].lower() == headerformat.BEARER:
            keys.add(value[7:].strip())
    return keys


def _refused(kind: calls.RefusalKind, message: str) -> headerformat.ResponseCheck:
    return headerformat.ResponseCheck(refusal=calls.Refusal(kind, message=message))
