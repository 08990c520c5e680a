"""Event loop of all processes: uvloop without io_uring."""

import asyncio
from collections.abc import Coroutine
import contextlib
import os
import sys
import types
from typing import Any

import uvloop

__all__ = ["make_loop", "run"]

# Threads of the loop's default executor. This package does not use it; aiomisc
# starts the threads, and libraries resolve host names and read files in them.
EXECUTOR_THREADS = 2


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns a uvloop event loop that holds no io_uring descriptor.

    libuv reads the environment variable when it creates a loop; without it,
    uvloop 0.22.1 opens an io_uring descriptor.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    return uvloop.new_event_loop()


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a new event loop and returns its result."""
    # Skips the search of all installed packages for aiomisc plugins; this
    # package needs none.
    os.environ.setdefault("AIOMISC_NO_PLUGINS", "1")
    aiomisc = _import_aiomisc()
    entrypoint = aiomisc.entrypoint(
        log_config=False,
        pool_size=EXECUTOR_THREADS,
        loop_factory=make_loop,
        catch_signals=(),
    )
    with entrypoint as loop:
        return loop.run_until_complete(main)


def _import_aiomisc() -> types.ModuleType:
    """Imports aiomisc, also without a standard error that is a file.

    The import takes a tenth of a second, and some processes do not need it. It
    asks whether the descriptor of the standard error is a terminal, and fails
    if there is none.
    """
    with contextlib.ExitStack() as stack:
        if not _is_file(sys.stderr):
            null = stack.enter_context(open(os.devnull, "w"))
            stack.enter_context(contextlib.redirect_stderr(null))
        import aiomisc

    return aiomisc


def _is_file(stream: Any) -> bool:
    try:
        stream.fileno()
    except (AttributeError, OSError, ValueError):
        return False
    return True
