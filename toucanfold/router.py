"""Chooses the target of a call: proximity, load, ejection, drain, region budget."""

import hashlib
import random

from toucanfold import balancers, calls, candidates, crashes, model, registry

BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Non-idempotent calls serve as probes only if no other call did for this long after a
# probe was due.
NON_IDEMPOTENT_PROBE_DELAY_S = 1.0
# Size assumed for a streamed body without a Content-Length.
ASSUMED_BODY_BYTES = 64 * 1024
CALL_OVERHEAD_BYTES = 512
# Targets of which this daemon remembers that an instance is leaving.
MAX_DEPARTING_TARGETS = 1024

_FAILED_KINDS = (calls.RefusalKind.TARGET_FAILED, calls.RefusalKind.NO_TARGET)


class RegionBudget:
    """Token bucket of the bytes that this daemon may send to other regions."""

    __slots__ = ("_bytes_per_s", "_refilled_at", "_tokens", "bytes_sent")

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = float(bytes_per_s)
        self._tokens = self._bytes_per_s
        self._refilled_at: float | None = None
        self.bytes_sent = 0

    def reserve(self, now: float, size: int) -> bool:
        """Take tokens for size bytes; return False if there are too few."""
        self._refill(now)
        if size > self._tokens:
            return False
        self._tokens -= size
        return True

    def charge(self, now: float, size: int) -> None:
        """Take tokens for bytes that cannot be held back, if need be below zero."""
        self._refill(now)
        self._tokens -= size

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            elapsed_s = max(0.0, now - self._refilled_at)
            self._tokens = min(
                self._bytes_per_s, self._tokens + elapsed_s * self._bytes_per_s
            )
        self._refilled_at = now


