"""Test the buffered log handler and the event metrics."""

import io
import logging

from gypsumplank import logbuffer
from gypsumplank.eventcount import EventCounter
from gypsumplank.log import Event, event
from gypsumplank.logbuffer import BufferedHandler
from gypsumplank.metrics import Metrics


def make_record(level=logging.INFO, message="x"):
    return logging.LogRecord("n", level, __file__, 0, message, None, None)


class RejectingStream(io.StringIO):
    """Fail on any write, as a write would block the caller."""

    def write(self, text):
        raise AssertionError("the caller's thread must not write to the stream")


def test_only_writer_thread_writes_to_stream(monkeypatch):
    monkeypatch.setattr(logbuffer, "WRITE_INTERVAL_S", 3600.0)
    handler = BufferedHandler(RejectingStream())
    handler.emit(make_record())
    handler._stream = io.StringIO()
    handler.close()
    assert handler._stream.getvalue() == "x\n"


def test_minor_lines_are_dropped_first_and_counted(monkeypatch):
    monkeypatch.setattr(logbuffer, "WRITE_INTERVAL_S", 3600.0)
    stream = io.StringIO()
    handler = BufferedHandler(stream)
    for _ in range(logbuffer.MAX_QUEUED_MINOR_LINES + 10):
        handler.emit(make_record())
    handler.emit(make_record(logging.WARNING, "kept"))
    handler.close()
    lines = stream.getvalue().splitlines()
    assert handler.dropped == 10
    assert lines.count("x") == logbuffer.MAX_QUEUED_MINOR_LINES
    assert lines[-2:] == ["kept", "log-dropped"]


def test_events_are_counted_and_timed():
    metrics = Metrics()
    logger = logging.getLogger("counted")
    handler = EventCounter(metrics)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    event(logger, Event.RUN_ENDED, how="done", took_ms=250)
    logger.removeHandler(handler)
    text = metrics.render().decode()
    metrics.close()
    assert 'event="task-ended",' in text
    assert 'outcome="done"' in text
    assert "gypsumplank_event_duration_seconds_bucket" in text
