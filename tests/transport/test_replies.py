"""Test that clients that do not read their replies hold neither threads nor memory."""

import contextlib
import socket

from gypsumplank.transport.bodybudget import DropCause, choose_stalled
from tests.transport.served import LARGE_ANSWER_BYTES, close_header, read, wait_until

GET_LARGE = b"GET /large HTTP/1.1\r\nHost: desk\r\n\r\n"
REQUESTS = 5


def unsent(served):
    return sum(each.total_outbufs_len for each in served.listener._server.active_channels.values())


def test_next_request_waits_until_the_last_reply_is_sent(serve):
    """Guard against all replies to pipelined requests in memory, and against lost ones."""
    served = serve()
    with served.connect() as sock:
        sock.sendall(GET_LARGE * REQUESTS)
        wait_until(lambda: unsent(served))
        for _ in range(20):
            assert b"200 OK" in served.ask(close_header(b"abc"))
        assert unsent(served) <= LARGE_ANSWER_BYTES
        assert served.app.bodies.count(0) == 1
        answers, length = b"", REQUESTS * LARGE_ANSWER_BYTES
        while len(answers) < length:
            answers += sock.recv(1 << 20)
        assert answers.count(b"HTTP/1.1 200 OK") == REQUESTS


def test_clients_that_do_not_read_leave_threads_to_others(serve):
    """Guard against threads that wait for clients."""
    served = serve(threads=1)
    with contextlib.ExitStack() as stack:
        for _ in range(3):
            sock = stack.enter_context(served.connect())
            sock.sendall(GET_LARGE.replace(b"/large", b"/huge") * REQUESTS)
        wait_until(lambda: served.app.bodies.count(0) == 3)
        assert b"200 OK" in served.ask(close_header(b"abc"))


def test_longest_stalled_reply_is_dropped_for_memory(serve):
    """Guard against replies of many clients that together outgrow the machine."""
    served = serve(reply_bytes=LARGE_ANSWER_BYTES)
    with served.connect() as first, served.connect() as second:
        first.sendall(GET_LARGE)
        wait_until(lambda: unsent(served))
        second.sendall(GET_LARGE.replace(b"desk", b"desk\r\nConnection: close"))
        wait_until(lambda: served.ledger._dropped[DropCause.MEMORY])
        assert len(read(first)) < LARGE_ANSWER_BYTES
        assert len(read(second)) >= LARGE_ANSWER_BYTES
        assert served.ledger.reply_excess() <= 0


def test_reply_that_is_never_read_is_dropped(serve):
    served = serve(reply_s=0.3)
    with served.connect() as sock:
        sock.sendall(GET_LARGE)
        wait_until(lambda: served.ledger._dropped[DropCause.TIME])
        assert len(read(sock)) < LARGE_ANSWER_BYTES
        assert served.ledger.reply_excess() < 0


def test_kernel_holds_no_more_than_a_set_size_of_a_reply(serve):
    """Guard against a send buffer that the kernel enlarges as it likes."""
    served = serve()
    with served.connect() as sock:
        sock.sendall(GET_LARGE)
        wait_until(lambda: unsent(served))
        (channel,) = served.listener._server.active_channels.values()
        allotted = channel.socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        assert allotted == 2 * served.sockets.send_bytes


def test_clients_that_read_are_not_chosen():
    """Guard against the loss of a reply that is ready and read, if slowly."""
    replies = [("slow", 900, 0.9), ("stuck", 100, 9.0), ("stalled", 100, 2.0)]
    assert choose_stalled(replies, 50) == ["stuck"]
    assert choose_stalled(replies, 150) == ["stuck", "stalled"]
    assert choose_stalled(replies, 1000) == ["stuck", "stalled"]
