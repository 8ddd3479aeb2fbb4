"""Parse KNOWN-RED.txt, the list of known failing tests that CI skips and prints."""

import sys
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """Store one entry: the test id, its command, the observed failure and the issue."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(path: Path = KNOWN_RED) -> tuple[KnownRed, ...]:
    """Return the entries of the file, one per line with fields separated by `|`."""
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line.split("|") for line in lines if line.strip() and not line.startswith("#")]
    return tuple(KnownRed(*(part.strip() for part in entry)) for entry in entries)


def main() -> None:
    """Print every entry on one line."""
    for entry in read_known_red():
        sys.stdout.write(f"known red: {entry.test}: {entry.seen} ({entry.issue})\n")


if __name__ == "__main__":
    main()
