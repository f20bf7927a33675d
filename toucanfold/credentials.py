"""Operators' credentials, read from the admin file and checked in constant time."""

import base64
import binascii
import hashlib
import hmac
import pathlib

from returns import result

from toucanfold import exceptions

MIN_SECRET_CHARS = 16


class Credentials:
    """Operators' names and secrets, kept as digests of equal length."""

    __slots__ = ("_digests",)

    def __init__(self, pairs: dict[str, str]):
        self._digests = {
            name: hashlib.sha256(f"{name}:{secret}".encode()).digest()
            for name, secret in pairs.items()
        }

    def authenticate(self, header: str) -> str | None:
        """Return the operator of an Authorization header (Basic), None if invalid."""
        scheme, _, encoded = header.partition(" ")
        if scheme.lower() != "basic":
            return None
        try:
            decoded = base64.b64decode(encoded.strip(), validate=True)
        except (binascii.Error, ValueError):
            return None
        digest = hashlib.sha256(decoded).digest()
        operator = None
        # All entries are compared, so the time taken does not reveal which matches.
        for name, stored_digest in self._digests.items():
            if hmac.compare_digest(digest, stored_digest):
                operator = name
        return operator


def read(
    path: str,
) -> result.Result[Credentials, exceptions.SettingsError]:
    """Read the admin file: a line ``operator:secret`` for each operator.

    An empty path means that no operator is admitted.
    """
    if not path:
        return result.Success(Credentials({}))

    def failure(message: str, remedy: str) -> result.Failure:
        return result.Failure(
            exceptions.SettingsError(path, "control", "admin_file", message, remedy)
        )

    try:
        lines = pathlib.Path(path).read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return failure(str(error), "create the file with operator:secret lines")
    pairs = {}
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        name, separator, secret = line.strip().partition(":")
        if not separator or not name or len(secret) < MIN_SECRET_CHARS:
            return failure(
                f"line {number} is not a valid operator:secret entry",
                f"use a secret of at least {MIN_SECRET_CHARS} characters",
            )
        pairs[name] = secret
    if not pairs:
        return failure("no operator is listed", "add a line operator:secret")
    return result.Success(Credentials(pairs))
