"""Write log lines from a background thread, so that logging never waits for the stream."""

import logging
import threading
from collections import deque
from typing import TextIO

# Limit for warnings and above; further lines are dropped.
MAX_QUEUED_LINES = 5000
# Lower limit for records below WARNING, which are dropped first.
MAX_QUEUED_MINOR_LINES = 4000
# A killed process loses at most this much of the log.
WRITE_INTERVAL_S = 0.05
JOIN_TIMEOUT_S = 0.5


class BufferedHandler(logging.Handler):
    """Queue formatted lines for the writer thread, and log how many were dropped."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._stream = stream
        self._queue: deque[str] = deque()
        self._stopped = threading.Event()
        self.dropped = 0
        self._reported_dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        limit = MAX_QUEUED_LINES if record.levelno >= logging.WARNING else MAX_QUEUED_MINOR_LINES
        if len(self._queue) >= limit:
            self.dropped += 1
            return
        self._queue.append(self.format(record))

    def _run(self) -> None:
        while not self._stopped.wait(WRITE_INTERVAL_S):
            self.write_queued()

    def write_queued(self) -> None:
        """Write all queued lines, and how many were dropped since the last write."""
        lines = [self._queue.popleft() for _ in range(len(self._queue))]
        if self.dropped > self._reported_dropped:
            record = logging.LogRecord(
                __name__, logging.WARNING, __file__, 0, "log-dropped", None, None
            )
            record.__dict__["lines"] = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            lines.append(self.format(record))
        if lines:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()

    def close(self) -> None:
        """Stop the writer thread and write the remaining lines."""
        if not self._stopped.is_set():
            self._stopped.set()
            self._thread.join(JOIN_TIMEOUT_S)
            self.write_queued()
        super().close()
