"""Daemon's side of the watch: one link to the nearest instance that works."""

import asyncio
import hashlib
import random
import secrets
import ssl
import time
from collections.abc import Callable
from typing import Any, Protocol

from absl import logging

from toucanfold import link, messages, model, watchstate

PING_S = 0.5
# Part by which the interval varies, so that daemons which were answered together after
# a stall do not stay in step.
PING_SPREAD = 0.1
# An applied change is confirmed at once, but not more often than this.
MIN_PING_S = 0.1
# How often the holder is asked whether it has shares to give back; a call that waits
# for a grant uses ping_soon.
POLL_S = 0.1
PONG_TIMEOUT_S = 0.9
# Part by which the limit grows with each move without an answer, up to MAX_SILENCES:
# while no instance has a leader, reconnecting daemons must not add to its load.
SILENCE_GROWTH = 0.5
MAX_SILENCES = 4
# Pause before another round after all instances failed.
RETRY_S = 0.2
# Two instances that do not answer must not use up the 3 s of freshness.
CONNECT_S = 0.7
# An instance that failed is tried again only after the others, or after this time.
ADDRESS_BACKOFF_S = 5.0
# Time after which a daemon goes back from a farther instance to the nearest one. What
# it says until then is paid for as bytes between regions.
FAILBACK_DELAY_S = 10.0
ANNOUNCE_LIMIT_S = 3.0

Callback = Callable[[model.FleetState], None]


