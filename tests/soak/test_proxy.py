"""Test that a proxy leaves nothing behind."""

import gc
import socket
import sys

from soak.proxy import Proxy


def test_closing_a_proxy_with_open_connections_raises_nothing_later(monkeypatch):
    """Guard against exceptions of finalizers, which disturb whatever test runs by then."""
    raised = []
    monkeypatch.setattr(sys, "unraisablehook", raised.append)
    with socket.create_server(("127.0.0.1", 0)) as target:
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        proxy = Proxy(listen, f"127.0.0.1:{target.getsockname()[1]}")
        proxy.start()
        host, port = listen.split(":")
        with socket.create_connection((host, int(port))), target.accept()[0]:
            proxy.close()
        del proxy
        gc.collect()
    assert not raised
