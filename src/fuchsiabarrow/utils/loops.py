"""The event loop of every process: uvloop without io_uring."""

import asyncio
from collections.abc import Coroutine
import os
from typing import Any

import uvloop

__all__ = ["make_loop", "run"]

# Threads of the loop's default executor. Nothing of ours uses it; aiomisc
# starts them for libraries that resolve names or read files.
POOL_THREADS = 2


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns a uvloop loop that holds no io_uring descriptor.

    libuv reads the variable when it creates a loop; uvloop 0.22.1 opens an
    io_uring descriptor without it.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    return uvloop.new_event_loop()


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs `main` to its end on a fresh loop and returns its result."""
    # Plugins of other packages are not looked for; nothing of ours is one.
    os.environ.setdefault("AIOMISC_NO_PLUGINS", "1")
    # Takes a tenth of a second to import; some processes run without it.
    import aiomisc

    entrypoint = aiomisc.entrypoint(
        log_config=False,
        pool_size=POOL_THREADS,
        loop_factory=make_loop,
        catch_signals=(),
    )
    with entrypoint as loop:
        return loop.run_until_complete(main)
