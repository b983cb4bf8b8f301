"""Decide which gateways tell each other promptly what they have at the endpoints.

Load pattern: a hundred gateways send streams of a second to engines that run three at a
time. Each change is worth telling within milliseconds, but a change that goes to all
others makes messages grow with the square of the fleet, and at a pace that can be borne
counts are older than the streams they count: choices by them are as good as chance, and
one stream in six meets a full engine while two places in five are empty.

So while few gateways tell each other of changes often enough, all of them form one
mesh. Beyond that each availability zone has a mesh of its own: requests go to endpoints
of their gateway's zone first, and a change at an endpoint is told promptly to the
gateways of the endpoint's zone. All others hear of it with the next heartbeat.
"""

from fescuedrum.decisions.pacing import MessageLimiter, send_interval

# Messages a second within a mesh; with those to other zones some 12 KB a second.
PROMPT_PER_SECOND = 80.0
# Heartbeats a second to gateways outside the mesh.
REMOTE_PER_SECOND = 48.0
# Counts that are older than this in the mean of a busy mesh are no ground for a choice
# among all endpoints.
FRESH_SECONDS = 0.3
# Changes that are not sent while nothing else happens may be sent at once later.
BURST_SECONDS = 1.0


def change_interval(members: int) -> float:
    """Return the seconds between two changes that a busy gateway tells each member."""
    return send_interval(0.0, members, PROMPT_PER_SECOND)


def is_fresh(members: int) -> bool:
    """Tell whether counts from so many members of a mesh can be compared."""
    return change_interval(members) <= FRESH_SECONDS


def heartbeat_interval(base: float, members: int, *, in_mesh: bool) -> float:
    """Return the seconds between heartbeats to each of so many gateways."""
    rate = PROMPT_PER_SECOND if in_mesh else REMOTE_PER_SECOND
    return send_interval(base, members, rate)


def build_change_limiter() -> MessageLimiter:
    """Return the pace at which one gateway tells of changes."""
    return MessageLimiter(PROMPT_PER_SECOND, BURST_SECONDS)