class Router:
    """Chooses targets from the fleet state and what was observed about each."""

    __slots__ = (
        "_balancers",
        "_by_name",
        "_data_centre",
        "_departing",
        "_is_first_update",
        "_name",
        "_region",
        "_reserved_bytes",
        "_rng",
        "_services",
        "_state",
        "budget",
    )

    def __init__(
        self,
        name: str,
        region: str,
        data_centre: str,
        region_budget: int,
        rng: random.Random,
    ):
        self.budget = RegionBudget(region_budget)
        self._name = name
        self._region = region
        self._data_centre = data_centre
        self._rng = rng
        self._state = model.FleetState()
        self._is_first_update = True
        self._services: dict[str, candidates.ServiceCandidates] = {}
        self._by_name: dict[str, candidates.Candidate] = {}
        self._balancers: dict[tuple[str, str], balancers.Balancer] = {}
        self._reserved_bytes: dict[str, int] = {}
        # Labels of the instances that stated they are leaving, by target. Kept here,
        # since the target's daemon may restart and not know it.
        self._departing: dict[str, str] = {}

    def update(self, now: float, state: model.FleetState) -> None:
        """Apply a new fleet state; targets that are not up get no further calls."""
        self._state = state
        by_service: dict[str, list[candidates.Candidate]] = {}
        by_name = {}
        for target in state.targets.values():
            if target.state == "up" and not self._is_departing(target):
                candidate = self._candidate_for(now, target)
                by_name[target.name] = candidate
                by_service.setdefault(target.service, []).append(candidate)
        self._by_name = by_name
        self._is_first_update = False
        for name in set(self._services) - set(by_service):
            del self._services[name]
        for name, items in by_service.items():
            items.sort(key=self._sort_key)
            service = self._services.setdefault(name, candidates.ServiceCandidates())
            service.replace({item.target.name: item for item in items})

    def pick(
        self, now: float, call: calls.Call, exclude: frozenset[str] = frozenset()
    ) -> model.Target | None:
        """Choose a target.

        The sender then calls on_start, and on_answer, on_failure or on_cancel at the
        end of the attempt.
        """
        service = self._services.get(call.service)
        if service is None:
            return None
        size = call_bytes(call)
        if now >= service.next_probe_at:
            probe = self._pick_probe(now, service, call, exclude, size)
            if probe is not None:
                return probe.target
        if call.slot >= 0:
            local = service.candidates.get(self._name)
            if local is not None and _can_use_local(now, local, exclude):
                return local.target
        chosen = self._pick_by_tier(now, service, call, exclude, size)
        return None if chosen is None else chosen.target

    def pick_for_suspect(
        self, service: str, digest: bytes, exclude: frozenset[str] = frozenset()
    ) -> model.Target | None:
        """Choose the target of a request under which a target ended.

        All daemons choose the same one, so that repetitions of the request run there
        one at a time.
        """
        known = self._services.get(service)
        if known is None:
            return None
        usable = [
            item.target
            for item in known.candidates.values()
            if not item.is_ejected and item.target.name not in exclude
        ]
        return max(
            usable,
            key=lambda target: crashes.rank(target.name, digest.hex()),
            default=None,
        )

    def on_start(self, now: float, name: str, size_bytes: int) -> None:
        """Count a call sent to a target, and its bytes if they leave the region."""
        candidate = self._by_name.get(name)
        if candidate is None:
            return
        candidate.in_flight += 1
        candidate.last_sent_at = now
        if candidate.tier == candidates.OTHER_REGION:
            self.budget.bytes_sent += size_bytes
            reserved = self._reserved_bytes.pop(name, 0)
            if size_bytes > reserved:
                self.budget.charge(now, size_bytes - reserved)

    def on_answer(
        self,
        now: float,
        name: str,
        answer: calls.Answer,
        seconds: float,
        route: str = "",
    ) -> None:
        """Record limit, load, latency, refusals and failures from an answer.

        seconds is the time since the call was sent, route the name of its route.
        """
        candidate = self._end_attempt(name)
        if candidate is not None:
            self._record_answer(now, candidate, answer, seconds, route)
        if answer.departing:
            self._on_departing(now, name, answer.departing)

    def _record_answer(
        self,
        now: float,
        candidate: candidates.Candidate,
        answer: calls.Answer,
        seconds: float,
        route: str,
    ) -> None:
        if candidate.tier == candidates.OTHER_REGION:
            self.budget.charge(now, len(answer.body))
        if answer.limit > 0:
            candidate.limit = answer.limit
            candidate.other_in_flight = max(0, answer.in_flight - candidate.in_flight)
            candidate.other_in_flight_at = now
        refusal = answer.refusal
        if refusal is None:
            self._on_success(now, candidate)
            if answer.status < 500:
                # Answers of 5xx are left out: a target that fails at once is not fast.
                self._record_latency(now, candidate, route, answer.target_seconds)
        elif refusal.kind in _FAILED_KINDS:
            self._count_failure(now, candidate)
        elif answer.outcome is calls.Outcome.UNKNOWN:
            self._on_timeout(now, candidate)
            self._record_latency(now, candidate, route, seconds)
        else:
            if refusal.kind is calls.RefusalKind.OVERLOADED or answer.undispatched:
                candidate.refused_at = now
            self._readmit(candidate)

    def _on_departing(self, now: float, name: str, label: str) -> None:
        if self._departing.get(name) == label:
            return
        self._departing.pop(name, None)
        self._departing[name] = label
        while len(self._departing) > MAX_DEPARTING_TARGETS:
            del self._departing[next(iter(self._departing))]
        self.update(now, self._state)

    def _is_departing(self, target: model.Target) -> bool:
        label = self._departing.get(target.name)
        return label is not None and label == target.target_instance

    def on_failure(self, now: float, name: str) -> None:
        """Count a call that failed without an answer of the target's daemon."""
        candidate = self._end_attempt(name)
        if candidate is not None:
            self._count_failure(now, candidate)

    def on_cancel(self, now: float, name: str) -> None:
        """End a cancelled call, which says nothing about the target."""
        candidate = self._end_attempt(name)
        if candidate is not None:
            candidate.probing_since = float("-inf")
            self._services[candidate.target.service].schedule_probe()

    def on_link(self, now: float, name: str, is_up: bool) -> None:
        """Eject a target whose link was lost; closing an idle link is no loss."""
        candidate = self._by_name.get(name)
        if candidate is None or (not is_up and candidate.is_idle(now)):
            return
        if not is_up:
            candidate.link_lost = True
            if not candidate.is_ejected:
                self._eject(now, candidate)
        elif candidate.link_lost:
            self._readmit(candidate)

    def describe(self, now: float) -> list[dict[str, object]]:
        """Return the state of each candidate, for the debug command."""
        return [
            {
                "target": item.target.name,
                "service": item.target.service,
                "tier": item.tier,
                "in_flight": item.in_flight,
                "limit": item.limit,
                "weight": round(item.weight(now), 2),
                "slowness": round(item.slowness.value(now), 2),
                "ejected": item.is_ejected,
                "full": item.is_full(now),
            }
            for item in self._by_name.values()
        ]

    def _candidate_for(self, now: float, target: model.Target) -> candidates.Candidate:
        previous = self._by_name.get(target.name)
        if previous is not None and _is_same_incarnation(previous.target, target):
            previous.target = target
            return previous
        # Targets of the first state get no slow start, since this daemon cannot know
        # how long they have run.
        slow_start_at = float("-inf") if self._is_first_update else now
        return candidates.Candidate(
            target, self._tier(target), target.name == self._name, slow_start_at
        )

    def _tier(self, target: model.Target) -> int:
        if target.region != self._region:
            return candidates.OTHER_REGION
        is_near = target.data_centre == self._data_centre
        return candidates.LOCAL_DATA_CENTRE if is_near else candidates.SAME_REGION

    def _sort_key(self, candidate: candidates.Candidate) -> tuple[int, bool, bytes]:
        text = f"{self._name}\0{candidate.target.name}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return candidate.tier, not candidate.is_local, digest

    def _pick_probe(
        self,
        now: float,
        service: candidates.ServiceCandidates,
        call: calls.Call,
        exclude: frozenset[str],
        size: int,
    ) -> candidates.Candidate | None:
        delay_s = 0.0 if call.idempotent else NON_IDEMPOTENT_PROBE_DELAY_S
        for candidate in service.ejected:
            if now < candidate.probe_due_at + delay_s:
                continue
            if candidate.target.name in exclude:
                continue
            if self._reserve_budget(now, candidate, size):
                candidate.probing_since = now
                service.schedule_probe()
                return candidate
        return None

    def _pick_by_tier(
        self,
        now: float,
        service: candidates.ServiceCandidates,
        call: calls.Call,
        exclude: frozenset[str],
        size: int,
    ) -> candidates.Candidate | None:
        tiers = service.tiers(exclude)
        balancer = self._balancer_for(call)
        for tier in tiers:
            available = [item for item in tier if not item.is_full(now)]
            chosen = balancer.pick(now, available, self._rng)
            if chosen is not None and self._reserve_budget(now, chosen, size):
                return chosen
        # All are full. The nearest daemon decides by importance, which this one cannot.
        for tier in tiers:
            chosen = balancer.pick(now, tier, self._rng)
            if chosen is not None and self._reserve_budget(now, chosen, size):
                return chosen
        return None

    def _reserve_budget(
        self, now: float, candidate: candidates.Candidate, size: int
    ) -> bool:
        if candidate.tier != candidates.OTHER_REGION:
            return True
        if not self.budget.reserve(now, size):
            return False
        self._reserved_bytes[candidate.target.name] = size
        return True

    def _balancer_for(self, call: calls.Call) -> balancers.Balancer:
        route = self._state.routes.get(call.route)
        profile = self._state.profiles.get(route.profile) if route else None
        name = profile.balancer if profile else "nearest"
        balancer = self._balancers.get((call.service, name))
        if balancer is None:
            created = registry.create("balancer", name)
            balancer = created.value_or(None) or balancers.PowerOfTwoChoices()
            self._balancers[call.service, name] = balancer
        return balancer

    def _end_attempt(self, name: str) -> candidates.Candidate | None:
        candidate = self._by_name.get(name)
        if candidate is not None:
            candidate.in_flight = max(0, candidate.in_flight - 1)
        return candidate

    def _on_success(self, now: float, candidate: candidates.Candidate) -> None:
        self._readmit(candidate)
        candidate.failures = 0
        candidate.ejections = 0
        candidate.failing_since = float("inf")
        candidate.succeeded_at = now

    def _record_latency(
        self, now: float, candidate: candidates.Candidate, route: str, seconds: float
    ) -> None:
        latencies = self._services[candidate.target.service].typical_latencies
        candidate.slowness.on_answer(now, latencies.ratio(route, seconds))

    def _on_timeout(self, now: float, candidate: candidates.Candidate) -> None:
        """Count a timeout as a failure only if another target of the service succeeds.

        When a downstream service is slow, calls to all targets time out, and
        ejecting targets would only remove capacity.
        """
        candidate.failing_since = min(candidate.failing_since, now)
        others = self._services[candidate.target.service].candidates.values()
        if any(item.succeeded_at > candidate.failing_since for item in others):
            self._count_failure(now, candidate)
        else:
            self._readmit(candidate)

    def _readmit(self, candidate: candidates.Candidate) -> None:
        candidate.probing_since = float("-inf")
        if candidate.is_ejected:
            candidate.end_ejection()
            self._services[candidate.target.service].invalidate()

    def _count_failure(self, now: float, candidate: candidates.Candidate) -> None:
        candidate.failures += 1
        if candidate.is_ejected:
            if candidate.probing_since > float("-inf"):
                self._eject(now, candidate)
        elif candidate.failures >= candidates.FAILURES_TO_EJECT:
            self._eject(now, candidate)

    def _eject(self, now: float, candidate: candidates.Candidate) -> None:
        service = self._services[candidate.target.service]
        ejected = len(service.ejected)
        if not candidate.is_ejected and ejected + 1 > len(service.candidates) // 2:
            return
        seconds = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**candidate.ejections)
        candidate.ejections = min(candidate.ejections + 1, 16)
        candidate.ejected_until = now + seconds
        candidate.probing_since = float("-inf")
        service.invalidate()


def call_bytes(call: calls.Call) -> int:
    """Return the approximate number of bytes that a call sends over a link."""
    size = CALL_OVERHEAD_BYTES + len(call.path) + len(call.body)
    length = 0 if call.body_stream is None else ASSUMED_BODY_BYTES
    for name, value in call.headers:
        size += len(name) + len(value) + 4
        if length and name.lower() == b"content-length" and value.isdigit():
            length = int(value)
    return size + length


def _can_use_local(
    now: float, local: candidates.Candidate, exclude: frozenset[str]
) -> bool:
    is_usable = not local.is_ejected and local.target.name not in exclude
    return is_usable and not local.is_full(now)


def _is_same_incarnation(previous: model.Target, new: model.Target) -> bool:
    return (
        previous.incarnation == new.incarnation
        and previous.service == new.service
        and previous.region == new.region
        and previous.data_centre == new.data_centre
    )
