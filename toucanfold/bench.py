"""Runs benchmark scenarios against the product and against the naive proxy."""

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

LOAD_PROCESSES = 3
LOAD_START_DELAY_S = 1.0
SETTLE_S = 0.3
# Error kinds that do not tell the cause: the summary adds a sample message.
ERRORS_WITH_SAMPLE = {"connection_lost", "target_failed", "bad_request", "conflict"}
POLICIES: dict[str, type[benchfleet.BenchFleet]] = {
    "toucanfold": productfleet.ProductFleet,
    "naive": benchfleet.NaiveFleet,
}

FLAGS = flags.FlagValues()
flags.DEFINE_bool("quick", False, "Run three short scenarios.", flag_values=FLAGS)
flags.DEFINE_list("scenario", [], "Run only these scenarios.", flag_values=FLAGS)
flags.DEFINE_list("deployment", [], "Run only these deployments.", flag_values=FLAGS)
flags.DEFINE_list("policy", [], "Run only these policies.", flag_values=FLAGS)
flags.DEFINE_integer("seed", 1, "Seed of the request schedules.", flag_values=FLAGS)
flags.DEFINE_bool(
    "capacity",
    False,
    "Measure how the cost of each role grows with its load.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "keep", "", "Directory to copy logs and records to.", flag_values=FLAGS
)
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
    """Return the load plan of a scenario; its schedule is the same for all policies."""
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
    """Return (busy, total) CPU seconds of all cores since the machine booted."""
    with open("/proc/stat", encoding="ascii") as file:
        ticks = [int(text) for text in file.readline().split()[1:9]]
    idle = ticks[3] + ticks[4]
    return (sum(ticks) - idle) / 100, sum(ticks) / 100


class Bench:
    """Runs the scenarios of one deployment and policy on the fleet under test."""

    def __init__(
        self,
        fleet: benchfleet.BenchFleet,
        processes: processmanager.ProcessManager,
        seed: int,
    ):
        self.problems: list[str] = []
        self._fleet = fleet
        self._processes = processes
        self._seed = seed
        self._run_number = 0

    async def run(self, chosen: Sequence[scenarios.Scenario]) -> list[dict[str, Any]]:
        """Start the fleet, run the scenarios, stop the fleet; return the results."""
        started_at = time.monotonic()
        await self._fleet.start()
        label = f"{self._fleet.deployment.name} {self._fleet.policy}"
        progress(f"{label}: fleet started in {time.monotonic() - started_at:.1f} s")
        lines = []
        for scenario in chosen:
            lines.append(await self._run_scenario(scenario, label))
            print(json.dumps(lines[-1]), flush=True)
        await self._fleet.stop()
        return lines

    async def _run_scenario(
        self, scenario: scenarios.Scenario, label: str
    ) -> dict[str, Any]:
        fleet = self._fleet
        await fleet.prepare(scenario)
        plan = make_plan(
            fleet.deployment, scenario, fleet.entries, fleet.keys, self._seed
        )
        busy, total = cpu_times()
        cpu_s_before = self._processes.cpu_s()
        withdrawn_at_s = await self._send_load(scenario, plan)
        busy_after, total_after = cpu_times()
        cpu_s_after = self._processes.cpu_s()
        records, summaries = self._read_records()
        await asyncio.sleep(SETTLE_S)
        counts = await fleet.counts()
        run = score.ScenarioRun(
            fleet.deployment,
            scenario,
            plan,
            records,
            counts,
            fleet.withdrawn_account,
            withdrawn_at_s,
        )
        line = score.line(run, fleet.policy)
        elapsed_core_s = max(0.01, total_after - total)
        cpu_s_by_process = {
            name: max(0.0, cpu_s_after[name] - cpu_s_before.get(name, 0))
            for name in cpu_s_after
        }
        cpu_s_by_process["load"] = sum(
            load_summary["cpu_s"] for load_summary in summaries
        )
        shares = (
            (busy_after - busy) / elapsed_core_s,
            sum(cpu_s_by_process.values()) / elapsed_core_s,
        )
        progress(
            f"{label} {scenario.name}: CPU seconds {cpu_s_by_group(cpu_s_by_process)}"
        )
        progress(
            f"{label} {scenario.name}: {summary(line, records, shares, summaries)}"
        )
        if counts.get("leaked_keys"):
            self.problems.append(
                f"{label} {scenario.name}: targets received an API key"
            )
        return line

    async def _send_load(
        self, scenario: scenarios.Scenario, plan: loadgen.Plan
    ) -> float:
        """Send the load and run the scenario's actions at their times.

        Returns when a key was withdrawn (s after the start), 0 if none was.
        """
        path = self._processes.write_json("plan.json", dataclasses.asdict(plan))
        start_at = time.monotonic() + LOAD_START_DELAY_S
        self._run_number += 1
        for shard in range(LOAD_PROCESSES):
            self._processes.start(
                f"load-{shard}",
                "load",
                f"--plan={path}",
                f"--output={self._records_path(shard)}",
                f"--part={shard}",
                f"--parts={LOAD_PROCESSES}",
                f"--start_at={start_at}",
            )
        withdrawn_at_s = 0.0
        for action in scenario.actions:
            await asyncio.sleep(start_at + action.at_s - time.monotonic())
            await self._fleet.run_action(action.name)
            if self._fleet.withdrawn_account and not withdrawn_at_s:
                withdrawn_at_s = time.monotonic() - start_at
        for shard in range(LOAD_PROCESSES):
            await self._processes.processes[f"load-{shard}"].wait(60)
        return withdrawn_at_s

    def _records_path(self, shard: int) -> str:
        return str(self._processes.folder / f"records-{self._run_number}-{shard}.json")

    def _read_records(self) -> tuple[list[loadgen.Record], list[dict[str, Any]]]:
        records, summaries = [], []
        for shard in range(LOAD_PROCESSES):
            shard_records, shard_summary = loadgen.read_records(
                self._records_path(shard)
            )
            records += shard_records
            summaries.append(shard_summary)
        records.sort(key=lambda record: record.at_s)
        return records, summaries


