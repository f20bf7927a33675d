"""State that a daemon keeps about each target that it may send calls to."""

from toucanfold import model, slowness

# Bounds the number of links of a daemon; see section 2 of the design.
MAX_LINKS_PER_SERVICE = 8
# Links reserved for other data centres of the region and for other regions, so that
# calls can go there without delay when the nearest targets are at capacity.
RESERVED_REGION_LINKS = 2
RESERVED_OTHER_REGION_LINKS = 1
LOCAL_DATA_CENTRE, SAME_REGION, OTHER_REGION = 0, 1, 2
FAILURES_TO_EJECT = 5
# A probe without a result for this long no longer blocks the next one.
PROBE_TIMEOUT_S = 30.0
# Concurrency limit assumed before the first answer; low, since the limit of a target
# that is warming up starts low as well.
INITIAL_CONCURRENCY_LIMIT = 10
# Fraction of the capacity above which a target counts as full, so that calls go to
# targets further away.
FULL_LOAD_FRACTION = 0.85
# Time for which a target counts as full after it refused a call for overload.
REFUSAL_BACKOFF_S = 1.0
SLOW_START_S = 10.0
SLOW_START_INITIAL_FRACTION = 0.1
# In-flight counts reported in answers are ignored after this time.
REPORTED_LOAD_MAX_AGE_S = 1.0
# Ratio to the typical latency up to which a target's capacity is not reduced. Latencies
# of healthy targets differ by as much, and their full concurrency is needed under load.
# The mean ratio of normal calls is about 1.5, since the typical latency is a median.
TOLERATED_LATENCY_RATIO = 3.0


# Either side closes a link that was unused for 60 s, which is not a failure, so a link
# that closes after this much time without a call is not counted as lost.
LINK_IDLE_S = 55.0


