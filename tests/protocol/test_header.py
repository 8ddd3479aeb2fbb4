import pytest

from gypsumplank.errors import RequestInvalidError
from gypsumplank.protocol.header import drop_hop_by_hop, parse_timeout_s, parse_urgency


@pytest.mark.parametrize(
    ("value", "urgency"),
    [("u=0", 0), ("u=7, i", 7), ("i, u=2", 2), ("", 3), ("u=9", 3), ("u=12", 3), ("x", 3)],
)
def test_urgency_is_parsed_or_defaulted(value, urgency):
    assert parse_urgency(value) == urgency


@pytest.mark.parametrize("raw", ["", "0", "-1", "1.5", "abc", "99999999", "²", "9" * 5000])
def test_malformed_timeout_refused(raw):
    with pytest.raises(RequestInvalidError):
        parse_timeout_s({"Request-Timeout-Ms": raw}, 10)


def test_timeout_is_parsed_or_defaulted():
    assert parse_timeout_s({}, 500) == 0.5
    assert parse_timeout_s({"Request-Timeout-Ms": "250"}, 500) == 0.25


def test_hop_by_hop_fields_dropped():
    assert drop_hop_by_hop((("Connection", "x"), ("A", "b"), ("TE", "c"))) == (("A", "b"),)
