"""Entries that follow a changing configuration, on a simulated network.

The entries are composed as in production, with their clients of the store,
load reports and relays, on virtual time; callers and upstreams are left out.
Versions are committed at the store while faults are injected. What an entry
would do with a request follows from its configuration at that time, so that
the time of the last request that is handled by an older version is the time at
which the entry adopts the newer one.
"""

import asyncio
import bisect
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
import contextlib
import dataclasses
import itertools
import math
import random

from fuchsiabarrow.catalogs import access
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform.tests import fake_stores
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.platform.tests import simulated_network

DOMAINS = ("a", "b", "c")
HOST = "shop.example"
STORE_IP = "10.9.9.9"
STORE_PORT = 1
STORE_MBPS = 1000.0
# Without a fault for this long, an entry has to keep all bounds.
CALM_S = {2.0: 3.0, 3.0: 4.0}
# An entry that the store refuses, while it serves others, may be later by this.
OUTER_S = {2.0: 5.0, 3.0: 6.0}
REVOKE_S = 5.0
# The entries know each other from this time on.
WARM_UP_S = 6.0
# Time after the last change for which entries are observed.
SETTLE_S = 10.0
CHECK_PERIOD_S = 0.1
ROUTES = 50
ORGANISATIONS = 24
KEYS_PER_ORGANISATION = 6
UPSTREAMS = 12
SETTINGS = """\
node_name={name}
ip={ip}
zone={domain}
listen.front={ip}:1
listen.ready={ip}:2
internal_ports=9000,9015
seeds={seeds}
limits.memory_mb=300
limits.max_fds=4100
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms={apply_ms}
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=202
bounds.stall_ms=3000
provider.address=10.9.9.9:1
"""


@dataclasses.dataclass(frozen=True)
class Commit:
    """A version that the store has accepted.

    Attributes:
        at_s: Loop time of the acknowledgement.
        version: Its number.
        added_path: Path of a route that it added, empty if it added none.
        removed_key: Key that it took away, empty if it took none.
    """

    at_s: float
    version: int
    added_path: str = ""
    removed_key: str = ""


@dataclasses.dataclass
class Trace:
    """What one process of an entry did.

    Attributes:
        name: Name of the entry.
        started_s: Loop time of its start.
        ended_s: Loop time of its end.
        adopted: Loop time and version of each configuration in force.
    """

    name: str
    started_s: float
    ended_s: float = math.inf
    adopted: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def get_version(self, at_s: float) -> int:
        """Returns the version in force at a loop time; 0 for none."""
        index = bisect.bisect(self.adopted, (at_s, math.inf))
        return self.adopted[index - 1][1] if index else 0

    def find_adoption_s(self, version: int) -> float:
        """Returns when a version or a newer one was first in force."""
        return next((s for s, v in self.adopted if v >= version), math.inf)


@dataclasses.dataclass
class Excuse:
    """A time in which entries need not keep the bound.

    Attributes:
        begin_s: Loop time of the begin of the fault.
        names: The entries.
        extra_s: Time by which they may be late; infinity for any time.
        end_s: Loop time of its end; the bound holds some time after it.
    """

    begin_s: float
    names: frozenset[str]
    extra_s: float = math.inf
    end_s: float = math.inf


