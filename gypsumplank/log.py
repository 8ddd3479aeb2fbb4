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
    """Name every event that is logged and tell what it means."""

    doc: str

    def __new__(cls, value: str, doc: str = "") -> "Event":
        """Return a member that carries its documentation."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.doc = doc
        return member

    STARTED = "started", "The daemon serves callers and operators."
    READY = "ready", "The daemon may be sent callers."
    STOPPING = "stopping", "A planned stop has begun; the daemon takes no new connections soon."
    STOPPED = "stopped", "The daemon has ended; `cut_off` requests were in flight, 0 is right."
    CONFIG_IN_FORCE = "config-in-force", "A newer revision came into force here."
    CONFIG_ACCEPTED = "config-accepted", "A change was accepted through this daemon."
    CONFIG_REVERSED = "config-reversed", "The store told an older revision; it was not taken."
    CONFIG_FROM_PEER = "config-from-peer", "A newer revision came from a peer in an outage."
    CONFIG_UNREADABLE = "config-unreadable", "A record is of unknown form; the last known stays."
    STATE_UNAVAILABLE = "state-unavailable", "The platform failed a step; it comes again."
    SESSION_OPENED = "session-opened", "The daemon has a session with a new epoch."
    SESSION_LAPSED = "session-lapsed", "A pause or outage cost the session; another opens."
    PEER_DROPPED = "peer-dropped", "A message from a peer was not acceptable and was dropped."
    PEER_FAILED = "peer-failed", "Work on a peer's message failed; a program fault."
    REQUEST_FAILED = "request-failed", "A try failed; another may answer."
    ACTOR_RESTARTED = "actor-restarted", "A periodic step failed; a program fault."
    ACTOR_FAILED = "actor-failed", "A periodic step could not be started again."
    ENDPOINT_EJECTED = "endpoint-ejected", "A host failed too often; it gets less work."
    ENDPOINT_RETURNED = "endpoint-returned", "A host that was ejected gets work again."
    CLAIM_UNSETTLED = "claim-unsettled", "A claim's outcome will be written later."
    HOST_ASSIGNED = "host-assigned", "A host changed its pool or its state."
    BUDGET_OVERRIDDEN = "budget-overridden", "An operator let a change break a budget."
    STEP_REFUSED = "step-refused", "A step of a move or wave was not allowed now; it comes again."
    LEASE_TAKEN = "lease-taken", "This daemon now controls a pool or another shared task."
    LEASE_LOST = "lease-lost", "This daemon no longer holds the lease and stops that work."
    AGENT_FAILED = "agent-failed", "A worker's agent did not answer; its tasks keep their leases."
    TASK_EVICTED = "task-evicted", "A task was told to make room for urgent work or a drain."
    JOB_ACCEPTED = "job-accepted", "A job is stored; `new` is false where it was there already."
    JOB_REFUSED = "job-refused", "A call about a job was not answered with success."
    JOB_CANCELLED = "job-cancelled", "The scheduler learned of a cancellation."
    JOB_ENDED = "job-ended", "A job reached its final state."
    RUN_STARTED = "task-started", "A run is stored and its start is sent to a worker."
    RUN_REFUSED = "task-refused", "A worker did not confirm a start."
    RUN_ENDED = "task-ended", "A worker listed a run's end; `how` tells it."
    RUN_MISSING = "task-missing", "A run can no longer be at work; its task waits again."
    RUN_STALLED = "task-stalled", "A run made no progress; it is stopped and tried elsewhere."
    RUN_UNWANTED = "task-unwanted", "A worker runs what is not assigned to it; it is stopped."
    WORKER_FOUND = "worker-found", "A worker life was registered."
    WORKER_CHANGED = "worker-changed", "A worker's registered state changed."
    WORKER_LOST = "worker-lost", "A worker life is over or no longer registered."
    WORKER_SILENT = "worker-silent", "A worker did not answer; no lease is extended until it does."
    WORKER_HEARD = "worker-heard", "A worker that was silent answered."
    ENTRY_DROPPED = "entry-dropped", "A row or name could not be used and was left out."
    MANIFEST_IN_FORCE = "manifest-in-force", "A newer manifest is in force here."
    STORE_CALL_FAILED = "store-call-failed", "A read of the store failed; it comes again."
    ADVICE_FAILED = "advice-failed", "A question for permits failed; it is asked again."
    TASK_PACED = "task-paced", "A task that fills was told to work more or less."
    STORE_LOST = "store-lost", "The platform's store does not answer."
    STORE_REGAINED = "store-regained", "The platform's store answers again."
    SCHEDULER_LOADED = "scheduler-loaded", "This daemon took over the jobs as stored."
    SCHEDULER_LEFT = "scheduler-left", "This daemon no longer runs the jobs."
    ROUND_FAILED = "round-failed", "A round's changes were not stored; they come again."
    UPKEEP_ORDERED = "upkeep-ordered", "A machine's upkeep was ordered."
    POOL_CHANGED = "pool-changed", "A pool's size, or what it asks for or keeps, changed."
    MACHINE_MOVED = "move-ordered", "A machine's move to another pool was ordered."
    MACHINE_FAILED = "machine-failed", "A call about machines failed."
    RELOADED = "reloaded", "The settings file changed and was read again."
    WAVE_PROGRESS = "wave-progress", "How many machines of an open wave are in which state."
    WAVE_CHANGED = "wave-changed", "A wave started, paused, ended or was aborted."


class LogfmtFormatter(JsonFormatter):
    """Format a record as key=value pairs."""

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return one line for the record."""
        return " ".join(f"{name}={_quote(value)}" for name, value in log_data.items())


def _quote(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if text and PLAIN_CHARACTERS.issuperset(text) else json.dumps(text)


def set_up(
    log_format: str, level: str, stream: TextIO = sys.stderr, handler: logging.Handler | None = None
) -> None:
    """Send all logs in this format to the handler, or else to the stream."""
    names = {"levelname": "level", "asctime": "time", "message": "event"}
    formatter = (JsonFormatter if log_format == "json" else LogfmtFormatter)(
        "%(asctime)s %(levelname)s %(name)s %(message)s", rename_fields=names
    )
    handler = handler or logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def event(logger: logging.Logger, what: Event, level: int = logging.INFO, **pairs: Any) -> None:
    """Log one event with its fields."""
    logger.log(level, what.value, extra=pairs)
