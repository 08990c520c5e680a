"""Stand-ins for the scripts of the third review: store, runner, consumer.

They speak what PROTOCOL.md says over loopback, with the standard library only.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
# From linux/prctl.h.
PR_SET_PDEATHSIG = 1
HOST = "shop.example"
KEY = "key-1"


class Record:
    """Lines with the time since the start, in a file and on the console."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._began_s = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._began_s:9.3f} {text}\n")


def find_free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def find_common_ports(hosts, count):
    """Returns ports that are free at all hosts, in a row, TCP and UDP."""
    while True:
        first = find_free_port(hosts[0])
        if first + count > 65000:
            continue
        try:
            for host in hosts:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
        except OSError:
            continue
        return list(range(first, first + count))


async def read_message(reader):
    """Returns first line, headers (lower-case names) and body; None at EOF."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def encode_answer(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server; a subclass answers each request."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self._writers = set()
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()
            self._server = None

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                data = await self.answer(*message)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store(Server):
    """The platform's store: lists and watches of objects.

    Attributes:
        revision: Revision of the last change.
        era: Value of the header `Store-Era`, 0 to leave it out.
        is_away: Whether calls are answered with 503.
    """

    def __init__(self, record):
        super().__init__()
        self.revision = 10
        self.era = 0
        self.is_away = False
        self._record = record
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()

    def _announce(self, kind, stored, tombstone):
        event = {"object": json.loads(json.dumps(stored))}
        event["tombstone"] = tombstone
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = stored
        self._announce(kind, stored, False)

    def remove(self, kind, name):
        self.revision += 1
        stored = self._objects[kind].pop(name)
        stored["metadata"]["revision"] = self.revision
        self._announce(kind, stored, True)

    def copy(self):
        """Returns a copy of the state, for `restore`."""
        state = (self._objects, self.revision, self._events)
        return json.loads(json.dumps(state))

    def restore(self, copied):
        """Returns to a copied state; the era rises by one."""
        self._objects, self.revision, self._events = copied
        self._events = [tuple(event) for event in self._events]
        self.era += 1

    async def answer(self, first, headers, body):
        del headers, body
        if self.is_away:
            return encode_answer(503)
        method, target, _ = first.split(" ")
        path, _, text = target.partition("?")
        data = await self._answer_call(method, path, text)
        return encode_answer(503) if self.is_away else data

    async def _answer_call(self, method, path, text):
        query = dict(p.partition("=")[::2] for p in text.split("&") if p)
        kind = path.rsplit("/", 1)[-1]
        if method != "GET" or not path.startswith("/objects/"):
            return encode_answer(404)
        if "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query.get("wait_ms", "0"))
            )
        entries = [
            stored
            for name, stored in sorted(self._objects.get(kind, {}).items())
            if name > query.get("after", "")
        ]
        page = {
            "entries": entries[:500],
            "more": len(entries) > 500,
            "store_revision": self.revision,
        }
        return self._encode_json(page)

    async def _watch(self, kind, since, wait_ms):
        if since > self.revision:
            return self._encode_json({"error": "unknown revision"}, 410)
        era = self.era
        end_s = time.monotonic() + wait_ms / 1000
        while True:
            if era != self.era or self.is_away:
                return encode_answer(503)
            found = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return self._encode_json(
                    {"events": found, "store_revision": self.revision}
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.1))

    def _encode_json(self, value, status=200):
        headers = {"Content-Type": "application/json"}
        if self.era:
            headers["Store-Era"] = str(self.era)
        return encode_answer(status, json.dumps(value).encode(), headers)


class Channel:
    """One connection through a `Proxy`."""

    def __init__(self):
        self.is_silent = False
        self.request = ""
        self.sent_s = 0.0
        self.is_waiting = False
        self.abort = lambda: None


class Proxy:
    """Passes connections on; single ones can fall silent, without a reset.

    Attributes:
        channels: Open connections, with the last request on each.
        delay: Seconds by which each part of an answer is late.
    """

    def __init__(self, host, target):
        self.host = host
        self.port = 0
        self.channels = set()
        self.delay = 0.0
        self._target = target
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()

    def find_watch(self, kind):
        """Returns the channel on which a watch of a kind waits, if any."""
        for channel in self.channels:
            if (
                channel.is_waiting
                and not channel.is_silent
                and f"/objects/{kind}?" in channel.request
                and "watch=" in channel.request
            ):
                return channel
        return None

    async def _accept(self, reader, writer):
        host, port = self._target.rsplit(":", 1)
        channel = Channel()
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.channels.add(channel)
        channel.abort = writer.transport.abort
        pumps = [
            asyncio.create_task(self._pump(reader, back, channel, True)),
            asyncio.create_task(self._pump(there, writer, channel, False)),
        ]
        try:
            # A silent channel stays open until the entry closes it.
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            self.channels.discard(channel)
            back.transport.abort()
            writer.transport.abort()

    async def _pump(self, reader, writer, channel, is_request):
        try:
            while data := await reader.read(65536):
                if channel.is_silent:
                    continue
                if is_request:
                    line = data.split(b"\r\n", 1)[0].decode("latin-1")
                    channel.request = line
                    channel.sent_s = time.monotonic()
                channel.is_waiting = is_request
                if not is_request and self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
        except ConnectionError:
            pass


class Runner(Server):
    """A runner of a service without a language model.

    Attributes:
        id: Its id.
        runs: Time, request id, method, path and headers of what it ran.
        is_leaving: Whether its answers say that it is leaving.
        work_s: Time that a request takes.
    """

    def __init__(self, record, runner_id, service, host="127.0.0.1"):
        super().__init__(host)
        self.id = runner_id
        self.service = service
        self.runs = []
        self.is_leaving = False
        self.work_s = 0.02
        self.born = int(time.time() * 1000)
        self.record = record

    def make_entry(self, zone="a", state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 0,
            "born": self.born,
        }

    def make_headers(self, request_id):
        headers = {"Attempt-Id": request_id, "Instance-Id": self.id}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def answer(self, first, headers, body):
        method, target, _ = first.split(" ")
        request_id = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            return encode_answer(421, b"", self.make_headers(request_id))
        if target == "/healthz":
            return encode_answer(200, b"", {"Instance-Id": self.id})
        if not request_id:
            return encode_answer(400, b"", {"Not-Run": "1"})
        self.runs.append(
            (time.monotonic(), request_id, method, target, headers)
        )
        self.record.add(f"run {request_id} at {self.id} {method} {target}")
        await asyncio.sleep(self.work_s)
        made = self.make_headers(request_id)
        made["Response-Seal"] = f"seal.{self.id}.{request_id}"
        return encode_answer(200, make_body(self.id, request_id), made)


def make_body(runner_id, request_id):
    return f"{runner_id} {request_id} ".encode() + b"x" * 700


_libc = ctypes.CDLL(None)


def _end_with_parent():
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Entry:
    """A process of the project, started as the deploy file says."""

    def __init__(self, name, host, ports, folder, store, seeds, zone="a"):
        self.name, self.host = name, host
        self.front = f"{host}:{ports[0]}"
        self.ready = f"{host}:{ports[1]}"
        self._folder = pathlib.Path(folder)
        self._process = None
        seed_text = ",".join(f"{seed}:{ports[2]}" for seed in seeds)
        self._settings = f"""\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={host}
