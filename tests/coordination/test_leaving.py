from gypsumplank.coordination.leaving import LeavingHosts
from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.membership import Member, MemberState, MemoryMembership


class Failing:
    def members(self):
        raise StateUnavailableError


def test_keeps_the_last_list_through_an_outage():
    membership = MemoryMembership([Member("h0", MemberState.LEAVING), Member("h1")])
    leaving = LeavingHosts(membership)
    leaving.tick()
    assert leaving.current == {"h0"}
    leaving._membership = Failing()
    leaving.tick()
    assert leaving.current == {"h0"}
