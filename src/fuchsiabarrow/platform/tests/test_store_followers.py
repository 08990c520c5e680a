"""Entries that read the store through other entries, on a simulated network."""

import asyncio
import contextlib

import pytest

from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import configuration_days
from fuchsiabarrow.platform.tests import simulated_network

KINDS = (wire_names.CONFIGURATION_KIND, wire_names.UPSTREAMS_KIND)
# The entries have chosen their sources this long after their start.
CHOICE_S = 4.0


def find_sources(deployment) -> list[str]:
    """Returns the names of the entries that read the store themselves."""
    return [
        name
        for name, entry in sorted(deployment.entries.items())
        if not any(entry.kernel.get("store").is_following(k) for k in KINDS)
    ]


def find_followed(deployment) -> list[str]:
    """Returns the names of the entries that others follow."""
    addresses = {
        address.rpartition(":")[0]
        for entry in deployment.entries.values()
        for address in entry.kernel.get("load_reports").find_sources()
    }
    return sorted(
        name
        for name, host in deployment.hosts.items()
        if host.address in addresses
    )


def find_ages_s(deployment, names) -> list[float]:
    """Returns the ages of the copies of entries, both collections."""
    kernels = [deployment.entries[name].kernel for name in names]
    return [
        kernel.get(service).get_age_s()
        for kernel in kernels
        for service in ("current_catalog", "directory")
    ]


# All entries asked the store at the end of each wait and for each change.
@pytest.mark.parametrize("entries", [76, 195, 402])
def test_calls_to_the_store_do_not_grow_with_the_entries(entries):
    counts = {}

    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        counts["sources"] = len(find_sources(deployment))
        calls = len(deployment.store.calls)
        await asyncio.sleep(5.0)
        quiet_calls = len(deployment.store.calls) - calls
        for number in range(5):
            await deployment.register_upstream(number)
            await asyncio.sleep(1.0)
        all_calls = len(deployment.store.calls) - calls
        counts["quiet_per_s"] = quiet_calls / 5.0
        counts["per_change"] = (all_calls - 2 * quiet_calls) / 5.0

    result = configuration_days.play(script, entries)
    assert result.violations == []
    assert counts["sources"] == 2 * len(configuration_days.DOMAINS)
    wait_s = watchers.compute_wait_s(3.0)
    assert counts["quiet_per_s"] <= 0.1 * entries / wait_s
    # Entries that all read the store are all told of each change.
    assert counts["per_change"] <= 0.2 * entries


# All entries found out about each failure by themselves.
def test_calls_to_a_store_that_fails_do_not_grow_with_the_entries():
    counts = []

    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        calls = len(deployment.store.calls)
        await deployment.disturb_store(10.0, status=503)
        counts.append((len(deployment.store.calls) - calls) / 10.0)
        await asyncio.sleep(3.0)
        counts.append(max(find_ages_s(deployment, deployment.entries)))

    result = configuration_days.play(script, 76)
    assert result.violations == []
    # A fifth of the calls of entries that all read the store themselves: one
    # for each collection every 0.66 s.
    assert counts[0] <= 0.2 * 2 * 76 / 0.66
    assert counts[1] <= 3.0


def test_lost_history_concerns_the_sources_only():
    counts = []

    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        calls = len(deployment.store.calls)
        await deployment.disturb_store(5.0, has_lost_history=True)
        counts.append((len(deployment.store.calls) - calls) / 5.0)

    result = configuration_days.play(script, 76)
    assert result.violations == []
    sources = 2 * len(configuration_days.DOMAINS)
    assert counts[0] <= sources * 2 / watchers.BATCH_S


async def _disturb(deployment, fault: str, names: list[str], for_s: float):
    """Injects a fault at entries; does not excuse any others."""
    hosts = [deployment.hosts[name] for name in names]
    ips = deployment.get_ips(names)
    with deployment.excuse(names):
        if fault == "killed":
            for name in names:
                await deployment.kill_entry(name)
            await asyncio.sleep(for_s)
            for name in names:
                await deployment.start_entry(int(name.rpartition("-")[2]))
        elif fault == "frozen":
            for host in hosts:
                deployment.network.freeze(host)
            await asyncio.sleep(for_s)
            for host in hosts:
                deployment.network.thaw(host)
        else:
            shape = simulated_network.Shape[fault.upper()]
            store = {configuration_days.STORE_IP}
            with deployment.network.cut(shape, ips, store):
                await asyncio.sleep(for_s)


