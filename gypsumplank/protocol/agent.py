"""Define the HTTP paths and bodies by which a worker's agent is driven."""

from dataclasses import dataclass

PATH_START = "/agent/start"
PATH_RENEW = "/agent/renew"
PATH_THROTTLE = "/agent/throttle"
PATH_CHECKPOINT = "/agent/checkpoint"
PATH_STOP = "/agent/stop"
PATH_END = "/agent/end"
STATUS_FENCED = 409


@dataclass(frozen=True)
class AttemptRef:
    """Name one attempt of a task."""

    id: str
    token: int
