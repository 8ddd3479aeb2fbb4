"""Proxy TCP connections on loopback, and delay, reset or drop their traffic."""

import asyncio
import contextlib
import threading
from enum import StrEnum

READ_CHUNK_BYTES = 1 << 16
DELAY_S = 0.2


class Mode(StrEnum):
    """Select what a proxy does with connections.

    `SILENT` drops the data of both directions and keeps connections open; `ONE_WAY` drops only
    the data from the target.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"


class Proxy:
    """Forward connections to one address; a change of `mode` also affects open connections."""

    def __init__(self, listen: str, target: str) -> None:
        self.mode = Mode.PASS
        self._listen, self._target = _parse_address(listen), _parse_address(target)
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, name="proxy", daemon=True)

    def start(self) -> None:
        """Start the event loop in a thread and wait until the proxy listens."""
        self._thread.start()
        self._ready.wait()

    def close(self) -> None:
        """Close all connections and stop the event loop."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._handle_connection, *self._listen)
        )
        self._ready.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._close_connections(server))
        self._loop.close()

    async def _close_connections(self, server: asyncio.Server) -> None:
        server.close()
        # Handlers that have not begun could not abort their connections.
        await asyncio.sleep(0)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The loop tells of aborted connections in its next iteration.
        await asyncio.sleep(0)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            await self._connect(reader, writer)
        finally:
            writer.transport.abort()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            return
        directions = (
            self._forward(reader, target_writer, False),
            self._forward(target_reader, writer, True),
        )
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*directions, return_exceptions=True)
        finally:
            target_writer.transport.abort()

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(READ_CHUNK_BYTES):
                if self.mode is Mode.RESET:
                    break
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                dropped = self.mode is Mode.SILENT or (is_response and self.mode is Mode.ONE_WAY)
                if not dropped:
                    sink.write(data)
                    await sink.drain()
        sink.transport.abort()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
