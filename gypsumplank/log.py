"""Define the log events and format each as one line of logfmt (key=value pairs) or JSON."""

import json
import logging
import math
import sys
import time
from enum import StrEnum
from typing import Any, TextIO

import msgspec
from pythonjsonlogger.json import JsonFormatter
from pythonjsonlogger.msgspec import MsgspecFormatter

UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@%,"
)

# Longest text in one field of a log line.
MAX_FIELD_CHARS = 500

# Character that the json module escapes, but msgspec does not.
DELETE = "\x7f"
# Range of floats that both modules write without an exponent, apart from 0.
MIN_PLAIN_FLOAT, MAX_PLAIN_FLOAT = 1e-4, 1e15
INT64_LIMIT = 2**63


class Event(StrEnum):
    """Enumerate the log events; `doc` is the description on the reference page."""

    doc: str

    def __new__(cls, value: str, doc: str = "") -> "Event":
        """Create a member whose value is the event name and attach its description."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.doc = doc
        return member

    STARTED = "started", "The daemon started and accepts connections."
    LISTEN_FAILED = "listen-failed", "The daemon ended: it cannot listen at one of its addresses."
    READY = "ready", "The daemon is ready to receive callers' requests."
    STOPPING = "stopping", "A planned stop began; the daemon will soon accept no new connections."
    STOPPED = "stopped", "The daemon stopped; `cut_off` requests were still in flight, normally 0."
    CONFIG_IN_FORCE = "config-in-force", "A newer revision is in force on this daemon."
    CONFIG_ACCEPTED = "config-accepted", "This daemon accepted a change."
    CONFIG_REVERSED = "config-reversed", "The store returned an older revision; it was ignored."
    CONFIG_FROM_PEER = "config-from-peer", "A newer revision was received from a peer in an outage."
    CONFIG_UNREADABLE = "config-unreadable", "A record cannot be read; its last version stays."
    STATE_UNAVAILABLE = "state-unavailable", "A step failed at the platform; it will be retried."
    SESSION_OPENED = "session-opened", "The daemon opened a session with a new epoch."
    SESSION_LAPSED = "session-lapsed", "The session expired in a pause or outage; a new one opens."
    PEER_DROPPED = "peer-dropped", "An invalid message from a peer was dropped."
    PEER_FAILED = "peer-failed", "Handling a peer's message failed because of a bug."
    REPLIES_DROPPED = "replies-dropped", "Replies dropped as clients did not read them, by cause."
    REQUESTS_REFUSED = "requests-refused", "Requests refused before they were run, by cause."
    REQUEST_FAILED = "request-failed", "An attempt failed; another host may be tried."
    ACTOR_RESTARTED = "actor-restarted", "A periodic step failed because of a bug and restarts."
    ACTOR_FAILED = "actor-failed", "A periodic step could not be restarted."
    ENDPOINT_EJECTED = "endpoint-ejected", "A host failed too often; it receives fewer requests."
    ENDPOINT_RETURNED = "endpoint-returned", "An ejected host receives requests again."
    CLAIM_UNSETTLED = "claim-unsettled", "A claim's outcome could not be stored yet."
    HOST_ASSIGNED = "host-assigned", "A host changed its pool or its state."
    BUDGET_OVERRIDDEN = "budget-overridden", "An operator overrode an availability budget."
    STEP_REFUSED = "step-refused", "A step of a move or wave is not permitted yet; it is retried."
    LEASE_TAKEN = "lease-taken", "This daemon acquired the lease of a pool or a fleet-wide task."
    LEASE_LOST = "lease-lost", "This daemon lost a lease and stops the work under it."
    AGENT_FAILED = "agent-failed", "A worker's agent did not respond; its tasks keep their leases."
    TASK_EVICTED = "task-evicted", "A task was asked to yield to urgent work or a drain."
    JOB_ACCEPTED = "job-accepted", "A job was stored; `new` is false if it already existed."
    JOB_REFUSED = "job-refused", "A job request was answered with an error."
    JOB_CANCELLED = "job-cancelled", "A cancellation was stored, or the scheduler learned of it."
    JOB_HELD = "job-held", "A job's tasks wait because of its account, as `why` says."
    JOB_ENDED = "job-ended", "A job reached a final state."
    JOB_UNSTORABLE = "job-unstorable", "The store takes no row of this size; its job has failed."
    RUN_STARTED = "task-started", "A run was stored and its start is sent to a worker."
    RUN_REFUSED = "task-refused", "A worker did not confirm the start of a run."
    RUN_ENDED = "task-ended", "A worker reported the end of a run; `how` gives the outcome."
    RUN_MISSING = "task-missing", "A run can no longer be active; its task is queued again."
    TASK_GIVEN_UP = "task-given-up", "A task failed: `crashes` workers had crashed under it."
    STOP_WITHDRAWN = "stop-withdrawn", "A stop was not sent, as its step's budget is used up now."
    RUN_STALLED = "task-stalled", "A run made no progress; it is stopped and retried elsewhere."
    REPORT_CUT_OFF = "report-cut-off", "A worker has more ends than one report lists."
    RUN_UNASSIGNED = "task-unwanted", "A worker executes a run not assigned to it; it is stopped."
    WORKER_FOUND = "worker-found", "A new worker instance was registered."
    WORKER_CHANGED = "worker-changed", "A worker's registered state changed."
    WORKER_LOST = "worker-lost", "A worker instance ended or is no longer registered."
    WORKER_CRASHED = "worker-crashed", "A later life, or the list of machines, shows its crash."
    WORKER_SILENT = "worker-silent", "A worker did not respond; no lease is extended meanwhile."
    WORKER_LEASES_OVER = (
        "worker-leases-over",
        "A silent worker's leases ended `over_s` ago; reports of the last `unread_s` are not read.",
    )
    WORKER_RESPONDED = "worker-heard", "A worker that had stopped responding responds again."
    ENTRY_DROPPED = "entry-dropped", "A malformed row or name was ignored."
    MANIFEST_IN_FORCE = "manifest-in-force", "A newer manifest is in force on this daemon."
    MANIFEST_UNCONFIRMED = (
        "manifest-unconfirmed",
        "The store has no manifest, a malformed one or an older one; keys stay unverified.",
    )
    KEY_SHARED = "key-shared", "Two accounts list the same keys; they belong to `account`."
    STORE_CALL_FAILED = "store-call-failed", "A read from the store failed; it will be retried."
    ADVICE_FAILED = "advice-failed", "A request for permits failed; it will be retried."
    TASK_SPEED_CHANGED = "task-paced", "The speed limit of a task that uses spare capacity changed."
    DISTURBANCE_LEARNED = (
        "disturbance-learned",
        "Tasks of `image` were found slower beside `neighbour`, by `ratio`; they are kept apart.",
    )
    SUSPENDED = "suspended", "The machine was suspended for `seconds` since the last check."
    STORE_LOST = "store-lost", "The platform's store does not respond."
    STORE_REGAINED = "store-regained", "The platform's store responds again."
    SCHEDULER_LOADED = "scheduler-loaded", "This daemon became the scheduler and loaded the jobs."
    SCHEDULER_STOPPED = "scheduler-left", "This daemon stopped scheduling jobs."
    ROUND_FAILED = "round-failed", "A scheduling round's changes were not stored; it is retried."
    MAINTENANCE_ORDERED = "upkeep-ordered", "Maintenance of a machine was requested."
    POOL_CHANGED = "pool-changed", "A pool's size, demand (`asks`) or minimum (`keeps`) changed."
    MACHINE_MOVE_ORDERED = "move-ordered", "The move of a machine to another pool was requested."
    MACHINE_FAILED = "machine-failed", "A call to the machine service failed."
    SETTINGS_RELOADED = "reloaded", "The settings file was reloaded, or the new one is unusable."
    WAVE_PROGRESS = "wave-progress", "Number of machines of an open wave in each state."
    WAVE_CHANGED = "wave-changed", "A wave started, paused, ended or was aborted."


class _CachedTimeFormatter(logging.Formatter):
    """Format the time of a record, the part down to the second once per second."""

    _second = -1
    _time = ""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time as logging.Formatter does."""
        if datefmt:
            return super().formatTime(record, datefmt)
        second = int(record.created)
        cached = self._time
        if second != self._second:
            cached = time.strftime(self.default_time_format, self.converter(record.created))
            self._time, self._second = cached, second
        return f"{cached},{int(record.msecs):03d}"


