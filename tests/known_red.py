"""List the tests that KNOWN-RED.txt names, for CI to pass over and print."""

import sys
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """Hold one entry."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(path: Path = KNOWN_RED) -> tuple[KnownRed, ...]:
    """Return the entries of the file."""
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line.split("|") for line in lines if line.strip() and not line.startswith("#")]
    return tuple(KnownRed(*(part.strip() for part in entry)) for entry in entries)


def main() -> None:
    """Print the entries."""
    for entry in read_known_red():
        sys.stdout.write(f"known red: {entry.test}: {entry.seen} ({entry.issue})\n")


if __name__ == "__main__":
    main()
