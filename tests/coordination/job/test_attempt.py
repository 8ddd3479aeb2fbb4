"""Test which tasks the limit of their queue lets start again."""

from dataclasses import replace

import pytest

from gypsumplank.coordination.job.attempt import find_exhausted, find_startable
from gypsumplank.coordination.job.model import Job
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob

STEP = StepDefinition(2, Resources(1000, 100), 500)


def make_tasks(step, failures):
    job = Job(StoredJob("a" * 16, "proofs", "desk", 0, JobDefinition("", (step,))), "desk")
    tasks = list(job.tasks())
    for task, count in zip(tasks, failures, strict=True):
        task.failures = count
    return tasks


@pytest.mark.parametrize(
    ("step", "failures", "limit", "exhausted"),
    [
        (STEP, (0, 0), 1, 0),
        (STEP, (1, 2), 3, 0),
        (STEP, (1, 3), 3, 1),
        (STEP, (3, 4), 3, 2),
        (STEP, (9, 9), None, 0),
        (replace(STEP, gang=True), (1, 1), 3, 0),
        (replace(STEP, gang=True), (1, 2), 3, 2),
        (replace(STEP, lasting=True), (9, 9), 3, 0),
    ],
)
def test_tasks_are_exhausted_once_their_failed_runs_reach_the_limit(
    step, failures, limit, exhausted
):
    assert len(find_exhausted(make_tasks(step, failures), limit)) == exhausted


@pytest.mark.parametrize(
    ("step", "failures", "limit", "startable"),
    [
        (STEP, (0, 1), 3, 2),
        (STEP, (0, 1), None, 1),
        (replace(STEP, gang=True), (0, 1), None, 0),
        (replace(STEP, gang=True), (0, 0), None, 2),
        (replace(STEP, lasting=True), (1, 1), None, 2),
    ],
)
def test_failed_tasks_wait_while_their_limit_is_not_known(step, failures, limit, startable):
    assert len(find_startable(make_tasks(step, failures), limit)) == startable
