"""Test the check of a manifest: its rules, the comparison, and the command without a network."""

import json

import msgspec
import pytest

from gypsumplank import cli
from gypsumplank.composition.manifestsource import ManifestSource
from gypsumplank.coordination.job.manifestcheck import Severity, check_manifest
from gypsumplank.coordination.job.manifestdiff import compare_manifests
from gypsumplank.errors import RecordsError
from gypsumplank.platform.manifestdraft import decode_draft
from gypsumplank.platform.settings import ENV_SETTINGS_PATH
from gypsumplank.platform.table import RowTable
from gypsumplank.protocol.account import hash_key
from gypsumplank.state.table import Row
from standins.users_platform import MANIFEST
from tests.malformed import MALFORMED_JSON

ROUTE = MANIFEST["routes"][0]
TENANT = {
    "name": "a",
    "api-keys": ["sesame-1"],
    "priority": 0,
    "weight": 2,
    "cap": {"cpu": 4000, "mem-mb": 0, "gpu": 0},
}
VALID = {**MANIFEST, "version": 7, "tenants": [TENANT]}


def draft(**changes):
    return decode_draft(msgspec.json.encode({**VALID, **changes}))


def found(**changes):
    return {
        (each.code, each.path): each.severity for each in check_manifest(draft(**changes), None)
    }


def routes(*changes):
    return {
        "routes": [{**ROUTE, "name": f"r-{number}", **each} for number, each in enumerate(changes)]
    }


def tenants(*changes):
    return {"tenants": [{**TENANT, **each} for each in changes]}


def test_valid_manifest_has_no_findings():
    assert found() == {}


ERRORS = [
    ({"version": "7"}, "value-invalid", "version"),
    ({"routes": {}}, "value-invalid", "routes"),
    (routes({}, {"prefix": 7}), "value-invalid", "routes[1].prefix"),
    (tenants({"cap": {"cpu": -1}}), "value-invalid", "tenants[0].cap.cpu"),
    (routes({"name": "x"}, {"name": "x", "host": "h"}), "name-repeated", "routes[1].name"),
    ({"services": [{"name": "desk"}] * 2}, "name-repeated", "services[1].name"),
    (tenants({}, {"api-keys": ["other"]}), "name-repeated", "tenants[1].name"),
    ({"services": []}, "service-unlisted", "routes[0].service"),
    (routes({}, {}), "route-unreachable", "routes[1].prefix"),
    (routes({"prefix": ""}, {"prefix": "/"}), "route-unreachable", "routes[0].prefix"),
    (routes({"prefix": "proofs/"}), "route-unreachable", "routes[0].prefix"),
    (routes({"host": "desk.example:80"}), "route-unreachable", "routes[0].host"),
    (routes({"max-attempts": 0}), "value-contradictory", "routes[0].max-attempts"),
    (routes({"stretch": -1}), "value-contradictory", "routes[0].stretch"),
    (routes({"slo-ms": -0.5}), "value-contradictory", "routes[0].slo-ms"),
    (
        {"services": [{"name": "desk", "standby": True}]},
        "service-standby",
        "routes[0].service",
    ),
    (tenants({}, {"name": "b"}), "key-shared", "tenants[1].api-keys"),
    (tenants({"api-keys": [""]}), "key-empty", "tenants[0].api-keys"),
    (
        {"limits": {"max-header-bytes": 300000}},
        "value-contradictory",
        "limits.max-header-bytes",
    ),
    ({"limits": {"idle-timeout-ms": 0}}, "value-contradictory", "limits.idle-timeout-ms"),
]
WARNINGS = [
    ({"extra": 1}, "field-unknown", "extra"),
    (tenants({"cap": {"cpus": 1}}), "field-unknown", "tenants[0].cap.cpus"),
    (routes({"hint": {"x": 1}}), "field-unknown", "routes[0].hint.x"),
    (routes({"prefix": "/a"}, {"prefix": "/a/"}), "route-shadowed", "routes[0].prefix"),
    ({"tenants": []}, "accounts-empty", "tenants"),
    (routes({"public": True}), "routes-all-public", "routes"),
    (tenants({"api-keys": []}), "account-without-keys", "tenants[0].api-keys"),
    (tenants({"weight": 0}), "weight-zero", "tenants[0].weight"),
    (tenants({"weight": 0.5, "cap": {"cpu": 999}}), "cap-below-task", "tenants[0].cap.cpu"),
    (tenants({"weight": 4.5}), "cap-below-weight", "tenants[0].cap.cpu"),
    (
        {"services": [{"name": name, "standby": name != "desk"} for name in ("desk", "x", "y")]},
        "standby-repeated",
        "services[2].standby",
    ),
    (
        {"limits": {"header-timeout-ms": 9, "idle-timeout-ms": 8}},
        "value-contradictory",
        "limits.header-timeout-ms",
    ),
]


@pytest.mark.parametrize(("changes", "code", "path"), ERRORS)
def test_error_is_the_only_finding(changes, code, path):
    assert found(**changes) == {(code, path): Severity.ERROR}


@pytest.mark.parametrize(("changes", "code", "path"), WARNINGS)
def test_warning_is_the_only_finding(changes, code, path):
    assert found(**changes) == {(code, path): Severity.WARNING}


def test_faulty_entries_cause_no_further_findings():
    assert set(found(services=[{"name": 1}])) == {("value-invalid", "services[0].name")}
    assert set(found(**routes({"public": True}, {"public": 1}))) == {
        ("value-invalid", "routes[1].public")
    }


