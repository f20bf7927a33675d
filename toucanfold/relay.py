"""TCP relay for the bench that can drop traffic without closing its connections."""

import asyncio

from toucanfold import link

CHUNK_BYTES = 64 << 10


class Relay:
    """Forwards bytes between a listener and one upstream address."""

    def __init__(self, address: str, upstream: str):
        self.address = address
        self._upstream = link.split_address(upstream)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Each connection forwards bytes while its own event is set.
        self._forwarding_events: set[asyncio.Event] = set()

    async def start(self) -> None:
        """Start to listen on the address."""
        host, port = link.split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def blackhole(self) -> None:
        """Permanently drop all traffic on the current connections; new ones work."""
        for forwarding in self._forwarding_events:
            forwarding.clear()
        self._forwarding_events.clear()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other_reader, other_writer = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.close()
            return
        forwarding = asyncio.Event()
        forwarding.set()
        self._forwarding_events.add(forwarding)
        self._writers |= {writer, other_writer}
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink, forwarding))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        forwarding: asyncio.Event,
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                await forwarding.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        if forwarding.is_set():
            sink.close()
