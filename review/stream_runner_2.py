"""A runner of a plain service as a process of its own; streams events.

Its answer has no length and ends with its channel. It goes on after
`Last-Event-Id`. It prints what it does, one line each.
"""

import asyncio
import sys

EVENTS = 20
PART_PAUSE_S = 0.04


async def handle(name: str, reader, writer) -> None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            key.strip().lower(): value.strip()
            for key, _, value in (line.partition(":") for line in lines[1:])
        }
        await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("expect-instance", name) != name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % name.encode()
            )
            return
        request_id = headers.get("attempt-id", "")
        after = int(headers.get("last-event-id", "0"))
        print(f"runs {request_id} after event {after}", flush=True)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Attempt-Id: %s\r\nResponse-Seal: 3e1b.%s\r\n"
            b"Connection: close\r\n\r\n" % (request_id.encode(), name.encode())
        )
        for number in range(after + 1, EVENTS + 1):
            writer.write(b"id: %d\ndata: to" % number)
            await writer.drain()
            print(f"half {number}", flush=True)
            await asyncio.sleep(PART_PAUSE_S)
            writer.write(b"ken %d\n\n" % number)
            await writer.drain()
            await asyncio.sleep(PART_PAUSE_S)
        print(f"done {request_id}", flush=True)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main(name: str, host: str, port: int) -> None:
    server = await asyncio.start_server(
        lambda r, w: handle(name, r, w), host, port
    )
    print("listens", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