def test_all_faults_are_listed():
    """A decoder that stops at the first fault would hide the others until the next attempt."""
    paths = [path for _, path in found(version=None, **routes({"host": 1}, {"stretch": "1"}))]
    assert paths == ["version", "routes[0].host", "routes[1].stretch"]


@pytest.mark.parametrize(("version", "codes"), [(6, []), (7, ["version-not-above"])])
def test_version_has_to_increase(version, codes):
    findings = check_manifest(draft(), draft(version=version))
    assert [finding.code for finding in findings] == codes


def test_comparison_lists_fields_and_counts_keys():
    changed = {**TENANT, "api-keys": ["sesame-2", "sesame-3"], "cap": {"cpu": 5000}}
    after = draft(
        version=8,
        routes=[{**ROUTE, "slo-ms": 700}],
        services=[],
        tenants=[changed],
        limits={"max-body-bytes": 9},
    )
    changes = compare_manifests(draft(), after)
    assert [(each.record, each.field, each.before, each.after) for each in changes] == [
        ("manifest", "version", 7, 8),
        ("manifest", "limits.max-body-bytes", "-", 9),
        ("route/r-1", "slo-ms", 600.0, 700.0),
        ("service/desk", "name", "desk", "-"),
        ("service/desk", "enforces-capacity", True, "-"),
        ("service/desk", "standby", False, "-"),
        ("account/a", "cap.cpu", 4000, 5000),
        ("account/a", "api-keys", 1, "2 (2 added, 1 removed)"),
    ]
    assert compare_manifests(draft(), draft()) == ()
    # Without a list of accounts no call needs a key, which the removed accounts do not show.
    first, *_ = compare_manifests(draft(), draft(tenants=None))
    assert (first.field, first.before, first.after) == ("has-accounts", True, False)


@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_document_is_a_fault_of_its_file(tmp_path, raw):
    path = tmp_path / "m.json"
    path.write_bytes(raw)
    assert cli.main(["config", "check", str(path)]) == cli.EXIT_INVALID


def write(path, **changes):
    path.write_bytes(msgspec.json.encode({**VALID, **changes}))
    return str(path)


def test_command_prints_findings_and_exit_code(tmp_path, capsys):
    old, new = write(tmp_path / "old"), write(tmp_path / "new", version=8, extra=1)
    assert cli.main(["config", "check", new, "--against", old]) == cli.EXIT_OK
    out, err = capsys.readouterr()
    assert "manifest  version" in out
    assert "warning: " in err
    assert "[field-unknown]" in err
    assert cli.main(["--output", "json", "config", "check", old, "--against", old]) == (
        cli.EXIT_INVALID
    )
    out, err = capsys.readouterr()
    assert [each["code"] for each in json.loads(out)["findings"]] == ["version-not-above"]
    assert "[version-not-above]" in err
    assert cli.main(["config", "check", str(tmp_path / "none")]) == cli.EXIT_INVALID


def test_keys_and_digests_are_not_printed(tmp_path, capsys):
    """A check is run on shared machines, and its output ends up in tickets and logs."""
    shared = [{**TENANT, "name": name, "weight": 0} for name in ("a", "b")]
    malformed = {**TENANT, "name": "c", "api-keys": ["sesame-4", 5]}
    unknown = {**TENANT, "name": "d", "keys": ["sesame-5"]}
    new = write(tmp_path / "new", version=8, tenants=[*shared, malformed, unknown])
    old = write(tmp_path / "old", tenants=[{**TENANT, "api-keys": ["sesame-6"]}])
    for options in ((), ("--output", "json")):
        command = [*options, "config", "check", new, "--against", old]
        assert cli.main(command) == cli.EXIT_INVALID
        printed = "".join(capsys.readouterr())
        assert "accounts a and b" in printed
        assert "sesame" not in printed
        assert hash_key("sesame-1").hex() not in printed


def test_faulty_version_in_force_is_not_compared(tmp_path, capsys):
    old, new = write(tmp_path / "old", routes=7), write(tmp_path / "new")
    assert cli.main(["config", "check", new, "--against", old]) == cli.EXIT_INVALID
    assert "old: routes: expected a list" in capsys.readouterr().err


def test_version_number_is_read_from_the_store(tmp_path, monkeypatch):
    settings = {
        "node": "n",
        "ip": "127.0.0.1",
        "zone": "z",
        "listen": {"front": "127.0.0.1:7000", "ready": "127.0.0.1:7001"},
        "platform": {"address": "127.0.0.1:1"},
    }
    (tmp_path / "boot.json").write_bytes(msgspec.json.encode(settings))
    monkeypatch.setenv(ENV_SETTINGS_PATH, str(tmp_path / "boot.json"))
    row = Row("op", "config", 3, msgspec.json.encode(VALID))
    monkeypatch.setattr(RowTable, "get", lambda self, table, key: row)
    assert ManifestSource().read_version(7).version == 7
    with pytest.raises(RecordsError, match="has version 7, not 6"):
        ManifestSource().read_version(6)
    new = write(tmp_path / "new", version=8)
    assert cli.main(["config", "check", new, "--against", "7"]) == cli.EXIT_OK
    row = None
    assert cli.main(["config", "check", new, "--against", "7"]) == cli.EXIT_INVALID
