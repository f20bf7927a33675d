"""Readiness check of a daemon for the platform."""

import asyncio

from toucanfold import daemon, httpserver


class ReadinessHandler:
    """HTTP handler that returns 200 while the daemon accepts callers' requests."""

    def __init__(self, daemon_instance: daemon.Daemon):
        self._daemon = daemon_instance

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request."""
        return httpserver.Response(status, [], f"{message}\n".encode())

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept any request."""
        return None

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Return 200 if the daemon is ready, else 503."""
        is_ready = self._daemon.is_ready(asyncio.get_running_loop().time())
        return httpserver.Response(200 if is_ready else 503, [])
