"""Configuration services with a fake store, connected without sockets."""

import asyncio
import random

from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.configuration import service
from fuchsiabarrow.peers import items


class FakePeers:
    """Fake of the peers service; published items arrive 10 ms later."""

    def __init__(self):
        self.connected: list[FakePeers] = []
        self._answers = {}
        self._table = items.ItemTable()
        self._listeners = []

    def add_listener(self, kind, listener):
        self._listeners.append(listener)

    def get_item(self, key):
        return self._table.get(key)

    def count_live(self):
        return 1 + len(self.connected)

    def compute_shared_period_s(self, fleet_rate_per_s, least_s):
        return least_s

    def publish(self, key, version, value, lifetime_s):
        item = items.Item(key, version, value, lifetime_s)
        self.accept(item)
        for peers in self.connected:
            asyncio.get_running_loop().call_later(0.01, peers.accept, item)

    def accept(self, item):
        for update in self._table.merge([item], 0.0):
            for listener in self._listeners:
                listener(update)

    def add_question_handler(self, service, answer):
        self._answers[service] = answer

    async def ask_any(self, service, body):
        await asyncio.sleep(0.01)
        for peers in self.connected:
            answer = await peers._answers[service](body)
            if answer:
                return answer
        return None


def make_services(count, seed=1):
    """Returns a store and services whose peers are connected."""
    source = random.Random(seed)
    store = fakes.FakeStore(source)
    peers = [FakePeers() for _ in range(count)]
    services = []
    for own in peers:
        own.connected = [other for other in peers if other is not own]
        created = service.ConfigurationService(
            store, own, service.Settings(), source
        )
        services.append(created)
    return store, services
