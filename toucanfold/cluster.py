"""Links between control instances, and requests relayed to the leader."""

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

RECONNECT_DELAY_S = 0.2
# The member with the larger name waits this long and opens a link only if the other has
# not, for example because it does not know the address of a member about to join.
LARGER_NAME_CONNECT_DELAY_S = 1.0
# Delay between attempts to reach a leader while there is none.
LEADER_RETRY_DELAY_S = 0.05
REPLY_TIMEOUT_S = 2.0
# A follower may apply a confirmed revision slightly later than the leader.
CATCH_UP_TIMEOUT_S = 0.4

Reply = leadership.Reply


class ControlPeers:
    """Keeps one link to each other control member and relays requests to the leader."""

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
        self._link_tasks: dict[str, tuple[str, asyncio.Task[None]]] = {}
        self._pending_replies: dict[
            int, tuple[link.Link, asyncio.Future[messages.RelayReply]]
        ] = {}
        self._request_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._replica: leaderinterfaces.Replica | None = None
        self._leadership: leadership.LeaderService | None = None

    @property
    def connected(self) -> list[str]:
        """Names of the members with an open link."""
        return sorted(self._links)

    def location_of(self, name: str) -> tuple[str, str]:
        """Return region and data centre of a member, empty strings if not linked."""
        if name == self._identity.name:
            return self._identity.region, self._identity.data_centre
        opened = self._links.get(name)
        if opened is None or opened.peer is None:
            return "", ""
        return opened.peer.region, opened.peer.data_centre

    def instances(self) -> list[messages.Instance]:
        """Return the members of control with their regions and data centres."""
        if self._replica is None:
            return []
        return [
            messages.Instance(member.address, *self.location_of(member.name))
            for member in self._replica.membership().members
        ]

    def attach(
        self, replica: leaderinterfaces.Replica, leader: leadership.LeaderService
    ) -> None:
        """Set the handlers of consensus messages and of requests."""
        self._replica = replica
        self._leadership = leader

    def set_members(self, members: dict[str, str]) -> None:
        """Link to members (addresses by name); unlink removed or moved ones."""
        for name, (address, task) in list(self._link_tasks.items()):
            if members.get(name) != address:
                task.cancel()
                del self._link_tasks[name]
                if name in self._links:
                    self._links[name].close("the member was removed or moved")
        for name, address in members.items():
            if name != self._identity.name and name not in self._link_tasks:
                task = asyncio.get_running_loop().create_task(
                    self._maintain_link(name, address)
                )
                self._link_tasks[name] = (address, task)

    async def stop(self) -> None:
        """Close all links."""
        tasks = [task for _, task in self._link_tasks.values()] + list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for opened in list(self._links.values()):
            opened.close("the control instance stops")

    def send(self, peer: str, message: messages.Message) -> bool:
        """Send to a member; False if there is no link or the peer reads too slowly."""
        opened = self._links.get(peer)
        return opened is not None and opened.send(message)

    async def request(
        self, kind: str, payload: dict[str, Any], timeout_s: float
    ) -> Reply:
        """Have the leader answer a request; NotLeaderError if none does in time.

        Retries until the timeout while no leader answers, so the request must be
        safe to handle more than once.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while True:
            try:
                async with asyncio.timeout_at(end):
                    answered = await self._request_once(kind, payload)
            except TimeoutError:
                return _no_leader()
            if not _may_retry(answered) or loop.time() + LEADER_RETRY_DELAY_S >= end:
                return answered
            await asyncio.sleep(LEADER_RETRY_DELAY_S)

    async def submit(self, command: commands.Command, timeout_s: float) -> Reply:
        """Have the leader commit a command, which must have an operation id."""
        text = base64.b64encode(commands.encode(command)).decode()
        return await self.request("command", {"command": text}, timeout_s)

    async def wait_for_revision(self, revision: int) -> bool:
        """Wait until a confirmed revision is applied here; False after 0.4 s."""
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                while self._store.revision < revision:
                    self._applied.clear()
                    await self._applied.wait()
        except TimeoutError:
            return False
        return True

    def on_open(self, opened: link.Link) -> None:
        """Replace an earlier link of the member by this one."""
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
            task = asyncio.get_running_loop().create_task(
                self._handle_relayed_request(source, message)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(message, messages.RelayReply):
            waiting = self._pending_replies.get(message.id)
            if waiting is not None and waiting[0] is source and not waiting[1].done():
                waiting[1].set_result(message)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Remove a link and fail the requests that wait for a reply on it."""
        assert closed.peer is not None
        if self._links.get(closed.peer.name) is closed:
            del self._links[closed.peer.name]
            logging.info(
                "link to control instance %s closed: %s", closed.peer.name, reason
            )
        for source, future in list(self._pending_replies.values()):
            if source is closed and not future.done():
                future.set_exception(
                    exceptions.NotLeaderError(
                        f"the link to the leader was lost: {reason}",
                        "send the same operation again",
                    )
                )

    async def _maintain_link(self, name: str, address: str) -> None:
        delay_s = LARGER_NAME_CONNECT_DELAY_S if name < self._identity.name else 0.0
        while True:
            if name not in self._links:
                await asyncio.sleep(delay_s)
            if name not in self._links:
                await self._open_link(name, address)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _open_link(self, name: str, address: str) -> None:
        opened = await link.connect(address, self._identity, self, self._tls)
        if isinstance(opened, result.Failure):
            return
        peer = opened.unwrap().peer
        if peer is not None and peer.name != name:
            logging.error(
                "control instance at %s is %s instead of %s", address, peer.name, name
            )
            opened.unwrap().close("the peer has another name")

    async def _request_once(self, kind: str, payload: dict[str, Any]) -> Reply:
        assert self._replica is not None and self._leadership is not None
        if self._replica.is_leader:
            return await self._leadership.handle(kind, payload)
        leader = self._replica.leader
        opened = self._links.get(leader) if leader else None
        if opened is None:
            return _no_leader()
        number = next(self._request_ids)
        future: asyncio.Future[messages.RelayReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[number] = (opened, future)
        try:
            opened.send(messages.Relay(number, kind, _pack_payload(payload)))
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await future
        except TimeoutError:
            return _no_leader()
        except exceptions.NotLeaderError as error:
            return result.Failure(error)
        finally:
            del self._pending_replies[number]
        fields = json.loads(model.decompress_json(reply.payload))
        return (
            result.Success(fields) if reply.ok else result.Failure(unpack_error(fields))
        )

    async def _handle_relayed_request(
        self, source: link.Link, message: messages.Relay
    ) -> None:
        assert self._leadership is not None
        try:
            answered = await self._leadership.handle(
                message.kind, json.loads(model.decompress_json(message.payload))
            )
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            answered = result.Failure(
                exceptions.ValidationError(
                    f"invalid request: {error!r}",
                    "run the same version on all control instances",
                )
            )
        if isinstance(answered, result.Failure):
            fields, ok = pack_error(answered.failure()), False
        else:
            fields, ok = answered.unwrap(), True
        source.send(messages.RelayReply(message.id, ok, _pack_payload(fields)))


def _pack_payload(fields: dict[str, Any]) -> bytes:
    """Return compressed JSON, since traffic between regions is billed by volume."""
    return model.compress_json(json.dumps(fields, separators=(",", ":")).encode())


# Errors that keep their type when the leader returns them to another instance.
_ERROR_CLASS_BY_NAME: dict[str, type[exceptions.ToucanfoldError]] = {
    cls.__name__: cls
    for cls in (
        exceptions.NotLeaderError,
        exceptions.DiskFullError,
        exceptions.StorageError,
        exceptions.ValidationError,
    )
}


def pack_error(error: exceptions.ToucanfoldError) -> dict[str, Any]:
    """Return the JSON form of an error."""
    return {
        "type": type(error).__name__,
        "message": error.message,
        "remedy": error.remedy,
    }


def unpack_error(fields: dict[str, Any]) -> exceptions.ToucanfoldError:
    """Return the error that pack_error encoded."""
    cls = _ERROR_CLASS_BY_NAME.get(fields["type"], exceptions.ToucanfoldError)
    return cls(fields["message"], fields["remedy"])


def _may_retry(answered: Reply) -> bool:
    return isinstance(answered, result.Failure) and isinstance(
        answered.failure(), exceptions.NotLeaderError
    )


def _no_leader() -> result.Failure:
    return result.Failure(
        exceptions.NotLeaderError(
            "no control leader answered in time",
            "send the same operation again; it is applied once",
        )
    )
