"""Replace the generated blocks of a Markdown page."""

from collections.abc import Iterable, Mapping
from typing import Any

START = "<!-- begin {} -->"
END = "<!-- end {} -->"

Row = Mapping[str, Any]


def markdown(rows: Iterable[Row]) -> str:
    """Return rows as a table in Markdown."""
    held = list(rows)
    names = tuple(held[0])
    lines = [names, ("---",) * len(names), *(tuple(row.values()) for row in held)]
    return "\n".join(f"| {' | '.join(_cell(cell) for cell in line)} |" for line in lines)


def _cell(value: Any) -> str:
    return str(value).replace("|", "\\|")


def replace_block(page: str, name: str, rows: Iterable[Row]) -> str:
    """Return the page with the block of this name made anew."""
    start, end = START.format(name), END.format(name)
    before, _, rest = page.partition(start)
    _, _, after = rest.partition(end)
    return f"{before}{start}\n{markdown(rows)}\n{end}{after}"
