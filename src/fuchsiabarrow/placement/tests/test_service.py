"""Orders of the placement service."""

import asyncio
import dataclasses
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


def make_instance(number, layers):
    return fleets.make_instance(
        f"i{number}", "a", "fast", layers, address=f"10.0.0.{number}:80"
    )


def test_silent_instance_is_not_planned_as_dead():
    # The only holder of some layers was silent for a second and avoided for
    # two; another instance was ordered to give up its own layers for them.
    instances = [
        make_instance(1, (0, 40)),
        make_instance(2, (0, 40)),
        make_instance(3, (40, 80)),
    ]
    orders = []

    async def send_order(upstream, layers, after_orders):
        orders.append((upstream.instance_id, layers))
        return service_module.OrderOutcome(True, False, "status 202")

    async def read_report(upstream, timeout_s):
        return types.SimpleNamespace(is_busy=False, order_count=1)

    async def run():
        loop = asyncio.get_running_loop()
        directory = directory_module.Directory(loop.time)
        directory.replace(instances)
        catalog = types.SimpleNamespace(
            services={
                "s": types.SimpleNamespace(name=fleets.SERVICE, engine=MODEL)
            }
        )
        service = service_module.PlacementService(
            directory, lambda: catalog, send_order, read_report, lambda: True
        )
        for _ in range(10):
            directory.confirm(loop.time())
            await service.run_once()
            await asyncio.sleep(PERIOD_S)
        assert not orders
        # One probe without an answer.
        directory.record_failure(instances[2])
        for _ in range(3):
            directory.confirm(loop.time())
            await service.run_once()
            await asyncio.sleep(PERIOD_S)

    virtual_time.run(run())
    assert not orders


def run_with_dead_holder(failure: Exception, delay_s: float) -> list:
    """Returns the orders, with times, after the only holder of layers died.

    Args:
        failure: What reading its report raises.
        delay_s: Time after which it does so.
    """
    instances = [
        make_instance(1, (0, 40)),
        make_instance(2, (0, 40)),
        make_instance(3, (40, 80)),
    ]
    orders = []

    async def send_order(upstream, layers, after_orders):
        orders.append((asyncio.get_running_loop().time(), layers))
        return service_module.OrderOutcome(True, False, "status 202")

    async def read_report(upstream, timeout_s):
        if upstream is instances[2]:
            await asyncio.sleep(min(delay_s, timeout_s))
            raise failure
        return types.SimpleNamespace(is_busy=False, order_count=1)

    async def run():
        loop = asyncio.get_running_loop()
        directory = directory_module.Directory(loop.time)
        directory.replace(instances)
        catalog = types.SimpleNamespace(
            services={
                "s": types.SimpleNamespace(name=fleets.SERVICE, engine=MODEL)
            }
        )
        service = service_module.PlacementService(
            directory, lambda: catalog, send_order, read_report, lambda: True
        )
        directory.confirm(loop.time())
        await service.run_once()
        directory.record_failure(instances[2])
        died_s = loop.time()
        for _ in range(3):
            directory.confirm(loop.time())
            await service.run_once()
            await asyncio.sleep(PERIOD_S)
        return [(at_s - died_s, layers) for at_s, layers in orders]

    return virtual_time.run(run())


# Another instance takes over at once if the host refuses connections, and soon
# if it is dark: a trial that waited for 2.5 s of silence cost a day a sixth.
@pytest.mark.parametrize(("delay_s", "limit_s"), [(0.0, 0.01), (60.0, 0.6)])
def test_layers_of_a_dead_instance_are_loaded_elsewhere(delay_s, limit_s):
    error = exceptions.UpstreamUnreachableError("refused")
    orders = run_with_dead_holder(error, delay_s)
    assert [layers.first for _, layers in orders] == [24]
    assert orders[0][0] <= limit_s


