"""Takes tokens of client accounts at the share holders of other daemons."""

import asyncio
import itertools
from typing import Protocol

from absl import logging

from toucanfold import (
    eagertask,
    holderselection,
    interfaces,
    link,
    messages,
    metrics,
    model,
    ratelimiter,
)

# Time in which a reply arrives after the holder has decided, also across regions.
REPLY_GRACE_S = 0.1
# A holder that did not reply is not asked again for this time.
SUSPICION_S = 1.0


class Links(Protocol):
    """The links to other daemons; implemented by peers.Peers."""

    async def link_to(self, target: model.Target) -> link.Link | None:
        """Return an open link to a daemon, None if there is none."""


class DelegatingRateLimiter:
    """Takes an account's tokens at its holder, and serves those of other daemons.

    An entry whose candidates do not reply takes tokens at its own holder. A token whose
    reply is lost is lost too, so an account never gets more than its holders hold.
    """

    __slots__ = (
        "_ids",
        "_last_replies",
        "_links",
        "_local",
        "_loop",
        "_metrics",
        "_pending",
        "_selector",
        "_suspected_until",
        "_tasks",
    )

    def __init__(
        self,
        local: interfaces.RateLimiter,
        selector: holderselection.HolderSelector,
        links: Links,
        measured: metrics.Metrics,
    ):
        self._local = local
        self._selector = selector
        self._links = links
        self._metrics = measured
        self._loop = asyncio.get_running_loop()
        self._ids = itertools.count(1)
        self._pending: dict[
            int, tuple[link.Link, asyncio.Future[messages.TokenReply | None]]
        ] = {}
        # Times until which holders that did not reply are skipped, by name.
        self._suspected_until: dict[str, float] = {}
        # What holders said of their shares when they last refused a token, by account.
        self._last_replies: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def describe(self, account: str) -> str:
        """Return the state of the share that last refused a token, for a log line."""
        return self._last_replies.get(account) or self._local.describe(account)

    async def acquire(self, account: str, remaining_s: float) -> float:
        """Return 0 if a token was acquired, else the least time until one (s)."""
        deadline = self._loop.time() + remaining_s
        for target in self._selector.candidates(account):
            reply = await self._ask(target, account, deadline)
            if reply is None:
                continue
            if reply.taken:
                return 0.0
            self._last_replies[account] = f"held by {target.name}: {reply.share}"
            return max(ratelimiter.MIN_RETRY_DELAY_S, reply.retry_after_ms / 1000)
        self._last_replies.pop(account, None)
        return await self._local.acquire(account, deadline - self._loop.time())

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Handle a request or a reply of another daemon."""
        if isinstance(message, messages.TokenRequest):
            task = eagertask.start_eager_task(self._loop, self._serve(source, message))
            if task is not None:
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        elif isinstance(message, messages.TokenReply):
            _, waiting = self._pending.get(message.id, (None, None))
            if waiting is not None and not waiting.done():
                waiting.set_result(message)

    def on_close(self, closed: link.Link) -> None:
        """Continue the calls that wait for a reply over a lost link."""
        for opened, waiting in self._pending.values():
            if opened is closed and not waiting.done():
                waiting.set_result(None)

    async def _ask(
        self, target: model.Target, account: str, deadline: float
    ) -> messages.TokenReply | None:
        """Return a holder's reply, None if it does not reply in time."""
        now = self._loop.time()
        if self._suspected_until.get(target.name, now) > now:
            return None
        timeout_s = ratelimiter.max_wait_s(deadline - now) + REPLY_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._exchange(target, account, deadline)
        except TimeoutError:
            reply = None
        if reply is None:
            self._suspect(target.name)
        return reply

    async def _exchange(
        self, target: model.Target, account: str, deadline: float
    ) -> messages.TokenReply | None:
        opened = await self._links.link_to(target)
        if opened is None:
            return None
        request_id = next(self._ids)
        remaining_ms = max(0, int((deadline - self._loop.time()) * 1000))
        if not opened.send(messages.TokenRequest(request_id, account, remaining_ms)):
            return None
        waiting: asyncio.Future[messages.TokenReply | None]
        waiting = self._loop.create_future()
        self._pending[request_id] = opened, waiting
        try:
            return await waiting
        finally:
            del self._pending[request_id]

    async def _serve(self, source: link.Link, request: messages.TokenRequest) -> None:
        """Take a token at this daemon's holder and reply."""
        retry_after_s = await self._local.acquire(
            request.account, request.remaining_ms / 1000
        )
        self._metrics.count("tokens.served")
        reply = messages.TokenReply(request.id, taken=retry_after_s == 0)
        if not reply.taken:
            reply.retry_after_ms = max(1, int(retry_after_s * 1000))
            reply.share = self._local.describe(request.account)
        source.send(reply)

    def _suspect(self, name: str) -> None:
        now = self._loop.time()
        self._metrics.count("tokens.no_reply")
        logging.warning(
            "%s did not reply to a request for a token; not asked for %.1f s",
            name,
            SUSPICION_S,
        )
        self._suspected_until = {
            key: until for key, until in self._suspected_until.items() if until > now
        }
        self._suspected_until[name] = now + SUSPICION_S
