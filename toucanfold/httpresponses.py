"""Turns answers and refusals into HTTP responses for callers."""

import json
import math

from toucanfold import calls, httpserver

OUTCOME_HEADER = b"toucanfold-outcome"
REQUEST_ID_HEADER = b"toucanfold-request-id"
# Refusal kinds of the errors that the HTTP server detects, by status.
_KINDS = {
    408: calls.RefusalKind.REQUEST_TIMEOUT,
    413: calls.RefusalKind.TOO_LARGE,
    431: calls.RefusalKind.HEADERS_TOO_LARGE,
}


def refusal(refused: calls.Refusal, root_id: str) -> httpserver.Response:
    """Return the response that carries a refusal and its outcome."""
    fields = {
        "kind": refused.kind.value,
        "outcome": refused.outcome.header_value,
        "retry_after_ms": refused.retry_after_ms,
        "message": refused.message,
        "remedy": refused.remedy,
        "request_id": root_id,
    }
    headers = [
        (b"content-type", b"application/json"),
        (OUTCOME_HEADER, refused.outcome.header_value.encode()),
        (REQUEST_ID_HEADER, root_id.encode()),
    ]
    if refused.retry_after_ms or refused.status in (429, 503):
        seconds = max(1, math.ceil(refused.retry_after_ms / 1000))
        headers.append((b"retry-after", str(seconds).encode()))
    body = json.dumps(fields).encode()
    return httpserver.Response(refused.status, headers, body)


def refuse(
    kind: calls.RefusalKind, message: str, root_id: str, retry_after_ms: int = 0
) -> httpserver.Response:
    """Return the response of a request that was refused before it ran."""
    refused = calls.Refusal(kind, calls.Outcome.NOT_RUN, message, retry_after_ms)
    return refusal(refused, root_id)


def protocol_error(status: int, message: str) -> httpserver.Response:
    """Return the response to a request that violated HTTP or a limit."""
    if status == 500:
        unknown = calls.Refusal(
            calls.RefusalKind.TARGET_FAILED, calls.Outcome.UNKNOWN, message
        )
        return refusal(unknown, calls.new_root_id())
    kind = _KINDS.get(status, calls.RefusalKind.BAD_REQUEST)
    return refuse(kind, message, calls.new_root_id())


def response(answer: calls.Answer, root_id: str) -> httpserver.Response:
    """Return the target's response with its outcome, or the response of a refusal."""
    if answer.refusal is not None:
        return refusal(answer.refusal, root_id)
    headers = [
        *answer.headers,
        (OUTCOME_HEADER, answer.outcome.header_value.encode()),
        (REQUEST_ID_HEADER, root_id.encode()),
    ]
    return httpserver.Response(answer.status, headers, answer.body, answer.body_stream)
