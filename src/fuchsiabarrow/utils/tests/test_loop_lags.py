import asyncio
import math
import time

from fuchsiabarrow.utils import loop_lags


def test_blocked_loop_is_found_late_and_an_idle_one_is_not():
    """Guards against gaps that this entry caused being blamed on engines."""

    async def run():
        meter = loop_lags.LoopLagMeter()
        with meter:
            time.sleep(0.2)
            await asyncio.sleep(0.1)
        late_s, left_s = meter.late_s, asyncio.get_running_loop().time()
        time.sleep(0.2)
        await asyncio.sleep(0.1)
        return late_s, left_s, meter.late_s

    late_s, left_s, last_s = asyncio.run(run())
    assert -math.inf < late_s < left_s
    assert last_s == late_s


def test_meter_runs_until_its_last_user_leaves():
    """Guards against a timer that stops with the first stream or never."""

    async def run():
        meter = loop_lags.LoopLagMeter()
        with meter:
            with meter:
                pass
            time.sleep(0.2)
            await asyncio.sleep(0.1)
        await asyncio.sleep(0)
        return meter

    meter = asyncio.run(run())
    assert meter.late_s > -math.inf
    assert meter._timer is None
