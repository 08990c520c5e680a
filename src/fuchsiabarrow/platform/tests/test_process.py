import asyncio
from collections.abc import Collection
import contextlib
import pathlib
import signal
import subprocess
import sys

import aiohttp
import pytest

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import fake_stores
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import processes
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.utils.tests import free_ports

CHECK_COUNT = 20
# Time after the start at which the process is still importing modules.
STARTUP_DELAY_S = 0.2


@contextlib.asynccontextmanager
async def run_entry(
    path: pathlib.Path,
    startup_signal: signal.Signals | None = None,
    engines: Collection[fake_upstreams.FakeUpstream] = (),
    module: str = "fuchsiabarrow",
):
    """Runs an entry as a process with a fake store and a fake upstream.

    Args:
        path: Directory for the settings file and the log.
        startup_signal: Signal that is sent while the process starts.
        engines: Further upstreams, which are running.
        module: Module that the process runs.
    """
    async with (
        fake_stores.FakeStore() as store,
        fake_upstreams.FakeUpstream("desk-1", "desk") as desk,
        aiohttp.ClientSession() as session,
    ):
        await store.put(
            "config",
            "main",
            sample_objects.make_config(routes=entry_harness.ROUTES),
        )
        await store.put("servers", "desk-1", desk.make_entry())
        for engine in engines:
            await store.put("servers", engine.name, engine.make_entry())
        host = "127.0.0.1"
        inner = free_ports.find_ports(1)[0]
        entry = processes.EntryProcess("entry-1", host, inner, path)
        entry.module = module
        entry.write_settings(store.address, [host])
        entry.start()
        try:
            if startup_signal is not None:
                await asyncio.sleep(STARTUP_DELAY_S)
                entry.send(startup_signal)
                await asyncio.sleep(STARTUP_DELAY_S)
                assert entry.get_exit_status() is None
            assert await entry.wait_ready(session)
            yield entry
        finally:
            entry.close()


async def fetch(port: int) -> int:
    headers = {
        "Host": entry_harness.HOST,
        "Attempt-Id": "r1",
        "Authorization": "Token key-1",
    }
    async with aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{port}/read/x"
        async with session.get(url, headers=headers) as response:
            return response.status


async def wait_for_text(path: pathlib.Path, text: str) -> None:
    async with asyncio.timeout(10.0):
        while text not in path.read_text():
            await asyncio.sleep(0.05)


def test_process_serves_reloads_settings_and_stops(tmp_path):
    async def test():
        async with run_entry(tmp_path) as entry:
            assert await fetch(entry.front) == 200
            text = entry.settings_path.read_text()
            entry.settings_path.write_text(
                text.replace("budget_extra=202", "budget_extra=50")
            )
            entry.send(signal.SIGHUP)
            await wait_for_text(entry.log_path, "event=reloaded")
            entry.settings_path.write_text("broken")
            entry.send(signal.SIGHUP)
            await wait_for_text(entry.log_path, "event=settings_kept")
            assert await fetch(entry.front) == 200
            entry.send(signal.SIGTERM)
            assert await entry.wait_exit(15.0) == 0

    asyncio.run(test())
    lines = (tmp_path / "entry-1.log").read_text().splitlines()
    assert all("event=" in line for line in lines)
    assert any("event=stopped" in line for line in lines)


def test_process_has_no_uring_child_or_shared_memory(tmp_path):
    async def test():
        async with run_entry(tmp_path) as entry:
            for _ in range(CHECK_COUNT):
                assert await fetch(entry.front) == 200
                links = process_fleets.read_descriptors(entry.pid)
                assert any("eventpoll" in link for link in links)
                assert not [link for link in links if "io_uring" in link]
            task = f"/proc/{entry.pid}/task/{entry.pid}/children"
            assert pathlib.Path(task).read_text().strip() == ""
            maps = pathlib.Path(f"/proc/{entry.pid}/maps").read_text()
            assert "/dev/shm" not in maps
            assert "/SYSV" not in maps

    asyncio.run(test())


