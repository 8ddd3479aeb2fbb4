"""Change client accounts under load, and judge from outside what their keys and caps allowed.

Answers the failure of a daemon that accepts a withdrawn key, refuses a valid one or exceeds a cap
while it, or every daemon, is cut off from the store. The daemons and this process share a clock.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import urllib3

from demo.job import HOST_HEADER, PREFIX
from gypsumplank.errors import CallError
from gypsumplank.protocol.job import JobDefinition, Resources
from soak.calllog import Breach
from soak.proxy import Mode
from standins.simulator import StartRecord
from standins.users_platform import MANIFEST, UsersPlatform
from standins.violations import CapChange, CapRule, find_starts_above_cap

# Seeds below this are in the records with their meaning before accounts were added.
FIRST_SEED = 5001
REVOKE_S = 2.0
CONFIG_APPLY_S = 3.0
OVERAGE = 0.1
BOUNDS = {
    "strict-revoke": True,
    "revoke-ms": REVOKE_S * 1000,
    "config-apply-ms": CONFIG_APPLY_S * 1000,
    "quota-overage": OVERAGE,
}
# Rates from which submissions are spread over partitions.
STORE_RATES = {"writes-per-s": 1200, "partition-writes-s": 200}
PUBLIC_PREFIX = "/open/"
ACCOUNTS = ("team-0", "team-1", "team-2")
WEIGHT = 8.0
# In every manifest, so that jobs can be queried; callers don't submit with it.
PERMANENT_KEY = "key-permanent"
KEYS = tuple(f"key-{number}" for number in range(9))
UNKNOWN_KEYS = ("key-unknown", "", None)
UNKNOWN_KEY_SHARE = 0.1
PUBLIC_SHARE = 0.2
# Caps in thousandths of a core: the callers of one account need about 4000.
CAPS_CPU = (1500, 2000, 3000, 4000)
CAP_AFTER_CPU = 16_000
# Longest time from a write to the end of its outage: past both time limits.
MAX_OUTAGE_S = 5.0
CALL_TIMEOUT_S = 5.0
PROBE_INTERVAL_S = 0.02
PROBED_JOB = "f" * 16
# No worker has what it requires, so that the job waits and its state can be queried.
PROBED_ORDER = {"spec": "1", "steps": [{"replicas": 1, "cpu": 500, "requires": "none"}]}
FIRST_ERROR_STATUS = 400
DENIED_STATUSES = (401, 403)
MISSING_STATUSES = (404, 410)
ACCEPTED_STATUS = 200


@dataclass(frozen=True)
class ManifestStep:
    """Represent one manifest, and the outage of the store in which it is written.

    `daemons` lists the daemons that are cut off. The times are between the outage's begin, the
    write and the outage's end.
    """

    keys: Mapping[str, str]
    caps: Mapping[str, int]
    mode: Mode = Mode.PASS
    daemons: tuple[int, ...] = ()
    before_s: float = 0.0
    after_s: float = 0.0


@dataclass(frozen=True)
class WrittenManifest:
    """Record a manifest that was written; the write began and was confirmed at these times."""

    keys: Mapping[str, str]
    begun_at: float
    confirmed_at: float


@dataclass(frozen=True)
class KeyedCall:
    """Record a call; `status` is 0 if no response arrived."""

    job: str
    key: str | None
    public: bool
    method: str
    daemon: int
    sent_at: float
    answered_at: float
    status: int


def has_accounts(seed: int) -> bool:
    """Return whether a seed's run has client accounts: every other one of the newer seeds."""
    return seed >= FIRST_SEED and seed % 2 == 1


def generate_steps(seed: int, phases: int, daemons: int) -> list[list[ManifestStep]]:
    """Return the first manifest and those of each phase: a withdrawal, additions and moves."""
    rng = random.Random(seed + 1)
    keys = {key: rng.choice(ACCOUNTS) for key in KEYS[:6]}
    first = ManifestStep(dict(keys), _random_caps(rng))
    return [[first], *(_generate_phase(rng, keys, daemons) for _ in range(phases))]


def _generate_phase(rng: random.Random, keys: dict[str, str], daemons: int) -> list[ManifestStep]:
    for key in rng.sample(sorted(keys), min(len(keys) - 1, rng.randint(1, 3))):
        del keys[key]
    withdrawal = _make_step(rng, keys, rng.choice((0, 1, 2, daemons, daemons)), daemons)
    absent = [key for key in KEYS if key not in keys]
    added = rng.sample(absent, min(len(absent), rng.randint(1, 3)))
    keys.update((key, rng.choice(ACCOUNTS)) for key in added)
    keys[rng.choice(sorted(keys))] = rng.choice(ACCOUNTS)
    addition = _make_step(rng, keys, rng.choice((0, 0, 1, 2)), daemons)
    return [withdrawal, addition]


