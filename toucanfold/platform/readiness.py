"""Answers the platform's question whether a daemon takes clients."""

import asyncio

from toucanfold import daemon, httpserver


class Readiness:
    """Says 200 while the daemon accepts callers' requests."""

    def __init__(self, made: daemon.Daemon):
        self._daemon = made

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the answer to a malformed request."""
        return httpserver.Response(status, [], f"{message}\n".encode())

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept any request."""
        return None

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Return 200 or 503."""
        is_ready = self._daemon.is_ready(asyncio.get_running_loop().time())
        return httpserver.Response(200 if is_ready else 503, [])
