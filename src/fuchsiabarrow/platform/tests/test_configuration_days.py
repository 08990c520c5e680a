"""Times from the commit of a configuration until all entries have it."""

import asyncio

import pytest

from fuchsiabarrow.platform.tests import configuration_days

# As big as the requirements allow for, on the smallest links: the transfer of
# one version takes 0.28 s.
BIG = {"filler_routes": 1450, "link_mbps": 10.0}


# Guards against the incident CONFIG: once the answer to a watch took longer
# than its time limit, entries asked for the same and more again, in vain.
def test_big_configuration_that_keeps_changing_is_adopted_after_an_outage():
    async def script(deployment):
        outage = asyncio.create_task(deployment.disturb_store(4.0, status=503))
        await deployment.change_repeatedly(16, 0.6)
        await outage

    result = configuration_days.play(script, 9, **BIG)
    assert result.violations == []


# Asking for all changes since the last answer took longer each time, as more
# versions were committed meanwhile than the link could transfer.
@pytest.mark.parametrize("entries", [9, 76])
def test_versions_that_follow_faster_than_links_carry_them_are_adopted(entries):
    async def script(deployment):
        await deployment.change_repeatedly(40, 0.2)

    result = configuration_days.play(script, entries, **BIG)
    assert result.violations == []


# After an outage all entries asked the first one that had the configuration
# again for its copy. Its own requests to the store waited behind them.
def test_entry_that_holds_a_copy_first_is_not_overloaded():
    async def script(deployment):
        outage = asyncio.create_task(deployment.disturb_store(4.0, status=503))
        await deployment.change_repeatedly(16, 0.6)
        await outage

    result = configuration_days.play(script, 76, **BIG)
    assert result.violations == []


# Connections that died silently were noticed after 2.2 s in all deployments, so
# that the time until the next answer added up to more than the bound.
@pytest.mark.parametrize("filler_routes", [50, 1450])
def test_silent_connections_delay_a_version_by_less_than_the_bound(
    filler_routes,
):
    async def script(deployment):
        for _ in range(8):
            await asyncio.sleep(deployment.random.uniform(1.0, 3.0))
            deployment.silence_connections()
            # They are not in touch; the bound is kept all the same.
            deployment.excuses.clear()
            await deployment.change_repeatedly(2, 0.3)

    result = configuration_days.play(
        script, 9, link_mbps=10.0, filler_routes=filler_routes
    )
    assert result.violations == []
