from dataclasses import dataclass

import pytest

from gypsumplank.coordination.isolation import Isolation
from gypsumplank.coordination.rollout import Sighting
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.session import Session

NOW = 100.0
SILENCE_S = 5.0


def session(name):
    return Session(name, 1, "z", "", "", "", 0, 0.0)


@dataclass
class Lease:
    held: bool
    live: tuple
    session: Session = session("own")


@dataclass
class Contacts:
    told: dict

    def contacts(self):
        return {name: Sighting(1, revision, True, at) for name, (revision, at) in self.told.items()}

    def revisions(self):
        return {"own": 7}


@pytest.mark.parametrize(
    ("held", "others", "told", "cut_off"),
    [
        (True, ["p", "q"], {}, False),
        (False, [], {}, False),
        (False, ["p"], {}, True),
        (False, ["p"], {"p": (7, NOW - 1)}, False),
        (False, ["p"], {"p": (6, NOW - 1)}, False),
        (False, ["p"], {"p": (8, NOW - 1)}, True),
        (False, ["p"], {"p": (7, NOW - 6)}, True),
        (False, ["p", "q"], {"p": (7, NOW - 1)}, False),
        (False, ["p", "q", "r"], {"p": (7, NOW - 1)}, True),
        (False, ["p", "q", "r"], {"p": (7, NOW - 1), "x": (7, NOW - 1)}, True),
        (False, ["p", "q"], {"p": (7, NOW - 1), "q": (8, NOW - 1)}, True),
        (False, ["p"], {"p": (7, NOW - 1), "new": (9, NOW - 1)}, True),
    ],
)
def test_lapsed_daemon_goes_on_while_most_are_heard_and_none_is_ahead(held, others, told, cut_off):
    lease = Lease(held, tuple(session(name) for name in ["own", *others]))
    isolation = Isolation(lease, Contacts(told), ManualClock(NOW), SILENCE_S)
    assert isolation.cut_off() is cut_off
