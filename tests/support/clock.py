"""Run coroutines on an event loop with a simulated clock."""

import asyncio
import selectors


class JumpingSelector(selectors.DefaultSelector):
    """Advance the clock to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class PausedLoop(asyncio.SelectorEventLoop):
    """Take the time from the selector's simulated clock."""

    def __init__(self):
        self.clock = JumpingSelector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now


def run_paused(coroutine):
    """Run a coroutine on the simulated clock and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(coroutine)
