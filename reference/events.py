"""Find the fields of each log event by parsing the calls in the code."""

import ast
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

from demo.cluster import ROOT

CODE_ROOT = ROOT / "gypsumplank"


def _iter_calls(path: Path) -> Iterator[ast.Call]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    yield from (node for node in ast.walk(tree) if isinstance(node, ast.Call))


def _event_name(call: ast.Call) -> str | None:
    """Return the name of the Event member that a call of `event` logs; None for other calls."""
    if not isinstance(call.func, ast.Name) or call.func.id != "event":
        return None
    members = (
        arg.attr
        for arg in call.args
        if isinstance(arg, ast.Attribute)
        and isinstance(arg.value, ast.Name)
        and arg.value.id == "Event"
    )
    return next(members, None)


def event_fields() -> dict[str, tuple[str, ...]]:
    """Return the sorted field names of each event, by the name of its Event member."""
    fields_by_event: defaultdict[str, set[str]] = defaultdict(set)
    for path in sorted(CODE_ROOT.rglob("*.py")):
        for call in _iter_calls(path):
            name = _event_name(call)
            if name is not None:
                fields_by_event[name].update(
                    keyword.arg for keyword in call.keywords if keyword.arg
                )
    return {name: tuple(sorted(fields)) for name, fields in fields_by_event.items()}
