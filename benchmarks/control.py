"""Cost of the control plane by number of entries, instances and organisations.

Measures membership gossip, chain choice, configuration, claims of actions and
the table of requests suspected of crashing engines.
"""

import asyncio
import contextlib
import gc
import math
import os
import pathlib
import random
import time
import tracemalloc

import defopt
import msgspec

from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import writers
from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.adapters import sessions
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.configuration import parts
from fuchsiabarrow.entry import authentication
from fuchsiabarrow.limits import suspects
from fuchsiabarrow.peers import members
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.ports import instances
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import health
from fuchsiabarrow.utils import loops

SEED = 5
MEASURE_S = 6.0


class MemberStore(fakes.FakeStore):
    """A fake store that also lists and deletes objects, as peers need."""

    async def list(self, kind):
        """Returns the objects of a kind."""
        return [v for (k, _), v in self.objects.items() if k == kind]

    async def delete(self, kind, name):
        """Deletes an object."""
        self.objects.pop((kind, name), None)


async def measure_peers(count: int) -> dict:
    """Returns the cost of membership per entry, for a number of entries."""
    rng = random.Random(SEED)
    store = MemberStore(rng)
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(sessions.make_session())
        services = []
        for number in range(count):
            peers = peers_service.PeersService(
                session,
                members.Member(f"entry-{number}", ""),
                store,
                peers_service.Settings(timeout_s=5.0, suspicion_s=30.0),
                random.Random(number),
            )
            await stack.enter_async_context(peers)
            await peers.join("10.0.0.1:8081")
            services.append(peers)
        convergence_s = await _measure_s(_wait_for_convergence(services))
        received = []
        for peers in services:
            peers.add_listener("k", lambda item: received.append(1))
        services[0].publish("k/news", 1, b"x" * 200, 60.0)
        propagation_s = await _measure_s(_wait_for_receipts(received, count))
        calls_before = sum(p.client.calls for p in services)
        body_bytes_before = sum(p.client.transferred_bytes for p in services)
        cpu_before_s = time.process_time()
        wire_bytes_before = read_loopback_bytes()
        await asyncio.sleep(MEASURE_S)
        per_entry_second = 1 / (count * MEASURE_S)
        return {
            "entries": count,
            "cpu_percent_of_core": round(
                100 * (time.process_time() - cpu_before_s) * per_entry_second, 3
            ),
            "calls_per_s": round(
                (sum(p.client.calls for p in services) - calls_before)
                * per_entry_second,
                2,
            ),
            "body_bytes_per_s": round(
                (
                    sum(p.client.transferred_bytes for p in services)
                    - body_bytes_before
                )
                * per_entry_second
            ),
            # Each byte is sent by one entry and received by another.
            "wire_bytes_per_s": round(
                2
                * (read_loopback_bytes() - wire_bytes_before)
                * per_entry_second
            ),
            "convergence_s": round(convergence_s, 2),
            "propagation_to_all_ms": round(1000 * propagation_s),
        }


def read_loopback_bytes() -> int:
    """Returns the bytes sent over the loopback interface so far."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[8])
    raise RuntimeError("no loopback interface")


async def _measure_s(awaitable) -> float:
    started_s = time.monotonic()
    await awaitable
    return time.monotonic() - started_s


async def _wait_for_convergence(services) -> None:
    """Waits until all entries have the same membership table."""
    while len({p.get_table_digest() for p in services}) > 1:
        await asyncio.sleep(0.02)


async def _wait_for_receipts(received: list, count: int) -> None:
    async with asyncio.timeout(60):
        while len(received) < count:
            await asyncio.sleep(0.002)


def measure_memory(make) -> tuple[float, object]:
    """Makes an object; returns the bytes allocated for it, and the object."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size_bytes, made


def measure_members(count: int) -> dict:
    """Returns the memory per entry of the list of other entries."""

    def make():
        member_list = members.MemberList(
            members.Member("own", ""), random.Random(SEED)
        )
        for number in range(count):
            member = members.Member(
                f"entry-{number}", f"10.0.0.{number}:1", f"10.0.0.{number}:2"
            )
            item = members.make_item(member, 1.0)
            member_list.update(members.decode_member(item), 0.0)
        return member_list

    size_bytes, _ = measure_memory(make)
    return {"members": count, "bytes_each": round(size_bytes / count)}


