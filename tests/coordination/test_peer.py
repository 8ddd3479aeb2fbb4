from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.protocol.peer import Demand, Hint


def test_message_reaches_subscribers_of_its_kind_at_other_daemons():
    one, two, cut = MemoryPeers(), MemoryPeers(), MemoryPeers()
    one.join(two)
    two.join(cut)
    cut.cut_off = True
    heard = []
    for peers in (one, two, cut):
        peers.subscribe(Hint, heard.append)
    one.broadcast(Hint("one", 1, 5))
    one.broadcast(Demand("one", 1, {"quotes": 3}))
    assert heard == [Hint("one", 1, 5)]
