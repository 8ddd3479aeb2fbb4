"""Decide whether a new job is stored, or rejected because it would only wait.

Answers an account that submits several times its weight while capacity is short. Its excess comes
after all other jobs, so that it would wait until it is of no use, and cost the scheduler time.

Jobs within an account's weight are never rejected for load: the scheduler orders by urgency, so the
backlog does not tell which of them will be done in time.
"""

import random

from gypsumplank.coordination.job.pressure import Pressure, ServicePressure
from gypsumplank.errors import AccountLimitError
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import JobDefinition

# Age from which a measurement rejects nothing, milliseconds; four times its interval.
MAX_AGE_MS = 2000
# Seconds of an account's weight that may wait as excess before more of it is rejected.
EXCESS_QUEUE_S = 2.0
MIN_RETRY_AFTER_S = 1.0
# Longest Retry-After, seconds; the load is not known further ahead.
MAX_RETRY_AFTER_S = 30.0
# Retry-After is spread by this factor, so that callers do not return all at once.
RETRY_SPREAD = 1.5


def find_rejection(
    service: str,
    order: JobDefinition,
    account: Account | None,
    pressure: Pressure,
    age_ms: float,
    rng: random.Random,
) -> AccountLimitError | None:
    """Return the error that rejects a job before it is stored, or None if it is to be stored.

    A measurement from the future rejects nothing, as it would for as long as it is ahead.
    """
    load = pressure.services.get(service)
    if account is None or load is None or not 0 <= age_ms <= MAX_AGE_MS:
        return None
    if _may_wait(order) or not _is_excess(account, load, rng):
        return None
    base_s = max(MIN_RETRY_AFTER_S, load.backlog_ms / 1000)
    retry_after_s = min(MAX_RETRY_AFTER_S, base_s * rng.uniform(1.0, RETRY_SPREAD))
    return AccountLimitError(f"{account.name} submits more than its weight", retry_after_s)


def _may_wait(order: JobDefinition) -> bool:
    return order.schedule.count > 0 or any(step.lasting for step in order.steps)


def _is_excess(account: Account, load: ServicePressure, rng: random.Random) -> bool:
    """Return whether a new job of the account counts as one beyond its weight.

    The share that the weight covers is let through at random, as no daemon sees all arrivals. As
    only stored jobs are counted as arrivals, more than the weight is let through.
    """
    found = load.accounts.get(account.name)
    if found is None or found.excess_jobs <= EXCESS_QUEUE_S * account.weight:
        return False
    covered = account.weight / max(found.arrivals_per_s, account.weight, 1.0)
    return rng.random() >= covered
