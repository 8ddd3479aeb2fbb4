import json

import pytest

from gypsumplank import cli, porcelain_top
from gypsumplank.porcelain_top import Answered, Top, screen
from gypsumplank.protocol.operator import DaemonStatus, Status
from gypsumplank.protocol.overview import Overview, PoolOverview, WaveOverview


def daemon(name, revision):
    return DaemonStatus(name, "kochi-a", 1, revision, "", "")


def overview(name, revision, serving, waiting):
    pool = PoolOverview("quotes", 4, serving, 4 - serving, 0, 3, 5)
    return Overview(name, revision, (pool,), (WaveOverview("spring", 4, 1, 0),), waiting)


TOP = Top(
    Status("entry-0", True, 9),
    (
        Answered(daemon("entry-0", 9), overview("entry-0", 9, 2, {"quotes": 3})),
        Answered(daemon("entry-1", 8), overview("entry-1", 8, 4, {"quotes": 1, "rounds": 9})),
        Answered(daemon("entry-2", 8), None, "server-unreachable"),
    ),
)


def test_requests_are_summed_and_hosts_taken_from_the_newest():
    (row,) = porcelain_top.pool_rows(TOP)
    assert (row["serving"], row["budget"], row["in flight"]) == (2, "BROKEN", 10)
    assert list(porcelain_top.queue_rows(TOP)) == [
        {"service": "rounds", "waiting": 9},
        {"service": "quotes", "waiting": 4},
    ]


def test_daemon_that_lags_or_is_silent_is_named():
    rows = list(porcelain_top.daemon_rows(TOP))
    assert [row["behind"] for row in rows] == [0, 1, 1]
    assert [row["answers"] for row in rows] == ["yes", "yes", "server-unreachable"]


def test_screen_is_plain_text():
    text = screen(TOP)
    assert text.isascii()
    assert "\x1b" not in text
    assert screen(Top(Status("entry-0", False, 0), ())).count("none") == 4


@pytest.mark.process
def test_top_of_a_real_daemon(cluster, capsys):
    cluster.start_platform()
    cluster.start_daemon("entry-0", "kochi-a")
    server = ["--server", cluster.operators("entry-0")]
    assert cli.main([*server, "top", "--count", "2", "--period", "0.1"]) == 0
    assert capsys.readouterr().out.count("== queues") == 2
    assert cli.main([*server, "--output", "json", "top", "--count", "1"]) == 0
    assert "answered" in json.loads(capsys.readouterr().out)