# An entry that follows one that is lost must find out and take its own way in
# time: a version in force, and a key that is withdrawn.
@pytest.mark.parametrize(
    ("entries", "fault", "share"),
    [
        *(
            (18, fault, share)
            for fault in ("killed", "frozen", "hang", "refuse")
            for share in (0.5, 1.0)
        ),
        # Few entries follow nobody: the first ones are lost.
        (9, "killed", 0.5),
        (9, "frozen", 0.5),
        (76, "frozen", 1.0),
        (76, "hang", 0.5),
    ],
)
def test_loss_of_followed_entries_delays_no_version(entries, fault, share):
    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        for _ in range(2):
            followed = find_followed(deployment)
            assert bool(followed) == (entries > 16)
            followed = followed or sorted(deployment.entries)[:4]
            names = followed[:: round(1 / share)]
            disturbing = asyncio.create_task(
                _disturb(deployment, fault, names, 5.0)
            )
            await asyncio.sleep(0.1)
            await deployment.change_repeatedly(10, 0.5)
            await disturbing
            await asyncio.sleep(CHOICE_S)

    result = configuration_days.play(script, entries)
    assert result.violations == []
    # Two waits of a follower, one of the source that it asks next.
    assert result.lateness_s[-1] <= 2.0


def test_entries_that_are_restarted_in_series_lose_no_version():
    async def script(deployment):
        changes = asyncio.create_task(deployment.change_repeatedly(30, 0.5))
        for name in sorted(deployment.entries):
            with deployment.excuse([name]):
                await deployment.kill_entry(name)
                await asyncio.sleep(0.3)
                await deployment.start_entry(int(name.rpartition("-")[2]))
            await asyncio.sleep(0.3)
        await changes

    result = configuration_days.play(script, 18)
    assert result.violations == []


# One that the store refuses, while it serves the entries that follow it.
def test_entry_that_the_store_refuses_is_not_followed():
    ages_s = []

    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        names = find_followed(deployment)
        ips = deployment.get_ips(names)
        with deployment.excuse(names):
            deployment.store.refused = dict.fromkeys(ips, 503)
            deployment.network.reset_connections(
                ips, {configuration_days.STORE_IP}
            )
            await asyncio.sleep(4.0)
            others = sorted(set(deployment.entries) - set(names))
            ages_s.extend(find_ages_s(deployment, others))
            deployment.store.refused = {}

    result = configuration_days.play(script, 18)
    assert result.violations == []
    assert max(ages_s) <= watchers.compute_wait_s(2.0) + 1.0


def test_store_that_refuses_followers_only_concerns_nobody():
    ages_s = []

    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        followers = set(deployment.entries) - set(find_sources(deployment))
        ips = deployment.get_ips(followers)
        deployment.store.refused = dict.fromkeys(ips, 503)
        deployment.network.reset_connections(ips, {configuration_days.STORE_IP})
        await deployment.change_repeatedly(10, 0.5)
        ages_s.extend(find_ages_s(deployment, followers))
        deployment.store.refused = {}

    result = configuration_days.play(script, 18)
    assert result.violations == []
    assert max(ages_s) <= watchers.compute_wait_s(2.0) + 1.0


# A store that is silent keeps its connections open, and those of the sources
# to their followers live on.
def test_versions_are_in_force_in_time_after_a_silence_of_the_store():
    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        for _ in range(2):
            silence = asyncio.create_task(deployment.silence_store(6.0))
            await deployment.change_repeatedly(5, 1.0)
            await silence
            await asyncio.sleep(CHOICE_S)
            await deployment.change_repeatedly(5, 0.5)

    result = configuration_days.play(script, 18)
    assert result.violations == []


# Requests arrive and answers do not, or the other way round.
@pytest.mark.parametrize("is_answer_lost", [False, True])
def test_links_that_are_cut_one_way_delay_no_version(is_answer_lost):
    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        followed = find_followed(deployment)
        source = deployment.get_ips(followed[:1])
        others = deployment.get_ips(set(deployment.entries) - set(followed[:1]))
        hosts, peers = (source, others) if is_answer_lost else (others, source)
        hang = simulated_network.Shape.HANG
        cut = deployment.network.cut(hang, hosts, peers, is_one_way=True)
        # Only the time until the cut is noticed is excused.
        with cut:
            with deployment.excuse(deployment.entries):
                await asyncio.sleep(0.1)
            await deployment.change_repeatedly(16, 0.5)

    result = configuration_days.play(script, 18)
    assert result.violations == []
    assert result.lateness_s[-1] <= 2.0


