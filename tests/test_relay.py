import asyncio

import helpers
import pytest

from toucanfold import plainhttp, relay


def test_silenced_connections_stay_open_and_new_ones_work():
    """The bench must produce the fault that it claims to measure."""

    async def check():
        async def handle(request):
            return plainhttp.Response(200)

        server = plainhttp.Server(handle)
        upstream, address = helpers.free_address(), helpers.free_address()
        await server.listen(upstream)
        middle = relay.Relay(address, upstream)
        await middle.start()
        pool = plainhttp.Pool(address)
        request = plainhttp.Request("GET", "/", [(b"Host", b"x")])
        await pool.exchange(request)
        middle.blackhole()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(pool.exchange(request), 0.1)
        assert (await pool.exchange(request)).status == 200
        pool.close()
        server.abort()
        await middle.stop()

    helpers.run(check())
