"""Composition root of the daemon on the platform."""

from toucanfold import daemon
from toucanfold.platform import announcements, fields, readiness


def run(path: str) -> int:
    """Run a daemon from its settings file; return the exit status."""
    return daemon.run(path, fields.Fields(), must_announce=True, extend=_listeners)


def _listeners(made: daemon.Daemon) -> list[daemon.Listener]:
    registry = announcements.Announcements(made.presence, made.on_presence)
    return [
        daemon.Listener("ready_listen", readiness.Readiness(made)),
        daemon.Listener("announce_listen", registry),
    ]
