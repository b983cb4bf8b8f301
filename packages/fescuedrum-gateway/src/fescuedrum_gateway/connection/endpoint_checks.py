"""Find out whether an endpoint has ended at which a request broke off."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from fescuedrum.decisions.admitting.suspects import BrokenRequest
from fescuedrum.decisions.placing.presence import ListedEndpoint

# Times between the checks: an ending process may close its connections some moments
# before its listening socket.
CHECK_SECONDS = (0.0, 0.1)
CONNECT_SECONDS = 0.3
# Of one gateway; an end that is not checked is found by the next request.
MAXIMUM_CHECKS = 64
# A request that broke off in its answer counts if its endpoint is found to have ended
# within this time; ranks break off theirs 1.5 s after another rank has ended.
LATE_SECONDS = 1.0
MAXIMUM_LATE = 256


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

    __slots__ = ("broken", "check", "late", "late_check", "loop", "on_end", "tasks")

    def __init__(
        self,
        on_end: Callable[[ListedEndpoint, list[BrokenRequest]], None],
        check: Callable[[ListedEndpoint], Awaitable[bool]] = is_closed,
    ) -> None:
        # Called with an endpoint that has ended and the requests that broke off there.
        self.on_end = on_end
        self.check = check
        self.loop = asyncio.get_running_loop()
        # These requests by endpoint, while it is checked.
        self.broken: dict[str, list[BrokenRequest]] = {}
        # When requests broke off in their answers, and at which endpoint.
        self.late: collections.deque[tuple[float, str, BrokenRequest]] = (
            collections.deque(maxlen=MAXIMUM_LATE)
        )
        # Endpoint that is checked for such a request; None for none.
        self.late_check: str | None = None
        # The checks by endpoint.
        self.tasks: dict[str, asyncio.Task] = {}

    def request_broke(self, endpoint: ListedEndpoint, request: BrokenRequest) -> None:
        """Check an endpoint at which a request broke off."""
        if endpoint.name in self.broken:
            self.broken[endpoint.name].append(request)
        elif len(self.broken) < MAXIMUM_CHECKS:
            self.start_check(endpoint, [request])

    def answer_broke(self, endpoint: ListedEndpoint, request: BrokenRequest) -> None:
        """Keep a request that broke off in its answer, and check one such endpoint.

        When one rank ends, the answers of all others break off, and each gateway would
        check all of their endpoints. That of the rank that ended breaks off first.
        """
        self.late.append((self.loop.time(), endpoint.name, request))
        if self.late_check not in self.tasks and endpoint.name not in self.tasks:
            self.late_check = endpoint.name
            self.start_check(endpoint, [])

    def start_check(
        self, endpoint: ListedEndpoint, requests: list[BrokenRequest]
    ) -> None:
        """Check an endpoint at which these requests broke off."""
        self.broken[endpoint.name] = requests
        task = asyncio.create_task(self.check_endpoint(endpoint))
        self.tasks[endpoint.name] = task
        task.add_done_callback(lambda done: self.end_check(endpoint.name, done))

    def end_check(self, name: str, task: asyncio.Task) -> None:
        """Forget a check that is done, unless another one of its endpoint runs."""
        if self.tasks.get(name) is task:
            del self.tasks[name]

    def checking(self, fingerprint: str) -> list[asyncio.Task]:
        """Return the checks of endpoints at which a request broke off."""
        names = {
            name
            for name, requests in self.broken.items()
            if any(each.fingerprint == fingerprint for each in requests)
        }
        late = {name for _, name, each in self.late if each.fingerprint == fingerprint}
        return [self.tasks[name] for name in names | late if name in self.tasks]

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
        broken = self.broken.pop(endpoint.name, [])
        self.on_end(endpoint, [*broken, *self.take_late(endpoint.name)])

    def take_late(self, name: str) -> list[BrokenRequest]:
        """Remove and return the requests that broke off lately in their answers."""
        since = self.loop.time() - LATE_SECONDS
        own = [each for each in self.late if each[1] == name]
        for each in own:
            self.late.remove(each)
        return [request for at, _, request in own if at >= since]

    def close(self) -> None:
        """Cancel all checks."""
        for task in self.tasks.values():
            task.cancel()
