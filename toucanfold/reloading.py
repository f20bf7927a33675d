"""Reads a settings file again after SIGHUP, and when the file itself changes."""

import asyncio
import os
import signal
from collections.abc import Callable

from absl import logging
from returns import result

from toucanfold import config

# How often the file is looked at. Some platforms change it without a signal.
CHECK_S = 1.0

Stamp = tuple[int, int, int]


class SettingsReloader:
    """Gives new settings to a callback; a broken file leaves the old ones in force."""

    __slots__ = ("_apply", "_path", "_role", "_stamp", "_timer")

    def __init__(self, path: str, role: str, apply: Callable[[config.Settings], None]):
        self._path = path
        self._role = role
        self._apply = apply
        self._stamp = _stamp_of(path)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Handle SIGHUP and look at the file from now on."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._timer = loop.call_later(CHECK_S, self._check)

    def stop(self) -> None:
        """Stop looking at the file; SIGHUP is ignored from now on."""
        if self._timer is not None:
            self._timer.cancel()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _ignore)

    def reload(self) -> bool:
        """Read the file and apply it; False if it is broken."""
        self._stamp = _stamp_of(self._path)
        read = config.read(self._path, self._role)
        if isinstance(read, result.Failure):
            logging.error("the old settings stay in force: %s", read.failure())
            return False
        self._apply(read.unwrap())
        logging.info("settings were read again from %s", self._path)
        return True

    def _check(self) -> None:
        if _stamp_of(self._path) != self._stamp:
            self.reload()
        self._timer = asyncio.get_running_loop().call_later(CHECK_S, self._check)


def _stamp_of(path: str) -> Stamp:
    """Return what changes with a file's content; zeros while it cannot be read."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0, 0
    return found.st_mtime_ns, found.st_size, found.st_ino


def _ignore() -> None:
    logging.info("SIGHUP is ignored while this process stops")