class Deployment:
    """Entries and a store; a context manager that ends the entries.

    Attributes:
        network: The network.
        store: The store.
        random: Random number generator of the day.
        bound_s: Time after a commit in which it must be in force.
        entries: Running entries by name.
        hosts: Hosts of the running entries by name.
        traces: Traces of all processes.
        commits: Versions in the order of their commits.
        excuses: Faults that excuse entries.
        denials: Descriptions of requests that were denied although every
            configuration that may be in force allows them.
        revoked_accesses: Descriptions of requests that were allowed with a key
            that was revoked before the time limit.

    Args:
        network: The network.
        entries: Number of entries.
        link_mbps: Rate of the links of all entries but every ninth.
        filler_routes: Number of routes that no change concerns.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        network: simulated_network.Network,
        entries: int,
        link_mbps: float = 20.0,
        filler_routes: int = ROUTES,
        seed: int = 1,
    ):
        self.network = network
        self.store = fake_stores.FakeStore(f"{STORE_IP}:{STORE_PORT}", 5.0)
        self.random = random.Random(seed)
        self.bound_s = 2.0 if entries < 60 else 3.0
        self.entries: dict[str, forwarding_entry.ForwardingEntry] = {}
        self.hosts: dict[str, simulated_network.Host] = {}
        self.traces: list[Trace] = []
        self.commits: list[Commit] = []
        self.excuses: list[Excuse] = []
        self.denials: list[str] = []
        self.revoked_accesses: list[str] = []
        self._count = entries
        self._link_mbps = link_mbps
        self._version = 0
        self._fillers = [
            sample_objects.make_route(
                name=f"filler-{number}",
                host=f"host{number % 7}.example",
                path_prefix=f"/filler{number}/",
            )
            for number in range(filler_routes)
        ]
        self._routes = {f"/r{number}/": "desk" for number in range(ROUTES // 5)}
        self._timeout_ms = 20_000
        self._keys = {
            f"org{org}-key{number}": f"org{org}"
            for org in range(ORGANISATIONS)
            for number in range(KEYS_PER_ORGANISATION)
        }
        self._paths_at: list[tuple[float, frozenset[str]]] = []
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Deployment":
        store_host = self.network.add_host(STORE_IP, "store")
        store_host.link_mbps = STORE_MBPS
        await store_host.start(self.store.__aenter__())
        for number in range(UPSTREAMS):
            await self.register_upstream(number)
        await self.commit()
        for index in range(self._count):
            await self.start_entry(index)
        await asyncio.sleep(WARM_UP_S)
        self._start(self._check_requests())
        return self

    async def __aexit__(self, *details) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for name in list(self.entries):
            await self.kill_entry(name)
        host = self.network.hosts[STORE_IP]
        await host.start(self.store.__aexit__(None, None, None))

    def _start(self, coroutine: Coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    # Entries.

    async def start_entry(self, index: int) -> None:
        """Starts an entry as a new process."""
        name = f"entry-{index:03}"
        domain = DOMAINS[index % len(DOMAINS)]
        ip = f"10.0.{index // 250}.{index % 250}"
        settings = settings_module.parse(
            SETTINGS.format(
                name=name,
                ip=ip,
                domain=domain,
                seeds=",".join(f"10.0.0.{seed}:1" for seed in range(3)),
                apply_ms=round(self.bound_s * 1000),
            )
        )
        host = self.network.add_host(ip, domain)
        host.link_mbps = 100.0 if index % 9 == 0 else self._link_mbps
        entry = forwarding_entry.ForwardingEntry(
            settings, self.random.randrange(2**32), self._now
        )
        trace = Trace(name, self._now())
        self.traces.append(trace)
        await host.start(entry.__aenter__())
        current_catalog = entry.kernel.get("current_catalog")

        def record(catalog: documents.Catalog) -> None:
            trace.adopted.append((self._now(), catalog.version))

        if current_catalog.catalog is not None:
            record(current_catalog.catalog)
        current_catalog.add_listener(record)
        self.entries[name] = entry
        self.hosts[name] = host

    async def kill_entry(self, name: str) -> None:
        """Ends an entry without a farewell."""
        entry, host = self.entries.pop(name), self.hosts.pop(name)
        next(
            t for t in self.traces if t.name == name and t.ended_s == math.inf
        ).ended_s = self._now()
        self.network.kill(host)
        await host.start(entry.__aexit__(None, None, None))

    def draw_names(self, share: float) -> list[str]:
        """Draws a share of the entries, at least one."""
        names = sorted(self.entries)
        return self.random.sample(names, max(1, round(len(names) * share)))

    def get_ips(self, names: Collection[str]) -> set[str]:
        """Returns the addresses of entries."""
        return {self.hosts[name].address for name in names}

    def get_version(self, name: str) -> int:
        """Returns the version in force at an entry, 0 for none."""
        catalog = self.entries[name].kernel.get("current_catalog").catalog
        return catalog.version if catalog is not None else 0

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # What the operator and the upstreams write.

    async def register_upstream(
        self, number: int, place: int | None = None, service: str = "desk"
    ) -> None:
        """Writes the entry of an upstream, as if its version had changed.

        Args:
            number: Its number.
            place: Number of its address; None for the same.
            service: Its service.
        """
        await self.store.put(
            "servers",
            f"i-{number}",
            sample_objects.make_server(
                service=service,
                address=f"10.2.0.{number if place is None else place}:80",
                version=f"v{self.store.revision}",
                models=[],
                layers=None,
            ),
        )

    async def commit(self, added_path: str = "", removed_key: str = "") -> None:
        """Writes the current routes and keys as a new version."""
        self._version += self.random.randint(1, 4)
        tenants: dict[str, list[str]] = {}
        for key, organisation in self._keys.items():
            tenants.setdefault(organisation, []).append(key)
        routes = [
            sample_objects.make_route(
                name=f"route{path}",
                host=HOST,
                path_prefix=path,
                service=service,
                timeout_ms=self._timeout_ms,
            )
            for path, service in self._routes.items()
        ]
        config = sample_objects.make_config(
            self._version,
            routes=[*routes, *self._fillers],
            tenants=[
                {"name": name, "api_keys": keys}
                for name, keys in tenants.items()
            ],
        )
        await self.store.put("config", "main", config)
        self.commits.append(
            Commit(self._now(), self._version, added_path, removed_key)
        )
        self._paths_at.append((self._now(), frozenset(self._routes)))

    async def change_routes(self) -> None:
        """Adds a route, drops one or moves one, at random."""
        self._timeout_ms = self.random.randrange(10_000, 30_000, 100)
        kind = self.random.choice(["add", "drop", "move"])
        added = ""
        if kind == "add" or len(self._routes) < 5:
            added = f"/r{self._version}-{len(self._routes)}/"
            self._routes[added] = "desk"
        else:
            path = self.random.choice(sorted(self._routes))
            if kind == "drop":
                del self._routes[path]
            else:
                is_first = self._routes[path] == "desk"
                self._routes[path] = "model" if is_first else "desk"
        await self.commit(added)

    async def revoke_key(self) -> None:
        """Takes a key away."""
        key = self.random.choice(sorted(self._keys))
        del self._keys[key]
        await self.commit(removed_key=key)

    async def change_repeatedly(self, count: int, gap_s: float) -> None:
        """Commits versions one after another; every fifth one revokes a key."""
        for number in range(count):
            if number % 5 == 4:
                await self.revoke_key()
            else:
                await self.change_routes()
            await asyncio.sleep(gap_s)

    # Faults.

    @contextlib.contextmanager
    def excuse(self, names: Collection[str], extra_s: float = math.inf):
        """Records that entries are disturbed during a ``with`` block."""
        excuse = Excuse(self._now(), frozenset(names), extra_s)
        self.excuses.append(excuse)
        try:
            yield
        finally:
            excuse.end_s = self._now()

    async def refuse(self, share: float, status: int, for_s: float) -> None:
        """Lets the store refuse some entries while it serves the others."""
        names = self.draw_names(share)
        ips = self.get_ips(names)
        with self.excuse(names, OUTER_S[self.bound_s]):
            self.store.refused = dict.fromkeys(ips, status)
            # Watches that wait are refused as well.
            self.network.reset_connections(ips, {STORE_IP})
            await asyncio.sleep(for_s)
            self.store.refused = {}

    async def cut_off(
        self, share: float, shape: simulated_network.Shape, for_s: float
    ) -> None:
        """Cuts some entries off from the store."""
        names = self.draw_names(share)
        with (
            self.excuse(names),
            self.network.cut(shape, self.get_ips(names), {STORE_IP}),
        ):
            await asyncio.sleep(for_s)

    async def disturb_store(self, for_s: float, **changes) -> None:
        """Sets attributes of the store for some time."""
        before = {name: getattr(self.store, name) for name in changes}
        with self.excuse(self.entries):
            for name, value in changes.items():
                setattr(self.store, name, value)
            await asyncio.sleep(for_s)
            for name, value in before.items():
                setattr(self.store, name, value)

    async def silence_store(self, for_s: float) -> None:
        """Drops all packets between the store and the entries."""
        ips = self.get_ips(self.entries)
        hang = simulated_network.Shape.HANG
        with (
            self.excuse(self.entries),
            self.network.cut(hang, ips, {STORE_IP}),
        ):
            await asyncio.sleep(for_s)

    def silence_connections(self, share: float = 1.0) -> None:
        """Silences the open connections to the store for good."""
        names = self.draw_names(share)
        with self.excuse(names):
            self.network.silence_connections(self.get_ips(names), {STORE_IP})

    def reset_connections(self, share: float = 1.0) -> None:
        """Resets the open connections to the store."""
        names = self.draw_names(share)
        with self.excuse(names):
            self.network.reset_connections(self.get_ips(names), {STORE_IP})

    async def restore_store(self, for_s: float) -> None:
        """Lets the store be away, and return to an earlier state.

        What the operator wrote since is written again.
        """
        copied = self.store.copy()
        with self.excuse(self.entries):
            await self.change_routes()
            self.store.status = 503
            await asyncio.sleep(for_s)
            self.store.status = 0
            self.store.restore(copied)
            await asyncio.sleep(0.3)
            await self.commit()

    async def freeze(self, share: float, for_s: float) -> None:
        """Freezes some entries."""
        names = self.draw_names(share)
        with self.excuse(names):
            for name in names:
                self.network.freeze(self.hosts[name])
            await asyncio.sleep(for_s)
            for name in names:
                self.network.thaw(self.hosts[name])

    async def restart(self, share: float) -> None:
        """Kills some entries and starts them again."""
        names = self.draw_names(share)
        with self.excuse(names):
            for name in names:
                await self.kill_entry(name)
            await asyncio.sleep(0.4)
            for name in names:
                await self.start_entry(int(name.rpartition("-")[2]))

    # Checks.

    def _is_excused(self, name: str, at_s: float) -> bool:
        calm_s = CALM_S[self.bound_s]
        return any(
            name in excuse.names
            and excuse.begin_s <= at_s < excuse.end_s + calm_s
            for excuse in self.excuses
        )

    async def _check_requests(self) -> None:
        """Checks, again and again, what all entries would do with requests."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now_s = self._now()
            kept_paths = self._find_kept_paths(now_s)
            key = next(iter(self._keys))
            revoked = [
                c
                for c in self.commits
                if c.removed_key and c.at_s + REVOKE_S < now_s
            ][-3:]
            for name, entry in self.entries.items():
                current = entry.kernel.get("current_catalog")
                if current.catalog is None:
                    continue

                def decide(path: str, key: str, current=current):
                    return access.decide_access(
                        current.catalog,
                        current.get_age_s(),
                        access.Limits(self.bound_s, REVOKE_S),
                        HOST,
                        path,
                        key,
                    ).verdict

                for path in kept_paths:
                    if decide(path, key) in (
                        access.Verdict.NO_ROUTE,
                        access.Verdict.UNKNOWN_KEY,
                    ) and not self._is_disturbed(name):
                        self.denials.append(f"{now_s:.1f} s: {name} {path}")
                if self.hosts[name].is_frozen:
                    continue
                for commit in revoked:
                    verdict = decide(kept_paths[0], commit.removed_key)
                    if verdict is access.Verdict.ALLOWED:
                        self.revoked_accesses.append(
                            f"{now_s:.1f} s: {name} {commit.removed_key}"
                            f" revoked at {commit.at_s:.1f} s"
                        )

    def _is_disturbed(self, name: str) -> bool:
        return self.hosts[name].is_frozen or self._is_excused(name, self._now())

    def _find_kept_paths(self, now_s: float) -> list[str]:
        """Returns routes of all versions that may be in force."""
        recent = [
            paths
            for (_, paths), (until_s, _) in itertools.pairwise(
                [*self._paths_at, (math.inf, frozenset())]
            )
            if until_s > now_s - self.bound_s
        ]
        return sorted(frozenset.intersection(*recent))

    def find_lateness_s(self) -> list[float]:
        """Returns the time from each commit until each entry has it in force.

        Only entries without a fault in between count.
        """
        lateness_s = []
        for trace in self.traces:
            for commit in self.commits:
                adopted_s = trace.find_adoption_s(commit.version)
                if commit.at_s < trace.started_s or adopted_s == math.inf:
                    continue
                is_calm = not any(
                    trace.name in excuse.names
                    and excuse.begin_s < adopted_s
                    and commit.at_s < excuse.end_s + CALM_S[self.bound_s]
                    for excuse in self.excuses
                )
                if is_calm:
                    lateness_s.append(adopted_s - commit.at_s)
        return lateness_s

    def find_breaches(self) -> list[str]:
        """Describes entries in touch that were late, and versions that fell."""
        breaches = []
        for trace in self.traces:
            versions = [version for _, version in trace.adopted]
            if versions != sorted(versions):
                breaches.append(f"{trace.name}: versions {versions}")
            for commit in self.commits:
                late_s = self._find_late_s(trace, commit)
                if late_s is not None:
                    breaches.append(
                        f"{trace.name}: version {commit.version} of"
                        f" {commit.at_s:.2f} s is not in force at"
                        f" {late_s:.2f} s"
                    )
        return breaches

    def _find_late_s(self, trace: Trace, commit: Commit) -> float | None:
        """Returns a time at which an entry in touch is late, or None."""
        until_s = min(
            trace.find_adoption_s(commit.version), trace.ended_s, self._now()
        )
        calm_s = CALM_S[self.bound_s]
        at_s = max(commit.at_s + self.bound_s, trace.started_s + calm_s)
        # Moves past each excuse that covers the time found so far.
        for excuse in sorted(self.excuses, key=lambda e: e.begin_s):
            if trace.name not in excuse.names:
                continue
            if excuse.begin_s <= at_s < excuse.end_s + calm_s:
                at_s = min(
                    excuse.end_s + calm_s,
                    max(at_s, commit.at_s + self.bound_s + excuse.extra_s),
                )
        return at_s if at_s < until_s else None


