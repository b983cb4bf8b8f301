"""Run coroutines on a loop whose clock stands still and jumps to the next timer."""

import asyncio
import selectors


class JumpingSelector(selectors.DefaultSelector):
    """Advance the loop's clock in place of waiting when no socket is ready."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class PausedLoop(asyncio.SelectorEventLoop):
    """Read the time from the selector; only timers move it."""

    def __init__(self):
        self.clock = JumpingSelector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now


def run_paused(coroutine):
    """Run a coroutine to its end on a paused clock and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(coroutine)
