import json

import pytest

from gypsumplank.errors import SettingsError
from gypsumplank.platform.settings import load_platform_settings
from tests.malformed import BAD_NUMBERS, MALFORMED_JSON, with_fields

SETTINGS = {
    "node": "frontend-a-1",
    "ip": "10.1.0.9",
    "zone": "a",
    "listen": {"front": "10.1.0.9:8624", "ready": "10.1.0.9:8622"},
    "limits": {"max-fds": 4100},
    "bounds": {"max-hold-ms": 6000, "lease-ms": 3000, "grace-s": 6},
    "platform": {"address": "10.200.1.7:8621"},
    "cloud": {"address": "10.200.0.107:8621"},
    "heartbeat-ms": 1500,
    "new-field": 1,
}


def write_settings(tmp_path, value):
    path = tmp_path / "local.json"
    raw = value if isinstance(value, str | bytes) else json.dumps(value)
    path.write_bytes(raw.encode() if isinstance(raw, str) else raw)
    return path


def test_settings_file_is_decoded(tmp_path):
    settings = load_platform_settings(write_settings(tmp_path, SETTINGS))
    assert (settings.daemon, settings.caller_address, settings.store_address) == (
        "frontend-a-1",
        "10.1.0.9:8624",
        "10.200.1.7:8621",
    )
    assert (settings.max_lease_s, settings.lease_handover_s, settings.heartbeat_s) == (
        6.0,
        3.0,
        1.5,
    )


def test_time_for_which_states_are_shown_is_read_and_has_a_default(tmp_path):
    assert load_platform_settings(write_settings(tmp_path, SETTINGS)).status_s == 120.0
    bounds = {**SETTINGS["bounds"], "status_s": 300}
    settings = load_platform_settings(write_settings(tmp_path, {**SETTINGS, "bounds": bounds}))
    assert settings.status_s == 300.0


def test_row_limit_is_read_and_has_a_default(tmp_path):
    assert load_platform_settings(write_settings(tmp_path, SETTINGS)).max_row_bytes == 65_536
    platform = {**SETTINGS["platform"], "row-bytes": 32_768}
    settings = load_platform_settings(write_settings(tmp_path, {**SETTINGS, "platform": platform}))
    assert settings.max_row_bytes == 32_768


@pytest.mark.parametrize(
    "invalid",
    [
        "{",
        {key: value for key, value in SETTINGS.items() if key != "node"},
        {**SETTINGS, "platform": {"address": "store:80"}},
        {**SETTINGS, "bounds": {"max-hold-ms": 0}},
        {**SETTINGS, "platform": {**SETTINGS["platform"], "row-bytes": 0}},
        {**SETTINGS, "listen": {"front": "10.1.0.9:99999", "ready": "10.1.0.9:8622"}},
        {**SETTINGS, "ip": "10.1.0.999"},
        {**SETTINGS, "port-range": [70_000, 70_001]},
        {**SETTINGS, "port-range": [0, 1]},
        {**SETTINGS, "cloud": {"address": "10.200.0.107"}},
        {**SETTINGS, "cloud": {"address": "10.200.0.107:0"}},
        {**SETTINGS, "hint": "10.200.0.107:99999"},
        {**SETTINGS, "node": "a\nb"},
        {**SETTINGS, "node": ""},
        {**SETTINGS, "limits": {"max-fds": 0}},
        {**SETTINGS, "limits": {"max-fds": 10**4000}},
        {**SETTINGS, "heartbeat-ms": 1e308},
        *MALFORMED_JSON.values(),
        *(with_fields(SETTINGS, heartbeat__ms=raw) for raw in BAD_NUMBERS),
        with_fields(SETTINGS, new__field=b"[" * 2_000 + b"]" * 2_000),
    ],
    ids=lambda value: repr(value)[:40],
)
def test_invalid_settings_file_is_rejected(tmp_path, invalid):
    with pytest.raises(SettingsError):
        load_platform_settings(write_settings(tmp_path, invalid))


def test_missing_settings_file_is_rejected(tmp_path):
    with pytest.raises(SettingsError):
        load_platform_settings(tmp_path / "none")


def test_limits_of_accounts_keys_and_memory_are_read_and_have_defaults(tmp_path):
    plain = load_platform_settings(write_settings(tmp_path, SETTINGS))
    assert not plain.strict_revoke
    assert (plain.store_writes_per_s, plain.partition_writes_per_s) == (None, None)
    bounds = {"strict-revoke": True, "revoke-ms": 5000, "config-apply-ms": 3000}
    platform = {**SETTINGS["platform"], "writes-per-s": 1200, "partition-writes-s": 200}
    full = {
        **SETTINGS,
        "bounds": {**bounds, "quota-overage": 0.1},
        "limits": {"memory-mb": 200},
        "platform": platform,
    }
    settings = load_platform_settings(write_settings(tmp_path, full))
    assert (settings.strict_revoke, settings.revoke_s) == (True, 5.0)
    assert (settings.config_apply_s, settings.quota_overage) == (3.0, 0.1)
    assert settings.memory_bytes == 200 << 20
    assert (settings.store_writes_per_s, settings.partition_writes_per_s) == (1200, 200)
