"""Stand-ins of the platform's store, of plain runners and of consumers.

They follow the pages PROTOCOL and DEPLOY. Everything listens on loopback
addresses; the entries run as processes started with the command of the deploy
file.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ctypes
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp
import aiohttp.web

# The repository, also from target/review-2.
ROOT = next(
    folder
    for folder in pathlib.Path(__file__).resolve().parents
    if (folder / "deploy" / "system.toml").exists()
)
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.2
HOST = "shop.example"
# From linux/prctl.h.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)
# Ids of the processes that this script has started.
_started: list[int] = []


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        line = f"{self.now_s():8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


def end_with_parent() -> None:
    """Has the kernel end this process if the script is killed."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def record_start(record: Record, name: str, pid: int) -> None:
    """Records the id of a process that was started."""
    _started.append(pid)
    record.write(f"{name} started, process {pid}")


def _find_alive() -> list[int]:
    """Returns the started processes that are still there."""
    alive = []
    for pid in _started:
        try:
            os.kill(pid, 0)
        except ProcessLookupError:
            continue
        alive.append(pid)
    return alive


def run_case(run: Callable[..., Awaitable[int]]) -> int:
    """Runs a case and returns its exit status.

    Args:
        run: Called with the record, whether the disruption is part of the run,
            and a temporary folder; returns the exit status.
    """
    record = Record(pathlib.Path(sys.argv[1]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run_until_stopped(folder: pathlib.Path) -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        return await run(record, has_trouble, folder)

    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            status = asyncio.run(run_until_stopped(pathlib.Path(folder)))
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"could not run: {error!r}")
            status = 2
    record.write(
        f"{len(_started)} processes were started, alive now: {_find_alive()}"
    )
    return status


class Network:
    """Loopback addresses of this run, and ports that are free on all of them.

    Attributes:
        front, ready, control, internal, store, server: The ports.
    """

    def __init__(self, host_count: int = 12):
        prefix = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self._hosts = [f"{prefix}.{n}" for n in range(1, host_count + 1)]
        self._used = 0
        for base in range(18200, 30000, 200):
            names = ("front", "ready", "control", "store", "server")
            ports = dict(zip(names, range(base, base + 5)))
            internal = range(base + 20, base + 36)
            if all(
                _is_free(host, port)
                for host in self._hosts
                for port in (*ports.values(), *internal)
            ):
                self.__dict__.update(ports)
                self.internal = (internal[0], internal[-1])
                return
        raise RuntimeError("no free ports")

    def take_host(self) -> str:
        self._used += 1
        return self._hosts[self._used - 1]


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Store:
    """The platform's store: lists, watches, revisions, 410, `Store-Era`."""

    def __init__(self, record: Record):
        self.record = record
        self.is_away = False
        self.era = 0
        self.revision = 1
        self.oldest = 1
        self.address = ""
        # kind -> name -> (revision, encoded spec)
        self._objects: dict[str, dict[str, tuple[int, bytes]]] = {}
        # (revision, kind, encoded event)
        self._events: list[tuple[int, str, bytes]] = []
        self._changed = asyncio.Event()
        self._runner: aiohttp.web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        app = aiohttp.web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/objects/{kind}", self._read)
        app.router.add_get("/objects/{kind}/{name}", self._read_one)
        self._runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await aiohttp.web.TCPSite(self._runner, host, port).start()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        self.go_away()
        await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: bytes) -> None:
        """Writes an object; `spec` is what its writer sent, encoded."""
        self.revision += 1
        self._objects.setdefault(kind, {})[name] = (self.revision, spec)
        encoded = _encode(name, self.revision, spec)
        event = b'{"object":%s,"tombstone":false}' % encoded
        self._events.append((self.revision, kind, event))
        self._notify()

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        _, spec = self._objects[kind].pop(name)
        encoded = _encode(name, self.revision, spec)
        event = b'{"object":%s,"tombstone":true}' % encoded
        self._events.append((self.revision, kind, event))
        self._notify()

    def copy(self) -> tuple:
        objects = {k: dict(v) for k, v in self._objects.items()}
        return objects, self.revision, list(self._events)

    def go_away(self) -> None:
        """Refuses all calls and cuts off the watches that wait."""
        self.is_away = True
        self._notify()

    def come_back(self, copied: tuple | None = None) -> None:
        """Serves calls again; from an older copy if one is given."""
        if copied is not None:
            objects, self.revision, events = copied
            self._objects = {k: dict(v) for k, v in objects.items()}
            self._events = list(events)
            self.era += 1
        self.is_away = False
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _add_era(self, request, response) -> None:
        response.headers["Store-Era"] = str(self.era)

    async def _read_one(self, request) -> aiohttp.web.Response:
        if self.is_away:
            return aiohttp.web.Response(status=503)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return aiohttp.web.Response(status=404)
        revision, spec = self._objects[kind][name]
        return _answer(_encode(name, revision, spec))

    async def _read(self, request) -> aiohttp.web.Response:
        if self.is_away:
            return aiohttp.web.Response(status=503)
        await asyncio.sleep(0.004)
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        entries = [
            _encode(name, revision, spec)
            for name, (revision, spec) in sorted(
                self._objects.get(kind, {}).items()
            )
            if name > after
        ][:500]
        return _answer(
            b'{"entries":[%s],"more":false,"store_revision":%d}'
            % (b",".join(entries), self.revision)
        )

    async def _watch(self, request, kind: str) -> aiohttp.web.Response:
        since = int(request.query["watch"])
        if since > self.revision or since < self.oldest:
            return _answer(b'{"error":"no such history"}', 410)
        wait_ms = min(30_000, int(request.query.get("wait_ms", "0")))
        until_s = time.monotonic() + wait_ms / 1000
        while True:
            if self.is_away:
                if request.transport is not None:
                    request.transport.abort()
                return aiohttp.web.Response(status=503)
            changed = self._changed
            events = [e for r, k, e in self._events if r > since and k == kind]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return _answer(
                    b'{"events":[%s],"store_revision":%d}'
                    % (b",".join(events), self.revision)
                )
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass


