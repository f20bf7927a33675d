"""Daemon's side of the watch: one link to the nearest working control instance."""

import asyncio
import dataclasses
import hashlib
import operator
import random
import secrets
import ssl
import time
from collections.abc import Callable
from typing import Any, Protocol

from absl import logging

from toucanfold import link, messages, model, watchstate

PING_INTERVAL_S = 0.5
# Largest fraction by which the interval is randomly shortened, so that daemons which
# were answered together after a stall do not keep pinging at the same time.
PING_JITTER_FRACTION = 0.1
# An applied change is confirmed at once, but pings are at least this far apart.
MIN_PING_INTERVAL_S = 0.1
# How often the holder is asked whether it has shares to return. A call that waits for a
# grant uses ping_soon instead.
HOLDER_POLL_INTERVAL_S = 0.1
# For this time after a change of the target's status, pings follow each other without a
# pause until control has recorded it: a target waits for that.
HURRY_S = 1.0
PONG_TIMEOUT_S = 0.9
# Fraction by which the timeout grows with each failover without a confirmed pong, up to
# MAX_COUNTED_PONG_TIMEOUTS times: while no instance has a leader, reconnecting daemons
# must not add to its load.
PONG_TIMEOUT_GROWTH_FRACTION = 0.5
MAX_COUNTED_PONG_TIMEOUTS = 4
# Delay before the next round after all instances failed.
RETRY_DELAY_S = 0.2
# Two instances that do not answer must not use up the 3 s of freshness, hence 0.7 s.
CONNECT_TIMEOUT_S = 0.7
# A daemon that starts opens links to all seeds and uses the nearest that is open after
# this time.
SEED_COMPARISON_S = 0.2
# For this time a failed instance is tried only after the others.
ADDRESS_BACKOFF_S = 5.0
# Time after which a daemon fails back from a farther instance to the nearest one. Its
# traffic until then is billed as traffic between regions.
FAILBACK_DELAY_S = 10.0
ANNOUNCE_TIMEOUT_S = 3.0

_values_of = operator.attrgetter(
    *(field.name for field in dataclasses.fields(messages.Announcement))
)

Callback = Callable[[model.FleetState], None]


class ShareHolder(Protocol):
    """Interface of limits.ShareHolder that the watch uses."""

    # The newest Raft term whose grants were accepted.
    raft_term: int

    def needs_early_ping(self, now: float) -> bool:
        """Whether a ping before the regular one would help."""

    def demands(self, now: float) -> list[messages.Demand]:
        """Return the token demand of the daemon, per account."""

    def report_shares(self, now: float) -> list[messages.Share]:
        """Return the shares that this daemon holds."""

    def on_grants(
        self, now: float, sent_at: float, raft_term: int, shares: list[messages.Share]
    ) -> None:
        """Apply the grants that answer the ping sent at sent_at (loop time)."""

    def on_state(self, now: float, state: model.FleetState) -> None:
        """Apply a new fleet state."""