def cpu_s_by_group(cpu_s_by_process: dict[str, float]) -> dict[str, float]:
    """Return CPU seconds by process group (the prefix of the process name)."""
    groups: dict[str, float] = {}
    for name, seconds in cpu_s_by_process.items():
        group = name.partition("-")[0]
        group = group if group in ("control", "target", "load") else "proxies"
        groups[group] = round(groups.get(group, 0.0) + seconds, 2)
    return groups


def summary(
    line: dict[str, Any],
    records: list[loadgen.Record],
    cpu_shares: tuple[float, float],
    summaries: list[dict[str, Any]],
) -> str:
    """Return a line of text with the results of a scenario run."""
    errors: dict[str, int] = {}
    for record in records:
        if not record.is_success:
            name = record.error or str(record.status)
            errors[name] = errors.get(name, 0) + 1
    late = max(load_summary["late_p99_ms"] for load_summary in summaries)
    text = (
        f"goodput {line['goodput']}/s of {line['offered']}/s, "
        f"ratio {line['goodput_ratio']}, "
        f"cores busy {cpu_shares[0]:.0%}, used by this bench {cpu_shares[1]:.0%}, "
        f"send delay p99 {late:.1f} ms, errors {errors}"
    )
    samples = {
        name: text
        for load_summary in summaries
        for name, text in load_summary["samples"].items()
    }
    for name in ERRORS_WITH_SAMPLE & samples.keys():
        text += f"; {name}: {samples[name]}"
    if any(load_summary["self_limited"] for load_summary in summaries):
        text += "; the load generator could not keep up with the schedule"
    return text


def select_scenarios(deployment: deployments.Deployment) -> list[scenarios.Scenario]:
    """Return the scenarios selected by the flags."""
    available = scenarios.all_scenarios(deployment, FLAGS.quick)
    wanted = FLAGS.scenario or (scenarios.QUICK_SCENARIOS if FLAGS.quick else ())
    return [item for item in available if not wanted or item.name in wanted]


async def _run_all(names: Sequence[str], policies: Sequence[str]) -> list[str]:
    problems = []
    for name in names:
        deployment = deployments.DEPLOYMENTS[name]
        for policy in policies:
            keep = f"{FLAGS.keep}/{name}-{policy}" if FLAGS.keep else ""
            with processmanager.ProcessManager(f"bench-{policy}", keep) as processes:
                fleet = POLICIES[policy](deployment, processes)
                bench = Bench(fleet, processes, FLAGS.seed)
                await bench.run(select_scenarios(deployment))
                problems += bench.problems
    return problems


def _find_unknown(values: Sequence[str], available: Sequence[str]) -> str:
    return next((value for value in values if value not in available), "")


def main(arguments: list[str]) -> int:
    """Run the bench; return 0 if it ran without problems, 1 otherwise.

    A target that received an API key and a capacity that could not be measured are
    problems.
    """
    cmdline.parse_flags(FLAGS, "bench", arguments, HELP_TEXT)
    names = FLAGS.deployment or (
        ["pendulum"] if FLAGS.quick else list(deployments.DEPLOYMENTS)
    )
    policies = FLAGS.policy or list(POLICIES)
    all_names = [s.name for s in scenarios.all_scenarios(deployments.PENDULUM, False)]
    for values, available in (
        (names, list(deployments.DEPLOYMENTS)),
        (policies, list(POLICIES)),
        (FLAGS.scenario, all_names),
    ):
        unknown = _find_unknown(values, available)
        if unknown:
            return cmdline.report_usage_error(
                f"unknown name {unknown!r}", f"use {', '.join(available)}"
            )
    started_at = time.monotonic()
    if FLAGS.capacity:
        problems = capacity.run(progress)
    else:
        problems = asyncio.run(_run_all(names, policies))
    progress(f"bench took {time.monotonic() - started_at:.1f} s")
    for problem in problems:
        progress(f"problem: {problem}")
    return 1 if problems else 0
