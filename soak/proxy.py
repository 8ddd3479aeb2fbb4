"""Stand between two programs on loopback, and delay, reset, silence or cut what they send."""

import asyncio
import contextlib
import threading
from enum import StrEnum

CHUNK = 1 << 16
DELAY_S = 0.2


class Mode(StrEnum):
    """Name what a proxy does with connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"


class Proxy:
    """Forward connections to one address; `mode` holds for open connections too."""

    def __init__(self, listen: str, target: str) -> None:
        self.mode = Mode.PASS
        self._listen, self._target = _split(listen), _split(target)
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, name="proxy", daemon=True)

    def start(self) -> None:
        """Begin to listen."""
        self._thread.start()
        self._ready.wait()

    def close(self) -> None:
        """End all connections."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(asyncio.start_server(self._serve, *self._listen))
        self._ready.set()
        self._loop.run_forever()
        left = asyncio.all_tasks(self._loop)
        for task in left:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pumps = (self._pump(reader, back, False), self._pump(there, writer, True))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, answers: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK):
                if self.mode is Mode.RESET:
                    break
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                lost = self.mode is Mode.SILENT or (answers and self.mode is Mode.ONE_WAY)
                if not lost:
                    sink.write(data)
                    await sink.drain()
        sink.transport.abort()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
