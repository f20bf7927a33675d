"""Authenticated framed connections between the processes of one fleet."""

import asyncio
import dataclasses
import hashlib
import hmac
import math
import secrets
import ssl
from typing import Protocol, cast

from absl import logging
from returns import result

from toucanfold import exceptions, messages, traffic

HEARTBEAT_INTERVAL_S = 0.5
FRAME_TIMEOUT_S = 1.5
# A link is pinged if no frame arrived for this long. It is shorter than the heartbeat
# interval, so that a frame just after a heartbeat does not suppress the next ping.
PING_IDLE_S = 0.4
HANDSHAKE_TIMEOUT_S = 2.0
# Bounds the frames that are buffered for a peer that does not read.
MAX_BUFFERED_BYTES = 8 << 20
MAX_HANDSHAKE_FRAME_BYTES = 4096


@dataclasses.dataclass(slots=True)
class Identity:
    """Who a process is, and the secret that proves it belongs to the fleet."""

    fleet: str
    secret: bytes
    role: str
    name: str
    incarnation: int
    region: str = ""
    data_centre: str = ""
    # Counts what the process sends over all links.
    sent: traffic.TrafficCounter = dataclasses.field(
        default_factory=traffic.TrafficCounter, compare=False
    )

    def hello(self) -> messages.Hello:
        """Return a hello with a fresh nonce."""
        return messages.Hello(
            fleet=self.fleet,
            role=self.role,
            name=self.name,
            incarnation=self.incarnation,
            nonce=secrets.token_bytes(16),
            region=self.region,
            data_centre=self.data_centre,
        )


class LinkHandler(Protocol):
    """Receives the events and messages of its links."""

    def on_open(self, link: "Link") -> None:
        """Handle a link whose peer is authenticated."""

    def on_message(self, link: "Link", message: messages.Message) -> None:
        """Handle a message other than those of the handshake and heartbeats."""

    def on_close(self, link: "Link", reason: str) -> None:
        """Handle the close of an authenticated link."""


def proof_digest(
    secret: bytes, opener: messages.Hello, acceptor: messages.Hello, side: bytes
) -> bytes:
    """Return the HMAC-SHA256 of both hellos and the side (b"opener" or b"acceptor")."""
    transcript = messages.encode(opener) + messages.encode(acceptor) + side
    return hmac.new(secret, transcript, hashlib.sha256).digest()


