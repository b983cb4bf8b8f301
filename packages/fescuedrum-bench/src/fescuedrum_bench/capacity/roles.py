"""Compute the cost of each role at a size from measured slopes."""

from dataclasses import dataclass

from fescuedrum.decisions.duties.pacing import send_interval
from fescuedrum.decisions.placing.topology import DELEGATES_PER_ZONE, REMOTE_LINKS

# Interval of heartbeats on each side of a link: the default of the settings.
HEARTBEAT_SECONDS = 0.5
# Bytes of the TCP and IP headers of a small segment and of its acknowledgement.
SEGMENT_OVERHEAD_BYTES = 52 + 52


@dataclass(slots=True, frozen=True)
class Cost:
    """Hold one line of the page: the cost of one task of a role."""

    role: str
    what: str
    amount: float
    unit: str
    working: str
    # Share of the budget for control, or None for work caused by callers.
    budget_share: float | None = None


def entry_costs(slopes, size):
    """Return the costs of callers' requests for one entry."""
    requests, tokens = size.requests_per_node, size.tokens_per_node
    per_request, per_token = slopes["entry.request"].slope, slopes["entry.token"].slope
    running = requests * size.request_seconds
    return [
        core_share("entry", "requests", requests, per_request),
        core_share("entry", "token chunks forwarded", tokens, per_token),
        Cost(
            "entry",
            "memory for connections of callers under way",
            running * slopes["entry.idle-connection"].slope,
            "B",
            f"{running:,.0f} connections x "
            f"{slopes['entry.idle-connection'].slope:,.0f} B",
        ),
    ]


def agent_costs(slopes, size):
    """Return the costs of callers' requests for one agent."""
    requests, tokens = size.requests_per_engine, size.tokens_per_engine
    per_request, per_token = slopes["agent.request"].slope, slopes["agent.token"].slope
    return [
        core_share("agent", "requests", requests, per_request),
        core_share("agent", "token chunks forwarded", tokens, per_token),
    ]


def core_share(role, what, rate, seconds_each):
    """Return the cost of a rate of tasks as a share of a core."""
    working = f"{rate:,.0f}/s x {seconds_each * 1e6:,.0f} us"
    return Cost(role, what, rate * seconds_each, "core", working)


def links_of_entry(size):
    """Return the number of control connections of one entry."""
    peers = size.nodes_per_zone - 1
    remote = DELEGATES_PER_ZONE * (size.zones - 1) / size.nodes_per_zone
    # Each connection between two zones has an entry at both ends.
    return size.engines_per_zone + REMOTE_LINKS + peers + 2 * remote


def links_of_agent(size):
    """Return the number of entries that one agent is connected to."""
    return size.nodes_per_zone + REMOTE_LINKS * size.nodes / size.engines


def link_costs(slopes, size, budget, heartbeat_bytes):
    """Return the costs of heartbeats and their connections for a node."""
    return [
        *heartbeat_costs(
            "entry", links_of_entry(size), slopes, budget, heartbeat_bytes
        ),
        *heartbeat_costs(
            "agent", links_of_agent(size), slopes, budget, heartbeat_bytes
        ),
    ]


def heartbeat_costs(role, links, slopes, budget, heartbeat_bytes):
    """Return the costs of a number of links for one process of a role."""
    interval = send_interval(HEARTBEAT_SECONDS, links)
    beats = links / interval
    sent = beats * (heartbeat_bytes + SEGMENT_OVERHEAD_BYTES)
    seconds = slopes["link.heartbeats"].slope
    memory = links * slopes["link.memory"].slope
    rate = f"{links:.0f} links, one heartbeat each in {interval:.2f} s"
    return [
        Cost(
            role,
            "heartbeats, bytes sent",
            sent,
            "B/s",
            f"{rate}, {heartbeat_bytes + SEGMENT_OVERHEAD_BYTES} B",
            sent / budget.bytes_per_second,
        ),
        Cost(
            role,
            "heartbeats, processor",
            beats * seconds,
            "core",
            f"{beats:.0f}/s x {seconds * 1e6:,.0f} us for one each way",
            beats * seconds / budget.core_share,
        ),
        Cost(
            role,
            "memory of links",
            memory,
            "B",
            f"{links:.0f} links x {slopes['link.memory'].slope:,.0f} B",
            memory / budget.memory_bytes,
        ),
    ]


def planning_costs(slopes, size):
    """Return the cost of planning a map for the entry with the group's duty."""
    measured = dict(slopes["experts.place"].points)
    groups = size.accelerators / size.ranks_per_group
    return [
        Cost(
            "holder of a rank group's duty",
            "one plan from nothing, processor",
            measured[size.ranks_per_group],
            "s",
            f"measured at {size.ranks_per_group} ranks, 8 layers; {groups:.0f} groups "
            f"share {size.nodes} entries",
        )
    ]


def process_costs(slopes, budget):
    """Return the cost of an entry without links and callers."""
    memory = slopes["link.memory"].intercept
    return [
        Cost(
            "entry",
            "memory of the process at rest",
            memory,
            "B",
            "measured with no links, from the line of link.memory",
            memory / budget.memory_bytes,
        )
    ]


def document_costs(slopes, size, budget):
    """Return the costs of the configuration for each process."""
    take = slopes["document.take"].at(size.organisations)
    body = slopes["document.size"].at(size.organisations)
    rate = size.changes_per_day / 86_400
    return [
        Cost(
            "every process",
            "taking a new version, processor",
            take * rate,
            "core",
            f"{rate:.3f} changes/s x {take * 1e3:.1f} ms",
            take * rate / budget.core_share,
        ),
        Cost(
            "every process",
            "pulling a new version, bytes",
            body * rate,
            "B/s",
            f"{rate:.3f} changes/s x {body:,.0f} B",
            body * rate / budget.bytes_per_second,
        ),
    ]
