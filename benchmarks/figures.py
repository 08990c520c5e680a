"""Writes docs/figures.md and its plot from the journal of scenario runs.

A scenario ("day" in the journal) is a load with planned operations and injected
faults. A run executes one or more scenarios; its results are one file of
`journal/`.

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
class ScenarioResult:
    """The result of one scenario, as recorded in the journal.

    Attributes:
        at: Start of its run, the name of the journal file.
        site: Site that it ran on.
        command: Command that started the run.
        why: Reason given for the run.
        name: Name of the scenario.
        slot: Kind of the scenario: quiet, trouble, scale or mix.
        net_payoff: Payoff minus costs, as a fraction of the payoff due.
        served: Fraction of the requests that were served.
        violations: Names of the rules that were violated.
    """

    at: str
    site: str
    command: str
    why: str
    name: str
    slot: str
    net_payoff: float
    served: float
    violations: tuple[str, ...]


def read_journal(since: str) -> list[ScenarioResult]:
    """Returns the results of all runs since a time, in order of the runs.

    Scenarios without a net payoff are omitted.

    Args:
        since: Earliest start of a run, YYYYMMDDTHHMMSS; all runs if empty.
    """
    results = []
    for path in sorted((ROOT / "journal").glob("*.json")):
        if path.name < since:
            continue
        entry = json.loads(path.read_text())
        for day in entry.get("days") or ():
            if day.get("G") is None:
                continue
            results.append(
                ScenarioResult(
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
    return results


def make_run_rows(results: list[ScenarioResult]) -> list[str]:
    """Returns a table row for each run."""
    runs: dict[tuple, list[ScenarioResult]] = collections.OrderedDict()
    for result in results:
        key = (result.at, result.site, result.command, result.why)
        runs.setdefault(key, []).append(result)
    rows = []
    for (at, site, command, why), of_run in runs.items():
        net_payoffs = [result.net_payoff for result in of_run]
        violations = [
            f"{r.name}: {' '.join(r.violations)}"
            for r in of_run
            if r.violations
        ]
        rows.append(
            f"| {at} | {site} | {command} | {len(of_run)}"
            f" | {statistics.mean(net_payoffs):.3f} | {min(net_payoffs):.3f}"
            f" | {'; '.join(violations) or 'none'} | {why} |"
        )
    return rows


def make_page(results: list[ScenarioResult]) -> str:
    """Returns the page in Markdown."""
    lines = [
        "# Figures",
        "",
        "Made by `benchmarks/figures.py` from `journal/`. Runs whose reason",
        "begins with `trial` are of scratch copies.",
        "",
        "![net payoffs of the scenarios, in order of their runs](figures.png)",
        "",
        "| run | site | command | scenarios | mean net payoff | lowest"
        " | rules violated | why |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        *make_run_rows(results),
    ]
    return "\n".join(lines) + "\n"


def plot_results(results: list[ScenarioResult]) -> None:
    """Plots the net payoffs at each site in order of the runs."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sites = sorted({result.site for result in results})
    figure, axes = pyplot.subplots(
        len(sites), 1, figsize=(9, 3 * len(sites)), squeeze=False
    )
    for axis, site in zip(axes[:, 0], sites, strict=True):
        for slot in ("quiet", "trouble", "scale", "mix"):
            points = [
                (index, result.net_payoff)
                for index, result in enumerate(
                    r for r in results if r.site == site
                )
                if result.slot == slot
            ]
            if points:
                axis.plot(*zip(*points, strict=True), "o", ms=3, label=slot)
        axis.set_title(site)
        axis.set_ylabel("net payoff")
        axis.grid(alpha=0.3)
        axis.legend(ncol=4, fontsize=8)
    axes[-1, 0].set_xlabel("scenario, in order of the runs")
    figure.tight_layout()
    figure.savefig(PLOT, dpi=90)


def main() -> None:
    """Writes the page and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--since", default="")
    results = read_journal(parser.parse_args().since)
    PAGE.write_text(make_page(results))
    plot_results(results)
    print(f"{len(results)} scenarios in {PAGE.name}")


if __name__ == "__main__":
    main()
