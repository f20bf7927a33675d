"""Composition root of the daemon that runs beside a target."""

import asyncio
import dataclasses
import gc
import random
import signal
import time
from collections.abc import Callable, Sequence
from typing import Any

from absl import flags, logging
from returns import result

from toucanfold import (
    admission,
    calls,
    clock,
    cmdline,
    config,
    crashes,
    crashguard,
    debughttp,
    decisionlog,
    dependencies,
    dispatch,
    egress,
    entry,
    exceptions,
    forward,
    headerformat,
    holderselection,
    httpclient,
    httpserver,
    interfaces,
    limiter,
    limits,
    link,
    linkcalls,
    logs,
    messages,
    metrics,
    model,
    owner,
    peers,
    plugins,
    pressure,
    ratelimiter,
    registration,
    reloading,
    remotetokens,
    restartwatch,
    retries,
    router,
    targetstatus,
    tls,
    traffic,
    watch,
)

FLAGS = flags.FlagValues()
flags.DEFINE_string("settings", "", "Settings file (INI).", flag_values=FLAGS)
flags.DEFINE_string("log_level", "info", "Lowest level logged.", flag_values=FLAGS)
HELP_TEXT = "Runs the daemon beside a target."

DRAIN_POLL_INTERVAL_S = 0.02
# Minimum time of a drain. Callers' requests and peers' calls that are sent before the
# drain is noticed get a response with Connection: close, or an answer, instead of a
# closed connection.
DRAIN_GRACE_S = 1.0
FLUSH_TIMEOUT_S = 1.0
# Minimum time for each of the final steps when the drain timeout is used up, and the
# number of these steps.
MIN_FINAL_STEP_S = 0.2
FINAL_STEPS = 2
# Time between the end of a planned stop and the end of the platform's grace period.
GRACE_PERIOD_MARGIN_S = 0.5
# Collections of the youngest generation scan only new objects. Long pauses come from
# the oldest generation, so it is collected rarely; objects that exist at the start are
# frozen and not scanned.
GC_THRESHOLDS = (20_000, 20, 100)


class _LateBoundRunner:
    """Runs calls from links; the runner is set once its components exist."""

    def __init__(self) -> None:
        self.runner: linkcalls.CallRunner | None = None

    async def run(self, call: calls.Call) -> calls.Answer:
        """Return the answer of a call that another daemon sent."""
        assert self.runner is not None
        return await self.runner.run(call)


