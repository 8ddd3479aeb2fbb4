"""Test retries of changes and the reading of record files."""

import pytest

from gypsumplank import porcelain
from gypsumplank.errors import RecordsError, ServerError
from gypsumplank.porcelain import OperatorClient, read_records
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeReceipt, ChangeRequest

ORDER = ChangeRequest("op-1")


@pytest.fixture
def scripted_calls(monkeypatch):
    """Stub `Server.call`: return scripted responses and record the operation ids sent."""
    sent_operations, script = [], []

    def call(_self, _method, _path, _kind, body=None):
        sent_operations.append(body.operation)
        response = script.pop(0)
        if isinstance(response, ServerError):
            raise response
        return response

    monkeypatch.setattr(OperatorClient, "call", call)
    monkeypatch.setattr(porcelain.time, "sleep", lambda _s: None)
    return sent_operations, script


@pytest.mark.parametrize("code", ["state-unavailable", "state-unknown"])
def test_change_is_retried_with_same_operation_id(scripted_calls, code):
    sent_operations, script = scripted_calls
    script += [ServerError(code, ""), ServerError(code, ""), ChangeReceipt(4)]
    assert OperatorClient("a").submit_change(PATH_CHANGES, ORDER) == ChangeReceipt(4)
    assert sent_operations == ["op-1"] * 3


def test_rejected_change_is_not_retried(scripted_calls):
    sent_operations, script = scripted_calls
    script += [ServerError("revision-conflict", "")]
    with pytest.raises(ServerError):
        OperatorClient("a").submit_change(PATH_CHANGES, ORDER)
    assert len(sent_operations) == 1


def test_retries_stop_after_timeout(scripted_calls, monkeypatch):
    sent_operations, script = scripted_calls
    monkeypatch.setattr(porcelain, "RETRY_TIMEOUT_S", 0.0)
    script += [ServerError("state-unknown", "")]
    with pytest.raises(ServerError):
        OperatorClient("a").submit_change(PATH_CHANGES, ORDER)
    assert len(sent_operations) == 1


def test_faults_of_all_files_are_listed(tmp_path):
    (tmp_path / "a.json").write_text('[{"kind": "pool", "schema": 1}]')
    (tmp_path / "b.json").write_text("{")
    with pytest.raises(RecordsError) as caught:
        read_records([tmp_path])
    assert [fault.code for fault in caught.value.faults] == ["record-malformed", "unreadable"]
    assert [fault.source[-6:] for fault in caught.value.faults] == ["a.json", "b.json"]
