"""A request that crashes its runners comes again while an entry is restarted.

The entry that the consumer's channels reach is stopped and started twice.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

WINDOW_S = 3.0
MAX_RETRIES = 3
RESTARTS = 2
# More than the retries that the rule allows, after each restart.
TRIES = 5


async def main(installation):
    record, store = installation.record, installation.store
    await installation.start_store()
    store.put("config", "main", standins.make_config(
        ["balcao"],
        [("book", "non_idempotent", "balcao", {"max_attempts": 1})],
    ))
    await installation.add_runners("balcao", 5, work_s=0.3)
    ips = installation.add_entries(2)
    if not await installation.start_entries(ips):
        return standins.COULD_NOT_RUN
    await asyncio.sleep(5)
    entry, caller = installation.entries[0], installation.caller
    # Other work, which runners that crash lose.
    installation.spawn(installation.send_steadily(
        "/book/x", 40, 90, installation.entries, method="POST"
    ))

    async def send_poison(count):
        """Sends the request again and again; returns those that ran."""
        for _ in range(count):
            while not entry.is_in_touch(WINDOW_S + 0.3):
                await asyncio.sleep(0.1)
            await caller.call(entry, "/book/poison", "POST", body=b"b=1")
            # Its runner is back by then, and listed.
            await asyncio.sleep(2.5)

    def get_poison_arrivals():
        return [
            arrival for runner in installation.runners
            for arrival in runner.arrivals if arrival[2] == "/book/poison"
        ]

    await send_poison(TRIES)
    third_s = sorted(get_poison_arrivals())[2][0]
    first_count = len(get_poison_arrivals())
    await asyncio.sleep(WINDOW_S)
    for _ in range(RESTARTS):
        if standins.TROUBLE:
            entry.send(signal.SIGTERM)
            await entry.wait_exit()
            entry.start()
            if not await entry.wait_ready():
                return standins.COULD_NOT_RUN
        await send_poison(TRIES)
    retries = [
        a for a in get_poison_arrivals() if a[0] > third_s + WINDOW_S
    ]
    refused = sum(
        caller.answers.get(attempt) == 503
        for _, attempt, path, _ in caller.sent if path == "/book/poison"
    )
    record.say(
        f"{first_count} runners crashed before the first restart; later than"
        f" {WINDOW_S} s after the third crash the request reached runners in"
        f" {len(retries)} retries ({MAX_RETRIES} are allowed);"
        f" {refused} were refused with 503"
    )
    others = [(at, caller.answers.get(attempt))
              for at, attempt, path, _ in caller.sent if path == "/book/x"]
    served = sum(status == 200 for _, status in others)
    lost = sum(status == 502 and at > third_s + WINDOW_S
               for at, status in others)
    record.say(
        f"other requests: {served} of {len(others)} answered with 200, {lost}"
        f" lost with 502 later than {WINDOW_S} s after the third crash"
    )
    if first_count < 3 or not served:
        return standins.COULD_NOT_RUN
    broken = len(retries) > MAX_RETRIES
    return standins.BROKEN if broken else standins.HELD


standins.run(main, FOLDER)
