import asyncio
import os
import time

import pytest

from fuchsiabarrow.telemetry import writers


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_available(reader: int) -> bytes:
    os.set_blocking(reader, False)
    chunks = []
    while True:
        try:
            chunks.append(os.read(reader, 1 << 20))
        except BlockingIOError:
            return b"".join(chunks)


def test_writing_does_not_block_while_the_reader_is_stopped(pipe):
    reader, descriptor = pipe
    writer = writers.LineWriter(descriptor, max_buffered_bytes=10_000)
    started_s = time.monotonic()
    for number in range(5_000):
        writer.write(f"event=test number={number} {'x' * 100}")
    assert time.monotonic() - started_s < 5.0
    assert writer.dropped > 0


def test_dropped_lines_are_reported_when_the_reader_resumes(pipe):
    reader, descriptor = pipe

    async def run() -> bytes:
        writer = writers.LineWriter(descriptor, max_buffered_bytes=10_000)
        for number in range(5_000):
            writer.write(f"event=test number={number} {'x' * 100}")
        text = b""
        for _ in range(50):
            text += read_available(reader)
            await asyncio.sleep(0.01)
        return text, writer.dropped

    text, dropped = asyncio.run(run())
    lines = text.decode().splitlines()
    assert f"event=log_lines_dropped count={dropped}" in lines
    assert len(lines) == 5_000 - dropped + 1
    assert all(line.startswith("event=") for line in lines)


def test_writing_to_a_closed_reader_does_not_raise(pipe):
    _, descriptor = pipe
    other_reader, other_writer = os.pipe()
    os.close(other_reader)
    writer = writers.LineWriter(other_writer)
    writer.write("event=test")
    assert writer.dropped == 1
    os.close(other_writer)


def test_rate_limiter_counts_suppressed_events(monkeypatch):
    now_s = [10.0]
    monkeypatch.setattr(writers.time, "monotonic", lambda: now_s[0])
    rate_limiter = writers.RateLimiter(per_s=2)
    assert [rate_limiter.try_acquire() for _ in range(5)] == [
        0,
        0,
        None,
        None,
        None,
    ]
    now_s[0] = 11.0
    assert rate_limiter.try_acquire() == 3
