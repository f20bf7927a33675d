"""Measures routing and records with fakes: ``python -m toucanfold.routingbench``."""

import heapq
import platform
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from toucanfold import (
    calls,
    clock,
    forward,
    messages,
    model,
    outcomes,
    records,
    retries,
    router,
    slots,
)

SERVICES = 120
TARGETS = 1300
REGIONS = 2
DATA_CENTRES = 8
SEED = 7
# Offered load as a fraction of the capacity of all targets, and the time of one call.
LOAD_FRACTION = 0.8
SERVICE_TIME_S = 0.02


def main() -> int:
    """Run all measurements and print their figures."""
    print(f"python {platform.python_version()} on {platform.machine()}")
    _measure_picks()
    _measure_balancers()
    clock.run(_measure_forwarding())
    _measure_record_memory()
    _measure_slot_plans()
    return 0


def _fleet(services: int, targets: int = TARGETS) -> model.FleetState:
    state = model.FleetState()
    state.profiles["p"] = model.Profile("p", idempotent=False)
    for number in range(services):
        name = f"s{number}"
        state.routes[name] = model.Route(name, name, "p")
    for number in range(targets):
        data_centre = number // services % DATA_CENTRES
        region = f"r{data_centre * REGIONS // DATA_CENTRES}"
        service = f"s{number % services}"
        state.targets[f"t{number}"] = model.Target(
            f"t{number}", 1, service, region, f"d{data_centre}", "x"
        )
    return state


def _call(service: str, key: str = "") -> calls.Call:
    return calls.Call(
        "0123456789abcdef",
        service,
        "POST",
        "/path",
        [(b"Accept", b"*/*")],
        b"x" * 200,
        "account",
        1,
        not key,
        time.monotonic() + 600,
        0.0,
        attempts_left=1,
        idempotency_key=key,
    )


def _router(state: model.FleetState, name: str = "caller") -> router.Router:
    created = router.Router(name, "r0", "d0", 10_000_000, random.Random(SEED))
    created.update(0.0, state)
    return created


def _measure_rate(work: Callable[[int], None], count: int) -> float:
    """Return the calls of work per second, the best of three rounds."""
    best = 0.0
    for _ in range(3):
        started_at = time.perf_counter()
        for number in range(count):
            work(number)
        best = max(best, count / (time.perf_counter() - started_at))
    return best


def _measure_picks() -> None:
    answer = calls.Answer(status=200, limit=70, in_flight=20)
    for services in (SERVICES, 1):
        state = _fleet(services)
        caller_router = _router(state)
        service_calls = [_call(f"s{number}") for number in range(services)]

        def pick(
            number: int,
            caller_router: router.Router = caller_router,
            service_calls: list[calls.Call] = service_calls,
        ) -> None:
            now = number * 1e-4
            target = caller_router.pick(
                now, service_calls[number % len(service_calls)], frozenset()
            )
            assert target is not None
            caller_router.on_start(now, target.name, 700)
            caller_router.on_answer(now, target.name, answer, 0.01)

        rate = _measure_rate(pick, 30_000)
        print(f"pick, start, answer, {services} services: {rate:,.0f}/s")
        started_at = time.perf_counter()
        caller_router.update(1.0, state)
        seconds = time.perf_counter() - started_at
        print(f"update of {TARGETS} targets: {seconds * 1000:.1f} ms")


