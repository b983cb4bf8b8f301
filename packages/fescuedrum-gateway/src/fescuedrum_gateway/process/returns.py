"""Let callers who came back wait in order for a place that new callers leave free."""

import asyncio

from fescuedrum.decisions.rooms import MAXIMUM_RETURNED

# A place comes free every some 30 ms.
LOOK_SECONDS = 0.02


class ReturnQueue:
    """Hold the callers of one service who came back."""

    __slots__ = ("first", "loop", "waiting")

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.waiting = 0
        # Whoever has it looks for a place; the others wait for it in order.
        self.first = asyncio.Lock()

    async def find(self, look, latest):
        """Return what look() finds, or None; wait until latest, in loop time, for it.

        Return at once when so many wait already that waiting would be for nothing.
        """
        if self.waiting >= MAXIMUM_RETURNED:
            return None
        self.waiting += 1
        try:
            async with asyncio.timeout_at(latest), self.first:
                while (found := look()) is None:
                    await asyncio.sleep(LOOK_SECONDS)
                return found
        except TimeoutError:
            return None
        finally:
            self.waiting -= 1
