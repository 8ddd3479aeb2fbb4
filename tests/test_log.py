import io
import json
import logging

import pytest

from gypsumplank.log import Event, event, set_up


@pytest.fixture
def restore_root():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_logfmt_is_one_line_of_pairs(restore_root):
    stream = io.StringIO()
    set_up("logfmt", "info", stream)
    event(logging.getLogger("x"), Event.READY, detail='a "b"\nc=d', count=3, empty="")
    (line,) = stream.getvalue().splitlines()
    assert "event=ready" in line
    assert r'detail="a \"b\"\nc=d"' in line
    assert "count=3" in line
    assert 'empty=""' in line


def test_json_by_setting(restore_root):
    stream = io.StringIO()
    set_up("json", "info", stream)
    event(logging.getLogger("x"), Event.READY, count=3)
    assert json.loads(stream.getvalue())["event"] == "ready"
