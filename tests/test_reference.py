"""Hold the reference pages to the code that they describe."""

import subprocess
import sys

from demo.cluster import ROOT
from gypsumplank.log import Event
from reference.advice import ADVICE
from reference.block import replace_block
from reference.events import event_fields


def test_pages_are_up_to_date():
    done = subprocess.run(
        [sys.executable, "-m", "reference", "--check"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert (done.stdout, done.returncode) == ("", 0), f"run `make docs`: {done.stdout}{done.stderr}"


def test_every_event_tells_what_it_means():
    assert [event.value for event in Event if not event.doc] == []


def test_fields_are_found_in_the_code():
    assert event_fields()["STATE_UNAVAILABLE"] == ("code", "step")


def test_advice_is_on_codes_that_exist():
    page = (ROOT / "docs" / "operators" / "troubleshooting.md").read_text()
    assert [code for code in ADVICE if f"| `{code}` |" not in page] == []


def test_other_row_changes_the_block():
    page = "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
    made = replace_block(page, "x", [{"k": "1|2"}])
    assert made == "a\n<!-- begin x -->\n| k |\n| --- |\n| 1\\|2 |\n<!-- end x -->\nb\n"
