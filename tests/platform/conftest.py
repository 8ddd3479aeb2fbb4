import threading

import pytest

from gypsumplank.platform.client import Client
from standins.users_platform import make_users_platform


@pytest.fixture
def platform_server():
    """Return a stand-in for the platform and the address that it serves."""
    server, platform = make_users_platform("127.0.0.1:0")
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield platform, f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    server.server_close()


@pytest.fixture
def client(platform_server):
    http_client = Client(platform_server[1], 2.0, 2)
    yield http_client
    http_client.close()
