"""Stand in for the agent on a worker: run tasks under leases and report late."""

import argparse
import threading
import time
from dataclasses import replace

import msgspec

from gypsumplank.coordination.agent import Agent
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
from gypsumplank.protocol.task import AgentState, Renewal, Start
from gypsumplank.state.clock import SystemClock
from standins.server import Handler, Server, open_server, serve_all

STEP_S = 0.02
FAILING = "fail"


class AgentStandIn:
    """Hold an agent whose tasks run for their payload's number of seconds.

    The payload `fail` makes a task fail; `failing` makes the worker fail everything.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.agent = Agent(SystemClock())
        self.failing = False
        self.starts: list[AttemptRef] = []
        self._until: dict[str, float] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """End all tasks."""
        self._stop.set()
        self._thread.join()

    def start(self, start: Start) -> None:
        """Run a task unless a newer token is known."""
        with self.lock:
            known = self.agent.attempts.get(start.id)
            self.agent.start(start)
            if self.agent.attempts[start.id] is not known:
                self.starts.append(AttemptRef(start.id, start.token))
                run_s = 0.0 if start.order.payload == FAILING else float(start.order.payload or 0)
                self._until[start.id] = time.monotonic() + run_s

    def _run(self) -> None:
        while not self._stop.wait(STEP_S):
            with self.lock:
                self._end_due()

    def _end_due(self) -> None:
        now = time.monotonic()
        for name in self.agent.running():
            if self._until[name] > now:
                continue
            report = self.agent.attempts[name].report
            failed = self.failing or self.agent.attempts[name].start.order.payload == FAILING
            state = AgentState.FAILED if failed else AgentState.FINISHED
            self.agent.attempts[name].report = replace(report, result=f"result of {name}")
            self.agent.end(name, report.token, state)


class AgentHandler(Handler):
    """Speak the agent's HTTP interface."""

    standin: AgentStandIn

    def do_GET(self) -> None:  # noqa: N802
        """Show the attempts that were started and those that run."""
        with self.standin.lock:
            shown = {"starts": self.standin.starts, "running": self.standin.agent.running()}
        self.answer(200, msgspec.json.encode(shown))

    def do_POST(self) -> None:  # noqa: N802
        """Carry out one call."""
        body = self.body()
        try:
            answer = self._carry_out(body)
        except AgentFencedError as exc:
            self.answer(STATUS_FENCED, exc.detail.encode())
            return
        self.answer(404 if answer is None else 200, answer or b"")

    def _carry_out(self, body: bytes) -> bytes | None:
        standin = self.standin
        if self.path == PATH_START:
            standin.start(msgspec.json.decode(body, type=Start))
            return b"{}"
        with standin.lock:
            if self.path == PATH_RENEW:
                renewal = msgspec.json.decode(body, type=Renewal)
                return msgspec.json.encode(standin.agent.renew(renewal))
            ref = msgspec.json.decode(body, type=AttemptRef)
            match self.path:
                case p if p == PATH_THROTTLE:
                    standin.agent.throttle(ref.id, ref.token)
                case p if p == PATH_CHECKPOINT:
                    saved = f"{ref.id}-{ref.token}"
                    standin.agent.end(ref.id, ref.token, AgentState.CHECKPOINTED, saved)
                case p if p == PATH_STOP:
                    standin.agent.end(ref.id, ref.token, AgentState.STOPPED)
                case p if p == PATH_END:
                    standin.agent.end(ref.id, ref.token, AgentState.FINISHED)
                case _:
                    return None
        return b"{}"


def make_agent(address: str) -> tuple[Server, AgentStandIn]:
    """Return an agent and the server that speaks for it."""
    standin = AgentStandIn()
    handler = type("BoundHandler", (AgentHandler,), {"standin": standin})
    return open_server(address, handler), standin


def main() -> None:
    """Serve one or more agents until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, action="append")
    args = parser.parse_args()
    servers = [make_agent(address)[0] for address in args.listen]
    serve_all(servers)


if __name__ == "__main__":
    main()
