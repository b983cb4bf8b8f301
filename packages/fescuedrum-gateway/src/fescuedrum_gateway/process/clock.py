"""Run the event loop on a clock that counts the time a machine is suspended."""

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Take the loop's time from the clock that also runs while a machine sleeps.

    The default clock stands still in that time. A process that wakes would take a
    caller's time for what it was before, send work that nobody waits for any more, and
    hand an endpoint more time than is left.
    """

    def time(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(coroutine):
    """Run a coroutine to its end on such a loop and return its result."""
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        return runner.run(coroutine)