# The address of an upstream that left is used again by another service.
def test_address_that_is_used_again_belongs_to_its_new_owner_at_all_entries():
    delays_s = []

    async def script(deployment):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(CHOICE_S)
        for number in range(4):
            address = f"10.2.0.{number}:80"
            await deployment.store.remove("servers", f"i-{number}")
            await deployment.register_upstream(100 + number, number, "model")
            changed_s = loop.time()
            left = set(deployment.entries)
            while left:
                await asyncio.sleep(0.02)
                directories = {
                    name: deployment.entries[name].kernel.get("directory")
                    for name in left
                }
                left = {
                    name
                    for name, directory in directories.items()
                    if directory.get(f"i-{number}") is not None
                    or directory.find_by_address(address) is None
                    or directory.find_by_address(address).service != "model"
                }
            delays_s.append(loop.time() - changed_s)

    configuration_days.play(script, 18)
    assert max(delays_s) <= 1.0


# An upstream that is gone, whose address may belong to another service soon.
@pytest.mark.parametrize("is_source_lost", [False, True])
def test_upstream_that_was_removed_is_removed_at_all_followers(is_source_lost):
    delays_s = []

    async def script(deployment):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(CHOICE_S)
        lost: list[str] = []
        with contextlib.ExitStack() as stack:
            if is_source_lost:
                lost = find_followed(deployment)
                stack.enter_context(deployment.excuse(lost))
                for name in lost:
                    deployment.network.freeze(deployment.hosts[name])
            removed_s = loop.time()
            await deployment.store.remove("servers", "i-3")
            left = set(deployment.entries) - set(lost)
            while left:
                await asyncio.sleep(0.02)
                gone = {
                    name
                    for name in left
                    if deployment.entries[name]
                    .kernel.get("directory")
                    .get("i-3")
                    is None
                }
                if gone:
                    delays_s.append(loop.time() - removed_s)
                left -= gone
            for name in lost:
                deployment.network.thaw(deployment.hosts[name])

    configuration_days.play(script, 18)
    assert delays_s[-1] <= (2.0 if is_source_lost else 0.5)


def test_followers_follow_no_follower():
    seen = []

    async def script(deployment):
        for _ in range(20):
            await asyncio.sleep(0.5)
            for entry in deployment.entries.values():
                for kind in KINDS:
                    store = entry.kernel.get("store")
                    position = store._positions.get(kind)
                    if position is None:
                        continue
                    ip = position.address.rpartition(":")[0]
                    followed = next(
                        n
                        for n, h in deployment.hosts.items()
                        if h.address == ip
                    )
                    kernel = deployment.entries[followed].kernel
                    seen.append(kernel.get("store").is_following(kind))

    configuration_days.play(script, 18)
    assert seen
    assert not any(seen)


# What an entry knows through another one is as old as the store's confirmation,
# however long the answer took.
def test_copy_of_a_follower_never_seems_newer_than_it_is():
    too_new = []

    async def observe(deployment):
        loop = asyncio.get_running_loop()
        # Loop times of confirmations at the sources, by collection.
        newest_s = {"current_catalog": 0.0, "directory": 0.0}
        while True:
            await asyncio.sleep(0.01)
            confirmed_s = {
                name: {
                    service: loop.time() - kernel.get(service).get_age_s()
                    for service in newest_s
                }
                for name, entry in deployment.entries.items()
                if "directory" in (kernel := entry.kernel)
            }
            sources = set(find_sources(deployment))
            for service, before_s in newest_s.items():
                newest_s[service] = max(
                    [before_s]
                    + [
                        confirmed_s[name][service]
                        for name in sources & confirmed_s.keys()
                    ]
                )
                too_new.extend(
                    (name, service)
                    for name, values in confirmed_s.items()
                    if values[service] > newest_s[service] + 1e-6
                )

    async def script(deployment):
        await asyncio.sleep(CHOICE_S)
        observing = asyncio.create_task(observe(deployment))
        followed = deployment.get_ips(find_followed(deployment))
        others = deployment.get_ips(deployment.entries) - followed
        hang = simulated_network.Shape.HANG
        for hold_s in (0.3, 0.9, 1.5, 5.0):
            with (
                deployment.excuse(deployment.entries),
                deployment.network.cut(hang, followed, others),
            ):
                await deployment.change_routes()
                await asyncio.sleep(hold_s)
            await asyncio.sleep(2.0)
        observing.cancel()

    result = configuration_days.play(script, 18)
    assert result.violations == []
    assert too_new == []
