"""Sends calls to their slot owner or to a chosen target, with retries and hedging."""

import asyncio
import dataclasses
from collections.abc import AsyncGenerator, Callable
from typing import Protocol

from toucanfold import (
    bodies,
    calls,
    crashes,
    crashguard,
    decisionlog,
    model,
    retries,
    router,
)
from toucanfold import clock as clocks

# The daemon that runs a call ends it at the deadline and knows its outcome. This time
# lets its answer arrive before the call times out here with an unknown outcome.
DEADLINE_GRACE_S = 0.05
RETRY_AFTER_MS = 200
# Attempts to reach a slot's owner, and the backoff after the first, which doubles. They
# bridge the time to the new slot table after the owner stopped or the slot moved.
MAX_OWNER_ATTEMPTS = 6
OWNER_BACKOFF_S = 0.05


class CallRunner(Protocol):
    """Runs a call; cancelling the task cancels the call."""

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call and return its answer or refusal."""


class Peers(Protocol):
    """Links to other daemons.

    When a link is lost after a call was sent, the answer is an unknown
    ``target_failed`` that counts all of the call's attempts_left as spent.
    """

    async def run(self, target: model.Target, call: calls.Call) -> calls.Answer:
        """Run a call at another daemon."""


class RetryingSender:
    """Chooses a target and retries within allowance, retry budget and deadline."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_delays",
        "_dispatcher",
        "_guard",
        "_log",
        "_name",
        "_peers",
        "_router",
        "_state_of",
    )

    def __init__(
        self,
        name: str,
        target_router: router.Router,
        budgets: retries.RetryBudgets,
        dispatcher: CallRunner,
        peers: Peers,
        state_of: Callable[[], model.FleetState],
        clock: Callable[[], float] = clocks.now,
        decision_log: decisionlog.DecisionLog | None = None,
        guard: crashguard.CrashGuard | None = None,
    ):
        self._guard = guard
        self._log = decision_log or decisionlog.NullDecisionLog()
        self._name = name
        self._router = target_router
        self._budgets = budgets
        self._dispatcher = dispatcher
        self._peers = peers
        self._state_of = state_of
        self._clock = clock
        self._delays = retries.HedgeDelays()

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call at a target that the router chooses."""
        allowance = retries.Allowance(call.attempts_left)
        tried: set[str] = set()
        refused = self._check_crashes(call)
        if refused is not None:
            return refused
        target = self._pick(call, tried)
        if target is None:
            return _no_target(call)
        while True:
            tried.add(target.name)
            answer = await self._attempt(call, target, allowance, tried)
            now = self._clock()
            self._log_attempt(now, call, target, answer, len(tried))
            if self._guard is not None:
                self._guard.on_answer(call, answer)
            if not allowance.may_retry(now, call, answer, self._budgets):
                break
            refused = self._check_crashes(call)
            target = None if refused else self._pick(call, tried)
            if target is None:
                allowance.refund(call, self._budgets)
                answer = refused or answer
                break
        if answer.refusal is None and answer.status < 500:
            self._budgets.on_success(now, call.service)
        return allowance.finish(answer)

    def _check_crashes(self, call: calls.Call) -> calls.Answer | None:
        """Attach the known crashes under a call; return its refusal if quarantined."""
        if self._guard is None or self._guard.is_idle:
            return None
        digest = crashes.digest_of(call)
        call.crashes = self._guard.crashes_under(digest)
        refused = self._guard.refusal(digest)
        if refused is not None:
            bodies.cancel(call.body_stream)
        return refused

    def _pick(self, call: calls.Call, tried: set[str]) -> model.Target | None:
        exclude = frozenset(tried)
        if call.crashes:
            digest = crashes.digest_of(call)
            target = self._router.pick_for_suspect(call.service, digest, exclude)
            if target is not None:
                return target
        return self._router.pick(self._clock(), call, exclude)

    def _log_attempt(
        self,
        now: float,
        call: calls.Call,
        target: model.Target,
        answer: calls.Answer,
        tries: int,
    ) -> None:
        refusal = answer.refusal
        self._log.log_decision(
            "tried",
            call.root_id,
            always=refusal is not None,
            target=target.name,
            data_centre=target.data_centre,
            tries=tries,
            status=answer.status,
            kind=refusal.kind if refusal else "",
            why=refusal.message if refusal else "",
            outcome=answer.outcome.header_value,
            left_ms=round((call.deadline - now) * 1000),
            limit=answer.limit,
            in_flight=answer.in_flight,
            crash=answer.crash,
            digest=crashes.digest_of(call).hex() if answer.crash else "",
        )

    async def _attempt(
        self,
        call: calls.Call,
        target: model.Target,
        allowance: retries.Allowance,
        tried: set[str],
    ) -> calls.Answer:
        delay = self._hedge_delay(call) if allowance.left > 0 else None
        if delay is not None:
            return await self._attempt_hedged(call, target, allowance, tried, delay)
        reserved = allowance.left
        answer = await self._send(call, target, reserved)
        allowance.on_answer(answer, reserved)
        return answer

    async def _attempt_hedged(
        self,
        call: calls.Call,
        target: model.Target,
        allowance: retries.Allowance,
        tried: set[str],
        delay: float,
    ) -> calls.Answer:
        """Send a hedge after the delay; return the first answer that is no refusal.

        One attempt of the allowance is kept for the hedge; the first gets the others.
        """
        reserved = allowance.left - 1
        running = {asyncio.create_task(self._send(call, target, reserved)): reserved}
        try:
            await asyncio.wait(running, timeout=delay)
            if not any(task.done() for task in running):
                second = self._pick_hedge(call, allowance, tried)
                if second is not None:
                    task = asyncio.create_task(self._send(call, second, 0))
                    running[task] = 0
            return await _first_answer(running, allowance)
        finally:
            for task, share in running.items():
                if task.cancel():
                    allowance.on_attempt_cancelled(share)

    def _pick_hedge(
        self, call: calls.Call, allowance: retries.Allowance, tried: set[str]
    ) -> model.Target | None:
        now = self._clock()
        if now >= call.deadline or not allowance.take(now, call, self._budgets):
            return None
        target = self._router.pick(now, call, frozenset(tried))
        if target is None:
            allowance.refund(call, self._budgets)
            return None
        tried.add(target.name)
        return target

    def usual_time_s(self, route: str) -> float | None:
        """Return in which time (s) most calls of a route end, None if unknown."""
        return self._delays.delay(route)

    def _hedge_delay(self, call: calls.Call) -> float | None:
        if not call.idempotent or not call.is_replayable or call.crashes:
            return None
        state = self._state_of()
        route = state.routes.get(call.route)
        profile = state.profiles.get(route.profile) if route else None
        if profile is None or not profile.hedging:
            return None
        return self._delays.delay(call.route)

    async def _send(
        self, call: calls.Call, target: model.Target, reserved: int
    ) -> calls.Answer:
        name = target.name
        sent = call
        if call.slot != -1 or call.attempts_left != reserved:
            sent = dataclasses.replace(call, slot=-1, attempts_left=reserved)
        started_at = self._clock()
        self._router.on_start(started_at, name, router.call_bytes(call))
        limit = max(0.0, call.deadline - started_at) + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout(limit):
                if name == self._name:
                    answer = await self._dispatcher.run(sent)
                else:
                    answer = await self._peers.run(target, sent)
        except TimeoutError:
            answer = _timed_out(call, reserved)
        except asyncio.CancelledError:
            self._router.on_cancel(self._clock(), name)
            raise
        except Exception:
            self._router.on_failure(self._clock(), name)
            raise
        now = self._clock()
        self._router.on_answer(now, name, answer, now - started_at, call.route)
        if answer.refusal is None:
            self._delays.on_answer(call.route, now - started_at)
        return answer


class Forwarder:
    """Sends recorded calls to their slot's owner, all others to a chosen target."""

    __slots__ = (
        "_clock",
        "_name",
        "_owner",
        "_peers",
        "_router",
        "_sender",
        "_state_of",
    )

    def __init__(
        self,
        name: str,
        sender: RetryingSender,
        owner: CallRunner,
        peers: Peers,
        target_router: router.Router,
        state_of: Callable[[], model.FleetState],
        clock: Callable[[], float] = clocks.now,
    ):
        self._name = name
        self._sender = sender
        self._owner = owner
        self._peers = peers
        self._router = target_router
        self._state_of = state_of
        self._clock = clock

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call of a caller or of the local target."""
        if call.is_recorded:
            return await self._run_owned(call)
        return await self._sender.run(call)

    async def _run_owned(self, call: calls.Call) -> calls.Answer:
        """Send the call to its owner, and resend it if that is safe and may help.

        A resent call cannot run twice: the owner answers it from the record or waits
        for the running execution. A resend carries only the remaining allowance, so
        it adds no attempts.
        """
        allowance = retries.Allowance(call.attempts_left)
        backoff_s = OWNER_BACKOFF_S
        answer = await self._attempt_owner(call, allowance)
        for _ in range(MAX_OWNER_ATTEMPTS - 1):
            if not _may_resend_to_owner(call, answer):
                break
            if self._clock() + backoff_s >= call.deadline:
                break
            await asyncio.sleep(backoff_s)
            backoff_s *= 2
            answer = await self._attempt_owner(call, allowance)
        return allowance.finish(answer)

    async def _attempt_owner(
        self, call: calls.Call, allowance: retries.Allowance
    ) -> calls.Answer:
        number = model.slot_of(call.account, call.idempotency_key)
        slot = self._state_of().slots.get((call.service, number))
        if slot is None:
            return _no_target(call)
        reserved = allowance.left
        owned = dataclasses.replace(
            call, slot=number, slot_epoch=slot.epoch, attempts_left=reserved
        )
        answer = await self._call_owner(owned, slot)
        allowance.on_answer(answer, reserved)
        return answer

    async def _call_owner(self, call: calls.Call, slot: model.Slot) -> calls.Answer:
        if slot.owner == self._name:
            return await self._owner.run(call)
        target = self._state_of().targets.get(slot.owner)
        if target is None or target.incarnation != slot.owner_incarnation:
            return calls.refuse(
                calls.RefusalKind.NO_TARGET,
                f"the owner of slot {slot.number} of {call.service} is being replaced",
                retry_after_ms=RETRY_AFTER_MS,
            )
        now = self._clock()
        self._router.on_start(now, target.name, router.call_bytes(call))
        try:
            async with asyncio.timeout(call.deadline - now + DEADLINE_GRACE_S):
                return await self._peers.run(target, call)
        except TimeoutError:
            return _timed_out(call, call.attempts_left)
        finally:
            # The answer's limit is that of the target which ran the call, perhaps
            # another one, so it is not recorded for the owner's local target.
            self._router.on_cancel(self._clock(), target.name)


class InboundRunner:
    """Runs calls of other daemons: recorded ones as owner, others at the target."""

    __slots__ = ("_dispatcher", "_owner")

    def __init__(self, owner: CallRunner, dispatcher: CallRunner):
        self._owner = owner
        self._dispatcher = dispatcher

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call that arrived over a link."""
        runner = self._owner if call.slot >= 0 else self._dispatcher
        return await runner.run(call)


