"""Writes docs/figures.md and its plot from the journal of played days.

Usage: python benchmarks/figures.py [--since YYYYMMDDTHHMMSS]
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import statistics

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "figures.md"
PLOT = ROOT / "docs" / "figures.png"


@dataclasses.dataclass(frozen=True)
class PlayedDay:
    """One day as the journal has it.

    Attributes:
        at: When its run began.
        site: Site that it was played on.
        command: How it came to be played.
        why: Reason given for the run.
        name: Name of the day.
        slot: Its kind: quiet, trouble, scale or mix.
        worth: Payoff less prices, as a share of what was owed.
        served: Share of requests that were served.
        broken: Rules that were broken.
    """

    at: str
    site: str
    command: str
    why: str
    name: str
    slot: str
    worth: float
    served: float
    broken: tuple[str, ...]


def read_journal(since: str) -> list[PlayedDay]:
    """Returns the days of all runs from a time on, in their order."""
    found = []
    for path in sorted((ROOT / "journal").glob("*.json")):
        if path.name < since:
            continue
        entry = json.loads(path.read_text())
        for day in entry.get("days") or ():
            if day.get("G") is None:
                continue
            found.append(
                PlayedDay(
                    path.stem,
                    entry["site"],
                    entry["cmd"],
                    entry["why"] or "",
                    day["name"],
                    day.get("slot") or day.get("kind") or "",
                    day["G"],
                    day.get("served") or 0.0,
                    tuple(sorted(day.get("rules") or ())),
                )
            )
    return found


def make_run_rows(days: list[PlayedDay]) -> list[str]:
    """Returns a table row for each run."""
    runs: dict[tuple, list[PlayedDay]] = collections.OrderedDict()
    for day in days:
        key = (day.at, day.site, day.command, day.why)
        runs.setdefault(key, []).append(day)
    rows = []
    for (at, site, command, why), played in runs.items():
        worths = [day.worth for day in played]
        broken = [f"{d.name}: {' '.join(d.broken)}" for d in played if d.broken]
        rows.append(
            f"| {at} | {site} | {command} | {len(played)}"
            f" | {statistics.mean(worths):.3f} | {min(worths):.3f}"
            f" | {'; '.join(broken) or 'none'} | {why} |"
        )
    return rows


def make_page(days: list[PlayedDay]) -> str:
    """Returns the page."""
    lines = [
        "# Figures",
        "",
        "Made by `benchmarks/figures.py` from `journal/`. Runs whose reason",
        "begins with `trial` are of scratch copies.",
        "",
        "![worth of the played days, in their order](figures.png)",
        "",
        "| run | site | by | days | mean worth | worst | rules broken | why |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        *make_run_rows(days),
    ]
    return "\n".join(lines) + "\n"


def draw(days: list[PlayedDay]) -> None:
    """Draws the worth of the days of each site in their order."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sites = sorted({day.site for day in days})
    figure, axes = pyplot.subplots(
        len(sites), 1, figsize=(9, 3 * len(sites)), squeeze=False
    )
    for axis, site in zip(axes[:, 0], sites, strict=True):
        for slot in ("quiet", "trouble", "scale", "mix"):
            points = [
                (index, day.worth)
                for index, day in enumerate(d for d in days if d.site == site)
                if day.slot == slot
            ]
            if points:
                axis.plot(*zip(*points, strict=True), "o", ms=3, label=slot)
        axis.set_title(site)
        axis.set_ylabel("worth")
        axis.grid(alpha=0.3)
        axis.legend(ncol=4, fontsize=8)
    axes[-1, 0].set_xlabel("played days")
    figure.tight_layout()
    figure.savefig(PLOT, dpi=90)


def main() -> None:
    """Writes the page and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--since", default="")
    days = read_journal(parser.parse_args().since)
    PAGE.write_text(make_page(days))
    draw(days)
    print(f"{len(days)} days in {PAGE.name}")


if __name__ == "__main__":
    main()
