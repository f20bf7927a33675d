"""Composition root of the daemon on the platform."""

from toucanfold import daemon, httpserver
from toucanfold.platform import announcements, fields, readiness


def run(path: str) -> int:
    """Run a daemon from its settings file; return the exit status."""
    return daemon.run(
        path,
        fields.PlatformHeaderFormat(),
        require_announcement=True,
        extend=_listeners,
    )


def _listeners(made: daemon.Daemon) -> list[httpserver.Listener]:
    registry = announcements.Announcements(made.target_status, made.on_target_status)
    return [
        httpserver.Listener("ready_listen", readiness.Readiness(made)),
        httpserver.Listener("announce_listen", registry),
    ]
