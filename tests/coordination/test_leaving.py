from gypsumplank.coordination.leaving import LeavingHosts
from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.membership import Member, MemberState, MemoryMembership


class UnavailableMembership:
    def members(self):
        raise StateUnavailableError


def test_outage_keeps_the_last_list():
    membership = MemoryMembership([Member("h0", MemberState.LEAVING), Member("h1")])
    leaving = LeavingHosts(membership)
    leaving.tick()
    assert leaving.current == {"h0"}
    leaving._membership = UnavailableMembership()
    leaving.tick()
    assert leaving.current == {"h0"}
