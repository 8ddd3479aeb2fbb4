"""Test the `top` command: table rows, the screen, and the command with a real daemon process."""

import json

import pytest

from gypsumplank import cli, porcelain_top
from gypsumplank.porcelain_top import DaemonReply, FleetOverview, screen
from gypsumplank.protocol.operator import DaemonStatus, Status
from gypsumplank.protocol.overview import Overview, PoolOverview, WaveOverview


def daemon(name, revision):
    return DaemonStatus(name, "kochi-a", 1, revision, "", "")


def overview(name, revision, serving, waiting):
    pool = PoolOverview("quotes", 4, serving, 4 - serving, 0, 3, 5)
    return Overview(name, revision, (pool,), (WaveOverview("spring", 4, 1, 0),), waiting)


OVERVIEW = FleetOverview(
    Status("entry-0", True, 9),
    (
        DaemonReply(daemon("entry-0", 9), overview("entry-0", 9, 2, {"quotes": 3})),
        DaemonReply(daemon("entry-1", 8), overview("entry-1", 8, 4, {"quotes": 1, "rounds": 9})),
        DaemonReply(daemon("entry-2", 8), None, "server-unreachable"),
    ),
)


def test_requests_are_summed_and_hosts_come_from_newest_overview():
    (row,) = porcelain_top.pool_rows(OVERVIEW)
    assert (row["serving"], row["budget"], row["in flight"]) == (2, "BROKEN", 10)
    assert list(porcelain_top.queue_rows(OVERVIEW)) == [
        {"service": "rounds", "waiting": 9},
        {"service": "quotes", "waiting": 4},
    ]


def test_lagging_and_unreachable_daemons_are_listed():
    rows = list(porcelain_top.daemon_rows(OVERVIEW))
    assert [row["behind"] for row in rows] == [0, 1, 1]
    assert [row["answers"] for row in rows] == ["yes", "yes", "server-unreachable"]


def test_screen_is_plain_text():
    text = screen(OVERVIEW)
    assert text.isascii()
    assert "\x1b" not in text
    assert screen(FleetOverview(Status("entry-0", False, 0), ())).count("none") == 4


@pytest.mark.process
def test_top_command_with_daemon_process(cluster, capsys):
    cluster.start_platform()
    cluster.start_daemon("entry-0", "kochi-a")
    server = ["--server", cluster.operators("entry-0")]
    assert cli.main([*server, "top", "--count", "2", "--period", "0.1"]) == 0
    assert capsys.readouterr().out.count("== queues") == 2
    assert cli.main([*server, "--output", "json", "top", "--count", "1"]) == 0
    assert "answered" in json.loads(capsys.readouterr().out)
