"""HTTP listener that shows a process's state as JSON and its metrics as text."""

import json
from collections.abc import Callable
from typing import Any

from toucanfold import httpresponses, httpserver

Dump = Callable[[], dict[str, Any]]
# Content type and text of the metrics.
MetricsText = Callable[[], tuple[bytes, bytes]]
METRICS_PATH = "/metrics"


class DebugHandler:
    """Answers GET and HEAD: / or /debug for all state, /debug/NAME for one entry.

    /metrics has the metrics as text. Control instances serve /debug too, so one command
    reads the state of either role.
    """

    def __init__(self, dump: Dump, metrics_text: MetricsText | None = None):
        self._dump = dump
        self._metrics_text = metrics_text

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request."""
        return httpresponses.protocol_error(status, message)

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Return an error response unless the request is a GET or HEAD."""
        if request.method not in ("GET", "HEAD"):
            return httpresponses.protocol_error(400, "only GET and HEAD are allowed")
        return None

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Return the metrics, the dump or one entry of the dump."""
        path = request.path.partition("?")[0]
        if path == METRICS_PATH and self._metrics_text is not None:
            kind, body = self._metrics_text()
            return _read_response(request, kind, body)
        content: Any = self._dump()
        name = path.strip("/").removeprefix("debug").strip("/")
        if name and name not in content:
            return httpresponses.protocol_error(
                400, f"use one of: {', '.join(content)}"
            )
        body = json.dumps(content[name] if name else content, default=str).encode()
        return _read_response(request, b"application/json", body)


def _read_response(
    request: httpserver.Request, content_type: bytes, body: bytes
) -> httpserver.Response:
    fields = [(b"content-type", content_type)]
    if request.method == "HEAD":
        fields.append((b"content-length", str(len(body)).encode()))
        body = b""
    return httpserver.Response(200, fields, body)
