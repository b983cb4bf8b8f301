"""Decide which of many processes follow the platform's store themselves.

Load pattern: a store that is paid for by the call tells of each change to everyone who
waits for it. With tens of entries the engines that register at a start, or a release
that replaces them, cost thousands of calls an hour, and the store's rates bound the
fleet. So a few read, and the others learn from them.

Whoever has enough readers before it, in an order that all share, leaves the store
alone. Only readers that are heard and that the store answers count: where they die,
lose the store or are cut off, those behind them step in, and each side of a cut has
readers of its own. The order is by a digest of the address, as neighbours in the order
of addresses often share a zone and are lost together.
"""

import zlib

STORE_READERS = 6


def place_of(host):
    """Return where a host stands in the order."""
    return (zlib.crc32(host.encode()), host)


def must_read_store(own_host, answered_hosts):
    """Tell whether a process reads; answered_hosts are those that the store answers."""
    own = place_of(own_host)
    before = sum(place_of(host) < own for host in answered_hosts)
    return before < STORE_READERS
