"""Composition root of the daemon beside a target."""

import asyncio
import gc
import random
import signal
from collections.abc import Callable
from typing import Any

from absl import flags, logging
from returns import result

from toucanfold import (
    admission,
    calls,
    cmdline,
    config,
    debughttp,
    dispatch,
    egress,
    entry,
    exceptions,
    forward,
    httpclient,
    httpserver,
    limiter,
    limits,
    link,
    linkcalls,
    logs,
    messages,
    metrics,
    model,
    owner,
    parts,
    peers,
    plugins,
    pressure,
    retries,
    router,
    spending,
    tls,
    watch,
)

FLAGS = flags.FlagValues()
flags.DEFINE_string("settings", "", "Settings file (INI).", flag_values=FLAGS)
flags.DEFINE_string("log_level", "info", "Lowest level logged.", flag_values=FLAGS)
TEXT = "Runs the daemon beside a target."

DRAIN_CHECK_S = 0.02
# Shortest drain. Requests and calls that callers and peers send before they notice
# the drain get an answer with Connection: close instead of a closed connection.
DRAIN_NOTICE_S = 1.0
FLUSH_LIMIT_S = 1.0
# Collections of the youngest generation walk only new objects; the pauses come from
# the oldest one, which is made rare and does not walk what exists at the start.
GC_THRESHOLDS = (20_000, 20, 100)


class _Incoming:
    """Runs calls from links; the runner is set once the parts exist."""

    def __init__(self) -> None:
        self.runner: linkcalls.CallRunner | None = None

    async def run(self, call: calls.Call) -> calls.Answer:
        """Return the answer of a call that another daemon sent."""
        assert self.runner is not None
        return await self.runner.run(call)