class ShareHolder(Protocol):
    """What the watch needs of limits.ShareHolder."""

    # The newest term whose grants were taken.
    raft_term: int

    def needs_early_ping(self, now: float) -> bool:
        """Whether a ping before the regular one would help."""

    def demands(self, now: float) -> list[messages.Demand]:
        """Return what the daemon would spend."""

    def report_shares(self, now: float) -> list[messages.Share]:
        """Return the shares that are held."""

    def on_grants(
        self, now: float, sent_at: float, raft_term: int, shares: list[messages.Share]
    ) -> None:
        """Take grants that answer the ping sent at sent_at."""

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Take a new fleet state."""


def new_incarnation() -> int:
    """Return a 64-bit incarnation that rises with each start of a daemon.

    The upper 42 bits are milliseconds since 1970 and the others are random, so a
    daemon needs no disk to tell its starts apart.
    """
    return (time.time_ns() // 1_000_000 << 22) | secrets.randbits(22)


class WatchClient:
    """Task that keeps the fleet state; use ``state``, ``is_fresh`` and ``subscribe``.

    Callbacks get each new state, from the event loop and without awaiting.
    """

    def __init__(
        self,
        identity: link.Identity,
        addresses: list[str],
        announcement: messages.Announcement,
        holder: ShareHolder | None = None,
        tls: ssl.SSLContext | None = None,
    ):
        self._identity = identity
        self._addresses = addresses
        # The addresses of the settings; instances told by control go before them.
        self._seeds = list(addresses)
        self._must_return = False
        self._announcement = announcement
        self._holder = holder
        self._tls = tls
        # Returns the slots of which this daemon holds a whole copy.
        self.complete_copies: Callable[[], list[messages.SlotMark]] = list
        self._known = watchstate.WatchState()
        self.state = self._known.state
        self._callbacks: list[Callback] = []
        self._link: link.Link | None = None
        self._address = ""
        self._avoid: dict[str, float] = {}
        self._answered_at = 0.0
        self._wake = asyncio.Event()
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._moves = 0
        self._silences = 0
        self._returning: asyncio.Task[None] | None = None

    def is_fresh(self, now: float) -> bool:
        """Whether callers' requests may be accepted (now is the loop's time)."""
        return self._known.is_fresh(now)

    def subscribe(self, callback: Callback) -> None:
        """Call back with each new state."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def ping_soon(self) -> None:
        """Send the next ping now if the holder of shares needs an answer."""
        now = asyncio.get_running_loop().time()
        if self._holder is not None and self._holder.needs_early_ping(now):
            self._wake.set()

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Take other addresses from changed settings, behind the instances known."""
        known = [item for item in self._addresses if item not in self._seeds]
        self._seeds = list(addresses)
        self._addresses = known + [item for item in addresses if item not in known]

    def announce_as(self, is_ready: bool) -> None:
        """Set how the target is announced first; before start."""
        self._announcement.state = "up" if is_ready else "waiting"

    async def set_ready(self, is_ready: bool) -> None:
        """Announce whether the target takes calls; does not wait for control."""
        if self._announcement.state in ("up", "waiting"):
            self._announcement.state = "up" if is_ready else "waiting"
            self._wake.set()

    async def drain(self) -> None:
        """Announce draining; return when control has it or after 3 s."""
        await self._announce("draining", ("draining", "left"))

    async def leave(self, timeout_s: float = ANNOUNCE_LIMIT_S) -> None:
        """Announce that this incarnation ends, then stop the watch."""
        await self._announce("left", ("left",), min(timeout_s, ANNOUNCE_LIMIT_S))
        await self.stop()

    async def stop(self) -> None:
        """Stop the watch without announcing anything."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        if self._returning is not None:
            self._returning.cancel()
        if self._link is not None:
            self._link.close("the watch stops")

    def dump(self, now: float) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {
            "control": self._address,
            "revision": self._known.revision,
            "raft_term": self._known.raft_term,
            "fresh_seconds": round(self._known.fresh_seconds(now), 3),
            "moves": self._moves,
            "announced": self._announcement.state,
        }

    def on_open(self, opened: link.Link) -> None:
        """Handle the authenticated link."""

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Apply a pong of the present link."""
        if source is not self._link or not isinstance(message, messages.WatchPong):
            return
        now = asyncio.get_running_loop().time()
        if self._known.is_behind(message):
            self._leave_instance("it is behind this daemon's revision")
            return
        before = self._known.revision
        sent_at = self._known.on_pong(now, message)
        if self._known.revision != before:
            self._publish(now)
            # Confirm the revision, or ask for the rest if it did not fit into a pong.
            self._wake.set()
        if message.instances:
            self._learn(message.instances)
        if sent_at is not None:
            self._answered_at = now
            self._silences = 0
            if self._holder is not None:
                self._holder.on_grants(now, sent_at, message.raft_term, message.shares)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Wake the task to open another link."""
        if closed is self._link:
            self._wake.set()

    def _learn(self, instances: list[messages.Instance]) -> None:
        """Take the present members of control as addresses, nearest first."""
        own = self._identity

        def distance(instance: messages.Instance) -> tuple[bool, bool, bytes]:
            text = f"{own.name} {instance.address}".encode()
            return (
                instance.data_centre != own.data_centre,
                instance.region != own.region,
                hashlib.blake2b(text, digest_size=8).digest(),
            )

        known = [item.address for item in sorted(instances, key=distance)]
        others = [address for address in self._seeds if address not in known]
        # A first move to the nearest instance need not wait for the usual time.
        self._must_return = self._addresses == self._seeds
        self._addresses = known + others

    def _publish(self, now: float) -> None:
        self.state = self._known.state
        if self._holder is not None:
            self._holder.on_state(now, self.state)
        for callback in self._callbacks:
            callback(self.state)
        self._changed.set()

    async def _announce(
        self,
        state: str,
        reached: tuple[str, ...],
        timeout_s: float = ANNOUNCE_LIMIT_S,
    ) -> None:
        self._announcement.state = state
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_announced(reached):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            logging.warning("control did not confirm the state %s in time", state)

    def _is_announced(self, reached: tuple[str, ...]) -> bool:
        target = self.state.targets.get(self._announcement.name)
        if target is None or target.incarnation != self._announcement.incarnation:
            return False
        return target.state in reached

    async def _run(self) -> None:
        while True:
            try:
                if await self._connect():
                    await self._converse()
                else:
                    await asyncio.sleep(RETRY_S)
            except Exception:
                # The daemon must not stay stale for ever because of one fault.
                logging.exception("the watch failed")
                await asyncio.sleep(RETRY_S)
            if self._link is not None:
                self._link.close("moving to another control instance")
                self._link = None

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        now = loop.time()
        order = sorted(
            self._addresses, key=lambda item: self._avoid.get(item, 0.0) > now
        )
        for address in order:
            opened = await self._open(address)
            if opened is not None:
                self._use(opened, address)
                return True
            self._avoid[address] = loop.time() + ADDRESS_BACKOFF_S
        return False

    async def _open(self, address: str) -> link.Link | None:
        connecting = asyncio.ensure_future(
            link.connect(address, self._identity, self, self._tls)
        )
        done, _ = await asyncio.wait({connecting}, timeout=CONNECT_S)
        if not done:
            connecting.add_done_callback(_close_late)
            return None
        return connecting.result().value_or(None)

    def _use(self, opened: link.Link, address: str) -> None:
        if address != self._address:
            logging.info("watching control at %s", address)
            self._moves += 1
        self._link, self._address = opened, address
        self._known.on_link()

    async def _converse(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = self._answered_at = loop.time()
        while self._link is not None and self._link.is_open:
            now = loop.time()
            timeout_s = self._silence_limit_s()
            if now - self._answered_at > timeout_s:
                self._silences += 1
                self._leave_instance(f"no confirmed answer for {timeout_s} s")
                return
            if self._should_return(now, started_at):
                self._returning = loop.create_task(self._return())
            self._ping(now)
            await asyncio.sleep(MIN_PING_S)
            await self._pause()
        if self._link is not None:
            self._avoid[self._address] = loop.time() + ADDRESS_BACKOFF_S

    def _silence_limit_s(self) -> float:
        silences = min(self._silences, MAX_SILENCES)
        return PONG_TIMEOUT_S * (1 + SILENCE_GROWTH * silences)

    def _should_return(self, now: float, started_at: float) -> bool:
        nearest = self._addresses[0]
        if self._address == nearest:
            return False
        if now - started_at < FAILBACK_DELAY_S and not self._must_return:
            return False
        if self._returning is not None or self._avoid.get(nearest, 0.0) > now:
            return False
        self._must_return = False
        return True

    async def _return(self) -> None:
        """Move to the nearest instance once its link is open."""
        nearest, left = self._addresses[0], self._link
        opened = await self._open(nearest)
        if opened is None:
            self._avoid[nearest] = asyncio.get_running_loop().time() + FAILBACK_DELAY_S
        elif left is self._link and left is not None:
            self._use(opened, nearest)
            left.close("moving to the nearest control instance")
        else:
            opened.close("another control instance was chosen")
        self._returning = None
        self._wake.set()

    def _leave_instance(self, reason: str) -> None:
        loop = asyncio.get_running_loop()
        logging.warning("leaving control at %s: %s", self._address, reason)
        self._avoid[self._address] = loop.time() + ADDRESS_BACKOFF_S
        if self._link is not None:
            self._link.close(reason)
            self._link = None
        self._wake.set()

    async def _pause(self) -> None:
        """Wait until the next ping, a wake-up or the end of the silence limit."""
        loop = asyncio.get_running_loop()
        interval_s = PING_S * (1 - PING_SPREAD * random.random())
        end = loop.time() + interval_s - MIN_PING_S
        end = min(end, self._answered_at + self._silence_limit_s() + 0.001)
        while (now := loop.time()) < end and not self._wants_ping(now):
            step_s = end - now if self._holder is None else min(POLL_S, end - now)
            try:
                async with asyncio.timeout(step_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()

    def _wants_ping(self, now: float) -> bool:
        if self._wake.is_set():
            return True
        return self._holder is not None and self._holder.needs_early_ping(now)

    def _ping(self, now: float) -> None:
        ping = messages.WatchPing(
            sequence=self._known.on_send(now),
            applied_revision=self._known.revision,
            announcement=self._announcement,
            raft_term=self._known.raft_term,
            complete=self.complete_copies(),
        )
        if self._holder is not None:
            ping.raft_term = self._holder.raft_term
            ping.demands = self._holder.demands(now)
            ping.shares = self._holder.report_shares(now)
        if self._link is not None:
            self._link.send(ping)


def _close_late(connecting: "asyncio.Future[Any]") -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        opened = connecting.result().value_or(None)
        if opened is not None:
            opened.close("the link opened too late")
