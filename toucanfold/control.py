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
    members,
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
flags.DEFINE_string(
    "log_level", "info", "Lowest level that is logged.", flag_values=FLAGS
)
MEMBERS_INTERVAL_S = 0.5
JOIN_TIMEOUT_S = 1.0
# Maximum time for the open requests of each kind of listener in a planned stop, so that
# the complete stop takes less than 6 s.
STOP_TIMEOUT_S = 2.0
HELP_TEXT = "Runs a control instance until SIGTERM."

# Maximum time for a change or a read of the configuration to reach a leader. After it,
# the caller asks another instance.
CONFIGURATION_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 1.0

Send = Callable[[str, messages.Raft], bool]
ReplicaFactory = Callable[[store.FleetStore, Send], Any]


class Control:
    """One control instance: consensus, watch server and operators' API."""

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
        self._extension_servers: list[tuple[str, httpserver.Server]] = []
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
        # Done only when the disk fails or the instance stops.
        self.running: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and connect to the members; OSError if an address is in use."""
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
        for address, server in self._extension_servers:
            await server.listen(address)
        loop = asyncio.get_running_loop()
        self.running = loop.create_task(self.replica.run())
        self._tasks = [
            self.running,
            loop.create_task(self.leadership.run()),
            loop.create_task(self._maintain_member_links()),
            loop.create_task(self._report_pending_joins()),
            loop.create_task(self._report_metrics()),
        ]

    def reload(self, settings: config.Settings) -> None:
        """Apply changed seeds; all other settings need a restart."""
        self._settings = settings
        self.replica.set_contacts(bootstrap_members(settings))

    def add(self, listener: httpserver.Listener) -> None:
        """Add a listener, which is opened by start."""
        address = self._settings.get("control", listener.option)
        server = httpserver.Server(listener.handler, httpserver.Limits())
        self._extension_servers.append((address, server))

    async def replace_configuration(
        self, command: commands.ReplaceConfiguration
    ) -> result.Result[int, exceptions.ToucanfoldError]:
        """Put a configuration in force and return the revision.

        Fails with ConflictError if its base is not the version in force, with
        ValidationError if it is invalid, and with other errors if the outcome is
        unknown.
        """
        answered = await self.control_peers.submit(command, CONFIGURATION_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            logging.warning(
                "outcome of configuration %d (base %d) is unknown: %s",
                command.version,
                command.base,
                answered.failure(),
            )
            return answered
        outcome = answered.unwrap()["outcome"]
        logging.info(
            "configuration %d (base %d): %s",
            command.version,
            command.base,
            "in force" if outcome["ok"] else outcome["message"],
        )
        if outcome["ok"]:
            return result.Success(outcome["revision"])
        message, remedy = outcome["message"], outcome["remedy"]
        if outcome["kind"] == "conflict":
            current_revision = outcome["present_revision"]
            return result.Failure(
                exceptions.ConflictError(message, remedy, current_revision)
            )
        return result.Failure(exceptions.ValidationError(message, remedy))

    async def read_document(self) -> str:
        """Return the text of the newest configuration, empty if not confirmed."""
        answered = await self.control_peers.request("read", {}, READ_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            logging.warning("configuration not read: %s", answered.failure())
            return ""
        revision = answered.unwrap()["revision"]
        if not await self.control_peers.wait_for_revision(revision):
            logging.warning(
                "configuration not read: revision %d is not applied here yet", revision
            )
            return ""
        return self.store.document

    async def stop(self) -> None:
        """Transfer leadership, finish open requests and close everything."""
        logging.info("stopping: finishing open requests")
        if self.replica.is_leader:
            await self.replica.transfer_leadership()
        await asyncio.gather(
            self._http.stop(STOP_TIMEOUT_S),
            *(
                server.shut_down(STOP_TIMEOUT_S)
                for _, server in self._extension_servers
            ),
        )
        if self._server is not None:
            self._server.close()
        await self.watchers.stop()
        await self.abort()

    async def abort(self) -> None:
        """Close everything without transferring leadership."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        await self._http.stop(0)
        for _, server in self._extension_servers:
            server.stop()
        await self.watchers.stop()
        await self.control_peers.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state dump, which contains no secrets."""
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
            "sent": self._identity.sent.dump(),
            "metrics": self.metrics.dump(),
        }

    def on_open(self, opened: link.Link) -> None:
        """Pass a new link to the component that handles its peer's role."""
        owner = self._link_owner_of(opened)
        if owner is None:
            opened.close("links of this role are not accepted here")
        else:
            owner.on_open(opened)

    def on_message(self, source: link.Link, message: messages.Message) -> None:
        """Pass a message to the component that handles its sender's role."""
        owner = self._link_owner_of(source)
        if owner is not None:
            owner.on_message(source, message)

    def on_close(self, closed: link.Link, reason: str) -> None:
        """Notify the component that handles the role of the link's peer."""
        owner = self._link_owner_of(closed)
        if owner is not None:
            owner.on_close(closed, reason)

    def _link_owner_of(self, opened: link.Link) -> link.LinkHandler | None:
        role = opened.peer.role if opened.peer else ""
        owners: dict[str, link.LinkHandler] = {
            "control": self.control_peers,
            "daemon": self.watchers,
        }
        return owners.get(role)

    async def _maintain_member_links(self) -> None:
        while True:
            addresses = link_addresses(
                self._settings, self.replica.membership(), self.replica.leader
            )
            self.control_peers.set_members(addresses)
            await asyncio.sleep(MEMBERS_INTERVAL_S)

    async def _report_pending_joins(self) -> None:
        """Report pending joins to the leader, as joiners may know only this member."""
        while True:
            await asyncio.sleep(MEMBERS_INTERVAL_S)
            if self.replica.is_leader:
                continue
            for name, pending in self.replica.waiting().items():
                payload = {"name": name, **dataclasses.asdict(pending)}
                reported = await self.control_peers.request(
                    "join", payload, JOIN_TIMEOUT_S
                )
                if isinstance(reported, result.Failure):
                    logging.warning(
                        "pending join of %s not reported to the leader: %s",
                        name,
                        reported.failure(),
                    )

    async def _report_metrics(self) -> None:
        while True:
            await asyncio.sleep(self._settings.get("metrics", "interval"))
            self.metrics.gauge("watchers", len(self.watchers))
            self.metrics.gauge("revision", self.store.revision)
            self.metrics.gauge("is_leader", int(self.replica.is_leader))
            self.metrics.report()


