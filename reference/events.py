"""Find which fields each event is logged with, from the calls in the code."""

import ast
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

from demo.cluster import ROOT

CODE = ROOT / "gypsumplank"


def _calls(path: Path) -> Iterator[ast.Call]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    yield from (node for node in ast.walk(tree) if isinstance(node, ast.Call))


def _event_name(call: ast.Call) -> str | None:
    """Return the member of Event that a call of `event` logs."""
    if not isinstance(call.func, ast.Name) or call.func.id != "event":
        return None
    named = (
        arg.attr
        for arg in call.args
        if isinstance(arg, ast.Attribute)
        and isinstance(arg.value, ast.Name)
        and arg.value.id == "Event"
    )
    return next(named, None)


def event_fields() -> dict[str, tuple[str, ...]]:
    """Return the fields of each event by the name of its member, in order of their names."""
    found: defaultdict[str, set[str]] = defaultdict(set)
    for path in sorted(CODE.rglob("*.py")):
        for call in _calls(path):
            name = _event_name(call)
            if name is not None:
                found[name].update(word.arg for word in call.keywords if word.arg)
    return {name: tuple(sorted(fields)) for name, fields in found.items()}
