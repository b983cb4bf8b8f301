"""Divide each expert's tokens among its replicas to minimise the slowest rank's time.

Load pattern: popularity drifts a little all day. Replicas connect ranks, so most drift
can be compensated by new shares on the same ranks without moving weights. With equal
shares, which are commonly used, a rank that also holds another popular expert would be
slower than the others.

The shares minimise the sum of squares of the ranks' times, one expert at a time until
the shares converge. For such divisions the minimum of the sum of squares is also the
minimum of the maximum, so the sweeps converge to the best shares for the placement.
"""

MAXIMUM_SWEEPS = 30
# Sweeps end when the time of the slowest rank drops by less than this fraction.
TOLERANCE = 5e-4


def balance_shares(layer_map, loads, speeds, *, sweeps=MAXIMUM_SWEEPS, experts=None):
    """Set the shares of a layer's experts, or some of them; return the ranks' times."""
    tokens = [0.0] * len(speeds)
    amounts = []
    for expert, ranks in enumerate(layer_map.hosts):
        shares = layer_map.shares[expert]
        parts = [loads[expert] * share for share in shares]
        for rank, part in zip(ranks, parts, strict=True):
            tokens[rank] += part
        amounts.append(parts)
    chosen = range(len(loads)) if experts is None else experts
    shared = [expert for expert in chosen if len(layer_map.hosts[expert]) > 1]
    sweep_until_converged(
        layer_map.hosts, loads, speeds, amounts, tokens, shared, sweeps
    )
    for expert in shared:
        load = loads[expert]
        if load:
            layer_map.shares[expert] = [part / load for part in amounts[expert]]
    return to_times(tokens, speeds)


def to_times(tokens, speeds):
    """Return each rank's time for its tokens, 0 for lost ranks."""
    return [
        part / speed if speed else 0.0
        for part, speed in zip(tokens, speeds, strict=True)
    ]


def sweep_until_converged(hosts, loads, speeds, amounts, tokens, shared, sweeps):
    """Divide the shared experts until the slowest rank's time converges, in place."""
    # Alternating directions move a surplus along a chain of ranks in one sweep.
    highest = max(to_times(tokens, speeds))
    for sweep in range(sweeps):
        for expert in shared if sweep % 2 else reversed(shared):
            divide_expert(expert, hosts, loads, speeds, amounts, tokens)
        now_highest = max(to_times(tokens, speeds))
        if sweep % 2 and highest - now_highest < TOLERANCE * highest:
            break
        if sweep % 2:
            highest = now_highest


def divide_expert(expert, hosts, loads, speeds, amounts, tokens):
    """Divide one expert so that its ranks reach a common time, by water-filling."""
    ranks = hosts[expert]
    parts = amounts[expert]
    levels = []
    for index, rank in enumerate(ranks):
        other = tokens[rank] - parts[index]
        levels.append((other / speeds[rank], index, other))
    levels.sort()
    volume, width = loads[expert], 0.0
    level = 0.0
    for position, (height, index, other) in enumerate(levels):
        if position and height >= level:
            break
        volume += other
        width += speeds[ranks[index]]
        level = volume / width
    for height, index, other in levels:
        rank = ranks[index]
        part = level * speeds[rank] - other if height < level else 0.0
        parts[index] = part
        tokens[rank] = other + part
