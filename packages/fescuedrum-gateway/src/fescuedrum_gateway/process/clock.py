"""Run an event loop whose clock includes the time that a machine is suspended."""

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Provide an event loop on the clock that also runs while a machine is suspended.

    The default clock stops in that time. After a resume, requests whose deadlines have
    passed would still be sent, and endpoints would be given more time than is left.
    """

    def time(self):
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(coroutine):
    """Run a coroutine on a BootClockLoop and return its result."""
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        return runner.run(coroutine)
