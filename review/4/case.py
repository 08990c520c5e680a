"""A stream breaks with its entry, and is resumed after its route has moved."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

EVENTS, GAP_S = 60, 0.1
CONFIG_APPLY_S = 2.0
STREAM = {"resumable": True, "timeout_ms": 20000, "gap_aim_ms": 200}


def make_config(service, version):
    return standins.make_config(
        ["redator", "balcao"],
        [("draft", "streaming", service, STREAM),
         ("status", "idempotent", "balcao", {})],
        version, engines=["redator"],
    )


async def read_stream(record, entry, attempt, last_id):
    """Sends a request; returns the ids received and whether it was complete."""
    record.add("sent", attempt=attempt, to=entry.name,
               last_event_id=last_id or "none")
    ids, is_complete = [], False
    try:
        reader, writer = await asyncio.open_connection(entry.ip, entry.front)
        resume = f"Last-Event-Id: {last_id}\r\n" if last_id else ""
        writer.write((
            f"POST /draft/x HTTP/1.1\r\nHost: {standins.HOST}\r\n"
            f"Attempt-Id: {attempt}\r\n{resume}Model: daka510000\r\n"
            "Token-Count: 800,200\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:760"
            "\r\nDeadline-Ms: 20000\r\n"
            f"Authorization: Token {standins.KEY}\r\n"
            "Content-Length: 2\r\n\r\np1"
        ).encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
        record.add("head", attempt=attempt, line=head.split(b"\r\n")[0].decode())
        if b" 200 " in head.split(b"\r\n")[0] + b" ":
            is_chunked = b"chunked" in head.lower()
            async for line in read_lines(reader, head, is_chunked):
                if line.startswith(b"id: "):
                    ids.append(int(line[4:]))
            is_complete = True
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    record.add("stream_ended", attempt=attempt, is_complete=is_complete,
               ids=f"{ids[0]}-{ids[-1]}" if ids else "none")
    return ids, is_complete


async def read_lines(reader, head, is_chunked):
    """Yields the lines of a body as its parts arrive."""
    rest = b""
    left = 0
    if not is_chunked:
        lines = head.lower().split(b"\r\n")
        left = next(int(x.split(b":")[1]) for x in lines
                    if x.startswith(b"content-length"))
    while True:
        if is_chunked:
            line = await asyncio.wait_for(reader.readline(), 20)
            if not line:
                raise ConnectionResetError("closed within the answer")
            size = int(line, 16)
            part = (await reader.readexactly(size + 2))[:size]
        else:
            part = await reader.readexactly(left)
        rest += part
        *lines, rest = rest.split(b"\n")
        for line in lines:
            yield line
        if not is_chunked or not part:
            return


async def main(installation):
    record, store = installation.record, installation.store
    await installation.start_store()
    store.put("config", "main", make_config("redator", 1))
    for number, layers in enumerate([(0, 27), (27, 54), (54, 80)], 1):
        runner = standins.Runner(
            record, store, "redator", number, zone="a", slots=96,
            layers=layers, events=EVENTS, gap_s=GAP_S,
        )
        await runner.start()
        installation.runners.append(runner)
    await installation.add_runners("balcao", 3, events=EVENTS, gap_s=0.02)
    ips = installation.add_entries(2)
    if not await installation.start_entries(ips):
        return standins.COULD_NOT_RUN
    await asyncio.sleep(6)
    first, second = installation.entries
    stream = installation.spawn(
        read_stream(record, first, "00000000000000a1", 0)
    )
    await asyncio.sleep(0.5)
    if standins.TROUBLE:
        store.put("config", "main", make_config("balcao", 2))
        record.add("configuration_acked", version=2, draft="balcao")
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        first.send(signal.SIGKILL)
        await first.wait_exit()
    ids, is_complete = await stream
    if not ids:
        return standins.COULD_NOT_RUN
    if not is_complete:
        more, is_complete = await read_stream(
            record, second, "00000000000000a2", ids[-1]
        )
        ids += more
    twice = sorted({i for i in ids if ids.count(i) > 1})
    missing = sorted(set(range(1, EVENTS + 1)) - set(ids))
    record.say(
        f"events received: {len(ids)} of {EVENTS}; twice: {len(twice)}"
        + (f" ({twice[0]}-{twice[-1]})" if twice else "")
        + f"; missing: {len(missing)}; complete: {is_complete}"
    )
    if not is_complete:
        return standins.COULD_NOT_RUN
    return standins.BROKEN if twice or missing else standins.HELD


standins.run(main, FOLDER)
