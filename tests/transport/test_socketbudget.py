"""Test how the memory for the kernel's buffers is divided among connections."""

import socket

import pytest

from gypsumplank.transport.bodybudget import limits_of_memory
from gypsumplank.transport.socketbudget import (
    ALLOTTED_FACTOR,
    MIN_BUFFER_BYTES,
    WIDE_BUFFER_BYTES,
    SocketLimits,
    plan_sockets,
)
from tests.transport.served import POST, close_header, read

MIB = 1 << 20


@pytest.mark.parametrize("memory_mb", [96, 160, 200, 300, 384, 552, 1024, 65_536])
def test_kernel_holds_no_more_than_its_share_for_all_listeners(memory_mb):
    """Guard against connections whose buffers together outgrow the machine."""
    kernel_bytes = limits_of_memory(memory_mb * MIB).kernel_bytes
    plan = plan_sockets(kernel_bytes, 2050, 2)
    assert plan.callers.kernel_bytes + 2 * plan.service.kernel_bytes <= kernel_bytes
    assert plan.callers.connections <= 2050
    assert plan.callers.receive_bytes >= MIN_BUFFER_BYTES


def test_buffers_grow_with_memory_and_connections_do_not_pass_their_limit():
    small, large = (plan_sockets(mb * MIB, 1000, 1).callers for mb in (30, 300))
    assert small.connections < large.connections == 1000
    assert small.receive_bytes < large.receive_bytes


def test_connections_inherit_a_buffer_of_a_set_size(serve):
    """Guard against a kernel buffer that grows while a connection waits for its answer."""
    served = serve()
    with served.connect() as sock:
        sock.sendall(POST + b"Content-Length: 1\r\n\r\nx")
        read(sock, b"\r\n\r\n1")
        (channel,) = served.listener._server.active_channels.values()
        allotted = channel.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    assert allotted == ALLOTTED_FACTOR * served.sockets.receive_bytes


def test_large_bodies_have_wide_windows_while_there_are_some(serve):
    """Guard against slow uploads in calm, and against more wide windows than there is room for."""
    served = serve(sockets=SocketLimits(50, receive_bytes=MIN_BUFFER_BYTES, wide_connections=1))
    part = POST + b"Content-Length: 90000\r\n\r\n" + b"x" * 80_000
    with served.connect() as first, served.connect() as second:
        for sock in (first, second):
            sock.sendall(part)
        first.sendall(b"x" * 10_000)
        second.sendall(b"x" * 10_000)
        assert b"90000" in read(first, b"90000")
        assert b"90000" in read(second, b"90000")
        sizes = {
            channel.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            for channel in served.listener._server.active_channels.values()
        }
        assert sizes == {ALLOTTED_FACTOR * size for size in (MIN_BUFFER_BYTES, WIDE_BUFFER_BYTES)}
    assert served.ask(close_header(b"x" * 50_000)).endswith(b"50000")
