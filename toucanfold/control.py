"""Composition root of a control instance and the ``toucanfold control`` command."""

import asyncio
import dataclasses
import random
import signal
from collections.abc import Callable
from typing import Any

from absl import flags, logging
from returns import result

from toucanfold import (
    adminapi,
    clock,
    cluster,
    cmdline,
    commands,
    config,
    credentials,
    decisionlog,
    exceptions,
    fairshare,
    files,
    httpapi,
    httpserver,
    leadership,
    leases,
    link,
    logs,
    messages,
    metrics,
    plugins,
    rafttypes,
    reloading,
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
JOIN_LIMIT_S = 1.0
# Time for the open requests of a kind of listener in a planned stop, so that all of it
# takes less than 6 s.
STOP_LIMIT_S = 2.0
STOP_CHECK_S = 0.02
HELP_TEXT = "Runs a control instance until SIGTERM."

# Time in which a change or a read of the configuration must find a leader. The caller
# then asks another instance.
CONFIGURATION_LIMIT_S = 3.0
READ_TIMEOUT_S = 1.0

Send = Callable[[str, messages.Raft], bool]
ReplicaFactory = Callable[[store.FleetStore, Send], Any]


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
        self.secret = secret
        self.rate_bound = fairshare.OverageBound(
            settings.get("control", "rate_window"),
            settings.get("control", "rate_overage"),
            settings.get("control", "rate_overage_calls"),
        )
        self._others: list[tuple[str, httpserver.Server]] = []
        self._identity = link.Identity(
            fleet=settings.get("control", "fleet"),
            secret=secret,
            role="control",
            name=settings.get("control", "name"),
            incarnation=watch.new_incarnation(),
            region=settings.get("control", "region"),
            data_centre=settings.get("control", "data_centre"),
        )
        self.store = store.FleetStore()
        self.control_peers = cluster.ControlPeers(
            self._identity, self.store, contexts.link_client
        )
        self.replica = replica_factory(self.store, self.control_peers.send)
        self.leadership = leadership.LeaderService(
            self.replica,
            self.store,
            leases.Grantor(),
            slots.plan if settings.get("control", "plan_slots") else None,
            settings.get("control", "tolerated_losses"),
        )
        self.control_peers.attach(self.replica, self.leadership)
        self.watchers = watchers.WatchServer(self.store, self.control_peers)
        self.metrics = metrics.Metrics(
            settings.get("metrics", "statsd"), settings.get("metrics", "prefix")
        )
        self._api = adminapi.AdminApi(
            self.store, self.control_peers, operators, secret, self.metrics, self.dump
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
        for address, server in self._others:
            await server.listen(address)
        loop = asyncio.get_running_loop()
        self.running = loop.create_task(self.replica.run())
        self._tasks = [
            self.running,
            loop.create_task(self.leadership.run()),
            loop.create_task(self._follow_members()),
            loop.create_task(self._report_waiting()),
            loop.create_task(self._report()),
        ]

    def reload(self, settings: config.Settings) -> None:
        """Take changed settings: the seeds; others need a restart."""
        self._settings = settings

    def add(self, listener: httpserver.Listener) -> None:
        """Add a further listener, which start opens."""
        address = self._settings.get("control", listener.option)
        server = httpserver.Server(listener.handler, httpserver.Limits())
        self._others.append((address, server))

    async def replace_configuration(
        self, command: commands.ReplaceConfiguration
    ) -> result.Result[int, exceptions.ToucanfoldError]:
        """Put a configuration in force and return the revision.

        Fails with ConflictError on top of another version, with ValidationError if it
        is invalid, and with other errors if it may or may not come into force.
        """
        answered = await self.control_peers.submit(command, CONFIGURATION_LIMIT_S)
        if isinstance(answered, result.Failure):
            logging.warning(
                "configuration %d on %d has no clear outcome: %s",
                command.version,
                command.base,
                answered.failure(),
            )
            return answered
        outcome = answered.unwrap()["outcome"]
        logging.info(
            "configuration %d on %d: %s",
            command.version,
            command.base,
            "in force" if outcome["ok"] else outcome["message"],
        )
        if outcome["ok"]:
            return result.Success(outcome["revision"])
        message, remedy = outcome["message"], outcome["remedy"]
        if outcome["kind"] == "conflict":
            present = outcome["present_revision"]
            return result.Failure(exceptions.ConflictError(message, remedy, present))
        return result.Failure(exceptions.ValidationError(message, remedy))

    async def read_document(self) -> str:
        """Return the text of the newest configuration, empty if it is not sure."""
        answered = await self.control_peers.request("read", {}, READ_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            logging.warning("configuration not read: %s", answered.failure())
            return ""
        revision = answered.unwrap()["revision"]
        if not await self.control_peers.wait_for_revision(revision):
            logging.warning("configuration not read: revision %d is late", revision)
            return ""
        return self.store.document

    async def stop(self) -> None:
        """Stop as planned: hand over the lead, finish open requests, close."""
        logging.info("stopping")
        if self.replica.is_leader:
            await self.replica.transfer_leadership()
        await self._http.stop(STOP_LIMIT_S)
        await self._stop_others()
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
        for _, server in self._others:
            server.stop()
        await self.watchers.stop()
        await self.control_peers.stop()

    async def _stop_others(self) -> None:
        """Answer the open requests of further listeners, within a limit."""
        end = asyncio.get_running_loop().time() + STOP_LIMIT_S
        for _, server in self._others:
            server.drain()
            while server.busy and asyncio.get_running_loop().time() < end:
                await asyncio.sleep(STOP_CHECK_S)

    def dump(self) -> dict[str, Any]:
        """Return the state dump; it holds no secrets."""
        now = asyncio.get_running_loop().time()
        return {
            "name": self._identity.name,
            "role": "control",
            "replica": self.replica.status(),
            "linked_members": self.control_peers.connected,
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

    def _owner_of(self, opened: link.Link) -> link.LinkHandler | None:
        role = opened.peer.role if opened.peer else ""
        owners: dict[str, link.LinkHandler] = {
            "control": self.control_peers,
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
            self.control_peers.set_members(known or bootstrap_members(self._settings))
            await asyncio.sleep(MEMBERS_S)

    async def _report_waiting(self) -> None:
        """Tell the leader of instances that wait and know only this member."""
        while True:
            await asyncio.sleep(MEMBERS_S)
            if self.replica.is_leader:
                continue
            for name, found in self.replica.waiting().items():
                payload = {"name": name, **dataclasses.asdict(found)}
                told = await self.control_peers.request("join", payload, JOIN_LIMIT_S)
                if isinstance(told, result.Failure):
                    logging.warning("%s waits to be added: %s", name, told.failure())

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(self._settings.get("metrics", "interval"))
            self.metrics.gauge("watchers", len(self.watchers))
            self.metrics.gauge("revision", self.store.revision)
            self.metrics.gauge("is_leader", int(self.replica.is_leader))
            self.metrics.report()


Extension = Callable[[Control], list[httpserver.Listener]]


def bootstrap_members(settings: config.Settings) -> dict[str, str]:
    """Return the members that found a fleet, or admit this instance, by name.

    Seeds are known by address only, so their hosts are their names.
    """
    listed = settings.get("control", "members")
    if listed:
        return listed
    seeds = config.replace_port(
        settings.get("control", "seeds"), settings.get("control", "seed_port")
    )
    return {address.rpartition(":")[0]: address for address in seeds}


def make_replica(settings: config.Settings) -> ReplicaFactory:
    """Return a factory of the replica on the data folder; raises StorageError."""
    folder = files.LocalFiles(settings.get("control", "data_folder"))
    kept = storage.RaftStorage(
        folder, settings.get("control", "fleet"), settings.get("control", "name")
    )
    first = bootstrap_members(settings)
    is_joining = settings.get("control", "join")
    if settings.get("control", "name") not in first:
        is_joining = True
    plan = rafttypes.BootstrapConfig(
        first, is_joining, settings.get("control", "listen")
    )
    entries = settings.get("control", "snapshot_entries")

    def create(fleet: store.FleetStore, send: Send) -> replica.Replica:
        return replica.Replica(kept, plan, fleet, send, random.Random(), entries)

    return create


async def serve(settings: config.Settings, extend: Extension | None = None) -> None:
    """Run an instance until SIGTERM or SIGINT; raises StorageError.

    Extend returns further listeners, for interfaces that control does not know.
    """
    secret = _value(config.read_secret(settings))
    operators = _value(credentials.read(settings.get("control", "admin_file")))
    contexts = _value(tls.load(settings))
    control = Control(settings, secret, operators, contexts, make_replica(settings))
    for listener in extend(control) if extend else ():
        control.add(listener)
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
    reloader = reloading.SettingsReloader(settings.file, "control", control.reload)
    reloader.start()
    assert control.running is not None
    waiting = loop.create_task(stopping.wait())
    await asyncio.wait({waiting, control.running}, return_when="FIRST_COMPLETED")
    reloader.stop()
    if control.running.done():
        await control.abort()
        control.running.result()
    await control.stop()


def _value(read: result.Result[Any, exceptions.ToucanfoldError]) -> Any:
    if isinstance(read, result.Failure):
        raise read.failure()
    return read.unwrap()


def run(path: str, extend: Extension | None = None, log_level: str = "info") -> int:
    """Run an instance from its settings file; raises SettingsError, StorageError."""
    settings = _value(config.read(path, "control"))
    stream = decisionlog.TextStream(decisionlog.NonBlockingWriter())
    logs.configure(settings.get("control", "name"), log_level, stream)
    clock.run(serve(settings, extend))
    return 0


def main(arguments: list[str]) -> int:
    """Run the instance until it is told to stop."""
    cmdline.parse_flags(FLAGS, "control", arguments, HELP_TEXT)
    if not FLAGS.settings:
        return cmdline.report_usage_error(
            "no settings file is given", "use --settings=FILE"
        )
    return run(FLAGS.settings, log_level=FLAGS.log_level)
