"""Normal form of request paths, to find paths that targets may read otherwise."""

import re

# What makes a target that normalises paths read another path than the one sent: dot
# segments, doubled slashes, backslashes, and these characters percent-encoded.
_AMBIGUOUS = re.compile(r"//|/\.|\\|%2e|%2f|%5c", re.IGNORECASE)
_ENCODED = re.compile(r"%(2e|2f|5c)", re.IGNORECASE)


def is_ambiguous(path: str) -> bool:
    """Whether a path without query may have another normal form."""
    return _AMBIGUOUS.search(path) is not None


def normal(path: str) -> str:
    """Return the path as a target that normalises it reads it."""
    plain = _ENCODED.sub(lambda found: chr(int(found[1], 16)), path)
    segments: list[str] = []
    parts = plain.replace("\\", "/").split("/")
    for part in parts:
        if part == "..":
            del segments[-1:]
        elif part not in ("", "."):
            segments.append(part)
    is_folder = parts[-1] in ("", ".", "..") and bool(segments)
    return "/" + "/".join(segments) + ("/" if is_folder else "")
