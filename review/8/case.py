"""An entry of another writer stands in the list of runners at a restart.

Three entries serve a plain service with three sound runners. Another writer
puts one entry into the list whose `version` cannot be read as text. Then all
entries are killed and started again, as in the final fault of a day. The runners
stay up and listed all the time.
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
FIELDS = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "tt-north-a",
    "version": "VERSION",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
}
# Values of the field `version`, each valid by the grammar of JSON.
UNREADABLE = {
    # Half of a character beyond the basic plane, as of a text cut in JavaScript.
    "surrogate": rb'"v1 \ud83d"',
    # A field of another type.
    "nested": b"[" * 2000 + b"]" * 2000,
}


def make_foreign_entry() -> bytes:
    value = UNREADABLE[os.environ.get("ENTRY", "surrogate")]
    return json.dumps(FIELDS).encode().replace(b'"VERSION"', value)


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
                store.put("servers", "note-1", make_foreign_entry())
                record.write("another writer adds the entry note-1")
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
