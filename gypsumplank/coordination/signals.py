"""Hold what a daemon senses of hosts and pools beyond the records in force."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.coordination.roster import Roster


@dataclass(frozen=True)
class Signals:
    """Tell which serving hosts are dead or ejected here, and which pools are in flood."""

    roster: Roster
    suspects: Callable[[], frozenset[str]]
    flooded: Callable[[str], bool]
