"""A link to one runner, which can be cut: what it holds up then arrives once it has healed."""

import asyncio
import contextlib

READ_BYTES = 65536


class Link:
    """Passes connections on to a runner; while it is cut, nothing passes and nothing is refused.

    Args:
        runner_host: Address of the runner.
        runner_port: Port of the runner.
    """

    def __init__(self, runner_host: str, runner_port: int) -> None:
        self._runner = (runner_host, runner_port)
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Cut the link."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Heal the link."""
        self._is_whole.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._is_whole.wait()
            try:
                far_reader, far_writer = await asyncio.open_connection(*self._runner)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self._pass_on(reader, far_writer), self._pass_on(far_reader, writer)
            )
        except asyncio.CancelledError:
            pass

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
            await self._is_whole.wait()
            writer.close()
        except ConnectionError:
            await self._is_whole.wait()
            with contextlib.suppress(OSError):
                writer.transport.abort()
