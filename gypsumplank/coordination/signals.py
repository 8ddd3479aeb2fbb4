"""Hold what a daemon senses of hosts and pools beyond the records in force."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.coordination.roster import Roster


def no_tasks(_pool: str, _host: str) -> str:
    """Let no task hold up a drain."""
    return ""


@dataclass(frozen=True)
class Signals:
    """Tell which serving hosts are dead or ejected here, and which pools are in flood.

    `tasks` tells why the tasks at a host of a pool hold up its drain.
    """

    roster: Roster
    suspects: Callable[[], frozenset[str]]
    flooded: Callable[[str], bool]
    tasks: Callable[[str, str], str] = no_tasks