def run_second_leader(loading_s: float) -> tuple[list, list]:
    """Returns the orders of two leaders, the second of which takes over.

    Args:
        loading_s: Time until the list shows the layers of the first plan.
    """
    instances = {f"i{n}": make_instance(n, None) for n in range(1, 9)}
    accepted: dict[str, object] = {}
    sent: tuple[list, list] = ([], [])

    async def read_report(upstream, timeout_s):
        has_order = upstream.instance_id in accepted
        return types.SimpleNamespace(
            is_busy=has_order, order_count=int(has_order)
        )

    def make_service(directory, orders):
        async def send_order(upstream, layers, after_orders):
            orders.append((upstream.instance_id, layers))
            is_accepted = after_orders == (upstream.instance_id in accepted)
            if is_accepted:
                accepted[upstream.instance_id] = layers
            return service_module.OrderOutcome(
                is_accepted, not is_accepted, "status"
            )

        catalog = types.SimpleNamespace(
            services={
                "s": types.SimpleNamespace(name=fleets.SERVICE, engine=MODEL)
            }
        )
        return service_module.PlacementService(
            directory, lambda: catalog, send_order, read_report, lambda: True
        )

    async def run():
        loop = asyncio.get_running_loop()
        directory = directory_module.Directory(loop.time)
        directory.replace(list(instances.values()))
        first, second = (make_service(directory, orders) for orders in sent)
        for service in (first, first, second):
            directory.confirm(loop.time())
            await service.run_once()
            await asyncio.sleep(2.0)
        for _ in range(round(loading_s / PERIOD_S)):
            directory.confirm(loop.time())
            await second.run_once()
            await asyncio.sleep(PERIOD_S)
        directory.replace(
            [
                dataclasses.replace(instance, layers=accepted[name])
                for name, instance in instances.items()
            ]
        )
        directory.confirm(loop.time())
        await second.run_once()

    virtual_time.run(run())
    return sent


# Around a hand-over orders went out twice: on a large deployment the whole
# first plan, as the list does not show layers while they are being loaded.
def test_leader_that_takes_over_waits_for_the_plan_of_the_one_before():
    first, second = run_second_leader(loading_s=3.0)
    assert len(first) == 8
    assert not second


def test_leader_does_not_wait_for_ever_for_the_plan_of_another():
    _, second = run_second_leader(
        loading_s=service_module.MAX_PUT_OFF_S + 2 * PERIOD_S
    )
    assert second


# On a large deployment two entries sent the whole first plan 40 ms apart: 128
# instances loaded layers of one plan, 62 of the other.
def test_entries_that_plan_at_the_same_time_drop_the_rest_of_their_plans():
    instances = {f"i{n:03}": make_instance(n, None) for n in range(190)}
    accepted: dict[str, object] = {}
    owners: dict[str, int] = {}

    async def read_report(upstream, timeout_s):
        await asyncio.sleep(0.002)
        has_order = upstream.instance_id in accepted
        return types.SimpleNamespace(
            is_busy=has_order, order_count=int(has_order)
        )

    def make_service(directory, number):
        async def send_order(upstream, layers, after_orders):
            await asyncio.sleep(0.002)
            is_accepted = after_orders == (upstream.instance_id in accepted)
            if is_accepted:
                accepted[upstream.instance_id] = layers
                owners[upstream.instance_id] = number
            await asyncio.sleep(0.002)
            return service_module.OrderOutcome(
                is_accepted, not is_accepted, "status"
            )

        catalog = types.SimpleNamespace(
            services={
                "s": types.SimpleNamespace(name=fleets.SERVICE, engine=MODEL)
            }
        )
        return service_module.PlacementService(
            directory, lambda: catalog, send_order, read_report, lambda: True
        )

    async def run():
        loop = asyncio.get_running_loop()
        directory = directory_module.Directory(loop.time)
        directory.replace(list(instances.values()))
        services = [make_service(directory, number) for number in (0, 1)]
        for _ in range(4):
            directory.confirm(loop.time())
            await asyncio.gather(*(s.run_once() for s in services))
            await asyncio.sleep(PERIOD_S)
        owned = sum(owners.values())
        limit = 2 * service_module.Settings().parallel_orders
        assert min(owned, len(owners) - owned) <= limit
        # What was loaded is listed; the rest follows from that.
        for _ in range(20):
            directory.replace(
                [
                    dataclasses.replace(i, layers=accepted.get(name))
                    for name, i in instances.items()
                ]
            )
            directory.confirm(loop.time())
            await services[0].run_once()
            await asyncio.sleep(PERIOD_S)
        assert len(accepted) == len(instances)

    virtual_time.run(run())
