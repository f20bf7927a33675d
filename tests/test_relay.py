import asyncio

import helpers
import pytest

from toucanfold import plainhttp, relay


def test_blackholed_connections_stay_open_and_new_ones_work():
    """The bench relies on the relay to drop traffic without closing connections."""

    async def check():
        async def handle(request):
            return plainhttp.Response(200)

        server = plainhttp.Server(handle)
        upstream, address = helpers.free_address(), helpers.free_address()
        await server.listen(upstream)
        tcp_relay = relay.Relay(address, upstream)
        await tcp_relay.start()
        pool = plainhttp.Pool(address)
        request = plainhttp.Request("GET", "/", [(b"Host", b"x")])
        await pool.exchange(request)
        tcp_relay.blackhole()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(pool.exchange(request), 0.1)
        assert (await pool.exchange(request)).status == 200
        pool.close()
        server.abort()
        await tcp_relay.stop()

    helpers.run(check())
