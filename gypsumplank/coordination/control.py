"""Answer operators: accept changes, list records and tell the status."""

import logging
from collections.abc import Callable

from gypsumplank.coordination.budget import is_assignment_key
from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.slot import Slots
from gypsumplank.errors import AssignmentError, RecordMissingError
from gypsumplank.log import Event, event
from gypsumplank.protocol.operator import (
    ChangeOrder,
    ChangeReceipt,
    DaemonStatus,
    PoolStatus,
    RecordList,
    Status,
)
from gypsumplank.protocol.record import Record
from gypsumplank.state.config import Change, ChangeEntry, ConfigStore, apply_entries
from gypsumplank.state.session import Session
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import View, ViewHolder

logger = logging.getLogger(__name__)


class Control:
    """Carry out what operators ask of this daemon."""

    def __init__(
        self,
        store: ConfigStore,
        holder: ViewHolder,
        follower: Follower,
        heartbeat: Heartbeat,
        slots: Slots,
        ready: Callable[[], bool],
    ) -> None:
        self._store = store
        self._holder = holder
        self._follower = follower
        self._heartbeat = heartbeat
        self._slots = slots
        self._ready = ready

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self._ready()

    def change(self, order: ChangeOrder, actor: str) -> ChangeReceipt:
        """Accept a change whole or raise GypsumplankError."""
        _refuse_assignments(order)
        change = Change(order.operation, order.puts, order.deletes, actor, order.if_revision)
        revision = self._store.accept(change)
        event(logger, Event.CONFIG_ACCEPTED, revision=revision, actor=actor)
        self._follower.tick()
        return ChangeReceipt(revision)

    def validate(self, order: ChangeOrder) -> None:
        """Raise RecordsError where a change would not be accepted."""
        view = self._holder.current
        entry = ChangeEntry(view.revision, order.operation, "", 0.0, order.puts, order.deletes)
        check_records(view, apply_entries(view, (entry,)))

    def records(self, kind: str = "") -> RecordList:
        """Return the records in force, of one kind or of all."""
        view = self._holder.current
        found = tuple(rec for key, rec in sorted(view.records.items()) if kind in ("", rec.kind))
        return RecordList(view.revision, found)

    def record(self, key: str) -> Record:
        """Return one record in force; raise RecordMissingError."""
        try:
            return self._holder.current.records[key]
        except KeyError as exc:
            raise RecordMissingError(f"no record {key!r}") from exc

    def status(self) -> Status:
        """Tell what this daemon knows of the fleet."""
        view = self._holder.current
        return Status(
            self._heartbeat.session.id,
            self._ready(),
            view.revision,
            tuple(_daemon_status(session) for session in self._heartbeat.live),
            _pool_statuses(view, self._slots.in_flight()),
            view.unreadable,
        )


def _refuse_assignments(order: ChangeOrder) -> None:
    """Raise AssignmentError where an operator writes what only the system may."""
    written = (*(record.key for record in order.puts), *order.deletes)
    if any(is_assignment_key(key) for key in written):
        raise AssignmentError("assignments change by `host drain`, `host undrain` and `host move`")


def _daemon_status(session: Session) -> DaemonStatus:
    return DaemonStatus(
        session.id,
        session.zone,
        session.epoch,
        session.revision,
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
