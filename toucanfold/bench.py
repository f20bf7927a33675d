"""Measures scenarios against the product and against the naive proxy."""

import asyncio
import dataclasses
import json
import sys
import time
from collections.abc import Sequence
from typing import Any

from absl import flags

from toucanfold import (
    benchfleet,
    capacity,
    cmdline,
    deployments,
    loadgen,
    processmanager,
    productfleet,
    scenarios,
    score,
)

LOAD_PARTS = 3
LOAD_START_S = 1.0
SETTLE_S = 0.3
# Errors which a short word does not explain.
EXPLAINED = {"connection_lost", "target_failed", "bad_request", "conflict"}
POLICIES: dict[str, type[benchfleet.BenchFleet]] = {
    "toucanfold": productfleet.ProductFleet,
    "naive": benchfleet.NaiveFleet,
}

FLAGS = flags.FlagValues()
flags.DEFINE_bool("quick", False, "Run three short scenarios.", flag_values=FLAGS)
flags.DEFINE_list("scenario", [], "Run only these scenarios.", flag_values=FLAGS)
flags.DEFINE_list("deployment", [], "Run only these deployments.", flag_values=FLAGS)
flags.DEFINE_list("policy", [], "Run only these policies.", flag_values=FLAGS)
flags.DEFINE_integer("seed", 1, "Seed of the schedules.", flag_values=FLAGS)
flags.DEFINE_bool("capacity", False, "Measure slopes per role.", flag_values=FLAGS)
flags.DEFINE_string("keep", "", "Copy logs and records here.", flag_values=FLAGS)
HELP_TEXT = "Runs real processes on loopback; prints one JSON object a line."


def progress(text: str) -> None:
    """Print to standard error."""
    print(text, file=sys.stderr, flush=True)


def make_plan(
    deployment: deployments.Deployment,
    scenario: scenarios.Scenario,
    entries: list[str],
    keys: dict[str, str],
    seed: int,
) -> loadgen.Plan:
    """Return the plan of a scenario; its schedule does not depend on the policy."""
    return loadgen.Plan(
        seed,
        scenario.duration_s,
        entries,
        [
            loadgen.AccountLoad(account.name, keys[account.name], account.base_rate)
            for account in deployment.accounts
        ],
        list(deployment.kinds),
        list(scenario.phases),
        client_delay_s=deployment.client_delay_s,
    )


def cpu_times() -> tuple[float, float]:
    """Return (busy, total) seconds of all cores since the machine started."""
    with open("/proc/stat", encoding="ascii") as file:
        ticks = [int(text) for text in file.readline().split()[1:9]]
    idle = ticks[3] + ticks[4]
    return (sum(ticks) - idle) / 100, sum(ticks) / 100


class Bench:
    """Runs the scenarios of one deployment and policy on one fleet."""

    def __init__(
        self,
        subject: benchfleet.BenchFleet,
        processes: processmanager.ProcessManager,
        seed: int,
    ):
        self.problems: list[str] = []
        self._subject = subject
        self._processes = processes
        self._seed = seed
        self._run_number = 0

    async def run(self, chosen: Sequence[scenarios.Scenario]) -> list[dict[str, Any]]:
        """Start the fleet, run the scenarios and stop the fleet."""
        began = time.monotonic()
        await self._subject.start()
        label = f"{self._subject.deployment.name} {self._subject.policy}"
        progress(f"{label}: fleet started in {time.monotonic() - began:.1f} s")
        lines = []
        for scenario in chosen:
            lines.append(await self._scenario(scenario, label))
            print(json.dumps(lines[-1]), flush=True)
        await self._subject.stop()
        return lines

    async def _scenario(
        self, scenario: scenarios.Scenario, label: str
    ) -> dict[str, Any]:
        subject = self._subject
        await subject.prepare(scenario)
        plan = make_plan(
            subject.deployment, scenario, subject.entries, subject.keys, self._seed
        )
        busy, total = cpu_times()
        used = self._processes.cpu_s()
        withdrawn_at_s = await self._drive(scenario, plan)
        busy_after, total_after = cpu_times()
        used_after = self._processes.cpu_s()
        records, facts = self._collect()
        await asyncio.sleep(SETTLE_S)
        counts = await subject.counts()
        run = score.ScenarioRun(
            subject.deployment,
            scenario,
            plan,
            records,
            counts,
            subject.withdrawn_account,
            withdrawn_at_s,
        )
        line = score.line(run, subject.policy)
        whole = max(0.01, total_after - total)
        own = {
            name: max(0.0, used_after[name] - used.get(name, 0)) for name in used_after
        }
        own["load"] = sum(fact["cpu_s"] for fact in facts)
        shares = ((busy_after - busy) / whole, sum(own.values()) / whole)
        progress(f"{label} {scenario.name}: CPU seconds {by_group(own)}")
        progress(f"{label} {scenario.name}: {summary(line, records, shares, facts)}")
        if counts.get("leaked_keys"):
            self.problems.append(f"{label} {scenario.name}: targets saw a key")
        return line

    async def _drive(self, scenario: scenarios.Scenario, plan: loadgen.Plan) -> float:
        """Send the load and act at the times of the scenario."""
        path = self._processes.write_json("plan.json", dataclasses.asdict(plan))
        start_at = time.monotonic() + LOAD_START_S
        self._run_number += 1
        for part in range(LOAD_PARTS):
            self._processes.start(
                f"load-{part}",
                "load",
                f"--plan={path}",
                f"--output={self._output(part)}",
                f"--part={part}",
                f"--parts={LOAD_PARTS}",
                f"--start_at={start_at}",
            )
        withdrawn_at_s = 0.0
        for action in scenario.actions:
            await asyncio.sleep(start_at + action.at_s - time.monotonic())
            await self._subject.run_action(action.name)
            if self._subject.withdrawn_account and not withdrawn_at_s:
                withdrawn_at_s = time.monotonic() - start_at
        for part in range(LOAD_PARTS):
            await self._processes.processes[f"load-{part}"].wait(60)
        return withdrawn_at_s

    def _output(self, part: int) -> str:
        return str(self._processes.folder / f"records-{self._run_number}-{part}.json")

    def _collect(self) -> tuple[list[loadgen.Record], list[dict[str, Any]]]:
        records, facts = [], []
        for part in range(LOAD_PARTS):
            part_records, part_facts = loadgen.read_records(self._output(part))
            records += part_records
            facts.append(part_facts)
        records.sort(key=lambda record: record.at_s)
        return records, facts


