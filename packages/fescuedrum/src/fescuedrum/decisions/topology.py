"""Choose who connects to whom, so that control traffic does not grow with the fleet.

Load pattern: 390 entries and 1,100 agents. All entries with all agents would be 430,000
connections and, at two heartbeats a second, some 220 KB a second for each entry. So an
entry connects to the agents and entries of its own zone and to a bounded number of
others, and few entries of a zone ask the platform or talk to another zone.

Choices are by rendezvous hashing: each pair gets a score that everyone computes alike,
the best scores are taken. When a member comes or goes, only the choices that named it
change. Nothing has to be agreed: two entries that know different members choose
differently for a moment, which costs a second reader and breaks nothing.
"""

import hashlib
import heapq

READERS_PER_ZONE = 2
# Two spokespeople for each other zone: one may be lost without a pause.
DELEGATES_PER_ZONE = 2
# Room for every endpoint of a site of three zones and two services; at the size to
# design for a sixth of an entry's connections.
REMOTE_LINKS = 24
# With one alone a service that stands in other zones only would hang on one member.
FEWEST_LINKS_PER_SERVICE = 2


def score(*parts):
    """Return a number that everyone computes alike for these parts."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def best(names, count, *context):
    """Return the names with the best scores in this context."""
    return heapq.nlargest(count, names, key=lambda name: score(name, *context))


def is_reader(name, entries, zone):
    """Tell whether an entry reads the head often for its zone."""
    return name in best({name, *entries}, READERS_PER_ZONE, "reader", zone)


def is_zone_delegate(name, entries, own_zone, other_zone):
    """Tell whether an entry talks to another zone for its own."""
    pair = ("spokesperson", own_zone, other_zone)
    return name in best({name, *entries}, DELEGATES_PER_ZONE, *pair)


def choose_remote_agents(name, agents):
    """Return the agents of other zones that an entry keeps connections to.

    agents maps each service to the names of its agents in other zones.
    """
    chosen = set()
    if not agents:
        return chosen
    share = max(REMOTE_LINKS // len(agents), FEWEST_LINKS_PER_SERVICE)
    for service, names in agents.items():
        chosen.update(best(names, share, "remote", name, service))
    return chosen


def opens_connection(name, other):
    """Tell which of two entries of a zone opens their one connection."""
    return name < other