class Candidate:
    """A target that may get calls, with what this daemon observed about it."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failing_since",
        "failures",
        "in_flight",
        "is_local",
        "last_sent_at",
        "limit",
        "link_lost",
        "other_in_flight",
        "other_in_flight_at",
        "probing_since",
        "refused_at",
        "slow_start_at",
        "slowness",
        "succeeded_at",
        "target",
        "tier",
    )

    def __init__(
        self, target: model.Target, tier: int, is_local: bool, slow_start_at: float
    ):
        self.target = target
        self.tier = tier
        self.is_local = is_local
        self.slow_start_at = slow_start_at
        self.in_flight = 0
        self.last_sent_at = float("-inf")
        self.limit = INITIAL_CONCURRENCY_LIMIT
        self.other_in_flight = 0
        self.other_in_flight_at = float("-inf")
        self.refused_at = float("-inf")
        self.slowness = slowness.Slowness()
        self.failures = 0
        self.failing_since = float("inf")
        self.succeeded_at = float("-inf")
        self.ejected_until = 0.0
        self.ejections = 0
        self.link_lost = False
        self.probing_since = float("-inf")

    @property
    def is_ejected(self) -> bool:
        """Whether only a probe may go to the target."""
        return self.ejected_until > 0.0

    @property
    def probe_due_at(self) -> float:
        """Monotonic time (s) from which a probe may go to the ejected target."""
        return max(self.ejected_until, self.probing_since + PROBE_TIMEOUT_S)

    def is_idle(self, now: float) -> bool:
        """Whether the link was unused for so long that it may be closed."""
        return self.in_flight == 0 and now - self.last_sent_at >= LINK_IDLE_S

    def weight(self, now: float) -> float:
        """Return the fraction of the limit to use; it increases during slow start."""
        age = now - self.slow_start_at
        if age >= SLOW_START_S:
            return 1.0
        return (
            SLOW_START_INITIAL_FRACTION
            + (1.0 - SLOW_START_INITIAL_FRACTION) * age / SLOW_START_S
        )

    def load(self, now: float) -> float:
        """Return calls in flight; the count of other callers decays with its age."""
        age = now - self.other_in_flight_at
        if age >= REPORTED_LOAD_MAX_AGE_S:
            return self.in_flight
        return self.in_flight + self.other_in_flight * (
            1.0 - age / REPORTED_LOAD_MAX_AGE_S
        )

    def capacity(self, now: float) -> float:
        """Return the reported limit, reduced in slow start and for a slow target."""
        slowdown = max(1.0, self.slowness.value(now) / TOLERATED_LATENCY_RATIO)
        return self.limit * self.weight(now) / slowdown

    def score(self, now: float) -> float:
        """Return utilization with one more call, times slowness; lower is better."""
        utilization = (self.load(now) + 1.0) / self.capacity(now)
        return utilization * self.slowness.value(now)

    def is_full(self, now: float) -> bool:
        """Whether calls should go to targets further away instead."""
        if now - self.refused_at < REFUSAL_BACKOFF_S:
            return True
        return self.load(now) > FULL_LOAD_FRACTION * self.capacity(now)

    def end_ejection(self) -> None:
        """Use the target again; one failure before the next success ejects it."""
        self.ejected_until = 0.0
        self.probing_since = float("-inf")
        self.link_lost = False
        self.failures = FAILURES_TO_EJECT - 1


class ServiceCandidates:
    """The candidates of one service, ordered by proximity and rendezvous hash."""

    __slots__ = (
        "_healthy",
        "_needs_rebuild",
        "_subset",
        "candidates",
        "ejected",
        "next_probe_at",
        "typical_latencies",
    )

    def __init__(self) -> None:
        self.typical_latencies = slowness.TypicalLatencies()
        self.candidates: dict[str, Candidate] = {}
        self.ejected: list[Candidate] = []
        self.next_probe_at = float("inf")
        self._needs_rebuild = True
        self._healthy: list[list[Candidate]] = []
        self._subset: list[list[Candidate]] = []

    def replace(self, candidates: dict[str, Candidate]) -> None:
        """Replace the candidates; end ejections so that at least half stay in use."""
        self.candidates = candidates
        ejected = (item for item in candidates.values() if item.is_ejected)
        by_ejection_end = sorted(ejected, key=lambda item: item.ejected_until)
        for candidate in by_ejection_end[
            : max(0, len(by_ejection_end) - len(candidates) // 2)
        ]:
            candidate.end_ejection()
        self.invalidate()

    def invalidate(self) -> None:
        """Update the ejected candidates; rebuild the subset before the next choice."""
        self._needs_rebuild = True
        self.ejected = [item for item in self.candidates.values() if item.is_ejected]
        self.schedule_probe()

    def schedule_probe(self) -> None:
        """Set the time from which an ejected target may get a probe."""
        due = (item.probe_due_at for item in self.ejected)
        self.next_probe_at = min(due, default=float("inf"))

    def tiers(self, exclude: frozenset[str]) -> list[list[Candidate]]:
        """Return healthy candidates by tier, if possible only the bounded subset."""
        if self._needs_rebuild:
            self._rebuild()
        if not exclude:
            return self._subset
        remaining = [_without(tier, exclude) for tier in self._subset]
        if any(remaining):
            return remaining
        return [_without(tier, exclude) for tier in self._healthy]

    def _rebuild(self) -> None:
        self._needs_rebuild = False
        self._healthy = [[], [], []]
        for candidate in self.candidates.values():
            if not candidate.is_ejected:
                self._healthy[candidate.tier].append(candidate)
        local, region, other = self._healthy
        reserved_other = min(RESERVED_OTHER_REGION_LINKS, len(other))
        reserved = min(RESERVED_REGION_LINKS, len(region)) + reserved_other
        local = local[: MAX_LINKS_PER_SERVICE - reserved]
        region = region[: MAX_LINKS_PER_SERVICE - reserved_other - len(local)]
        other = other[: MAX_LINKS_PER_SERVICE - len(local) - len(region)]
        self._subset = [local, region, other]


def _without(tier: list[Candidate], exclude: frozenset[str]) -> list[Candidate]:
    return [item for item in tier if item.target.name not in exclude]
