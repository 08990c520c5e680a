"""Stand-ins for the platform, runners and consumers of the review's scripts.

Only the standard library is used. Everything listens on loopback addresses.
Entries run as separate processes with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# From linux/prctl.h.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None)

SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region=r
zones.a=r
zones.b=r
zones.c=r
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
internal_ports={inner},{inner_end}
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


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def add(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now_s():9.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()

    def say(self, text):
        print(text, flush=True)
        self.add(text)


async def read_message(reader):
    """Returns (start line, headers by lower-case name, body); None at EOF."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def encode(status, headers=(), body=b""):
    reasons = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: linearizable lists and watches, no faults."""

    def __init__(self, record):
        self._record = record
        self._revision = 1
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def start(self, host="127.0.0.1"):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def put(self, kind, name, spec):
        """Creates or replaces an object; `spec` may be raw JSON text."""
        self._revision += 1
        text = spec if isinstance(spec, str) else json.dumps(spec)
        self._objects.setdefault(kind, {})[name] = (self._revision, text)
        self._add_event(kind, name, text, False)

    def remove(self, kind, name):
        if name in self._objects.get(kind, {}):
            _, text = self._objects[kind].pop(name)
            self._revision += 1
            self._add_event(kind, name, text, True)

    def _add_event(self, kind, name, text, is_removed):
        encoded = '{"object":%s,"tombstone":%s}' % (
            _encode_object(name, self._revision, text),
            "true" if is_removed else "false",
        )
        self._events.append((self._revision, kind, encoded))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                path, _, query_text = target.partition("?")
                query = dict(
                    p.split("=", 1) for p in query_text.split("&") if p
                )
                kind, _, name = path.removeprefix("/objects/").partition("/")
                if method != "GET":
                    writer.write(encode(503))
                elif "watch" in query:
                    writer.write(await self._watch(kind, query))
                else:
                    writer.write(self._list(kind, name, query))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _list(self, kind, name, query):
        objects = self._objects.get(kind, {})
        if name:
            if name not in objects:
                return encode(404)
            return _answer(_encode_object(name, *objects[name]))
        names = sorted(n for n in objects if n > query.get("after", ""))
        page = names[:500]
        entries = ",".join(_encode_object(n, *objects[n]) for n in page)
        more = "true" if len(names) > len(page) else "false"
        return _answer(
            '{"entries":[%s],"more":%s,"store_revision":%d}'
            % (entries, more, self._revision)
        )

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return _answer(
                    '{"events":[%s],"store_revision":%d}'
                    % (",".join(events), self._revision)
                )
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


def _encode_object(name, revision, text):
    return (
        '{"metadata":{"name":%s,"revision":%d,"created":1,"finalizers":[],'
        '"deleting":false},"spec":%s,"status":null}'
        % (json.dumps(name), revision, text)
    )


def _answer(text):
    return encode(200, [("Content-Type", "application/json")], text.encode())


class Runner:
    """A runner of a service that answers each request alone.

    It works on `slots` requests at once, queues `queue` more and rejects the
    others with 503 and Not-Run. A request whose path ends in "poison" crashes
    it; it is back `back_s` later with a new id at the same address. Its old
    entry is removed after three missed heartbeats.
    """

    HEARTBEAT_S = 1.2

    def __init__(self, record, store, service, number, zone="a", slots=6,
                 queue=2, work_s=0.02, back_s=2.0, layers=None, events=0,
                 gap_s=0.1, crash_after=0):
        self._record, self._store = record, store
        self.service, self.number, self.zone = service, number, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self._back_s = back_s
        # (first, end) of its layers; None for a service without an engine.
        self.layers = layers
        # Events of a stream, and the time between them.
        self.events, self.gap_s = events, gap_s
        # Events of a poison stream before the crash.
        self.crash_after = crash_after
        self._server = None
        self._writers = set()
        self._free = None
        self._waiting = 0
        self._starts = 0
        self._port = 0
        self.id = ""
        self.state = "ready"
        self.arrivals = []
        self.tasks = set()

    @property
    def address(self):
        return f"127.0.0.1:{self._port}"

    async def start(self):
        self._starts += 1
        self.id = f"i-{self.service}-{self.number}-{self._starts}"
        self._born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.register()
        self._record.add("runner_started", id=self.id, address=self.address)

    def describe(self):
        described = {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "stage": "both",
            "models": [], "sequence": 1, "born": self._born,
        }
        if self.layers is not None:
            first, end = self.layers
            described["kind"] = "a100"
            described["layers"] = {"start_key": first, "to": end, "version": 1}
        return described

    def register(self):
        self._store.put("servers", self.id, self.describe())

    def _stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def leave(self):
        """Exits, some time after it has reported that it is draining."""
        self._record.add("runner_left", id=self.id)
        self._stop()
        self._store.remove("servers", self.id)

    async def _crash(self):
        self._record.add("runner_crashed", id=self.id)
        old_id = self.id
        self._stop()
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * self.HEARTBEAT_S, self._store.remove, "servers", old_id
        )
        await asyncio.sleep(self._back_s)
        await self.start()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._handle(*message, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, headers, writer, crash_after=None):
        """Sends the events after Last-Event-Id, each as one chunk.

        With `crash_after`, the runner crashes after that many events.
        """
        attempt = headers["attempt-id"]
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {attempt}\r\nResponse-Seal: {SEAL}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if crash_after is not None and number - first + 1 >= crash_after:
                await asyncio.sleep(self.gap_s / 2)
                self._spawn(self._crash())
                return None
        return b"0\r\n\r\n"

    async def _handle(self, start_line, headers, body, writer):
        method, target, _ = start_line.split(" ")
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            return encode(421, [("Instance-Id", self.id)])
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            return encode(status, [("Instance-Id", self.id)])
        if target == "/order":
            return encode(409)
        if target == "/report":
            report = {"stage": "both", "models": [], "busy": False,
                      "sequence": 0, "queued": self._waiting, "running": 0,
                      "kv_used": 0, "kv_total": 0, "handles": 0}
            return encode(200, [("Content-Type", "application/json")],
                          json.dumps(report).encode())
        self.arrivals.append((self._record.now_s(), attempt, target))
        if self._free.locked() and self._waiting >= self.queue:
            self._record.add("not_run", id=self.id, attempt=attempt)
            return encode(503, [("Not-Run", "1"), ("Attempt-Id", attempt)])
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._record.add(
                "runs", id=self.id, attempt=attempt, at=target,
                last_event_id=headers.get("last-event-id", "none"),
            )
            if target.endswith("poison"):
                if self.crash_after:
                    return await self._stream(headers, writer,
                                              self.crash_after)
                self._spawn(self._crash())
                return None
            await asyncio.sleep(self.work_s)
            if self.events:
                return await self._stream(headers, writer)
        return encode(
            200,
            [("Attempt-Id", attempt), ("Response-Seal", SEAL),
             ("Content-Type", "text/plain")],
            f"{attempt} by {self.id}".encode(),
        )


ENGINE = {
    "slots": 96, "kv_capacity": 50000, "kv_token_bytes": 1836000,
    "link_mbps": 400000.0, "stride": 3,
    "models": [{"name": "daka510000", "pace": 1.0, "load_s": 14.0,
                "warm_s": 1.0}],
    "step_ms": 1.02, "per_seq_ms": 0.01428, "context_per_k": 0.01912,
    "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
    "report_lag_ms": 200.0, "loads_at_once": 5,
    "delays": [{"start_key": "a", "to": "b", "delay_ms": 0.75}],
    "usual": {"prompt": 774, "answer": 200}, "layers": 80,
    "layer_mb": 1750.0, "act_bytes": 91800, "pipe_mbps": 26000.0,
    "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
}


def make_config(services, routes, version=1, engines=()):
    """Returns a configuration; `routes` are (name, kind, service, changes)."""
    return {
        "version": version,
        "routes": [
            {
                "name": name, "host": HOST, "path_prefix": f"/{name}/",
                "kind": kind, "timeout_ms": 1500, "slo_ms": 400,
                "priority": 1, "service": service, "max_attempts": 2,
                "anonymous": False, "sticky": False, "resumable": False,
                **changes,
            }
            for name, kind, service, changes in routes
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 110,
             **({"engine": ENGINE} if name in engines else {})}
            for name in services
        ],
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }


def find_free_ports(ips, count):
    """Returns ports that are free at all addresses, for TCP and for UDP."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        if port in found or port - 1 in found or port + 1 in found:
            continue
        try:
            for ip in ips:
                for number in (port, port + 1):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, number))
        except OSError:
            continue
        found.append(port)
    return found


