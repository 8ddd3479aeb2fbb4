"""Export the figures of client accounts as gauges, for operators."""

from collections.abc import Callable, Iterable, Iterator

from opentelemetry.metrics import Observation

from gypsumplank.coordination.job.accountstatus import AccountStatus
from gypsumplank.metrics import Metrics
from gypsumplank.protocol.job import Resources

ReadStatuses = Callable[[], Iterable[AccountStatus]]


def add_account_gauges(metrics: Metrics, read: ReadStatuses) -> None:
    """Create the gauges; `read` returns nothing on daemons that do not lead."""
    metrics.gauge(
        "gypsumplank.account.used",
        "1",
        "Resources of an account's runs on all workers: cores/1000, MB, accelerators",
        lambda: [each for status in read() for each in _by_resource(status.account, status.used)],
    )
    metrics.gauge(
        "gypsumplank.account.cap",
        "1",
        "Most that an account may use; 0 if not limited",
        lambda: [each for status in read() for each in _by_resource(status.account, status.cap)],
    )
    metrics.gauge(
        "gypsumplank.account.held_tasks",
        "{task}",
        "Tasks that are ready and wait for the cap of their account",
        lambda: [Observation(each.held_tasks, {"account": each.account}) for each in read()],
    )
    metrics.gauge(
        "gypsumplank.account.share",
        "1",
        "Largest part of a resource of a service that an account uses, divided by its weight",
        lambda: [Observation(each.share, {"account": each.account}) for each in read()],
    )
    metrics.gauge(
        "gypsumplank.account.rank",
        "1",
        "Place of an account by its share, 1 for the lowest; those come first if capacity is short",
        lambda: [Observation(each.rank, {"account": each.account}) for each in read()],
    )
    metrics.gauge(
        "gypsumplank.account.excess_steps",
        "{step}",
        "Steps that wait of jobs beyond the weight of their account",
        lambda: [Observation(each.excess_steps, {"account": each.account}) for each in read()],
    )


def _by_resource(account: str, amount: Resources) -> Iterator[Observation]:
    for resource, value in (
        ("cpu", amount.cpu),
        ("memory", amount.memory_mb),
        ("accelerators", amount.accelerators),
    ):
        yield Observation(value, {"account": account, "resource": resource})
