"""Open-loop load generator: sends a seeded schedule and times the responses."""

import asyncio
import bisect
import dataclasses
import gc
import json
import random
import time
from typing import Any

from absl import flags
from returns import result

from toucanfold import client, cmdline, exceptions

# Above this the generator itself limits the measurement.
MAX_SEND_DELAY_P99_S = 0.05
FINAL_WAIT_GRACE_S = 1.0

FLAGS = flags.FlagValues()
flags.DEFINE_string("plan", "", "JSON file with the plan.", flag_values=FLAGS)
flags.DEFINE_string(
    "output",
    "",
    "File for the records; the summary is printed as well.",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "part", 0, "Index of the schedule shard to send, from 0.", flag_values=FLAGS
)
flags.DEFINE_integer("parts", 1, "Number of schedule shards.", flag_values=FLAGS)
flags.DEFINE_float(
    "start_at",
    0.0,
    "Start time on the monotonic clock (s); 0 is now.",
    flag_values=FLAGS,
)
HELP_TEXT = (
    "Sends a planned load through the entries of a fleet and times the responses."
)


@dataclasses.dataclass(slots=True)
class Phase:
    """A time span in which one account, or all (empty), send at rate x factor."""

    start_s: float
    end_s: float
    factor: float
    account: str = ""


@dataclasses.dataclass(slots=True)
class AccountLoad:
    """A client account of the plan with its base rate (requests/s)."""

    name: str
    key: str
    rate: float


@dataclasses.dataclass(slots=True)
class RequestKind:
    """One kind of request; the share is its fraction of every account's requests."""

    name: str
    service: str
    method: str
    path: str
    share: float
    timeout_ms: int = 2500
    importance: str = "normal"


@dataclasses.dataclass(slots=True)
class Plan:
    """Everything that determines the schedule and how it is sent."""

    seed: int
    duration_s: float
    entries: list[str]
    senders: list[AccountLoad]
    kinds: list[RequestKind]
    phases: list[Phase] = dataclasses.field(default_factory=list)
    retries: int = 2
    client_delay_s: float = 0.0

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Plan":
        """Build a plan from the output of dataclasses.asdict."""
        fields = dict(data)
        fields["senders"] = [AccountLoad(**item) for item in data["senders"]]
        fields["kinds"] = [RequestKind(**item) for item in data["kinds"]]
        fields["phases"] = [Phase(**item) for item in data.get("phases", [])]
        return cls(**fields)


@dataclasses.dataclass(slots=True)
class ScheduledRequest:
    """One planned request: seconds after the start, and indexes into the plan."""

    at_s: float
    number: int
    sender: int
    kind: int
    entry: int


@dataclasses.dataclass(slots=True)
class Record:
    """Result of one request; times in seconds, latency from the planned send."""

    number: int
    at_s: float
    sender: int
    kind: int
    status: int
    error: str
    outcome: str
    latency_s: float
    attempts: int
    target_time_s: float
    send_delay_s: float
    lost_connections: int = 0

    @property
    def is_success(self) -> bool:
        """Whether the caller received a complete successful response in time."""
        return 200 <= self.status < 300 and not self.error


def rate_factor_at(phases: list[Phase], account: str, now_s: float) -> float:
    """Return the product of all phase factors that apply to an account at a time."""
    factor = 1.0
    for phase in phases:
        if phase.start_s <= now_s < phase.end_s and phase.account in ("", account):
            factor *= phase.factor
    return factor


def _arrivals(plan: Plan, sender: AccountLoad, rng: random.Random) -> list[float]:
    """Return Poisson arrivals: unit-rate intervals scaled by the current rate."""
    edges = sorted({p.start_s for p in plan.phases} | {p.end_s for p in plan.phases})
    times: list[float] = []
    now_s = 0.0
    while True:
        unit_interval = rng.expovariate(1.0)
        while True:
            rate = sender.rate * rate_factor_at(plan.phases, sender.name, now_s)
            index = bisect.bisect_right(edges, now_s)
            end_s = edges[index] if index < len(edges) else float("inf")
            if rate > 0 and now_s + unit_interval / rate < end_s:
                now_s += unit_interval / rate
                break
            if end_s == float("inf"):
                return times
            unit_interval -= (end_s - now_s) * rate
            now_s = end_s
        if now_s >= plan.duration_s:
            return times
        times.append(now_s)


def schedule(plan: Plan) -> list[ScheduledRequest]:
    """Return the requests in order of time; equal plans yield equal schedules."""
    scheduled_requests = []
    weights = [kind.share for kind in plan.kinds]
    for index, sender in enumerate(plan.senders):
        rng = random.Random(f"{plan.seed}/{sender.name}")
        # Choices have their own generator, so that phases do not change them.
        choices = random.Random(f"{plan.seed}/{sender.name}/choices")
        for at_s in _arrivals(plan, sender, rng):
            kind = choices.choices(range(len(plan.kinds)), weights)[0]
            entry = choices.randrange(len(plan.entries))
            scheduled_requests.append(ScheduledRequest(at_s, 0, index, kind, entry))
    scheduled_requests.sort(key=lambda scheduled_request: scheduled_request.at_s)
    for number, scheduled_request in enumerate(scheduled_requests):
        scheduled_request.number = number
    return scheduled_requests


