"""Finds out whether a target listens, and waits until one has restarted."""

import asyncio
import contextlib

from toucanfold import link, targetstatus

POLL_INTERVAL_S = 0.5
# A target that has ended should serve again soon after its restart.
LISTENING_POLL_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 0.5


async def wait_for_restart(address: str) -> None:
    """Return once the address refused connections and then accepts one again.

    It returns after MAX_LEAVING_S, too, if the address accepts connections then.
    """
    loop = asyncio.get_running_loop()
    gives_up_at = loop.time() + targetstatus.MAX_LEAVING_S
    has_ended = False
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        is_listening = await is_address_listening(address)
        if is_listening and (has_ended or loop.time() >= gives_up_at):
            return
        has_ended = has_ended or not is_listening


async def wait_until_listening(address: str) -> None:
    """Return once the address accepts a connection."""
    while not await is_address_listening(address):
        await asyncio.sleep(LISTENING_POLL_INTERVAL_S)


async def refuses_connections(address: str) -> bool:
    """Whether nothing listens at the address; False if that is not certain."""
    host, port = link.split_address(address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


async def is_address_listening(address: str) -> bool:
    """Whether a connection to the address is accepted within CONNECT_TIMEOUT_S."""
    host, port = link.split_address(address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True