zone={zone}
region=r
zones.{zone}=r
listen.front={host}:{ports[0]}
listen.ready={host}:{ports[1]}
listen.control={host}:{ports[2]}
internal_ports={ports[3]},{ports[3] + 2}
seeds={seed_text}
bootstrap=false
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
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
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

    def start(self):
        path = self._folder / f"{self.name}.conf"
        path.write_text(self._settings)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "deploy/launch.py"],
                cwd=ROOT,
                preexec_fn=_end_with_parent,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "FUCHSIABARROW_SETTINGS": str(path),
                },
            )

    def send_signal(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def end(self):
        """Ends the process and waits for that."""
        if self._process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.ready, "GET", "/ready", {"Host": self.ready}), 1.0
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    async def wait_ready(self, limit_s=20.0):
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def read_log(self):
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


async def call(address, method, target, headers, body=b""):
    """Sends a request on a new connection.

    Returns:
        Status, headers and body of the answer.
    """
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        message = await read_message(reader)
    finally:
        writer.transport.abort()
    if message is None:
        raise EOFError("channel ended without an answer")
    first, answer_headers, answer_body = message
    return int(first.split(" ")[1]), answer_headers, answer_body


async def send_request(
    record, entry, request_id, method, target, limit_ms=600, body=b"", key=KEY
):
    """Sends a consumer's request; returns its answer, None for none."""
    headers = {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(limit_ms),
        "Authorization": f"Token {key}",
    }
    record.add(f"send {request_id} to {entry.name} {method} {target} {key}")
    try:
        answer = await asyncio.wait_for(
            call(entry.front, method, target, headers, body),
            limit_ms / 1000 + 0.5,
        )
    except (OSError, EOFError, TimeoutError) as error:
        record.add(f"answer {request_id} none ({type(error).__name__})")
        return None
    record.add(f"answer {request_id} {answer[0]} {answer[2][:60]!r}")
    return answer


def make_route(name, prefix, kind, service, **changes):
    route = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 600,
        "slo_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
    }
    route.update(changes)
    return route


def make_config(version, routes, services, **changes):
    config = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "org", "api_keys": [KEY], "priority": 2}],
    }
    config.update(changes)
    return config
