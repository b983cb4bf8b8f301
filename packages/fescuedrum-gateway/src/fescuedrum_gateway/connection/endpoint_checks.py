"""Find out whether an endpoint has ended at which a request broke off."""

import asyncio
import collections
import enum
from collections.abc import Awaitable, Callable

from fescuedrum.decisions.admitting.suspects import BrokenRequest
from fescuedrum.decisions.placing.presence import ListedEndpoint

# Times between the checks: an ending process may close its connections some moments
# before its listening socket.
CHECK_SECONDS = (0.0, 0.1)
CONNECT_SECONDS = 0.3
# A proxy before an endpoint that has ended drops a connection within this time.
DROP_SECONDS = 0.05
# Of one gateway; an end that is not checked is found by the next request.
MAXIMUM_CHECKS = 64
# A request that broke off counts if its endpoint is found to have ended within this
# time; ranks break off theirs 1.5 s after another rank has ended.
LATE_SECONDS = 1.0
MAXIMUM_LATE = 256


class ConnectResult(enum.Enum):
    """List what may become of a connection to an endpoint's address."""

    # Nothing listens there: the endpoint has ended.
    REFUSED = enum.auto()
    # Accepted and closed at once, by a full endpoint or by a proxy before one that has
    # ended.
    DROPPED = enum.auto()
    # The endpoint runs; also a rank that broke off because another one ended.
    OPEN = enum.auto()
    # A machine that can't be reached does not answer, which says nothing about what its
    # requests did to it.
    SILENT = enum.auto()


async def connect(endpoint: ListedEndpoint) -> ConnectResult:
    """Return what becomes of a connection to an endpoint's address."""
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except ConnectionRefusedError:
        return ConnectResult.REFUSED
    except ConnectionResetError:
        return ConnectResult.DROPPED
    except (TimeoutError, OSError):
        return ConnectResult.SILENT
    try:
        async with asyncio.timeout(DROP_SECONDS):
            await reader.read(1)
        # An endpoint says nothing before it has a request.
        return ConnectResult.DROPPED
    except TimeoutError:
        return ConnectResult.OPEN
    except OSError:
        return ConnectResult.DROPPED
    finally:
        writer.close()


class EndpointChecks:
    """Check endpoints at which requests broke off, each in a task of its own.

    A broken connection alone does not show that its endpoint has ended: a faulty engine
    breaks answers off, and ranks break off all of theirs when another one ends.
    """

    __slots__ = (
        "broken",
        "check",
        "is_running",
        "late",
        "late_check",
        "loop",
        "on_end",
        "tasks",
    )

    def __init__(
        self,
        on_end: Callable[..., None],
        is_running: Callable[[ListedEndpoint, float], bool],
        check: Callable[[ListedEndpoint], Awaitable[ConnectResult]] = connect,
    ) -> None:
        # Called with an endpoint that has ended, the requests that broke off there, and
        # whether it is behind a proxy that accepts connections.
        self.on_end = on_end
        # Whether an endpoint that drops connections may have too many of them; called
        # with the time at which a request broke off there.
        self.is_running = is_running
        self.check = check
        self.loop = asyncio.get_running_loop()
        # These requests by endpoint, while it is checked.
        self.broken: dict[str, list[BrokenRequest]] = {}
        # When requests broke off and at which endpoint: in their answers, or with no
        # sign yet that it has ended. Another gateway may find one.
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
        if not self.tasks:
            return []
        names = {
            name
            for name, requests in self.broken.items()
            if any(each.fingerprint == fingerprint for each in requests)
        }
        late = {name for _, name, each in self.late if each.fingerprint == fingerprint}
        return [self.tasks[name] for name in names | late if name in self.tasks]

    async def check_endpoint(self, endpoint: ListedEndpoint) -> None:
        """Check an endpoint a few times, until it is found to have ended.

        One that drops each connection has ended behind a proxy, unless it is full.
        """
        results, broke_at = [], self.loop.time()
        try:
            for seconds in CHECK_SECONDS:
                await asyncio.sleep(seconds)
                if endpoint.name not in self.broken:
                    return
                results.append(await self.check(endpoint))
                if results[-1] is ConnectResult.REFUSED:
                    self.found_closed(endpoint)
                    return
            dropped = all(each is ConnectResult.DROPPED for each in results)
            if dropped and not self.is_running(endpoint, broke_at):
                self.found_closed(endpoint, is_behind_proxy=True)
        finally:
            left = self.broken.pop(endpoint.name, ())
            self.late.extend((broke_at, endpoint.name, each) for each in left)

    def found_closed(
        self, endpoint: ListedEndpoint, *, is_behind_proxy: bool = False
    ) -> None:
        """Record that nothing serves at an endpoint's address."""
        broken = self.broken.pop(endpoint.name, [])
        broken += self.take_late(endpoint.name)
        self.on_end(endpoint, broken, is_behind_proxy=is_behind_proxy)

    def take_late(self, name: str) -> list[BrokenRequest]:
        """Remove and return the requests that broke off lately at an endpoint."""
        since = self.loop.time() - LATE_SECONDS
        own = [each for each in self.late if each[1] == name]
        for each in own:
            self.late.remove(each)
        return [request for at, _, request in own if at >= since]

    def close(self) -> None:
        """Cancel all checks."""
        for task in self.tasks.values():
            task.cancel()
