"""Reads a settings file again after SIGHUP, and when the file itself changes."""

import asyncio
import os
import signal
from collections.abc import Callable

from absl import logging
from returns import result

from toucanfold import config

# The file is polled because some platforms change it without sending a signal.
CHECK_INTERVAL_S = 1.0

FileFingerprint = tuple[int, int, int]


class SettingsReloader:
    """Passes new settings to a callback; an invalid file changes nothing."""

    __slots__ = ("_apply", "_fingerprint", "_path", "_role", "_timer")

    def __init__(self, path: str, role: str, apply: Callable[[config.Settings], None]):
        self._path = path
        self._role = role
        self._apply = apply
        self._fingerprint = _file_fingerprint(path)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to handle SIGHUP and to poll the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stop polling the file; SIGHUP is ignored from now on."""
        if self._timer is not None:
            self._timer.cancel()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _ignore_sighup)

    def reload(self) -> bool:
        """Read the file and apply it; False if it is invalid."""
        self._fingerprint = _file_fingerprint(self._path)
        read = config.read(self._path, self._role)
        if isinstance(read, result.Failure):
            logging.error(
                "reload failed, the current settings stay in force: %s", read.failure()
            )
            return False
        self._apply(read.unwrap())
        logging.info("reloaded settings from %s", self._path)
        return True

    def _check(self) -> None:
        if _file_fingerprint(self._path) != self._fingerprint:
            self.reload()
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check
        )


def _file_fingerprint(path: str) -> FileFingerprint:
    """Return mtime (ns), size (bytes) and inode; zeros if the file cannot be read."""
    try:
        file_stat = os.stat(path)
    except OSError:
        return 0, 0, 0
    return file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino


def _ignore_sighup() -> None:
    logging.info("ignoring SIGHUP while this process stops")