class Entry:
    """An entry in a process of its own, as deploy/system.toml starts it."""

    def __init__(self, record, name, ip, zone, ports, store, folder):
        self._record = record
        self.name, self.ip, self.zone = name, ip, zone
        self.front, self.ready, self.control, self.inner = ports
        self._store = store
        self._settings_path = pathlib.Path(folder) / f"{name}.conf"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self._process = None
        # When its process was last started, stopped or killed.
        self.disturbed_s = 0.0

    def write_settings(self, seed_ips):
        new = self._settings_path.with_suffix(".new")
        new.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone, front=self.front,
            ready=self.ready, control=self.control, inner=self.inner,
            inner_end=self.inner + 1, store=self._store.address,
            seeds=",".join(f"{ip}:{self.control}" for ip in seed_ips),
        ))
        new.rename(self._settings_path)

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FUCHSIABARROW_SETTINGS"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                ["python3", "deploy/launch.py"], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.disturbed_s = self._record.now_s()
        self._record.add(
            "entry_started", name=self.name, pid=self._process.pid
        )

    def send(self, number):
        self._process.send_signal(number)
        self.disturbed_s = self._record.now_s()
        self._record.add("entry_signal", name=self.name,
                         signal=signal.Signals(number).name)

    async def wait_exit(self, limit_s=10.0):
        end_s = time.monotonic() + limit_s
        while self._process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.05)
        if self._process.poll() is None:
            self.send(signal.SIGKILL)
            self._process.wait()
        self.disturbed_s = self._record.now_s()
        self._record.add("entry_exited", name=self.name,
                         status=self._process.returncode)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready), 0.5
            )
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 0.5)
        except (OSError, asyncio.TimeoutError):
            answer = None
        writer.close()
        return answer is not None and " 200 " in answer[0] + " "

    async def wait_ready(self, limit_s=20.0):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                self._record.add("entry_ready", name=self.name)
                return True
            await asyncio.sleep(0.1)
        return False

    def is_in_touch(self, window_s=3.0):
        return self._record.now_s() - self.disturbed_s >= window_s

    def end(self):
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


