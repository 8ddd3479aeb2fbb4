"""Configure Hypothesis, skip the known failing tests and provide the cluster fixture."""

import os

import pytest
from hypothesis import HealthCheck, settings

from demo.cluster import Cluster
from tests.known_red import read_known_red

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
# Each run draws other examples; --hypothesis-seed selects them, so that runs can be shared out.
settings.register_profile(
    "long", parent=settings.get_profile("ci"), derandomize=False, max_examples=500
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_modifyitems(items):
    known_failures = {entry.test for entry in read_known_red()}
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path) as running:
        yield running
