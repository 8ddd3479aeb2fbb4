from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.schema import V1_PATHS, downgrade, merge, upgrade
from gypsumplank.protocol.spec import SPEC_TYPES, decode_spec, unknown_fields

values = st.one_of(st.integers(0, 9), st.booleans(), st.text(max_size=3), st.none())
extras = st.dictionaries(st.from_regex("x_[a-z]{1,3}", fullmatch=True), values, max_size=3)
kinds = st.sampled_from(sorted(V1_PATHS))


@st.composite
def newest_records(draw, kind):
    """Generate any record of the newest schema, with fields that no version knows."""
    spec = draw(extras)
    names = {name for name in SPEC_TYPES[kind].__dataclass_fields__ if name != "budget"}
    spec |= draw(st.dictionaries(st.sampled_from(sorted(names)), values))
    if kind is Kind.POOL and draw(st.booleans()):
        limits = st.sampled_from(["min_in_service", "min_share", "max_out_per_rack", "x_new"])
        spec["budget"] = draw(st.dictionaries(limits, values))
    return Record(kind, "n", 2, spec)


@st.composite
def version_1_records(draw, kind):
    """Generate any record of schema version 1, with fields that it does not know."""
    spec = draw(st.dictionaries(st.sampled_from(sorted(V1_PATHS[kind])), values))
    return Record(kind, "n", 1, draw(extras) | spec)


@given(st.data(), kinds)
def test_unmodified_write_in_version_1_changes_nothing(data, kind):
    current = data.draw(newest_records(kind))
    assert merge(current, downgrade(current)) == current


@given(st.data(), kinds)
def test_edit_in_version_1_is_applied_and_other_fields_are_kept(data, kind):
    current, edit = data.draw(newest_records(kind)), data.draw(version_1_records(kind))
    merged = merge(current, edit)
    assert merged.schema == 2
    known = set(V1_PATHS[kind])
    assert downgrade(merged).spec == {k: v for k, v in edit.spec.items() if k in known}
    for name, value in current.spec.items():
        if name not in known and name not in edit.spec and name != "budget":
            assert merged.spec[name] == value
    for name, value in current.spec.get("budget", {}).items():
        if name != "min_in_service":
            assert merged.spec["budget"][name] == value


@given(st.data(), kinds)
def test_upgrade_and_downgrade_keep_all_version_1_fields(data, kind):
    old = data.draw(version_1_records(kind))
    known = set(V1_PATHS[kind])
    seen = downgrade(upgrade(old))
    assert seen.spec == {name: value for name, value in old.spec.items() if name in known}
    assert set(old.spec) - known <= set(upgrade(old).spec)
    assert upgrade(upgrade(old)) == upgrade(old)


def test_merge_does_not_modify_its_arguments():
    current = Record(Kind.POOL, "n", 2, {"budget": {"min_in_service": 1, "max_out_per_rack": 1}})
    kept = replace(current, spec={"budget": dict(current.spec["budget"])})
    merged = merge(current, Record(Kind.POOL, "n", 1, {"min_in_service": 5}))
    assert current == kept
    assert merged.spec["budget"] == {"min_in_service": 5, "max_out_per_rack": 1}


def test_write_of_the_newest_schema_replaces_the_record():
    current = Record(Kind.POOL, "n", 2, {"budget": {"max_out_per_rack": 1}})
    assert merge(current, Record(Kind.POOL, "n", 2)) == Record(Kind.POOL, "n", 2)
    assert merge(None, Record(Kind.POOL, "n", 1)) == Record(Kind.POOL, "n", 1)


@pytest.mark.parametrize("schema", [1, 2])
def test_both_schema_versions_decode_to_the_same_spec(schema):
    spec = {"min_in_service": 2} if schema == 1 else {"budget": {"min_in_service": 2}}
    assert decode_spec(Record(Kind.POOL, "n", schema, spec)).budget.min_in_service == 2


def test_unknown_fields_are_listed():
    spec = {"min_in_service": 2, "colour": "red"}
    assert unknown_fields(Record(Kind.POOL, "n", 1, spec)) == ("colour",)
