"""How soon all entries avoid an upstream that one found dead."""

import asyncio

import pytest

from fuchsiabarrow.platform.tests import configuration_days

CHOICE_S = 4.0
SAMPLE_S = 0.01


# The instances that most paths share died together: each of 195 entries found
# that out by a request of its own, which cost the retries of all of them.
@pytest.mark.parametrize("entries", [9, 76])
def test_failures_confirmed_by_an_upstream_are_known_to_all_entries_soon(
    entries,
):
    delays_s = []

    async def script(deployment):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(CHOICE_S)
        names = sorted(deployment.entries)
        directories = {
            name: deployment.entries[name].kernel.get("directory")
            for name in names
        }
        for number, finder in enumerate((names[0], names[-1], names[-2])):
            # An instant in the middle of the periods of the reports.
            await asyncio.sleep(0.137 * (number + 1))
            dead = directories[finder].get(f"i-{number}")
            directories[finder].record_failure(dead, is_shared=True)
            found_s = loop.time()
            left = set(names)
            while left:
                left = {n for n in left if not directories[n].is_avoided(dead)}
                await asyncio.sleep(SAMPLE_S)
            delays_s.append(loop.time() - found_s)

    configuration_days.play(script, entries)
    assert max(delays_s) <= 0.2
