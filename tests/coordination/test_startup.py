"""Guard against a daemon that reports ready before its session is open."""

from types import SimpleNamespace

import pytest

from gypsumplank.coordination.startup import has_started
from gypsumplank.state.session import Session


@pytest.mark.parametrize(
    ("caught_up", "reachable", "epoch", "expected"),
    [
        (False, True, 1, False),
        (True, True, 0, False),
        (True, True, 1, True),
        (True, False, 0, True),
        (False, False, 0, False),
    ],
    ids=["no-config", "no-session", "open-session", "store-lost", "store-lost-no-config"],
)
def test_daemon_has_started(caught_up, reachable, epoch, expected):
    config = SimpleNamespace(caught_up=caught_up, reachable=reachable)
    own = SimpleNamespace(session=Session("entry-0", epoch, "z", "", "", "", 0, 0.0))
    assert has_started(config, own) is expected
