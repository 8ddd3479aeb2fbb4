import pytest

from tests.coordination.job.scratch import CheckedRounds


@pytest.fixture(scope="session", autouse=True)
def _checked_rounds():
    """Guard in all tests here against a change of a job that the scheduler does not notice."""
    checked = CheckedRounds()
    checked.begin()
    yield checked
    checked.end()


@pytest.fixture
def _unchecked_rounds(_checked_rounds):
    """Let a test count what a round does without the checks."""
    _checked_rounds.end()
    yield
    _checked_rounds.begin()
