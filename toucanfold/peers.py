"""Opens and closes links to other daemons and runs calls over them."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, Protocol

from absl import logging
from returns import result

from toucanfold import calls, link, linkcalls, messages, model

IDLE_TIMEOUT_S = 60.0
SWEEP_INTERVAL_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0


class RecordMessageHandler(Protocol):
    """Handles the messages about recorded calls."""

    def on_message(self, opened: link.Link, message: messages.Message) -> None:
        """Handle an Intent, IntentAck, Record or RecordSync."""


class TokenMessageHandler(Protocol):
    """Handles the messages about tokens of client accounts."""

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Handle a TokenRequest or TokenReply."""

    def on_close(self, closed: link.Link) -> None:
        """Handle the loss of a link over which replies may be due."""


class CrashReportHandler(Protocol):
    """Handles reports of targets that ended."""

    def on_report(self, report: messages.CrashReport) -> None:
        """Handle a report of another daemon."""


class _Peer:
    """The link to one other daemon, and its backoff after failed connections."""

    __slots__ = ("address", "backoff_s", "connecting", "name", "retry_at", "session")

    def __init__(self, name: str):
        self.name = name
        self.address = ""
        self.session: linkcalls.Session | None = None
        self.connecting: asyncio.Task[bool] | None = None
        self.backoff_s = INITIAL_BACKOFF_S
        self.retry_at = 0.0