async def _first_answer(
    running: dict[asyncio.Task[calls.Answer], int], allowance: retries.Allowance
) -> calls.Answer:
    """Return the first answer that is not a refusal, else the last refusal."""
    waiting = set(running)
    while True:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        answers = []
        for task in done:
            answers.append(task.result())
            allowance.on_answer(answers[-1], running[task])
        answers.sort(key=lambda answer: answer.refusal is not None)
        for unused in answers[1:]:
            await _discard(unused)
        if answers[0].refusal is None or not waiting:
            return answers[0]


async def _discard(answer: calls.Answer) -> None:
    """Close the body of an answer that nobody reads."""
    if isinstance(answer.body_stream, AsyncGenerator):
        await answer.body_stream.aclose()
    bodies.cancel(answer.body_stream)


def _may_resend_to_owner(call: calls.Call, answer: calls.Answer) -> bool:
    """Whether the owner was unreachable, is stopping, or its link was lost."""
    refusal = answer.refusal
    if refusal is None or answer.retried or not call.is_replayable:
        return False
    if answer.outcome is calls.Outcome.UNKNOWN:
        return refusal.kind is calls.RefusalKind.TARGET_FAILED
    return retries.is_free(answer)


def _timed_out(call: calls.Call, reserved: int) -> calls.Answer:
    answer = calls.refuse(
        calls.RefusalKind.DEADLINE_EXCEEDED,
        f"{call.service} did not answer in time",
        calls.Outcome.UNKNOWN,
    )
    answer.attempts_spent = reserved
    return answer


def _no_target(call: calls.Call) -> calls.Answer:
    return calls.refuse(
        calls.RefusalKind.NO_TARGET,
        f"no target of {call.service} can take the call",
        retry_after_ms=RETRY_AFTER_MS,
    )
