"""Test that the generated reference pages match the code."""

import subprocess
import sys

from demo.cluster import ROOT
from gypsumplank.log import Event
from reference.advice import ADVICE
from reference.block import replace_block
from reference.events import event_fields


def test_pages_are_up_to_date():
    result = subprocess.run(
        [sys.executable, "-m", "reference", "--check"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert (result.stdout, result.returncode) == (
        "",
        0,
    ), f"run `make docs`: {result.stdout}{result.stderr}"


def test_every_event_has_description():
    assert [event.value for event in Event if not event.doc] == []


def test_event_fields_are_collected_from_calls():
    assert event_fields()["STATE_UNAVAILABLE"] == ("code", "step")


def test_advice_refers_to_existing_codes():
    page = (ROOT / "docs" / "operators" / "troubleshooting.md").read_text()
    assert [code for code in ADVICE if f"| `{code}` |" not in page] == []


def test_replace_block_writes_new_rows():
    page = "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
    replaced = replace_block(page, "x", [{"k": "1|2"}])
    assert replaced == "a\n<!-- begin x -->\n| k |\n| --- |\n| 1\\|2 |\n<!-- end x -->\nb\n"
