"""Check the failure policies: outcome and retries of every failure."""

import pytest

from gypsumplank import errors
from gypsumplank.coordination.outcome import (
    FAILURE_POLICIES,
    failure_policy_of,
    may_retry,
    refusal_of,
)
from gypsumplank.protocol.exchange import Outcome, Request
from gypsumplank.protocol.spec import ServiceSpec


def all_subclasses(base):
    return {subclass for sub in base.__subclasses__() for subclass in {sub, *all_subclasses(sub)}}


def test_every_endpoint_error_has_a_failure_policy():
    assert all_subclasses(errors.EndpointError) <= set(FAILURE_POLICIES)


def test_unknown_outcome_is_never_retried_unless_idempotent():
    assert not any(
        policy.retry_any
        for policy in FAILURE_POLICIES.values()
        if policy.outcome is Outcome.UNKNOWN
    )


def test_unlisted_failure_has_an_unknown_outcome():
    assert failure_policy_of(ZeroDivisionError()).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("method", "service_idempotent", "key", "retried"),
    [
        ("POST", False, "", False),
        ("POST", True, "", True),
        ("GET", False, "", True),
        ("GET", True, "k", False),
    ],
)
def test_reset_is_retried_only_for_idempotent_requests(method, service_idempotent, key, retried):
    req = Request("r", "s", method, "/", 0.0, idempotency_key=key)
    service = ServiceSpec("p", idempotent=service_idempotent)
    assert may_retry(errors.EndpointResetError(), req, service) is retried


def test_refusal_of_an_invalid_request_has_no_retry_after():
    refusal = refusal_of(errors.RequestInvalidError("bad"))
    assert (refusal.status, refusal.outcome, refusal.retry_after_s) == (400, Outcome.NOT_RUN, 0)
