"""Helpers shared by the tests."""

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, print_blob=True
)
hypothesis.settings.load_profile("ci")


def run(coroutine: Coroutine[Any, Any, Any], timeout_s: float = 20) -> Any:
    """Run a coroutine in a new event loop within a time limit."""
    return asyncio.run(asyncio.wait_for(coroutine, timeout_s))


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
