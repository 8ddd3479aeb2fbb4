import pytest

from gypsumplank import porcelain
from gypsumplank.errors import RecordsError, ServerError
from gypsumplank.porcelain import Server, read_records
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeOrder, ChangeReceipt

ORDER = ChangeOrder("op-1")


@pytest.fixture
def calls(monkeypatch):
    """Answer calls from a script and keep the operations that were sent."""
    sent, script = [], []

    def call(_self, _method, _path, _kind, body=None):
        sent.append(body.operation)
        answer = script.pop(0)
        if isinstance(answer, ServerError):
            raise answer
        return answer

    monkeypatch.setattr(Server, "call", call)
    monkeypatch.setattr(porcelain.time, "sleep", lambda _s: None)
    return sent, script


@pytest.mark.parametrize("code", ["state-unavailable", "state-unknown"])
def test_change_is_sent_again_under_the_same_operation(calls, code):
    sent, script = calls
    script += [ServerError(code, ""), ServerError(code, ""), ChangeReceipt(4)]
    assert Server("a").change(PATH_CHANGES, ORDER) == ChangeReceipt(4)
    assert sent == ["op-1"] * 3


def test_refused_change_is_not_sent_again(calls):
    sent, script = calls
    script += [ServerError("revision-conflict", "")]
    with pytest.raises(ServerError):
        Server("a").change(PATH_CHANGES, ORDER)
    assert len(sent) == 1


def test_retries_end(calls, monkeypatch):
    sent, script = calls
    monkeypatch.setattr(porcelain, "RETRY_S", 0.0)
    script += [ServerError("state-unknown", "")]
    with pytest.raises(ServerError):
        Server("a").change(PATH_CHANGES, ORDER)
    assert len(sent) == 1


def test_faults_of_all_files_are_listed(tmp_path):
    (tmp_path / "a.json").write_text('[{"kind": "pool", "schema": 1}]')
    (tmp_path / "b.json").write_text("{")
    with pytest.raises(RecordsError) as caught:
        read_records([tmp_path])
    assert [fault.code for fault in caught.value.faults] == ["record-malformed", "unreadable"]
    assert [fault.source[-6:] for fault in caught.value.faults] == ["a.json", "b.json"]