def _measure_balancers() -> None:
    """Simulate 40 callers and 12 targets: ten run 10 calls at a time, two run 3."""
    for balancer in ("nearest", "round_robin", "naive turns"):
        times, overflow = _simulate(balancer, random.Random(SEED))
        times.sort()
        median_s, p99_s = times[len(times) // 2], times[int(0.99 * len(times))]
        print(
            f"{balancer}: p50 {median_s * 1000:.1f} ms, p99 {p99_s * 1000:.1f} ms, "
            f"calls above a target's limit {overflow:.1%}"
        )


def _simulate(balancer: str, rng: random.Random) -> tuple[list[float], float]:
    state = model.FleetState()
    state.profiles["p"] = model.Profile("p", balancer=balancer)
    state.routes["r"] = model.Route("r", "s0", "p")
    limits = {f"t{number}": 10 if number % 6 else 3 for number in range(12)}
    for name in limits:
        state.targets[name] = model.Target(name, 1, "s0", "r0", "d0", "x")
    is_naive = balancer not in ("nearest", "round_robin")
    routers = [_router(state, f"caller{number}") for number in range(40)]
    call = _call("s0")
    call.route = "r"
    running = dict.fromkeys(limits, 0)
    free_at = {name: [0.0] * limit for name, limit in limits.items()}
    running_calls: list[tuple[float, int, str, int, float]] = []
    times, overflow, now = [], 0, 0.0
    total = 40_000
    for number in range(total):
        now += rng.expovariate(LOAD_FRACTION * sum(limits.values()) / SERVICE_TIME_S)
        while running_calls and running_calls[0][0] <= now:
            at, _, name, caller, started_at = heapq.heappop(running_calls)
            running[name] -= 1
            answer = calls.Answer(
                status=200, limit=limits[name], in_flight=running[name]
            )
            routers[caller].on_answer(at, name, answer, at - started_at)
        caller = rng.randrange(len(routers))
        target = routers[caller].pick(now, call, frozenset())
        assert target is not None
        name = f"t{number % len(limits)}" if is_naive else target.name
        routers[caller].on_start(now, name, 0)
        overflow += running[name] >= limits[name]
        running[name] += 1
        begin = max(now, heapq.heappop(free_at[name]))
        end = begin + SERVICE_TIME_S
        heapq.heappush(free_at[name], end)
        heapq.heappush(running_calls, (end, number, name, caller, now))
        times.append(end - now)
    return times, overflow / total


class _InstantSender:
    """Fake dispatcher and peers."""

    async def run(self, first: object, second: object = None) -> calls.Answer:
        """Answer immediately."""
        return calls.Answer(status=200, body=b"ok", limit=70)


async def _measure_forwarding() -> None:
    state = _fleet(SERVICES)
    instant = _InstantSender()
    sender = forward.RetryingSender(
        "t0", _router(state), retries.RetryBudgets(), instant, instant, lambda: state
    )
    forwarder = forward.Forwarder(
        "t0", sender, instant, instant, _router(state), lambda: state
    )
    call = _call("s1")
    count = 20_000
    best_s = float("inf")
    for _ in range(3):
        started_at = time.perf_counter()
        for _ in range(count):
            await forwarder.run(call)
        best_s = min(best_s, (time.perf_counter() - started_at) / count)
    print(f"forwarder with fakes: {best_s * 1e6:.1f} us per call")


def _measure_record_memory() -> None:
    for headers, body in ((b"", b""), (b"X-Header: " + b"h" * 140, b"b" * 500)):
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        state = model.FleetState()
        state.slots["s0", 0] = model.Slot("s0", 0, 1, "t0", 1)
        table = outcomes.RecordTable("t0", 1)
        table.on_state(0.0, 1e9, state)
        count = 20_000
        answer = calls.Answer(
            status=200, headers=messages.unpack_headers(headers), body=body
        )
        for number in range(count):
            call = _call("s0", f"key-{number:032d}")
            call.slot = 0
            digest = outcomes.digest_of(call)
            record = table.begin(0.0, 1e9, call, digest).record
            assert record is not None
            answer.body = bytes(bytearray(body))
            table.finish(0.0, record, answer)
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        size = len(headers) + len(body)
        print(f"record with {size} bytes of content: {used / count:.0f} bytes")
    rate = _measure_rate(_record_work(), 20_000)
    print(f"begin, digest and finish of a record: {rate:,.0f}/s")
    print(
        f"bounds: {records.MAX_RECORDS:,} records, "
        f"{records.MAX_TOTAL_CONTENT_BYTES:,} bytes of content"
    )


def _record_work() -> Callable[[int], None]:
    state = model.FleetState()
    state.slots["s0", 0] = model.Slot("s0", 0, 1, "t0", 1)
    table = outcomes.RecordTable("t0", 1)
    table.on_state(0.0, 1e9, state)
    answer = calls.Answer(status=200, body=b"b" * 500)
    call = _call("s0", "key")
    call.slot = 0

    def work(number: int) -> None:
        call.idempotency_key = f"key-{table.next_id():032d}"
        digest = outcomes.digest_of(call)
        record = table.begin(0.0, 1e9, call, digest).record
        assert record is not None
        table.finish(0.0, record, answer)

    return work


def _measure_slot_plans() -> None:
    state = _fleet(SERVICES)
    for label in ("first plan", "plan without changes", "plan after a loss"):
        if label == "plan after a loss":
            state.targets["t0"].state = "lost"
        started_at = time.perf_counter()
        changed = slots.plan(0.0, state)
        seconds = time.perf_counter() - started_at
        for slot in changed:
            state.slots[slot.service, slot.number] = slot
        print(f"{label}: {len(changed)} slots in {seconds * 1000:.0f} ms")


if __name__ == "__main__":
    sys.exit(main())
