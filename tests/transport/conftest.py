"""Provide listeners with limits of their own."""

import contextlib

import pytest

from tests.transport.served import Served


@pytest.fixture
def serve():
    with contextlib.ExitStack() as stack:

        def start(*args, **options):
            served = Served(*args, **options)
            stack.callback(served.listener.close, 0.0)
            stack.callback(served.app.resume.set)
            return served

        yield start
