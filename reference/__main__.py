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
BASE_ERRORS = frozenset(
    {errors.FaultsError, errors.PeerError, errors.ServerError, errors.StateError}
)
REQUIRED_TEXT = "must be set"

Rows = Iterator[dict[str, Any]]


def settings_rows() -> Rows:
    """Yield one row per key of the daemon's settings."""
    for setting in fields(Settings):
        type_name = (
            setting.type if isinstance(setting.type, str) else getattr(setting.type, "__name__", "")
        )
        default = REQUIRED_TEXT if setting.default is MISSING else f"`{setting.default!r}`"
        yield {
            "key": f"`{setting.metadata['path']}`",
            "type": "list" if type_name == "tuple" else type_name,
            "default": default,
            "meaning": setting.metadata["doc"],
        }


def log_rows() -> Rows:
    """Yield one row per log event."""
    fields_by_event = event_fields()
    for event in sorted(Event):
        field_names = (f"`{name}`" for name in fields_by_event.get(event.name, ()))
        yield {"event": f"`{event.value}`", "fields": ", ".join(field_names), "meaning": event.doc}


def metric_rows() -> Rows:
    """Yield one row per metric instrument that a daemon creates."""
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
    for instrument in sorted(instruments, key=lambda instrument: instrument.name):
        yield {
            "name": f"`{instrument.name}`",
            "kind": instrument.kind,
            "unit": instrument.unit,
            "meaning": instrument.description,
        }


def _error_types(base: type[errors.GypsumplankError]) -> Iterator[type[errors.GypsumplankError]]:
    yield base
    for subclass in base.__subclasses__():
        yield from _error_types(subclass)


def error_rows() -> Rows:
    """Yield one row per error code."""
    types = _error_types(errors.GypsumplankError)
    types_by_code = {
        error_type.code: error_type for error_type in types if error_type not in BASE_ERRORS
    }
    for code, error_type in sorted(types_by_code.items()):
        meaning = (error_type.__doc__ or "").splitlines()[0]
        yield {
            "code": f"`{code}`",
            "status": error_type.status,
            "meaning": meaning,
            "what to do": ADVICE.get(code, ""),
        }


def make_pages() -> Mapping[Path, str]:
    """Return the up-to-date text of every reference page."""
    blocks = (
        ("settings.md", "settings", settings_rows()),
        ("logs.md", "events", log_rows()),
        ("metrics.md", "instruments", metric_rows()),
        ("troubleshooting.md", "codes", error_rows()),
    )
    pages = {}
    for name, block, rows in blocks:
        path = PAGES / name
        pages[path] = replace_block(path.read_text(encoding="utf-8"), block, rows)
    return pages


def main() -> None:
    """Write the outdated pages, or with `--check` only list them and exit with status 1."""
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
