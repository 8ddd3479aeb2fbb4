"""Test the limits of a listener's requests through its socket."""

import contextlib
import json
import selectors
import threading

import pytest

from gypsumplank.transport.requestparser import HeadRefusal
from gypsumplank.transport.socketbudget import MIN_BUFFER_BYTES, SocketLimits
from tests.transport.served import CHUNKED, MAX_BODY_BYTES, POST, close_header, read, wait_until


def test_requests_at_the_documented_limits_are_served(serve):
    """Guard against limits that refuse what they allow, and chunk headers that count as body."""
    served = serve()
    assert served.ask(close_header(b"x" * MAX_BODY_BYTES)).endswith(b"\r\n\r\n100000")
    tiny = b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n"
    closing = CHUNKED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert served.ask(closing + tiny).endswith(b"\r\n\r\n100000")
    head = POST + b"Connection: close\r\nX-Filler: "
    filled = head + b"x" * (16_384 - len(head) - 4) + b"\r\n\r\n"
    assert len(filled) == 16_384
    assert b"200 OK" in served.ask(filled)
    assert b"431 " in served.ask(filled.replace(b"xx", b"xxx", 1))


@pytest.mark.parametrize(
    ("wire", "status"),
    [
        (POST + b"Content-Length: 100001\r\n\r\n", b"413"),
        (CHUNKED + b"186a1\r\n", b"413"),
        (CHUNKED + b"1;" + b"x" * 2000, b"400"),
        (POST + b"X-Filler: " + b"x" * 17_000, b"431"),
    ],
)
def test_excess_is_refused_and_closed(serve, wire, status):
    served = serve()
    assert served.ask(wire)[9:12] == status
    assert served.app.bodies == []


