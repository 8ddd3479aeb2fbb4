import pytest

from tests.coordination.job.scratch import check_all_rounds


@pytest.fixture(scope="session", autouse=True)
def _rounds_are_checked():
    """Guard in all tests here against a change of a job that the scheduler does not notice."""
    patch = check_all_rounds()
    yield
    patch.undo()