def by_group(used: dict[str, float]) -> dict[str, float]:
    """Add the CPU seconds of processes of one kind (the first part of the name)."""
    groups: dict[str, float] = {}
    for name, seconds in used.items():
        group = name.partition("-")[0]
        group = group if group in ("control", "target", "load") else "proxies"
        groups[group] = round(groups.get(group, 0.0) + seconds, 2)
    return groups


def summary(
    line: dict[str, Any],
    records: list[loadgen.Record],
    cpu_shares: tuple[float, float],
    facts: list[dict[str, Any]],
) -> str:
    """Return a readable line about a run."""
    errors: dict[str, int] = {}
    for record in records:
        if not record.is_success:
            name = record.error or str(record.status)
            errors[name] = errors.get(name, 0) + 1
    late = max(fact["late_p99_ms"] for fact in facts)
    text = (
        f"goodput {line['goodput']}/s of {line['offered']}/s, "
        f"ratio {line['goodput_ratio']}, "
        f"cores busy {cpu_shares[0]:.0%}, by this bench {cpu_shares[1]:.0%}, "
        f"late p99 {late:.1f} ms, errors {errors}"
    )
    samples = {name: text for fact in facts for name, text in fact["samples"].items()}
    for name in EXPLAINED & samples.keys():
        text += f"; {name}: {samples[name]}"
    if any(fact["self_limited"] for fact in facts):
        text += "; the load generator itself was the limit"
    return text


def choose(deployment: deployments.Deployment) -> list[scenarios.Scenario]:
    """Return the scenarios that the flags ask for."""
    known = scenarios.all_scenarios(deployment, FLAGS.quick)
    wanted = FLAGS.scenario or (scenarios.QUICK_SCENARIOS if FLAGS.quick else ())
    return [item for item in known if not wanted or item.name in wanted]


async def _run_all(names: Sequence[str], policies: Sequence[str]) -> list[str]:
    problems = []
    for name in names:
        deployment = deployments.DEPLOYMENTS[name]
        for policy in policies:
            keep = f"{FLAGS.keep}/{name}-{policy}" if FLAGS.keep else ""
            with processmanager.ProcessManager(f"bench-{policy}", keep) as processes:
                subject = POLICIES[policy](deployment, processes)
                bench = Bench(subject, processes, FLAGS.seed)
                await bench.run(choose(deployment))
                problems += bench.problems
    return problems


def _unknown(values: Sequence[str], known: Sequence[str]) -> str:
    return next((value for value in values if value not in known), "")


def main(arguments: list[str]) -> int:
    """Run the bench; return 0 when it ran and no target saw a key."""
    cmdline.parse_flags(FLAGS, "bench", arguments, HELP_TEXT)
    names = FLAGS.deployment or (
        ["pendulum"] if FLAGS.quick else list(deployments.DEPLOYMENTS)
    )
    policies = FLAGS.policy or list(POLICIES)
    all_names = [s.name for s in scenarios.all_scenarios(deployments.PENDULUM, False)]
    for values, known in (
        (names, list(deployments.DEPLOYMENTS)),
        (policies, list(POLICIES)),
        (FLAGS.scenario, all_names),
    ):
        unknown = _unknown(values, known)
        if unknown:
            return cmdline.report_usage_error(
                f"unknown name {unknown!r}", f"use {', '.join(known)}"
            )
    began = time.monotonic()
    if FLAGS.capacity:
        problems = capacity.run(progress)
    else:
        problems = asyncio.run(_run_all(names, policies))
    progress(f"bench took {time.monotonic() - began:.1f} s")
    for problem in problems:
        progress(f"problem: {problem}")
    return 1 if problems else 0
