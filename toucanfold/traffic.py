"""Counts the frames that a process sends, by message and by distance."""

from typing import Any

SCOPES = ("data_centre", "region", "other_region", "unknown")


def scope_of(own: tuple[str, str], peer: tuple[str, str]) -> str:
    """Return how far a peer is; both locations are (region, data centre)."""
    if not own[0] or not peer[0]:
        return "unknown"
    if own[0] != peer[0]:
        return "other_region"
    return "data_centre" if own[1] == peer[1] else "region"


class TrafficCounter:
    """Messages and bytes sent since the start of the process."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        # Numbers of messages and bytes, by name of the message and scope.
        self._sent: dict[tuple[str, str], list[int]] = {}

    def on_sent(self, message: str, scope: str, size: int) -> None:
        """Count a message of size bytes."""
        counts = self._sent.get((message, scope))
        if counts is None:
            counts = self._sent[message, scope] = [0, 0]
        counts[0] += 1
        counts[1] += size

    def sent_bytes(self, scope: str) -> int:
        """Return the bytes sent to peers at one distance."""
        return sum(counts[1] for key, counts in self._sent.items() if key[1] == scope)

    def dump(self) -> list[dict[str, Any]]:
        """Return the counts, those with most bytes first."""
        ordered = sorted(self._sent.items(), key=lambda item: -item[1][1])
        return [
            {"message": message, "scope": scope, "messages": number, "bytes": size}
            for (message, scope), (number, size) in ordered
        ]
