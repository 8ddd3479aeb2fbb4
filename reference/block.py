"""Replace the generated blocks of a Markdown page."""

from collections.abc import Iterable, Mapping
from typing import Any

BEGIN_MARK = "<!-- begin {} -->"
END_MARK = "<!-- end {} -->"

Row = Mapping[str, Any]


def markdown_table(rows: Iterable[Row]) -> str:
    """Return rows as a Markdown table."""
    items = list(rows)
    columns = tuple(items[0])
    lines = [columns, ("---",) * len(columns), *(tuple(row.values()) for row in items)]
    return "\n".join(f"| {' | '.join(_cell(cell) for cell in line)} |" for line in lines)


def _cell(value: Any) -> str:
    return str(value).replace("|", "\\|")


def replace_block(page: str, name: str, rows: Iterable[Row]) -> str:
    """Return the page with the block of this name replaced by a table of the rows."""
    start, end = BEGIN_MARK.format(name), END_MARK.format(name)
    before, _, rest = page.partition(start)
    _, _, after = rest.partition(end)
    return f"{before}{start}\n{markdown_table(rows)}\n{end}{after}"
