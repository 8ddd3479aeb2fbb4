"""Check that names from the platform's API are used only in its adapter."""

import re
from pathlib import Path

import pytest

import gypsumplank

ROOT = Path(gypsumplank.__file__).parent
ADAPTER = ROOT / "platform"
# Names that only the platform uses; common terms of the field are left out.
PLATFORM_NAMES = re.compile(
    r"(rows-(tx|get|feed|parts)|run-(start|stop)|ack-cursor|fencing-token|machine-(move|upkeep)"
    r"|expected-rev|X-Gypsumplank-|GYPSUMPLANK_BOOT|enforces.capacity|max.per.server|pending-count"
    r"|start-at-ms|may-miss|mem-mb)"
)
MODULES = sorted(path for path in ROOT.rglob("*.py") if ADAPTER not in path.parents)


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_platform_name_stays_in_the_adapter(path):
    names = {match.group(0) for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))}
    assert not names


def test_adapter_does_not_import_decision_logic():
    """Check that the adapter does not import gypsumplank.coordination, which makes decisions."""
    for path in ADAPTER.glob("*.py"):
        assert "gypsumplank.coordination" not in path.read_text(encoding="utf-8")
