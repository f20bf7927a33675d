"""Holds back requests under which targets ended, at entries and beside targets."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from absl import logging

from toucanfold import bodies, calls, crashes, linkcalls, messages, metrics, model

# Longest wait of a suspect for the one that runs at the target, and the fraction of
# its remaining time that it may use.
MAX_SUSPECT_WAIT_S = 0.5
MAX_SUSPECT_WAIT_FRACTION = 0.25
RETRY_AFTER_MS = 500
EXPIRY_INTERVAL_S = 5.0
# Daemons of each other region that get a report and pass it on; one may be lost.
RELAYS_PER_REGION = 2


class Links(Protocol):
    """Links to other daemons; implemented by peers.Peers."""

    def broadcast(self, message: messages.Message) -> None:
        """Send a message over all open links."""

    def post(self, target: model.Target, message: messages.Message) -> None:
        """Send a message to one daemon, opening a link if there is none."""


class CrashGuard:
    """Shares what is known of crashes, and refuses quarantined requests.

    A report goes to all daemons of the service in the own region, and to
    RELAYS_PER_REGION daemons of each other region, which pass it on there.
    """

    __slots__ = (
        "_ledger",
        "_links",
        "_loop",
        "_metrics",
        "_name",
        "_next_expiry_at",
        "_targets_of_service",
        "on_quarantined",
    )

    def __init__(
        self,
        name: str,
        ledger: crashes.CrashLedger,
        links: Links,
        measured: metrics.Metrics,
        targets_of_service: Callable[[], list[model.Target]],
    ):
        self._name = name
        self._ledger = ledger
        self._links = links
        self._metrics = measured
        self._targets_of_service = targets_of_service
        self._loop = asyncio.get_running_loop()
        self._next_expiry_at = 0.0
        # Called when a request has been quarantined here.
        self.on_quarantined: Callable[[], None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspected or quarantined."""
        if self._ledger.is_empty:
            return True
        now = self._loop.time()
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._ledger.expire(now)
        return self._ledger.is_empty

    def on_crash(self, crash: str, running: list[calls.Call]) -> None:
        """Record that the local target ended while it ran calls, and report it."""
        digests = sorted({crashes.digest_of(call) for call in running})
        self._record_crash(crash, digests)
        report = messages.CrashReport(crash, digests)
        # Entries that use this target have a link to it.
        self._links.broadcast(report)
        self._post_in_region(report)
        self._post_to_other_regions(report)

    def on_report(self, report: messages.CrashReport) -> None:
        """Apply a report of another daemon."""
        for digest in report.completed:
            self._ledger.on_completed(digest)
        if report.crash:
            self._record_crash(report.crash, report.suspects)
        if report.relayed:
            self._post_in_region(dataclasses.replace(report, relayed=False))

    def _post_in_region(self, report: messages.CrashReport) -> None:
        for target in self._other_targets():
            if target.region == self._region():
                self._links.post(target, report)

    def _post_to_other_regions(self, report: messages.CrashReport) -> None:
        relayed = dataclasses.replace(report, relayed=True)
        by_region: dict[str, list[model.Target]] = {}
        for target in self._other_targets():
            if target.region != self._region():
                by_region.setdefault(target.region, []).append(target)
        for targets in by_region.values():
            targets.sort(key=lambda item: crashes.rank(item.name, report.crash))
            for target in targets[:RELAYS_PER_REGION]:
                self._links.post(target, relayed)

    def _other_targets(self) -> list[model.Target]:
        return [
            target
            for target in self._targets_of_service()
            if target.name != self._name and target.state in model.ALIVE_STATES
        ]

    def _region(self) -> str:
        for target in self._targets_of_service():
            if target.name == self._name:
                return target.region
        return ""

    def on_answer(self, call: calls.Call, answer: calls.Answer) -> None:
        """Record what an answer tells about the request of its call."""
        if answer.crash:
            now, digest = self._loop.time(), crashes.digest_of(call)
            self._ledger.on_crash_under(now, answer.crash, [digest])
        elif (
            answer.refusal is None
            and answer.body_stream is None
            and not self._ledger.is_empty
        ):
            self._ledger.on_completed(crashes.digest_of(call))

    def on_completed(self, digest: bytes) -> None:
        """Clear a suspect that the local target has answered, here and elsewhere."""
        if self._ledger.on_completed(digest):
            self._links.broadcast(messages.CrashReport(completed=[digest]))

    def learn(self, digest: bytes, known_crashes: list[str]) -> None:
        """Record the crashes that the sender of a call knows of."""
        for crash in known_crashes:
            self._ledger.on_crash_under(self._loop.time(), crash, [digest])

    def crashes_under(self, digest: bytes) -> list[str]:
        """Return the known crashes under a request, none if it is no suspect."""
        return self._ledger.crash_ids(self._loop.time(), digest)

    def refusal(self, digest: bytes) -> calls.Answer | None:
        """Return the refusal of a quarantined request, None for any other."""
        now = self._loop.time()
        if not self._ledger.is_quarantined(now, digest):
            return None
        self._metrics.count("refused.quarantined")
        return calls.refuse(
            calls.RefusalKind.QUARANTINED,
            f"targets ended under this request ({digest.hex()})",
            retry_after_ms=int(self._ledger.retry_after_s(now, digest) * 1000),
        )

    def unrecorded(self) -> list[bytes]:
        """Return the quarantines that control does not know yet."""
        return self._ledger.unrecorded(self._loop.time())

    def on_recorded(self, digests: list[bytes]) -> None:
        """Apply the quarantines of a new fleet state."""
        self._ledger.on_recorded(self._loop.time(), digests)

    def _record_crash(self, crash: str, digests: list[bytes]) -> None:
        quarantined = self._ledger.on_crash(self._loop.time(), crash, digests)
        for digest in quarantined:
            self._metrics.count("requests.quarantined")
            logging.warning(
                "request %s is quarantined: targets ended under it, last in crash %s",
                digest.hex(),
                crash,
            )
        if quarantined and self.on_quarantined is not None:
            self.on_quarantined()