Extension = Callable[[Control], list[httpserver.Listener]]


def bootstrap_members(settings: config.Settings) -> dict[str, str]:
    """Return the members that bootstrap a fleet or admit this instance, by name.

    Seeds are configured by address only, so their hosts serve as names.
    """
    listed = settings.get("control", "members")
    if listed:
        return listed
    seeds = config.replace_port(
        settings.get("control", "seeds"), settings.get("control", "seed_port")
    )
    return {address.rpartition(":")[0]: address for address in seeds}


def link_addresses(
    settings: config.Settings, membership: members.Membership, leader: str | None
) -> dict[str, str]:
    """Return the addresses of the instances to link to, by name.

    These are the members, and those of the settings until a known member leads: all
    members that this instance knows may have been replaced.
    """
    addresses = {member.name: member.address for member in membership.members}
    if leader in addresses:
        return addresses
    return bootstrap_members(settings) | addresses


def make_replica(settings: config.Settings) -> ReplicaFactory:
    """Return a factory of the replica on the data directory; raises StorageError."""
    folder = files.LocalFiles(settings.get("control", "data_folder"))
    raft_storage = storage.RaftStorage(
        folder, settings.get("control", "fleet"), settings.get("control", "name")
    )
    first_members = bootstrap_members(settings)
    is_joining = settings.get("control", "join")
    if settings.get("control", "name") not in first_members:
        is_joining = True
    plan = rafttypes.BootstrapConfig(
        first_members, is_joining, settings.get("control", "listen")
    )
    entries = settings.get("control", "snapshot_entries")

    def create(fleet: store.FleetStore, send: Send) -> replica.Replica:
        return replica.Replica(
            raft_storage, plan, fleet, send, random.Random(), entries
        )

    return create


async def serve(settings: config.Settings, extend: Extension | None = None) -> None:
    """Run an instance until SIGTERM or SIGINT; raises StorageError.

    extend returns listeners to add, for interfaces outside this module.
    """
    # Before the stored state is read, which may take long.
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    secret = _value_or_raise(config.read_secret(settings))
    operators = _value_or_raise(credentials.read(settings.get("control", "admin_file")))
    contexts = _value_or_raise(tls.load(settings))
    control = Control(settings, secret, operators, contexts, make_replica(settings))
    for listener in extend(control) if extend else ():
        control.add(listener)
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


def _value_or_raise(read: result.Result[Any, exceptions.ToucanfoldError]) -> Any:
    if isinstance(read, result.Failure):
        raise read.failure()
    return read.unwrap()


def run(path: str, extend: Extension | None = None, log_level: str = "info") -> int:
    """Run an instance from its settings file; raises SettingsError, StorageError."""
    settings = _value_or_raise(config.read(path, "control"))
    stream = decisionlog.TextStream(decisionlog.NonBlockingWriter())
    logs.configure(settings.get("control", "name"), log_level, stream)
    clock.run(serve(settings, extend))
    return 0


def main(arguments: list[str]) -> int:
    """Run the instance until SIGTERM or SIGINT."""
    cmdline.parse_flags(FLAGS, "control", arguments, HELP_TEXT)
    if not FLAGS.settings:
        return cmdline.report_usage_error(
            "no settings file is given", "use --settings=FILE"
        )
    return run(FLAGS.settings, log_level=FLAGS.log_level)
