from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.protocol.peer import Demand, Hint


def test_message_reaches_subscribers_of_its_type_at_other_daemons():
    one, two, disconnected = MemoryPeers(), MemoryPeers(), MemoryPeers()
    one.join(two)
    two.join(disconnected)
    disconnected.partitioned = True
    received = []
    for peers in (one, two, disconnected):
        peers.subscribe(Hint, received.append)
    one.broadcast(Hint("one", 1, 5))
    one.broadcast(Demand("one", 1, {"quotes": 3}))
    assert received == [Hint("one", 1, 5)]
