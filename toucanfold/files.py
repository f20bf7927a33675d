"""Files of one data folder, behind an interface that tests can replace."""

import contextlib
import errno
import fcntl
import os
import pathlib
from collections.abc import Iterator
from typing import Protocol

from toucanfold import exceptions

FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


class Files(Protocol):
    """Operations on the files of a folder; all raise StorageError."""

    @property
    def path(self) -> str:
        """The folder's path, for messages."""

    def names(self) -> list[str]:
        """Return the names of all files in alphabetical order."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created when missing."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""

    def sync(self, name: str) -> None:
        """Return when the file's content is on the disk."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Return when creations, renames and removals are on the disk."""

    def free_bytes(self) -> int:
        """Return the space that is left."""


@contextlib.contextmanager
def _typed_errors(action: str, path: pathlib.Path) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        message = f"cannot {action} {path}: {error.strerror}"
        if error.errno in FULL_ERRORS:
            raise exceptions.DiskFullError(
                message, "free space on the disk of the data folder"
            ) from error
        raise exceptions.StorageError(
            message, "check the disk, its mount and the owner of the data folder"
        ) from error


class LocalFiles:
    """The files of a local folder, which one process at a time may use."""

    __slots__ = ("_descriptors", "_folder", "_folder_descriptor")

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._descriptors: dict[str, int] = {}
        with _typed_errors("open", self._folder):
            self._folder.mkdir(parents=True, exist_ok=True)
            self._folder_descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            fcntl.flock(self._folder_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder_descriptor)
            raise exceptions.StorageError(
                f"{folder} is in use by another process",
                "stop the other process or use another data folder",
            ) from error

    @property
    def path(self) -> str:
        """The folder's path."""
        return str(self._folder)

    def names(self) -> list[str]:
        """Return the names of all files in alphabetical order."""
        with _typed_errors("list", self._folder):
            return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with _typed_errors("read", self._folder / name):
            return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created when missing."""
        with _typed_errors("write", self._folder / name):
            descriptor = self._open(name)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        with _typed_errors("cut", self._folder / name):
            os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Return when the file's content is on the disk."""
        with _typed_errors("sync", self._folder / name):
            os.fdatasync(self._open(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""
        self._close(old)
        self._close(new)
        with _typed_errors("rename", self._folder / old):
            os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        with _typed_errors("remove", self._folder / name):
            os.unlink(self._folder / name)

    def sync_folder(self) -> None:
        """Return when creations, renames and removals are on the disk."""
        with _typed_errors("sync", self._folder):
            os.fsync(self._folder_descriptor)

    def free_bytes(self) -> int:
        """Return the space that is left."""
        with _typed_errors("examine", self._folder):
            usage = os.fstatvfs(self._folder_descriptor)
        return usage.f_bavail * usage.f_frsize

    def close(self) -> None:
        """Release the folder."""
        for name in list(self._descriptors):
            self._close(name)
        os.close(self._folder_descriptor)

    def _open(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            mode = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            descriptor = os.open(self._folder / name, mode, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
