"""Test the logfmt and JSON log formats."""

import io
import json
import logging

import pytest

from gypsumplank.log import Event, configure_logging, event


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
