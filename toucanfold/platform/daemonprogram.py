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


def _listeners(daemon_instance: daemon.Daemon) -> list[httpserver.Listener]:
    announcement_handler = announcements.AnnouncementHandler(
        daemon_instance.registration
    )
    return [
        httpserver.Listener(
            "ready_listen", readiness.ReadinessHandler(daemon_instance)
        ),
        httpserver.Listener("announce_listen", announcement_handler),
    ]
