import asyncio

import helpers
import pytest

from toucanfold import plainhttp

REQUEST = plainhttp.Request("GET", "/", [(b"Host", b"x")])


async def answer(request: plainhttp.Request) -> plainhttp.Response:
    return plainhttp.Response(200, [], b"ok")


def test_a_closed_connection_is_not_reused():
    """Guards against a closed connection that stays in the pool after a request was
    cancelled as its response arrived: the next request on it failed."""

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
    """Guards against a cancelled request's response reaching the next request."""

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
