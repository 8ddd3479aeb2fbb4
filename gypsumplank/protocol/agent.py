"""Define the HTTP paths and bodies of requests to a worker's agent."""

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
    """Identify one attempt of a task by id and fencing token."""

    id: str
    token: int
