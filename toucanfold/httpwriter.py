"""Heads of HTTP messages with whole bodies, written without h11's checks.

h11 parses everything that arrives and frames streamed bodies. Building and checking
h11 events for messages that this process composes from parsed parts took about a
third of a call's CPU time, so whole messages are written here.
"""

import http

import h11

from toucanfold import calls

REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_STATUS_LINES = {
    status: b"HTTP/1.1 %d %s\r\n" % (status, phrase)
    for status, phrase in REASONS.items()
}
BODILESS = frozenset((204, 304))
_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


def _join(start: bytes, headers: calls.Headers) -> bytes:
    lines = [name + b": " + value + b"\r\n" for name, value in headers]
    head = start + b"".join(lines) + b"\r\n"
    # A line break inside a field would let its sender add fields or whole messages.
    if head.count(b"\n") != len(headers) + 2 or b"\0" in head:
        raise h11.LocalProtocolError("a header field holds a line break")
    return head


def request(method: str, path: str, headers: calls.Headers, body: bytes) -> bytes:
    """Return a request whose headers already state the length of its body."""
    start = f"{method} {path} HTTP/1.1\r\n".encode("ascii")
    return _join(start, headers) + body


def response(status: int, headers: calls.Headers, body: bytes, is_head: bool) -> bytes:
    """Return a response; its length is stated unless it can have no body."""
    start = _STATUS_LINES.get(status) or f"HTTP/1.1 {status} \r\n".encode()
    if is_head or status in BODILESS:
        return _join(start, headers)
    headers = [item for item in headers if item[0] not in _FRAMING]
    headers.append((b"content-length", str(len(body)).encode()))
    return _join(start, headers) + body
