"""Daemons that are killed right after they confirmed a departure, and late reports."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "fleet_2"))

import fleet as fleets

CALM_S = 4.0
# Departures; the next one begins when the machine of the last one is in touch again.
DEPARTURES = 4
BACKENDS = 10
STEP_S = 5.0
# The last report before a departure arrives this long after it was made.
LATE_S = 3.0
# A killed process starts again after this time.
DOWN_S = 1.0
SERVES_ON_S = 10.0
DRAIN_S = fleets.BOUNDS["drain_period_ms"] / 1000
CONTACT_S = fleets.BOUNDS["contact_ms"] / 1000


def leave(fleet, backend, kills):
    """Send DELETE and return the time of its acknowledgement.

    The process is killed when the acknowledgement arrives; plain blocking calls keep
    the time between the two short.
    """
    machine = backend.machine
    request = f"DELETE /instances/{backend.id} HTTP/1.1\r\nHost: daemon\r\n\r\n"
    with socket.create_connection((machine.ip, fleets.CONTROL), 1.0) as opened:
        opened.sendall(request.encode())
        answer = opened.recv(4096)
        is_acknowledged = answer.startswith(b"HTTP/1.1 200 ")
        if kills and is_acknowledged:
            machine.process.send_signal(signal.SIGKILL)
        acknowledged_at = time.monotonic()
    if not is_acknowledged:
        raise fleets.CannotRunError("the departure is not acknowledged")
    fleet.record.write("DELETE", backend=backend.id, status=200, killed=kills)
    return acknowledged_at


async def depart(fleet, backend, with_trouble):
    """Let one backend leave; return a text for each request that reached it late."""
    machine = backend.machine
    backend.stop_heartbeats()
    late_report = backend.make_report()
    made_at = time.monotonic()
    acknowledged_at = leave(fleet, backend, with_trouble)
    if with_trouble:
        await machine.wait_for_end()
        await asyncio.sleep(DOWN_S)
        machine.start()
    await asyncio.sleep(made_at + LATE_S - time.monotonic())
    await backend.deliver(late_report, "late")
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
    await backend.stop()
    # Both machines on the way are in touch again from here on.
    from_time = max(acknowledged_at + DRAIN_S, machine.started_at + CONTACT_S + 0.5)
    late = [run for run in backend.runs if run["at"] > from_time]
    return [
        f"{run['request']} reached {backend.id} "
        f"{run['at'] - acknowledged_at:.2f} s after the confirmation"
        for run in late
    ]


async def play(record, folder, with_trouble):
    """Return a text for each request that reached a backend too late."""
    services = ["tickets"] * BACKENDS + ["payments"]
    zones = ["north-a"] * len(services)
    fleet = fleets.Fleet(record, folder, services, zones=zones)
    routes = [fleets.make_route("lookup", "shop.example", "tickets")]
    *machines, entry = fleet.daemons
    backends = [
        fleets.Backend(fleet, item, "tickets", f"i-{item.name}", work_s=0.1, slots=2)
        for item in machines
    ]
    clients = fleets.Clients(fleet, entry, "shop.example", "/x/", per_s=140.0)
    try:
        fleet.start()
        await fleet.put_first_manifest(routes, ["tickets", "payments"])
        for backend in backends:
            await backend.start()
        for machine in fleet.daemons:
            await fleet.wait_until_ready(machine)
        clients.start()
        await asyncio.sleep(CALM_S)
        departing = []
        for backend in backends[:DEPARTURES]:
            departing.append(
                asyncio.ensure_future(depart(fleet, backend, with_trouble))
            )
            await asyncio.sleep(STEP_S)
        breaks = [text for item in departing for text in await item]
        await clients.stop()
        if fleet.ended_processes():
            raise fleets.CannotRunError(f"ended: {fleet.ended_processes()}")
    finally:
        fleet.stop()
    if not all(backend.runs for backend in backends):
        raise fleets.CannotRunError("a backend got no request")
    return breaks


if __name__ == "__main__":
    fleets.run_case(pathlib.Path(__file__).parent, play)
