"""CPU time of the main computations of a forwarding entry, by input size.

Usage: python benchmarks/router_costs.py
"""

import dataclasses
import random
import time

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.peers import load_reports
from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.placement import plans
from fuchsiabarrow.placement.tests import test_plans
from fuchsiabarrow.platform import wire
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.scheduling import shares

ROUNDS = 30
US_PER_S = 1e6


def measure_us(function, rounds: int = ROUNDS) -> float:
    """Returns the mean CPU time of one call in microseconds."""
    started_s = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started_s) / rounds * US_PER_S


def make_fleet(scale: int):
    """Returns a model and instances that hold its layers.

    Args:
        scale: Multiplier of the number of instances of the example fleet.
    """
    model = fleets.make_model()
    empty = [
        fleets.make_instance(f"{kind}-{domain}-{index}", domain, kind)
        for kind, by_domain in fleets.COUNTS.items()
        for domain, count in by_domain.items()
        for index in range(count * scale)
    ]
    assigned = plans.plan_assignments(empty, model, {})
    return model, test_plans.apply(empty, assigned)


def print_path_cost(scale: int) -> None:
    """Prints the cost of choosing a path and of planning the placement."""
    size = paths.RequestSize(800.0, 200.0)
    rng = random.Random(1)
    model, placed = make_fleet(scale)

    def choose():
        candidates = [
            paths.make_candidate(i, model, size, loads.IDLE, 1.0)
            for i in placed
        ]
        return paths.choose_path(
            candidates, model, size, "a", lambda: rng.random() * 0.05
        )

    plan_us = measure_us(lambda: plans.plan_assignments(placed, model, {}), 5)
    print(
        f"{len(placed)} instances: path {measure_us(choose):.0f} us,"
        f" plan without changes {plan_us:.0f} us"
    )


