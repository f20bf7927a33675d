"""Scores a scenario: measured results of callers and targets against capacity."""

import dataclasses
import itertools
from collections.abc import Sequence
from typing import Any

import numpy as np

from toucanfold import deployments, loadgen, model, scenarios

BUCKET_S = 0.25
RECOVERED_RATIO = 0.95
# Recovery counts once it has lasted this many buckets.
RECOVERED_BUCKETS = 2
GRID_STEP_S = 0.1
FIELDS = (
    "scenario",
    "deployment",
    "policy",
    "seed",
    "offered",
    "goodput",
    "goodput_ratio",
    "worst_account_ratio",
    "harmful_success_ratio",
    "recovery_s",
    "wrongful_refusal_ratio",
    "attempts_per_request",
    "double_runs",
    "over_rate",
    "cut_requests",
    "added_p50_ms",
    "added_p99_ms",
)


def progressive_fill(
    demand: Sequence[float],
    ranks: Sequence[int],
    chains: Sequence[Sequence[str]],
    capacity: dict[str, float],
) -> list[float]:
    """Return how much of each kind's demand can be served, lowest rank first.

    Kinds of equal rank grow by the same fraction of their demand until a service of
    their chain is at capacity. Demand and capacity are in calls.
    """
    remaining = dict(capacity)
    served = [0.0] * len(demand)
    for rank in sorted(set(ranks)):
        growing = {i for i, r in enumerate(ranks) if r == rank and demand[i] > 0}
        served_fraction = 0.0
        while growing and served_fraction < 1.0:
            usage_per_service: dict[str, float] = {}
            for i in growing:
                for service in chains[i]:
                    usage_per_service[service] = (
                        usage_per_service.get(service, 0.0) + demand[i]
                    )
            step = min(
                [
                    1.0 - served_fraction,
                    *(
                        remaining[name] / usage_per_service[name]
                        for name in usage_per_service
                    ),
                ]
            )
            for i in growing:
                served[i] += step * demand[i]
            for name, amount in usage_per_service.items():
                remaining[name] -= step * amount
            served_fraction += step
            growing = {
                i for i in growing if all(remaining[name] > 1e-9 for name in chains[i])
            }
    return served


@dataclasses.dataclass(slots=True)
class ScenarioRun:
    """One scenario run under one policy: the plan and its results."""

    deployment: deployments.Deployment
    scenario: scenarios.Scenario
    plan: loadgen.Plan
    records: list[loadgen.Record]
    counts: dict[str, Any]
    withdrawn_account: str = ""
    withdrawn_at_s: float = 0.0

    @property
    def over_rate_accounts(self) -> set[str]:
        """Accounts that send above their rate limit in this scenario."""
        limits = {account.name: account for account in self.deployment.accounts}
        return {
            sender.name
            for sender in self.plan.senders
            for phase in self.scenario.phases
            if phase.account == sender.name
            and sender.rate * phase.factor > limits[sender.name].rate
        }

    @property
    def scored_records(self) -> list[loadgen.Record]:
        """Records planned after the warm-up and before their key was withdrawn."""
        names = [sender.name for sender in self.plan.senders]
        return [
            record
            for record in self.records
            if record.at_s >= self.scenario.warm_up_s
            and (
                names[record.sender] != self.withdrawn_account
                or record.at_s < self.withdrawn_at_s
            )
        ]


