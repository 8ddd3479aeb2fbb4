"""Draw the burn report as a PNG file or a self-contained HTML page, with matplotlib."""

import base64
import html
import io
from pathlib import Path

from matplotlib.figure import Figure

from gypsumplank.porcelain import format_table
from gypsumplank.porcelain_report import burn_rows, measure_rows, window_name
from gypsumplank.protocol.burn import BurnReport, Result

FIGURE_WIDTH_IN = 9.0
ROW_HEIGHT_IN = 0.45
BASE_HEIGHT_IN = 1.6
BAR_HEIGHT = 0.25
PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Burn of error budgets</title>
<h1>Burn of error budgets</h1><img alt="Burn rates and what spent the budgets" src="{image}">
<pre>{services}</pre><pre>{measures}</pre></html>
"""


def draw(report: BurnReport) -> Figure:
    """Draw each service's burn rates by window, and what spent its budget in the longest window."""
    row_count = max(1, len(report.services))
    figure = Figure(
        figsize=(FIGURE_WIDTH_IN, BASE_HEIGHT_IN + ROW_HEIGHT_IN * row_count), layout="constrained"
    )
    rates, causes = figure.subplots(1, 2, sharey=True)
    names = [service.service for service in report.services]
    positions = range(len(names))
    for index, window_s in enumerate(_window_lengths(report)):
        burn_rates = [service.windows[index].burn_rate for service in report.services]
        rates.barh(
            [position + index * BAR_HEIGHT for position in positions],
            burn_rates,
            BAR_HEIGHT,
            label=window_name(window_s),
        )
    rates.axvline(1.0, color="black", linewidth=0.8)
    rates.set(
        title="burn rate (1 spends the budget)",
        yticks=[position + BAR_HEIGHT for position in positions],
    )
    rates.set_yticklabels(names)
    offsets = [0] * len(names)
    for result in (result for result in Result if result is not Result.ON_TIME):
        spent = [service.windows[-1].spent.get(result, 0) for service in report.services]
        if any(spent):
            causes.barh(
                [position + BAR_HEIGHT for position in positions],
                spent,
                2 * BAR_HEIGHT,
                offsets,
                label=result.value,
            )
            offsets = [offset + count for offset, count in zip(offsets, spent, strict=True)]
    causes.set(title="requests that spent it")
    for axes in (rates, causes):
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small")
    return figure


def _window_lengths(report: BurnReport) -> list[int]:
    return [window.window_s for window in report.services[0].windows] if report.services else []


def save(report: BurnReport, path: Path) -> None:
    """Write the plot as PNG, or as an HTML page with tables if the path ends in .html or .htm."""
    image = io.BytesIO()
    draw(report).savefig(image, format="png", dpi=120)
    if path.suffix not in (".html", ".htm"):
        path.write_bytes(image.getvalue())
        return
    encoded = base64.b64encode(image.getvalue()).decode()
    page = PAGE_TEMPLATE.format(
        image=f"data:image/png;base64,{encoded}",
        services=html.escape(format_table(burn_rows(report))),
        measures=html.escape(format_table(measure_rows(report.measures))),
    )
    path.write_text(page, encoding="utf-8")
