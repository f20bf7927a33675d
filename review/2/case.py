"""A core machine is replaced; its successor is lost at once and replaced in turn.

After that the system must again bear the loss of two disks.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, KEY = "wuno96b", "6wsjnbanfqasnmgkcuyj"
# Times after the end of the first machine.
SUCCESSOR_AFTER_S = 0.3
SUCCESSOR_ENDS_AFTER_S = 2.2
SECOND_SUCCESSOR_AFTER_S = 3.2
# Three times catch_up_s (4 s).
SETTLED_AFTER_S = 12.0
# recovery_s is 15 s.
OBSERVED_S = 40.0


async def case(rig: rigs.Rig) -> int:
    """Return 1 if the acknowledged manifest cannot be read back any more."""
    controls = {
        number: rig.add_control(number) for number in range(1, rigs.CONTROLS + 1)
    }
    for number in (21, 22):
        rig.add_daemon(number, SERVICE)
    await rig.start_all()
    first = rigs.manifest(
        [("r-pay", "pay.example", "/pay/", "safe", SERVICE)], [("pulo780", KEY, 1000)]
    )
    await rig.put_config(first)
    for number in (21, 22):
        await rigs.Backend(rig, number, SERVICE, f"i-{number}").start()
        await rig.until_ready(number)
    callers = [rigs.Caller(rig, number, KEY) for number in (21, 22)]

    async def is_served() -> bool:
        return {
            await each.send("GET", "pay.example", "/pay/1") for each in callers
        } == {200}

    await rig.until("a round of served requests", is_served)
    for caller in callers:
        rig.spawn(caller.press("GET", "pay.example", "/pay/2f", 0.2))
    await asyncio.sleep(3)

    # Machine 5 is removed for good, without SIGTERM; machine 6 comes in its place.
    await controls[5].kill()
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    controls[6] = rig.add_control(6, bootstrap=False)
    await controls[6].start()
    await asyncio.sleep(SUCCESSOR_ENDS_AFTER_S - SUCCESSOR_AFTER_S)
    running = [1, 2, 3, 4, 6]
    if TROUBLE:
        # Machine 6 is removed for good as well; machine 7 comes in its place.
        await controls[6].kill()
        await asyncio.sleep(SECOND_SUCCESSOR_AFTER_S - SUCCESSOR_ENDS_AFTER_S)
        controls[7] = rig.add_control(7, bootstrap=False)
        await controls[7].start()
        running = [1, 2, 3, 4, 7]
    await asyncio.sleep(SETTLED_AFTER_S)
    second = {**first, "version": "00000009", "base_version": "00000007"}
    await rig.put_config(second, tuple(running))
    await asyncio.sleep(1)

    # Two of the five machines lose their disks and are back within a second.
    for number in running[:2]:
        await controls[number].kill()
        controls[number].lose_disk()
    await asyncio.sleep(0.8)
    for number in running[:2]:
        await controls[number].start()
    end = time.monotonic() + OBSERVED_S
    version = ""
    while not version and time.monotonic() < end:
        version = await rig.get_config(running)
        await asyncio.sleep(0.5)
    served = [await each.send("GET", "pay.example", "/pay/1") for each in callers]
    rig.record("check", rule="CONFIG", read_back=version or "nothing", requests=served)
    return rigs.HELD if version == "00000009" else rigs.BROKEN


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, case))
