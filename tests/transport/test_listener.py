import http.client
import threading
import time

import pytest
from waitress.trigger import trigger

from demo.cluster import free_addresses
from gypsumplank.transport.listener import ClosingDispatcher, Listener

THREADS = 2
JOIN_TIMEOUT_S = 5.0


def answer(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


def server_thread(name):
    return next(thread for thread in threading.enumerate() if thread.name == name)


@pytest.fixture
def listener():
    (address,) = free_addresses(1)
    listener = Listener(answer, address, ClosingDispatcher(THREADS), 1 << 10, "listener-test")
    listener.start()
    return listener


def test_server_that_ends_before_its_wake_up_is_written_closes_cleanly(listener, monkeypatch):
    thread = server_thread("listener-test")
    wake_up = trigger._physical_pull

    def wake_up_twice(self):
        wake_up(self)
        thread.join(0.5)
        wake_up(self)

    monkeypatch.setattr(trigger, "_physical_pull", wake_up_twice)
    assert listener.close(1.0)
    assert not thread.is_alive()


def test_request_that_outlives_the_grace_period_ends_without_an_error():
    (address,) = free_addresses(1)
    started, resume = threading.Event(), threading.Event()
    errors = []

    def block(environ, start_response):
        started.set()
        resume.wait(JOIN_TIMEOUT_S)
        return answer(environ, start_response)

    class RecordingDispatcher(ClosingDispatcher):
        def handler_thread(self, thread_no):
            try:
                super().handler_thread(thread_no)
            except OSError as exc:
                errors.append(exc)

    dispatcher = RecordingDispatcher(THREADS)
    listener = Listener(block, address, dispatcher, 1 << 10, "listener-test")
    listener.start()
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=JOIN_TIMEOUT_S)
    conn.request("POST", "/", b"x")
    assert started.wait(JOIN_TIMEOUT_S)
    assert not listener.close(0.0)
    resume.set()
    deadline = time.monotonic() + JOIN_TIMEOUT_S
    while dispatcher.threads and time.monotonic() < deadline:
        time.sleep(0.01)
    assert not dispatcher.threads
    assert errors == []
