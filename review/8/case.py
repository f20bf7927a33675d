"""A backend that leaves just after its daemon has restarted, and a late report."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "fleet_2"))

import fleet as fleets

CALM_S = 4.0
# One of them leaves.
BACKENDS = 7
# The last report before the departure arrives this long after it was made.
LATE_S = 3.0
SERVES_ON_S = 10.0
DRAIN_S = fleets.BOUNDS["drain_period_ms"] / 1000
CONTACT_S = fleets.BOUNDS["contact_ms"] / 1000


async def play(record, folder, with_trouble):
    """Return a text for each request that reached the backend too late."""
    services = ["tickets"] * BACKENDS + ["payments"]
    zones = ["north-a"] * len(services)
    fleet = fleets.Fleet(record, folder, services, zones=zones)
    routes = [fleets.make_route("lookup", "shop.example", "tickets")]
    *machines, entry = fleet.daemons
    leaving = machines[0]
    backends = [
        fleets.Backend(fleet, item, "tickets", f"i-{item.name}", work_s=0.1, slots=3)
        for item in machines
    ]
    clients = fleets.Clients(fleet, entry, "shop.example", "/x/", per_s=120.0)
    try:
        fleet.start()
        await fleet.put_first_manifest(routes, ["tickets", "payments"])
        for backend in backends:
            await backend.start()
        for machine in fleet.daemons:
            await fleet.wait_until_ready(machine)
        clients.start()
        await asyncio.sleep(CALM_S)
        if with_trouble:
            # Reports go on until the process has ended; the next one is the late one.
            leaving.send(signal.SIGTERM)
            await leaving.wait_for_end()
            backends[0].stop_heartbeats()
            leaving.start()
            await fleet.wait_until_ready(leaving)
        backends[0].stop_heartbeats()
        late_report = backends[0].make_report()
        made_at = time.monotonic()
        acknowledged_at = await backends[0].leave()
        if acknowledged_at is None:
            raise fleets.CannotRunError("the departure is not acknowledged")
        await asyncio.sleep(made_at + LATE_S - time.monotonic())
        await backends[0].deliver(late_report, "late")
        await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
        await backends[0].stop()
        await clients.stop()
        if fleet.ended_processes():
            raise fleets.CannotRunError(f"ended: {fleet.ended_processes()}")
    finally:
        fleet.stop()
    if not all(backend.runs for backend in backends):
        raise fleets.CannotRunError("a backend got no request")
    # Both machines on the way are in touch again from here on.
    from_time = max(acknowledged_at + DRAIN_S, leaving.started_at + CONTACT_S + 0.5)
    late = [run for run in backends[0].runs if run["at"] > from_time]
    return [
        f"{run['request']} reached the backend "
        f"{run['at'] - acknowledged_at:.2f} s after the confirmation"
        for run in late
    ]


if __name__ == "__main__":
    fleets.run_case(pathlib.Path(__file__).parent, play)
