"""Test that the capacity page matches the stored measurements, and test the line fit."""

import json

import pytest

from bench.capacity_page import PAGE, RESULT, Measured, control_rows, render_page
from bench.fit import Point, fit_line


def test_page_matches_measurements():
    raw = json.loads(RESULT.read_text())
    page = PAGE.read_text()
    assert render_page(page, raw) == page
    assert "<!-- begin control -->\n| daemons |" in page


def test_changed_measurement_changes_page():
    raw = json.loads(RESULT.read_text())
    raw["imports_bytes"] += 10_000_000
    page = PAGE.read_text()
    assert render_page(page, raw) != page


def test_exceeded_limit_is_reported():
    raw = json.loads(RESULT.read_text())
    raw["imports_bytes"] -= 40_000_000
    assert {row["fits"] for row in control_rows(Measured(raw))} == {"NO"}


def test_fit_of_collinear_points():
    fit = fit_line([Point(1, 5), Point(2, 7), Point(4, 11)])
    assert (fit.intercept, fit.slope) == (pytest.approx(3), pytest.approx(2))
    assert fit.spread == pytest.approx(0, abs=1e-9)
    assert fit.at(10) == pytest.approx(23)


def test_spread_measures_noise():
    assert fit_line([Point(0, 0), Point(1, 2), Point(2, 1)]).spread > 0.5
