"""Log when this machine was suspended, as its processes do not notice by themselves."""

import logging
from collections.abc import Callable

from gypsumplank.log import Event, event
from gypsumplank.state.clock import suspended_s

# Shortest suspension that is logged, seconds; above the error of reading two clocks in turn.
MIN_LOGGED_SUSPENSION_S = 0.1

logger = logging.getLogger(__name__)


class SuspensionLog:
    """Log each suspension of the machine once."""

    def __init__(self, read_suspended_s: Callable[[], float] = suspended_s) -> None:
        self._read_suspended_s = read_suspended_s
        self._logged_s = read_suspended_s()

    def check(self) -> None:
        """Log a suspension since the last check."""
        total_s = self._read_suspended_s()
        seconds = total_s - self._logged_s
        if seconds >= MIN_LOGGED_SUSPENSION_S:
            self._logged_s = total_s
            event(logger, Event.SUSPENDED, logging.WARNING, seconds=round(seconds, 2))
