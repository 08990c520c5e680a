"""Instances and requests of the tests of streams that change their path."""

import asyncio
import collections

from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.limits import crashing_parts

FIRST = fleets.make_instance(
    "first", "a", "fast", (0, 40), address="10.0.0.1:80"
)
LAST = fleets.make_instance(
    "last", "a", "fast", (40, 80), address="10.0.0.2:80"
)
SPARE_FIRST = fleets.make_instance(
    "spare-first", "a", "fast", (0, 40), address="10.0.0.3:80"
)
SPARE_LAST = fleets.make_instance(
    "spare-last", "a", "fast", (40, 80), address="10.0.0.4:80"
)
SECOND_SPARE_FIRST = fleets.make_instance(
    "second-spare-first", "a", "fast", (0, 40), address="10.0.0.5:80"
)
THIRD_LAST = fleets.make_instance(
    "third-last", "a", "fast", (40, 80), address="10.0.0.6:80"
)
ALL_EVENTS = b"".join(fakes.make_event(n) for n in range(1, 11))
# A sound instance may be silent for this long.
SILENCE_S = 1.0


def start(harness, **changes) -> asyncio.Task:
    request = fakes.make_stream_request(**changes)
    return asyncio.create_task(harness.serve(request))


def count_by_first(harness) -> collections.Counter:
    return collections.Counter(harness.sent_addresses)


def record_part_crash(harness, part: str) -> None:
    harness.forwarding.part_crashes.record_crash(
        crashing_parts.compute_hash(""),
        [crashing_parts.compute_hash(part)],
        crashing_parts.compute_hash("another"),
    )
