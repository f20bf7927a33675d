"""Requests under which targets ended: evidence, suspicion and quarantine.

A target runs many requests at once, so a crash makes each of them a suspect. Suspects
run one at a time at each target; one that completes is cleared, and the one that was
the only repeated suspect of a further crash is quarantined. All decisions are made
here, without I/O; times are seconds of the caller's clock.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable, Sequence

from toucanfold import calls, headers

DIGEST_BYTES = 16
# A suspect without a further crash is cleared after this time.
SUSPICION_S = 30.0
# A quarantine ends after this time. One more crash in the same time renews it.
QUARANTINE_S = 600.0
# Crashes under one request after which it is quarantined, if it was the only repeated
# suspect of the last one, and in any case.
MIN_CRASHES = 2
MAX_CRASHES = 3
MAX_SUSPECTS = 2048
MAX_QUARANTINED = 256
# Crashes kept to recognize repeated reports of one crash.
MAX_REPORTED_CRASHES = 256
# Marks a suspect whose quarantine has ended.
_FORMER_QUARANTINE = "former quarantine"


def digest_of(call: calls.Call) -> bytes:
    """Return the digest that identifies repetitions of a request.

    The ids, credentials and times of single attempts do not count. The body counts
    unless it is streamed; then its stated length counts.
    """
    host = headers.find(call.headers, b"host") or b""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"request")
    if call.body_stream is None:
        body, body_kind = call.body, b"whole"
    else:
        body = headers.find(call.headers, b"content-length") or b""
        body_kind = b"streamed"
    for part in (
        call.service.encode(),
        call.method.encode(),
        call.path.encode(),
        host,
        body_kind,
    ):
        hasher.update(len(part).to_bytes(4, "big") + part)
    hasher.update(body)
    return hasher.digest()


def rank(name: str, key: str) -> bytes:
    """Return a sort key that orders names differently for each key."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


@dataclasses.dataclass(slots=True)
class _Suspect:
    """The crashes under one request since it last completed."""

    expires_at: float
    crashes: set[str] = dataclasses.field(default_factory=set)