def _end_with_parent():
    """Lets an entry end if the script that started it is killed."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Caller:
    """Sends requests on new channels and records their answers."""

    def __init__(self, record):
        self._record = record
        self._count = 0
        self.answers = {}
        self.sent = []

    def make_attempt_id(self):
        self._count += 1
        return f"{self._count:016x}"

    async def call(self, entry, path, method="GET", deadline_ms=1500,
                   body=b"", attempt=""):
        """Returns the status; 0 for a closed channel, -1 for no answer."""
        attempt = attempt or self.make_attempt_id()
        self.sent.append((self._record.now_s(), attempt, path, entry.name))
        self._record.add("sent", attempt=attempt, path=path, to=entry.name)
        status = 0
        try:
            status = await asyncio.wait_for(
                self._exchange(entry, path, method, deadline_ms, body,
                               attempt),
                deadline_ms / 1000 + 0.5,
            )
        except asyncio.TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.answers[attempt] = status
        self._record.add("answered", attempt=attempt, status=status)
        return status

    async def _exchange(self, entry, path, method, deadline_ms, body,
                        attempt):
        reader, writer = await asyncio.open_connection(entry.ip, entry.front)
        try:
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
                f"Authorization: Token {KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await read_message(reader)
            return 0 if answer is None else int(answer[0].split(" ")[1])
        finally:
            writer.close()


class Installation:
    """A store, runners and entries; leaves no process behind."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.store = Store(self.record)
        self.runners = []
        self.entries = []
        self.caller = Caller(self.record)
        self._temporary = tempfile.mkdtemp(prefix="review-")
        self._tasks = set()

    async def start_store(self):
        await self.store.start()

    async def add_runners(self, service, count, **options):
        for number in range(1, count + 1):
            runner = Runner(self.record, self.store, service, number,
                            zone="abc"[number % 3], **options)
            await runner.start()
            self.runners.append(runner)

    def add_entries(self, count):
        base = random.randrange(10, 200)
        ips = [f"127.0.{base}.{number + 1}" for number in range(count)]
        ports = find_free_ports(ips, 4)
        for number, ip in enumerate(ips):
            self.entries.append(Entry(
                self.record, f"front-{'abc'[number % 3]}-{number + 1}", ip,
                "abc"[number % 3], ports, self.store, self._temporary,
            ))
        return ips

    async def start_entries(self, seed_ips):
        for entry in self.entries:
            entry.write_settings(seed_ips)
            entry.start()
        ready = await asyncio.gather(*(e.wait_ready() for e in self.entries))
        return all(ready)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send_steadily(self, path, per_s, for_s, entries, **options):
        """Sends requests at a steady rate, to the entries in turn."""
        end_s = time.monotonic() + for_s
        number = 0
        while time.monotonic() < end_s:
            entry = entries[number % len(entries)]
            number += 1
            self.spawn(self.caller.call(entry, path, **options))
            await asyncio.sleep(1 / per_s)

    def close(self):
        for entry in self.entries:
            entry.end()
        shutil.rmtree(self._temporary, ignore_errors=True)

    def keep_logs(self, folder):
        for entry in self.entries:
            if entry.log_path.exists():
                shutil.copy(entry.log_path, folder)


def run(main, folder, limit_s=115.0):
    """Runs a case; exits with 0 (held), 1 (broken) or 2 (could not run)."""
    installation = None

    async def play():
        nonlocal installation
        installation = Installation(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(main(installation), limit_s)
        finally:
            if os.environ.get("KEEP_LOGS"):
                installation.keep_logs(os.environ["KEEP_LOGS"])
            installation.close()

    if not (ROOT / "target" / "app").is_dir():
        print("could not run: build with deploy/build.sh first")
        sys.exit(COULD_NOT_RUN)
    try:
        status = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        # The case itself failed or was stopped.
        print(f"could not run: {type(error).__name__} {error}")
        status = COULD_NOT_RUN
    result = {HELD: "the rule held", BROKEN: "the rule was broken",
              COULD_NOT_RUN: "the case could not run"}[status]
    print(f"{'TROUBLE=1' if TROUBLE else 'TROUBLE=0'}: {result}")
    sys.exit(status)
