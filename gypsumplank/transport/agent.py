"""Call the task agents on workers over HTTP."""

from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from gypsumplank.errors import AgentError, AgentFencedError, EntryInvalidError
from gypsumplank.protocol.agent import (
    PATH_CHECKPOINT,
    PATH_RENEW,
    PATH_START,
    PATH_STOP,
    PATH_THROTTLE,
    STATUS_FENCED,
    AttemptRef,
)
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.task import AttemptReport, RenewalRequest, StartRequest

STATUS_OK = 200
MAX_AGENT_POOLS = 512
CONNECTIONS_PER_AGENT = 2


class HttpAgents:
    """Call each worker's agent; calls have a short timeout and are never retried.

    Every call may raise AgentError, and AgentFencedError where the agent knows a newer token.
    """

    def __init__(self, timeout_s: float) -> None:
        self._pools = urllib3.PoolManager(
            MAX_AGENT_POOLS, maxsize=CONNECTIONS_PER_AGENT, retries=False, timeout=timeout_s
        )

    def start(self, address: str, start: StartRequest) -> None:
        """Start an attempt of a task."""
        self._call(address, PATH_START, start)

    def renew(self, address: str, renewal: RenewalRequest) -> tuple[AttemptReport, ...]:
        """Renew leases; return a report of each attempt on the worker."""
        raw = self._call(address, PATH_RENEW, renewal)
        try:
            return decode_json(raw, tuple[AttemptReport, ...])
        except EntryInvalidError as exc:
            raise AgentError(f"malformed response: {exc.detail}") from exc

    def throttle(self, address: str, task: str, token: int) -> None:
        """Reduce an attempt's cores."""
        self._call(address, PATH_THROTTLE, AttemptRef(task, token))

    def checkpoint(self, address: str, task: str, token: int) -> None:
        """Checkpoint an attempt and end it."""
        self._call(address, PATH_CHECKPOINT, AttemptRef(task, token))

    def stop(self, address: str, task: str, token: int) -> None:
        """Stop an attempt."""
        self._call(address, PATH_STOP, AttemptRef(task, token))

    def close(self) -> None:
        """Close all idle connections."""
        self._pools.clear()

    def _call(self, address: str, path: str, body: Any) -> bytes:
        url = f"http://{address}{path}"
        try:
            resp = self._pools.request("POST", url, body=msgspec.json.encode(body))
        except HTTPError as exc:
            raise AgentError(str(exc)) from exc
        if resp.status == STATUS_FENCED:
            raise AgentFencedError(resp.data.decode(errors="replace"))
        if resp.status != STATUS_OK:
            raise AgentError(f"status {resp.status}")
        return resp.data
