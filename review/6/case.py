"""The operator takes the keys of all tenants away, one after the other.

Three entries serve a plain service for three tenants with one key each. Three
versions, 0.1 s apart, take a tenant with its key away each, until none is left.
Consumers go on with these keys, and one sends a key that no configuration held.
Without the trouble the third version does not come, and one tenant stays.
"""

import asyncio
import sys

import aiohttp
import standins_2 as standins

REVOKE_S = 5.0
GAP_S = 0.1
AFTER_ACKS_S = 10.0
TENANTS = (("org-1", "key-1"), ("org-2", "key-2"), ("org-3", "key-3"))
UNKNOWN = "key-never-held"
VERSIONS = (11, 14, 15, 19)
ZONES = ("tt-north-a", "tt-north-b", "tt-north-c")


def make_config(index: int) -> bytes:
    """Returns a version; `index` tenants were taken away before it."""
    tenants = [
        {"name": name, "api_keys": [key]} for name, key in TENANTS[index:]
    ]
    return standins.make_config(VERSIONS[index], tenants)


async def run(record: standins.Record, has_trouble: bool, folder) -> int:
    network = standins.Network()
    store = standins.Store(record)
    runners = [
        standins.Runner(record, f"i-{n}", "desk", zone)
        for n, zone in enumerate(ZONES)
    ]
    entries: list[standins.Entry] = []
    stop = asyncio.Event()
    # Time of sending, entry and key, by the id of the request.
    sent: dict[str, tuple[float, str, str]] = {}
    acks_s: dict[str, float] = {}
    async with aiohttp.ClientSession() as session:
        try:
            await store.start(network.take_host(), network.store)
            for runner in runners:
                await runner.start(network.take_host(), network.server)
                store.put("servers", runner.name, runner.make_entry())
            store.put("config", "main", make_config(0))
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
            await asyncio.sleep(1.0)
            consumer = standins.Consumer(record, session)

            async def press(entry: standins.Entry) -> None:
                while not stop.is_set():
                    for key in (*(key for _, key in TENANTS), UNKNOWN):
                        request_id, sent_s, _ = await consumer.call(
                            entry, "/book/1", key, "POST", body=b"deposit 1"
                        )
                        sent[request_id] = (sent_s, entry.name, key)
                    await asyncio.sleep(0.2)

            tasks = [asyncio.create_task(press(entry)) for entry in entries]
            await asyncio.sleep(1.5)
            for index in range(1, 4 if has_trouble else 3):
                name, key = TENANTS[index - 1]
                store.put("config", "main", make_config(index))
                acks_s[key] = record.now_s()
                record.write(
                    f"the store acks version {VERSIONS[index]} without {name}"
                    f" and its key {key}"
                )
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(AFTER_ACKS_S)
            stop.set()
            await asyncio.gather(*tasks)
        finally:
            stop.set()
            for entry in entries:
                entry.kill()
            for runner in runners:
                await runner.stop()
            await store.stop()
    ran = {run[0] for runner in runners for run in runner.runs}
    first_ack_s = min(acks_s.values())
    if not any(r in ran and s < first_ack_s for r, (s, _, _) in sent.items()):
        record.write("could not run: no key was served before")
        return 2
    late = [
        (request_id, sent_s - acks_s[key], name, key)
        for request_id, (sent_s, name, key) in sent.items()
        if request_id in ran
        and key in acks_s
        and sent_s > acks_s[key] + REVOKE_S
    ]
    for request_id, after_s, name, key in late[:6]:
        record.write(
            f"BROKEN: {request_id} with {key}, sent to {name} {after_s:.3f} s"
            " after the ack that took it away, has run"
        )
    unknown = [r for r, (_, _, key) in sent.items() if key == UNKNOWN]
    count = sum(request_id in ran for request_id in unknown)
    record.write(f"{count} requests with a key that was never held have run")
    record.write(f"{len(late)} requests with revoked keys have run too late")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(run))
