from fuchsiabarrow.telemetry import metrics


def test_series_by_rank_are_bounded_however_many_ranks_there_are():
    # Guards against an entry whose memory grows with the operators' ranks.
    found = metrics.ForwardingMetrics()
    for rank in (*range(-3, 400), 10**9):
        found.count_scheduling(rank, "wait")
        found.observe_first_event(rank, 0.3)
    lines = found.encode().decode().splitlines()
    counters = [
        line
        for line in lines
        if line.startswith("fuchsiabarrow_scheduling_tot")
    ]
    assert len(counters) == 10
    last = 'fuchsiabarrow_scheduling_total{outcome="wait",rank="9"} 392.0'
    assert last in counters
    name = "fuchsiabarrow_first_event_by_rank_seconds_count"
    counts = [line for line in lines if line.startswith(name)]
    assert len(counts) == 10
    assert f'{name}{{rank="0"}} 4.0' in counts
