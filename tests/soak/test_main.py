import pytest

from soak.__main__ import run_trace
from soak.schedule import Fault, FaultKind, Phase, Trace

pytestmark = pytest.mark.process

TRACE = Trace(
    1,
    (
        Phase((Fault(FaultKind.DAEMON_KILLED, 1, 0.5), Fault(FaultKind.ANSWERS_LOST, 0, 1.0))),
        Phase((Fault(FaultKind.WORKER_CROSSES, 2, 1.0), Fault(FaultKind.OPERATORS_RACE, 0, 1.0))),
        Phase((Fault(FaultKind.DAEMON_STOPPED, 0, 0.2),)),
    ),
)


def test_short_run_has_no_breaches(tmp_path):
    report = run_trace(TRACE, tmp_path)
    assert report.breaches == ()
    assert report.requests["finished"]
    assert report.executed_count
    assert "0 breaches" in report.summary()
