"""Hold the table of verdicts to what every failure means."""

import pytest

from gypsumplank import errors
from gypsumplank.coordination.outcome import VERDICTS, may_retry, refusal_of, verdict_of
from gypsumplank.protocol.exchange import Outcome, Request
from gypsumplank.protocol.spec import ServiceSpec


def all_kinds(base):
    return {kind for sub in base.__subclasses__() for kind in {sub, *all_kinds(sub)}}


def test_every_endpoint_error_has_a_verdict():
    assert all_kinds(errors.EndpointError) <= set(VERDICTS)


def test_what_may_have_run_is_never_retried_for_all():
    assert not any(v.retry_any for v in VERDICTS.values() if v.outcome is Outcome.UNKNOWN)


def test_unlisted_failure_may_have_run():
    assert verdict_of(ZeroDivisionError()).outcome is Outcome.UNKNOWN


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


def test_refusal_of_invalid_request_invites_no_retry():
    refusal = refusal_of(errors.RequestInvalidError("bad"))
    assert (refusal.status, refusal.outcome, refusal.retry_after_s) == (400, Outcome.NOT_RUN, 0)
