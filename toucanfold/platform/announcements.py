"""Announcements that a target sends to its local daemon."""

import asyncio
import json
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging

from toucanfold import httpserver, targetstatus

PREFIX = "/instances/"
_IS_READY_BY_STATE = {"ready": True, "draining": False}


class AnnouncementHandler:
    """HTTP handler that applies a target's announcements to its target status.

    PUT announces an instance, DELETE withdraws it.
    """

    def __init__(
        self,
        target_status: targetstatus.TargetStatus,
        on_change: Callable[[], Awaitable[None]],
        knows_service: Callable[[str], bool],
    ):
        self._target_status = target_status
        self._on_change = on_change
        self._knows_service = knows_service

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request."""
        return httpserver.Response(status, [], f"{message}\n".encode())

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept announcements and withdrawals only."""
        if request.method in ("PUT", "DELETE") and _instance_of(request):
            return None
        return httpserver.Response(404, [], b"no such call\n")

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Apply one announcement; it is acknowledged once it is in effect here."""
        instance = _instance_of(request)
        now = asyncio.get_running_loop().time()
        if request.method == "DELETE":
            is_update = self._target_status.on_instance_left(now, instance)
        else:
            announcement = read(instance, request.body)
            if announcement is None or not self._knows_service(announcement.service):
                logging.warning(
                    "rejected an invalid announcement of instance %s", instance
                )
                return httpserver.Response(400, [], b"not an announcement\n")
            is_update = self._target_status.on_announcement(now, announcement)
        if is_update:
            await self._on_change()
        fields = [(b"content-type", b"application/json")]
        return httpserver.Response(200, fields, b"{}")


def _instance_of(request: httpserver.Request) -> str:
    path = request.path.partition("?")[0]
    if not path.startswith(PREFIX):
        return ""
    return urllib.parse.unquote(path[len(PREFIX) :])


def read(instance: str, body: bytes) -> targetstatus.Announcement | None:
    """Return an announcement, None if fields are missing or of another type."""
    try:
        data = json.loads(body)
        info, status = data["info"], data["status"]
        is_ready = _IS_READY_BY_STATE[status["state"]]
        # A target of a version that does not report its start time counts as oldest.
        started_at_ms = _integer(data.get("born", 0), targetstatus.MAX_START_MS)
        warmup_ms = status.get("cold_remaining_ms") or 0
        if not 0 <= warmup_ms <= targetstatus.MAX_WARMUP_S * 1000:
            return None
        return targetstatus.Announcement(
            instance,
            started_at_ms,
            _integer(status["seq"], targetstatus.MAX_SEQUENCE),
            is_ready,
            _integer(info.get("slots", 0), targetstatus.MAX_CONCURRENCY_LIMIT),
            warmup_ms / 1000,
            _text(info["service"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _integer(value: Any, maximum: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    if not 0 <= value <= maximum:
        raise ValueError(f"{value!r} is not between 0 and {maximum}")
    return value
