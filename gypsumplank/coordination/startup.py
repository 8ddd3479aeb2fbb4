"""Decide when a daemon that starts may receive callers' requests."""

from typing import Protocol

from gypsumplank.state.session import Session


class ConfigStatus(Protocol):
    """Describe how current the configuration in force is."""

    caught_up: bool
    reachable: bool


class OwnSession(Protocol):
    """Provide this daemon's session; its epoch is 0 until it has been opened."""

    session: Session


def has_started(config: ConfigStatus, own: OwnSession) -> bool:
    """Return whether the configuration is in force and, if the store answers, a session is open.

    Requests with an idempotency key need a session. Without the store none can be opened, and
    requests without a key are served all the same.
    """
    return config.caught_up and (own.session.epoch > 0 or not config.reachable)
