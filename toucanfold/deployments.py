"""The operators' deployments, scaled down to one machine with ten cores.

Sizes keep the operators' proportions: four services of six targets, three wide and
one narrow. Concurrency is divided by seven (70, 65 and 15 become 10, 9 and 2), so
that 24 daemons, 24 targets and the load leave the machine's cores partly idle.
"""

import dataclasses

from toucanfold import loadgen

TARGETS_PER_SERVICE = 6
REGIONS = ("north", "middle", "south")
DATA_CENTRES = ("a", "b")
CONCURRENCY_DIVISOR = 7
BASELINE_LOAD_FRACTION = 0.7
ACCOUNT_LOAD_FRACTIONS = (0.28, 0.22, 0.16, 0.12, 0.08, 0.06, 0.05, 0.03)
# Rates leave room for a surge of 4x capacity, so that a surge meets the admission
# control. Only the noisy account is limited close to its own demand.
RATE_LIMIT_FACTOR = 8.0
NOISY_ACCOUNT = "account3"
NOISY_RATE_LIMIT_FACTOR = 1.25
MIN_BURST = 48.0
DEADLINE_MS = 3000


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """One service; the concurrency is per target."""

    name: str
    workers: int
    service_ms: float

    @property
    def capacity(self) -> float:
        """Calls/s of all targets together."""
        return TARGETS_PER_SERVICE * self.workers * 1000 / self.service_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account: what it sends when calm, and its limits (calls/s, calls)."""

    name: str
    base_rate: float
    rate: float
    burst: float


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """Where one target and its daemon run."""

    name: str
    service: Service
    region: str
    data_centre: str


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """An operator's services, request kinds and distance to clients."""

    name: str
    services: tuple[Service, ...]
    kinds: tuple[loadgen.RequestKind, ...]
    downstream_service: str
    client_delay_s: float

    @property
    def capacity(self) -> float:
        """Root requests/s of the mix at which the first service is saturated."""
        return min(
            service.capacity / share
            for service in self.services
            if (share := self._share_of(service.name)) > 0
        )

    @property
    def accounts(self) -> list[Account]:
        """The client accounts, of which a few are large."""
        steady = self.capacity * BASELINE_LOAD_FRACTION
        accounts = []
        for number, share in enumerate(ACCOUNT_LOAD_FRACTIONS, 1):
            name = f"account{number}"
            factor = (
                NOISY_RATE_LIMIT_FACTOR if name == NOISY_ACCOUNT else RATE_LIMIT_FACTOR
            )
            rate = round(steady * share * factor, 1)
            burst = max(MIN_BURST, rate)
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
        """Factor for all but the noisy account so that demand is x times capacity."""
        noisy = BASELINE_LOAD_FRACTION * ACCOUNT_LOAD_FRACTIONS[2]
        return (demand - noisy) / (BASELINE_LOAD_FRACTION - noisy)

    def _share_of(self, service: str) -> float:
        return sum(
            kind.share * chain_services(kind).count(service) for kind in self.kinds
        )


def chain_services(kind: loadgen.RequestKind) -> list[str]:
    """Return the services of a request's chain, first the called one."""
    _, _, chain = kind.path.partition("?next=")
    return [kind.service, *(name for name in chain.split(",") if name)]


def _kinds(
    names: tuple[str, str, str, str, str],
    front: str,
    deep: str,
    third: str,
    narrow: str,
) -> tuple[loadgen.RequestKind, ...]:
    lookup, important, chain, narrow_work, wide_work = names
    make = loadgen.RequestKind
    return (
        make(lookup, front, "GET", f"/{lookup}", 0.34, DEADLINE_MS),
        make(
            important,
            front,
            "GET",
            f"/{important}?next={deep}",
            0.30,
            DEADLINE_MS,
            "important",
        ),
        make(chain, front, "GET", f"/{chain}?next={deep},{third}", 0.20, DEADLINE_MS),
        make(
            narrow_work,
            front,
            "POST",
            f"/{narrow_work}?next={narrow}",
            0.06,
            DEADLINE_MS,
            "critical",
        ),
        make(wide_work, third, "POST", f"/{wide_work}", 0.10, DEADLINE_MS, "critical"),
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
