import asyncio
import json

import helpers

from toucanfold import plainhttp, standin

KEY = "tfk_0123456789ab_" + "0" * 40


def spec(address: str, **fields) -> standin.TargetSpec:
    values = {"service_ms": 5, "distribution": "fixed", "workers": 2, **fields}
    return standin.TargetSpec("t1", "parts", address, **values)


def post(key: str = "", **headers: str) -> plainhttp.Request:
    pairs = [(b"Host", b"parts"), (b"Toucanfold-Account", b"shop")]
    if key:
        pairs.append((b"Idempotency-Key", key.encode()))
    pairs += [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()]
    return plainhttp.Request("POST", "/bookings", pairs, b"{}")


async def started(**fields):
    address, control = helpers.free_address(), helpers.free_address()
    process = standin.StandinProcess([spec(address, **fields)])
    await process.start(control)
    return process, plainhttp.Pool(address), plainhttp.Pool(control)


def test_counts_double_runs_accounts_and_peak():
    """A second execution under one idempotency key must be counted."""

    async def check():
        process, pool, control = await started()
        requests = [post("k1"), post("k1"), post("k2"), post()]
        await asyncio.gather(*(pool.exchange(request) for request in requests))
        answer = await control.exchange(plainhttp.Request("GET", "/stats", [HOST]))
        counts = json.loads(answer.body)
        await process.stop()
        assert counts["double_runs"] == 1
        assert counts["accounts"] == {"shop": 4}
        assert counts["targets"]["t1"]["busy_peak"] == 2

    helpers.run(check())


HOST = (b"Host", b"control")


def test_counts_a_leaked_key():
    """Invariant 4: a key in any header that reaches a target is counted."""

    async def check():
        process, pool, _ = await started()
        await pool.exchange(post(X_Note=f"see {KEY}"))
        await pool.exchange(post(X_Note="nothing"))
        await process.stop()
        assert process.counts.totals["leaked_keys"] == 1

    helpers.run(check())


def test_sheds_and_cancels():
    """Shed calls must not count as runs, and a cancelled call must free its worker."""

    async def check():
        process, pool, control = await started(
            workers=1, queue_length=0, shed=True, service_ms=60_000
        )
        cancelled_call = asyncio.create_task(pool.exchange(post("k1")))
        await asyncio.sleep(0.05)
        shed = await pool.exchange(post("k2"))
        assert shed.status == 503
        assert shed.header(b"toucanfold-not-run") == "1"
        cancelled_call.cancel()
        await asyncio.gather(cancelled_call, return_exceptions=True)
        await asyncio.sleep(0.05)
        assert process.targets["t1"].open_requests == 0
        assert process.counts.totals == {"shed": 1, "runs": 1, "cancelled": 1}
        body = json.dumps({"factor": 1e-4}).encode()
        await control.exchange(plainhttp.Request("POST", "/factor", [HOST], body))
        assert (await pool.exchange(post("k3"))).status == 200
        await process.stop()

    helpers.run(check())


def test_splits_the_chain_of_services():
    """Each target must pass on the services that follow the one it calls."""
    assert standin.split_chain("/a?next=b,c,d") == ("/a", "b", "c,d")
    assert standin.split_chain("/a") == ("/a", "", "")
