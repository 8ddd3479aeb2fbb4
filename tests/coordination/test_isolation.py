from dataclasses import dataclass

import pytest

from gypsumplank.coordination.isolation import Isolation
from gypsumplank.coordination.rollout import PeerAnnouncement
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.session import Session

NOW = 100.0
CONTACT_TIMEOUT_S = 5.0


def session(name):
    return Session(name, 1, "z", "", "", "", 0, 0.0)


@dataclass
class Lease:
    lease_valid: bool
    live: tuple
    session: Session = session("own")


@dataclass
class PeerStatuses:
    peers: dict

    def recent_peers(self):
        return {
            name: PeerAnnouncement(1, revision, True, at)
            for name, (revision, at) in self.peers.items()
        }

    def revisions(self):
        return {"own": 7}


@pytest.mark.parametrize(
    ("held", "others", "peers", "cut_off"),
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
def test_lapsed_daemon_sends_while_in_contact_with_an_up_to_date_majority(
    held, others, peers, cut_off
):
    lease = Lease(held, tuple(session(name) for name in ["own", *others]))
    isolation = Isolation(lease, PeerStatuses(peers), ManualClock(NOW), CONTACT_TIMEOUT_S)
    assert isolation.is_isolated() is cut_off