class Daemon:
    """All parts of one daemon; source stands for its connection to control."""

    def __init__(
        self,
        settings: config.Settings,
        identity: link.Identity,
        source: parts.StateSource,
        contexts: tls.Contexts | None = None,
        rng: random.Random | None = None,
        rate: parts.Rate | None = None,
    ):
        self._settings = settings
        self._identity = identity
        self.source = source
        self._rate = rate
        self._contexts = contexts or tls.Contexts()
        self.rng = rng or random.Random()
        self.metrics = metrics.Metrics(
            settings.get("metrics", "statsd"), settings.get("metrics", "prefix")
        )
        self.service: str = self._get("service")
        self.tokens = calls.TokenTable()
        # Levels of the services that this daemon's target calls.
        self.learnt = pressure.LearntLevels()
        self.dispatcher = self._make_dispatcher()
        self.incoming = _Incoming()
        self.peers = peers.Peers(
            identity,
            self.service,
            self.incoming,
            self._contexts.link_client,
            self._contexts.link_server,
        )
        self.router = router.Router(
            identity.name,
            identity.region,
            identity.data_centre,
            self._get("region_budget"),
            self.rng,
        )
        # Spent by this daemon's own retries and by its callers' resends.
        self.budgets = retries.Budgets()
        self.sender = self._make_sender()
        self.owner = owner.Owner(
            identity.name, identity.incarnation, self.sender, self.peers
        )
        self.incoming.runner = forward.Local(self.owner, self.dispatcher)
        self.peers.owner = self.owner
        self.forwarder = forward.Forwarder(
            identity.name,
            self.sender,
            self.owner,
            self.peers,
            self.router,
            lambda: self.source.state,
        )
        self.entry = self._make_entry()
        self.egress = egress.Egress(
            source,
            self.tokens,
            self.forwarder,
            self.metrics,
            self._get("max_depth"),
            self.learnt,
        )
        self.dispatcher.on_abandoned = self.egress.on_abandoned
        self.callers = httpserver.Server(self.entry, self._limits())
        self.egress_server = httpserver.Server(self.egress, self._limits())
        self.debug_server = httpserver.Server(
            debughttp.DebugHandler(self.dump), httpserver.Limits(max_body=0)
        )
        self._plugins = ("", "", 0, 0)
        self._reporter: asyncio.TimerHandle | None = None
        source.subscribe(self._on_state)

    @property
    def running(self) -> int:
        """Number of calls that this daemon serves in any role."""
        return self.entry.running + self.egress.running + self.peers.incoming

    async def start(self) -> None:
        """Open all listeners; OSError if an address cannot be bound."""
        self._on_state(self.source.state)
        self.dispatcher.start()
        await self.peers.listen(self._get("link_listen"))
        await self.egress_server.listen(self._get("egress_listen"))
        await self.debug_server.listen(self._get("debug_listen"))
        await self.callers.listen(self._get("caller_listen"), self._contexts.callers)
        self._report()
        logging.info("serving callers on %s", self._get("caller_listen"))

    async def drain(self) -> None:
        """Refuse new calls, finish accepted ones, and return when empty."""
        logging.info("draining")
        await self.source.drain()
        self.entry.stopping = True
        self.callers.drain()
        self.peers.drain()
        limit_s = self._get("drain_timeout")
        await asyncio.sleep(min(DRAIN_NOTICE_S, limit_s))
        if not await _wait_until(self._is_empty, limit_s):
            logging.warning(
                "the drain timeout ended with %d calls running", self.running
            )
        self.callers.close_idle()
        await _wait_until(lambda: not len(self.callers), FLUSH_LIMIT_S)
        await self.source.leave()
        logging.info("drained")

    def stop(self) -> None:
        """Close all listeners and connections at once."""
        for server in (self.callers, self.egress_server, self.debug_server):
            server.stop()
        self.peers.stop()
        self.dispatcher.stop()
        if self._reporter is not None:
            self._reporter.cancel()

    def dump(self) -> dict[str, Any]:
        """Return all state for the debug listener."""
        return {
            "daemon": {
                "name": self._identity.name,
                "service": self.service,
                "incarnation": self._identity.incarnation,
                "stopping": self.entry.stopping,
            },
            "fleet": {
                "revision": self.source.state.revision,
                "fresh": self.source.is_fresh(asyncio.get_running_loop().time()),
            },
            "callers": {
                "connections": len(self.callers),
                "running": self.entry.running,
                "broken_requests": self.callers.refused,
            },
            "egress": {
                "connections": len(self.egress_server),
                "running": self.egress.running,
                "tokens": len(self.tokens),
            },
            "target": {
                "in_flight": self.dispatcher.in_flight,
                "queued": self.dispatcher.queued,
                "limit": self.dispatcher.limit,
                "level": self.dispatcher.level,
                "connections": len(self.dispatcher.pool),
                "idle_connections": self.dispatcher.pool.idle,
            },
            "links": self.peers.dump(),
            "routing": self.router.describe(asyncio.get_running_loop().time()),
            "plugins": [module.__name__ for module in plugins.MODULES],
            "metrics": self.metrics.dump(),
        }

    def _is_empty(self) -> bool:
        is_served = not self.running and not self.callers.busy
        return is_served and self.owner.is_idle and not self._has_slots()

    def _has_slots(self) -> bool:
        """Whether slots still name this daemon although others could take them."""
        name, incarnation = self._identity.name, self._identity.incarnation
        state = self.source.state
        if not self.source.is_fresh(asyncio.get_running_loop().time()):
            # Control cannot be reached, so nothing can be handed over.
            return False
        others = {
            target.name
            for target in state.targets_of(self.service)
            if target.state == "up" and target.name != name
        }
        me = (name, incarnation)
        # The owner of a slot cannot back it up, so a backup needs a third daemon.
        return any(
            (bool(others) and (slot.owner, slot.owner_incarnation) == me)
            or (
                bool(others - {slot.owner})
                and (slot.backup, slot.backup_incarnation) == me
            )
            for slot in state.slots.values()
        )

    def complete_copies(self) -> list[messages.SlotMark]:
        """Return the slots of which this daemon, as backup, has a whole copy."""
        return [
            messages.SlotMark(number, epoch)
            for service, number, epoch in self.owner.complete_copies()
            if service == self.service
        ]

    def _get(self, name: str) -> Any:
        return self._settings.get("daemon", name)

    def _limits(self) -> httpserver.Limits:
        return httpserver.Limits(
            max_header=self._get("max_header"),
            max_body=self._get("max_body"),
            header_timeout_s=self._get("header_timeout"),
            body_timeout_s=self._get("body_timeout"),
            idle_timeout_s=self._get("idle_timeout"),
            max_connections=self._get("max_connections"),
        )

    def _make_dispatcher(self) -> dispatch.Dispatcher:
        pool = httpclient.Pool(
            self._get("target_address"), self._get("target_connections")
        )
        return dispatch.Dispatcher(
            pool,
            self.tokens,
            self.metrics,
            limiter.Delivery(),
            admission.Fair(),
            self.learnt,
        )

    def _make_sender(self) -> forward.Sender:
        self.peers.on_link = self.router.on_link
        return forward.Sender(
            self._identity.name,
            self.router,
            self.budgets,
            self.dispatcher,
            self.peers,
            lambda: self.source.state,
        )

    def _make_entry(self) -> entry.Entry:
        return entry.Entry(
            self.source,
            self._identity.secret,
            self.forwarder,
            self.metrics,
            self.rng,
            levels=pressure.LearntLevels(),
            rate=self._rate,
            budgets=self.budgets,
            serve_open_when_stale=self._get("serve_open_when_stale"),
        )

    def _on_state(self, state: model.FleetState) -> None:
        """Follow the directory and the plug-ins of the most important profile."""
        now = asyncio.get_running_loop().time()
        self.router.update(now, state)
        self.owner.on_state(now, state)
        profile = _leading_profile(state, self.service)
        if profile is None:
            return
        plugins = (
            profile.limiter,
            profile.admission,
            profile.queue_ms,
            profile.queue_length,
        )
        if plugins != self._plugins:
            self._plugins = plugins
            self.dispatcher.replace(*dispatch.create_plugins(profile))

    def _report(self) -> None:
        """Send the counters and gauges to statsd."""
        self.metrics.gauge("running", self.running)
        self.metrics.gauge("in_flight", self.dispatcher.in_flight)
        self.metrics.gauge("queued", self.dispatcher.queued)
        self.metrics.gauge("limit", self.dispatcher.limit)
        self.metrics.report()
        interval_s = self._settings.get("metrics", "interval")
        loop = asyncio.get_running_loop()
        self._reporter = loop.call_later(interval_s, self._report)