@dataclasses.dataclass(frozen=True)
class Result:
    """What happened on a day.

    Attributes:
        breaches: Late adoptions by entries in touch, and versions that fell.
        denials: False denials.
        revoked_accesses: Accesses by revoked keys.
        lateness_s: Times from commits to their adoption, sorted.
        calls_per_s: Calls to the store per second.
    """

    breaches: list[str]
    denials: list[str]
    revoked_accesses: list[str]
    lateness_s: list[float]
    calls_per_s: float

    @property
    def violations(self) -> list[str]:
        """All that the requirements do not allow."""
        return [*self.breaches, *self.denials, *self.revoked_accesses]


def play(
    script: Callable[[Deployment], Coroutine],
    entries: int = 9,
    **options,
) -> Result:
    """Plays a day.

    Args:
        script: Coroutine function that changes the configuration and injects
            faults.
        entries: Number of entries.
        options: Further arguments of `Deployment`.
    """

    async def main(network: simulated_network.Network) -> Result:
        async with Deployment(network, entries, **options) as deployment:
            loop = asyncio.get_running_loop()
            began_s, calls = loop.time(), len(deployment.store.calls)
            await script(deployment)
            await asyncio.sleep(SETTLE_S)
            calls = len(deployment.store.calls) - calls
            return Result(
                deployment.find_breaches(),
                deployment.denials,
                deployment.revoked_accesses,
                sorted(deployment.find_lateness_s()),
                calls / (loop.time() - began_s),
            )

    return simulated_network.run(main)
