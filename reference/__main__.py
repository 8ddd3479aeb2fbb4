"""Write the generated blocks of all reference pages."""

import sys
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any

import pykka

from demo.cluster import ROOT, free_addresses
from gypsumplank import errors
from gypsumplank.daemon import Daemon
from gypsumplank.log import Event
from gypsumplank.settings import Settings
from reference.advice import ADVICE
from reference.block import replace_block
from reference.events import event_fields

PAGES = ROOT / "docs" / "operators"
BASES = frozenset({errors.FaultsError, errors.PeerError, errors.ServerError, errors.StateError})
REQUIRED = "must be set"

Rows = Iterator[dict[str, Any]]


def settings_rows() -> Rows:
    """Yield one row for each key of the daemon's settings."""
    for spec in fields(Settings):
        kind = spec.type if isinstance(spec.type, str) else getattr(spec.type, "__name__", "")
        default = REQUIRED if spec.default is MISSING else f"`{spec.default!r}`"
        yield {
            "key": f"`{spec.metadata['path']}`",
            "type": "list" if kind == "tuple" else kind,
            "default": default,
            "meaning": spec.metadata["doc"],
        }


def log_rows() -> Rows:
    """Yield one row for each event."""
    found = event_fields()
    for event in sorted(Event):
        names = (f"`{name}`" for name in found.get(event.name, ()))
        yield {"event": f"`{event.value}`", "fields": ", ".join(names), "meaning": event.doc}


def metric_rows() -> Rows:
    """Yield one row for each instrument that a daemon makes."""
    callers, operators, peers = free_addresses(3)
    cfg = Settings(
        id="entry-0",
        zone="z",
        callers=callers,
        operators=operators,
        peers=peers,
        platform=callers,
        peer_key="only-for-reference",
    )
    instruments = Daemon(cfg).instruments
    pykka.ActorRegistry.stop_all()
    for one in sorted(instruments, key=lambda held: held.name):
        yield {
            "name": f"`{one.name}`",
            "kind": one.kind,
            "unit": one.unit,
            "meaning": one.description,
        }


def _error_types(base: type[errors.GypsumplankError]) -> Iterator[type[errors.GypsumplankError]]:
    yield base
    for kind in base.__subclasses__():
        yield from _error_types(kind)


def error_rows() -> Rows:
    """Yield one row for each error code."""
    types = _error_types(errors.GypsumplankError)
    held = {kind.code: kind for kind in types if kind not in BASES}
    for code, kind in sorted(held.items()):
        doc = (kind.__doc__ or "").splitlines()[0]
        yield {
            "code": f"`{code}`",
            "status": kind.status,
            "meaning": doc,
            "what to do": ADVICE.get(code, ""),
        }


def make_pages() -> Mapping[Path, str]:
    """Return every reference page as it should be."""
    blocks = (
        ("settings.md", "settings", settings_rows()),
        ("logs.md", "events", log_rows()),
        ("metrics.md", "instruments", metric_rows()),
        ("troubleshooting.md", "codes", error_rows()),
    )
    made = {}
    for name, block, rows in blocks:
        path = PAGES / name
        made[path] = replace_block(path.read_text(encoding="utf-8"), block, rows)
    return made


def main() -> None:
    """Write the pages, or with `--check` name those that are not up to date."""
    check = "--check" in sys.argv[1:]
    stale = []
    for path, text in make_pages().items():
        if path.read_text(encoding="utf-8") != text:
            stale.append(path.name)
            if not check:
                path.write_text(text, encoding="utf-8")
    sys.stdout.writelines(f"{name}\n" for name in stale)
    sys.stdout.flush()
    sys.exit(1 if check and stale else 0)


if __name__ == "__main__":
    main()
