"""Write one line of key=value pairs, or of JSON, for each event."""

import json
import logging
import sys
from enum import StrEnum
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@%,"
)


class Event(StrEnum):
    """Name every event that is logged."""

    STARTED = "started"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    CONFIG_IN_FORCE = "config-in-force"
    CONFIG_ACCEPTED = "config-accepted"
    CONFIG_REVERSED = "config-reversed"
    CONFIG_FROM_PEER = "config-from-peer"
    CONFIG_UNREADABLE = "config-unreadable"
    STATE_UNAVAILABLE = "state-unavailable"
    SESSION_OPENED = "session-opened"
    SESSION_LAPSED = "session-lapsed"
    PEER_DROPPED = "peer-dropped"
    PEER_FAILED = "peer-failed"
    REQUEST_FAILED = "request-failed"
    CLAIM_UNSETTLED = "claim-unsettled"
    ACTOR_RESTARTED = "actor-restarted"
    ACTOR_FAILED = "actor-failed"
    AGENT_FAILED = "agent-failed"
    TASK_EVICTED = "task-evicted"
    HOST_ASSIGNED = "host-assigned"
    BUDGET_OVERRIDDEN = "budget-overridden"
    STEP_REFUSED = "step-refused"
    LEASE_TAKEN = "lease-taken"
    LEASE_LOST = "lease-lost"
    WAVE_CHANGED = "wave-changed"
    ENDPOINT_EJECTED = "endpoint-ejected"
    ENDPOINT_RETURNED = "endpoint-returned"


class LogfmtFormatter(JsonFormatter):
    """Format a record as key=value pairs."""

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return one line for the record."""
        return " ".join(f"{name}={_quote(value)}" for name, value in log_data.items())


def _quote(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if text and PLAIN_CHARACTERS.issuperset(text) else json.dumps(text)


def set_up(log_format: str, level: str, stream: TextIO = sys.stderr) -> None:
    """Send all logs to the stream in this format."""
    names = {"levelname": "level", "asctime": "time", "message": "event"}
    formatter = (JsonFormatter if log_format == "json" else LogfmtFormatter)(
        "%(asctime)s %(levelname)s %(name)s %(message)s", rename_fields=names
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def event(logger: logging.Logger, what: Event, level: int = logging.INFO, **pairs: Any) -> None:
    """Log one event with its fields."""
    logger.log(level, what.value, extra=pairs)
