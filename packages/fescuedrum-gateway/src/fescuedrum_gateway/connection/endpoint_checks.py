"""Find out whether an endpoint has ended at which a request broke off."""

import asyncio
from collections.abc import Awaitable, Callable

from fescuedrum.decisions.placing.presence import ListedEndpoint

# Times between the checks: an ending process may close its connections some moments
# before its listening socket.
CHECK_SECONDS = (0.0, 0.1)
CONNECT_SECONDS = 0.3
# Of one gateway; an end that is not checked is found by the next request.
MAXIMUM_CHECKS = 64


async def is_closed(endpoint: ListedEndpoint) -> bool:
    """Return whether nothing listens at an endpoint's address.

    A machine that can't be reached does not answer, which says nothing about what its
    requests did to it.
    """
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False


class EndpointChecks:
    """Check endpoints at which requests broke off, each in a task of its own.

    A broken connection alone does not show that its endpoint has ended: a faulty engine
    breaks answers off, and ranks break off all of theirs when another one ends.
    """

    __slots__ = ("broken", "check", "on_end", "tasks")

    def __init__(
        self,
        on_end: Callable[[ListedEndpoint, list[tuple[str, ...]]], None],
        check: Callable[[ListedEndpoint], Awaitable[bool]] = is_closed,
    ) -> None:
        # Called with an endpoint that has ended and the parts of the prompts of
        # requests that broke off there.
        self.on_end = on_end
        self.check = check
        # The parts of these prompts by endpoint, while it is checked.
        self.broken: dict[str, list[tuple[str, ...]]] = {}
        self.tasks: set[asyncio.Task] = set()

    def request_broke(self, endpoint: ListedEndpoint, parts: tuple[str, ...]) -> None:
        """Check an endpoint at which a request broke off before its answer began."""
        if endpoint.name in self.broken:
            self.broken[endpoint.name].append(parts)
        elif len(self.broken) < MAXIMUM_CHECKS:
            self.broken[endpoint.name] = [parts]
            task = asyncio.create_task(self.check_endpoint(endpoint))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def check_endpoint(self, endpoint: ListedEndpoint) -> None:
        """Check an endpoint a few times, until it is found to have ended."""
        try:
            for seconds in CHECK_SECONDS:
                await asyncio.sleep(seconds)
                if endpoint.name not in self.broken:
                    return
                if await self.check(endpoint):
                    self.found_closed(endpoint)
                    return
        finally:
            self.broken.pop(endpoint.name, None)

    def found_closed(self, endpoint: ListedEndpoint) -> None:
        """Record that nothing listens at an endpoint's address."""
        self.on_end(endpoint, self.broken.pop(endpoint.name, []))

    def close(self) -> None:
        """Cancel all checks."""
        for task in self.tasks:
            task.cancel()
