"""Scores a scenario: what callers and targets saw, against what capacity allows."""

import dataclasses
import itertools
from collections.abc import Sequence
from typing import Any

import numpy as np

from toucanfold import deployments, loadgen, model, scenarios

BUCKET_S = 0.25
RECOVERED_RATIO = 0.95
# Recovery must last this many buckets before it counts.
RECOVERED_BUCKETS = 2
GRID_S = 0.1
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
    """Return how much of each kind's demand fits, more important kinds first.

    Kinds of one rank grow by the same fraction of their demand until a service of
    their chain is full.
    """
    left = dict(capacity)
    served = [0.0] * len(demand)
    for rank in sorted(set(ranks)):
        growing = {i for i, r in enumerate(ranks) if r == rank and demand[i] > 0}
        done = 0.0
        while growing and done < 1.0:
            use: dict[str, float] = {}
            for i in growing:
                for service in chains[i]:
                    use[service] = use.get(service, 0.0) + demand[i]
            step = min([1.0 - done, *(left[name] / use[name] for name in use)])
            for i in growing:
                served[i] += step * demand[i]
            for name, amount in use.items():
                left[name] -= step * amount
            done += step
            growing = {
                i for i in growing if all(left[name] > 1e-9 for name in chains[i])
            }
    return served


@dataclasses.dataclass(slots=True)
class ScenarioRun:
    """One scenario as it was run under one policy."""

    deployment: deployments.Deployment
    scenario: scenarios.Scenario
    plan: loadgen.Plan
    records: list[loadgen.Record]
    counts: dict[str, Any]
    withdrawn_account: str = ""
    withdrawn_at_s: float = 0.0

    @property
    def over_rate_accounts(self) -> set[str]:
        """Accounts which this scenario lets send above their rate."""
        limits = {account.name: account for account in self.deployment.accounts}
        return {
            sender.name
            for sender in self.plan.senders
            for phase in self.scenario.phases
            if phase.account == sender.name
            and sender.rate * phase.factor > limits[sender.name].rate
        }

    @property
    def counted(self) -> list[loadgen.Record]:
        """Records after the warm-up and before their key was withdrawn."""
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
    """What capacity and rates allow of the planned requests."""

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
        """Requests allowed in the whole run."""
        return float(self.by_kind.sum())

    def _add(self, start_s: float, end_s: float, records: list[loadgen.Record]) -> None:
        plan = self._run.plan
        demand = np.zeros((len(plan.senders), len(plan.kinds)))
        for record in records:
            if start_s <= record.at_s < end_s:
                demand[record.sender, record.kind] += 1
        length_s = end_s - start_s
        for index, account in enumerate(self._run.deployment.accounts):
            most = account.rate * length_s + account.burst
            if demand[index].sum() > most:
                demand[index] *= most / demand[index].sum()
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
        part = np.divide(served, by_kind, out=np.zeros_like(served), where=by_kind > 0)
        self.by_account += demand @ part

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
    """Return the time until requests planned after from_s succeed again.

    None if success did not come back and last before the end.
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
        is_back = good[index] >= RECOVERED_RATIO * sent[index]
        in_a_row = in_a_row + 1 if is_back else 0
        if in_a_row == RECOVERED_BUCKETS:
            return (index + 1 - RECOVERED_BUCKETS) * BUCKET_S
    return None


def over_rate(records: list[loadgen.Record], rate: float, burst: float) -> float:
    """Return the most calls above rate x time + burst in any window on a grid.

    A success surely spent its token between the planned send and the answer, so only
    those that lie wholly in a window are counted and the bound cannot fail falsely.
    """
    good = [record for record in records if record.is_success]
    if not good:
        return 0.0
    start = np.array([int(r.at_s / GRID_S) for r in good])
    end = np.array([int((r.at_s + r.latency_s) / GRID_S) + 1 for r in good])
    size = int(end.max()) + 1
    grid = np.zeros((size, size))
    np.add.at(grid, (start, end), 1)
    # within[a, b] counts the calls sent at a or later and answered by b.
    within = np.cumsum(np.cumsum(grid[::-1], axis=0)[::-1], axis=1)
    edges = np.arange(size) * GRID_S
    allowed = rate * (edges[None, :] - edges[:, None]) + burst
    excess = np.where(edges[None, :] > edges[:, None], within - allowed, 0.0)
    return float(max(0.0, excess.max()))


def _percentiles(run: ScenarioRun) -> tuple[float | None, float | None]:
    if not run.scenario.has_added_latency:
        return None, None
    delays_s = 2 * run.plan.client_delay_s
    single = {
        index
        for index, kind in enumerate(run.plan.kinds)
        if len(deployments.chain_services(kind)) == 1 and kind.method == "GET"
    }
    added = [
        (record.latency_s - record.target_time_s - record.send_delay_s - delays_s)
        * 1000
        for record in run.counted
        if record.is_success and record.attempts == 1 and record.kind in single
    ]
    if not added:
        return None, None
    low, high = np.percentile(added, [50, 99])
    return round(float(low), 3), round(float(high), 3)


def _wrongful(run: ScenarioRun, names: list[str]) -> float:
    excluded = run.over_rate_accounts
    within = [r for r in run.counted if names[r.sender] not in excluded]
    if run.scenario.is_overload:
        refused = sum(r.error == "rate_exceeded" for r in within)
    else:
        refused = sum(bool(r.error) and r.outcome == "not-run" for r in within)
    return refused / max(1, len(within))


def _recovery(run: ScenarioRun, names: list[str]) -> float | None:
    scenario = run.scenario
    if scenario.recovery_start_s < 0:
        return None
    if run.withdrawn_account:
        return _last_use_s(run, names)
    return recovery_s(run.counted, scenario.recovery_start_s, scenario.duration_s)


def _last_use_s(run: ScenarioRun, names: list[str]) -> float | None:
    """Return how long a withdrawn key went on working, None if it never stopped."""
    own = [r for r in run.records if names[r.sender] == run.withdrawn_account]
    last = max((r.at_s for r in own if r.is_success), default=0.0)
    end = max((r.at_s for r in own), default=0.0)
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
    """Return the JSON fields of a run."""
    names = [sender.name for sender in run.plan.senders]
    records = run.counted
    admissible = AdmissibleLoad(run, records)
    good = sum(record.is_success for record in records)
    harmful = [
        index
        for index, kind in enumerate(run.plan.kinds)
        if kind.importance == "critical"
    ]
    harmful_good = sum(r.is_success for r in records if r.kind in harmful)
    low, high = _percentiles(run)
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
        round(harmful_good / max(1.0, float(admissible.by_kind[harmful].sum())), 4),
        _recovery(run, names),
        round(_wrongful(run, names), 5),
        round(run.counts["request_runs"] / requests, 4) if requests else None,
        run.counts["double_runs"],
        round(excess, 1),
        sum(record.lost_connections for record in run.records),
        low,
        high,
    )
    return dict(zip(FIELDS, values, strict=True))
