import logging

from gypsumplank.coordination.job.suspension import SuspensionLog


def test_each_suspension_is_logged_once(caplog):
    readings = iter([5.0, 5.01, 8.0, 8.02, 9.5])
    log = SuspensionLog(lambda: next(readings))
    with caplog.at_level(logging.WARNING):
        for _ in range(4):
            log.check()
    assert [record.seconds for record in caplog.records] == [3.0, 1.5]
