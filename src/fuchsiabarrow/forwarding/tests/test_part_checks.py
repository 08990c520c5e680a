"""What counts as evidence against the parts of a prompt, for one entry."""

import pytest

from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.utils.tests import virtual_time

PART = "part"
CRASH = [fakes.Wait(0.05), fakes.ConnectionLost]
INSTANCES = [
    fleets.make_instance(
        f"i-{n}", "a", "fast", (0, 80), address=f"10.0.0.{n}:80"
    )
    for n in range(1, 9)
]


def make_harness(script) -> fakes.Harness:
    harness = fakes.Harness(*INSTANCES)
    for instance in INSTANCES:
        harness.script(instance.address, script)
    for _ in range(10):
        # Requests without the part are answered.
        harness.forwarding.part_crashes.record_begin(
            [crashing_parts.compute_hash("other")]
        )
    return harness


def serve(script, is_dead=True, is_leaving=False, count=4, **changes):
    """Serves requests with one part; returns the last writer and the harness.

    Args:
        script: What each instance does with a request.
        is_dead: Whether the instances do not answer probes.
        is_leaving: Whether they are known to leave by the time of the probe.
        count: Number of requests.
        **changes: Changed fields of the requests.
    """

    async def run():
        harness = make_harness(script)
        if is_dead:
            harness.control.silent.update(i.address for i in INSTANCES)
        if is_leaving:
            harness.directory.get = lambda name: fleets.make_instance(
                name, is_leaving=True
            )
        for number in range(count):
            request = fakes.make_stream_request(
                shared_parts=(PART,), body=b"%d" % number, **changes
            )
            writer = await harness.serve(request)
        return writer, harness

    return virtual_time.run(run())


def judge(harness) -> crashing_parts.Verdict:
    return harness.forwarding.part_crashes.judge(
        crashing_parts.compute_hash(""), [crashing_parts.compute_hash(PART)]
    ).verdict


def test_part_of_requests_that_crash_instances_is_blocked():
    writer, harness = serve(CRASH)
    assert len(harness.sent_addresses) == 2
    assert judge(harness) is crashing_parts.Verdict.BLOCKED
    assert writer.refusal.reason is messages.RefusalReason.CRASHES_UPSTREAMS
    assert writer.refusal.is_not_run
    assert writer.refusal.retry_after_s > 1.0


def test_last_event_id_of_the_caller_does_not_evade_a_block():
    writer, harness = serve(CRASH, last_event_id="7")
    assert len(harness.sent_addresses) == 2
    assert writer.refusal.is_not_run


@pytest.mark.parametrize(
    "options",
    [
        {"is_dead": False},
        {"is_leaving": True},
        {"script": [fakes.Wait(60.0)]},
        {"script": [*fakes.stream(1, 4), fakes.ConnectionLost]},
    ],
    ids=["answers probes", "leaving", "slow", "begun"],
)
def test_other_losses_are_no_evidence(options):
    _, harness = serve(**{"script": CRASH, "count": 2, **options})
    assert judge(harness) is crashing_parts.Verdict.CLEAR


def test_request_that_tests_a_part_begins_at_an_idle_instance():
    async def run():
        harness = make_harness(fakes.stream(1, 11))
        part = crashing_parts.compute_hash(PART)
        crashes = harness.forwarding.part_crashes
        crashes.merge_report(
            {(part, 1, 2): crashing_parts.CrashReport(-10.0)}, {}
        )
        for instance in INSTANCES[:-1]:
            load = {instance.key: fakes.loads.Load(1, 1)}
            harness.load_table.add_own(load, 1)
        request = fakes.make_stream_request(shared_parts=(PART,))
        writer = await harness.serve(request)
        return writer, harness

    writer, harness = virtual_time.run(run())
    assert writer.is_finished
    assert harness.sent_addresses == [INSTANCES[-1].address]
    assert judge(harness) is crashing_parts.Verdict.CLEAR
