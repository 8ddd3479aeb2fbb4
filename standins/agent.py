"""Simulate the agent of a worker: run tasks under leases and report their results."""

import argparse
import threading
import time
from dataclasses import replace

import msgspec

from gypsumplank.coordination.agent import WorkerAgent
from gypsumplank.errors import AgentFencedError
from gypsumplank.protocol.agent import (
    PATH_CHECKPOINT,
    PATH_END,
    PATH_RENEW,
    PATH_START,
    PATH_STOP,
    PATH_THROTTLE,
    STATUS_FENCED,
    AttemptRef,
)
from gypsumplank.protocol.task import AgentState, RenewalRequest, StartRequest
from gypsumplank.state.clock import SystemClock
from standins.server import Handler, Server, open_server, serve_all

POLL_INTERVAL_S = 0.02
FAIL_PAYLOAD = "fail"


class AgentStandIn:
    """Run an agent whose tasks finish after the number of seconds in their payload.

    A task with the payload `fail` fails at once; if `failing` is set, every task ends as failed.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.agent = WorkerAgent(SystemClock())
        self.failing = False
        self.starts: list[AttemptRef] = []
        self._ends_at: dict[str, float] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run_loop, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop the thread that finishes due tasks."""
        self._stop.set()
        self._thread.join()

    def start(self, start: StartRequest) -> None:
        """Start a task unless this token runs already; raise AgentFencedError if it is stale."""
        with self.lock:
            previous = self.agent.attempts.get(start.id)
            self.agent.start(start)
            if self.agent.attempts[start.id] is not previous:
                self.starts.append(AttemptRef(start.id, start.token))
                run_s = (
                    0.0 if start.order.payload == FAIL_PAYLOAD else float(start.order.payload or 0)
                )
                self._ends_at[start.id] = time.monotonic() + run_s

    def _run_loop(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            with self.lock:
                self._finish_due_tasks()

    def _finish_due_tasks(self) -> None:
        now = time.monotonic()
        for task_id in self.agent.running():
            if self._ends_at[task_id] > now:
                continue
            report = self.agent.attempts[task_id].report
            failed = (
                self.failing or self.agent.attempts[task_id].start.order.payload == FAIL_PAYLOAD
            )
            state = AgentState.FAILED if failed else AgentState.FINISHED
            self.agent.attempts[task_id].report = replace(report, result=f"result of {task_id}")
            self.agent.end(task_id, report.token, state)


class AgentHandler(Handler):
    """Serve the agent's HTTP API."""

    standin: AgentStandIn

    def do_GET(self) -> None:  # noqa: N802
        """Return the started attempts and the running tasks as JSON."""
        with self.standin.lock:
            status = {"starts": self.standin.starts, "running": self.standin.agent.running()}
        self.respond(200, msgspec.json.encode(status))

    def do_POST(self) -> None:  # noqa: N802
        """Handle one API call; respond with 404 for an unknown path."""
        body = self.read_body()
        try:
            response = self._dispatch(body)
        except AgentFencedError as exc:
            self.respond(STATUS_FENCED, exc.detail.encode())
            return
        self.respond(404 if response is None else 200, response or b"")

    def _dispatch(self, body: bytes) -> bytes | None:
        standin = self.standin
        if self.path == PATH_START:
            standin.start(msgspec.json.decode(body, type=StartRequest))
            return b"{}"
        with standin.lock:
            if self.path == PATH_RENEW:
                renewal = msgspec.json.decode(body, type=RenewalRequest)
                return msgspec.json.encode(standin.agent.renew(renewal))
            ref = msgspec.json.decode(body, type=AttemptRef)
            match self.path:
                case p if p == PATH_THROTTLE:
                    standin.agent.throttle(ref.id, ref.token)
                case p if p == PATH_CHECKPOINT:
                    checkpoint = f"{ref.id}-{ref.token}"
                    standin.agent.end(ref.id, ref.token, AgentState.CHECKPOINTED, checkpoint)
                case p if p == PATH_STOP:
                    standin.agent.end(ref.id, ref.token, AgentState.STOPPED)
                case p if p == PATH_END:
                    standin.agent.end(ref.id, ref.token, AgentState.FINISHED)
                case _:
                    return None
        return b"{}"


def make_agent(address: str) -> tuple[Server, AgentStandIn]:
    """Return an HTTP server and the agent behind it."""
    standin = AgentStandIn()
    handler = type("BoundHandler", (AgentHandler,), {"standin": standin})
    return open_server(address, handler), standin


def main() -> None:
    """Serve one agent per `--listen` address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, action="append")
    args = parser.parse_args()
    servers = [make_agent(address)[0] for address in args.listen]
    serve_all(servers)


if __name__ == "__main__":
    main()
