"""Normalization of request paths, to detect paths that targets may read differently."""

import re

# A target that normalizes paths reads another path than the one sent if that has dot
# segments, double slashes, backslashes, or percent-encoded dots, slashes, backslashes.
_AMBIGUOUS = re.compile(r"//|/\.|\\|%2e|%2f|%5c", re.IGNORECASE)
_ENCODED = re.compile(r"%(2e|2f|5c)", re.IGNORECASE)


def is_ambiguous(path: str) -> bool:
    """Whether a path (without query) may differ from its normalized path."""
    return _AMBIGUOUS.search(path) is not None


def normal(path: str) -> str:
    """Return the normalized path, as a target that normalizes paths reads it."""
    decoded = _ENCODED.sub(lambda match: chr(int(match[1], 16)), path)
    segments: list[str] = []
    raw_segments = decoded.replace("\\", "/").split("/")
    for segment in raw_segments:
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    is_directory = raw_segments[-1] in ("", ".", "..") and bool(segments)
    return "/" + "/".join(segments) + ("/" if is_directory else "")
