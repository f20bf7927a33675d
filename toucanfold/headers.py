"""Header fields: filters for proxied messages, and search for misplaced keys."""

import urllib.parse

from toucanfold import calls, model

# RFC 9110 section 7.6.1, and older fields of the same kind.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Set by this daemon for its target, or meant for the daemon only.
NEVER_TO_TARGET = HOP_BY_HOP | frozenset(
    (
        b"authorization",
        b"expect",
        b"idempotency-key",
        b"toucanfold-account",
        b"toucanfold-attempt",
        b"toucanfold-key",
        b"toucanfold-request-id",
        b"toucanfold-service",
        b"toucanfold-timeout-ms",
        b"toucanfold-token",
    )
)
# Set by the daemon that responds to the caller.
NEVER_TO_CALLER = HOP_BY_HOP | frozenset(
    (
        b"toucanfold-leaving",
        b"toucanfold-max-rate",
        b"toucanfold-not-run",
        b"toucanfold-outcome",
        b"toucanfold-request-id",
        b"toucanfold-token",
    )
)
KEY_PREFIX = b"tfk_"


def find(headers: calls.Headers, name: bytes) -> bytes | None:
    """Return the first value of a field with a lower-case name."""
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def named_by_connection(headers: calls.Headers) -> set[bytes]:
    """Return the lower-case names that Connection fields declare hop-by-hop."""
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            names.update([option.strip().lower() for option in value.split(b",")])
    return names


def has_key(data: bytes) -> bool:
    """Whether the bytes contain text that matches the key pattern."""
    if KEY_PREFIX not in data.lower():
        return False
    return model.KEY_PATTERN.search(data) is not None


def line_has_key(method: str, path: str) -> bool:
    """Whether a request line holds a key, also percent-encoded up to three times."""
    if method[:4].lower() == "tfk_" and has_key(method.encode("latin-1")):
        return True
    data = path.encode("latin-1")
    for _ in range(3):
        if has_key(data):
            return True
        if b"%" not in data:
            return False
        data = urllib.parse.unquote_to_bytes(data)
    return has_key(data)


def for_target(headers: calls.Headers, keep_length: bool) -> calls.Headers:
    """Return a caller's fields without keys, hop-by-hop and daemon fields."""
    connection_fields = named_by_connection(headers)
    kept = [
        item
        for item in headers
        if item[0] not in NEVER_TO_TARGET
        and item[0] not in connection_fields
        and (keep_length or item[0] != b"content-length")
    ]
    if not may_hold_key(kept):
        return kept
    return [item for item in kept if not (has_key(item[1]) or has_key(item[0]))]


def may_hold_key(headers: calls.Headers) -> bool:
    """Whether any name or value contains the prefix of a key."""
    joined = b"\n".join([text for item in headers for text in item])
    return KEY_PREFIX in joined.lower()


def for_caller(headers: calls.Headers) -> calls.Headers:
    """Return a target's fields without hop-by-hop fields and those the daemon sets."""
    connection_fields = named_by_connection(headers)
    return [
        item
        for item in headers
        if item[0] not in NEVER_TO_CALLER and item[0] not in connection_fields
    ]


def keys_in(headers: calls.Headers) -> set[bytes]:
    """Return the distinct texts in names and values that match the key pattern."""
    joined = b"\n".join([text for item in headers for text in item])
    if KEY_PREFIX not in joined.lower():
        return set()
    return set(model.KEY_PATTERN.findall(joined))
