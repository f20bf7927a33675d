"""A status report without an address, and the caller that a daemon names after it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "fleet_2"))

import fleet as fleets

CALM_S = 4.0
AFTER_S = 8.0


async def play(record, folder, with_trouble):
    """Return a text for each run whose Caller-Service is not its machine's service."""
    fleet = fleets.Fleet(record, folder, ["tickets", "payments"])
    routes = [fleets.make_route("lookup", "shop.example", "payments")]
    first, second = fleet.daemons
    backends = [
        fleets.Backend(fleet, first, "tickets", "i-tickets"),
        fleets.Backend(fleet, second, "payments", "i-payments"),
    ]
    clients = fleets.Clients(fleet, first, "shop.example", "/x/")
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
            # Another writer's report: the address is missing.
            report = backends[1].make_report()
            del report["address"]
            await backends[0].deliver(report, "another writer", "i-other")
        await asyncio.sleep(AFTER_S)
        await clients.stop()
        if fleet.ended_processes():
            raise fleets.CannotRunError(f"ended: {fleet.ended_processes()}")
    finally:
        for backend in backends:
            await backend.stop()
        fleet.stop()
    runs = [run for backend in backends for run in backend.runs]
    if len(runs) < 20 * CALM_S / 2:
        raise fleets.CannotRunError("too few requests ran")
    wrong = [run for run in runs if run["caller"] != "tickets"]
    return [f"{run['request']} ran for the caller {run['caller']}" for run in wrong]


if __name__ == "__main__":
    fleets.run_case(pathlib.Path(__file__).parent, play)