def _make_step(
    rng: random.Random, keys: dict[str, str], cut_off: int, daemons: int
) -> ManifestStep:
    mode = rng.choice((Mode.RESET, Mode.SILENT, Mode.ONE_WAY))
    before_s, after_s = round(rng.uniform(0.0, 1.5), 2), round(rng.uniform(0.5, MAX_OUTAGE_S), 2)
    numbers = tuple(rng.sample(range(daemons), cut_off))
    return ManifestStep(dict(keys), _random_caps(rng), mode, numbers, before_s, after_s)


def _random_caps(rng: random.Random) -> dict[str, int]:
    return {account: rng.choice(CAPS_CPU) for account in ACCOUNTS}


class ManifestWriter:
    """Write manifests and record when each was confirmed."""

    def __init__(self, users: UsersPlatform) -> None:
        self._users = users
        self._caps: dict[str, Resources] = {}
        self.written: list[WrittenManifest] = []
        self.cap_changes: list[CapChange] = []

    def write(self, keys: Mapping[str, str], caps: Mapping[str, int]) -> None:
        """Write a manifest with these accounts of keys and these caps."""
        all_keys = {**keys, PERMANENT_KEY: ACCOUNTS[0]}
        value = msgspec.json.encode(make_manifest(len(self.written) + 1, all_keys, caps))
        new_caps = {account: Resources(cpu) for account, cpu in caps.items()}
        # While the write is in progress, either cap may be in force.
        either = {
            name: cap.at_least(self._caps.get(name, Resources())) for name, cap in new_caps.items()
        }
        self._record_caps(either)
        begun_at = time.monotonic()
        self._users.put("op", "config", value)
        self.written.append(WrittenManifest(all_keys, begun_at, time.monotonic()))
        self._record_caps(new_caps)
        self._caps = new_caps

    def _record_caps(self, caps: dict[str, Resources]) -> None:
        self._users.advance()
        self.cap_changes.append(CapChange(self._users.simulated_workers.now, caps))


def make_manifest(version: int, keys: Mapping[str, str], caps: Mapping[str, int]) -> dict[str, Any]:
    """Return a manifest with a public route and one that needs a key."""
    manifest: dict[str, Any] = MANIFEST
    (route,) = manifest["routes"]
    public = {**route, "name": "r-open", "prefix": PUBLIC_PREFIX, "public": True}
    tenants = [
        {
            "name": account,
            "api-keys": [key for key, owner in keys.items() if owner == account],
            "weight": WEIGHT,
            "cap": {"cpu": caps[account]},
        }
        for account in ACCOUNTS
    ]
    return {**manifest, "version": version, "routes": [route, public], "tenants": tenants}


@dataclass
class KeyedClient:
    """Call the daemons over a connection per key that stays open; used by one thread each."""

    calls: list[KeyedCall] = field(default_factory=list)
    pools: dict[tuple[str, str | None], urllib3.HTTPConnectionPool] = field(default_factory=dict)

    def call(
        self, addresses: Sequence[str], daemon: int, method: str, job: str, key: str | None,
        public: bool, body: Any = None,
    ) -> int:  # fmt: skip
        """Send a request, record it and return its status, 0 without a response."""
        address = addresses[daemon]
        pool = self.pools.get((address, key))
        if pool is None:
            pool = self.pools[address, key] = urllib3.connection_from_url(
                f"http://{address}", maxsize=1
            )
        headers = {"Host": HOST_HEADER, "Content-Type": "application/json"}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        path = f"{PUBLIC_PREFIX if public else PREFIX}{job}"
        content = msgspec.json.encode(body) if body is not None else None
        sent_at = time.monotonic()
        try:
            status = pool.urlopen(
                method, path, content, headers, retries=False, timeout=CALL_TIMEOUT_S
            ).status
        except urllib3.exceptions.HTTPError:
            status = 0
        answered_at = time.monotonic()
        self.calls.append(KeyedCall(job, key, public, method, daemon, sent_at, answered_at, status))
        return status


