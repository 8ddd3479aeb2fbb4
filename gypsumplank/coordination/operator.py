"""Serve operators: accept configuration changes, list records and report the status."""

import logging
from collections.abc import Callable, Mapping

from gypsumplank.coordination.budget import is_assignment_key
from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.rollout import RevisionTracker
from gypsumplank.coordination.slot import SlotTracker
from gypsumplank.errors import AssignmentError, RecordMissingError, RecordsError
from gypsumplank.log import Event, event
from gypsumplank.protocol.operator import (
    ChangeReceipt,
    ChangeRequest,
    DaemonStatus,
    HistoryEntry,
    PoolStatus,
    RecordList,
    RollbackRequest,
    RolloutStatus,
    Status,
)
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record
from gypsumplank.protocol.schema import downgrade, merge
from gypsumplank.state.config import Change, ChangeEntry, ConfigStore, apply_entries
from gypsumplank.state.session import Session
from gypsumplank.state.validation import check_change, check_records
from gypsumplank.state.view import CurrentView, View

logger = logging.getLogger(__name__)


class OperatorService:
    """Handle the operators' requests to this daemon."""

    def __init__(
        self,
        store: ConfigStore,
        current_view: CurrentView,
        follower: ConfigFollower,
        heartbeat: Heartbeat,
        slots: SlotTracker,
        ready: Callable[[], bool],
        rollout: RevisionTracker,
    ) -> None:
        self._store = store
        self._current_view = current_view
        self._follower = follower
        self._heartbeat = heartbeat
        self._slots = slots
        self._ready = ready
        self._rollout = rollout

    def ready(self) -> bool:
        """Return whether this daemon may receive callers' requests."""
        return self._ready()

    def change(self, order: ChangeRequest, actor: str) -> ChangeReceipt:
        """Commit a change atomically; raise GypsumplankError if it is rejected."""
        _reject_assignments(order)
        revision = self._store.propose(
            order.operation, lambda view: build_change(view, order, actor)
        )
        return self._announce_accepted(revision, actor)

    def rollback(self, order: RollbackRequest, actor: str) -> ChangeReceipt:
        """Commit a new revision that restores the operators' records of an older one."""
        newest = self._store.refresh(self._current_view.view)
        target = self._store.records_at(order.revision, newest)
        revision = self._store.propose(
            order.operation, lambda view: build_rollback(view, target, order, actor)
        )
        return self._announce_accepted(revision, actor)

    def history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Return the newest accepted changes, newest first."""
        after = max(self._current_view.view.revision - limit, 0)
        return tuple(_history_entry(entry) for entry in reversed(self._store.entries(after)))

    def rollout(self, revision: int) -> RolloutStatus:
        """Return which live daemons have a revision in force and which do not."""
        revisions = sorted(self._rollout.revisions().items())
        return RolloutStatus(
            revision,
            tuple(name for name, in_force in revisions if in_force >= revision),
            tuple(name for name, in_force in revisions if in_force < revision),
        )

    def _announce_accepted(self, revision: int, actor: str) -> ChangeReceipt:
        event(logger, Event.CONFIG_ACCEPTED, revision=revision, actor=actor)
        self._rollout.announce_accepted(revision)
        self._follower.tick()
        return ChangeReceipt(revision)

    def validate(self, order: ChangeRequest) -> None:
        """Check a change without committing it; raise RecordsError or RecordMissingError."""
        view = self._current_view.view
        change = build_change(view, order, "")
        entry = ChangeEntry(view.revision, order.operation, "", 0.0, change.puts, change.deletes)
        check_records(view, apply_entries(view, (entry,)))

    def records(self, kind: str = "", schema: int = NEWEST_SCHEMA) -> RecordList:
        """Return the records in force, of one kind or of all, in this schema version."""
        view = self._current_view.view
        found = (rec for key, rec in sorted(view.records.items()) if kind in ("", rec.kind))
        return RecordList(view.revision, tuple(_in_schema(rec, schema) for rec in found))

    def record(self, key: str, schema: int = NEWEST_SCHEMA) -> Record:
        """Return one record in force in this schema version; raise RecordMissingError."""
        try:
            return _in_schema(self._current_view.view.records[key], schema)
        except KeyError as exc:
            raise RecordMissingError(f"no record {key!r}") from exc

    def status(self) -> Status:
        """Return this daemon's state and what it knows of the fleet."""
        view = self._current_view.view
        revisions = self._rollout.revisions()
        return Status(
            self._heartbeat.session.id,
            self._ready(),
            view.revision,
            tuple(
                _daemon_status(session, revisions.get(session.id, session.revision))
                for session in self._heartbeat.live
            ),
            _pool_statuses(view, self._slots.in_flight()),
            view.unreadable,
        )


def _reject_assignments(order: ChangeRequest) -> None:
    """Raise AssignmentError if a change writes assignments, which only the system may do."""
    written = (*(record.key for record in order.puts), *order.deletes)
    if any(is_assignment_key(key) for key in written):
        raise AssignmentError(
            "use `host drain`, `host undrain` or `host move` to change assignments"
        )


def _in_schema(record: Record, schema: int) -> Record:
    return downgrade(record) if schema == 1 else record


def build_change(view: View, order: ChangeRequest, actor: str) -> Change:
    """Return the change that an operator requests; raise RecordsError or RecordMissingError."""
    missing = [key for key in order.deletes if key not in view.records]
    if missing:
        raise RecordMissingError(f"no record {', '.join(map(repr, missing))}")
    faults = check_change(order.puts, order.deletes)
    if faults:
        raise RecordsError(faults)
    merged = (merge(view.records.get(rec.key), rec) for rec in order.puts)
    puts = tuple(rec for rec in merged if view.records.get(rec.key) != rec)
    return Change(order.operation, puts, order.deletes, actor, order.if_revision)


def build_rollback(
    view: View, target: Mapping[str, Record], order: RollbackRequest, actor: str
) -> Change:
    """Return the change that restores the target's records; assignments are left unchanged."""
    puts = tuple(
        record
        for key, record in sorted(target.items())
        if record.kind is not Kind.ASSIGNMENT and view.records.get(key) != record
    )
    deletes = tuple(
        key
        for key, record in sorted(view.records.items())
        if record.kind is not Kind.ASSIGNMENT and key not in target
    )
    return Change(order.operation, puts, deletes, actor, order.if_revision)


def _history_entry(entry: ChangeEntry) -> HistoryEntry:
    return HistoryEntry(
        entry.revision,
        entry.actor,
        entry.accepted_at,
        entry.operation,
        tuple(record.key for record in entry.puts),
        entry.deletes,
    )


def _daemon_status(session: Session, revision: int) -> DaemonStatus:
    return DaemonStatus(
        session.id,
        session.zone,
        session.epoch,
        revision,
        session.callers,
        session.operators,
    )


def _pool_statuses(view: View, in_flight: dict[str, int]) -> tuple[PoolStatus, ...]:
    return tuple(
        PoolStatus(
            name,
            len(view.hosts_of(name)),
            sum(in_flight.get(host, 0) for host in view.hosts_of(name)),
        )
        for name in sorted(view.pools)
    )