class FastJsonFormatter(_CachedTimeFormatter, MsgspecFormatter):
    """Format a record as JSON with msgspec; where its text would differ, with the json module."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._json = JsonFormatter(*args, **kwargs)

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the record as JSON, with the spaces of the json module."""
        if all(map(_is_plain, log_data.values())):
            return str(msgspec.json.format(super().jsonify_log_record(log_data), indent=0))
        return str(self._json.jsonify_log_record(log_data))


def _is_plain(value: Any) -> bool:
    """Return whether msgspec is known to write a value as the json module does."""
    kind = type(value)
    if kind is str:
        return value.isascii() and DELETE not in value
    if kind is bool or value is None:
        return True
    if kind is int:
        return -INT64_LIMIT <= value < INT64_LIMIT
    return kind is float and (value == 0 or MIN_PLAIN_FLOAT <= math.fabs(value) < MAX_PLAIN_FLOAT)


class LogfmtFormatter(_CachedTimeFormatter, JsonFormatter):
    """Format a record as key=value pairs."""

    def serialize_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the record as one line."""
        return " ".join(f"{name}={_quote(value)}" for name, value in log_data.items())


def _quote(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if text and UNQUOTED_CHARACTERS.issuperset(text) else json.dumps(text)


def configure_logging(
    log_format: str, level: str, stream: TextIO = sys.stderr, handler: logging.Handler | None = None
) -> None:
    """Send all logs in this format to the handler, or else to the stream."""
    field_names = {"levelname": "level", "asctime": "time", "message": "event"}
    formatter = (FastJsonFormatter if log_format == "json" else LogfmtFormatter)(
        "%(asctime)s %(levelname)s %(name)s %(message)s", rename_fields=field_names
    )
    handler = handler or logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    # No line contains what these collect for each record.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    root.setLevel(level.upper())
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def event(
    logger: logging.Logger, event_type: Event, level: int = logging.INFO, **fields: Any
) -> None:
    """Log one event with its fields; a longer text than MAX_FIELD_CHARS is cut."""
    if not logger.isEnabledFor(level):
        return
    bounded = {name: _cut(value) for name, value in fields.items()}
    # Logger.log would look for the caller in the stack, which no line contains.
    record = logger.makeRecord(logger.name, level, "", 0, event_type.value, (), None, extra=bounded)
    logger.handle(record)


def _cut(value: Any) -> Any:
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARS:
        return f"{value[:MAX_FIELD_CHARS]}..."
    return value
