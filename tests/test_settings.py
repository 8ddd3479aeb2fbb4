"""Test parsing and validation of the daemon's settings."""

import pytest

from gypsumplank import daemon
from gypsumplank.errors import SettingsError
from gypsumplank.settings import load_settings, parse_settings

VALID_SETTINGS = {
    "daemon": {"id": "entry-0", "zone": "kochi-a"},
    "listen": {
        "callers": "127.0.0.1:8080",
        "operators": "127.0.0.1:8081",
        "peers": "127.0.0.1:8082",
    },
    "platform": {"address": "127.0.0.1:7000"},
    "security": {"peer_key": "sixteen-letters!"},
}


def settings_with(path, value):
    section, name = path.split(".")
    return {**VALID_SETTINGS, section: {**VALID_SETTINGS.get(section, {}), name: value}}


def test_defaults():
    cfg = parse_settings(VALID_SETTINGS)
    assert cfg.id == "entry-0"
    assert cfg.lease_s == 5.0


@pytest.mark.parametrize(
    ("path", "value", "code"),
    [
        ("daemon.colour", "red", "key-unknown"),
        ("limits.threads", "many", "value-invalid"),
        ("limits.threads", 0, "value-invalid"),
        ("listen.callers", "example.org:80", "value-invalid"),
        ("listen.callers", "127.0.0.1", "value-invalid"),
        ("listen.callers", "127.0.0.1:70000", "value-invalid"),
        ("log.format", "xml", "value-invalid"),
        ("daemon.id", "", "value-invalid"),
        ("security.peer_key", "", "value-invalid"),
        ("security.peer_key", "fifteen-letters", "value-invalid"),
        ("peers.seeds", ["127.0.0.1:1", "127.0.0.1"], "value-invalid"),
        ("security.tokens", [{"name": "a", "role": "root", "sha256": "0" * 64}], "value-invalid"),
    ],
)
def test_fault_names_path(path, value, code):
    with pytest.raises(SettingsError) as exc_info:
        parse_settings(settings_with(path, value))
    assert [(fault.path, fault.code) for fault in exc_info.value.faults] == [(path, code)]


def test_every_missing_key_listed():
    with pytest.raises(SettingsError) as exc_info:
        parse_settings({})
    assert {fault.code for fault in exc_info.value.faults} == {"key-missing"}
    assert len(exc_info.value.faults) == 7


def test_comments_allowed(tmp_path):
    path = tmp_path / "d.json"
    path.write_text(
        '{// one\n"daemon": {"id": "a", "zone": "z"}, /* two */ "listen": '
        '{"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},'
        '"platform": {"address": "127.0.0.1:4"}, "security": {"peer_key": "sixteen-letters!"}}'
    )
    assert load_settings(path).zone == "z"


def test_check_prints_one_line_per_fault(tmp_path, capsys):
    path = tmp_path / "d.json"
    path.write_text('{"daemon": {"id": 5}}')
    assert daemon.main(["--check", "--settings", str(path)]) == daemon.EXIT_SETTINGS
    lines = capsys.readouterr().err.splitlines()
    assert any("daemon.id" in line and "value-invalid" in line for line in lines)
    assert len(lines) == 7
