"""The address of a back end that has ended goes to a back end of another service."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAY, CAT = "wuno96b", "huvo11a"
KEY = "6wsjnbanfqasnmgkcuyj"
# One back end of six is 0.167 of them; the site names share = 0.18.
MACHINES = {11: PAY, 12: PAY, 13: PAY, 14: CAT, 15: CAT, 16: CAT}
# The pages name 2 s (reuse_after_s) as the earliest reuse.
REUSE_AFTER_S = 3.0
OBSERVED_S = 12.0


async def case(rig: rigs.Rig) -> int:
    """Return 1 if a payment ran at a back end of the other service."""
    for number in range(1, rigs.CONTROLS + 1):
        rig.add_control(number)
    daemons = {
        number: rig.add_daemon(number, service) for number, service in MACHINES.items()
    }
    await rig.start_all()
    await rig.put_config(
        rigs.manifest(
            [
                ("r-pay", "pay.example", "/pay/", "unsafe", PAY),
                ("r-cat", "cat.example", "/cat/", "safe", CAT),
            ],
            [("pulo780", KEY, 1000)],
        )
    )
    backends = [
        rigs.Backend(rig, number, service, f"i-{number}aa")
        for number, service in MACHINES.items()
    ]
    for backend in backends:
        await backend.start()
    for number in daemons:
        await rig.until_ready(number)
    callers = [rigs.Caller(rig, number, KEY) for number in MACHINES if number != 11]

    async def is_served() -> bool:
        sent = [
            await caller.send(*call)
            for caller in callers
            for call in (
                ("POST", "pay.example", "/pay/1"),
                ("GET", "cat.example", "/cat/1"),
            )
        ]
        return set(sent) == {200}

    await rig.until("a round of served requests", is_served)
    for caller in callers:
        rig.spawn(caller.press("POST", "pay.example", "/pay/2f", 0.1))
        rig.spawn(caller.press("GET", "cat.example", "/cat/2f", 0.1))
    await asyncio.sleep(4)
    if TROUBLE:
        backends[0].crash()
        await asyncio.sleep(REUSE_AFTER_S)
        # The platform writes the settings anew whenever they change, and says so.
        daemons[11].fields["service"] = CAT
        daemons[11].write_settings()
        daemons[11].signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        successor = rigs.Backend(rig, 11, CAT, "i-17ee")
        await successor.start()
        backends.append(successor)
    await asyncio.sleep(OBSERVED_S)
    wrong = [
        (identity, backend.instance)
        for backend in backends
        if backend.service == CAT
        for identity, path, _ in backend.ran
        if path.startswith("/pay/")
    ]
    rig.record("check", rule="ROUTE", payments_at_other_service=len(wrong))
    return rigs.BROKEN if wrong else rigs.HELD


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, case))