def _encode(name: str, revision: int, spec: bytes) -> bytes:
    metadata = json.dumps(
        {
            "name": name,
            "revision": revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
    ).encode()
    return b'{"metadata":%s,"spec":%s,"status":null}' % (metadata, spec)


def _answer(body: bytes, status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status, body=body, content_type="application/json"
    )


class Runner:
    """A sound runner of a plain service; records what it runs."""

    def __init__(self, record: Record, name: str, service: str, zone: str):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.work_s = 0.02
        self.address = ""
        self.born = int(time.time() * 1000)
        # (request id, seconds since the start, tenant)
        self.runs: list[tuple[str, float, str]] = []
        self._runner: aiohttp.web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        app = aiohttp.web.Application(client_max_size=1 << 24)
        app.router.add_get("/healthz", self._health)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, keepalive_timeout=15
        )
        await self._runner.setup()
        await aiohttp.web.TCPSite(self._runner, host, port).start()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def make_entry(self) -> bytes:
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": self.state,
                "cold_left_ms": 0,
                "sequence": 1,
                "born": self.born,
            }
        ).encode()

    async def _health(self, request) -> aiohttp.web.Response:
        return aiohttp.web.Response(headers={"Instance-Id": self.name})

    async def _run(self, request) -> aiohttp.web.Response:
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return aiohttp.web.Response(
                status=421, headers={"Instance-Id": self.name}
            )
        request_id = request.headers.get("Attempt-Id", "")
        tenant = request.headers.get("Tenant", "")
        self.runs.append((request_id, self.record.now_s(), tenant))
        self.record.write(f"{self.name} runs {request_id} tenant={tenant}")
        await asyncio.sleep(self.work_s)
        headers = {
            "Attempt-Id": request_id,
            "Response-Seal": f"3e1b.{self.name}.{len(self.runs)}",
        }
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return aiohttp.web.Response(text=f"done {request_id}", headers=headers)


class Entry:
    """One entry: the program of the deploy file in a process of its own."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        name: str,
        zone: str,
        ip: str,
        network: Network,
        seeds: list[str],
        store: str,
    ):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.front, self.ready = network.front, network.ready
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=ip,
                front=network.front,
                ready=network.ready,
                control=network.control,
                first=network.internal[0],
                last=network.internal[1],
                seeds=",".join(f"{s}:{network.control}" for s in seeds),
                store=store,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split()

    def start(self) -> None:
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FUCHSIABARROW_SETTINGS"] = str(self._settings)
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                preexec_fn=end_with_parent,
            )
        record_start(self.record, self.name, self._process.pid)

    def send(self, number: signal.Signals) -> None:
        self._process.send_signal(number)
        self.record.write(f"{self.name} gets {number.name}")

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
            self.record.write(f"{self.name} killed")

    def has_exited(self) -> bool:
        return self._process.poll() is not None

    def read_memory_mb(self) -> int:
        """Returns the resident memory of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self._process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(
                f"http://{self.ip}:{self.ready}/ready",
                timeout=aiohttp.ClientTimeout(total=0.5),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self, session, limit_s: float = 20.0) -> bool:
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if await self.is_ready(session):
                self.record.write(f"{self.name} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def read_log(self) -> str:
        return self._log.read_text(errors="replace")


class Consumer:
    """Sends single requests, each on a new channel."""

    def __init__(self, record: Record, session: aiohttp.ClientSession):
        self.record, self._session = record, session
        self._count = 0

    async def call(
        self,
        entry: Entry,
        path: str,
        key: str,
        method: str = "GET",
        deadline_ms: int = 1500,
        body: bytes = b"",
    ) -> tuple[str, float, int]:
        """Returns the id, the time of sending and the status; 0 for none."""
        self._count += 1
        request_id = f"{self._count:016x}"
        sent_s = self.record.now_s()
        try:
            async with self._session.request(
                method,
                f"http://{entry.ip}:{entry.front}{path}",
                data=body or None,
                headers={
                    "Host": HOST,
                    "Attempt-Id": request_id,
                    "Deadline-Ms": str(deadline_ms),
                    "Authorization": f"Token {key}",
                    "Connection": "close",
                },
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status = 0
            self.record.write(f"{request_id} no answer: {type(error).__name__}")
        self.record.write(
            f"{request_id} {method} {path} key={key} sent at {sent_s:.3f}"
            f" to {entry.name}: {status}"
        )
        return request_id, sent_s, status


def make_route(name: str, prefix: str, kind: str, service: str) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "slo_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "anonymous": False,
    }


def make_config(version: int, tenants: list[dict]) -> bytes:
    """Returns a configuration with one plain service and two routes."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                make_route("read", "/read/", "idempotent", "desk"),
                make_route("book", "/book/", "non_idempotent", "desk"),
            ],
            "services": [
                {"name": "desk", "health_path": "/healthz", "max_conns": 110}
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
    ).encode()


# The settings of DEPLOY.md, with loopback addresses.
SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region=tt-north
zones.tt-north-a=tt-north
zones.tt-north-b=tt-north
zones.tt-north-c=tt-north
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
internal_ports={first},{last}
seeds={seeds}
bootstrap=true
in_tolerance=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=202
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=3000
bounds.require_fence=false
provider.address={store}
provider.form=objects
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
provider.value_bytes=1048576
provider.ttl_min_ms=1000
"""
