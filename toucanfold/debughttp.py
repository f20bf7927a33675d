"""HTTP listener that dumps a process's state as JSON."""

import json
from collections.abc import Callable
from typing import Any

from toucanfold import httpserver, replies

Dump = Callable[[], dict[str, Any]]


class DebugHandler:
    """Answers GET requests: / or /debug for all state, /debug/NAME for a part.

    Control instances serve /debug too, so one command reads both.
    """

    def __init__(self, dump: Dump):
        self._dump = dump

    def protocol_refusal(self, status: int, message: str) -> httpserver.Response:
        """Return the answer to a malformed request."""
        return replies.broken_request(status, message)

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept only reads."""
        if request.method not in ("GET", "HEAD"):
            return replies.broken_request(400, "only GET and HEAD are possible")
        return None

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Return the dump, or one part of it."""
        content: Any = self._dump()
        path = request.path.partition("?")[0].strip("/")
        name = path.removeprefix("debug").strip("/")
        if name and name not in content:
            return replies.broken_request(400, f"use one of: {', '.join(content)}")
        body = json.dumps(content[name] if name else content, default=str).encode()
        fields = [(b"content-type", b"application/json")]
        if request.method == "HEAD":
            fields.append((b"content-length", str(len(body)).encode()))
            body = b""
        return httpserver.Response(200, fields, body)
