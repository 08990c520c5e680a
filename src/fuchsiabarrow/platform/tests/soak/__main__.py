"""Plays seeds of the soak: python -m fuchsiabarrow.platform.tests.soak."""

import asyncio
import collections
import pathlib
import sys
import tempfile
import time

import defopt

from fuchsiabarrow.platform.tests.soak import play


def main(
    *,
    first_seed: int = 1,
    count: int = 50,
    duration_s: float = 10.0,
    entries: int = 4,
    logs: str = "",
) -> None:
    """Plays seeds in turn and ends with 1 if a promise was broken.

    Args:
        first_seed: First seed.
        count: Number of seeds.
        duration_s: Time in which faults come, for each seed.
        entries: Entries of each seed.
        logs: Folder that keeps the logs of seeds with broken promises.
    """
    failed = 0
    for seed in range(first_seed, first_seed + count):
        with tempfile.TemporaryDirectory() as folder:
            began_s = time.monotonic()
            broken, soak = asyncio.run(
                play.play(seed, duration_s, entries, pathlib.Path(folder))
            )
            attempts = soak.record.attempts.values()
            statuses = collections.Counter(a.status for a in attempts)
            print(
                f"seed {seed}: {len(soak.faults)} faults,"
                f" {len(attempts)} requests {dict(statuses)},"
                f" {len(broken)} broken, {time.monotonic() - began_s:.0f} s",
                flush=True,
            )
            for line in broken[:20]:
                print(f"  {line}", flush=True)
            failed += bool(broken)
            if broken and logs:
                kept = pathlib.Path(logs) / f"seed-{seed}"
                kept.mkdir(parents=True, exist_ok=True)
                for log in pathlib.Path(folder).glob("*.log"):
                    (kept / log.name).write_bytes(log.read_bytes())
                faults = "\n".join(map(str, soak.faults))
                (kept / "faults").write_text(faults)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