async def _wait_until(condition: Callable[[], bool], limit_s: float) -> bool:
    loop = asyncio.get_running_loop()
    limit = loop.time() + limit_s
    while not condition():
        if loop.time() >= limit:
            return False
        await asyncio.sleep(DRAIN_CHECK_S)
    return True


def _leading_profile(state: model.FleetState, service: str) -> model.Profile | None:
    """Return the most important profile of a service: it names the plug-ins."""
    named = {
        route.profile for route in state.routes.values() if route.service == service
    }
    found = [state.profiles[name] for name in named if name in state.profiles]
    return min(found, key=lambda item: (item.rank, item.name), default=None)


def tune_collector() -> None:
    """Keep the garbage collector from pausing calls for long."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def serve(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await daemon.start()
    tune_collector()
    try:
        await stop.wait()
        await daemon.drain()
    finally:
        daemon.stop()


Setup = tuple[config.Settings, bytes, tls.Contexts]


def load(path: str) -> result.Result[Setup, exceptions.SettingsError]:
    """Read the settings file, the fleet secret and the certificates."""
    read = config.read(path, "daemon")
    if isinstance(read, result.Failure):
        return read
    settings = read.unwrap()
    secret = config.read_secret(settings)
    if isinstance(secret, result.Failure):
        return secret
    contexts = tls.load(settings)
    if isinstance(contexts, result.Failure):
        return contexts
    return result.Success((settings, secret.unwrap(), contexts.unwrap()))


def identity_of(settings: config.Settings, secret: bytes) -> link.Identity:
    """Return the identity of a new incarnation of a daemon."""
    return link.Identity(
        settings.get("daemon", "fleet"),
        secret,
        "daemon",
        settings.get("daemon", "name"),
        watch.new_incarnation(),
        settings.get("daemon", "region"),
        settings.get("daemon", "data_centre"),
    )


def make_watch(
    setup: Setup, identity: link.Identity, holder: limits.Holder
) -> watch.Watch:
    """Return the watch that announces the target of a daemon."""
    settings, _, contexts = setup
    announcement = messages.Announcement(
        name=identity.name,
        incarnation=identity.incarnation,
        service=settings.get("daemon", "service"),
        region=identity.region,
        data_centre=identity.data_centre,
        link_address=settings.get("daemon", "link_advertise")
        or settings.get("daemon", "link_listen"),
    )
    addresses = settings.get("daemon", "control")
    return watch.Watch(identity, addresses, announcement, holder, contexts.link_client)


def main(arguments: list[str]) -> int:
    """Run a daemon from its settings file; return the exit status."""
    cmdline.parse(FLAGS, "daemon", arguments, TEXT)
    if not FLAGS.settings:
        return cmdline.fail("no settings file is given", "set --settings=FILE")
    loaded = load(FLAGS.settings)
    if isinstance(loaded, result.Failure):
        raise loaded.failure()
    setup = loaded.unwrap()
    settings, secret, contexts = setup
    logs.set_up(settings.get("daemon", "name"), FLAGS.log_level)
    identity = identity_of(settings, secret)

    async def run() -> None:
        holder = limits.Holder()
        source = make_watch(setup, identity, holder)
        rate = spending.Spender(holder, source.ping_soon)
        source.start()
        daemon = Daemon(settings, identity, source, contexts, rate=rate)
        source.complete_copies = daemon.complete_copies
        await serve(daemon)

    asyncio.run(run())
    return 0
