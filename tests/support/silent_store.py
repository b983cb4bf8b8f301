"""Provide a store that takes calls without answering them."""

import asyncio

from fescuedrum.exceptions import StoreUnavailable
from support.dialect import MemoryRowStore

# Time after which an unanswered call fails, beyond the time that it may wait.
CALL_TIMEOUT_SECONDS = 1.5


class SilentStore(MemoryRowStore):
    """Leave the calls unanswered that are open at any moment of a silence."""

    def __init__(self):
        super().__init__()
        self.silent = False
        # Set when a silence begins, and replaced for the next one.
        self.silence_began = asyncio.Event()

    def fall_silent(self):
        """Stop answering calls, those that are open included."""
        self.silent = True
        self.silence_began.set()
        self.silence_began = asyncio.Event()

    def return_to_service(self):
        """Answer the calls that are sent from now on."""
        self.silent = False

    async def read_table(self, table):
        return await self.answer(super().read_table(table), 0.0)

    async def wait_for_changes(self, table, after, wait_seconds):
        call = super().wait_for_changes(table, after, wait_seconds)
        return await self.answer(call, wait_seconds)

    async def answer(self, call, wait_seconds):
        """Return a call's result; raise StoreUnavailable if a silence swallows it."""
        loop = asyncio.get_running_loop()
        fails_at = loop.time() + wait_seconds + CALL_TIMEOUT_SECONDS
        silent, began = self.silent, self.silence_began
        result = await call
        if silent or began.is_set():
            await asyncio.sleep(fails_at - loop.time())
            raise StoreUnavailable("The store did not answer.")
        return result
