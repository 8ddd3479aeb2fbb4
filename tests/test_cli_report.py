"""Test the burn report: plots, table rows, and the command with real daemon processes."""

import json
import subprocess
import sys
import time

import pytest

from demo.__main__ import make_records
from demo.cluster import ROOT, free_addresses
from gypsumplank import cli, plot, porcelain, porcelain_report
from gypsumplank.protocol.burn import (
    BurnReport,
    FleetMeasures,
    Result,
    ServiceBurn,
    WindowBurn,
)
from tests.test_process import send

SPENT = {Result.FLOOD: 2, Result.ENDPOINT: 7}
REPORT = BurnReport(
    1.0,
    True,
    2,
    (ServiceBurn("quotes", 0.99, (WindowBurn(300, 100, 91, 9.0, SPENT),)),),
    FleetMeasures(0.25, 0.5, 1.25, 3, None),
)


@pytest.mark.parametrize(("name", "start"), [("b.png", b"\x89PNG"), ("b.html", b"<!doctype")])
def test_plot_is_png_or_self_contained_html(tmp_path, name, start):
    plot.save(REPORT, tmp_path / name)
    raw = (tmp_path / name).read_bytes()
    assert raw.startswith(start)
    assert b"http" not in raw if name.endswith("html") else True


def test_plot_of_empty_report(tmp_path):
    plot.save(BurnReport(1.0, False, 0, (), REPORT.measures), tmp_path / "b.png")
    assert (tmp_path / "b.png").stat().st_size


def test_rows_list_causes_of_spent_budget_by_descending_count():
    (row,) = porcelain_report.burn_rows(REPORT)
    assert row["spent by"] == "7 endpoint, 2 flood"
    assert (row["window"], row["on time"], row["burn"]) == ("5m", "91.000%", "9")
    assert [row["measure"] for row in porcelain_report.measure_rows(REPORT.measures)] == [
        "buffer cost",
        "roll-out time",
        "moves",
        "flood protection",
    ]


def test_daemon_does_not_import_plot_library():
    code = "import sys, gypsumplank.daemon, gypsumplank.cli; sys.exit('matplotlib' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def on_time_counts(server):
    report = porcelain_report.burn(server)
    return {service.service: service.windows[-1].on_time for service in report.services}, report


@pytest.mark.process
def test_burn_counts_survive_daemon_crash(cluster, tmp_path, capsys):
    cluster.start_platform()
    addresses = {"counter-desk": free_addresses(4), "harbour-desk": free_addresses(4)}
    cluster.start_workers("workers", [address for group in addresses.values() for address in group])
    for name in ("entry-0", "entry-1"):
        cluster.start_daemon(name, "kochi-a")
    paths = make_records(tmp_path, addresses)
    servers = [porcelain.OperatorClient(cluster.operators(name)) for name in ("entry-0", "entry-1")]
    revision = porcelain.apply(servers[0], paths).revision
    deadline = time.monotonic() + 20
    while porcelain.status(servers[1]).revision < revision and time.monotonic() < deadline:
        time.sleep(0.05)
    for name in ("entry-0", "entry-1", "entry-1"):
        assert send(cluster, name).status == 200
    assert on_time_counts(servers[1])[0] == {"counter-desk": 2, "harbour-desk": 0}
    cluster.kill("entry-1")
    cluster.start_daemon("entry-1", "kochi-a")
    assert send(cluster, "entry-1").status == 200
    assert on_time_counts(servers[1])[0]["counter-desk"] == 3
    assert on_time_counts(servers[0])[0]["counter-desk"] == 4
    assert on_time_counts(servers[1])[1].writers == 3
    capsys.readouterr()
    server = ["--server", cluster.operators("entry-0")]
    target = tmp_path / "burn.html"
    assert cli.main([*server, "report", "burn", "--plot", str(target)]) == 0
    assert "counter-desk" in capsys.readouterr().out
    assert target.exists()
    assert cli.main([*server, "--output", "json", "report", "burn"]) == 0
    assert json.loads(capsys.readouterr().out)["complete"] is True
