"""An event loop on virtual time, for tests that run thousands of schedules."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        found = super().select(0)
        if found:
            return found
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers at once, in their order."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now_s


def run(main):
    """Runs a coroutine on virtual time and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
