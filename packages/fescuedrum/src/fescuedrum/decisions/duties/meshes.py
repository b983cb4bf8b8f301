"""Choose how often gateways send each other their request counts per endpoint.

Load pattern: a hundred gateways send streams of one second to engines that run three
streams at a time. Each change of a count should reach the other gateways within
milliseconds, but sending every change to all others makes the messages grow with the
square of the fleet. At an affordable rate the counts are older than the streams they
count: choosing by them is no better than a random choice, and one stream in six meets
a full engine while two slots in five are empty.

So as long as the gateways are few enough to exchange changes at a useful rate, all of
them form one mesh. Beyond that each availability zone has a mesh of its own: requests
go to endpoints in their gateway's zone first, and a change at an endpoint is sent
promptly to the gateways of the endpoint's zone. All others receive it with the next
heartbeat.
"""

from fescuedrum.decisions.duties.pacing import MessageLimiter, send_interval

# Messages per second within a mesh; with those to other zones about 12 KB/s.
PROMPT_PER_SECOND = 80.0
# Heartbeats per second to gateways outside the mesh.
REMOTE_PER_SECOND = 48.0
# If counts are older than this on average in a busy mesh, choosing the least loaded of
# all endpoints by them is unreliable.
FRESH_SECONDS = 0.3
# Changes within this time's allowance may be sent at once after an idle period.
BURST_SECONDS = 1.0


def change_interval(members: int) -> float:
    """Return the seconds between two changes that a busy gateway sends each member."""
    return send_interval(0.0, members, PROMPT_PER_SECOND)


def is_fresh(members: int) -> bool:
    """Return whether counts in a mesh of this size are fresh enough to compare."""
    return change_interval(members) <= FRESH_SECONDS


def heartbeat_interval(base: float, members: int, *, in_mesh: bool) -> float:
    """Return the seconds between two heartbeats to each of this many gateways."""
    rate = PROMPT_PER_SECOND if in_mesh else REMOTE_PER_SECOND
    return send_interval(base, members, rate)


def build_change_limiter() -> MessageLimiter:
    """Return the limiter for the changes that one gateway sends."""
    return MessageLimiter(PROMPT_PER_SECOND, BURST_SECONDS)
