"""Test in which order requests get a thread."""

from dataclasses import dataclass

from gypsumplank.transport.requestqueue import PIPELINED_INTERVAL, RequestQueue
from gypsumplank.transport.socketbudget import SocketLimits
from tests.transport.served import POST, wait_until

CONNECTIONS = 50
STEP = POST.replace(b"/jobs", b"/step") + b"Content-Length: 0\r\n\r\n"


@dataclass(frozen=True)
class Request:
    name: str
    is_pipelined: bool = False


def drain(queue):
    return [queue.popleft().name for _ in range(len(queue))]


def test_first_requests_go_before_pipelined_ones_but_not_always():
    queue = RequestQueue()
    for number in range(3):
        queue.append(Request(f"pipelined-{number}", True))
    for number in range(2 * PIPELINED_INTERVAL):
        queue.append(Request(f"first-{number}"))
    order = drain(queue)
    assert order.index("pipelined-0") == PIPELINED_INTERVAL - 1
    assert order.index("pipelined-1") == 2 * PIPELINED_INTERVAL - 1
    assert [name for name in order if name.startswith("first")] == [
        f"first-{number}" for number in range(2 * PIPELINED_INTERVAL)
    ]


def test_ordinary_request_does_not_wait_for_every_pipelining_connection(serve):
    """Guard against a wait that grows with the connections that send requests ahead."""
    served = serve(sockets=SocketLimits(), threads=1)
    queue, bodies, steps = served.dispatcher.queue, served.app.bodies, served.app.steps
    sockets = [served.connect() for _ in range(CONNECTIONS)]
    for sock in sockets:
        sock.sendall(STEP * 8)
    # The first one is with the thread.
    wait_until(lambda: len(queue) == CONNECTIONS - 1)
    with served.connect() as ordinary:
        for body in (b"abc", b"wxyz"):
            # After two requests for each, no first request is left.
            seen = len(bodies)
            steps.release(2 * CONNECTIONS)
            wait_until(lambda: len(bodies) == seen + 2 * CONNECTIONS)  # noqa: B023
            wait_until(lambda: len(queue) == CONNECTIONS - 1)
            ordinary.sendall(POST + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            wait_until(lambda: len(queue) == CONNECTIONS)
            steps.release(CONNECTIONS)
            wait_until(lambda: len(body) in bodies)  # noqa: B023
            assert bodies.index(len(body)) <= seen + 2 * CONNECTIONS + PIPELINED_INTERVAL
            wait_until(lambda: len(bodies) == seen + 3 * CONNECTIONS + 1)  # noqa: B023
    for sock in sockets:
        sock.close()
