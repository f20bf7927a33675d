"""Announcements that a target sends to its local daemon."""

import asyncio
import json
import time
import urllib.parse
from typing import Any

from absl import logging

from toucanfold import httpserver, registration, targetstatus

PREFIX = "/instances/"
_RESPONSE_BY_CONFIRMATION = {
    registration.Confirmation.RECORDED: (200, b"{}"),
    registration.Confirmation.NOT_RECORDED: (503, b'{"error":"not recorded"}'),
    registration.Confirmation.REJECTED: (400, b'{"error":"not an announcement"}'),
}
_IS_READY_BY_STATE = {"ready": True, "draining": False}


class AnnouncementHandler:
    """HTTP handler that passes a target's announcements to its registration.

    PUT announces an instance, DELETE withdraws it.
    """

    def __init__(self, target: registration.Registration):
        self._registration = target

    def protocol_error(self, status: int, message: str) -> httpserver.Response:
        """Return the response to a malformed request."""
        return httpserver.Response(status, [], f"{message}\n".encode())

    def check_head(self, request: httpserver.Request) -> httpserver.Response | None:
        """Accept announcements and withdrawals only."""
        if request.method in ("PUT", "DELETE") and _instance_of(request):
            return None
        return httpserver.Response(404, [], b"no such call\n")

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Apply one announcement; it is acknowledged once control has recorded it."""
        instance = _instance_of(request)
        now, unix_s = asyncio.get_running_loop().time(), time.time()
        if request.method == "DELETE":
            confirmation = await self._registration.withdraw(now, unix_s, instance)
        else:
            announcement = read(instance, request.body)
            confirmation = (
                registration.Confirmation.REJECTED
                if announcement is None
                else await self._registration.announce(now, unix_s, announcement)
            )
        if confirmation is registration.Confirmation.REJECTED:
            logging.warning("rejected an invalid announcement of instance %s", instance)
        status, body = _RESPONSE_BY_CONFIRMATION[confirmation]
        fields = [(b"content-type", b"application/json")]
        return httpserver.Response(status, fields, body)


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
        _text(info["version"])
        return targetstatus.Announcement(
            instance,
            # A target that does not report its start time counts as oldest.
            _integer(data.get("born", 0), targetstatus.MAX_START_MS),
            _integer(status["seq"], targetstatus.MAX_SEQUENCE),
            _IS_READY_BY_STATE[status["state"]],
            _integer(info["slots"], targetstatus.MAX_CONCURRENCY_LIMIT),
            _warmup_s(status["cold_remaining_ms"]),
            service=_text(info["service"]),
            address=_text(data["address"]),
            data_centre=_text(info["zone"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    if not value:
        raise ValueError("the text is empty")
    return value


def _warmup_s(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not 0 <= value <= targetstatus.MAX_WARMUP_S * 1000:
        raise ValueError(f"{value!r} ms is not a warm-up time")
    return value / 1000


def _integer(value: Any, maximum: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    if not 0 <= value <= maximum:
        raise ValueError(f"{value!r} is not between 0 and {maximum}")
    return value
