"""Engines that are silent for a second and go on."""

import asyncio

import pytest

from fuchsiabarrow.streams.tests import test_failures

SILENCE_S = 1.0


@pytest.mark.parametrize("layer", [0, 5, 11])
def test_answer_outlives_a_silent_engine_if_no_retry_is_left(layer):
    # The attempt was given up after 0.4 s, before it was known that there
    # was no retry for another one.
    async def silence(cluster, entry):
        entry.kernel.get("streams").budget.set_limits(0.0, 0.0)
        await test_failures.wait_for_positions(cluster, 600)
        engine = test_failures.find_busiest(cluster, layer)
        engine.faults.delay_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        engine.faults.delay_s = 0.0

    test_failures.run_streams(silence)
