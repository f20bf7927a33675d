"""TCP relay for measurements, which can stop passing bytes without closing."""

import asyncio

from toucanfold import link

CHUNK_BYTES = 64 << 10


class Relay:
    """Passes bytes between a listener and one address until it is silenced."""

    def __init__(self, address: str, upstream: str):
        self.address = address
        self._upstream = link.split_address(upstream)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Each connection passes bytes while its own event is set.
        self._gates: set[asyncio.Event] = set()

    async def start(self) -> None:
        """Listen on the address."""
        host, port = link.split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def blackhole(self) -> None:
        """Stop passing bytes on the present connections for good; new ones work."""
        for gate in self._gates:
            gate.clear()
        self._gates.clear()

    async def stop(self) -> None:
        """Close everything."""
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
        gate = asyncio.Event()
        gate.set()
        self._gates.add(gate)
        self._writers |= {writer, other_writer}
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink, gate))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                await gate.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        if gate.is_set():
            sink.close()
