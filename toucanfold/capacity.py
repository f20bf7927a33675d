"""Measures how the cost of each role grows with its load (``bench --capacity``)."""

import json
import subprocess
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np

from toucanfold import model

# The measuring module sends three kinds of calls, each at this rate.
RATES = (50, 100, 215)
WATCHERS = (24, 96, 240)
SECONDS = 5
TARGETS = (100, 400, 1300)
TARGETS_PER_SERVICE = 11
ROUTES_PER_SERVICE = 5
RUN_LIMIT_S = 120.0
CONTROL_MEASURES = (
    "core_share_of_busiest_control",
    "core_share_per_watcher",
    "bytes_per_s_and_watcher",
    "resident_mb_per_process",
    "applied_everywhere_max_s",
    "reported_in_force_max_s",
)

Points = dict[str, list[tuple[float, float]]]


def fit(role: str, driver: str, points: Points) -> list[dict[str, Any]]:
    """Return a line with intercept and slope for each measure."""
    lines = []
    for measure, pairs in points.items():
        xs, ys = zip(*pairs, strict=True)
        slope, intercept = np.polyfit(xs, ys, 1) if len(pairs) > 1 else (0.0, ys[0])
        lines.append(
            {
                "role": role,
                "measure": measure,
                "driver": driver,
                "points": [list(pair) for pair in pairs],
                "intercept": round(float(intercept), 6),
                "slope": round(float(slope), 9),
            }
        )
    return lines


def _output(module: str, *arguments: str) -> str:
    command = [sys.executable, "-m", f"toucanfold.{module}", *arguments]
    done = subprocess.run(
        command,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        timeout=RUN_LIMIT_S,
        check=False,
    )
    if done.returncode:
        lines = done.stderr.decode("utf-8", "replace").splitlines() or ["no message"]
        raise ValueError(f"{module} {' '.join(arguments)}: {lines[-1]}")
    return done.stdout.decode()


def daemon_points() -> Points:
    """Measure the daemon at rising rates of calls (calls/s of each kind)."""
    points: Points = {}
    for rate in RATES:
        text = _output("latencybench", f"--rate={rate}", f"--seconds={SECONDS}")
        for line in text.splitlines():
            found = json.loads(line)
            for name in ("p50_added_ms", "p99_added_ms"):
                if found.get("kind") in ("one", "two"):
                    measure = f"{found['kind']}_{name}"
                    points.setdefault(measure, []).append((rate, found[name]))
            for process, value in found.get("cpu_us_per_call", {}).items():
                cores = value * rate * 1e-6
                points.setdefault(f"cores_{process}", []).append((rate, cores))
    return points


def control_points() -> Points:
    """Measure control at rising numbers of watchers."""
    points: Points = {}
    for count in WATCHERS:
        text = _output(
            "watchbench", f"--watchers={count}", "--changes=10", f"--quiet_s={SECONDS}"
        )
        found = json.loads(text)
        for measure in CONTROL_MEASURES:
            points.setdefault(measure, []).append((count, found[measure]))
    return points


def state_points() -> Points:
    """Measure the fleet state that each process keeps, at rising numbers of targets."""
    points: Points = {}
    for count in TARGETS:
        tracemalloc.start()
        state = _plain_state(count)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.perf_counter()
        snapshot = zlib.compress(json.dumps(state.to_json()).encode(), 1)
        seconds = time.perf_counter() - started_at
        points.setdefault("state_memory_mb", []).append((count, memory / 1e6))
        points.setdefault("watch_snapshot_mb", []).append((count, len(snapshot) / 1e6))
        points.setdefault("watch_snapshot_s", []).append((count, seconds))
    return points


def _plain_state(targets: int) -> model.FleetState:
    """Return a state with 11 targets a service, 64 slots and 5 routes each."""
    state = model.FleetState()
    services = max(1, targets // TARGETS_PER_SERVICE)
    for number in range(targets):
        service = f"service-{number % services}"
        name = f"{service}-{number}"
        address = f"127.0.{number // 250}.{number % 250}:7203"
        state.targets[name] = model.Target(
            name, 1 << 60 | number, service, "region-1", "centre-1", address
        )
    for service in {target.service for target in state.targets.values()}:
        for number in range(model.SLOTS_PER_SERVICE):
            slot = model.Slot(service, number, 1, service, 1 << 60, service, 1 << 60)
            state.slots[service, number] = slot
        for number in range(ROUTES_PER_SERVICE):
            name = f"{service}-{number}"
            state.routes[name] = model.Route(name, service, "profile")
    return state


def run(progress: Callable[[str], None]) -> list[str]:
    """Print a JSON line for each measure; return what could not be measured."""
    problems = []
    for role, driver, measure in (
        ("daemon", "calls/s of each kind", daemon_points),
        ("control", "watchers", control_points),
        ("state", "targets", state_points),
    ):
        progress(f"capacity: {role}")
        try:
            points = measure()
        except (subprocess.SubprocessError, ValueError, KeyError) as error:
            problems.append(f"capacity of {role} was not measured: {error}")
            continue
        for line in fit(role, driver, points):
            print(json.dumps(line), flush=True)
    return problems