def test_expectation_and_pipelined_requests_are_served_in_order(serve):
    served = serve()
    with served.connect() as sock:
        sock.sendall(POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert read(sock, b"\r\n\r\n").startswith(b"HTTP/1.1 100 ")
        sock.sendall(b"abc" + CHUNKED + b"2\r\nxy\r\n0\r\n\r\n" + close_header(b"z"))
        assert [part[:1] for part in read(sock).split(b"\r\n\r\n")[1:]] == [b"3", b"2", b"1"]


def test_head_is_checked_before_the_body(serve):
    """Guard against a body, or what is hidden in it, that is read although its head is refused."""
    heads = []

    def check(head):
        heads.append(head)
        return HeadRefusal(401, (("WWW-Authenticate", "Bearer"),), b"no")

    served = serve(check)
    hidden = b"GET /hidden HTTP/1.1\r\nHost: desk\r\n\r\n"
    fields = b"Authorization: Bearer k\r\nExpect: 100-continue\r\nContent-Length: 50\r\n\r\n"
    answer = served.ask(POST + fields + hidden)
    assert answer.startswith(b"HTTP/1.1 401 Unauthorized\r\n")
    assert b"Connection: close\r\n" in answer
    assert b"Bearer\r\n" in answer
    (head,) = heads
    assert (head.method, head.path, head.host) == ("POST", "/jobs", "desk")
    assert head.headers["authorization"] == "Bearer k"
    assert served.app.bodies == []


def test_incomplete_requests_time_out_with_an_answer(serve):
    served = serve(header_s=0.2, body_s=0.4)
    assert served.ask(b"POST /jobs")[9:12] == b"408"
    answer = served.ask(POST + b"Content-Length: 9\r\n\r\nx")
    assert answer[9:12] == b"408"
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["outcome"] == "not-run"


def test_refusal_waits_for_the_answers_before_it(serve):
    """Guard against answers out of order, and against a time-out while an answer is awaited."""
    served = serve(incomplete_bytes=20_000)
    with served.connect() as sock:
        sock.sendall(POST.replace(b"/jobs", b"/wait") + b"Content-Length: 1\r\n\r\nx")
        sock.sendall(POST + b"Content-Length: 90000\r\n\r\n" + b"x" * 40_000)
        while not served.ledger._unlogged and not served.ledger._refused:
            threading.Event().wait(0.01)
        served.app.resume.set()
        answers = read(sock)
    assert answers.startswith(b"HTTP/1.1 200 OK")
    assert answers.count(b"HTTP/1.1 503 ") == 1
    assert served.app.bodies == [1]


def test_memory_is_freed_by_the_slowest_and_the_rest_is_served(serve):
    served = serve(incomplete_bytes=150_000)
    part = POST + b"Content-Length: 90000\r\nConnection: close\r\n\r\n" + b"x" * 89_999
    with served.connect() as first, served.connect() as second:
        first.sendall(part)
        threading.Event().wait(0.3)
        second.sendall(part)
        assert read(first)[9:12] == b"503"
        second.sendall(b"x")
        assert read(second).endswith(b"90000")


def test_full_queue_refuses_bodies_before_they_are_read(serve):
    served = serve(complete_bytes=50_000)
    with served.connect() as sock:
        sock.sendall(POST.replace(b"/jobs", b"/wait") + b"Content-Length: 60000\r\n\r\n")
        sock.sendall(b"x" * 60_000)
        while not served.ledger.is_full():
            threading.Event().wait(0.01)
        assert served.ask(POST + b"Content-Length: 90000\r\n\r\n")[9:12] == b"503"
        small = b"GET /jobs HTTP/1.1\r\nConnection: close\r\n\r\n"
        assert b"200 OK" in served.ask(small)


def test_stalled_and_silent_connections_make_room(serve):
    """Guard against connections that hold every place while ordinary callers wait."""
    served = serve(sockets=SocketLimits(12), header_s=0.3, body_s=60.0)
    with contextlib.ExitStack() as stack:
        for number in range(30):
            sock = stack.enter_context(served.connect())
            if number % 2:
                sock.sendall(POST + b"Content-Length: 9\r\n\r\nx")
        assert served.ask(close_header(b"abc")).endswith(b"\r\n\r\n3")


# 64 bytes, so that no read ends within a request and none of them is incomplete.
GET = b"GET /jobs HTTP/1.1\r\nHost: desk\r\nX-Filler: " + b"x" * 18 + b"\r\n\r\n"


@contextlib.contextmanager
def pipelining(served, connections):
    """Send requests without end on many connections, and read the answers."""
    stopped = threading.Event()
    with contextlib.ExitStack() as stack:
        selector = stack.enter_context(selectors.DefaultSelector())
        for _ in range(connections):
            sock = stack.enter_context(served.connect())
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)

        def run():
            while not stopped.is_set():
                for key, events in selector.select(0.1):
                    try:
                        if events & selectors.EVENT_WRITE:
                            key.fileobj.send(GET * 500)
                        if events & selectors.EVENT_READ and not key.fileobj.recv(65_536):
                            selector.unregister(key.fileobj)
                    except BlockingIOError:
                        continue
                    except OSError:
                        selector.unregister(key.fileobj)

        thread = threading.Thread(target=run)
        thread.start()
        stack.callback(thread.join)
        stack.callback(stopped.set)
        yield


def test_pipelining_connections_make_room(serve):
    """Guard against connections that hold every place by sending requests without end."""
    served = serve(sockets=SocketLimits(12, receive_bytes=MIN_BUFFER_BYTES))
    with pipelining(served, 20):
        assert served.ask(close_header(b"abc")).endswith(b"\r\n\r\n3")


def test_connections_that_read_no_replies_make_room(serve):
    """Guard against connections that hold every place as their replies are not read."""
    served = serve(sockets=SocketLimits(12))
    with contextlib.ExitStack() as stack:
        for _ in range(20):
            sock = stack.enter_context(served.connect())
            sock.sendall(GET.replace(b"/jobs", b"/large"))
        assert served.ask(close_header(b"abc")).endswith(b"\r\n\r\n3")


def test_fresh_request_does_not_make_room(serve):
    """Guard against the refusal of an ordinary request because no other one is incomplete."""
    served = serve(sockets=SocketLimits(5))
    with contextlib.ExitStack() as stack:
        for _ in range(2):
            sock = stack.enter_context(served.connect())
            sock.sendall(POST.replace(b"/jobs", b"/wait") + b"Content-Length: 0\r\n\r\n")
        last = stack.enter_context(served.connect())
        last.sendall(POST + b"Connection: close\r\nContent-Length: 3\r\n\r\nx")
        wait_until(lambda: served.ledger._arrivals)
        # The server's next turns find every place taken.
        threading.Event().wait(0.1)
        last.sendall(b"yz")
        served.app.resume.set()
        assert read(last).endswith(b"\r\n\r\n3")
