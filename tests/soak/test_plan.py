from soak.plan import FaultKind, Trace, draw_trace, load_trace, save_trace, smaller


def test_same_seed_same_schedule():
    assert draw_trace(7, 30) == draw_trace(7, 30)
    assert draw_trace(7, 30) != draw_trace(8, 30)


def test_every_kind_alone_then_pairs():
    phases = draw_trace(3, len(FaultKind) + 5).phases
    alone, pairs = phases[: len(FaultKind)], phases[len(FaultKind) :]
    assert {phase.faults[0].kind for phase in alone} == set(FaultKind)
    assert all(len({fault.kind for fault in phase.faults}) == 2 for phase in pairs)


def test_trace_is_kept_and_read_back(tmp_path):
    trace = draw_trace(7, 4)
    save_trace(trace, tmp_path / "t.json")
    assert load_trace(tmp_path / "t.json") == trace


def test_smaller_traces_keep_order_and_end():
    trace = draw_trace(7, 4)
    found = list(smaller(trace))
    assert found[0].phases == trace.phases[:2]
    assert all(len(one.phases) < 4 for one in found)
    assert list(smaller(Trace(7, trace.phases[:1]))) == []