class LoadGenerator:
    """Sends the given requests of a schedule and keeps a record of each."""

    def __init__(self, plan: Plan, run_id: str = "run"):
        self.records: list[Record] = []
        # The first message of each error kind, to explain the results.
        self.samples: dict[str, str] = {}
        self._plan = plan
        self._run_id = run_id
        retries = client.RetryPolicy(plan.retries, has_budget=False)
        self._clients = [
            client.Client(
                plan.entries,
                sender.key,
                retries,
                random.Random(f"{plan.seed}/client/{sender.name}"),
            )
            for sender in plan.senders
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, scheduled_requests: list[ScheduledRequest], start_at: float
    ) -> None:
        """Send every request at its time and wait for the last responses."""
        loop = asyncio.get_running_loop()
        for scheduled_request in scheduled_requests:
            delay_s = start_at + scheduled_request.at_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            task = loop.create_task(self._send(scheduled_request, start_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        max_timeout_s = (
            max((kind.timeout_ms for kind in self._plan.kinds), default=0) / 1000
        )
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=max_timeout_s + FINAL_WAIT_GRACE_S)
        for each in self._clients:
            each.close()

    async def _send(self, scheduled_request: ScheduledRequest, start_at: float) -> None:
        loop = asyncio.get_running_loop()
        planned_at = start_at + scheduled_request.at_s
        send_delay_s = loop.time() - planned_at
        kind = self._plan.kinds[scheduled_request.kind]
        delay_s = self._plan.client_delay_s
        if delay_s:
            await asyncio.sleep(delay_s)
        remaining_s = planned_at + kind.timeout_ms / 1000 - delay_s - loop.time()
        answered = await self._clients[scheduled_request.sender].call(
            kind.service,
            kind.method,
            kind.path,
            b"{}" if kind.method == "POST" else b"",
            timeout_s=max(0.001, remaining_s),
            headers=[
                (
                    b"Bench-Request",
                    f"{self._run_id}-{scheduled_request.number}".encode(),
                )
            ],
            entry=scheduled_request.entry,
        )
        if delay_s:
            await asyncio.sleep(delay_s)
        self._record_result(
            scheduled_request, answered, loop.time() - planned_at, send_delay_s
        )

    def _record_result(
        self,
        scheduled_request: ScheduledRequest,
        answered: result.Result[client.Reply, exceptions.CallError],
        latency_s: float,
        send_delay_s: float,
    ) -> None:
        error, outcome, target_time_s = "", "ran", 0.0
        if isinstance(answered, result.Success):
            reply = answered.unwrap()
            status, attempts, lost_connections = (
                reply.status,
                reply.attempts,
                reply.lost_connections,
            )
            target_time_s = float(reply.header(b"standin-seconds") or 0)
        else:
            failure = answered.failure()
            status, attempts = failure.status, failure.attempts
            lost_connections = failure.lost_connections
            error, outcome = failure.kind, failure.outcome
            self.samples.setdefault(error, failure.message)
        # A response after the deadline is of no use to the caller.
        if (
            not error
            and latency_s > self._plan.kinds[scheduled_request.kind].timeout_ms / 1000
        ):
            error = "late"
        self.records.append(
            Record(
                scheduled_request.number,
                scheduled_request.at_s,
                scheduled_request.sender,
                scheduled_request.kind,
                status,
                error,
                outcome,
                latency_s,
                attempts,
                target_time_s,
                send_delay_s,
                lost_connections,
            )
        )


def summary(records: list[Record], cpu_s: float) -> dict[str, Any]:
    """Return counts, and whether the generator itself limited the measurement."""
    late = sorted(record.send_delay_s for record in records) or [0.0]
    send_delay_p99_s = late[int(0.99 * (len(late) - 1))]
    return {
        "sent": len(records),
        "good": sum(record.is_success for record in records),
        "late_p99_ms": round(send_delay_p99_s * 1000, 3),
        "cpu_s": round(cpu_s, 3),
        "self_limited": send_delay_p99_s > MAX_SEND_DELAY_P99_S,
    }


def write_records(
    path: str, records: list[Record], summary_fields: dict[str, Any]
) -> None:
    """Write records as lists of their fields, with the summary."""
    rows = [dataclasses.astuple(record) for record in records]
    with open(path, "w", encoding="utf-8") as file:
        json.dump({"summary": summary_fields, "records": rows}, file)


def read_records(path: str) -> tuple[list[Record], dict[str, Any]]:
    """Return the records and the summary of a file written by write_records."""
    with open(path, encoding="utf-8") as file:
        data = json.load(file)
    return [Record(*row) for row in data["records"]], data["summary"]


def main(arguments: list[str]) -> int:
    """Send one shard of a plan's schedule and print a summary."""
    cmdline.parse_flags(FLAGS, "load", arguments, HELP_TEXT)
    if not FLAGS.plan:
        return cmdline.report_usage_error(
            "--plan is missing", "name the JSON file of the plan with --plan"
        )
    with open(FLAGS.plan, encoding="utf-8") as file:
        plan = Plan.from_json(json.load(file))
    scheduled_requests = schedule(plan)[FLAGS.part :: FLAGS.parts]
    # Garbage collection pauses would count as send delays and slow responses.
    gc.freeze()
    gc.disable()
    generator = LoadGenerator(plan, f"{plan.seed}")
    start_at = FLAGS.start_at or time.monotonic()
    cpu_started_s = time.process_time()
    asyncio.run(generator.run(scheduled_requests, start_at))
    cpu_s = time.process_time() - cpu_started_s
    summary_fields = {**summary(generator.records, cpu_s), "samples": generator.samples}
    if FLAGS.output:
        write_records(FLAGS.output, generator.records, summary_fields)
    print(json.dumps(summary_fields))
    return 0
