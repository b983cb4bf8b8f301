"""Decide which of many processes read the platform's store themselves.

Load pattern: a store that bills per call reports each change to every process that
waits for one. With tens of entries, the engines that register at a start, or a release
that replaces them, cost thousands of calls an hour, and the store's rate limits bound
the size of the fleet. So a few processes read, and the others learn from them.

All processes share one order. A process with enough readers before it in that order
doesn't call the store. Only readers that are reachable and get answers from the store
count: when readers die, lose the store or are partitioned, the next in the order start
to read, and each side of a partition has readers of its own. The order is by a hash of
the address, as adjacent addresses often share a zone and are lost together.
"""

import zlib

STORE_READERS = 6


def sort_key(host):
    """Return the sort key of a host in the shared order."""
    return (zlib.crc32(host.encode()), host)


def must_read_store(own_host, answered_hosts):
    """Return whether a process must read the store itself.

    answered_hosts are the other hosts that get answers from the store.
    """
    own_key = sort_key(own_host)
    hosts_before = sum(sort_key(host) < own_key for host in answered_hosts)
    return hosts_before < STORE_READERS
