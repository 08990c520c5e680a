"""Orders of the placement service."""

import asyncio
import itertools
import types

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.placement import service as service_module
from fuchsiabarrow.utils.tests import virtual_time

MODEL = fleets.make_model(layer_mb=200.0)
# Time between two runs of the planning.
PERIOD_S = 0.5
LONGEST_SILENCE_S = 2.5
# Time of a probe that has no answer.
PROBE_S = 0.25


def make_instance(number, layers):
    return fleets.make_instance(
        f"i{number}", "a", "fast", layers, address=f"10.0.0.{number}:80"
    )


# The last one is the only holder of some layers.
INSTANCES = [
    make_instance(1, (0, 40)),
    make_instance(2, (0, 40)),
    make_instance(3, (40, 80)),
]
ONLY_HOLDER = INSTANCES[2]


class Planning:
    """A leader that plans for `INSTANCES`; the test decides who answers.

    Attributes:
        directory: Directory of the instances.
        orders: Instances that were sent an order, and the times.
        outcome: Answer to an order.
        probe: Called with the timeout of each probe of `probed`.
        probed: The instance that may not answer.
    """

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.directory = directory_module.Directory(loop.time)
        self.directory.replace(INSTANCES)
        self.orders = []
        self.outcome = service_module.OrderOutcome(True, False, "status 202")
        self.probe = None
        self.probed = ONLY_HOLDER
        catalog = types.SimpleNamespace(
            services={
                "s": types.SimpleNamespace(name=fleets.SERVICE, engine=MODEL)
            }
        )
        self._service = service_module.PlacementService(
            self.directory,
            lambda: catalog,
            self._send_order,
            self._read_report,
            lambda: True,
        )

    async def _send_order(self, upstream, layers, after_orders):
        now_s = asyncio.get_running_loop().time()
        self.orders.append((upstream.instance_id, now_s))
        return self.outcome

    async def _read_report(self, upstream, timeout_s):
        if upstream is self.probed and self.probe is not None:
            await self.probe(timeout_s)
        return types.SimpleNamespace(is_busy=False, order_count=1)

    async def run(self, duration_s):
        """Plans once a period, as the service does."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            self.directory.confirm(loop.time())
            await self._service.run_once()
            await asyncio.sleep(PERIOD_S)


async def refuse(timeout_s):
    raise exceptions.UpstreamRefusedError("refused")


async def hang(timeout_s):
    await asyncio.sleep(timeout_s)
    raise exceptions.UpstreamResponseLostError("no response")


async def fail_to_connect(timeout_s):
    await asyncio.sleep(timeout_s)
    raise exceptions.UpstreamUnreachableError("cannot connect (TimeoutError)")


def fall_silent(silence_s, is_accepting):
    """Returns a probe of an instance that is silent from now on for a time.

    Args:
        silence_s: Length of the silence.
        is_accepting: Whether a probe is answered that began before its end.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + silence_s

    async def probe(timeout_s):
        wait_s = end_s - loop.time()
        if wait_s <= 0:
            return
        if not is_accepting:
            await fail_to_connect(timeout_s)
        await asyncio.sleep(min(wait_s, timeout_s))
        if wait_s > timeout_s:
            raise exceptions.UpstreamResponseLostError("no response")

    return probe


def test_silent_instance_is_not_planned_as_dead():
    # The only holder of some layers was silent for a second and avoided for
    # two; another instance was ordered to give up its own layers for them.
    async def run():
        planning = Planning()
        await planning.run(10 * PERIOD_S)
        assert not planning.orders
        # One probe without an answer.
        planning.directory.record_failure(ONLY_HOLDER)
        await planning.run(3 * PERIOD_S)
        return planning.orders

    assert not virtual_time.run(run())


# Another instance was ordered to load the layers of a sound one.
@pytest.mark.parametrize("is_accepting", [True, False])
@pytest.mark.parametrize("offset_s", [i * 0.05 for i in range(16)])
@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5, LONGEST_SILENCE_S])
def test_instance_that_goes_on_is_not_planned_as_dead(
    silence_s, offset_s, is_accepting
):
    async def run():
        planning = Planning()
        await planning.run(PERIOD_S)
        work = asyncio.create_task(planning.run(12.0))
        # Two silences, with an answer in between.
        for _ in range(2):
            await asyncio.sleep(1.0 + offset_s)
            planning.probe = fall_silent(silence_s, is_accepting)
            # A request finds it silent, and again when it is not avoided.
            await asyncio.sleep(PROBE_S)
            planning.directory.record_failure(ONLY_HOLDER)
            if silence_s > 2.0 + PROBE_S:
                await asyncio.sleep(2.0 + PROBE_S)
                planning.directory.record_failure(ONLY_HOLDER)
            await asyncio.sleep(silence_s)
        await work
        return planning.orders

    assert not virtual_time.run(run())


