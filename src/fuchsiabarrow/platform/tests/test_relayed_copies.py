"""Copies of collections that one entry sends to others."""

import asyncio
import random

import aiohttp

from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.peers import relays
from fuchsiabarrow.platform.tests import simulated_network
from fuchsiabarrow.ports import objects
from fuchsiabarrow.utils import listeners

HOLDER_IP = "10.0.0.1"
RECEIVER_IPS = ("10.0.0.2", "10.0.0.3")
# Time that the transfer of a copy takes.
TRANSFER_S = 0.4
COPY_BYTES = 500_000


def fetch_copies(script):
    """Returns the result of a script beside an entry that holds a copy.

    Args:
        script: Coroutine function. Its arguments are the network and a
            function that fetches the copy from a receiver, given by its
            number, and returns the status of the response and its size.
    """

    async def main(network):
        hosts = [network.add_host(ip, "a") for ip in (HOLDER_IP, *RECEIVER_IPS)]
        hosts[0].link_mbps = COPY_BYTES * 8 / 1e6 / TRANSFER_S
        value = random.Random(1).randbytes(COPY_BYTES)
        collection = relays.RelayedCollection(
            "config",
            lambda: [objects.VersionedObject("main", value, 1)],
            lambda: 0.0,
            watchers.Sink(lambda *_: None, lambda *_: None, lambda _: None),
        )
        relay = relays.Relay(
            None, [collection], lambda *_: [], random.Random(1)
        )
        listener = listeners.Listener(relay.make_app(), f"{HOLDER_IP}:80")

        async def fetch(number: int) -> tuple[int, int]:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{HOLDER_IP}/collections/config") as reply,
            ):
                return reply.status, len(await reply.read())

        def start(number: int) -> asyncio.Task:
            return hosts[1 + number].start(fetch(number))

        await hosts[0].start(listener.__aenter__())
        result = await script(network, start)
        await hosts[0].start(listener.__aexit__(None, None, None))
        return result

    return simulated_network.run(main)


def test_holder_refuses_a_second_copy_while_it_sends_one():
    async def script(network, start):
        first = start(0)
        await asyncio.sleep(TRANSFER_S / 4)
        refused = await start(1)
        await first
        return first.result(), refused, await start(1)

    first, refused, second = fetch_copies(script)
    assert first[0] == second[0] == 200
    assert first[1] == second[1] > COPY_BYTES
    assert refused[0] == 503


def test_receiver_that_falls_silent_does_not_keep_others_from_a_copy():
    async def script(network, start):
        first = start(0)
        await asyncio.sleep(TRANSFER_S / 4)
        network.silence_connections({HOLDER_IP}, {RECEIVER_IPS[0]})
        await asyncio.sleep(relays.SEND_TIMEOUT_S)
        first.cancel()
        return await start(1)

    assert fetch_copies(script)[0] == 200
