"""Check a manifest before an operator sends it.

Answers faults that the daemons can only work around once a manifest is in force: they ignore what
is unknown, correct what is out of range, and keep the old manifest if the new one is malformed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from gypsumplank.coordination.job.identity import build_key_table
from gypsumplank.protocol.account import Account, hash_key
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.manifestdraft import DocumentNames, DraftEntry, ManifestDraft
from gypsumplank.protocol.queue import Manifest, Queue

# What a cap is compared with: a job of one second on one core. Jobs state their memory and
# accelerators only when they are submitted, so that a cap of these cannot be judged here.
USUAL_TASK = Resources(cpu=1000)
USUAL_TASK_S = 1.0
# Limits of requests where the document states none, in bytes.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 262144
EMPTY_KEY = hash_key("")


class Severity(StrEnum):
    """List how serious a finding is; only an error should keep a manifest from being sent."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """Describe what is wrong at a path of the document."""

    severity: Severity
    code: str
    path: str
    text: str


def check_manifest(draft: ManifestDraft, in_force: ManifestDraft | None) -> tuple[Finding, ...]:
    """Return all findings, errors first."""
    findings = (
        *_check_decoding(draft),
        *_check_version(draft, in_force),
        *_check_names(draft),
        *_check_routes(draft),
        *_check_standby(draft),
        *_check_accounts(draft),
        *_check_keys(draft),
        *_check_limits(draft),
    )
    return tuple(sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR))


def _error(code: str, path: str, text: str) -> Finding:
    return Finding(Severity.ERROR, code, path, text)


def _warning(code: str, path: str, text: str) -> Finding:
    return Finding(Severity.WARNING, code, path, text)


def _check_decoding(draft: ManifestDraft) -> Iterator[Finding]:
    for fault in draft.faults:
        if fault.is_unknown:
            yield _warning("field-unknown", fault.path, fault.text)
        else:
            yield _error("value-invalid", fault.path, fault.text)


def _is_whole(draft: ManifestDraft, section: str) -> bool:
    """Return whether no entry of a section is missing, so that no finding follows from a fault."""
    return not any(
        fault.path.startswith(section) and not fault.is_unknown for fault in draft.faults
    )


def _check_version(draft: ManifestDraft, in_force: ManifestDraft | None) -> Iterator[Finding]:
    if in_force is None or in_force.version is None or draft.version is None:
        return
    if draft.version <= in_force.version:
        text = f"{draft.version} is not above {in_force.version}, the version in force"
        yield _error("version-not-above", "version", text)


def _check_names(draft: ManifestDraft) -> Iterator[Finding]:
    for entries in (draft.routes, draft.services, draft.accounts or ()):
        first: dict[str, str] = {}
        for entry in entries:
            name = entry.value.name
            if name in first:
                yield _error("name-repeated", f"{entry.path}.name", f"{name} is at {first[name]}")
            first.setdefault(name, entry.path)


def _check_routes(draft: ManifestDraft) -> Iterator[Finding]:
    listed = {entry.value.name for entry in draft.services}
    first: dict[tuple[str, str], Queue] = {}
    by_target = {(entry.value.host, entry.value.prefix): entry.value for entry in draft.routes}
    for entry in draft.routes:
        queue = entry.value
        if queue.service not in listed and _is_whole(draft, draft.names.services):
            text = f"service {queue.service} is not listed"
            yield _error("service-unlisted", f"{entry.path}.service", text)
        earlier = first.setdefault((queue.host, queue.prefix), queue)
        if earlier is not queue:
            text = f"never matches: route {earlier.name} has the same host and prefix"
            yield _error("route-unreachable", f"{entry.path}.prefix", text)
        else:
            yield from _check_match(entry, by_target)
        yield from _check_objective(entry, draft.names)


def _check_match(
    entry: DraftEntry[Queue], by_target: dict[tuple[str, str], Queue]
) -> Iterator[Finding]:
    queue, path = entry.value, f"{entry.path}.prefix"
    longer = by_target.get((queue.host, f"{queue.prefix}/"))
    if ":" in queue.host:
        text = "never matches: hosts are compared without their port"
        yield _error("route-unreachable", f"{entry.path}.host", text)
    elif queue.prefix and not queue.prefix.startswith("/"):
        yield _error("route-unreachable", path, "never matches: every path begins with /")
    elif longer and not queue.prefix:
        # Every path begins with "/", which is longer than the empty prefix.
        text = f"never matches: route {longer.name} has the prefix / of the same host"
        yield _error("route-unreachable", path, text)
    elif longer and not queue.prefix.endswith("/"):
        text = (
            f"shadowed for all paths below it: route {longer.name} has the prefix {queue.prefix}/"
        )
        yield _warning("route-shadowed", path, text)


def _check_objective(entry: DraftEntry[Queue], names: DocumentNames) -> Iterator[Finding]:
    queue = entry.value
    if queue.max_attempts is not None and queue.max_attempts < 1:
        text = f"{queue.max_attempts} is below 1, which the daemons use instead"
        yield _error("value-contradictory", f"{entry.path}.{names.max_attempts}", text)
    for name, value in (("stretch", queue.stretch), (names.objective, queue.objective_ms)):
        if value < 0:
            text = "is below 0: jobs would be late when they are accepted"
            yield _error("value-contradictory", f"{entry.path}.{name}", text)


def _check_standby(draft: ManifestDraft) -> Iterator[Finding]:
    standby = [entry for entry in draft.services if entry.value.standby]
    names = {entry.value.name for entry in standby}
    for entry in draft.routes:
        if entry.value.service in names:
            text = f"service {entry.value.service} is on standby: its machines are switched off"
            yield _error("service-standby", f"{entry.path}.service", text)
    for service in standby[1:]:
        text = f"only one service can be on standby: {standby[0].value.name} is used"
        yield _warning("standby-repeated", f"{service.path}.standby", text)


def _check_accounts(draft: ManifestDraft) -> Iterator[Finding]:
    if draft.accounts is None:
        return
    if not draft.accounts and _is_whole(draft, draft.names.accounts):
        yield _warning("accounts-empty", draft.names.accounts, "an empty list: no key is valid")
    elif (
        draft.routes
        and _is_whole(draft, draft.names.routes)
        and all(entry.value.public for entry in draft.routes)
    ):
        text = "all routes are public: no call needs a key, though accounts are listed"
        yield _warning("routes-all-public", draft.names.routes, text)
    for entry in draft.accounts:
        account = entry.value
        if not account.key_digests:
            text = f"account {account.name} has no keys: no call can use it"
            yield _warning("account-without-keys", f"{entry.path}.{draft.names.keys}", text)
        elif not account.weight:
            text = f"account {account.name} has keys and weight 0: all of its jobs are excess"
            yield _warning("weight-zero", f"{entry.path}.weight", text)
        yield from _check_cap(entry.path, account)


def _check_cap(path: str, account: Account) -> Iterator[Finding]:
    cpu = account.cap.cpu
    needed = account.weight * USUAL_TASK_S * USUAL_TASK.cpu
    if not cpu:
        return
    if cpu < USUAL_TASK.cpu:
        text = f"{cpu} is below {USUAL_TASK.cpu}, a task on one core: account {account.name}"
        yield _warning("cap-below-task", f"{path}.cap.cpu", text)
    if cpu < needed:
        text = (
            f"{cpu} is below {needed:g}, what weight {account.weight:g} needs for jobs of "
            f"{USUAL_TASK_S:g} s on one core: account {account.name}"
        )
        yield _warning("cap-below-weight", f"{path}.cap.cpu", text)


def _check_keys(draft: ManifestDraft) -> Iterator[Finding]:
    accounts = tuple(entry.value for entry in draft.accounts or ())
    paths = {entry.value.name: entry.path for entry in draft.accounts or ()}
    for entry in draft.accounts or ():
        if EMPTY_KEY in entry.value.key_digests:
            text = f"account {entry.value.name} lists an empty key"
            yield _error("key-empty", f"{entry.path}.{draft.names.keys}", text)
    for shared in build_key_table(Manifest(0, accounts=accounts)).shared:
        text = (
            f"accounts {shared.account} and {shared.other} list {shared.keys} of the same keys, "
            f"which belong to {shared.account}"
        )
        yield _error("key-shared", f"{paths[shared.other]}.{draft.names.keys}", text)


def _check_limits(draft: ManifestDraft) -> Iterator[Finding]:
    limits, path = draft.limits.value, draft.limits.path
    for name, value in draft.limits.fields.items():
        if value < 1:
            yield _error("value-contradictory", f"{path}.{name}", f"{value} is below 1")
    header = DEFAULT_HEADER_BYTES if limits.max_header_bytes is None else limits.max_header_bytes
    body = DEFAULT_BODY_BYTES if limits.max_body_bytes is None else limits.max_body_bytes
    if header > body:
        text = f"{header} is above {body}, the limit of the body"
        yield _error("value-contradictory", f"{path}.{draft.names.max_header_bytes}", text)
    header_ms, idle_ms = limits.header_timeout_ms, limits.idle_timeout_ms
    if header_ms is not None and idle_ms is not None and header_ms > idle_ms:
        text = f"{header_ms} is above {idle_ms}, after which an idle connection is closed"
        yield _warning("value-contradictory", f"{path}.{draft.names.header_timeout}", text)