class Daemon:
    """All components of one daemon; source supplies the fleet state from control."""

    def __init__(
        self,
        settings: config.Settings,
        identity: link.Identity,
        source: interfaces.StateSource,
        contexts: tls.Contexts | None = None,
        rng: random.Random | None = None,
        rate: interfaces.RateLimiter | None = None,
        header_format: headerformat.HeaderFormat | None = None,
        target_status: targetstatus.TargetStatus | None = None,
        decision_log: decisionlog.DecisionLog | None = None,
    ):
        self._settings = settings
        self._decision_log = decision_log or decisionlog.NullDecisionLog()
        self._header_format = header_format or headerformat.NativeHeaderFormat()
        self.target_status = target_status or targetstatus.TargetStatus()
        self._identity = identity
        self.source = source
        self._contexts = contexts or tls.Contexts()
        self.rng = rng or random.Random()
        self.metrics = metrics.Metrics(
            settings.get("metrics", "statsd"), settings.get("metrics", "prefix")
        )
        # Service whose calls this daemon accepts.
        self.service: str = self.target_status.service or self._get("service")
        self.tokens = calls.TokenTable()
        # Pressure levels of the downstream services of this daemon's target.
        self.downstream_levels = pressure.DownstreamLevels()
        self._downstream = dependencies.DependencyTracker()
        self.dispatcher = self._make_dispatcher()
        self.crash_ledger = crashes.CrashLedger()
        self.incoming = _LateBoundRunner()
        self.peers = peers.Peers(
            identity,
            self.service,
            self.incoming,
            self._contexts.link_client,
            self._contexts.link_server,
        )
        self._holder_selector = holderselection.HolderSelector(
            identity.region, identity.data_centre, identity.name
        )
        self._rate = self._make_rate_limiter(rate)
        self.router = router.Router(
            identity.name,
            identity.region,
            identity.data_centre,
            self._get("region_budget"),
            self.rng,
        )
        self.crash_guard = crashguard.CrashGuard(
            identity.name,
            self.crash_ledger,
            self.peers,
            self.metrics,
            lambda: source.state.targets_of(self.service),
        )
        self.crash_guard.on_quarantined = source.wake
        self._target_runner = crashguard.SuspectRunner(
            self.crash_guard, self.dispatcher
        )
        # Shared by this daemon's retries and its callers' resends.
        self.budgets = self._make_budgets()
        self.sender = self._make_sender()
        self.peers.crash_reports = self.crash_guard
        self.dispatcher.on_crash = self.crash_guard.on_crash
        self.dispatcher.on_connection_refused = self._on_connection_refused
        self.owner = owner.Owner(
            identity.name, identity.incarnation, self.sender, self.peers
        )
        self.incoming.runner = forward.InboundRunner(self.owner, self._target_runner)
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
            self.downstream_levels,
        )
        self.dispatcher.on_call_aborted = self.egress.on_call_aborted
        self.dispatcher.on_leaving = self._on_target_leaving
        self.callers = httpserver.Server(self.entry, self._limits())
        self.egress_server = httpserver.Server(self.egress, self._limits())
        self.debug_server = httpserver.Server(
            debughttp.DebugHandler(self.dump, self._metrics_text),
            httpserver.Limits(max_body=0),
        )
        self._extra_servers: list[httpserver.Server] = []
        self.registration = self._make_registration()
        self._draining = False
        self._plugin_settings = ("", "", 0, 0)
        self._report_timer: asyncio.TimerHandle | None = None
        self._restart_watch: asyncio.Task[None] | None = None
        self._listening_watch: asyncio.Task[None] | None = None
        source.subscribe(self._on_state)

    @property
    def running(self) -> int:
        """Number of calls that this daemon serves in any role."""
        return self.entry.running + self.egress.running + self.peers.incoming

    async def start(self) -> None:
        """Open all listeners; raises OSError if an address cannot be bound."""
        self._on_state(self.source.state)
        self.dispatcher.start()
        await self.peers.listen(self._get("link_listen"))
        if self._get("egress_listen"):
            await self.egress_server.listen(self._get("egress_listen"))
        await self.debug_server.listen(self._get("debug_listen"))
        await self.callers.listen(self._get("caller_listen"), self._contexts.callers)
        self._report()
        logging.info("serving callers on %s", self._get("caller_listen"))

    @property
    def settings_file(self) -> str:
        """Path of the settings file."""
        return self._settings.file

    def reload(self, settings: config.Settings) -> None:
        """Apply control addresses and service of changed settings.

        Other changes need a restart.
        """
        self.source.set_control_addresses(control_addresses(settings))
        service = settings.get("daemon", "service")
        if service != self.registration.configured_service:
            self.registration.on_settings(time.time(), service)
            self._change_service(service)
            self._apply_target_status()

    async def listen(self, listener: httpserver.Listener) -> None:
        """Open a further listener; raises OSError if its address cannot be bound."""
        server = httpserver.Server(listener.handler, httpserver.Limits())
        await server.listen(self._get(listener.option))
        self._extra_servers.append(server)

    def is_ready(self, now: float) -> bool:
        """Whether callers should send their requests here."""
        is_configured = bool(self.source.state.routes)
        return is_configured and self.source.is_fresh(now) and not self._draining

    async def drain(self) -> None:
        """Refuse new calls and return when accepted ones have finished.

        Callers' requests are still served for drain_serve seconds, since callers and
        load balancers take time to notice that this daemon is no longer ready. Calls
        that still run after drain_timeout seconds are not waited for.
        """
        logging.info("draining")
        self._draining = True
        timeout_s = self._drain_timeout_s()
        serve_s = min(self._get("drain_serve"), timeout_s)
        drain_ends_at = asyncio.get_running_loop().time() + timeout_s
        calls_end_at = drain_ends_at - FINAL_STEPS * MIN_FINAL_STEP_S
        self.entry.calls_end_at = calls_end_at
        self.peers.drain()
        self.callers.drain()
        announcing = asyncio.ensure_future(self.source.drain())
        await asyncio.sleep(serve_s)
        self.entry.stopping = True
        await asyncio.sleep(min(DRAIN_GRACE_S, timeout_s - serve_s))
        timeout_s = max(0.0, calls_end_at - asyncio.get_running_loop().time())
        await asyncio.wait({announcing}, timeout=timeout_s)
        announcing.cancel()
        timeout_s = max(0.0, calls_end_at - asyncio.get_running_loop().time())
        if not await _wait_until(self._is_empty, timeout_s):
            logging.warning(
                "drain timeout reached; closing with %d calls running", self.running
            )
        # The final steps use only what remains of the drain timeout, since a platform
        # kills the process soon after it.
        remaining_s = max(
            MIN_FINAL_STEP_S, drain_ends_at - asyncio.get_running_loop().time()
        )
        flush_timeout_s = min(
            FLUSH_TIMEOUT_S, max(MIN_FINAL_STEP_S, remaining_s - MIN_FINAL_STEP_S)
        )
        servers = (self.callers, self.egress_server, *self._extra_servers)
        await asyncio.gather(*(server.shut_down(flush_timeout_s) for server in servers))
        remaining_s = max(
            MIN_FINAL_STEP_S, drain_ends_at - asyncio.get_running_loop().time()
        )
        await self.source.leave(remaining_s)
        logging.info("drained")

    def _drain_timeout_s(self) -> float:
        grace_s = self._get("grace_period")
        if grace_s:
            return max(DRAIN_GRACE_S, grace_s - GRACE_PERIOD_MARGIN_S)
        return self._get("drain_timeout")

    def stop(self) -> None:
        """Close all listeners and connections at once."""
        servers = (self.callers, self.egress_server, self.debug_server)
        for server in (*servers, *self._extra_servers):
            server.stop()
        self.peers.stop()
        self.dispatcher.stop()
        for watching in (self._restart_watch, self._listening_watch):
            if watching is not None:
                watching.cancel()
        if self._report_timer is not None:
            self._report_timer.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the daemon's state for the debug listener."""
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
                "stated_rate": self.dispatcher.stated_rate,
                "connections": len(self.dispatcher.pool),
                "idle_connections": self.dispatcher.pool.idle,
            },
            "crashes": {
                "suspects": self.crash_ledger.suspected,
                "quarantined": self.crash_ledger.quarantined,
            },
            "links": self.peers.dump(),
            "sent": self._identity.sent.dump(),
            "routing": self.router.describe(asyncio.get_running_loop().time()),
            "plugins": [module.__name__ for module in plugins.MODULES],
            "metrics": self.metrics.dump(),
        }

    def _metrics_text(self) -> tuple[bytes, bytes]:
        # Imported on first use, since most daemons report to statsd only.
        from toucanfold import exposition

        now = asyncio.get_running_loop().time()
        gauges = {
            "running": self.running,
            "in_flight": self.dispatcher.in_flight,
            "queued": self.dispatcher.queued,
            "limit": self.dispatcher.limit,
            "level": self.dispatcher.level,
            "stated_rate": self.dispatcher.stated_rate or 0.0,
            "target_connections": len(self.dispatcher.pool),
            "links": len(self.peers.dump()),
            "suspects": self.crash_ledger.suspected,
            "quarantined": self.crash_ledger.quarantined,
            "caller_connections": len(self.callers),
            "revision": self.source.state.revision,
            "fresh": int(self.source.is_fresh(now)),
        }
        for scope in traffic.SCOPES:
            gauges[f"sent_bytes_{scope}"] = self._identity.sent.sent_bytes(scope)
        return exposition.CONTENT_TYPE, exposition.render(self.metrics.dump(), gauges)

    def _is_empty(self) -> bool:
        has_no_calls = not self.running and not self.callers.busy
        return has_no_calls and self.owner.is_idle and not self._has_slots()

    def _has_slots(self) -> bool:
        """Whether this daemon has slots that another daemon could take over."""
        name, incarnation = self._identity.name, self._identity.incarnation
        state = self.source.state
        if not self.source.is_fresh(asyncio.get_running_loop().time()):
            # Control cannot be reached, so no slot can be handed over.
            return False
        others = {
            target.name
            for target in state.targets_of(self.service)
            if target.state == "up" and target.name != name
        }
        this_daemon = (name, incarnation)
        # The owner of a slot cannot be its backup, so a backup needs a third daemon.
        return any(
            (bool(others) and (slot.owner, slot.owner_incarnation) == this_daemon)
            or (
                bool(others - {slot.owner})
                and (slot.backup, slot.backup_incarnation) == this_daemon
            )
            for slot in state.slots.values()
        )

    def _knows_service(self, service: str) -> bool:
        """Whether a target may be one of this service.

        Services are named by the settings, declared, or called by a route.
        """
        state = self.source.state
        return (
            service in (self.service, self.registration.configured_service)
            or service in state.services
            or any(service in route.services for route in state.routes.values())
        )

    def _apply_target_status(self) -> None:
        status = self.target_status
        self._change_service(status.service or self.service)
        configured_service = self.registration.configured_service
        if configured_service == self.service:
            configured_service = ""
        self.source.set_service(self.service, configured_service)
        self.dispatcher.on_target_status()
        if self.registration.is_restored:
            self.source.set_ready(status.accepts_calls, status.label, status.departed)

    def _change_service(self, service: str) -> None:
        """Serve a target of another service, which uses the target's address now."""
        if service == self.service:
            return
        logging.warning(
            "the target is one of %s instead of %s; the newest known is %s",
            service,
            self.service,
            self.target_status.label,
        )
        self.service = self.peers.service = self.entry.service = service
        self._apply_service_options(self.source.state)

    def _on_target_leaving(self) -> None:
        self._apply_target_status()
        if self.target_status.awaits_restart and self._restart_watch is None:
            self._restart_watch = asyncio.get_running_loop().create_task(
                self._wait_for_restart()
            )

    async def _wait_for_restart(self) -> None:
        await restartwatch.wait_for_restart(self._get("target_address"))
        logging.info("the target has restarted")
        self._restart_watch = None
        self.target_status.on_restarted()
        self._apply_target_status()

    def _on_connection_refused(self) -> None:
        self._apply_target_status()
        if self._listening_watch is None:
            self._listening_watch = asyncio.get_running_loop().create_task(
                self._wait_until_listening()
            )

    async def _wait_until_listening(self) -> None:
        await restartwatch.wait_until_listening(self._get("target_address"))
        logging.info("the target listens again")
        self._listening_watch = None
        self.target_status.on_listening()
        self._apply_target_status()

    def complete_copies(self) -> list[messages.SlotMark]:
        """Return the slots of which this daemon, as backup, has a complete copy."""
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
            limiter.DeliveryRate(),
            admission.FairQueue(),
            self.downstream_levels,
            self._header_format,
            self.target_status,
            self._downstream,
        )

    def _make_rate_limiter(
        self, local: interfaces.RateLimiter | None
    ) -> interfaces.RateLimiter | None:
        if local is None:
            return None
        delegating = remotetokens.DelegatingRateLimiter(
            local, self._holder_selector, self.peers, self.metrics
        )
        self.peers.account_tokens = delegating
        return delegating

    def _make_budgets(self) -> retries.RetryBudgets:
        fraction = self._get("repeat_part")
        if not fraction:
            return retries.RetryBudgets()
        earned = retries.USED_REPEAT_FRACTION * fraction
        return retries.RetryBudgets(earned, capacity=1.0, start=0.0)

    def _make_registration(self) -> registration.Registration:
        identity = self._identity
        return registration.Registration(
            (identity.name, identity.incarnation),
            (self._get("target_address"), identity.data_centre),
            self._get("service"),
            self.target_status,
            self.source,
            self._knows_service,
            self._apply_target_status,
        )

    def _make_sender(self) -> forward.RetryingSender:
        self.peers.on_link = self.router.on_link
        return forward.RetryingSender(
            self._identity.name,
            self.router,
            self.budgets,
            self._target_runner,
            self.peers,
            lambda: self.source.state,
            decision_log=self._decision_log,
            guard=self.crash_guard,
        )

    def _make_entry(self) -> entry.Entry:
        return entry.Entry(
            self.source,
            self._identity.secret,
            self.forwarder,
            self.metrics,
            self.rng,
            levels=pressure.EntryLevels(),
            rate=self._rate,
            budgets=self.budgets,
            serve_open_when_stale=self._get("serve_open_when_stale"),
            header_format=self._header_format,
            service=self.service,
            decision_log=self._decision_log,
            downstream=self._downstream,
            usual_time_s=self.sender.usual_time_s,
        )

    def _on_state(self, state: model.FleetState) -> None:
        """Apply a new fleet state."""
        now = asyncio.get_running_loop().time()
        if self.registration.on_state(now, time.time()):
            self._on_target_leaving()
        self.crash_guard.on_recorded(state.quarantined_digests())
        self.router.update(now, state)
        self._holder_selector.on_state(state)
        self.owner.on_state(now, state)
        self.callers.limits = caller_limits(self._limits(), state.configuration)
        if self._get("repeat_part"):
            alive = [
                item
                for item in state.targets.values()
                if item.state in model.ALIVE_STATES
            ]
            self.budgets.share(self._get("repeat_calls"), len(alive))
        self._apply_service_options(state)

    def _apply_service_options(self, state: model.FleetState) -> None:
        """Apply what the fleet state says of the service of this daemon's target.

        The most important profile of this service selects the plug-ins.
        """
        declared = state.services.get(self.service)
        if declared is not None:
            self.dispatcher.pool.limit = declared.max_connections
        profile = _most_important_profile(state, self.service)
        if profile is None:
            return
        plugins = (
            profile.limiter,
            profile.admission,
            profile.queue_ms,
            profile.queue_length,
        )
        if plugins != self._plugin_settings:
            self._plugin_settings = plugins
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
        self._report_timer = loop.call_later(interval_s, self._report)


def caller_limits(
    limits: httpserver.Limits, configuration: model.Configuration | None
) -> httpserver.Limits:
    """Return limits, replaced by those that the configuration sets."""
    if configuration is None:
        return limits
    return dataclasses.replace(
        limits,
        max_header=configuration.max_header or limits.max_header,
        max_body=configuration.max_body or limits.max_body,
        header_timeout_s=configuration.header_timeout_ms / 1000
        or limits.header_timeout_s,
        idle_timeout_s=configuration.idle_timeout_ms / 1000 or limits.idle_timeout_s,
    )


async def _wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    loop = asyncio.get_running_loop()
    limit = loop.time() + timeout_s
    while not condition():
        if loop.time() >= limit:
            return False
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    return True


def _most_important_profile(
    state: model.FleetState, service: str
) -> model.Profile | None:
    """Return the most important profile of a service, which selects the plug-ins."""
    profile_names = {
        route.profile for route in state.routes.values() if service in route.services
    }
    profiles = [
        state.profiles[name] for name in profile_names if name in state.profiles
    ]
    return min(profiles, key=lambda item: (item.rank, item.name), default=None)


def tune_garbage_collector() -> None:
    """Reduce the pauses that the garbage collector causes."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def control_addresses(settings: config.Settings) -> list[str]:
    """Return the link addresses of the control instances."""
    return config.replace_port(
        settings.get("daemon", "control"), settings.get("daemon", "control_port")
    )


async def serve(daemon: Daemon, listeners: Sequence[httpserver.Listener] = ()) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await daemon.start()
    for listener in listeners:
        await daemon.listen(listener)
    tune_garbage_collector()
    reloader = reloading.SettingsReloader(daemon.settings_file, "daemon", daemon.reload)
    reloader.start()
    try:
        await stop.wait()
        reloader.stop()
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
    setup: Setup, identity: link.Identity, holder: limits.ShareHolder
) -> watch.WatchClient:
    """Return a watch on the fleet state that announces the daemon's target."""
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
    addresses = control_addresses(settings)
    return watch.WatchClient(
        identity, addresses, announcement, holder, contexts.link_client
    )