def test_instance_that_refuses_connections_is_planned_as_dead_at_once():
    async def run():
        planning = Planning()
        await planning.run(PERIOD_S)
        planning.probe = refuse
        planning.directory.record_failure(ONLY_HOLDER, is_refused=True)
        at_s = asyncio.get_running_loop().time()
        await planning.run(PERIOD_S)
        return planning.orders, at_s

    orders, at_s = virtual_time.run(run())
    assert orders == [("i1", at_s)]


def test_instance_that_has_ended_is_found_after_a_report_of_its_silence():
    # Another entry, or the first instance of a path, says only that it is
    # silent.
    async def run():
        planning = Planning()
        await planning.run(PERIOD_S)
        planning.probe = refuse
        planning.directory.record_failure(ONLY_HOLDER)
        at_s = asyncio.get_running_loop().time()
        await planning.run(PERIOD_S)
        return planning.orders, at_s

    orders, at_s = virtual_time.run(run())
    assert orders == [("i1", at_s)]


@pytest.mark.parametrize("probe", [hang, fail_to_connect])
@pytest.mark.parametrize("offset_s", [0.0, 0.2, 0.4])
def test_instance_without_power_is_planned_as_dead_after_the_longest_silence(
    probe, offset_s
):
    async def run():
        planning = Planning()
        await planning.run(PERIOD_S)
        work = asyncio.create_task(planning.run(6.0))
        await asyncio.sleep(1.0 + offset_s)
        planning.probe = probe
        planning.directory.record_failure(ONLY_HOLDER)
        at_s = asyncio.get_running_loop().time()
        await work
        return planning.orders, at_s

    orders, at_s = virtual_time.run(run())
    (name, ordered_s), *others = orders
    assert name == "i1"
    assert not others
    # Up to a period until it is probed, and until it is probed once more.
    latest_s = LONGEST_SILENCE_S + 2 * (PERIOD_S + PROBE_S)
    assert LONGEST_SILENCE_S < ordered_s - at_s <= latest_s


@pytest.mark.parametrize("probe", [refuse, hang])
def test_dead_instance_stays_out_of_the_plan_after_its_avoidance(probe):
    # It came back to the plan after two seconds although it was not tried.
    async def run():
        planning = Planning()
        # The order has to be repeated, as nobody accepts it.
        planning.outcome = service_module.OrderOutcome(False, True, "409")
        await planning.run(PERIOD_S)
        planning.probe = probe
        planning.directory.record_failure(
            ONLY_HOLDER, is_refused=probe is refuse
        )
        await planning.run(9.0)
        return planning.orders

    times_s = [at_s for _, at_s in virtual_time.run(run())]
    assert times_s[-1] > 8.0
    pauses_s = [b - a for a, b in itertools.pairwise(times_s)]
    assert max(pauses_s) <= PERIOD_S + PROBE_S + 0.01


def test_instance_that_accepts_connections_again_returns_to_the_plan():
    # The link between it and the leader was cut.
    async def run():
        planning = Planning()
        planning.outcome = service_module.OrderOutcome(False, True, "409")
        await planning.run(PERIOD_S)
        planning.probe = refuse
        avoid_s = planning.directory.record_failure(
            ONLY_HOLDER, is_refused=True
        )
        at_s = asyncio.get_running_loop().time()
        await planning.run(1.0)
        planning.probe = None
        await planning.run(9.0)
        return planning.orders, at_s + avoid_s

    orders, expired_s = virtual_time.run(run())
    assert 0 < orders[-1][1] <= expired_s + PERIOD_S


def test_instance_that_only_the_leader_cannot_reach_keeps_its_layers():
    async def fail_own_link(timeout_s):
        raise exceptions.NoHelperError("no other entry opened a connection")

    async def run():
        planning = Planning()
        await planning.run(PERIOD_S)
        planning.probe = fail_own_link
        for _ in range(10):
            planning.directory.record_failure(ONLY_HOLDER)
            await planning.run(PERIOD_S)
        return planning.orders

    assert not virtual_time.run(run())


def test_silent_instance_without_layers_gets_no_order():
    async def run():
        planning = Planning()
        empty = make_instance(4, None)
        planning.directory.replace([*INSTANCES[:2], empty])
        planning.directory.record_failure(empty)
        planning.probe, planning.probed = hang, empty
        await planning.run(PERIOD_S)
        return planning.orders

    assert [name for name, _ in virtual_time.run(run())] == ["i1"]
