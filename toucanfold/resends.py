"""Recognises callers' resends, which spend from the retry budget of their service."""

import collections
import hashlib

from toucanfold import calls

# A resend that comes later meets another load and counts as a new request.
REFUSAL_RETENTION_S = 60.0
# About 2 MB; beyond it the oldest refusals are forgotten.
MAX_REMEMBERED_KEYS = 10_000
DIGEST_BYTES = 16
_REMEMBERED_KINDS = frozenset(
    (calls.RefusalKind.OVERLOADED, calls.RefusalKind.RETRIES_EXHAUSTED)
)


class Resends:
    """Keyed requests which this entry refused for overload within the last minute."""

    __slots__ = ("_refused_at",)

    def __init__(self) -> None:
        self._refused_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._refused_at)

    def on_answer(self, now: float, call: calls.Call, answer: calls.Answer) -> None:
        """Remember a keyed call that was refused for overload."""
        refusal = answer.refusal
        if refusal is None or refusal.kind not in _REMEMBERED_KINDS:
            return
        if not call.idempotency_key:
            return
        digest = _digest(call)
        self._refused_at[digest] = now
        self._refused_at.move_to_end(digest)
        self._forget(now)

    def is_resend(self, now: float, call: calls.Call, attempt: int) -> bool:
        """Whether the caller says so, or its key was refused for overload."""
        if attempt > 0:
            return True
        if not call.idempotency_key:
            return False
        refused_at = self._refused_at.get(_digest(call))
        return refused_at is not None and now - refused_at < REFUSAL_RETENTION_S

    def _forget(self, now: float) -> None:
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