def test_invalid_settings_end_process_with_error_message(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text("node_name=x\n")
    found = subprocess.run(
        [sys.executable, "-m", "fuchsiabarrow", "route", "--settings", path],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert found.returncode == 2
    assert "is missing" in found.stderr
    assert str(path) in found.stderr


def test_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    async def test():
        async with run_entry(tmp_path, startup_signal=signal.SIGHUP) as entry:
            assert await fetch(entry.front) == 200
            assert entry.get_exit_status() is None

    asyncio.run(test())


# Guards against an exit up to four seconds after the time limit of a shutdown.
def test_process_exits_within_its_grace_period_while_a_stream_hangs(tmp_path):
    async def test():
        async with (
            fake_upstreams.FakeUpstream("first", "model", "a100") as first,
            fake_upstreams.FakeUpstream("last", "model", "a100") as last,
            aiohttp.ClientSession() as session,
        ):
            first.layers, last.layers = (0, 40), (40, 80)
            first.gap_s = 60.0
            async with run_entry(tmp_path, engines=[first, last]) as entry:
                stream = asyncio.create_task(read_stream(session, entry.front))
                async with asyncio.timeout(10.0):
                    while not first.runs:
                        await asyncio.sleep(0.05)
                entry.send(signal.SIGTERM)
                status = await entry.wait_exit(processes.GRACE_S)
                stream.cancel()
                assert status == 0

    async def read_stream(session, port):
        headers = {
            "Host": entry_harness.HOST,
            wire_names.ATTEMPT_ID: "r1",
            wire_names.AUTHORIZATION: "Token key-1",
            wire_names.DEADLINE_MS: "20000",
            wire_names.TOKEN_COUNTS: "800,60",
        }
        url = f"http://127.0.0.1:{port}/draft/x"
        async with session.post(url, headers=headers, data=b"x") as response:
            await response.read()

    asyncio.run(test())


# Guards against callers who learn of the exit only by a closed connection.
@pytest.mark.parametrize("grace_s", [2, processes.GRACE_S])
def test_process_answers_the_requests_that_run_at_its_time_limit(
    tmp_path, monkeypatch, grace_s
):
    monkeypatch.setattr(processes, "GRACE_S", grace_s)

    async def test():
        async with (
            fake_upstreams.FakeUpstream("first", "model", "a100") as first,
            fake_upstreams.FakeUpstream("last", "model", "a100") as last,
        ):
            first.layers, last.layers = (0, 40), (40, 80)
            async with run_entry(tmp_path, engines=[first, last]) as entry:
                first.event_count, first.gap_s = 100_000, 0.01
                begun = await send(entry.front, "r1", "/draft/x", 0)
                await begun.readuntil(b"id: 1\n")
                first.gap_s = 60.0
                silent = await send(entry.front, "r2", "/draft/x", 0)
                unread = await send(entry.front, "r3", "/book/x", 100)
                async with asyncio.timeout(10.0):
                    while len(first.runs) < 2:
                        await asyncio.sleep(0.05)
                entry.send(signal.SIGTERM)
                assert await entry.wait_exit(grace_s) == 0
                assert (await silent.read()).split()[1] == b"504"
                assert (await unread.read()).split()[1] == b"503"
                with contextlib.suppress(ConnectionResetError):
                    assert not (await begun.read()).endswith(b"0\r\n\r\n")
                for writer in writers:
                    writer.close()

    async def send(port, request_id, path, length):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {entry_harness.HOST}\r\n"
            f"{wire_names.ATTEMPT_ID}: {request_id}\r\n"
            f"{wire_names.AUTHORIZATION}: Token key-1\r\n"
            f"{wire_names.DEADLINE_MS}: 20000\r\n"
            f"{wire_names.TOKEN_COUNTS}: 800,60\r\n"
            f"Content-Length: {length}\r\n\r\n".encode()
        )
        return reader

    writers = []
    asyncio.run(test())
    log = (tmp_path / "entry-1.log").read_text()
    assert "event=connection_closed request_id=r1" in log
    assert "cause=shutdown_limit" in log
    assert "event=refused request_id=r2 status=504 reason=stopping" in log
    assert "event=refused request_id=r3 status=503 reason=stopping" in log
    assert " refused=2 cut=1" in log


# Guards against a reload that ends a process which has stopped, by the signal's
# default action, so that its exit looks like a failure.
def test_reload_signals_during_a_stop_do_not_change_the_exit_status(tmp_path):
    async def test():
        async with run_entry(tmp_path) as entry:
            entry.send(signal.SIGTERM)
            async with asyncio.timeout(processes.GRACE_S):
                while entry.get_exit_status() is None:
                    entry.send(signal.SIGHUP)
                    await asyncio.sleep(0.002)
            assert entry.get_exit_status() == 0

    asyncio.run(test())


# Guards against a process that has ended all requests and then does not exit
# before it is killed, as one of its services waits for something.
def test_process_exits_while_a_service_does_not_end(tmp_path):
    async def test():
        module = "fuchsiabarrow.platform.tests.hanging_entry"
        async with run_entry(tmp_path, module=module) as entry:
            assert await fetch(entry.front) == 200
            entry.send(signal.SIGTERM)
            assert await entry.wait_exit(processes.GRACE_S) == 0

    asyncio.run(test())
    log = (tmp_path / "entry-1.log").read_text()
    assert "event=stopped" in log
    assert "event=exit_forced" in log


# A full collection stalled all streams for 20 ms of CPU time, 170 ms on an
# instance with 0.12 of a core.
def test_full_collections_do_not_scan_the_imported_modules():
    program = (
        "import gc; gc.disable()\n"
        "from fuchsiabarrow.commands import forwarding\n"
        "imported = len(gc.get_objects())\n"
        "forwarding.freeze_modules()\n"
        "print(imported, len(gc.get_objects()), gc.isenabled())"
    )
    result = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    imported, scanned, is_enabled = result.stdout.split()
    assert int(scanned) < 0.01 * int(imported)
    assert is_enabled == "True"
