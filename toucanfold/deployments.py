"""The operators' deployments, scaled down to one machine with ten cores.

Sizes keep the operators' proportions: four services of six targets, three with high
concurrency and one with low. Concurrency is divided by seven (70, 65 and 15 become
10, 9 and 2), so that 24 daemons, 24 targets and the load leave the machine's cores
partly idle.
"""

import dataclasses

from toucanfold import loadgen

TARGETS_PER_SERVICE = 6
REGIONS = ("north", "middle", "south")
DATA_CENTRES = ("a", "b")
CONCURRENCY_DIVISOR = 7
BASELINE_LOAD_FRACTION = 0.7
ACCOUNT_LOAD_FRACTIONS = (0.28, 0.22, 0.16, 0.12, 0.08, 0.06, 0.05, 0.03)
# Rate limits admit a surge of 4x capacity, so that admission control, not the rate
# limits, has to handle it. Only the noisy account is limited close to its own demand.
RATE_LIMIT_FACTOR = 8.0
NOISY_ACCOUNT = "account3"
NOISY_RATE_LIMIT_FACTOR = 1.25
MIN_BURST_CALLS = 48.0
DEADLINE_MS = 3000


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service; workers is the concurrency of each target."""

    name: str
    workers: int
    service_ms: float

    @property
    def capacity(self) -> float:
        """Calls/s of all targets together."""
        return TARGETS_PER_SERVICE * self.workers * 1000 / self.service_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account: baseline load and rate limit (calls/s), and burst (calls)."""

    name: str
    base_rate: float
    rate: float
    burst: float


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """Location of one target and its daemon."""

    name: str
    service: Service
    region: str
    data_centre: str


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """An operator's services, request kinds and one-way delay to clients (s)."""

    name: str
    services: tuple[Service, ...]
    kinds: tuple[loadgen.RequestKind, ...]
    downstream_service: str
    client_delay_s: float

    @property
    def capacity(self) -> float:
        """Lowest rate (root requests/s) at which the mix saturates a service."""
        return min(
            service.capacity / share
            for service in self.services
            if (share := self._calls_per_root_request(service.name)) > 0
        )

    @property
    def accounts(self) -> list[Account]:
        """The client accounts; a few of them send most of the load."""
        steady = self.capacity * BASELINE_LOAD_FRACTION
        accounts = []
        for number, share in enumerate(ACCOUNT_LOAD_FRACTIONS, 1):
            name = f"account{number}"
            factor = (
                NOISY_RATE_LIMIT_FACTOR if name == NOISY_ACCOUNT else RATE_LIMIT_FACTOR
            )
            rate = round(steady * share * factor, 1)
            burst = max(MIN_BURST_CALLS, rate)
            accounts.append(Account(name, steady * share, rate, burst))
        return accounts

    @property
    def placements(self) -> list[Placement]:
        """One target of each service in each data centre."""
        return [
            Placement(f"{service.name}-{region}-{centre}", service, region, centre)
            for region in REGIONS
            for centre in DATA_CENTRES
            for service in self.services
        ]

    def surge_factor(self, demand: float) -> float:
        """Load factor for all but the noisy account that brings the total to demand.

        The demand is a multiple of capacity.
        """
        noisy = BASELINE_LOAD_FRACTION * ACCOUNT_LOAD_FRACTIONS[2]
        return (demand - noisy) / (BASELINE_LOAD_FRACTION - noisy)

    def _calls_per_root_request(self, service: str) -> float:
        return sum(
            kind.share * chain_services(kind).count(service) for kind in self.kinds
        )


def chain_services(kind: loadgen.RequestKind) -> list[str]:
    """Return the services that a request passes through, in the order of the calls."""
    _, _, chain = kind.path.partition("?next=")
    return [kind.service, *(name for name in chain.split(",") if name)]


def _kinds(
    names: tuple[str, str, str, str, str],
    front: str,
    downstream: str,
    third: str,
    low_concurrency_service: str,
) -> tuple[loadgen.RequestKind, ...]:
    lookup, important, chain, low_concurrency_write, direct_write = names
    make = loadgen.RequestKind
    return (
        make(lookup, front, "GET", f"/{lookup}", 0.34, DEADLINE_MS),
        make(
            important,
            front,
            "GET",
            f"/{important}?next={downstream}",
            0.30,
            DEADLINE_MS,
            "important",
        ),
        make(
            chain,
            front,
            "GET",
            f"/{chain}?next={downstream},{third}",
            0.20,
            DEADLINE_MS,
        ),
        make(
            low_concurrency_write,
            front,
            "POST",
            f"/{low_concurrency_write}?next={low_concurrency_service}",
            0.06,
            DEADLINE_MS,
            "critical",
        ),
        make(
            direct_write,
            third,
            "POST",
            f"/{direct_write}",
            0.10,
            DEADLINE_MS,
            "critical",
        ),
    )


PENDULUM = Deployment(
    "pendulum",
    (
        Service("tickets", 10, 400),
        Service("parts", 10, 160),
        Service("payments", 10, 300),
        Service("scheduling", 2, 400),
    ),
    _kinds(
        ("ticket-lookup", "part-lookup", "shop-view", "booking", "deposit"),
        "tickets",
        "parts",
        "payments",
        "scheduling",
    ),
    "parts",
    0.0,
)

SETUBHAR = Deployment(
    "setubhar",
    (
        Service("permits", 9, 400),
        Service("route-checks", 9, 160),
        Service("vehicles", 9, 300),
        Service("fees", 2, 400),
    ),
    _kinds(
        ("permit-lookup", "route-check", "permit-view", "fee", "permit-issue"),
        "permits",
        "route-checks",
        "vehicles",
        "fees",
    ),
    "route-checks",
    0.008,
)

DEPLOYMENTS = {item.name: item for item in (PENDULUM, SETUBHAR)}
