"""Tasks whose first step runs at once instead of in the next loop iteration."""

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import Any

_NO_VALUE = object()


class _Started(Coroutine[Any, Any, None]):
    """A coroutine that has run up to its first wait, for a task to continue."""

    __slots__ = ("_coroutine", "_error", "_first_wait")

    def __init__(self, coroutine: Coroutine[Any, Any, None]):
        self._coroutine = coroutine
        self._first_wait: Any = _NO_VALUE
        self._error: BaseException | None = None

    @property
    def has_finished(self) -> bool:
        """Whether the coroutine returned in its first step."""
        return type(self._error) is StopIteration

    def start(self) -> None:
        """Run the first step and keep the awaitable that it yields."""
        try:
            self._first_wait = self._coroutine.send(None)
        except BaseException as error:
            self._error = error

    def send(self, value: Any) -> Any:
        """Continue, beginning with the first wait."""
        if self._error is not None:
            raise self._error
        if self._first_wait is not _NO_VALUE:
            first_wait, self._first_wait = self._first_wait, _NO_VALUE
            return first_wait
        return self._coroutine.send(value)

    def throw(self, *error: Any) -> Any:
        """Raise inside the coroutine, also before its second step."""
        if self._error is not None:
            raise self._error
        self._first_wait = _NO_VALUE
        return self._coroutine.throw(*error)

    def close(self) -> None:
        """Close the coroutine."""
        self._coroutine.close()

    def __await__(self) -> Any:
        raise TypeError("an eagerly started coroutine can only be run by its task")


def start_eager_task(
    loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, None]
) -> asyncio.Task[None] | None:
    """Create a task and run its first step now, unless called from a task.

    Returns None if the coroutine has already returned.

    The first step of an ordinary task runs in the next iteration of the loop, which
    delays each call by a poll of the sockets.
    """
    if asyncio.current_task(loop) is not None:
        return loop.create_task(coroutine)
    context = contextvars.copy_context()
    started = _Started(coroutine)
    task = loop.create_task(started, context=context)
    asyncio._enter_task(loop, task)  # type: ignore[attr-defined]
    try:
        context.run(started.start)
    finally:
        asyncio._leave_task(loop, task)  # type: ignore[attr-defined]
    return None if started.has_finished else task