class Link(asyncio.Protocol):
    """One connection: handshake, heartbeats and framed messages.

    Frames are handled in the data callback instead of a queue and a task, since a
    queue hop would add to the latency of every call.
    """

    def __init__(self, identity: Identity, owner: LinkHandler, opener: bool):
        self.peer: messages.Hello | None = None
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._identity = identity
        self._handler = owner
        self._is_initiator = opener
        self._own_hello = identity.hello()
        self._scope = "unknown"
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._authenticated = False
        self._close_reason = ""
        self._last_frame_at = 0.0
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._authenticated and self._transport is not None

    @property
    def buffered_bytes(self) -> int:
        """Bytes accepted by send but not yet by the operating system."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def send(self, message: messages.Message) -> bool:
        """Send a message; False if the link is closed or the peer is too slow."""
        if not self.is_open:
            return False
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.close("the peer does not read its messages")
            return False
        self._write(message)
        return True

    def close(self, reason: str) -> None:
        """Close at once and report the reason to the handler."""
        if self._transport is None:
            return
        self._close_reason = self._close_reason or reason
        self._transport.abort()
        self.connection_lost(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        self._last_frame_at = loop.time()
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._on_handshake_timeout)
        if self._is_initiator:
            self._write(self._own_hello)

    def data_received(self, data: bytes) -> None:
        """Split the stream into frames and handle them."""
        self._buffer += data
        self._last_frame_at = asyncio.get_running_loop().time()
        while self._transport is not None:
            payload = self._next_payload()
            if payload is None:
                return
            message = messages.decode(payload)
            if message is None:
                self.close("received a frame that does not decode")
                return
            self._handle(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the link once."""
        if self._transport is None:
            return
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        reason = self._close_reason or (str(exc) if exc else "closed by the peer")
        if self._authenticated:
            self._authenticated = False
            self._handler.on_close(self, reason)
        if not self.opened.done():
            self.opened.set_exception(
                exceptions.AuthenticationError(
                    f"handshake failed: {reason}",
                    "check that both processes have the same fleet and secret",
                )
            )
            # Nothing awaits the result on the responder's side; mark it as retrieved.
            self.opened.exception()

    def _next_payload(self) -> bytes | None:
        header = messages.LENGTH_BYTES
        if len(self._buffer) < header:
            return None
        size = int.from_bytes(self._buffer[:header], "big")
        limit = (
            messages.MAX_FRAME_BYTES
            if self._authenticated
            else MAX_HANDSHAKE_FRAME_BYTES
        )
        if size > limit:
            self.close(f"received a frame of {size} bytes, more than {limit}")
            return None
        if len(self._buffer) < header + size:
            return None
        payload = bytes(self._buffer[header : header + size])
        del self._buffer[: header + size]
        return payload

    def _handle(self, message: messages.Message) -> None:
        if not self._authenticated:
            self._handle_handshake(message)
        elif type(message) is messages.Ping:
            self._write(messages.Pong(message.sequence))
        elif type(message) is not messages.Pong:
            self._handler.on_message(self, message)

    def _handle_handshake(self, message: messages.Message) -> None:
        if isinstance(message, messages.Hello) and self.peer is None:
            self._handle_hello(message)
        elif isinstance(message, messages.Proof) and self.peer is not None:
            self._handle_proof(message)
        else:
            self.close("received a message before the handshake")

    def _handle_hello(self, hello: messages.Hello) -> None:
        if hello.fleet != self._identity.fleet:
            self.close(f"the peer belongs to fleet {hello.fleet!r}")
            return
        self.peer = hello
        self._scope = traffic.scope_of(
            (self._identity.region, self._identity.data_centre),
            (hello.region, hello.data_centre),
        )
        if self._is_initiator:
            self._write(messages.Proof(self._proof(b"opener")))
        else:
            self._write(self._own_hello)

    def _handle_proof(self, proof: messages.Proof) -> None:
        side = b"acceptor" if self._is_initiator else b"opener"
        if not hmac.compare_digest(proof.digest, self._proof(side)):
            self.close("the peer's proof is wrong")
            return
        if not self._is_initiator:
            self._write(messages.Proof(self._proof(b"acceptor")))
        self._authenticated = True
        assert self._timer is not None
        self._timer.cancel()
        self._schedule_heartbeat()
        self._handler.on_open(self)
        if not self.opened.done():
            self.opened.set_result(None)

    def _proof(self, side: bytes) -> bytes:
        assert self.peer is not None
        own, peer = self._own_hello, self.peer
        opener, acceptor = (own, peer) if self._is_initiator else (peer, own)
        return proof_digest(self._identity.secret, opener, acceptor, side)

    def _on_handshake_timeout(self) -> None:
        self.close("the handshake timed out")

    def _schedule_heartbeat(self) -> None:
        """Schedule the next heartbeat.

        All links of a process have their heartbeats at the same times, so that many
        links wake it no more often than one. The phase depends on the incarnation, so
        that processes differ.
        """
        loop = asyncio.get_running_loop()
        phase_s = self._identity.incarnation % 1000 / 1000 * HEARTBEAT_INTERVAL_S
        heartbeat_number = (
            math.floor((loop.time() - phase_s) / HEARTBEAT_INTERVAL_S) + 1
        )
        self._timer = loop.call_at(
            heartbeat_number * HEARTBEAT_INTERVAL_S + phase_s, self._heartbeat
        )

    def _heartbeat(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._last_frame_at > FRAME_TIMEOUT_S:
            self.close(f"no frame for {FRAME_TIMEOUT_S} s")
            return
        # A recent frame proves that the peer is alive as well as a pong would. The peer
        # receives this side's pongs, or sends pings itself.
        if now - self._last_frame_at >= PING_IDLE_S:
            self._sequence += 1
            self._write(messages.Ping(self._sequence))
        self._schedule_heartbeat()

    def _write(self, message: messages.Message) -> None:
        if self._transport is not None:
            frame = messages.encode(message)
            self._identity.sent.on_sent(message.TAG, self._scope, len(frame))
            self._transport.write(frame)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def connect(
    address: str,
    identity: Identity,
    owner: LinkHandler,
    tls: ssl.SSLContext | None = None,
) -> result.Result[Link, exceptions.LinkError]:
    """Return a link whose handshake is complete, or a LinkError."""
    loop = asyncio.get_running_loop()
    try:
        host, port = split_address(address)
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            _, link = await loop.create_connection(
                lambda: Link(identity, owner, opener=True), host, port, ssl=tls
            )
            await link.opened
    except exceptions.LinkError as error:
        return result.Failure(error)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        return result.Failure(
            exceptions.LinkError(
                f"no link to {address}: {error or 'timeout'}",
                "check that the process runs and its address is right",
            )
        )
    return result.Success(link)


async def listen(
    address: str,
    identity: Identity,
    owner: LinkHandler,
    tls: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Accept links on an address; OSError if it cannot be bound."""
    host, port = split_address(address)
    server = await asyncio.get_running_loop().create_server(
        lambda: Link(identity, owner, opener=False), host, port, ssl=tls
    )
    logging.info("listening for links on %s", address)
    return server