class Peers:
    """Manages the links to other daemons and runs calls over them."""

    def __init__(
        self,
        identity: link.Identity,
        service: str,
        runner: linkcalls.CallRunner,
        tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
    ):
        self.owner: RecordMessageHandler | None = None
        self.account_tokens: TokenMessageHandler | None = None
        self.crash_reports: CrashReportHandler | None = None
        # Called with (now, name, is_up) when a link opens, closes or cannot be opened,
        # and when its peer sends Goaway.
        self.on_link: Callable[[float, str, bool], None] | None = None
        self.draining = False
        # Service of this daemon's target, whose calls are accepted.
        self.service = service
        self._identity = identity
        self._runner = runner
        self._tls = tls
        self._server_tls = server_tls
        self._loop = asyncio.get_running_loop()
        self._peers: dict[str, _Peer] = {}
        self._sessions: dict[link.Link, linkcalls.Session] = {}
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def incoming(self) -> int:
        """Number of other daemons' calls that are running here."""
        return sum(session.incoming for session in self._sessions.values())

    @property
    def outgoing(self) -> int:
        """Number of unfinished calls to other daemons."""
        return sum(session.outgoing for session in self._sessions.values())

    async def listen(self, address: str) -> None:
        """Accept links on an address; OSError if it cannot be bound."""
        self._server = await link.listen(
            address, self._identity, self, self._server_tls
        )
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def run(self, target: model.Target, call: calls.Call) -> calls.Answer:
        """Run a call at another daemon's target; opens a link if there is none."""
        session = self._open_session(target.name)
        if session is None:
            session = await self._wait_for_session(target, call.deadline)
        if session is None:
            return calls.refuse(
                calls.RefusalKind.NO_TARGET, f"no link to the daemon of {target.name}"
            )
        if session.going_away:
            return calls.refuse(
                calls.RefusalKind.STOPPING, f"{target.name} is stopping"
            )
        return await session.run(call)

    async def link_to(self, target: model.Target) -> link.Link | None:
        """Return an open link to another daemon, opening it on demand."""
        session = self._open_session(target.name)
        if session is None:
            deadline = self._loop.time() + link.HANDSHAKE_TIMEOUT_S
            session = await self._wait_for_session(target, deadline)
        if session is None:
            return None
        session.last_used_at = self._loop.time()
        return session.link

    def preconnect(self, target: model.Target) -> None:
        """Open a link in the background, so that a first call need not wait for it."""
        peer = self._peer(target.name)
        if self._open_session(target.name) is None and peer.connecting is None:
            self._start_connecting(peer, target)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message over all open links; no link is opened for it."""
        for session in self._sessions.values():
            session.link.send(message)

    def post(self, target: model.Target, message: messages.Message) -> None:
        """Send a message to another daemon in the background, opening a link."""
        task = self._loop.create_task(self._post(target, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _post(self, target: model.Target, message: messages.Message) -> None:
        opened = await self.link_to(target)
        if opened is None or not opened.send(message):
            logging.info("no link to %s for a %s message", target.name, message.TAG)

    def is_up(self, name: str) -> bool:
        """Whether a link to a daemon is open and its peer accepts new calls."""
        session = self._open_session(name)
        return session is not None and not session.going_away

    def drain(self) -> None:
        """Refuse new calls from links and send Goaway to the peers."""
        self.draining = True
        for session in self._sessions.values():
            session.refusing = True
            session.link.send(messages.Goaway("stopping"))

    def stop(self) -> None:
        """Close all links."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for opened in list(self._sessions):
            opened.close("stopping")

    def dump(self) -> list[dict[str, Any]]:
        """Return the state of all links for the debug listener."""
        return [
            {
                "peer": session.link.peer.name if session.link.peer else "",
                "outgoing": session.outgoing,
                "incoming": session.incoming,
                "going_away": session.going_away,
                "buffered_bytes": session.link.buffered_bytes,
            }
            for session in self._sessions.values()
        ]

    def on_open(self, opened: link.Link) -> None:
        """Handle a link whose peer is authenticated, in either direction."""
        session = linkcalls.Session(opened, self._runner, lambda: self.service)
        session.refusing = self.draining
        self._sessions[opened] = session
        if self.draining:
            opened.send(messages.Goaway("stopping"))
        if opened.peer is None or opened.peer.role != "daemon":
            return
        peer = self._peer(opened.peer.name)
        if peer.session is None or not peer.session.link.is_open:
            peer.session = session
            self._report_link(opened.peer.name, True)

    def on_message(self, opened: link.Link, message: messages.Message) -> None:
        """Pass a message to the session of its link or to the handler of records."""
        session = self._sessions.get(opened)
        if session is None:
            return
        if isinstance(
            message,
            messages.Intent
            | messages.IntentAck
            | messages.Record
            | messages.RecordSync,
        ):
            session.last_used_at = self._loop.time()
            if self.owner is not None:
                self.owner.on_message(opened, message)
            return
        if isinstance(message, messages.TokenRequest | messages.TokenReply):
            session.last_used_at = self._loop.time()
            if self.account_tokens is not None:
                self.account_tokens.on_message(opened, message)
            return
        if isinstance(message, messages.CrashReport):
            if self.crash_reports is not None:
                self.crash_reports.on_report(message)
            return
        session.on_message(message)
        if type(message) is messages.Goaway and opened.peer is not None:
            self._report_link(opened.peer.name, False)

    def on_close(self, opened: link.Link, reason: str) -> None:
        """Resolve the calls of a lost link."""
        session = self._sessions.pop(opened, None)
        if session is None:
            return
        name = opened.peer.name if opened.peer else ""
        logging.info("link to %s closed: %s", name, reason)
        session.on_close(reason)
        if self.account_tokens is not None:
            self.account_tokens.on_close(opened)
        peer = self._peers.get(name)
        if peer is not None and peer.session is session:
            peer.session = None
            self._report_link(name, False)

    def _report_link(self, name: str, is_up: bool) -> None:
        if self.on_link is not None:
            self.on_link(self._loop.time(), name, is_up)

    def _peer(self, name: str) -> _Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer(name)
        return peer

    def _open_session(self, name: str) -> linkcalls.Session | None:
        peer = self._peers.get(name)
        if peer is None or peer.session is None or not peer.session.link.is_open:
            return None
        return peer.session

    async def _wait_for_session(
        self, target: model.Target, deadline: float
    ) -> linkcalls.Session | None:
        peer = self._peer(target.name)
        if peer.connecting is None:
            address_changed = peer.address != target.link_address
            if self._loop.time() < peer.retry_at and not address_changed:
                return None
            self._start_connecting(peer, target)
        assert peer.connecting is not None
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(peer.connecting)
        except TimeoutError:
            return None
        return self._open_session(target.name)

    def _start_connecting(self, peer: _Peer, target: model.Target) -> None:
        if peer.address != target.link_address:
            peer.address = target.link_address
            peer.backoff_s = INITIAL_BACKOFF_S
        peer.connecting = self._loop.create_task(self._open_link(peer))
        self._tasks.add(peer.connecting)
        peer.connecting.add_done_callback(self._tasks.discard)

    async def _open_link(self, peer: _Peer) -> bool:
        try:
            connected = await link.connect(
                peer.address, self._identity, self, self._tls
            )
            if isinstance(connected, result.Success):
                opened = connected.unwrap()
                if opened.peer is not None and opened.peer.name == peer.name:
                    peer.backoff_s = INITIAL_BACKOFF_S
                    return True
                # Another daemon now has the address of one that terminated.
                opened.close(f"the daemon at {peer.address} is not {peer.name}")
            peer.retry_at = self._loop.time() + peer.backoff_s
            peer.backoff_s = min(MAX_BACKOFF_S, 2 * peer.backoff_s)
            self._report_link(peer.name, False)
            return False
        finally:
            peer.connecting = None

    def _sweep(self) -> None:
        """Close idle links, and remove peers without a link or a recent failure."""
        now = self._loop.time()
        for opened, session in list(self._sessions.items()):
            if not session.is_busy and now - session.last_used_at > IDLE_TIMEOUT_S:
                opened.close("idle")
        for name, peer in list(self._peers.items()):
            if (
                peer.session is None
                and peer.connecting is None
                and now - peer.retry_at > IDLE_TIMEOUT_S
            ):
                del self._peers[name]
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
