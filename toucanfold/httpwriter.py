"""Serializes HTTP/1.1 messages with complete bodies without h11.

h11 parses all input and frames streamed bodies. Building and checking h11 events for
messages composed of parsed fields took about a third of a call's CPU time, so messages
with complete bodies are serialized here.
"""

import http

import h11

from toucanfold import calls

REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n" % (status, phrase)
    for status, phrase in REASONS.items()
}
STATUSES_WITHOUT_BODY = frozenset((204, 304))
_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


def _join_head(start: bytes, headers: calls.Headers) -> bytes:
    lines = [name + b": " + value + b"\r\n" for name, value in headers]
    head = start + b"".join(lines) + b"\r\n"
    # A line break inside a field would let its sender inject fields or messages.
    if head.count(b"\n") != len(headers) + 2 or b"\0" in head:
        raise h11.LocalProtocolError("a header field holds a line break")
    return head


def request(method: str, path: str, headers: calls.Headers, body: bytes) -> bytes:
    """Return a serialized request; headers must include the body's Content-Length.

    h11.LocalProtocolError if a field holds a line break or a null byte.
    """
    start = f"{method} {path} HTTP/1.1\r\n".encode("ascii")
    return _join_head(start, headers) + body


def response(status: int, headers: calls.Headers, body: bytes, is_head: bool) -> bytes:
    """Return a serialized response, with Content-Length unless it can have no body.

    h11.LocalProtocolError if a field holds a line break or a null byte.
    """
    start = _STATUS_LINES.get(status) or f"HTTP/1.1 {status} \r\n".encode()
    if is_head or status in STATUSES_WITHOUT_BODY:
        return _join_head(start, headers)
    headers = [item for item in headers if item[0] not in _FRAMING]
    headers.append((b"content-length", str(len(body)).encode()))
    return _join_head(start, headers) + body
