"""Define the exceptions of the package, each with a stable error code."""

from collections.abc import Sequence
from dataclasses import dataclass

# Longest detail about a malformed input.
MAX_DETAIL_CHARS = 200


def _cut(detail: str) -> str:
    return f"{detail[:MAX_DETAIL_CHARS]}..." if len(detail) > MAX_DETAIL_CHARS else detail


class GypsumplankError(Exception):
    """Base class of all errors; `code` is stable and safe for scripts to match."""

    code = "internal"
    status = 500

    def __init__(self, detail: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_s = retry_after_s


@dataclass(frozen=True)
class Fault:
    """Describe one fault in a settings file or a record."""

    code: str
    path: str
    detail: str
    source: str = ""

    def __str__(self) -> str:
        where = f"{self.source}: {self.path}" if self.source else self.path
        return f"{where}: {self.detail} [{self.code}]"


class FaultsError(GypsumplankError):
    """The input has one or more faults; `faults` lists all of them."""

    code = "invalid"
    status = 422

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class SettingsError(FaultsError):
    """The settings file is invalid or cannot be read."""

    code = "settings-invalid"


class ListenError(GypsumplankError):
    """A daemon cannot listen at an address of its settings, for example as it is in use."""

    code = "listen-failed"


class RecordsError(FaultsError):
    """One or more records are invalid."""

    code = "records-invalid"


class StateError(GypsumplankError):
    """A call to the platform's table service or object store failed."""

    code = "state"
    status = 503


class StateUnavailableError(StateError):
    """The platform was unreachable or rejected the call; nothing was written."""

    code = "state-unavailable"


class StateThrottledError(StateUnavailableError):
    """The table service's partition has too many queued transactions; nothing was written."""

    code = "state-throttled"


class StateUnknownError(StateError):
    """The response was lost; the write may have been applied."""

    code = "state-unknown"
    status = 504


class StateConflictError(StateError):
    """A row's version differs from the expected one; nothing was written."""

    code = "state-conflict"
    status = 409


class StateHistoryLostError(StateError):
    """Changes since the version are no longer retained; resume from version `newest`."""

    code = "state-history-lost"

    def __init__(self, detail: str, newest: int) -> None:
        super().__init__(detail)
        self.newest = newest


class StateTooLargeError(StateError):
    """A row or transaction exceeds the platform's size limit; nothing was written."""

    code = "state-too-large"
    status = 413


class StateOverloadError(StateError):
    """The queue of transactions to commit is full; nothing was written."""

    code = "state-overload"


class StateBusyError(StateError):
    """The queue of row changes to commit is full; nothing was written."""

    code = "state-busy"


class RevisionConflictError(GypsumplankError):
    """The current configuration revision is not the one that the operator expected."""

    code = "revision-conflict"
    status = 409


class SessionLapsedError(GypsumplankError):
    """This daemon's session lease has expired; it must not act on the fleet."""

    code = "session-lapsed"
    status = 503


class RevisionMissingError(GypsumplankError):
    """The revision does not exist or is no longer retained."""

    code = "revision-missing"
    status = 404


class RecordMissingError(GypsumplankError):
    """The configuration in force has no record of this kind and name."""

    code = "record-missing"
    status = 404


class RevisionReversedError(GypsumplankError):
    """An older configuration revision was about to replace the one in force."""

    code = "revision-reversed"


class InvariantError(GypsumplankError):
    """An internal invariant was about to be violated; the operation was stopped."""

    code = "invariant"


class RequestInvalidError(GypsumplankError):
    """The caller's request is malformed; it was not executed."""

    code = "request-invalid"
    status = 400


class UnauthorizedError(GypsumplankError):
    """The operator's bearer token is missing or unknown."""

    code = "unauthorized"
    status = 401


class ForbiddenError(GypsumplankError):
    """The role of the operator's token does not permit this operation."""

    code = "forbidden"
    status = 403


class ServerError(GypsumplankError):
    """A daemon returned an error for an operator's command."""

    code = "server"

    def __init__(self, code: str, detail: str, faults: Sequence[Fault] = ()) -> None:
        super().__init__(detail)
        self.code = code
        self.faults = tuple(faults)


class NotInForceError(GypsumplankError):
    """A change was accepted, but some live daemons did not put it in force before the timeout."""

    code = "not-in-force"


class ServerUnreachableError(GypsumplankError):
    """No daemon responded at the operators' address."""

    code = "server-unreachable"
    status = 503


class EndpointError(GypsumplankError):
    """The endpoint returned no complete response."""

    code = "endpoint"
    status = 502


class EndpointConnectError(EndpointError):
    """No connection to the endpoint could be established; nothing was sent."""

    code = "endpoint-connect"


class EndpointUnsentError(EndpointError):
    """The connection broke before any byte of the request was sent."""

    code = "endpoint-unsent"


class EndpointResetError(EndpointError):
    """The connection broke after the request may have been sent."""

    code = "endpoint-reset"


class EndpointTimeoutError(EndpointError):
    """The endpoint did not respond in time; the request may have been executed."""

    code = "endpoint-timeout"
    status = 504


class EndpointAnswerError(EndpointError):
    """The endpoint's response is truncated, malformed or belongs to another request."""

    code = "endpoint-answer"


class TaskMissingError(GypsumplankError):
    """No task with this id exists."""

    code = "task-missing"
    status = 404


class TaskImpossibleError(GypsumplankError):
    """The task can never be scheduled; the detail gives the reason."""

    code = "task-impossible"
    status = 422


class AgentError(GypsumplankError):
    """A worker's agent did not carry out a command, or its response was lost."""

    code = "agent"
    status = 502


class AgentFencedError(AgentError):
    """The worker has seen a newer fencing token for this task; nothing was done."""

    code = "agent-fenced"


class EndpointLeavingError(EndpointError):
    """The host accepts no new requests for this service; nothing was sent."""

    code = "endpoint-leaving"
    status = 503


class BudgetError(GypsumplankError):
    """The change would take a pool below its availability budget."""

    code = "budget-exceeded"
    status = 409


class AssignmentError(GypsumplankError):
    """The requested change of a host's assignment is not permitted."""

    code = "assignment-refused"
    status = 409


class StepStaleError(GypsumplankError):
    """Another daemon or operator has already changed the host's assignment."""

    code = "step-stale"
    status = 409


class PoolLeaseLostError(GypsumplankError):
    """This daemon does not hold the pool lease that the operation requires."""

    code = "pool-lease-lost"
    status = 409


class WaveError(GypsumplankError):
    """The wave's current state does not allow this operation."""

    code = "wave-refused"
    status = 409


class PeerError(GypsumplankError):
    """A message from another daemon is invalid and was dropped; a long detail is cut."""

    code = "peer"

    def __init__(self, detail: str = "") -> None:
        super().__init__(_cut(detail))


class PeerMalformedError(PeerError):
    """The message cannot be decoded by this version."""

    code = "peer-malformed"


class PeerForgedError(PeerError):
    """The message authentication code (keyed hash) does not match."""

    code = "peer-forged"


class PeerReplayedError(PeerError):
    """The message is not newer than the last one from its sender."""

    code = "peer-replayed"


class PeerMisdirectedError(PeerError):
    """The message is addressed to another daemon, or was sent by this one."""

    code = "peer-misdirected"


class PeerTooLargeError(PeerError):
    """The message exceeds the size limit."""

    code = "peer-too-large"


class DeadlinePassedError(EndpointError):
    """The request's deadline passed before it was sent."""

    code = "deadline-passed"
    status = 504


class LateAnswerError(EndpointError):
    """The endpoint's response arrived after the request's deadline."""

    code = "answer-late"
    status = 504


class LeaseLostError(EndpointError):
    """This daemon's lease expired between the claim and the dispatch; nothing was sent."""

    code = "lease-lost"
    status = 503


class KeyReusedError(GypsumplankError):
    """The idempotency key was already used with another method, target or body."""

    code = "idempotency-key-reused"
    status = 422


class KeyInUseError(GypsumplankError):
    """The first request with this idempotency key is still in flight."""

    code = "idempotency-key-in-use"
    status = 409


class ClaimAbandonedError(GypsumplankError):
    """The daemon handling this key's first request failed; the request may have been executed."""

    code = "claim-abandoned"
    status = 504


class ClaimUnavailableError(GypsumplankError):
    """The claim of an idempotency key could not be stored; the request was not sent."""

    code = "claim-unavailable"
    status = 503


class AnswerNotKeptError(GypsumplankError):
    """The request finished, but its response was too large to store for retries."""

    code = "answer-not-kept"
    status = 502


class PlotUnavailableError(GypsumplankError):
    """The plotting library is not installed where the command runs."""

    code = "plot-unavailable"


class JobInvalidError(GypsumplankError):
    """The body of the job request is invalid; nothing was stored."""

    code = "job-invalid"
    status = 400


class QueueMissingError(GypsumplankError):
    """No queue is configured for this host and path."""

    code = "queue-missing"
    status = 404


class JobMissingError(GypsumplankError):
    """No job with this identifier exists."""

    code = "job-missing"
    status = 410


class KeyRejectedError(GypsumplankError):
    """A call has no API key, or one that the manifest does not list."""

    code = "key-rejected"
    status = 401


class KeyUnverifiedError(GypsumplankError):
    """The manifest was confirmed too long ago to tell whether an API key is still valid."""

    code = "key-unverified"
    status = 503


class AccountLimitError(GypsumplankError):
    """A client account submits more jobs than its weight allows; the job was not stored."""

    code = "account-limit"
    status = 429


class ManifestMissingError(GypsumplankError):
    """This daemon has not loaded a manifest yet; nothing was stored."""

    code = "manifest-missing"
    status = 503


class WorkerError(GypsumplankError):
    """A call to a worker failed."""

    code = "worker"
    status = 503


class WorkerUnknownError(WorkerError):
    """The worker's response was lost or unreadable; the command may still be executed."""

    code = "worker-unknown"


class WorkerRefusedError(WorkerError):
    """The worker rejected the command; `reason` gives the cause."""

    code = "worker-refused"

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(detail or reason)
        self.reason = reason


class MachineError(GypsumplankError):
    """A call to the machine service failed; it may still have been executed.

    `may_be_executed` is false if that is excluded, as the call was not sent or was refused.
    """

    code = "machine"
    status = 503

    def __init__(self, detail: str, may_be_executed: bool = True) -> None:
        super().__init__(detail)
        self.may_be_executed = may_be_executed


class MachineRefusedError(MachineError):
    """The platform rejected a command for a machine; `reason` gives the cause."""

    code = "machine-refused"

    def __init__(self, reason: str) -> None:
        super().__init__(reason, may_be_executed=False)
        self.reason = reason


class AdviceError(GypsumplankError):
    """The advice service, which issues permits for workers, did not respond."""

    code = "advice"
    status = 503


class EntryInvalidError(GypsumplankError):
    """A row, name or message from outside is malformed; a long detail is cut."""

    code = "entry-invalid"

    def __init__(self, detail: str = "") -> None:
        super().__init__(_cut(detail))


class CallError(GypsumplankError):
    """A call received no response; `sent` is true if it may have been executed."""

    code = "call"
    status = 503

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent
