import random

import pytest

from gypsumplank.coordination.job.accounts import TURN_AFTER_S
from gypsumplank.coordination.job.demand import estimate_loads
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.usage import (
    KnownAccounts,
    count_startable,
    may_add,
)
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import Resources, StepDefinition, TaskPhase
from gypsumplank.protocol.queue import Manifest
from gypsumplank.protocol.worker import RunningTask, WorkerReport
from tests.coordination.job.accountsite import AccountSite
from tests.coordination.job.scratch import sum_usage

SMALL = StepDefinition(1, Resources(1000, 100), 500)
GANG = StepDefinition(3, Resources(2000, 100), 500, gang=True)


def capped(cpu, **others):
    return tuple(Account(name, cap=cap) for name, cap in {"a": Resources(cpu), **others}.items())


@pytest.mark.parametrize(
    ("used", "need", "allowed"),
    [
        (Resources(3000), Resources(1000), True),
        (Resources(3001), Resources(1000), False),
        # Below half of the cap a task starts although it alone exceeds the cap.
        (Resources(1999), Resources(9000), True),
        (Resources(2000), Resources(9000), False),
        # What a resource of 0 limits is nothing; each other one counts.
        (Resources(0, 10**6, 9), Resources(1000, 10**6, 9), True),
        (Resources(4500), Resources(0, 100), False),
    ],
)
def test_a_start_is_allowed_up_to_the_cap_or_below_half_of_it(used, need, allowed):
    assert may_add(used, need, Resources(4000)) is allowed


@pytest.mark.parametrize(
    ("used", "cap", "startable"),
    [
        (Resources(), 6000, 3),
        (Resources(2999), 6000, 0),
        (Resources(2000), 6000, 3),
        # The platform allows the cap, its overage and one task: 4000 x 1.1 + 2000.
        (Resources(), 4000, 3),
        (Resources(1000), 4000, 0),
        (Resources(), 3000, 0),
    ],
)
def test_a_gang_is_counted_as_a_whole(used, cap, startable):
    # Member by member, the last starts would exceed what the platform allows.
    assert count_startable(used, GANG, 3, Resources(cap), 0.1) == startable


def test_starts_stay_within_the_cap_and_use_all_of_it():
    site = AccountSite(capped(4000))
    for _ in range(10):
        site.submit("a")
    site.submit("b")
    site.submit("")
    site.round()
    assert (site.used("a"), site.used("b"), site.used("")) == (4000, 1000, 1000)
    site.run(2.0)
    assert len(site.started_at) == 12


def test_a_job_above_its_cap_asks_for_no_machines():
    # More machines do not help it, and others would lack them.
    site = AccountSite(capped(4000))
    for _ in range(50):
        site.submit("a")
    site.round()
    loads = estimate_loads(site.scheduler.workload.jobs.values(), site.clock.monotonic(), 0.0)
    assert loads["desk"].batch.cpu == 4000


def test_a_job_that_its_cap_allows_again_asks_for_machines_while_none_is_free():
    # Its step is not tried without free capacity; nobody would add machines for it.
    site = AccountSite(capped(4000))
    for accounts in ("aa", "bbbbbbb"):
        for account in accounts:
            site.submit(account, StepDefinition(4, Resources(1000, 100), 60_000))
        site.round()
    for caps, cpu in ((4000, 32_000), (8000, 36_000)):
        site.set_caps(a=Resources(caps))
        site.run(2.0)
        jobs = site.scheduler.workload.jobs.values()
        loads = estimate_loads(jobs, site.clock.monotonic(), 0.0)
        assert loads["desk"].batch.cpu == cpu


def test_a_run_counts_until_its_worker_has_reported_its_end():
    site = AccountSite(capped(1000))
    first, second = site.submit("a"), site.submit("a")
    site.round()
    (running,) = first.assigned_tasks()
    running.should_run = False
    running.unconfirmed_since = site.clock.monotonic()
    first.cancelled = True
    site.ends.clear()
    site.run(2.0)
    assert not second.assigned_tasks()


def test_a_run_that_is_not_assigned_counts_until_it_has_ended():
    # A gang whose first member is done: the run of another one may go on for a while.
    site = AccountSite(capped(5000))
    gang, waiting = site.submit("a", GANG), site.submit("a", SMALL)
    site.round()
    left = next(gang.tasks())
    instance = site.scheduler.instances[left.worker]
    for task in gang.tasks():
        task.finish(TaskPhase.DONE)
    now = site.clock.monotonic()
    site.ends.clear()
    for running in ((RunningTask(left.name, left.run),), ()):
        for each in site.instances:
            listed = running if each is instance else ()
            report = WorkerReport(each.incarnation, 0, listed, ())
            site.scheduler.handle_report(each, ReceivedReport(report, now + 1.0, now + 1.0))
        site.scheduler.workload.jobs.pop(gang.id, None)
        used = sum_usage(site.instances)
        assert ("a" in used and used["a"].total.cpu == 2000) is bool(running)
    site.round()
    assert waiting.assigned_tasks()


@pytest.mark.parametrize("accounts", [None, capped(4000)])
def test_no_task_of_an_account_starts_before_the_manifest_may_name_it(accounts):
    """Guard against starts above a cap by a manifest that the leader reads later than others."""
    site = AccountSite(accounts)
    site.age_s = 0.4
    for _ in range(10):
        site.submit("new")
    site.submit("")
    site.round()
    assert (site.used("new"), site.used("")) == (0, 1000)
    site.age_s = 0.0
    site.set_caps(a=Resources(4000), new=Resources(2000))
    site.round()
    assert site.used("new") == 2000


def test_an_account_that_no_manifest_names_any_more_is_not_held():
    # A daemon that was started after the account was dropped knows no cap of it.
    site = AccountSite(capped(4000))
    site.age_s = 0.4
    job = site.submit("dropped")
    site.run(0.2)
    assert not site.started_at
    site.clock.advance(0.2)
    site.round()
    assert job.id in site.started_at


def test_no_capped_task_starts_on_an_unconfirmed_manifest():
    site = AccountSite(capped(4000, b=Resources()))
    site.age_s = 3.0
    held, free = site.submit("a"), site.submit("b")
    site.round()
    assert (held.assigned_tasks(), len(free.assigned_tasks())) == ([], 1)
    site.age_s = 2.9
    site.round()
    assert held.assigned_tasks()


def test_a_cap_that_was_lowered_before_the_store_took_the_start_binds():
    # Starts wait for the store; they were decided by the cap before its outage.
    site = AccountSite(capped(8000))
    site.stores = False
    for _ in range(8):
        site.submit("a")
    site.submit("a", GANG)
    site.round()
    assert site.used("a") == 8000
    site.set_caps(a=Resources(2000))
    site.stores = True
    site.round()
    assert (site.used("a"), len(site.started_at)) == (2000, 2)


def test_a_cap_that_was_lowered_during_the_commit_binds():
    # The commit of a round may take seconds; the manifest is confirmed by another thread meanwhile.
    site = AccountSite(capped(8000))
    site.stores = False
    for _ in range(8):
        site.submit("a")
    site.round()
    for job in site.scheduler.workload.jobs.values():
        for step in job.steps.values():
            step.dirty = False
    site.set_caps(a=Resources(2000))
    site.scheduler.commands.send(site.instances, lambda: True)
    assert (site.used("a"), len(site.started_at)) == (2000, 2)


def test_an_account_that_the_manifest_drops_keeps_its_cap():
    manifests = [Manifest(1, accounts=capped(4000)), Manifest(2, accounts=()), Manifest(3)]
    manifests.append(Manifest(4, accounts=capped(0)))
    known = KnownAccounts(lambda: manifests[0])
    for cap in (Resources(4000), Resources(4000), Resources(4000), None):
        known.update()
        assert (known.cap("a"), known.cap("b")) == (cap, None)
        manifests.pop(0)


def test_a_large_task_is_not_starved_by_small_ones_of_its_account():
    site = AccountSite(capped(4000))
    for _ in range(4):
        site.submit("a")
    site.run(0.1)
    large = site.submit("a", StepDefinition(1, Resources(3000, 100), 5000))
    for _ in range(100):
        for _ in range(2):
            site.submit("a")
        site.run(0.04)
        if large.assigned_tasks():
            break
    # After the turn begins, the runs of the small ones end within 0.5 s.
    assert site.clock.monotonic() - large.arrived_at <= TURN_AFTER_S + 0.7


def test_a_turn_does_not_wait_for_long_running_tasks_to_end():
    # A task that can't start beside them would hold up the account for ever.
    site = AccountSite(capped(4000))
    lasting = StepDefinition(3, Resources(1000, 100), lasting=True)
    site.submit("a", lasting)
    site.round()
    never = site.submit("a", StepDefinition(1, Resources(3000, 100), 500))
    site.run(2.0)
    small = site.submit("a")
    site.run(0.1)
    assert small.assigned_tasks()
    assert not never.assigned_tasks()


def test_a_gang_that_waits_delays_an_account_below_half_of_its_cap_for_a_short_time():
    # Without a limit a gang that needs nearly all of the cap would hold up what is guaranteed.
    site = AccountSite(capped(6000))
    site.submit("a", StepDefinition(2, Resources(1000, 100), 60_000))
    site.round()
    gang = site.submit("a", StepDefinition(4, Resources(1700, 100), 500, gang=True))
    site.run(1.1)
    small = site.submit("a")
    site.run(2.0)
    assert site.started_at[small.id] - small.arrived_at < 2.0
    assert not gang.assigned_tasks()


def test_a_long_running_task_above_its_cap_preempts_nothing():
    site = AccountSite(capped(1000), workers=1)
    lasting = StepDefinition(1, Resources(1000, 100), lasting=True)
    site.submit("a", lasting)
    for _ in range(15):
        site.submit("b", StepDefinition(1, Resources(1000, 100), 60_000))
    site.round()
    site.submit("a", lasting)
    site.run(3.0)
    tasks = [task for each in site.instances for task in each.tasks.values()]
    assert len(tasks) == 16
    assert all(task.should_run for task in tasks)


def test_a_held_job_is_logged_once(caplog):
    caplog.set_level("INFO")
    site = AccountSite(capped(1000))
    jobs = [site.submit("a") for _ in range(3)]
    site.run(1.2)
    held = [record.job for record in caplog.records if record.getMessage() == "job-held"]
    assert sorted(held) == sorted(job.id for job in jobs[1:])
    (status,) = site.accounts.statuses()
    assert (status.account, status.cap, status.used.cpu) == ("a", Resources(1000), 1000)


def test_usage_kept_in_a_round_equals_that_of_all_runs():
    rng = random.Random(5)
    site = AccountSite(capped(6000, b=Resources(9000, 900)), workers=3)
    for _ in range(60):
        fills = rng.random() < 0.2
        gang = not fills and rng.random() < 0.2
        need = Resources(rng.randrange(500, 3000), rng.randrange(50, 300))
        step = StepDefinition(rng.randrange(1, 4), need, 300, gang=gang, fills=fills)
        site.submit(rng.choice(["a", "b", "c", ""]), step)
        site.run(0.08)
        counted = sum_usage(site.instances)
        for account in "abc":
            assigned = [
                task.step.order.need
                for job in site.scheduler.workload.jobs.values()
                for task in job.assigned_tasks()
                if job.stored.account == account
            ]
            kept = site.scheduler.accounts.usage(account).total
            assert kept == sum(assigned, Resources())
            if account in counted:
                assert kept == counted[account].total
