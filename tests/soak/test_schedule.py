from soak.schedule import (
    FaultKind,
    Trace,
    generate_trace,
    load_trace,
    save_trace,
    shrink_candidates,
)


def test_same_seed_generates_the_same_schedule():
    assert generate_trace(7, 30) == generate_trace(7, 30)
    assert generate_trace(7, 30) != generate_trace(8, 30)


def test_each_kind_alone_then_pairs():
    phases = generate_trace(3, len(FaultKind) + 5).phases
    alone, pairs = phases[: len(FaultKind)], phases[len(FaultKind) :]
    assert {phase.faults[0].kind for phase in alone} == set(FaultKind)
    assert all(len({fault.kind for fault in phase.faults}) == 2 for phase in pairs)


def test_saved_trace_is_loaded_unchanged(tmp_path):
    trace = generate_trace(7, 4)
    save_trace(trace, tmp_path / "t.json")
    assert load_trace(tmp_path / "t.json") == trace


def test_shrink_candidates_are_smaller_and_stop_at_one_phase():
    trace = generate_trace(7, 4)
    found = list(shrink_candidates(trace))
    assert found[0].phases == trace.phases[:2]
    assert all(len(candidate.phases) < 4 for candidate in found)
    assert list(shrink_candidates(Trace(7, trace.phases[:1]))) == []
