"""Composition root of a control instance and the ``toucanfold control`` command."""

import asyncio
import random
import signal
from collections.abc import Callable
from typing import Any

from absl import flags, logging
from returns import result

from toucanfold import (
    adminapi,
    cluster,
    cmdline,
    config,
    credentials,
    exceptions,
    files,
    httpapi,
    leadership,
    leases,
    link,
    logs,
    messages,
    metrics,
    plugins,
    rafttypes,
    replica,
    slots,
    storage,
    store,
    tls,
    watch,
    watchers,
)

FLAGS = flags.FlagValues()
flags.DEFINE_string("settings", "", "Settings file.", flag_values=FLAGS)
flags.DEFINE_string("log_level", "info", "Least level to log.", flag_values=FLAGS)
MEMBERS_S = 0.5
TEXT = "Runs a control instance until SIGTERM."

Send = Callable[[str, messages.Raft], bool]
ReplicaFactory = Callable[[store.Store, Send], Any]


class Control:
    """One control instance: consensus, watchers and the operators' API."""

    def __init__(
        self,
        settings: config.Settings,
        secret: bytes,
        operators: credentials.Credentials,
        contexts: tls.Contexts,
        replica_factory: ReplicaFactory,
    ):
        self._settings = settings
        self._contexts = contexts
        self._identity = link.Identity(
            fleet=settings.get("control", "fleet"),
            secret=secret,
            role="control",
            name=settings.get("control", "name"),
            incarnation=watch.new_incarnation(),
            region=settings.get("control", "region"),
            data_centre=settings.get("control", "data_centre"),
        )
        self.store = store.Store()
        self.cluster = cluster.Cluster(self._identity, self.store, contexts.link_client)
        self.replica = replica_factory(self.store, self.cluster.send)
        self.leadership = leadership.Leadership(
            self.replica, self.store, leases.Grantor(), slots.plan
        )
        self.cluster.attach(self.replica, self.leadership)
        self.watchers = watchers.Watchers(self.store, self.cluster)
        self.metrics = metrics.Metrics(
            settings.get("metrics", "statsd"), settings.get("metrics", "prefix")
        )
        self._api = adminapi.AdminApi(
            self.store, self.cluster, operators, secret, self.metrics, self.dump
        )
        self._http = httpapi.Server(self._api.handle)
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        # Ends only when the disk fails or the instance stops.
        self.running: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and join the other members; OSError if an address is taken."""
        settings = self._settings
        self._server = await link.listen(
            settings.get("control", "listen"),
            self._identity,
            self,
            self._contexts.link_server,
        )
        await self._http.start(
            settings.get("control", "admin_listen"), self._contexts.admin
        )
        loop = asyncio.get_running_loop()
        self.running = loop.create_task(self.replica.run())
        self._tasks = [
            self.running,
            loop.create_task(self.leadership.run()),
            loop.create_task(self._follow_members()),
            loop.create_task(self._report()),
        ]

    async def stop(self) -> None:
        """Stop as planned: hand over the lead, finish open requests, close."""
        logging.info("stopping")
        if self.replica.is_leader:
            await self.replica.transfer_leadership()
        await self._http.stop()
        if self._server is not None:
            self._server.close()
        await self.watchers.stop()
        await self.abort()

    async def abort(self) -> None:
        """Close everything without handing anything over."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        await self._http.stop(0)
        await self.watchers.stop()
        await self.cluster.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state dump; it holds no secrets."""
        now = asyncio.get_running_loop().time()
        return {
            "name": self._identity.name,
            "role": "control",
            "replica": self.replica.status(),
            "linked_members": self.cluster.connected,
            "revision": self.store.revision,
            "watchers": self.watchers.dump(),
            "plugins": [module.__name__ for module in plugins.MODULES],
            "leadership": self.leadership.dump(now),
            "metrics": self.metrics.dump(),
        }

    def on_open(self, opened: link.Link) -> None:
        """Give a new link to the part that handles its role."""
        owner = self._owner_of(opened)
        if owner is None:
            opened.close("links of this role are not accepted here")
        else:
            owner.on_open(opened)

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Give a message to the part that handles its sender's role."""
        owner = self._owner_of(source)
        if owner is not None:
            owner.on_message(source, message)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Tell the part that handles the link's role."""
        owner = self._owner_of(closed)
        if owner is not None:
            owner.on_close(closed, reason)

    def _owner_of(self, opened: link.Link) -> link.LinkOwner | None:
        role = opened.peer.role if opened.peer else ""
        owners: dict[str, link.LinkOwner] = {
            "control": self.cluster,
            "daemon": self.watchers,
        }
        return owners.get(role)

    async def _follow_members(self) -> None:
        """Keep links to the members; a new instance starts with its settings."""
        while True:
            known = {
                item["name"]: item["address"]
                for item in self.replica.status()["members"]
            }
            self.cluster.set_members(known or self._settings.get("control", "members"))
            await asyncio.sleep(MEMBERS_S)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(self._settings.get("metrics", "interval"))
            self.metrics.gauge("watchers", len(self.watchers))
            self.metrics.gauge("revision", self.store.revision)
            self.metrics.gauge("is_leader", int(self.replica.is_leader))
            self.metrics.report()


def make_replica(settings: config.Settings) -> ReplicaFactory:
    """Return a factory of the replica on the data folder; raises StorageError."""
    folder = files.LocalFiles(settings.get("control", "data_folder"))
    kept = storage.Storage(
        folder, settings.get("control", "fleet"), settings.get("control", "name")
    )
    plan = rafttypes.Founding(
        settings.get("control", "members"), settings.get("control", "join")
    )
    entries = settings.get("control", "snapshot_entries")

    def create(fleet: store.Store, send: Send) -> replica.Replica:
        return replica.Replica(kept, plan, fleet, send, random.Random(), entries)

    return create


async def serve(settings: config.Settings) -> None:
    """Run an instance until SIGTERM or SIGINT; raises StorageError."""
    secret = _value(config.read_secret(settings))
    operators = _value(credentials.read(settings.get("control", "admin_file")))
    contexts = _value(tls.load(settings))
    control = Control(settings, secret, operators, contexts, make_replica(settings))
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    try:
        await control.start()
    except OSError as error:
        raise exceptions.LinkError(
            f"cannot listen: {error}", "stop the other process or change the address"
        ) from error
    assert control.running is not None
    waiting = loop.create_task(stopping.wait())
    await asyncio.wait({waiting, control.running}, return_when="FIRST_COMPLETED")
    if control.running.done():
        await control.abort()
        control.running.result()
    await control.stop()


def _value(read: result.Result[Any, exceptions.ToucanfoldError]) -> Any:
    if isinstance(read, result.Failure):
        raise read.failure()
    return read.unwrap()


def main(arguments: list[str]) -> int:
    """Run the instance until it is told to stop."""
    cmdline.parse(FLAGS, "control", arguments, TEXT)
    if not FLAGS.settings:
        return cmdline.fail("no settings file is given", "use --settings=FILE")
    settings = _value(config.read(FLAGS.settings, "control"))
    logs.set_up(settings.get("control", "name"), FLAGS.log_level)
    asyncio.run(serve(settings))
    return 0