def make_instances(count: int, models: int, layers: int) -> list:
    """Returns instances with equal layer ranges, in four stages per model."""
    layers_per_stage = layers // 4
    return [
        instances.Instance(
            f"runner-{n}",
            f"10.{n % 4}.0.{n}:9000",
            "engine",
            f"model-{n % models}",
            (n // models) % 4 * layers_per_stage,
            ((n // models) % 4 + 1) * layers_per_stage,
            region=f"region-{n % 4}",
            failure_domain=f"domain-{n % 9}",
            accelerator=f"kind-{n % 6}",
        )
        for n in range(count)
    ]


def measure_routing(count: int) -> dict:
    """Returns the cost of choosing a chain among a number of instances.

    They serve 12 models if there are at least 16 of each, else one model.
    """
    models = 12 if count >= 12 * 16 else 1
    instance_list = make_instances(count, models, 80)

    def make():
        table = health.HealthTracker(health.Settings())
        table.update_instances(instance_list, 0.0)
        return table

    size_bytes, table = measure_memory(make)
    states = [s for s in table.get_states() if s.instance.serves == "model-0"]
    rng = random.Random(SEED)
    rounds = 300
    started_s = time.process_time()
    for _ in range(rounds):
        chains.choose_chain(
            states,
            80,
            0.0,
            lambda state: table.estimate_hop_s(state, 0.0),
            rng,
        )
    choose_us = 1e6 * (time.process_time() - started_s) / rounds
    body = msgspec.json.encode(instance_list)
    started_s = time.process_time()
    for _ in range(10):
        decoded = msgspec.json.decode(body, type=list[instances.Instance])
        table.update_instances(decoded, 0.0)
    list_ms = 1000 * (time.process_time() - started_s) / 10
    return {
        "instances": count,
        "choose_chain_us": round(choose_us),
        "decode_list_ms": round(list_ms, 2),
        "list_bytes": len(body),
        "state_bytes_each": round(size_bytes / count),
    }


def measure_configuration(count: int) -> dict:
    """Returns the cost of a configuration with a number of organisations."""
    document = {
        "models": {f"m{n}": {"layers": 80} for n in range(12)},
        "pipelines": {f"p{n}": {"model": f"m{n}"} for n in range(12)},
        "organisations": {
            f"organisation-{n}": {
                "key_sha256": [documents.hash_key(str(n))],
                "pipelines": ["p1", "p2", "p3"],
                "share": 1.0,
            }
            for n in range(count)
        },
    }
    split = parts.split_document(document)
    head = parts.make_head(parts.EMPTY_HEAD, split, "nonce", "desk")
    by_digest = {parts.compute_digest(p): p for p in split.values()}

    def adopt(cache, index, adopted):
        index.update(cache.decode(adopted, by_digest))
        return cache, index

    def start():
        return adopt(parts.PartCache(), authentication.KeyIndex(), head)

    started_s = time.process_time()
    start()
    first_ms = 1000 * (time.process_time() - started_s)
    size_bytes, (cache, index) = measure_memory(start)
    document["organisations"]["organisation-1"]["share"] = 2.0
    changed = parts.split_document(document)
    by_digest.update({parts.compute_digest(p): p for p in changed.values()})
    second = parts.make_head(head, changed, "nonce", "desk")
    started_s = time.process_time()
    adopt(cache, index, second)
    change_ms = 1000 * (time.process_time() - started_s)
    return {
        "organisations": count,
        "adopt_first_ms": round(first_ms, 1),
        "adopt_change_ms": round(change_ms, 1),
        "memory_mb": round(size_bytes / 1e6, 2),
        "head_bytes": len(msgspec.json.encode(head)),
        "largest_part_bytes": max(len(part) for part in split.values()),
        "all_parts_bytes": sum(len(part) for part in split.values()),
    }


async def measure_claims(rate_per_s: int, entries: int) -> dict:
    """Returns the store writes and the latency of claims at an action rate.

    Args:
        rate_per_s: Actions started per second.
        entries: Entries that share them; with one, it owns all journals, with
            more, no entry is treated as the owner of a journal.
    """
    rng = random.Random(SEED)
    store = fakes.FakeStore(rng)
    journal_writers = [
        writers.JournalWriter(store, writers.Settings(), random.Random(n))
        for n in range(entries)
    ]
    latencies_s = []
    count = int(rate_per_s * 3)
    cpu_before_s, started_s = time.process_time(), time.monotonic()

    async def run_action(number: int) -> None:
        await asyncio.sleep(number / rate_per_s)
        writer = journal_writers[number % entries]
        claimant = journals.Claimant("e", f"n{number}", "r", 1.0, 1.0)
        digest = f"{rng.getrandbits(128):032x}"
        journal = f"0-{number % 16}"
        claim_started_s = time.monotonic()
        is_owner = entries == 1
        claim = journals.Claim(digest, claimant, math.inf)
        await writer.commit(journal, claim, is_owner)
        latencies_s.append(time.monotonic() - claim_started_s)
        await writer.commit(
            journal,
            journals.Settle(
                digest,
                claimant.nonce,
                journals.State.COMPLETED,
                1.0,
                200,
                b"x" * 60,
            ),
            is_owner,
        )

    await asyncio.gather(*(run_action(n) for n in range(count)))
    wall_s = time.monotonic() - started_s
    latencies_s.sort()
    sizes = [len(s.value) for s in store.objects.values()]
    return {
        "actions_per_s": round(count / wall_s),
        "entries": entries,
        "store_writes_per_s": round(store.writes / wall_s),
        "conflicts_per_s": round(
            sum(w.conflicts for w in journal_writers) / wall_s
        ),
        "claim_ms_p50": round(1000 * latencies_s[len(latencies_s) // 2], 1),
        "claim_ms_p95": round(
            1000 * latencies_s[int(0.95 * len(latencies_s))], 1
        ),
        "cpu_us_per_action": round(
            1e6 * (time.process_time() - cpu_before_s) / count
        ),
        "record_bytes": round(sum(sizes) / count),
    }


def measure_suspects() -> dict:
    """Returns the memory of the full table of requests suspected of crashes."""
    settings = suspects.Settings()

    def make():
        table = suspects.CrashSuspects(settings)
        for number in range(settings.block_limit):
            table.add_strikes(f"{number:032x}", 3, 0.0)
        return table

    size_bytes, _ = measure_memory(make)
    return {"suspects": settings.block_limit, "bytes": size_bytes}


def read_resident_mb() -> float:
    """Returns the resident memory of this process in megabytes."""
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def main() -> None:
    """Measure the cost of the control plane."""
    print({"process_with_libraries_mb": round(read_resident_mb(), 1)})
    for count in (9, 25, 50, 100):
        print(loops.run(measure_peers(count)))
    print(measure_members(400))
    for count in (30, 250, 1000):
        print(measure_routing(count))
    for count in (10, 1000, 8900):
        print(measure_configuration(count))
    for rate, entries in (
        (50, 1),
        (200, 1),
        (400, 1),
        (800, 1),
        (200, 9),
        (400, 9),
    ):
        print(loops.run(measure_claims(rate, entries)))
    print(measure_suspects())


if __name__ == "__main__":
    defopt.run(main)
