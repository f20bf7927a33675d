"""Detects callers' resends, which take from the retry budget of their service."""

import collections
import hashlib

from toucanfold import calls

# A later resend meets another load and counts as a new request.
REFUSAL_RETENTION_S = 60.0
# About 2 MB; above it the oldest refusals are evicted.
MAX_REMEMBERED_KEYS = 10_000
DIGEST_BYTES = 16
_OVERLOAD_KINDS = frozenset(
    (calls.RefusalKind.OVERLOADED, calls.RefusalKind.RETRIES_EXHAUSTED)
)


class Resends:
    """Keyed requests that this entry refused for overload within the last minute."""

    __slots__ = ("_refused_at",)

    def __init__(self) -> None:
        self._refused_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._refused_at)

    def on_answer(self, now: float, call: calls.Call, answer: calls.Answer) -> None:
        """Record a call with an idempotency key that was refused for overload."""
        refusal = answer.refusal
        if refusal is None or refusal.kind not in _OVERLOAD_KINDS:
            return
        if not call.idempotency_key:
            return
        digest = _digest(call)
        self._refused_at[digest] = now
        self._refused_at.move_to_end(digest)
        self._evict(now)

    def is_resend(self, now: float, call: calls.Call, attempt: int) -> bool:
        """Whether attempt is above 0 or the key was refused within the last minute."""
        if attempt > 0:
            return True
        if not call.idempotency_key:
            return False
        refused_at = self._refused_at.get(_digest(call))
        return refused_at is not None and now - refused_at < REFUSAL_RETENTION_S

    def _evict(self, now: float) -> None:
        while self._refused_at:
            oldest = next(iter(self._refused_at.values()))
            if (
                len(self._refused_at) <= MAX_REMEMBERED_KEYS
                and now - oldest < REFUSAL_RETENTION_S
            ):
                return
            self._refused_at.popitem(last=False)


def _digest(call: calls.Call) -> bytes:
    text = f"{call.account}\0{call.idempotency_key}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
