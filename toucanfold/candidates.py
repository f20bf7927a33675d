"""What a daemon knows about each target that may get its calls."""

from toucanfold import model, slowness

# Bounds the links of a daemon; see section 2 of the design.
LINKS_PER_SERVICE = 8
# Links kept for further data centres, so that calls can go there without a delay
# when the nearest one is full.
RESERVED_REGION = 2
RESERVED_OTHER = 1
OWN_DATA_CENTRE, SAME_REGION, OTHER_REGION = 0, 1, 2
FAILURES_TO_EJECT = 5
# A probe without any result for this long no longer blocks the next one.
PROBE_TIMEOUT_S = 30.0
# Limit assumed before the first answer; a cold target starts small as well.
UNKNOWN_LIMIT = 10
# Share of the limit above which a target counts as full and calls go further away.
FULL_LOAD_FRACTION = 0.85
# A refusal for overload makes a target count as full for this long.
REFUSAL_BACKOFF_S = 1.0
SLOW_START_S = 10.0
SLOW_START_INITIAL_FRACTION = 0.1
# In-flight counts learnt from answers are old news after this time.
REPORTED_LOAD_MAX_AGE_S = 1.0
# Times as slow as usual up to which a target keeps its whole capacity. The speeds of
# sound targets differ by as much, and all their places are needed under load. The mean
# of usual calls is about 1.5, since the usual time is a median.
TOLERATED_LATENCY_RATIO = 3.0


# Links without use for 60 s are closed by either side, which is no failure.
IDLE_S = 55.0


class Candidate:
    """A target that may get calls, with what this daemon learnt about it."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failing_since",
        "failures",
        "in_flight",
        "is_own",
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
        "used_at",
    )

    def __init__(
        self, target: model.Target, tier: int, is_own: bool, slow_start_at: float
    ):
        self.target = target
        self.tier = tier
        self.is_own = is_own
        self.slow_start_at = slow_start_at
        self.in_flight = 0
        self.used_at = float("-inf")
        self.limit = UNKNOWN_LIMIT
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
    def probe_due(self) -> float:
        """Time from which a probe may go to the ejected target."""
        return max(self.ejected_until, self.probing_since + PROBE_TIMEOUT_S)

    def is_idle(self, now: float) -> bool:
        """Whether nothing was sent for so long that the link may be closed."""
        return self.in_flight == 0 and now - self.used_at >= IDLE_S

    def weight(self, now: float) -> float:
        """Return the share of the limit to use, which rises after a start."""
        age = now - self.slow_start_at
        if age >= SLOW_START_S:
            return 1.0
        return (
            SLOW_START_INITIAL_FRACTION
            + (1.0 - SLOW_START_INITIAL_FRACTION) * age / SLOW_START_S
        )

    def load(self, now: float) -> float:
        """Return the calls in flight; those of other callers fade with age."""
        age = now - self.other_in_flight_at
        if age >= REPORTED_LOAD_MAX_AGE_S:
            return self.in_flight
        return self.in_flight + self.other_in_flight * (
            1.0 - age / REPORTED_LOAD_MAX_AGE_S
        )

    def capacity(self, now: float) -> float:
        """Return the learnt limit, reduced during slow start and for a slow target."""
        excess = max(1.0, self.slowness.value(now) / TOLERATED_LATENCY_RATIO)
        return self.limit * self.weight(now) / excess

    def score(self, now: float) -> float:
        """Return load after one more call over capacity, by speed; lower is better."""
        relative = (self.load(now) + 1.0) / self.capacity(now)
        return relative * self.slowness.value(now)

    def is_full(self, now: float) -> bool:
        """Whether calls should go further away rather than here."""
        if now - self.refused_at < REFUSAL_BACKOFF_S:
            return True
        return self.load(now) > FULL_LOAD_FRACTION * self.capacity(now)

    def end_ejection(self) -> None:
        """Use the target again; one more failure before a success ejects it."""
        self.ejected_until = 0.0
        self.probing_since = float("-inf")
        self.link_lost = False
        self.failures = FAILURES_TO_EJECT - 1


class ServiceCandidates:
    """The candidates of one service, in order of nearness and rendezvous hash."""

    __slots__ = (
        "_changed",
        "_healthy",
        "_subset",
        "candidates",
        "ejected",
        "next_probe",
        "typical_latencies",
    )

    def __init__(self) -> None:
        self.typical_latencies = slowness.TypicalLatencies()
        self.candidates: dict[str, Candidate] = {}
        self.ejected: list[Candidate] = []
        self.next_probe = float("inf")
        self._changed = True
        self._healthy: list[list[Candidate]] = []
        self._subset: list[list[Candidate]] = []

    def replace(self, candidates: dict[str, Candidate]) -> None:
        """Take the candidates of a new directory and keep half of them in use."""
        self.candidates = candidates
        ejected = (item for item in candidates.values() if item.is_ejected)
        by_end = sorted(ejected, key=lambda item: item.ejected_until)
        for candidate in by_end[: max(0, len(by_end) - len(candidates) // 2)]:
            candidate.end_ejection()
        self.invalidate()

    def invalidate(self) -> None:
        """Recompute what depends on ejections before the next choice."""
        self._changed = True
        self.ejected = [item for item in self.candidates.values() if item.is_ejected]
        self.schedule_probe()

    def schedule_probe(self) -> None:
        """Find the time from which an ejected target may get a probe."""
        due = (item.probe_due for item in self.ejected)
        self.next_probe = min(due, default=float("inf"))

    def tiers(self, exclude: frozenset[str]) -> list[list[Candidate]]:
        """Return healthy candidates by tier, at most LINKS_PER_SERVICE if possible."""
        if self._changed:
            self._rebuild()
        if not exclude:
            return self._subset
        found = [_without(tier, exclude) for tier in self._subset]
        if any(found):
            return found
        return [_without(tier, exclude) for tier in self._healthy]

    def _rebuild(self) -> None:
        self._changed = False
        self._healthy = [[], [], []]
        for candidate in self.candidates.values():
            if not candidate.is_ejected:
                self._healthy[candidate.tier].append(candidate)
        own, region, other = self._healthy
        reserved_other = min(RESERVED_OTHER, len(other))
        reserved = min(RESERVED_REGION, len(region)) + reserved_other
        own = own[: LINKS_PER_SERVICE - reserved]
        region = region[: LINKS_PER_SERVICE - reserved_other - len(own)]
        other = other[: LINKS_PER_SERVICE - len(own) - len(region)]
        self._subset = [own, region, other]


def _without(tier: list[Candidate], exclude: frozenset[str]) -> list[Candidate]:
    return [item for item in tier if item.target.name not in exclude]