class AdmissibleLoad:
    """How many of the planned requests capacity and rate limits allow."""

    def __init__(self, run: ScenarioRun, records: list[loadgen.Record]):
        self._run = run
        self.by_kind = np.zeros(len(run.plan.kinds))
        self.by_account = np.zeros(len(run.plan.senders))
        edges = {run.scenario.warm_up_s, run.scenario.duration_s}
        for phase in run.scenario.phases:
            edges |= {phase.start_s, phase.end_s}
        edges |= set(run.scenario.slow or ())
        ordered = sorted(edges)
        for start_s, end_s in itertools.pairwise(ordered):
            self._add(start_s, end_s, records)

    @property
    def total(self) -> float:
        """Requests allowed in the entire run."""
        return float(self.by_kind.sum())

    def _add(self, start_s: float, end_s: float, records: list[loadgen.Record]) -> None:
        plan = self._run.plan
        demand = np.zeros((len(plan.senders), len(plan.kinds)))
        for record in records:
            if start_s <= record.at_s < end_s:
                demand[record.sender, record.kind] += 1
        length_s = end_s - start_s
        for index, account in enumerate(self._run.deployment.accounts):
            max_requests = account.rate * length_s + account.burst
            if demand[index].sum() > max_requests:
                demand[index] *= max_requests / demand[index].sum()
        by_kind = demand.sum(axis=0)
        served = np.array(
            progressive_fill(
                list(by_kind),
                [model.IMPORTANCE_RANKS[kind.importance] for kind in plan.kinds],
                [deployments.chain_services(kind) for kind in plan.kinds],
                self._capacity(start_s, length_s),
            )
        )
        self.by_kind += served
        served_fractions = np.divide(
            served, by_kind, out=np.zeros_like(served), where=by_kind > 0
        )
        self.by_account += demand @ served_fractions

    def _capacity(self, start_s: float, length_s: float) -> dict[str, float]:
        run = self._run
        capacity = {
            service.name: service.capacity * length_s
            for service in run.deployment.services
        }
        slow = run.scenario.slow
        if slow and slow[0] <= start_s < slow[1]:
            capacity[run.deployment.downstream_service] /= scenarios.SLOWDOWN_FACTOR
        return capacity


def recovery_s(
    records: list[loadgen.Record], from_s: float, duration_s: float
) -> float | None:
    """Return the seconds until requests planned after from_s succeed again.

    None if requests did not succeed for RECOVERED_BUCKETS in a row before the end.
    """
    buckets = int((duration_s - from_s) / BUCKET_S)
    sent, good = [0] * buckets, [0] * buckets
    for record in records:
        index = int((record.at_s - from_s) / BUCKET_S)
        if record.at_s >= from_s and index < buckets:
            sent[index] += 1
            good[index] += record.is_success
    in_a_row = 0
    for index in range(buckets):
        is_recovered = good[index] >= RECOVERED_RATIO * sent[index]
        in_a_row = in_a_row + 1 if is_recovered else 0
        if in_a_row == RECOVERED_BUCKETS:
            return (index + 1 - RECOVERED_BUCKETS) * BUCKET_S
    return None


def over_rate(records: list[loadgen.Record], rate: float, burst: float) -> float:
    """Return the maximum excess over rate x time + burst (calls) in any grid window.

    A successful call took its token at some time between the planned send and the
    response. Only calls that lie entirely within a window are counted, so the result
    never reports an excess that did not occur.
    """
    good = [record for record in records if record.is_success]
    if not good:
        return 0.0
    start = np.array([int(r.at_s / GRID_STEP_S) for r in good])
    end = np.array([int((r.at_s + r.latency_s) / GRID_STEP_S) + 1 for r in good])
    size = int(end.max()) + 1
    grid = np.zeros((size, size))
    np.add.at(grid, (start, end), 1)
    # within[a, b] counts the calls sent at grid step a or later and answered by b.
    within = np.cumsum(np.cumsum(grid[::-1], axis=0)[::-1], axis=1)
    edges = np.arange(size) * GRID_STEP_S
    allowed = rate * (edges[None, :] - edges[:, None]) + burst
    excess = np.where(edges[None, :] > edges[:, None], within - allowed, 0.0)
    return float(max(0.0, excess.max()))


