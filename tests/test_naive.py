import asyncio

import helpers

from toucanfold import naive, plainhttp

HEADERS = [(b"Host", b"parts"), (b"Authorization", b"Bearer tfk_a_b")]


async def exchange(handlers, count, rate=1000.0):
    """Send requests through a proxy in front of the handlers; return statuses."""
    servers, addresses = [], []
    for handler in handlers:
        servers.append(plainhttp.Server(handler))
        addresses.append(helpers.free_address())
        await servers[-1].listen(addresses[-1])
    listen = helpers.free_address()
    proxy = naive.Proxy(
        {
            "caller_listen": listen,
            "egress_listen": helpers.free_address(),
            "targets": {"parts": addresses},
            "keys": {"tfk_a_b": {"name": "shop", "rate": rate, "burst": rate}},
            "proxies": 2,
        }
    )
    await proxy.start()
    pool = plainhttp.Pool(listen)
    answers = []
    for _ in range(count):
        answers.append(await pool.exchange(plainhttp.Request("GET", "/", HEADERS)))
    await proxy.stop()
    for server in servers:
        server.abort()
    return [answer.status for answer in answers]


def test_round_robin_retries_and_local_limit():
    """Comparisons in the bench are valid only if the baseline behaves as described."""
    seen = [0, 0]

    async def good(request):
        seen[0] += 1
        assert not request.header(b"authorization")
        return plainhttp.Response(200)

    async def bad(request):
        seen[1] += 1
        return plainhttp.Response(500)

    assert helpers.run(exchange([good, bad], 4)) == [200] * 4
    assert seen == [4, 3]
    seen[:] = [0, 0]
    assert helpers.run(exchange([bad], 1)) == [500]
    assert seen == [0, 1 + naive.RETRIES]
    assert helpers.run(exchange([good], 4, rate=4.0)) == [200, 200, 429, 429]


def test_unknown_key_is_refused():
    """A request without a known key must not reach a target."""

    async def check():
        proxy = naive.Proxy({"targets": {}, "keys": {}, "proxies": 1})
        answer = await proxy._handle_caller(plainhttp.Request("GET", "/", HEADERS))
        assert answer.status == 401

    asyncio.run(check())
