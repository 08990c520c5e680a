"""Entries of an unnamed service stand beside the runners at a restart.

Three entries serve a plain service with three sound runners. Another writer
puts an entry for each address of a runner into the list, with a service that no
configuration names. Then all entries are killed and started again, as in the
final fault of a day. The runners stay up and listed all the time.
"""

import asyncio
import json
import os
import pathlib
import sys

import aiohttp
import standins

RECOVER_S = 12.0
MEASURE_S = 5.0
KEY = "key-1"
ZONES = ("tt-north-a", "tt-north-b", "tt-north-c")


def make_foreign_entry(runner: standins.Runner) -> bytes:
    """Returns an entry of the kind that PROTOCOL.md says names no runner."""
    fields = json.loads(runner.make_entry())
    fields["service"] = "metrics-export"
    # The other writer has started a minute later than the runner.
    fields["born"] = runner.born + 60_000
    return json.dumps(fields).encode()


async def press(
    record, consumer, entries, seconds: float
) -> tuple[int, int]:
    """Sends requests to all entries in turn; returns served and sent."""
    until_s = record.now_s() + seconds
    served = sent = 0
    while record.now_s() < until_s:
        for entry in entries:
            _, _, status = await consumer.call(entry, "/read/1", KEY)
            served += status == 200
            sent += 1
        await asyncio.sleep(0.05)
    return served, sent


async def run(record: standins.Record, has_trouble: bool, folder) -> int:
    network = standins.Network()
    store = standins.Store(record)
    runners = [
        standins.Runner(record, f"i-{n}", "desk", zone)
        for n, zone in enumerate(ZONES)
    ]
    entries: list[standins.Entry] = []
    async with aiohttp.ClientSession() as session:
        try:
            await store.start(network.take_host(), network.store)
            for runner in runners:
                await runner.start(network.take_host(), network.server)
                # They run since two minutes.
                runner.born -= 120_000
                store.put("servers", runner.name, runner.make_entry())
            store.put(
                "config",
                "main",
                standins.make_config(
                    11, [{"name": "org-1", "api_keys": [KEY]}]
                ),
            )
            hosts = [network.take_host() for _ in ZONES]
            entries = [
                standins.Entry(
                    record,
                    folder,
                    f"front-{zone}-1",
                    zone,
                    host,
                    network,
                    hosts,
                    store.address,
                )
                for zone, host in zip(ZONES, hosts)
            ]
            for entry in entries:
                entry.start()
            for entry in entries:
                if not await entry.wait_ready(session):
                    record.write("could not run: an entry did not get ready")
                    return 2
            consumer = standins.Consumer(record, session)
            before = await press(record, consumer, entries, 2.0)
            if before[0] < 0.25 * before[1]:
                record.write(f"could not run: {before} served, sent before")
                return 2
            if has_trouble:
                for runner in runners:
                    name = f"x-{runner.name}"
                    store.put("servers", name, make_foreign_entry(runner))
                    record.write(f"another writer adds the entry {name}")
            await asyncio.sleep(1.0)
            for entry in entries:
                entry.kill()
            await asyncio.sleep(standins.RESTART_DELAY_S)
            for entry in entries:
                entry.start()
            await asyncio.sleep(RECOVER_S)
            ready = [await entry.is_ready(session) for entry in entries]
            record.write(f"ready {RECOVER_S} s after the restart: {ready}")
            after = await press(record, consumer, entries, MEASURE_S)
        finally:
            for entry in entries:
                entry.kill()
            for runner in runners:
                await runner.stop()
            await store.stop()
    record.write(f"served, sent before the final fault: {before}")
    record.write(f"served, sent later than recover_s after it: {after}")
    is_broken = after[0] < 0.25 * after[1]
    record.write("BROKEN" if is_broken else "held")
    return 1 if is_broken else 0


def main() -> int:
    record = standins.Record(pathlib.Path(sys.argv[1]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with standins.make_folder() as folder:
        try:
            return asyncio.run(run(record, has_trouble, pathlib.Path(folder)))
        except (OSError, RuntimeError) as error:
            record.write(f"could not run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