def _added_latency_percentiles_ms(
    run: ScenarioRun,
) -> tuple[float | None, float | None]:
    if not run.scenario.has_added_latency:
        return None, None
    delays_s = 2 * run.plan.client_delay_s
    single_call_kinds = {
        index
        for index, kind in enumerate(run.plan.kinds)
        if len(deployments.chain_services(kind)) == 1 and kind.method == "GET"
    }
    added = [
        (record.latency_s - record.target_time_s - record.send_delay_s - delays_s)
        * 1000
        for record in run.scored_records
        if record.is_success
        and record.attempts == 1
        and record.kind in single_call_kinds
    ]
    if not added:
        return None, None
    p50_ms, p99_ms = np.percentile(added, [50, 99])
    return round(float(p50_ms), 3), round(float(p99_ms), 3)


def _wrongful_refusal_ratio(run: ScenarioRun, names: list[str]) -> float:
    excluded = run.over_rate_accounts
    within = [r for r in run.scored_records if names[r.sender] not in excluded]
    if run.scenario.is_overload:
        refused = sum(r.error == "rate_exceeded" for r in within)
    else:
        refused = sum(bool(r.error) and r.outcome == "not-run" for r in within)
    return refused / max(1, len(within))


def _recovery_or_key_use_s(run: ScenarioRun, names: list[str]) -> float | None:
    scenario = run.scenario
    if scenario.recovery_start_s < 0:
        return None
    if run.withdrawn_account:
        return _withdrawn_key_use_s(run, names)
    return recovery_s(
        run.scored_records, scenario.recovery_start_s, scenario.duration_s
    )


def _withdrawn_key_use_s(run: ScenarioRun, names: list[str]) -> float | None:
    """Return how long a withdrawn key still worked (s), None if it never stopped."""
    account_records = [
        r for r in run.records if names[r.sender] == run.withdrawn_account
    ]
    last = max((r.at_s for r in account_records if r.is_success), default=0.0)
    end = max((r.at_s for r in account_records), default=0.0)
    if last >= end - BUCKET_S:
        return None
    return round(max(0.0, last - run.withdrawn_at_s), 3)


def _account_ratios(
    run: ScenarioRun, records: list[loadgen.Record], admissible: AdmissibleLoad
) -> list[float]:
    good = np.zeros(len(run.plan.senders))
    for record in records:
        good[record.sender] += record.is_success
    return [
        float(good[index] / admissible.by_account[index])
        for index, sender in enumerate(run.plan.senders)
        if sender.name not in run.over_rate_accounts | {run.withdrawn_account}
        and admissible.by_account[index] > 0
    ]


def line(run: ScenarioRun, policy: str) -> dict[str, Any]:
    """Return the scored fields of a run, as named in FIELDS."""
    names = [sender.name for sender in run.plan.senders]
    records = run.scored_records
    admissible = AdmissibleLoad(run, records)
    good = sum(record.is_success for record in records)
    critical_kinds = [
        index
        for index, kind in enumerate(run.plan.kinds)
        if kind.importance == "critical"
    ]
    critical_successes = sum(r.is_success for r in records if r.kind in critical_kinds)
    p50_ms, p99_ms = _added_latency_percentiles_ms(run)
    limits = {account.name: account for account in run.deployment.accounts}
    excess = max(
        over_rate(
            [r for r in run.records if r.sender == index],
            limits[name].rate,
            limits[name].burst,
        )
        for index, name in enumerate(names)
    )
    requests = run.counts.get("distinct_requests", 0)
    values = (
        run.scenario.name,
        run.deployment.name,
        policy,
        run.plan.seed,
        round(len(records) / run.scenario.scored_s, 1),
        round(good / run.scenario.scored_s, 1),
        round(good / max(1.0, admissible.total), 4),
        round(min(_account_ratios(run, records, admissible), default=0.0), 4),
        round(
            critical_successes
            / max(1.0, float(admissible.by_kind[critical_kinds].sum())),
            4,
        ),
        _recovery_or_key_use_s(run, names),
        round(_wrongful_refusal_ratio(run, names), 5),
        round(run.counts["request_runs"] / requests, 4) if requests else None,
        run.counts["double_runs"],
        round(excess, 1),
        sum(record.lost_connections for record in run.records),
        p50_ms,
        p99_ms,
    )
    return dict(zip(FIELDS, values, strict=True))