class KeyProbe:
    """Query one job at each daemon with keys drawn at random, whether they are valid or not."""

    def __init__(self, addresses: Sequence[str], seed: int) -> None:
        self._addresses = addresses
        self._stopped = threading.Event()
        self.client = KeyedClient()
        self._thread = threading.Thread(target=self._run, args=(random.Random(seed),))

    def start(self) -> None:
        """Submit the job that is queried, before any fault, and start the thread."""
        # Nothing but an accepted job is answered with success; this one never starts.
        status = self.client.call(
            self._addresses, 0, "POST", PROBED_JOB, PERMANENT_KEY, False, PROBED_ORDER
        )
        if status != ACCEPTED_STATUS:
            raise CallError(f"the job that is queried was answered with {status}", sent=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop and wait for the call in progress."""
        self._stopped.set()
        self._thread.join()

    def _run(self, rng: random.Random) -> None:
        while not self._stopped.wait(PROBE_INTERVAL_S):
            key = rng.choice((*KEYS, *UNKNOWN_KEYS))
            public = rng.random() < PUBLIC_SHARE
            daemon = rng.randrange(len(self._addresses))
            self.client.call(self._addresses, daemon, "GET", PROBED_JOB, key, public)


def choose_key(rng: random.Random) -> tuple[str | None, bool]:
    """Return the key of a new job and whether it is sent to the public route."""
    keys = UNKNOWN_KEYS if rng.random() < UNKNOWN_KEY_SHARE else KEYS
    return rng.choice(keys), rng.random() < PUBLIC_SHARE


def _in_force(
    written: Sequence[WrittenManifest], call: KeyedCall, apply_s: float
) -> Iterator[WrittenManifest]:
    """Yield the manifests that a call may be judged by if a new one binds after `apply_s`.

    A call without a response may be executed at any time after it was sent.
    """
    ends = [after.confirmed_at + apply_s for after in written[1:]]
    for manifest, end in zip(written, [*ends, float("inf")], strict=True):
        if call.sent_at <= end and (manifest.begun_at <= call.answered_at or not call.status):
            yield manifest


def check_keys(calls: Iterable[KeyedCall], written: Sequence[WrittenManifest]) -> Iterator[Breach]:
    """Yield successes with keys that were not valid, and denials of those that were."""
    known = {key for manifest in written for key in manifest.keys}
    for call in calls:
        succeeded = 0 < call.status < FIRST_ERROR_STATUS
        if call.public:
            if call.status in DENIED_STATUSES:
                yield Breach("a public route needs no key", str(call))
        elif succeeded and call.key not in known:
            yield Breach("an unknown key never succeeds", str(call))
        elif succeeded and not any(call.key in m.keys for m in _in_force(written, call, REVOKE_S)):
            yield Breach("a withdrawn key never succeeds", str(call))
        elif call.status in DENIED_STATUSES and all(
            call.key in m.keys for m in _in_force(written, call, CONFIG_APPLY_S)
        ):
            yield Breach("a valid key is not denied", str(call))


def check_found(calls: Iterable[KeyedCall]) -> Iterator[Breach]:
    """Yield queries, sent after a job was accepted, that were told that it does not exist."""
    accepted: set[str] = set()
    for call in sorted(calls, key=lambda each: each.answered_at):
        if call.method == "POST" and call.status == ACCEPTED_STATUS:
            accepted.add(call.job)
        elif call.method == "GET" and call.job in accepted and call.status in MISSING_STATUSES:
            yield Breach("an accepted job is found", str(call))


def find_accounts(calls: Iterable[KeyedCall], written: Sequence[WrittenManifest]) -> dict[str, str]:
    """Return the accounts of jobs, without jobs that may belong to either of several accounts.

    Keys on a public route are judged by manifests of any age.
    """
    owners: dict[str, set[str | None]] = {}
    for call in calls:
        if call.method != "POST":
            continue
        manifests = written if call.public else _in_force(written, call, REVOKE_S)
        # Without a key in force the call was denied, so it gives the job no account.
        found = {m.keys.get(call.key or "") for m in manifests}
        owners.setdefault(call.job, set()).update(found if call.public else found - {None})
    return {
        job: name
        for job, names in owners.items()
        if len(names) == 1
        for name in names
        if name is not None
    }


def check_caps(
    history: Iterable[StartRecord],
    orders: Mapping[str, JobDefinition],
    accounts: Mapping[str, str],
    changes: Iterable[CapChange],
) -> Iterator[Breach]:
    """Yield starts that brought an account above its cap."""
    rule = CapRule(OVERAGE, CONFIG_APPLY_S)
    for violation in find_starts_above_cap(history, orders, accounts, changes, rule):
        yield Breach("an account stays within its cap", violation)


def count_statuses(calls: Iterable[KeyedCall]) -> dict[int, int]:
    """Return how many calls were answered with each status."""
    return dict(Counter(call.status for call in calls))
