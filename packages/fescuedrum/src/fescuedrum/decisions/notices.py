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
"""

# A start of an endpoint that was listed this long after a rest was asked for is a later
# one than the start that asked. The platform's list may lag by some seconds.
RESTART_LAG_SECONDS = 5.0


class EndpointNotices:
    """The rests that endpoints have asked for, by name; times are loop time."""

    __slots__ = ("rests",)

    def __init__(self) -> None:
        # When each rest was asked for last, and when it ends.
        self.rests: dict[str, tuple[float, float]] = {}

    def ask_rest(self, endpoint: str, seconds: float, now: float) -> bool:
        """Record that an endpoint asks for rest; return whether it rested already."""
        was_resting = self.is_resting(endpoint, now)
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
