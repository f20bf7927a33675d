"""Announcements that a target sends to the daemon beside it."""

import asyncio
import json
import math
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging

from toucanfold import httpserver, targetstatus

PREFIX = "/instances/"
_STATES = {"ready": True, "draining": False}


class Announcements:
    """Takes a target's announcements and its leave into the daemon's presence."""

    def __init__(
        self, known: targetstatus.TargetStatus, changed: Callable[[], Awaitable[None]]
    ):
        self._target_status = known
        self._changed = changed

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the answer to a malformed request."""
        return httpserver.Response(status, [], f"{message}\n".encode())

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept announcements and leaves only."""
        if request.method in ("PUT", "DELETE") and _instance(request):
            return None
        return httpserver.Response(404, [], b"no such call\n")

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Take one announcement; it is acknowledged once it is in effect here."""
        instance = _instance(request)
        now = asyncio.get_running_loop().time()
        if request.method == "DELETE":
            is_news = self._target_status.on_instance_left(now, instance)
        else:
            heard = read(instance, request.body)
            if heard is None:
                logging.warning("an announcement of %s cannot be read", instance)
                return httpserver.Response(400, [], b"not an announcement\n")
            is_news = self._target_status.on_announcement(now, heard)
        if is_news:
            await self._changed()
        fields = [(b"content-type", b"application/json")]
        return httpserver.Response(200, fields, b"{}")


def _instance(request: httpserver.Request) -> str:
    path = request.path.partition("?")[0]
    if not path.startswith(PREFIX):
        return ""
    return urllib.parse.unquote(path[len(PREFIX) :])


def read(instance: str, body: bytes) -> targetstatus.Announcement | None:
    """Return an announcement, None if fields are missing or of another type."""
    try:
        data = json.loads(body)
        info, status = data["info"], data["status"]
        is_ready = _STATES[status["state"]]
        # A target that was started before it named its start counts as oldest.
        started_at_ms = _whole(data.get("born", 0))
        cold_ms = status.get("cold_remaining_ms") or 0
        if not isinstance(cold_ms, int | float) or not math.isfinite(cold_ms):
            return None
        return targetstatus.Announcement(
            instance,
            started_at_ms,
            _whole(status["seq"]),
            is_ready,
            max(0, _whole(info.get("slots", 0))),
            max(0.0, cold_ms / 1000),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    return value
