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

# Calls/s of each of the three kinds that latencybench sends.
CALL_RATES_PER_S = (50, 100, 215)
WATCHER_COUNTS = (24, 96, 240)
MEASUREMENT_S = 5
TARGET_COUNTS = (100, 400, 1300)
TARGETS_PER_SERVICE = 11
ROUTES_PER_SERVICE = 5
RUN_TIMEOUT_S = 120.0
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
    """Return a line with the fitted intercept and slope of each measure."""
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


def _run_module(module: str, *arguments: str) -> str:
    command = [sys.executable, "-m", f"toucanfold.{module}", *arguments]
    completed = subprocess.run(
        command,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    if completed.returncode:
        lines = completed.stderr.decode("utf-8", "replace").splitlines() or [
            "no message"
        ]
        raise ValueError(f"{module} {' '.join(arguments)}: {lines[-1]}")
    return completed.stdout.decode()


def daemon_points() -> Points:
    """Measure the daemon at increasing call rates (calls/s of each kind)."""
    points: Points = {}
    for rate in CALL_RATES_PER_S:
        text = _run_module(
            "latencybench", f"--rate={rate}", f"--seconds={MEASUREMENT_S}"
        )
        for line in text.splitlines():
            fields = json.loads(line)
            for name in ("p50_added_ms", "p99_added_ms"):
                if fields.get("kind") in ("one", "two"):
                    measure = f"{fields['kind']}_{name}"
                    points.setdefault(measure, []).append((rate, fields[name]))
            for process, value in fields.get("cpu_us_per_call", {}).items():
                cores = value * rate * 1e-6
                points.setdefault(f"cores_{process}", []).append((rate, cores))
    return points


def control_points() -> Points:
    """Measure the control instances at increasing numbers of watchers."""
    points: Points = {}
    for count in WATCHER_COUNTS:
        text = _run_module(
            "watchbench",
            f"--watchers={count}",
            "--changes=10",
            f"--quiet_s={MEASUREMENT_S}",
        )
        fields = json.loads(text)
        for measure in CONTROL_MEASURES:
            points.setdefault(measure, []).append((count, fields[measure]))
    return points


def state_points() -> Points:
    """Measure the fleet state that each process keeps, at increasing target counts."""
    points: Points = {}
    for count in TARGET_COUNTS:
        tracemalloc.start()
        state = _generate_state(count)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_at = time.perf_counter()
        snapshot = zlib.compress(json.dumps(state.to_json()).encode(), 1)
        seconds = time.perf_counter() - started_at
        points.setdefault("state_memory_mb", []).append((count, memory / 1e6))
        points.setdefault("watch_snapshot_mb", []).append((count, len(snapshot) / 1e6))
        points.setdefault("watch_snapshot_s", []).append((count, seconds))
    return points


def _generate_state(targets: int) -> model.FleetState:
    """Return a state with 11 targets, 64 slots and 5 routes per service."""
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
    """Print a JSON line for each measure; return a message per role that failed."""
    problems = []
    for role, driver, measure in (
        ("daemon", "calls/s of each kind", daemon_points),
        ("control", "watchers", control_points),
        ("state", "targets", state_points),
    ):
        progress(f"capacity: measuring {role}")
        try:
            points = measure()
        except (subprocess.SubprocessError, ValueError, KeyError) as error:
            problems.append(f"capacity of {role} could not be measured: {error}")
            continue
        for line in fit(role, driver, points):
            print(json.dumps(line), flush=True)
    return problems
