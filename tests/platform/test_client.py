import socket

import pytest

from gypsumplank.errors import CallError
from gypsumplank.platform.client import Client

LONG_TIMEOUT_S = 60.0


@pytest.fixture
def silent_address():
    """Return the address of a service that accepts connections and never answers."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


def test_call_with_a_limit_ends_before_the_clients_timeout(silent_address):
    client = Client(silent_address, LONG_TIMEOUT_S, 1)
    with pytest.raises(CallError) as caught:
        client.call("POST", "/", {}, max_timeout_s=0.1)
    assert caught.value.sent


def test_unanswered_calls_prolong_the_timeout_up_to_its_maximum(silent_address):
    client = Client(silent_address, 0.3, 1, min_timeout_s=0.1)
    timeouts = []
    for _ in range(4):
        timeouts.append(client._timeout.current_s)
        with pytest.raises(CallError):
            client.call("GET", "/")
    assert timeouts == pytest.approx([0.1, 0.2, 0.3, 0.3])


def test_call_that_was_shortened_tells_nothing_about_the_service(silent_address):
    client = Client(silent_address, 0.3, 1, min_timeout_s=0.1)
    with pytest.raises(CallError):
        client.call("POST", "/", {}, max_timeout_s=0.05)
    assert client._timeout.current_s == pytest.approx(0.1)