class SuspectRunner:
    """Runs suspects one at a time at the local target, and all other calls at once."""

    __slots__ = ("_guard", "_loop", "_runner", "_turn")

    def __init__(self, guard: CrashGuard, runner: linkcalls.CallRunner):
        self._guard = guard
        self._runner = runner
        self._loop = asyncio.get_running_loop()
        self._turn = asyncio.Lock()

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call at the local target unless its request is quarantined."""
        if self._guard.is_idle and not call.crashes:
            return await self._runner.run(call)
        digest = crashes.digest_of(call)
        self._guard.learn(digest, list(call.crashes))
        known_crashes = self._guard.crashes_under(digest)
        refused = self._guard.refusal(digest)
        if refused is None and not known_crashes:
            return await self._runner.run(call)
        if refused is None and not call.crashes and call.is_replayable:
            refused = _misdirected(known_crashes[0])
        if refused is not None:
            bodies.cancel(call.body_stream)
            return refused
        return await self._run_suspect(call, digest, len(known_crashes))

    async def _run_suspect(
        self, call: calls.Call, digest: bytes, known_crashes: int
    ) -> calls.Answer:
        async with self._take_turn(call) as has_turn:
            refused = self._guard.refusal(digest)
            if refused is None and not has_turn and known_crashes > 1:
                # It would be suspected together with the one that runs.
                refused = calls.refuse(
                    calls.RefusalKind.OVERLOADED,
                    "another suspect of crashes runs at the target",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            if refused is not None:
                refused.undispatched = True
                bodies.cancel(call.body_stream)
                return refused
            answer = await self._runner.run(call)
            if answer.refusal is None and answer.body_stream is None:
                self._guard.on_completed(digest)
            return answer

    @contextlib.asynccontextmanager
    async def _take_turn(self, call: calls.Call) -> AsyncIterator[bool]:
        """Wait for the running suspect; yields whether it has ended in time."""
        left_s = max(0.0, call.deadline - self._loop.time())
        wait_s = min(MAX_SUSPECT_WAIT_S, MAX_SUSPECT_WAIT_FRACTION * left_s)
        try:
            async with asyncio.timeout(wait_s):
                await self._turn.acquire()
            has_turn = True
        except TimeoutError:
            has_turn = False
        try:
            yield has_turn
        finally:
            if has_turn:
                self._turn.release()


def _misdirected(crash: str) -> calls.Answer:
    """Return the refusal of a suspect whose sender does not know of the crash.

    The sender then chooses the target at which all repetitions run in turn.
    """
    refused = calls.refuse(
        calls.RefusalKind.MISDIRECTED,
        "a target ended under this request",
        retry_after_ms=RETRY_AFTER_MS,
    )
    refused.crash = crash
    return refused
