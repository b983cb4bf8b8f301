"""Keep to what endpoints ask of this gateway in their answers.

Load pattern: an engine sheds load and says with its refusal for how long it wants no
requests. As it runs nothing, it has the fewest requests of all and would be chosen
first by every new request and every retry. Each of these is refused, delays its caller
and uses up the service's retry budget, and the engine does not get the rest that it
needs.

An endpoint that asks for rest gets no request from this gateway until the rest is over:
no first attempt, no retry and no resumed stream. Answers to requests that were sent
before don't end the rest, and a later refusal can only extend it. Other gateways are
not told, as the endpoint asks each of them by itself.

An endpoint that announces that it leaves gets no request any more. The platform's list
may show the leave seconds later, not at all, or be out of reach, and requests that the
endpoint can't end before it stops are lost. This holds for that start of the endpoint:
one that starts anew under its name is another one.
"""

from dataclasses import dataclass

from fescuedrum.decisions.placing.presence import ListedEndpoint

# A start of an endpoint that was listed this long after a rest was asked for is a later
# one than the start that asked. The platform's list may lag by some seconds.
RESTART_LAG_SECONDS = 5.0
# An endpoint has ended this long after it announced its leave.
LEAVE_SECONDS = 600.0


@dataclass(slots=True, frozen=True)
class Leave:
    """One start of an endpoint that leaves, and when it announced that."""

    started_at: int
    announced_at: float


class EndpointNotices:
    """The rests and leaves of endpoints, by name; times are loop time."""

    __slots__ = ("leaves", "rests")

    def __init__(self) -> None:
        self.leaves: dict[str, Leave] = {}
        # When each rest was asked for last, and when it ends.
        self.rests: dict[str, tuple[float, float]] = {}

    def ask_rest(self, endpoint: str, seconds: float, now: float) -> bool:
        """Record that an endpoint asks for rest; return whether it rested already."""
        was_resting = endpoint in self.resting(now)
        _, ends_at = self.rests.get(endpoint, (now, now))
        self.rests[endpoint] = (now, max(ends_at, now + seconds))
        return was_resting

    def is_resting(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint may get no request now."""
        _, ends_at = self.rests.get(endpoint, (now, now))
        return now < ends_at

    def resting(self, now: float) -> list[str]:
        """Return the names of the endpoints that rest; forget the rests that ended."""
        self.rests = {name: rest for name, rest in self.rests.items() if now < rest[1]}
        return list(self.rests)

    def restarted(self, endpoint: str, now: float) -> None:
        """Forget the rest of an endpoint that has started anew since it asked."""
        asked_at, _ = self.rests.get(endpoint, (now, now))
        if now - asked_at > RESTART_LAG_SECONDS:
            del self.rests[endpoint]

    def announce_leave(self, endpoint: ListedEndpoint, now: float) -> bool:
        """Record that an endpoint leaves; return whether that was known."""
        was_leaving = self.is_leaving(endpoint, now)
        self.leaves = {
            name: leave
            for name, leave in self.leaves.items()
            if now - leave.announced_at < LEAVE_SECONDS
        }
        self.leaves[endpoint.name] = Leave(endpoint.started_at, now)
        return was_leaving

    def is_leaving(self, endpoint: ListedEndpoint, now: float) -> bool:
        """Return whether this start of an endpoint has announced that it leaves."""
        leave = self.leaves.get(endpoint.name)
        return (
            leave is not None
            and leave.started_at == endpoint.started_at
            and now - leave.announced_at < LEAVE_SECONDS
        )
