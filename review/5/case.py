"""Entries whose first seeds were stale, then more requests than places.

The settings name three machines that are down as seeds; within seed_lag_s the
platform writes the right ones and sends SIGHUP. Later the runners are full.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins  # noqa: E402

SEED_LAG_S = 3.0
WINDOW_S, RATIO, EXTRA = 10.0, 0.2, 202
# Requests a second to each entry, and for how long.
PER_S, LOAD_S = 20.0, 30.0


def find_worst_window(installation):
    """Returns the most repeats over the bound in a window, and its figures."""
    requests = sorted(at for at, *_ in installation.caller.sent)
    seen, repeats = set(), []
    arrivals = sorted(
        arrival for runner in installation.runners
        for arrival in runner.arrivals
    )
    for at, attempt, _ in arrivals:
        if attempt in seen:
            repeats.append(at)
        seen.add(attempt)

    def count(times, from_s):
        return sum(from_s <= t < from_s + WINDOW_S for t in times)

    worst = (float("-inf"), 0, 0)
    for end in repeats:
        from_s = end - WINDOW_S + 0.001
        asked = max(count(requests, from_s - back)
                    for back in (0, WINDOW_S / 2, WINDOW_S))
        found = count(repeats, from_s)
        bound = RATIO * asked + EXTRA
        worst = max(worst, (found - bound, found, bound))
    return worst


async def main(installation):
    record, store = installation.record, installation.store
    await installation.start_store()
    store.put("config", "main", standins.make_config(
        ["balcao"], [("status", "idempotent", "balcao", {})]
    ))
    # 30 requests a second at most: less than come.
    await installation.add_runners("balcao", 6, slots=1, queue=1, work_s=0.2)
    ips = installation.add_entries(3)
    prefix = ips[0].rpartition(".")[0]
    stale = [f"{prefix}.{number}" for number in (201, 202, 203)]
    for entry in installation.entries:
        entry.write_settings(stale if standins.TROUBLE else ips)
        entry.start()
    ready = await asyncio.gather(
        *(entry.wait_ready() for entry in installation.entries)
    )
    if not all(ready):
        return standins.COULD_NOT_RUN
    await asyncio.sleep(SEED_LAG_S - 1)
    for entry in installation.entries:
        entry.write_settings(ips)
        entry.send(signal.SIGHUP)
    await asyncio.sleep(12)
    path = "/status/x"
    await installation.send_steadily(
        path, 3 * PER_S, LOAD_S, installation.entries
    )
    await asyncio.sleep(3)
    over, found, bound = find_worst_window(installation)
    answers = list(installation.caller.answers.values())
    record.say(
        f"worst {WINDOW_S:.0f} s: {found} arrivals beyond the first of each"
        f" request, {bound:.0f} are allowed"
    )
    record.say(
        f"answers: {answers.count(200)} with 200, {answers.count(503)} with"
        f" 503, of {len(installation.caller.sent)}"
    )
    if not found or 200 not in answers:
        return standins.COULD_NOT_RUN
    return standins.BROKEN if over > 0 else standins.HELD


standins.run(main, FOLDER)
