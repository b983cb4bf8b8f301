"""Choose connections so that control traffic per process doesn't grow with the fleet.

Load pattern: 390 entries and 1,100 agents. Connecting all entries with all agents would
take 430,000 connections and, at two heartbeats per second, about 220 KB/s for each
entry. So an entry connects to the agents and entries of its own zone and to a limited
number of others, and only a few entries per zone poll the platform or connect to
another zone.

Choices are made by rendezvous hashing: every process computes the same score for each
pair, and the highest scores are chosen. When a member joins or leaves, only the choices
that include it change. No agreement is needed: two entries that know different members
choose differently for a moment, which costs an additional reader and has no other
effect.
"""

import hashlib
import heapq

READERS_PER_ZONE = 2
# Two for each other zone: one may fail without interrupting the exchange.
DELEGATES_PER_ZONE = 2
# Enough for every endpoint of a site with three zones and two services; at the fleet
# size above, a sixth of an entry's connections.
REMOTE_LINKS = 24
# With a single link, a service that runs only in other zones would depend on one agent.
MINIMUM_LINKS_PER_SERVICE = 2


def score(*parts):
    """Return a hash of the parts that is the same in every process."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def best(names, count, *context):
    """Return the count names with the highest scores in this context."""
    return heapq.nlargest(count, names, key=lambda name: score(name, *context))


def is_reader(name, entries, zone):
    """Return whether an entry polls the configuration's head often for its zone."""
    return name in best({name, *entries}, READERS_PER_ZONE, "reader", zone)


def is_zone_delegate(name, entries, own_zone, other_zone):
    """Return whether an entry connects its own zone with another zone."""
    pair = ("spokesperson", own_zone, other_zone)
    return name in best({name, *entries}, DELEGATES_PER_ZONE, *pair)


def choose_remote_agents(name, agents):
    """Return the names of the agents in other zones that an entry connects to.

    agents maps each service to the names of its agents in other zones.
    """
    chosen = set()
    if not agents:
        return chosen
    links = max(REMOTE_LINKS // len(agents), MINIMUM_LINKS_PER_SERVICE)
    for service, names in agents.items():
        chosen.update(best(names, links, "remote", name, service))
    return chosen


def opens_connection(name, other):
    """Return whether this entry, not the other, opens the connection of the two."""
    return name < other