def new_incarnation() -> int:
    """Return a 64-bit incarnation that increases with each start of a daemon.

    The upper 42 bits are milliseconds since 1970 and the lower 22 are random, so a
    daemon needs no disk to distinguish its starts.
    """
    return (time.time_ns() // 1_000_000 << 22) | secrets.randbits(22)


class WatchClient:
    """Keeps the fleet state current; use ``state``, ``is_fresh`` and ``subscribe``.

    Callbacks receive each new state and run synchronously in the event loop.
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
        # The addresses of the settings; instances reported by control precede them.
        self._seeds = list(addresses)
        self._may_fail_back_early = False
        # Addresses of the members of control, nearest first.
        self._reported_instances: list[str] = []
        self._announcement = announcement
        self._is_withheld = False
        self._hurried_until = float("-inf")
        self._holder = holder
        self._tls = tls
        # Returns the slots of which this daemon holds a complete copy.
        self.complete_copies: Callable[[], list[messages.SlotMark]] = list
        # Returns the quarantined requests that control does not know yet.
        self.quarantined: Callable[[], list[bytes]] = list
        self._watch_state = watchstate.WatchState()
        self._has_been_fresh = False
        self.state = self._watch_state.state
        self._callbacks: list[Callback] = []
        self._link: link.Link | None = None
        self._address = ""
        self._backoff_until: dict[str, float] = {}
        self._confirmed_at = 0.0
        self._wake = asyncio.Event()
        self._state_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._moves = 0
        self._pong_timeouts = 0
        self._failback_task: asyncio.Task[None] | None = None

    def is_fresh(self, now: float) -> bool:
        """Whether callers' requests may be accepted (now is the loop's time)."""
        return self._watch_state.is_fresh(now)

    def subscribe(self, callback: Callback) -> None:
        """Call the callback with each new state."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Start the watch task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def wake(self) -> None:
        """Send the next ping soon."""
        self._wake.set()

    def ping_soon(self) -> None:
        """Send the next ping now if the share holder needs an early one."""
        now = asyncio.get_running_loop().time()
        if self._holder is not None and self._holder.needs_early_ping(now):
            self._wake.set()

    def set_control_addresses(self, addresses: list[str]) -> None:
        """Use addresses of changed settings, after instances reported by control."""
        self._seeds = list(addresses)
        self._order_addresses()

    def withhold_announcement(self) -> None:
        """Announce nothing until set_ready is called; to be called before start."""
        self._is_withheld = True

    def set_ready(
        self, is_ready: bool, target_instance: str = "", departed: str = ""
    ) -> None:
        """Announce the target's status, without waiting for control.

        target_instance and departed are labels of targetstatus.TargetStatus.
        """
        self._is_withheld = False
        self._announcement.target_instance = target_instance
        self._announcement.departed = departed
        if self._announcement.state in ("up", "waiting"):
            self._announcement.state = "up" if is_ready else "waiting"
        self._hurried_until = asyncio.get_running_loop().time() + HURRY_S
        self._wake.set()

    def set_service(self, service: str, configured_service: str = "") -> None:
        """Announce the target's service, and that of the settings if it differs."""
        self._announcement.service = service
        self._announcement.configured_service = configured_service
        self._wake.set()

    async def drain(self) -> None:
        """Announce draining; return when control has recorded it, or after 3 s."""
        await self._announce("draining", ("draining", "left"))

    async def leave(self, timeout_s: float = ANNOUNCE_TIMEOUT_S) -> None:
        """Announce that this incarnation terminates, then stop the watch."""
        await self._announce("left", ("left",), min(timeout_s, ANNOUNCE_TIMEOUT_S))
        await self.stop()

    async def stop(self) -> None:
        """Stop the watch without an announcement."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        if self._failback_task is not None:
            self._failback_task.cancel()
        if self._link is not None:
            self._link.close("the watch stops")

    def dump(self, now: float) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {
            "control": self._address,
            "revision": self._watch_state.revision,
            "raft_term": self._watch_state.raft_term,
            "fresh_seconds": round(self._watch_state.fresh_seconds(now), 3),
            "moves": self._moves,
            "announced": self._announcement.state,
        }

    def on_open(self, opened: link.Link) -> None:
        """Do nothing: _use_link adopts the link once connect has returned it."""

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Apply a pong of the current link."""
        if source is not self._link or not isinstance(message, messages.WatchPong):
            return
        now = asyncio.get_running_loop().time()
        if self._watch_state.is_behind(message):
            self._fail_over("it is behind this daemon's revision")
            return
        before = self._watch_state.revision
        sent_at = self._watch_state.on_pong(now, message)
        is_first = sent_at is not None and not self._has_been_fresh
        if self._watch_state.revision != before or is_first:
            self._has_been_fresh = self._has_been_fresh or is_first
            self._publish_state(now)
            # Confirm the revision, or request deltas that did not fit into the pong.
            self._wake.set()
        if message.instances:
            self._update_addresses(message.instances)
        if sent_at is not None:
            self._confirmed_at = now
            self._pong_timeouts = 0
            if self._holder is not None:
                self._holder.on_grants(now, sent_at, message.raft_term, message.shares)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Wake the task to open another link."""
        if closed is self._link:
            self._wake.set()

    def _update_addresses(self, instances: list[messages.Instance]) -> None:
        """Use the current members of control as addresses, nearest first."""
        own = self._identity

        def distance(instance: messages.Instance) -> tuple[tuple[bool, bool], bytes]:
            text = f"{own.name} {instance.address}".encode()
            digest = hashlib.blake2b(text, digest_size=8).digest()
            return self._distance(instance.region, instance.data_centre), digest

        reported = [item.address for item in sorted(instances, key=distance)]
        # The first failback to an instance does not wait for FAILBACK_DELAY_S, also if
        # the instance has joined control after this daemon started.
        if reported[0] not in self._reported_instances:
            self._may_fail_back_early = True
        self._reported_instances = reported
        self._order_addresses()

    def _order_addresses(self) -> None:
        reported = self._reported_instances
        self._addresses = reported + [
            address for address in self._seeds if address not in reported
        ]

    def _distance(self, region: str, data_centre: str) -> tuple[bool, bool]:
        own = self._identity
        return data_centre != own.data_centre, region != own.region

    def _publish_state(self, now: float) -> None:
        self.state = self._watch_state.state
        if self._holder is not None:
            self._holder.on_state(now, self.state)
        for callback in self._callbacks:
            callback(self.state)
        self._state_changed.set()

    async def _announce(
        self,
        state: str,
        accepted_states: tuple[str, ...],
        timeout_s: float = ANNOUNCE_TIMEOUT_S,
    ) -> None:
        if self._is_withheld:
            return
        self._announcement.state = state
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_announced(accepted_states):
                    self._state_changed.clear()
                    await self._state_changed.wait()
        except TimeoutError:
            logging.warning(
                "control did not confirm state %s of this target in time", state
            )

    def _is_announced(self, accepted_states: tuple[str, ...]) -> bool:
        target = self.state.targets.get(self._announcement.name)
        if target is None or target.incarnation != self._announcement.incarnation:
            return False
        return target.state in accepted_states

    async def _run(self) -> None:
        while True:
            try:
                if await self._connect():
                    await self._ping_until_disconnected()
                else:
                    await asyncio.sleep(RETRY_DELAY_S)
            except Exception:
                # One unexpected error must not leave the daemon stale for ever.
                logging.exception("the watch failed; reconnecting to control")
                await asyncio.sleep(RETRY_DELAY_S)
            if self._link is not None:
                self._link.close("failing over to another control instance")
                self._link = None

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self._address and await self._open_nearest_seed():
            return True
        order = sorted(
            self._addresses, key=lambda item: self._backoff_until.get(item, 0.0) > now
        )
        for address in order:
            opened = await self._open_link(address)
            if opened is not None:
                self._use_link(opened, address)
                return True
            self._backoff_until[address] = loop.time() + ADDRESS_BACKOFF_S
        return False

    async def _open_nearest_seed(self) -> bool:
        """Use the nearest of the seeds; False if none answers at once."""
        opening = {
            asyncio.ensure_future(self._open_link(address)): address
            for address in self._addresses
        }
        done, late = await asyncio.wait(opening, timeout=SEED_COMPARISON_S)
        for task in late:
            task.add_done_callback(_close_unneeded_link)
        links = [
            (self._distance(opened.peer.region, opened.peer.data_centre), address)
            for task, address in opening.items()
            if task in done
            and (opened := task.result()) is not None
            and opened.peer is not None
        ]
        if not links:
            return False
        _, nearest = min(links, key=lambda item: item[0])
        for task in done:
            if opening[task] != nearest:
                _close_unneeded_link(task)
            elif (opened := task.result()) is not None:
                self._use_link(opened, nearest)
        return True

    async def _open_link(self, address: str) -> link.Link | None:
        connecting = asyncio.ensure_future(
            link.connect(address, self._identity, self, self._tls)
        )
        done, _ = await asyncio.wait({connecting}, timeout=CONNECT_TIMEOUT_S)
        if not done:
            connecting.add_done_callback(_close_unused_link)
            return None
        return connecting.result().value_or(None)

    def _use_link(self, opened: link.Link, address: str) -> None:
        if address != self._address:
            logging.info("watching the control instance at %s", address)
            self._moves += 1
        self._link, self._address = opened, address
        self._watch_state.on_link_opened()

    async def _ping_until_disconnected(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = self._confirmed_at = loop.time()
        while self._link is not None and self._link.is_open:
            now = loop.time()
            timeout_s = self._pong_timeout_s()
            if now - self._confirmed_at > timeout_s:
                self._pong_timeouts += 1
                self._fail_over(f"no confirmed pong for {timeout_s} s")
                return
            if self._should_fail_back(now, started_at):
                self._failback_task = loop.create_task(self._fail_back())
            self._send_ping(now)
            await asyncio.sleep(MIN_PING_INTERVAL_S)
            await self._wait_for_next_ping()
        if self._link is not None:
            self._backoff_until[self._address] = loop.time() + ADDRESS_BACKOFF_S

    def _pong_timeout_s(self) -> float:
        counted_timeouts = min(self._pong_timeouts, MAX_COUNTED_PONG_TIMEOUTS)
        return PONG_TIMEOUT_S * (1 + PONG_TIMEOUT_GROWTH_FRACTION * counted_timeouts)

    def _should_fail_back(self, now: float, started_at: float) -> bool:
        nearest = self._addresses[0]
        if self._address == nearest:
            return False
        if now - started_at < FAILBACK_DELAY_S and not self._may_fail_back_early:
            return False
        if (
            self._failback_task is not None
            or self._backoff_until.get(nearest, 0.0) > now
        ):
            return False
        self._may_fail_back_early = False
        return True

    async def _fail_back(self) -> None:
        """Fail back to the nearest instance once its link is open."""
        nearest, former_link = self._addresses[0], self._link
        opened = await self._open_link(nearest)
        if opened is None:
            self._backoff_until[nearest] = (
                asyncio.get_running_loop().time() + FAILBACK_DELAY_S
            )
        elif former_link is self._link and former_link is not None:
            self._use_link(opened, nearest)
            former_link.close("failing back to the nearest control instance")
        else:
            opened.close("another control instance was chosen")
        self._failback_task = None
        self._wake.set()

    def _fail_over(self, reason: str) -> None:
        loop = asyncio.get_running_loop()
        logging.warning("failing over from control at %s: %s", self._address, reason)
        self._backoff_until[self._address] = loop.time() + ADDRESS_BACKOFF_S
        if self._link is not None:
            self._link.close(reason)
            self._link = None
        self._wake.set()

    async def _wait_for_next_ping(self) -> None:
        """Wait until the next ping is due, a wake-up or the pong timeout."""
        loop = asyncio.get_running_loop()
        interval_s = PING_INTERVAL_S * (1 - PING_JITTER_FRACTION * random.random())
        end = loop.time() + interval_s - MIN_PING_INTERVAL_S
        end = min(end, self._confirmed_at + self._pong_timeout_s() + 0.001)
        while (now := loop.time()) < end and not self._is_ping_due(now):
            step_s = (
                end - now
                if self._holder is None
                else min(HOLDER_POLL_INTERVAL_S, end - now)
            )
            try:
                async with asyncio.timeout(step_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()

    def _is_ping_due(self, now: float) -> bool:
        if self._wake.is_set():
            return True
        if now < self._hurried_until and self._unrecorded_announcement().name:
            return True
        return self._holder is not None and self._holder.needs_early_ping(now)

    def _unrecorded_announcement(self) -> messages.Announcement:
        """Return the announcement; an empty one if it is recorded or withheld."""
        if self._is_withheld:
            return messages.Announcement()
        recorded = self.state.targets.get(self._announcement.name)
        if recorded is not None and _values_of(recorded) == _values_of(
            self._announcement
        ):
            return messages.Announcement()
        return self._announcement

    def _send_ping(self, now: float) -> None:
        ping = messages.WatchPing(
            sequence=self._watch_state.on_ping_sent(now),
            applied_revision=self._watch_state.revision,
            announcement=self._unrecorded_announcement(),
            raft_term=self._watch_state.raft_term,
            complete=self.complete_copies(),
            quarantined=self.quarantined(),
            accepts_packed_deltas=True,
        )
        if self._holder is not None:
            ping.raft_term = self._holder.raft_term
            ping.demands = self._holder.demands(now)
            ping.shares = self._holder.report_shares(now)
        if self._link is not None:
            self._link.send(ping)


def _close_unneeded_link(opening: "asyncio.Future[link.Link | None]") -> None:
    if not opening.cancelled() and opening.exception() is None:
        opened = opening.result()
        if opened is not None:
            opened.close("a nearer control instance was chosen")


def _close_unused_link(connecting: "asyncio.Future[Any]") -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        opened = connecting.result().value_or(None)
        if opened is not None:
            opened.close("the link opened too late")
