"""Test the logfmt and JSON log formats."""

import io
import json
import logging

import pytest
from pythonjsonlogger.json import JsonFormatter

from gypsumplank.log import Event, FastJsonFormatter, configure_logging, event


@pytest.fixture
def restore_root_logger():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_logfmt_event_is_one_line(restore_root_logger):
    stream = io.StringIO()
    configure_logging("logfmt", "info", stream)
    event(logging.getLogger("x"), Event.READY, detail='a "b"\nc=d', count=3, empty="")
    (line,) = stream.getvalue().splitlines()
    assert "event=ready" in line
    assert r'detail="a \"b\"\nc=d"' in line
    assert "count=3" in line
    assert 'empty=""' in line


def test_json_format(restore_root_logger):
    stream = io.StringIO()
    configure_logging("json", "info", stream)
    event(logging.getLogger("x"), Event.READY, count=3)
    assert json.loads(stream.getvalue())["event"] == "ready"


@pytest.mark.parametrize("log_format", ["logfmt", "json"])
def test_long_field_is_cut(restore_root_logger, log_format):
    stream = io.StringIO()
    configure_logging(log_format, "info", stream)
    detail = "\0\n\u2028" * 1_000_000
    event(logging.getLogger("x"), Event.ENTRY_DROPPED, detail=detail, entry=detail)
    (line,) = stream.getvalue().splitlines()
    assert len(line) < 10_000


def test_fast_json_lines_have_the_content_of_the_json_module():
    """A value that msgspec writes differently, or not at all, would change or lose a line."""
    values = (1, -5, 2**70, 0.25, 1e300, 1e-9, float("nan"), True, None, Event.READY, b"x", {1}, [])
    texts = ("a", '"\\\b\x1f', "\x7f", "\u00e9", "\ud800", "\u2028")
    for value in (*values, *texts, {"a": texts}):
        record = logging.makeLogRecord({"name": "n", "msg": "m", "field": value})
        options = {"fmt": "%(asctime)s %(message)s", "rename_fields": {"message": "event"}}
        fast, standard = (
            kind(**options).format(record) for kind in (FastJsonFormatter, JsonFormatter)
        )
        assert fast == standard
