"""Draw the burn report as a PNG file or a self-contained HTML page, with matplotlib."""

import base64
import html
import io
from pathlib import Path

from matplotlib.figure import Figure

from gypsumplank.porcelain import table
from gypsumplank.porcelain_report import burn_rows, measure_rows, window_name
from gypsumplank.protocol.burn import BurnReport, Result

WIDTH_IN = 9.0
ROW_IN = 0.45
BASE_IN = 1.6
BAR = 0.25
PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Burn of error budgets</title>
<h1>Burn of error budgets</h1><img alt="Burn rates and what spent the budgets" src="{image}">
<pre>{services}</pre><pre>{measures}</pre></html>
"""


def draw(report: BurnReport) -> Figure:
    """Return burn rates by window beside what spent the budget in the longest window."""
    count = max(1, len(report.services))
    figure = Figure(figsize=(WIDTH_IN, BASE_IN + ROW_IN * count), layout="constrained")
    rates, causes = figure.subplots(1, 2, sharey=True)
    names = [service.service for service in report.services]
    places = range(len(names))
    for number, window_s in enumerate(_windows(report)):
        held = [service.windows[number].burn_rate for service in report.services]
        rates.barh([at + number * BAR for at in places], held, BAR, label=window_name(window_s))
    rates.axvline(1.0, color="black", linewidth=0.8)
    rates.set(title="burn rate (1 spends the budget)", yticks=[at + BAR for at in places])
    rates.set_yticklabels(names)
    left = [0] * len(names)
    for result in (held for held in Result if held is not Result.ON_TIME):
        spent = [service.windows[-1].spent.get(result, 0) for service in report.services]
        if any(spent):
            causes.barh([at + BAR for at in places], spent, 2 * BAR, left, label=result.value)
            left = [one + other for one, other in zip(left, spent, strict=True)]
    causes.set(title="requests that spent it")
    for axes in (rates, causes):
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small")
    return figure


def _windows(report: BurnReport) -> list[int]:
    return [window.window_s for window in report.services[0].windows] if report.services else []


def save(report: BurnReport, path: Path) -> None:
    """Write the plot; a name that ends in .html makes a page with the tables."""
    image = io.BytesIO()
    draw(report).savefig(image, format="png", dpi=120)
    if path.suffix not in (".html", ".htm"):
        path.write_bytes(image.getvalue())
        return
    encoded = base64.b64encode(image.getvalue()).decode()
    page = PAGE.format(
        image=f"data:image/png;base64,{encoded}",
        services=html.escape(table(burn_rows(report))),
        measures=html.escape(table(measure_rows(report.measures))),
    )
    path.write_text(page, encoding="utf-8")
