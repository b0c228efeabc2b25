"""A TCP proxy of a case's own, which can hold connections back or limit their rate."""

import asyncio


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, *, listen: str, target: str, rate: float = 0.0) -> None:
        """Describe a proxy; `start` opens it.

        Args:
            listen: The address to listen at.
            target: The address to pass connections on to.
            rate: Bytes per second from the target to the caller on each connection; 0 for no limit.
        """
        self.listen = listen
        self.target = target
        self.rate = rate
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._pass, host, int(port))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port), limit=16384)
            await asyncio.gather(
                self._pump(reader, target_writer, rate=0.0), self._pump(target_reader, writer, rate=self.rate)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, rate: float) -> None:
        try:
            while data := await reader.read(16384):
                writer.write(data)
                await writer.drain()
                if rate:
                    await asyncio.sleep(len(data) / rate)
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