def make(
    setup: Setup,
    header_format: headerformat.HeaderFormat | None = None,
    target_status: targetstatus.TargetStatus | None = None,
    decision_log: decisionlog.DecisionLog | None = None,
) -> Daemon:
    """Return a daemon whose watch has started; needs a running event loop."""
    settings, secret, contexts = setup
    identity = identity_of(settings, secret)
    holder = limits.ShareHolder()
    source = make_watch(setup, identity, holder)
    rate = ratelimiter.AccountRateLimiter(holder, source.ping_soon)
    # The daemon announces the target once it knows what earlier incarnations recorded.
    source.withhold_announcement()
    source.start()
    daemon = Daemon(
        settings,
        identity,
        source,
        contexts,
        rate=rate,
        header_format=header_format,
        target_status=target_status,
        decision_log=decision_log,
    )
    source.complete_copies = daemon.complete_copies
    source.quarantined = daemon.crash_guard.unrecorded
    return daemon


def run(
    path: str,
    header_format: headerformat.HeaderFormat | None = None,
    require_announcement: bool = False,
    extend: Callable[[Daemon], list[httpserver.Listener]] | None = None,
    log_level: str = "info",
) -> int:
    """Run a daemon from its settings file; raises SettingsError.

    extend returns further listeners, such as those of a platform adapter.
    """
    loaded = load(path)
    if isinstance(loaded, result.Failure):
        raise loaded.failure()
    setup = loaded.unwrap()
    name = setup[0].get("daemon", "name")
    writer = decisionlog.NonBlockingWriter()
    logs.configure(name, log_level, decisionlog.TextStream(writer))

    async def start() -> None:
        target_status = (
            targetstatus.TargetStatus(require_announcement)
            if require_announcement
            else None
        )
        decision_log = decisionlog.DecisionLog(name, writer)
        daemon = make(setup, header_format, target_status, decision_log)
        await serve(daemon, extend(daemon) if extend else [])

    clock.run(start())
    return 0


def main(arguments: list[str]) -> int:
    """Run a daemon from its settings file; return the exit status."""
    cmdline.parse_flags(FLAGS, "daemon", arguments, HELP_TEXT)
    if not FLAGS.settings:
        return cmdline.report_usage_error(
            "no settings file is given", "set --settings=FILE"
        )
    return run(FLAGS.settings, log_level=FLAGS.log_level)
