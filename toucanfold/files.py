"""Files of one data directory, behind an interface that tests can replace."""

import contextlib
import errno
import fcntl
import os
import pathlib
from collections.abc import Iterator
from typing import Protocol

from toucanfold import exceptions

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Files(Protocol):
    """Operations on the files of a directory; all raise StorageError."""

    @property
    def path(self) -> str:
        """The directory's path, for messages."""

    def names(self) -> list[str]:
        """Return the names of all files in alphabetical order."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created when missing."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Return when the file's content is on the disk."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_directory(self) -> None:
        """Return when creations, renames and removals are on the disk."""

    def free_bytes(self) -> int:
        """Return the free space in bytes."""


@contextlib.contextmanager
def _storage_errors(action: str, path: pathlib.Path) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        message = f"cannot {action} {path}: {error.strerror}"
        if error.errno in DISK_FULL_ERRNOS:
            raise exceptions.DiskFullError(
                message, "free space on the disk of the data folder"
            ) from error
        raise exceptions.StorageError(
            message, "check the disk, its mount and the owner of the data directory"
        ) from error


class LocalFiles:
    """The files of a local directory, which one process at a time may use."""

    __slots__ = ("_descriptors", "_directory", "_directory_descriptor")

    def __init__(self, folder: str):
        self._directory = pathlib.Path(folder)
        self._descriptors: dict[str, int] = {}
        with _storage_errors("open", self._directory):
            self._directory.mkdir(parents=True, exist_ok=True)
            self._directory_descriptor = os.open(self._directory, os.O_RDONLY)
        try:
            fcntl.flock(self._directory_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._directory_descriptor)
            raise exceptions.StorageError(
                f"{folder} is in use by another process",
                "stop the other process or use another data directory",
            ) from error

    @property
    def path(self) -> str:
        """The directory's path."""
        return str(self._directory)

    def names(self) -> list[str]:
        """Return the names of all files in alphabetical order."""
        with _storage_errors("list", self._directory):
            return sorted(os.listdir(self._directory))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with _storage_errors("read", self._directory / name):
            return (self._directory / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created when missing."""
        with _storage_errors("write", self._directory / name):
            descriptor = self._open(name)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        with _storage_errors("truncate", self._directory / name):
            os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Return when the file's content is on the disk."""
        with _storage_errors("sync", self._directory / name):
            os.fdatasync(self._open(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""
        self._close(old)
        self._close(new)
        with _storage_errors("rename", self._directory / old):
            os.replace(self._directory / old, self._directory / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        with _storage_errors("remove", self._directory / name):
            os.unlink(self._directory / name)

    def sync_directory(self) -> None:
        """Return when creations, renames and removals are on the disk."""
        with _storage_errors("sync", self._directory):
            os.fsync(self._directory_descriptor)

    def free_bytes(self) -> int:
        """Return the free space in bytes."""
        with _storage_errors("get the free space of", self._directory):
            usage = os.fstatvfs(self._directory_descriptor)
        return usage.f_bavail * usage.f_frsize

    def close(self) -> None:
        """Close all files and release the directory."""
        for name in list(self._descriptors):
            self._close(name)
        os.close(self._directory_descriptor)

    def _open(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            mode = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            descriptor = os.open(self._directory / name, mode, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