def make_report(
    entry_count: int, upstream_count: int, domain_count: int
) -> report_codec.Report:
    """Returns an aggregated load report, as an aggregator sends it.

    Args:
        entry_count: Entries whose loads are summed.
        upstream_count: Upstreams with load.
        domain_count: Failure domains with entries that help others.
    """
    informed = tuple(
        summaries.CopyHolder(99.0, f"10.0.0.{n}:7000")
        for n in range(summaries.MAX_COPY_HOLDERS)
    )
    load = loads.Load(3, 1, 9000.0, 10.0)
    rng = random.Random(1)
    return report_codec.Report(
        "entry-1",
        "a",
        1_700_000_000_000,
        17,
        report_codec.Scope.ALL,
        summaries.Summary(
            entry_count,
            "entry-1",
            {
                load_reports.hash_upstream_key((f"i-{n}", n)): load
                for n in range(upstream_count)
            },
            {},
            {},
            informed,
            informed,
            helpers=tuple(
                summaries.Helper(
                    99.0,
                    f"10.{d}.0.{n}:7001",
                    f"domain-{d}",
                    rng.getrandbits(64),
                )
                for d in range(domain_count)
                for n in range(summaries.MAX_HELPERS_PER_DOMAIN)
            ),
        ),
        tuple(
            report_codec.Contact(f"entry-{n}", "a", f"10.0.0.{n}:7000", 17)
            for n in range(entry_count // 4 + 6)
        ),
    )


def print_report_cost(
    entry_count: int, upstream_count: int, domain_count: int
) -> None:
    """Prints the cost of encoding and decoding an aggregated load report."""
    report = make_report(entry_count, upstream_count, domain_count)
    data = report_codec.encode(report, 100.0)
    encode_us = measure_us(lambda: report_codec.encode(report, 100.0), 300)
    decode_us = measure_us(lambda: report_codec.decode(data, 100.0), 300)
    print(
        f"load report of {entry_count} entries over {upstream_count} instances"
        f" with helpers of {domain_count} domains: {len(data)} bytes,"
        f" encode {encode_us:.0f} us, decode {decode_us:.0f} us"
    )


def print_configuration_cost(count: int) -> None:
    """Prints the cost of decoding a configuration with many organisations."""
    tenants = [
        {"name": f"o{n}", "api_keys": [f"{n}-a" * 4, f"{n}-b" * 4]}
        for n in range(count)
    ]
    stored = sample_objects.make_stored(
        "main", sample_objects.make_config(tenants=tenants)
    )
    cost_us = measure_us(lambda: wire.decode_catalog(stored), 5)
    print(
        f"configuration of {count} organisations: {len(stored.value)} bytes,"
        f" {cost_us / 1000:.1f} ms"
    )


def print_share_cost(organisation_count: int, service_count: int) -> None:
    """Prints the cost of shares in the report of 44 entries, and of decisions.

    Args:
        organisation_count: Organisations over all entries; each entry serves
            up to 50 of them, the first ones most often.
        service_count: Services that they use.
    """
    rng = random.Random(1)
    tables = [shares.ShareTable(f"entry-{n}", 0.0) for n in range(44)]
    for table in tables:
        for _ in range(50):
            organisation = int(organisation_count * rng.random() ** 3)
            service = f"service-{organisation % service_count}"
            name = f"organisation-{organisation}"
            table.hold(service, name, rng.randint(200, 9000))
            table.refuse(service, name, rng.randint(200, 9000), 99.0)
    parts = [table.summarise(100.0) for table in tables]
    total = shares.merge_uses(parts)
    # Nothing else is in the reports, so that differences are not lost in noise.
    report = dataclasses.replace(
        make_report(44, 0, 0), contacts=(), summary=summaries.Summary(44)
    )

    def add_shares(uses) -> report_codec.Report:
        return dataclasses.replace(
            report, summary=summaries.Summary(44, shares=uses)
        )

    total_report = add_shares(total)
    plain_data = report_codec.encode(report, 100.0)
    data = report_codec.encode(total_report, 100.0)
    own_data = report_codec.encode(add_shares(parts[0]), 100.0)
    received = report_codec.decode(data, 100.0).summary.shares
    tables[0].set_report(
        "total", shares.subtract_uses(received, parts[0]), 100.0
    )
    encode_us = measure_us(
        lambda: report_codec.encode(total_report, 100.0), 300
    ) - measure_us(lambda: report_codec.encode(report, 100.0), 300)
    decode_us = measure_us(
        lambda: report_codec.decode(data, 100.0), 300
    ) - measure_us(lambda: report_codec.decode(plain_data, 100.0), 300)
    merge_us = measure_us(lambda: shares.merge_uses(parts))
    subtract_us = measure_us(lambda: shares.subtract_uses(received, parts[0]))
    summarise_us = measure_us(lambda: tables[0].summarise(100.0))
    standing_us = measure_us(
        lambda: tables[0].get_standing(
            "service-0", "organisation-0", 100.0, 500.0
        ),
        1000,
    )
    print(
        f"shares of {organisation_count} organisations in {service_count}"
        f" services: {len(data) - len(plain_data)} bytes in a total,"
        f" {len(own_data) - len(plain_data)} in the report of an entry;"
        f" encode {encode_us:.0f} us, decode {decode_us:.0f} us, merge 44"
        f" reports {merge_us:.0f} us, subtract {subtract_us:.0f} us, summarise"
        f" {summarise_us:.0f} us, a standing {standing_us:.0f} us"
    )


def print_upstream_cost() -> None:
    """Prints the cost of decoding one upstream of the list."""
    stored = sample_objects.make_stored("i", sample_objects.make_server())
    cost_us = measure_us(lambda: wire.decode_upstream(stored), 1000)
    print(f"upstream of the list: {len(stored.value)} bytes, {cost_us:.1f} us")


if __name__ == "__main__":
    for fleet_scale in (1, 3, 10):
        print_path_cost(fleet_scale)
    for entries, instances in ((9, 33), (70, 90), (400, 1000)):
        for domains in (0, 9):
            print_report_cost(entries, instances, domains)
    for organisations in (10, 8_900):
        print_configuration_cost(organisations)
    print_upstream_cost()
    for organisations, services in ((24, 1), (40, 1), (8_900, 1), (8_900, 12)):
        print_share_cost(organisations, services)