class CrashLedger:
    """What one instance knows of requests under which targets ended."""

    __slots__ = ("_quarantined", "_recorded", "_reported", "_suspects")

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        # Ends of the quarantines, by digest.
        self._quarantined: dict[bytes, float] = {}
        # Digests that the fleet state records as quarantined.
        self._recorded: frozenset[bytes] = frozenset()
        self._reported: collections.OrderedDict[str, None] = collections.OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or quarantined."""
        return not (self._suspects or self._quarantined or self._recorded)

    @property
    def suspected(self) -> int:
        """Number of suspects, including those that have expired."""
        return len(self._suspects)

    @property
    def quarantined(self) -> int:
        """Number of quarantined requests, including those that have expired."""
        return len(self._recorded | self._quarantined.keys())

    def on_crash(self, now: float, crash: str, digests: Sequence[bytes]) -> list[bytes]:
        """Count a crash under all requests that ran; return those now quarantined.

        crash identifies the crash, so that repeated reports of it count once.
        """
        if crash in self._reported:
            return []
        _remember(self._reported, crash, MAX_REPORTED_CRASHES)
        if any(self.is_quarantined(now, digest) for digest in digests):
            # The quarantined request is the cause, so the others are cleared.
            self._forget_crashes({crash})
            return []
        self.on_crash_under(now, crash, digests)
        counts = {digest: self.crashes_of(now, digest) for digest in digests}
        repeated = [digest for digest, count in counts.items() if count >= MIN_CRASHES]
        causes = [
            digest
            for digest in repeated
            if counts[digest] >= MAX_CRASHES
            or (len(repeated) == 1 and self._knows_others_of(now, digest))
        ]
        return [digest for digest in causes if self._quarantine(now, digest)]

    def _knows_others_of(self, now: float, digest: bytes) -> bool:
        """Whether all requests are known that ran in the crashes under this one.

        Otherwise another request may have repeated as well.
        """
        return all(
            crash in self._reported or crash == _FORMER_QUARANTINE
            for crash in self.crash_ids(now, digest)
        )

    def on_crash_under(self, now: float, crash: str, digests: Iterable[bytes]) -> None:
        """Count a crash under some of the requests that ran, as suspects only."""
        for digest in digests:
            if self.is_quarantined(now, digest):
                continue
            suspect = self._suspects.get(digest)
            if suspect is None or suspect.expires_at <= now:
                suspect = self._suspects[digest] = _Suspect(0.0)
            suspect.crashes.add(crash)
            suspect.expires_at = max(suspect.expires_at, now + SUSPICION_S)
            self._suspects.move_to_end(digest)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def on_completed(self, digest: bytes) -> bool:
        """Clear a request that a target has answered; return if it was a suspect."""
        return self._suspects.pop(digest, None) is not None

    def expire(self, now: float) -> None:
        """Remove suspects and quarantines whose time has passed."""
        for digest in list(self._suspects):
            self.crash_ids(now, digest)
        for digest in list(self._quarantined):
            self.is_quarantined(now, digest)

    def crashes_of(self, now: float, digest: bytes) -> int:
        """Return the number of crashes under a request, 0 if it is no suspect."""
        return len(self.crash_ids(now, digest))

    def crash_ids(self, now: float, digest: bytes) -> list[str]:
        """Return the crashes under a request, none if it is no suspect."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return []
        if suspect.expires_at <= now:
            del self._suspects[digest]
            return []
        return sorted(suspect.crashes)

    def is_quarantined(self, now: float, digest: bytes) -> bool:
        """Whether a request must not be sent to a target."""
        if digest in self._recorded:
            return True
        ends_at = self._quarantined.get(digest)
        if ends_at is None:
            return False
        if ends_at <= now:
            self._release(now, digest)
            return False
        return True

    def retry_after_s(self, now: float, digest: bytes) -> float:
        """Return the seconds after which a quarantine is expected to have ended."""
        return max(0.0, self._quarantined.get(digest, now + QUARANTINE_S) - now)

    def on_recorded(self, now: float, digests: Iterable[bytes]) -> None:
        """Apply the quarantines of a new fleet state.

        One that is no longer recorded was lifted by an operator or has ended.
        """
        recorded = frozenset(digests)
        for digest in recorded - self._recorded:
            self._quarantined.setdefault(digest, now + QUARANTINE_S)
            self._suspects.pop(digest, None)
        for digest in self._recorded - recorded:
            self._release(now, digest)
        self._recorded = recorded

    def unrecorded(self, now: float) -> list[bytes]:
        """Return the quarantined requests that the fleet state does not record yet."""
        return [
            digest
            for digest in list(self._quarantined)
            if digest not in self._recorded and self.is_quarantined(now, digest)
        ]

    def _quarantine(self, now: float, digest: bytes) -> bool:
        if self.is_quarantined(now, digest):
            return False
        self._forget_crashes(set(self.crash_ids(now, digest)))
        while len(self._quarantined) >= MAX_QUARANTINED:
            del self._quarantined[next(iter(self._quarantined))]
        self._quarantined[digest] = now + QUARANTINE_S
        return True

    def _forget_crashes(self, explained: set[str]) -> None:
        """Clear the requests that only ran in explained crashes."""
        for digest, suspect in list(self._suspects.items()):
            suspect.crashes -= explained
            if not suspect.crashes:
                del self._suspects[digest]

    def _release(self, now: float, digest: bytes) -> None:
        """End a quarantine; one more crash in the next QUARANTINE_S renews it."""
        self._quarantined.pop(digest, None)
        suspect = _Suspect(now + QUARANTINE_S, {_FORMER_QUARANTINE})
        self._suspects[digest] = suspect


def _remember(
    seen: collections.OrderedDict[str, None], key: str, max_length: int
) -> None:
    seen[key] = None
    while len(seen) > max_length:
        seen.popitem(last=False)
