"""Collect the figures of client accounts for operators."""

from collections.abc import Mapping
from dataclasses import dataclass

from gypsumplank.coordination.job.accountshare import NO_ACCOUNT, ServiceUse, dominant_share
from gypsumplank.coordination.job.usage import KnownAccounts, Usage
from gypsumplank.protocol.job import Resources


@dataclass(frozen=True)
class AccountStatus:
    """Store an account's figures for operators.

    `share` is the largest dominant share that it has in a service, and `rank` its place from the
    lowest share on, from 1. `excess_steps` wait that lie beyond its weight.
    """

    account: str
    used: Resources
    cap: Resources
    held_tasks: int
    share: float
    rank: int
    excess_steps: int


def make_statuses(
    known: KnownAccounts,
    usage: Mapping[str, Usage],
    use: ServiceUse,
    held: Mapping[str, int],
    excess: Mapping[str, int],
) -> tuple[AccountStatus, ...]:
    """Return the figures of all accounts that have runs or steps that wait."""
    shares: dict[str, float] = {}
    for (service, name), used in use.used.items():
        account = known.find(name) or NO_ACCOUNT
        share = dominant_share(used, use.totals.get(service, Resources()), account.weight)
        shares[name] = max(shares.get(name, 0.0), share)
    accounts = (usage.keys() | held.keys() | excess.keys()) - {""}
    ranked = sorted(accounts, key=lambda account: (shares.get(account, 0.0), account))
    return tuple(
        AccountStatus(
            account,
            usage.get(account, Usage()).total,
            known.cap(account) or Resources(),
            held.get(account, 0),
            shares.get(account, 0.0),
            rank,
            excess.get(account, 0),
        )
        for rank, account in enumerate(ranked, start=1)
    )
