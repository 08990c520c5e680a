"""Runs soak test seeds: python -m fuchsiabarrow.platform.tests.soak."""

import asyncio
import collections
import pathlib
import sys
import tempfile
import time

import defopt

from fuchsiabarrow.platform.tests.soak import endings
from fuchsiabarrow.platform.tests.soak import scenario


def _describe(counts: list[int]) -> str:
    served_count, count = counts
    return f"{served_count} of {count}"


def _describe_cuts(counts: endings.Counts) -> str:
    return f"{dict(counts.cuts)} of {counts.requests}"


def main(
    *,
    first_seed: int = 1,
    count: int = 50,
    duration_s: float = 10.0,
    entries: int = 4,
    number_of_callers: int = scenario.DEFAULT_CALLERS,
    logs: str = "",
    only: str = "",
) -> None:
    """Runs seeds in turn; exits with 1 if any invariant was violated.

    Args:
        first_seed: First seed.
        count: Number of seeds.
        duration_s: Time during which faults are injected, for each seed.
        entries: Number of entries.
        number_of_callers: Number of callers; each has a connection to each
            entry.
        logs: Directory to which the logs of seeds with violations are copied;
            empty to discard them.
        only: Names of the faults to draw from, separated by commas; empty
            for all.
    """
    failed = 0
    for seed in range(first_seed, first_seed + count):
        with tempfile.TemporaryDirectory() as folder:
            began_s = time.monotonic()
            violations, soak = asyncio.run(
                scenario.run_seed(
                    seed,
                    duration_s,
                    entries,
                    pathlib.Path(folder),
                    [name for name in only.split(",") if name],
                    number_of_callers,
                )
            )
            attempts = soak.history.attempts.values()
            statuses = collections.Counter(a.status for a in attempts)
            cut_counts, other_counts = soak.history.count_during_cuts()
            print(
                f"seed {seed}: {len(soak.faults)} faults,"
                f" {len(attempts)} requests {dict(statuses)},"
                f" {len(violations)} violations,"
                f" served during cuts {_describe(cut_counts)} at cut entries,"
                f" {_describe(other_counts)} at others,"
                f" {soak.history.helped_count} runs through other entries,"
                f" {soak.versions.count} requests checked for their version,"
                f" {soak.versions.timeout_count} ended by a time limit,"
                f" cut beside changes"
                f" {_describe_cuts(soak.endings.beside_changes)},"
                f" without {_describe_cuts(soak.endings.without_changes)},"
                f" held up for up to {soak.max_loop_delay_s:.2f} s,"
                f" {time.monotonic() - began_s:.0f} s",
                flush=True,
            )
            for line in violations[:20]:
                print(f"  {line}", flush=True)
            failed += bool(violations)
            if violations and logs:
                kept_folder = pathlib.Path(logs) / f"seed-{seed}"
                kept_folder.mkdir(parents=True, exist_ok=True)
                for log in pathlib.Path(folder).glob("*.log"):
                    (kept_folder / log.name).write_bytes(log.read_bytes())
                faults = "\n".join(map(str, soak.faults))
                (kept_folder / "faults").write_text(faults)
                (kept_folder / "violations").write_text("\n".join(violations))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
