"""Event loop with simulated time, for tests that run thousands of schedules."""

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks are waiting and no timer is scheduled"
            )
        self.now_s += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting for them."""

    def __init__(self):
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


def run(main):
    """Runs a coroutine in simulated time and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
