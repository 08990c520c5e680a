"""Cost of tunnels at the entry that helps: time, memory, time to open one.

Usage: python benchmarks/tunnels.py
"""

import asyncio
import os
import random
import signal
import time

from fuchsiabarrow.peers import summaries
from fuchsiabarrow.peers import tunnels
from fuchsiabarrow.utils import loops

TUNNELS = 200
# An event of 160 bytes each 29 ms in each tunnel.
EVENT = b"x" * 160
EVENT_GAP_S = 0.029
DURATION_S = 6.0
US_PER_S = 1e6
MS_PER_S = 1e3


class Recorder(asyncio.Protocol):
    """Counts the bytes that arrive on a connection."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.received_bytes = 0

    def connection_made(self, transport) -> None:
        """Implements `asyncio.Protocol.connection_made`."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        self.received_bytes += len(data)


def read_memory_kb() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


async def connect(address: str, make_protocol, timeout_s: float):
    """Connects to an upstream."""
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    return (await loop.create_connection(make_protocol, host, int(port)))[1]


async def help_others(pipe: int) -> None:
    """Carries tunnels; writes its address, token, and the time it used."""
    async with tunnels.TunnelServer(
        "127.0.0.1:0", lambda: True, lambda _: True, connect
    ) as server:
        os.write(pipe, f"{server.address} {server.token}\n".encode())
        memory_kb = read_memory_kb()
        while server.count() < TUNNELS:
            await asyncio.sleep(0.01)
        started_s = time.process_time()
        await asyncio.sleep(DURATION_S)
        used_s = time.process_time() - started_s
        grown_kb = read_memory_kb() - memory_kb
        os.write(pipe, f"{used_s} {grown_kb}\n".encode())
        await asyncio.sleep(DURATION_S)


async def read_line(pipe: int) -> list[str]:
    """Reads a line that the helper has written."""
    line = await asyncio.to_thread(os.read, pipe, 1024)
    return line.decode().split()


async def measure(pipe: int) -> None:
    """Opens tunnels, sends events through them and prints the costs."""
    address, token = await read_line(pipe)
    helper = summaries.Helper(0.0, address, "a", int(token))
    client = tunnels.TunnelClient("a", lambda: [helper], random.Random(1))
    upstreams: list[Recorder] = []

    def accept() -> Recorder:
        upstreams.append(Recorder())
        return upstreams[-1]

    loop = asyncio.get_running_loop()
    server = await loop.create_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    started_s = loop.time()
    for _ in range(TUNNELS):
        await client.open(f"127.0.0.1:{port}", Recorder, 2.0)
    opened_s = loop.time()
    ending = asyncio.create_task(read_line(pipe))
    count = 0
    while not ending.done():
        due = int((loop.time() - opened_s) / EVENT_GAP_S * TUNNELS)
        for index in range(count, due):
            upstreams[index % TUNNELS].transport.write(EVENT)
        count = due
        await asyncio.sleep(0.0005)
    used_s, grown_kb = map(float, ending.result())
    print(f"to open one: {(opened_s - started_s) / TUNNELS * MS_PER_S:.2f} ms")
    rate_per_s, share = count / DURATION_S, used_s / DURATION_S
    print(f"{rate_per_s:.0f} events/s: {share:.3f} of a core")
    print(f"an event: {used_s / count * US_PER_S:.1f} us")
    print(f"a tunnel: {grown_kb / TUNNELS:.1f} KB")


def main() -> None:
    """Runs the helper as a process of its own, and measures it."""
    reader, writer = os.pipe()
    helper = os.fork()
    if not helper:
        loops.run(help_others(writer))
        os._exit(0)
    try:
        loops.run(measure(reader))
    finally:
        os.kill(helper, signal.SIGKILL)
        os.waitpid(helper, 0)


if __name__ == "__main__":
    main()
