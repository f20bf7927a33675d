"""Links between control instances, and requests that reach the leader."""

import asyncio
import base64
import itertools
import json
import ssl
from typing import Any

from absl import logging
from returns import result

from toucanfold import (
    commands,
    exceptions,
    leaderinterfaces,
    leadership,
    link,
    messages,
    model,
    store,
)

RECONNECT_S = 0.2
# The member with the larger name opens a link only if the other does not, for
# instance because it does not know the address of a member that is about to join.
LARGER_NAME_DELAY_S = 1.0
# Pause between attempts to reach a leader while there is none.
RETRY_S = 0.05
REPLY_LIMIT_S = 2.0
# A follower may apply a confirmed revision a little later than the leader.
CATCH_UP_S = 0.4

Reply = leadership.Reply


class ControlPeers:
    """Owner of the links to the other members of control, one for each."""

    def __init__(
        self,
        identity: link.Identity,
        fleet: store.FleetStore,
        tls: ssl.SSLContext | None = None,
    ):
        self._identity = identity
        self._store = fleet
        self._applied = asyncio.Event()
        fleet.listeners.append(self._applied.set)
        self._tls = tls
        self._links: dict[str, link.Link] = {}
        self._openers: dict[str, tuple[str, asyncio.Task[None]]] = {}
        self._waiting: dict[
            int, tuple[link.Link, asyncio.Future[messages.RelayReply]]
        ] = {}
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._replica: leaderinterfaces.Replica | None = None
        self._leadership: leadership.LeaderService | None = None

    @property
    def connected(self) -> list[str]:
        """Names of the members with an open link."""
        return sorted(self._links)

    def location_of(self, name: str) -> tuple[str, str]:
        """Return region and data centre of a member, empty while not linked."""
        if name == self._identity.name:
            return self._identity.region, self._identity.data_centre
        opened = self._links.get(name)
        if opened is None or opened.peer is None:
            return "", ""
        return opened.peer.region, opened.peer.data_centre

    def instances(self) -> list[messages.Instance]:
        """Return the members of control and where they are."""
        if self._replica is None:
            return []
        return [
            messages.Instance(member.address, *self.location_of(member.name))
            for member in self._replica.membership().members
        ]

    def attach(
        self, replica: leaderinterfaces.Replica, leader: leadership.LeaderService
    ) -> None:
        """Set who handles messages and requests."""
        self._replica = replica
        self._leadership = leader

    def set_members(self, members: dict[str, str]) -> None:
        """Open links to members as name and address; drop those of former ones."""
        for name, (address, task) in list(self._openers.items()):
            if members.get(name) != address:
                task.cancel()
                del self._openers[name]
                if name in self._links:
                    self._links[name].close("the member was removed or moved")
        for name, address in members.items():
            if name != self._identity.name and name not in self._openers:
                task = asyncio.get_running_loop().create_task(
                    self._keep_open(name, address)
                )
                self._openers[name] = (address, task)

    async def stop(self) -> None:
        """Close all links."""
        tasks = [task for _, task in self._openers.values()] + list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for opened in list(self._links.values()):
            opened.close("the control instance stops")

    def send(self, peer: str, message: messages.Message) -> bool:
        """Send to a member; False if there is no link or it is too slow."""
        opened = self._links.get(peer)
        return opened is not None and opened.send(message)

    async def request(
        self, kind: str, payload: dict[str, Any], limit_s: float
    ) -> Reply:
        """Have the leader answer a request.

        Tries again until the limit when no leader answers, so the request must be
        one that may be handled more than once.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while True:
            try:
                async with asyncio.timeout_at(end):
                    answered = await self._request_once(kind, payload)
            except TimeoutError:
                return _no_leader()
            if not _may_retry(answered) or loop.time() + RETRY_S >= end:
                return answered
            await asyncio.sleep(RETRY_S)

    async def submit(self, command: commands.Command, limit_s: float) -> Reply:
        """Have the leader commit a command that has an operation id."""
        text = base64.b64encode(commands.encode(command)).decode()
        return await self.request("command", {"command": text}, limit_s)

    async def wait_for_revision(self, revision: int) -> bool:
        """Wait until a confirmed revision is applied here; False after 0.4 s."""
        try:
            async with asyncio.timeout(CATCH_UP_S):
                while self._store.revision < revision:
                    self._applied.clear()
                    await self._applied.wait()
        except TimeoutError:
            return False
        return True

    def on_open(self, opened: link.Link) -> None:
        """Use the newest link of a member."""
        assert opened.peer is not None
        former = self._links.get(opened.peer.name)
        self._links[opened.peer.name] = opened
        if former is not None:
            former.close("replaced by a newer link")
        logging.info("link to control instance %s is open", opened.peer.name)

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Handle consensus messages, requests and replies."""
        assert source.peer is not None
        if isinstance(message, messages.Raft) and self._replica is not None:
            self._replica.on_message(source.peer.name, message)
        elif isinstance(message, messages.Relay):
            task = asyncio.get_running_loop().create_task(self._serve(source, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(message, messages.RelayReply):
            waiting = self._waiting.get(message.id)
            if waiting is not None and waiting[0] is source and not waiting[1].done():
                waiting[1].set_result(message)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Forget a link and fail the requests that wait on it."""
        assert closed.peer is not None
        if self._links.get(closed.peer.name) is closed:
            del self._links[closed.peer.name]
            logging.info("link to %s closed: %s", closed.peer.name, reason)
        for source, future in list(self._waiting.values()):
            if source is closed and not future.done():
                future.set_exception(
                    exceptions.NotLeaderError(
                        f"the link to the leader was lost: {reason}",
                        "send the same operation again",
                    )
                )

    async def _keep_open(self, name: str, address: str) -> None:
        delay_s = LARGER_NAME_DELAY_S if name < self._identity.name else 0.0
        while True:
            if name not in self._links:
                await asyncio.sleep(delay_s)
            if name not in self._links:
                await self._open(name, address)
            await asyncio.sleep(RECONNECT_S)

    async def _open(self, name: str, address: str) -> None:
        opened = await link.connect(address, self._identity, self, self._tls)
        if isinstance(opened, result.Failure):
            return
        peer = opened.unwrap().peer
        if peer is not None and peer.name != name:
            logging.error("%s is %s instead of %s", address, peer.name, name)
            opened.unwrap().close("the peer has another name")

    async def _request_once(self, kind: str, payload: dict[str, Any]) -> Reply:
        assert self._replica is not None and self._leadership is not None
        if self._replica.is_leader:
            return await self._leadership.handle(kind, payload)
        leader = self._replica.leader
        opened = self._links.get(leader) if leader else None
        if opened is None:
            return _no_leader()
        number = next(self._ids)
        future: asyncio.Future[messages.RelayReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[number] = (opened, future)
        try:
            opened.send(messages.Relay(number, kind, _pack_payload(payload)))
            async with asyncio.timeout(REPLY_LIMIT_S):
                reply = await future
        except TimeoutError:
            return _no_leader()
        except exceptions.NotLeaderError as error:
            return result.Failure(error)
        finally:
            del self._waiting[number]
        fields = json.loads(model.decompress_json(reply.payload))
        return result.Success(fields) if reply.ok else result.Failure(unpack(fields))

    async def _serve(self, source: link.Link, message: messages.Relay) -> None:
        assert self._leadership is not None
        try:
            answered = await self._leadership.handle(
                message.kind, json.loads(model.decompress_json(message.payload))
            )
        except (ValueError, KeyError, TypeError) as error:
            answered = result.Failure(
                exceptions.ValidationError(
                    f"request does not fit: {error!r}",
                    "run the same version on all control instances",
                )
            )
        if isinstance(answered, result.Failure):
            fields, ok = pack(answered.failure()), False
        else:
            fields, ok = answered.unwrap(), True
        source.send(messages.RelayReply(message.id, ok, _pack_payload(fields)))


def _pack_payload(fields: dict[str, Any]) -> bytes:
    """Return compressed JSON; regions are joined by links that are paid by volume."""
    return model.compress_json(json.dumps(fields, separators=(",", ":")).encode())


# Errors that keep their type when they travel from the leader to another instance.
_ERRORS: dict[str, type[exceptions.ToucanfoldError]] = {
    cls.__name__: cls
    for cls in (
        exceptions.NotLeaderError,
        exceptions.DiskFullError,
        exceptions.StorageError,
        exceptions.ValidationError,
    )
}


def pack(error: exceptions.ToucanfoldError) -> dict[str, Any]:
    """Return the JSON form of an error."""
    return {
        "type": type(error).__name__,
        "message": error.message,
        "remedy": error.remedy,
    }


def unpack(fields: dict[str, Any]) -> exceptions.ToucanfoldError:
    """Return the error that pack encoded."""
    cls = _ERRORS.get(fields["type"], exceptions.ToucanfoldError)
    return cls(fields["message"], fields["remedy"])


def _may_retry(answered: Reply) -> bool:
    return isinstance(answered, result.Failure) and isinstance(
        answered.failure(), exceptions.NotLeaderError
    )


def _no_leader() -> result.Failure:
    return result.Failure(
        exceptions.NotLeaderError(
            "no leader of control answered in time",
            "send the same operation again; it is applied once",
        )
    )
