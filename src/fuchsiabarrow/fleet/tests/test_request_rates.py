import pytest

from fuchsiabarrow.fleet import request_rates


def test_rate_follows_a_burst_and_its_end():
    now_s = 0.0
    meter = request_rates.RateMeter(lambda: now_s)
    assert meter.get_per_s() == 0.0
    for step in range(400):
        now_s = step * 0.05
        meter.add()
    assert meter.get_per_s() == pytest.approx(20.0, rel=0.05)
    now_s += 10.0
    assert meter.get_per_s() < 0.5
