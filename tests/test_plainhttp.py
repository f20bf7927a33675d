import asyncio

import helpers
import pytest

from toucanfold import plainhttp

REQUEST = plainhttp.Request("GET", "/", [(b"Host", b"x")])


async def answer(request: plainhttp.Request) -> plainhttp.Response:
    return plainhttp.Response(200, [], b"ok")


def test_a_closed_connection_is_not_reused():
    """A request cancelled as its answer came left its closed connection in the pool,
    and the next request on it looked cut by the server."""

    async def check():
        server = plainhttp.Server(answer)
        address = helpers.free_address()
        await server.listen(address)
        pool = plainhttp.Pool(address)
        await pool.exchange(REQUEST)
        connection = pool._idle[0]
        connection.close()
        assert not connection.is_idle
        assert (await pool.exchange(REQUEST)).body == b"ok"
        server.abort()

    helpers.run(check())


def test_cancelled_exchange_closes_its_connection():
    """The answer of a request that was given up must not reach the next one."""

    async def check():
        async def slow(request):
            await asyncio.sleep(0.05)
            return plainhttp.Response(200, [], request.path.encode())

        server = plainhttp.Server(slow)
        address = helpers.free_address()
        await server.listen(address)
        pool = plainhttp.Pool(address)
        for _ in range(3):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(pool.exchange(REQUEST), 0.05)
            other = plainhttp.Request("GET", "/other", REQUEST.headers)
            assert (await pool.exchange(other)).body == b"/other"
        server.abort()

    helpers.run(check())
